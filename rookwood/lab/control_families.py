"""Families of simulated histories, each around one kind of bad day of the control state."""

from rookwood.lab.controlsimulation import Fault, Plan

LONG_CUT = Plan(
    spares=1,
    troubled=26.0,
    faults=4,
    kinds=(Fault.CUT, Fault.PARTITION),
    longest=20.0,
)
SECOND_LOSSES = Plan(
    troubled=14.0,
    faults=14,
    kinds=(Fault.WIPE, Fault.REPLACE, Fault.KILL, Fault.SIDES_CHANGED),
    triggered=0.02,
)
SECOND_LOSSES_OF_FIVE = Plan(
    members=5,
    tolerate=2,
    troubled=14.0,
    faults=18,
    kinds=(Fault.WIPE, Fault.REPLACE, Fault.KILL, Fault.SIDES_CHANGED),
    triggered=0.02,
)
HUNDREDS_OF_CHANGES = Plan(
    troubled=10.0,
    faults=5,
    kinds=(Fault.KILL, Fault.KILL_ALL, Fault.POWER_ALL, Fault.CUT),
    longest=6.0,
    operator_pause=0.01,
)
BUSY_MACHINES = Plan(
    troubled=10.0,
    faults=6,
    kinds=(Fault.KILL, Fault.WIPE, Fault.TRANSFER, Fault.DISK_SLOW),
    sync_time=0.05,
    longest_delay=0.05,
    longest_pause=0.3,
    calm=10.0,
)
POWER_OF_ALL = Plan(
    troubled=12.0,
    faults=8,
    kinds=(Fault.POWER_ALL,),
    triggered=0.05,
    sync_time=0.02,
)
FAMILIES = {
    "long cut": LONG_CUT,
    "second losses": SECOND_LOSSES,
    "second losses of five": SECOND_LOSSES_OF_FIVE,
    "hundreds of changes": HUNDREDS_OF_CHANGES,
    "busy machines": BUSY_MACHINES,
    "power of all, at times with a lost disk": POWER_OF_ALL,
}
