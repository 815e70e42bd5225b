"""Estimates of each worker's prefill backlog, which every dispatcher keeps.

A worker prefills prompts one piece at a time, between the tokens of running requests, so a prompt that was
just sent to it delays the first token of the next one. Dispatchers send each other notices of the prompts
that they send, so that all of them estimate the same backlogs.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

DEFAULT_SECONDS_PER_TOKEN = 1.0 / 26_000  # prefill time of a prompt token, until there is a sample
MIN_SECONDS_PER_TOKEN = 1.0 / 200_000  # samples are limited to this range
MAX_SECONDS_PER_TOKEN = 1.0 / 8_000
SMOOTHING = 0.25  # weight of the newest sample
MIN_SAMPLE_TOKENS = 1000  # the time of a shorter prompt says too little about the prefill speed
BASE_DELAY = 0.012  # seconds to a first token without the prefill
MAX_CACHED_PARTS = 256  # prompt parts that a worker's cache is expected to contain
UTILISATION_TIME_CONSTANT = 4.0  # seconds; for the share of time spent on prefill
STREAMS_TIME_CONSTANT = 2.5  # seconds; about the duration of a stream


@dataclass(slots=True)
class PrefillBacklog:
    """The estimated prefill queue of one worker, and the prompt parts that its cache should contain."""

    busy_until: float = 0.0
    updated_at: float = 0.0
    prefill_share: float = 0.0  # of the worker's time, averaged over UTILISATION_TIME_CONSTANT
    stream_count: float = 0.0  # prompts sent, decayed over STREAMS_TIME_CONSTANT
    cached_parts: OrderedDict[int, None] = field(default_factory=OrderedDict)  # least recently used first

    def remaining(self, now: float) -> float:
        """Seconds until the prefill of all prompts sent so far is done."""
        return max(0.0, self.busy_until - now)

    def add_prompt(self, seconds: float, parts: tuple[int, ...], now: float) -> None:
        """A prompt was sent to the worker; its prefill takes `seconds`."""
        self.busy_until = max(now, self.busy_until) + seconds
        self._decay(now)
        self.prefill_share += seconds / UTILISATION_TIME_CONSTANT
        self.stream_count += 1.0
        for part in parts:
            self.cached_parts[part] = None
            self.cached_parts.move_to_end(part)
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def utilisation(self, now: float) -> float:
        """The share of its recent time that the worker spent on prefill."""
        self._decay(now)
        return self.prefill_share

    def streams(self, now: float) -> float:
        """The estimated number of requests of all dispatchers that run at the worker."""
        self._decay(now)
        return self.stream_count

    def _decay(self, now: float) -> None:
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        self.updated_at = now
        self.prefill_share *= math.exp(-elapsed / UTILISATION_TIME_CONSTANT)
        self.stream_count *= math.exp(-elapsed / STREAMS_TIME_CONSTANT)


class PrefillSpeed:
    """The prefill time of a prompt token for each model, learned from the times to first tokens."""

    def __init__(self) -> None:
        self._seconds_per_token: dict[str, float] = {}

    def seconds_per_token(self, model: str) -> float:
        """The estimate for a model, or a default if there was no sample."""
        return self._seconds_per_token.get(model, DEFAULT_SECONDS_PER_TOKEN)

    def observe(self, model: str, tokens: int, seconds: float) -> None:
        """Add a sample: the time to the first token at a worker without a backlog, for uncached tokens."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = min(MAX_SECONDS_PER_TOKEN, max(MIN_SECONDS_PER_TOKEN, (seconds - BASE_DELAY) / tokens))
        estimate = self.seconds_per_token(model)
        self._seconds_per_token[model] = estimate + SMOOTHING * (sample - estimate)
