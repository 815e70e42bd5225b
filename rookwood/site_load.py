"""How full the workers of a dispatcher's site are, for an extension that may forward requests elsewhere."""

import math

from rookwood import interface as api
from rookwood.policy import Policy


def summarize_site_load(policy: Policy) -> api.SiteLoad:
    """Summarize the workers' capacity, their load and the requests held here, as far as the policy knows."""
    up, jobs = [w for w in policy.workers.values() if w.is_serving], policy.jobs.values()
    slots = sum(
        policy.loads.slots_of(w) * policy._capacity(w) * (w.trust if policy.ejecting else 1) for w in up
    )
    # Seconds: half the aim is the prior service time of a request without a hint.
    usual = {
        name: cls.aim * math.exp(policy.log_factor[name]) * policy.tails[name] / 2e6
        for name, cls in policy.classes.items()
    }
    busy = sum(w.used_slots + policy.loads.slots_of_others(w) for w in up)
    return api.SiteLoad(slots, busy, sum(j.need * j.is_held for j in jobs), usual)
