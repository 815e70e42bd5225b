"""The placement step of docs/design.md: which workers serve each row of demand, and with which fractions."""

import itertools
from collections.abc import Callable, Iterable

from rookwood.state import Fleet, Row, Table

HEADROOM = 1.15  # load that a worker takes, relative to the target: above 1, so that keys are seldom split
MIN_PHI = 0.02  # least fraction of a row that is placed on a worker


def pack(
    demand: dict[Row, float], rest: float, fleet: Fleet, order: Callable[[int], Iterable[str]], last: Table
) -> Table:
    """Steps 1 to 5 of Algorithm 1. `rest` is demand without a row; `order` gives workers in a key's order."""
    size, slots = {w: f[0] for w, f in fleet.items()}, {w: f[2] for w, f in fleet.items()}
    shares: dict[Row, dict[str, float]] = {}
    total, placed = sum(size.values()) or 1.0, sum(demand.values()) or 1.0
    load = {w: rest * part / total for w, part in size.items()}
    biggest = dict.fromkeys(size, 0)  # the largest slot group placed on each worker
    for kind in sorted({row[0] for row in demand}, reverse=True):  # rows bound to no kind come last
        rows = {r: d for r, d in demand.items() if r[0] == kind}
        pool = [w for w in size if kind in ("", fleet[w][1]) and size[w] > 0]
        if not pool:
            continue
        target = (sum(rows.values()) + sum(load[w] for w in pool)) / sum(size[w] for w in pool)
        free, leftovers = list(pool), []
        for group in sorted({r[1] for r in rows}, reverse=True):
            members = sorted((r for r in rows if r[1] == group), key=lambda r: (-rows[r], r))
            budget, part = sum(rows[r] for r in members) * (1 + rest / placed) / target, set()
            while free and budget >= size[free[0]] / 2:  # ROUND, for workers of unequal capacity
                budget -= size[free[0]]
                part.add(free.pop(0))
            for row in members:
                left, share = rows[row], shares.setdefault(row, {})
                # For least change, the key's workers of the last table go first; then the key's own order.
                for w in itertools.chain([w for w, _ in last.get(row, ())], order(row[2])):
                    if w not in part or w in share or slots[w] < group:
                        continue
                    amount = min(left, target * size[w] * HEADROOM - load[w])
                    if amount > MIN_PHI * rows[row]:
                        share[w], left = amount, left - amount
                        load[w], biggest[w] = load[w] + amount, max(biggest[w], group)
                    if left <= MIN_PHI * rows[row]:
                        break
                else:
                    leftovers.append((row, left, share))
        for row, left, share in leftovers:  # largest group first, to the least used of the largest
            fit = [w for w in pool if slots[w] >= row[1]] or pool
            w = min(fit, key=lambda w: (-biggest[w], load[w] / size[w], w))
            share[w] = share.get(w, 0.0) + left
            load[w] += left
    sums = {row: sum(share.values()) for row, share in shares.items()}
    return {row: [(w, portion / sums[row]) for w, portion in share.items()] for row, share in shares.items()}
