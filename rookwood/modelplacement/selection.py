"""Choice of the worker for one request, among those that hold its weights.

A key with several workers gets two draws over its fractions, and the better of the two is taken. A worker
that has the prompt's beginning cached joins the drawn ones. They are compared by the time to the request's
first token: the prompts that the worker still has to read, this prompt's uncached part, and a little for
each request that is there. To that come the streams that reading this prompt would hold up, and the reading
by which this request's own stream is likely to be held up: so long prompts and long streams part ways.
A worker to which a kept connection is free joins them too, and goes before an equal one without.
A tie goes to the worker in the same zone, then to the one drawn first.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from rookwood.modelplacement.types import WeightsKey

REQUEST_COST = 0.006  # seconds by which one more request at the worker delays a first token
LONG_READ = 0.3  # seconds of reading without a pause that make running streams miss their pauses
LONG_READ_COST = 0.25  # seconds for each running stream and second of reading
READ_COST = 0.08
UTILISATION_COST = 0.8  # seconds; a stream is disturbed by the prompts that come after it
FULL_PENALTY = 2.0  # a worker without a free slot is taken only when all others are as full
CONNECTION_COST = 0.02  # seconds; a new connection takes a round trip, and the worker's time for a handshake
QUEUE_WEIGHT = 4.0  # a waiting request tells of more than a running one: its worker has no room


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that holds the weights of the request. Times in seconds."""

    worker: str
    in_flight: int  # own requests there
    running: int  # by the newest X-Load, possibly old
    waiting: int
    slots: int
    same_zone: bool
    backlog: float = 0.0  # prompt reading that is still before the worker
    prefill: float = 0.0  # reading this request's prompt there, without what is cached
    utilisation: float = 0.0  # share of recent time that the worker spent reading prompts
    streams: float = 0.0  # requests of all dispatchers that run there, about
    connected: bool = False  # a kept connection to the worker is likely to be free

    @property
    def load(self) -> float:
        """Requests at the worker, those that wait counted more."""
        return max(self.in_flight, self.running) + QUEUE_WEIGHT * self.waiting

    @property
    def cost(self) -> float:
        """The expected time to the first token."""
        full = FULL_PENALTY if max(self.in_flight, self.running) >= self.slots else 0.0
        first_token = self.backlog + self.prefill + REQUEST_COST * self.load + full
        long_read = self.backlog + self.prefill > LONG_READ
        disturbing = (LONG_READ_COST if long_read else READ_COST) * self.prefill * self.streams
        disturbed = UTILISATION_COST * self.utilisation
        connecting = 0.0 if self.connected else CONNECTION_COST
        return first_token + disturbing + disturbed + connecting


def choose_worker(
    key: WeightsKey, candidates: Sequence[Candidate], fractions: Sequence[tuple[str, float]], random: Random
) -> str | None:
    """The worker for a request of `key`, or None when nobody holds its weights.

    Two workers are drawn over the fractions, and two over all that hold the weights: these may be more than
    the table names, since loads follow the sum of all dispatchers' tables and demand.
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0].worker
    shares = dict(fractions)
    weighted = [(c, shares[c.worker]) for c in candidates if shares.get(c.worker, 0.0) > 0.0]
    contenders = _two_draws(weighted, random) if weighted else []
    contenders += _two_draws([(c, 1.0) for c in candidates], random)
    contenders.append(min(candidates, key=lambda c: c.prefill))
    connected = [candidate for candidate in candidates if candidate.connected]
    if connected:
        contenders.append(min(connected, key=lambda c: c.cost))
    return min(contenders, key=lambda c: (c.cost, not c.same_zone)).worker


def _two_draws(weighted: Sequence[tuple[Candidate, float]], random: Random) -> list[Candidate]:
    """Two independent draws by weight; both may give the same worker."""
    population = [candidate for candidate, _ in weighted]
    weights = [weight for _, weight in weighted]
    return random.choices(population, weights, k=2)
