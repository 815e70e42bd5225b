"""Choice of the worker for one request, among those that hold its weights.

A key with several workers gets two draws over its fractions, and the less loaded of the two is taken. On
top of that stands the cached prompt: a worker that was sent the same parts before skips their prefill. A
wholly cached prompt makes up for `PREFIX_WORTH` more requests at its worker:

    cost = requests at the worker - PREFIX_WORTH * prefix_affinity

The worker with the largest affinity joins the drawn ones, and the lowest cost wins; a tie goes to the
worker in the same zone, then to the one drawn first. So affinity wins unless its worker is clearly more
loaded.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from rookwood.modelplacement.types import WeightsKey

PREFIX_WORTH = 8.0  # requests running elsewhere that a wholly cached prompt makes up for
FULL_PENALTY = 64.0  # a worker without a free slot is taken only when all others are as full
QUEUE_WEIGHT = 4.0  # a waiting request tells of more than a running one: its worker has no room


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that holds the weights of the request."""

    worker: str
    in_flight: int  # own requests there
    running: int  # by the newest X-Load, possibly old
    waiting: int
    slots: int
    same_zone: bool
    prefix_affinity: float = 0.0  # share of the prompt's parts that this dispatcher has sent there before

    @property
    def load(self) -> float:
        """Requests at the worker, those that wait counted more."""
        present = max(self.in_flight, self.running)
        full = FULL_PENALTY if present >= self.slots else 0.0
        return present + QUEUE_WEIGHT * self.waiting + full

    @property
    def cost(self) -> float:
        """Load, less what the cached prompt saves."""
        return self.load - PREFIX_WORTH * self.prefix_affinity


def choose_worker(
    key: WeightsKey, candidates: Sequence[Candidate], fractions: Sequence[tuple[str, float]], random: Random
) -> str | None:
    """The worker for a request of `key`, or None when nobody holds its weights.

    Workers without a fraction are used only when no worker with one holds the weights: the table is ahead of
    the loads then, or the tables of other dispatchers differ.
    """
    if not candidates:
        return None
    shares = dict(fractions)
    weighted = [(c, shares[c.worker]) for c in candidates if shares.get(c.worker, 0.0) > 0.0]
    if not weighted:
        weighted = [(c, 1.0) for c in candidates]
    if len(weighted) == 1:
        return weighted[0][0].worker
    contenders = _two_draws(weighted, random)
    contenders.append(max((c for c, _ in weighted), key=lambda c: c.prefix_affinity))
    return min(contenders, key=lambda c: (c.cost, not c.same_zone)).worker


def _two_draws(weighted: Sequence[tuple[Candidate, float]], random: Random) -> list[Candidate]:
    """Two independent draws by weight; both may give the same worker."""
    population = [candidate for candidate, _ in weighted]
    weights = [weight for _, weight in weighted]
    return random.choices(population, weights, k=2)
