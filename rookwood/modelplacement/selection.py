"""Choice of the worker for one request, among those that hold its weights.

The candidates for the comparison are two workers drawn by the fractions of the placement table, two drawn
uniformly, the worker with the shortest prefill (that is, with the most of the prompt cached), and the best
worker with an idle connection. The one with the lowest cost is chosen. On a tie, a worker in the same zone
wins, then the one drawn first.

The cost is the expected time to the first token: the prefill backlog of the worker, the prefill of the
prompt's uncached part, a little for each request at the worker, and the setup of a connection if none is
idle. To this are added the delay of running streams by this prefill, and the delay of this request's own
stream by later prefills. These two terms keep long prompts and long streams on different workers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from rookwood.modelplacement.types import WeightsKey

REQUEST_COST = 0.006  # seconds by which one more request at the worker delays a first token
LONG_PREFILL = 0.3  # seconds of uninterrupted prefill after which running streams exceed their pause limit
LONG_PREFILL_COST = 0.25  # seconds for each running stream and second of a long prefill
PREFILL_COST = 0.08  # seconds for each running stream and second of a shorter prefill
UTILISATION_COST = 0.8  # seconds at full prefill utilisation; later prompts delay a stream
FULL_PENALTY = 2.0  # seconds; a worker without a free slot is chosen only if all others are as full
CONNECTION_COST = 0.02  # seconds; a new connection takes a round trip, and the worker's time for a handshake
QUEUE_WEIGHT = 4.0  # a waiting request counts as this many running ones: its worker has no free slot


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that holds the weights of the request. Times are in seconds."""

    worker: str
    in_flight: int  # this dispatcher's requests at the worker
    running: int  # by the reported load, which may be old
    waiting: int  # by the reported load
    slots: int
    same_zone: bool
    backlog: float = 0.0  # the worker's prefill backlog
    prefill: float = 0.0  # prefill of this request's prompt at the worker, without its cached part
    utilisation: float = 0.0  # share of recent time that the worker spent on prefill
    streams: float = 0.0  # estimated number of requests of all dispatchers that run at the worker
    connected: bool = False  # an idle connection to the worker probably exists

    @property
    def load(self) -> float:
        """The number of requests at the worker; waiting ones are weighted by `QUEUE_WEIGHT`."""
        return max(self.in_flight, self.running) + QUEUE_WEIGHT * self.waiting

    @property
    def cost(self) -> float:
        """The expected time to the first token, plus the costs of delayed streams."""
        full_penalty = FULL_PENALTY if max(self.in_flight, self.running) >= self.slots else 0.0
        first_token = self.backlog + self.prefill + REQUEST_COST * self.load + full_penalty
        is_long = self.backlog + self.prefill > LONG_PREFILL
        delay_of_others = (LONG_PREFILL_COST if is_long else PREFILL_COST) * self.prefill * self.streams
        delay_by_others = UTILISATION_COST * self.utilisation
        connecting = 0.0 if self.connected else CONNECTION_COST
        return first_token + delay_of_others + delay_by_others + connecting


def choose_worker(
    key: WeightsKey, candidates: Sequence[Candidate], fractions: Sequence[tuple[str, float]], random: Random
) -> str | None:
    """The worker for a request that needs `key`, or None if there is no candidate.

    Two workers are drawn by the fractions, and two from all candidates: more workers may hold the weights
    than this dispatcher's table names, since loads follow the tables and demand of all dispatchers.
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0].worker
    shares = dict(fractions)
    weighted = [(c, shares[c.worker]) for c in candidates if shares.get(c.worker, 0.0) > 0.0]
    contenders = _draw_two(weighted, random) if weighted else []
    contenders += _draw_two([(c, 1.0) for c in candidates], random)
    contenders.append(min(candidates, key=lambda c: c.prefill))
    connected = [candidate for candidate in candidates if candidate.connected]
    if connected:
        contenders.append(min(connected, key=lambda c: c.cost))
    return min(contenders, key=lambda c: (c.cost, not c.same_zone)).worker


def _draw_two(weighted: Sequence[tuple[Candidate, float]], random: Random) -> list[Candidate]:
    """Two independent draws by weight, which may yield the same worker twice."""
    population = [candidate for candidate, _ in weighted]
    weights = [weight for _, weight in weighted]
    return random.choices(population, weights, k=2)
