"""How full the workers of a dispatcher's site are, for an extension that may forward requests elsewhere."""

import math

from rookwood import interface as api
from rookwood.policy import Policy


def pressure(policy: Policy) -> api.Pressure:
    """Summarise the workers' capacity, their load and the requests held here, from what the policy knows."""
    up, jobs = [w for w in policy.workers.values() if w.is_serving], policy.jobs.values()
    slots = sum(policy.talk.slots(w) * policy._capacity(w) * (w.trust if policy.ejecting else 1) for w in up)
    # Seconds: half the aim is the prior service time of a request without a hint.
    usual = {
        name: cls.aim * math.exp(policy.log_factor[name]) * policy.tails[name] / 2e6
        for name, cls in policy.classes.items()
    }
    busy = sum(w.used + policy.talk.slots_of_others(w) for w in up)
    return api.Pressure(slots, busy, sum(j.need * j.is_held for j in jobs), usual)
