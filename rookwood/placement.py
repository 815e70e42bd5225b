"""The placement step of docs/design.md: which workers a key's jobs go to, and in which fractions."""

import itertools
from collections.abc import Callable, Iterable

from rookwood.state import Fleet, Row, Table

HEADROOM, LEAST = 1.15, 0.02  # a bin over the target, so that keys are seldom split; least part of a key


def pack(
    demand: dict[Row, float], rest: float, fleet: Fleet, order: Callable[[int], Iterable[str]], last: Table
) -> Table:
    """Algorithm 1, steps 1 to 5; `order` gives the workers in a key's own order."""
    size, slots = {w: f[0] for w, f in fleet.items()}, {w: f[2] for w, f in fleet.items()}
    shares: dict[Row, dict[str, float]] = {}
    whole, placed = sum(size.values()) or 1.0, sum(demand.values()) or 1.0
    load = {w: rest * part / whole for w, part in size.items()}
    biggest = dict.fromkeys(size, 0)
    for kind in sorted({row[0] for row in demand}, reverse=True):  # unbound rows last, on what is left
        rows = {r: d for r, d in demand.items() if r[0] == kind}
        pool = [w for w in size if kind in ("", fleet[w][1]) and size[w] > 0]
        if not pool:
            continue
        target = (sum(rows.values()) + sum(load[w] for w in pool)) / sum(size[w] for w in pool)
        free, leftovers = list(pool), []
        for group in sorted({r[1] for r in rows}, reverse=True):
            mine = sorted((r for r in rows if r[1] == group), key=lambda r: (-rows[r], r))
            budget, part = sum(rows[r] for r in mine) * (1 + rest / placed) / target, set()
            while free and budget >= size[free[0]] / 2:  # ROUND, for workers of unequal capacity
                budget -= size[free[0]]
                part.add(free.pop(0))
            for row in mine:
                left, share = rows[row], shares.setdefault(row, {})
                # Least change: first who holds the key, then the key's own order, the same everywhere.
                for w in itertools.chain([w for w, _ in last.get(row, ())], order(row[2])):
                    if w not in part or w in share or slots[w] < group:
                        continue
                    take = min(left, target * size[w] * HEADROOM - load[w])
                    if take > LEAST * rows[row]:
                        share[w], left = take, left - take
                        load[w], biggest[w] = load[w] + take, max(biggest[w], group)
                    if left <= LEAST * rows[row]:
                        break
                else:
                    leftovers.append((row, left, share))
        for row, left, share in leftovers:  # largest group first, to the least used of the highest group
            fit = [w for w in pool if slots[w] >= row[1]] or pool
            w = min(fit, key=lambda w: (-biggest[w], load[w] / size[w], w))
            share[w] = share.get(w, 0.0) + left
            load[w] += left
    sums = {row: sum(share.values()) for row, share in shares.items()}
    return {row: [(w, took / sums[row]) for w, took in share.items()] for row, share in shares.items()}
