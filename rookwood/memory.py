"""What the decisions have learned, for the process that follows: plain values, from `remember` to `recall`.

Requests in hand and timers stay behind: they end with the old process. Nothing here is needed to start.
"""

import math
from typing import Any

from rookwood import interface as api
from rookwood.policy import Policy

FORM = 5  # a process of another release may not know this one
PLAIN = ("job_time", "weight", "seen", "retries", "eject")
BY_CLASS = ("answers", "typical", "mean", "asked", "won")
ROWS = ("whole", "firsts", "demand", "table")  # their keys are tuples


def save_learned_state(policy: Policy) -> dict[str, Any]:
    workers = {
        w.info.id: {
            "started_at": w.info.started_at,
            "seen": [w.trust, w.faults, w.slowness, w.last_sign, w.report_at, w.probe_at],
            "others": policy.load_exchange.others(w)
            + w.used_slots,  # jobs still out at the old process are another's
            "told": policy.load_exchange.books(w, ((a, policy.owed[key]) for key, a in w.out.items())),
            # The budget of a cold worker goes on: two processes in a row must not spend it twice.
            "credit": [w.credit, w.credit_at] if w.credit_at else None,
        }
        for w in policy.workers.values()
    }
    plain = {name: getattr(policy, name) for name in PLAIN + BY_CLASS}
    rows = {name: [[list(key), value] for key, value in getattr(policy, name).items()] for name in ROWS}
    return {
        "form": FORM,
        "workers": workers,
        "plain": plain,
        "rows": rows,
        "slots": policy.load_exchange.by_kind,
    }


def restore_learned_state(policy: Policy, memory: dict[str, Any], now: int) -> None:
    """For a policy that has its list and no request yet. Raises on what it cannot use."""
    if memory["form"] != FORM:
        raise ValueError(f"of form {memory['form']!r}")
    plain = {name: memory["plain"][name] for name in PLAIN}
    for name in BY_CLASS:  # the settings may name others now
        fresh, found = getattr(policy, name), memory["plain"][name]
        plain[name] = {job_class: found.get(job_class, value) for job_class, value in fresh.items()}
    rows = {name: {tuple(key): value for key, value in memory["rows"][name]} for name in ROWS}
    rows["demand"] = {key: (level, trend) for key, (level, trend) in rows["demand"].items()}
    rows["table"] = {key: [(uid, phi) for uid, phi in row] for key, row in rows["table"].items()}
    for w in policy.workers.values():
        if (found := memory["workers"].get(w.info.id)) is None or found["started_at"] != w.info.started_at:
            continue
        w.trust, w.faults, w.slowness, *times = found["seen"]
        w.last_sign, w.report_at, w.probe_at = (min(now, time) for time in times)
        w.others, w.told = found["others"], [(until, whose, need) for until, whose, need in found["told"]]
        if found["credit"]:
            w.credit, w.credit_at = found["credit"][0], min(now, found["credit"][1])
    for name, value in {**plain, **rows}.items():
        setattr(policy, name, value)
    policy.load_exchange.by_kind.update(memory["slots"])


def pressure(policy: Policy) -> api.SiteLoad:  # not learned but seen: how full the workers are
    up, jobs = [w for w in policy.workers.values() if w.up], policy.jobs.values()
    slots = sum(
        policy.load_exchange.slots_of(w) * policy._warmth(w) * (w.trust if policy.eject else 1) for w in up
    )
    usual = {n: c.aim * math.exp(policy.typical[n]) * policy.mean[n] / 2e6 for n, c in policy.classes.items()}
    busy = sum(w.used_slots + policy.load_exchange.others(w) for w in up)
    return api.SiteLoad(slots, busy, sum(j.need * j.held for j in jobs), usual)
