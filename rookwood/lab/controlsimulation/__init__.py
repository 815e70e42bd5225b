"""Deterministic simulation of a control group: clock, network, disks and faults, all from one seed.

The replicas are the real ones of `rookwood.coordination`; only their surroundings are simulated. The
history of the operators' calls and every document seen as committed are checked on the way.
"""

from rookwood.lab.controlsimulation.checks import InvariantError, LinearizabilityError
from rookwood.lab.controlsimulation.engine import Report
from rookwood.lab.controlsimulation.plan import LONG_LEASE, NO_FAVOUR, Fault, Plan, plan_of
from rookwood.lab.controlsimulation.simulation import Simulation
from rookwood.lab.controlsimulation.world import Machine

__all__ = [
    "LONG_LEASE",
    "NO_FAVOUR",
    "Fault",
    "InvariantError",
    "LinearizabilityError",
    "Machine",
    "Plan",
    "Report",
    "Simulation",
    "plan_of",
]
