"""Step 5 of Algorithm 1: permute workers within a range so that the table deviates least from the last one.

Up to `EXACT_LIMIT` workers get an optimal assignment (the Hungarian method). More workers are assigned by a
greedy pass over the pairs with any overlap, whose number is linear in the size of the table.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

EXACT_LIMIT = 24  # workers

Overlap = Mapping[tuple[str, str], float]  # (position in the packing, worker) -> overlap with the last table


def assign_with_least_deviation(workers: Sequence[str], overlap: Overlap) -> dict[str, str]:
    """Map each position of the packing to a worker so that the sum of overlaps is large.

    A position is named after the worker that was packed there. Up to `EXACT_LIMIT` workers, the sum is the
    largest possible.
    """
    if len(workers) <= EXACT_LIMIT:
        return _assign_optimally(workers, overlap)
    return _assign_greedily(workers, overlap)


def _assign_greedily(workers: Sequence[str], overlap: Overlap) -> dict[str, str]:
    members = set(workers)
    pairs = [(-amount, a != b, a, b) for (a, b), amount in overlap.items() if a in members and b in members]
    worker_at: dict[str, str] = {}
    assigned: set[str] = set()
    for _, _, position, worker in sorted(pairs):
        if position not in worker_at and worker not in assigned:
            worker_at[position] = worker
            assigned.add(worker)
    for worker in workers:  # without any overlap, a position keeps the worker that it was packed for
        if worker not in worker_at and worker not in assigned:
            worker_at[worker] = worker
            assigned.add(worker)
    unassigned = iter([worker for worker in workers if worker not in assigned])
    for position in workers:
        if position not in worker_at:
            worker_at[position] = next(unassigned)
    return worker_at


def _assign_optimally(workers: Sequence[str], overlap: Overlap) -> dict[str, str]:
    """The Hungarian method with potentials; the costs are the negated overlaps."""
    size = len(workers)
    cost = [[-overlap.get((position, worker), 0.0) for worker in workers] for position in workers]
    row_potential = [0.0] * (size + 1)
    column_potential = [0.0] * (size + 1)
    row_of = [0] * (size + 1)  # the row assigned to each column; 0: none
    for row in range(1, size + 1):
        previous = _augmenting_path(row, cost, row_potential, column_potential, row_of)
        column = previous.pop()
        while column:
            row_of[column] = row_of[previous[column]]
            column = previous[column]
    return {workers[row_of[column] - 1]: workers[column - 1] for column in range(1, size + 1)}


def _augmenting_path(
    row: int,
    cost: Sequence[Sequence[float]],
    row_potential: list[float],
    column_potential: list[float],
    row_of: list[int],
) -> list[int]:
    """The previous column of each column on the cheapest augmenting path.

    The free column at the end of the path is appended to the list.
    """
    size = len(cost)
    row_of[0] = row
    column = 0
    slack = [math.inf] * (size + 1)
    previous = [0] * (size + 1)
    used = [False] * (size + 1)
    while row_of[column]:
        used[column] = True
        current = row_of[column]
        smallest = math.inf
        following = 0
        for candidate in range(1, size + 1):
            if used[candidate]:
                continue
            reduced = cost[current - 1][candidate - 1] - row_potential[current] - column_potential[candidate]
            if reduced < slack[candidate]:
                slack[candidate] = reduced
                previous[candidate] = column
            if slack[candidate] < smallest:
                smallest = slack[candidate]
                following = candidate
        for candidate in range(size + 1):
            if used[candidate]:
                row_potential[row_of[candidate]] += smallest
                column_potential[candidate] -= smallest
            else:
                slack[candidate] -= smallest
        column = following
    previous.append(column)
    return previous
