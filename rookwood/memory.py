"""Saves what the policy has learned as plain values, and restores it in the process that follows.

Requests in hand and timers are left out: they end with the old process. A process can start without it.
"""

from typing import Any

from rookwood.policy import Policy
from rookwood.state import STORED_BY_CLASS, STORED_BY_TUPLE, STORED_SCALARS

FORMAT = 5  # another release may write another format


def save_learned_state(policy: Policy) -> dict[str, Any]:
    """Return the learned state as values that JSON can hold."""
    workers = {
        w.info.id: w.to_record(
            policy.loads.slots_of_others(w) + w.used_slots,  # own attempts then count as another's
            policy.loads.jobs_to_save(w, ((a, policy.pending[key]) for key, a in w.attempts.items())),
        )
        for w in policy.workers.values()
    }
    plain = {key: getattr(policy, name) for key, name in (STORED_SCALARS | STORED_BY_CLASS).items()}
    rows = {
        key: [[list(row), value] for row, value in getattr(policy, name).items()]
        for key, name in STORED_BY_TUPLE.items()
    }
    return {
        "form": FORMAT,
        "workers": workers,
        "plain": plain,
        "rows": rows,
        "slots": policy.loads.slots_by_kind,
    }


def restore_learned_state(policy: Policy, memory: dict[str, Any], now: int) -> None:
    """Restore the state of a policy that has its worker list and no request yet. Raises if it is unusable."""
    if memory["form"] != FORMAT:
        raise ValueError(f"unknown format {memory['form']!r}")
    plain = {name: memory["plain"][key] for key, name in STORED_SCALARS.items()}
    for key, name in STORED_BY_CLASS.items():  # the classes may have changed with the settings
        fresh, found = getattr(policy, name), memory["plain"][key]
        plain[name] = {job_class: found.get(job_class, value) for job_class, value in fresh.items()}
    rows = {
        name: {tuple(row): value for row, value in memory["rows"][key]}
        for key, name in STORED_BY_TUPLE.items()
    }
    rows["demand"] = {key: (level, trend) for key, (level, trend) in rows["demand"].items()}
    rows["table"] = {key: [(uid, phi) for uid, phi in row] for key, row in rows["table"].items()}
    for w in policy.workers.values():
        if (found := memory["workers"].get(w.info.id)) is None or found["started_at"] != w.info.started_at:
            continue
        w.restore(found, now)
    for name, value in {**plain, **rows}.items():
        setattr(policy, name, value)
    policy.loads.slots_by_kind.update(memory["slots"])
