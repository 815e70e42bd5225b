"""How much prompt reading lies before a worker: a virtual queue that all dispatchers keep alike.

A worker reads prompts one piece at a time between the tokens of running requests, so a prompt that was just
sent there delays the first token of the next. Each dispatcher tells the others of the prompts it sends.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

DEFAULT_SECONDS_PER_TOKEN = 1.0 / 26_000
FASTEST = 1.0 / 200_000
SLOWEST = 1.0 / 8_000
SMOOTHING = 0.25
LEARNING_TOKENS = 1000  # shorter prompts tell too little of the reading speed
BASE_DELAY = 0.012  # seconds to a first token beside the prompt
REMEMBERED_PARTS = 256
UTILISATION_AVERAGING = 4.0  # seconds; time constant of the share of time spent reading prompts
ACTIVITY_AVERAGING = 2.5  # seconds; about how long a stream runs


@dataclass(slots=True)
class WorkerBacklog:
    """The virtual queue of one worker and the prompt parts in its cache."""

    busy_until: float = 0.0
    updated: float = 0.0
    reading: float = 0.0
    activity: float = 0.0
    parts: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def remaining(self, now: float) -> float:
        """Seconds until all prompts sent so far are read."""
        return max(0.0, self.busy_until - now)

    def add(self, seconds: float, parts: tuple[int, ...], now: float) -> None:
        """A prompt was sent to the worker."""
        self.busy_until = max(now, self.busy_until) + seconds
        self._decay(now)
        self.reading += seconds / UTILISATION_AVERAGING
        self.activity += 1.0
        for part in parts:
            self.parts[part] = None
            self.parts.move_to_end(part)
        while len(self.parts) > REMEMBERED_PARTS:
            self.parts.popitem(last=False)

    def utilisation(self, now: float) -> float:
        """The share of its recent time that the worker read prompts."""
        self._decay(now)
        return self.reading

    def streams(self, now: float) -> float:
        """About how many requests run there, all dispatchers' together."""
        self._decay(now)
        return self.activity

    def _decay(self, now: float) -> None:
        elapsed = now - self.updated
        if elapsed <= 0:
            return
        self.updated = now
        self.reading *= math.exp(-elapsed / UTILISATION_AVERAGING)
        self.activity *= math.exp(-elapsed / ACTIVITY_AVERAGING)


class ReadingSpeed:
    """Seconds that a worker needs for a prompt token, learned for each model from first tokens."""

    def __init__(self) -> None:
        self._speeds: dict[str, float] = {}

    def seconds_per_token(self, model: str) -> float:
        """The estimate for a model."""
        return self._speeds.get(model, DEFAULT_SECONDS_PER_TOKEN)

    def observe(self, model: str, tokens: int, seconds: float) -> None:
        """A prompt of so many uncached tokens took so long to the first token, with nothing before it."""
        if tokens < LEARNING_TOKENS:
            return
        sample = min(SLOWEST, max(FASTEST, (seconds - BASE_DELAY) / tokens))
        known = self.seconds_per_token(model)
        self._speeds[model] = known + SMOOTHING * (sample - known)
