"""Counts requests and attempts since the start of the process, and writes them as the text of /ops/stats."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator

from rookwood import interface as api

ANSWERED, DEFERRED, ERRORED, SENDS = "answered", "deferred", "errored", "sends"


def counter_for_status(status: int) -> str | None:
    """Return the counter for a response; None for a request that was not a valid job."""
    if status == 200:
        return ANSWERED
    if status in (429, 503):
        return DEFERRED
    return None if 400 <= status < 500 else ERRORED


class RequestStats:
    """Counters by job class, and gauges of the policy and of the sources that other parts add."""

    def __init__(
        self,
        classes: Collection[str],
        open_requests: Callable[[], int],
        cluster_health: Callable[[], api.ClusterHealth],
    ) -> None:
        self._open_requests, self._cluster_health = open_requests, cluster_health
        self.extra_sources: list[Callable[[], Iterable[str]]] = []  # each yields lines without the prefix
        # Every class is listed from the start, since readers do not take a missing counter for 0.
        outcomes = (ANSWERED, DEFERRED, ERRORED, SENDS)
        self._counts = {job_class: dict.fromkeys(outcomes, 0) for job_class in sorted(classes)}

    def count_response(self, job_class: str, status: int) -> None:
        """Count the response to a client's request; requests of clients that disconnected are not counted."""
        if outcome := counter_for_status(status):
            self._counts[job_class][outcome] += 1

    def count_sent(self, job_class: str) -> None:
        """Count an attempt whose request was written completely to a worker."""
        self._counts[job_class][SENDS] += 1

    def text(self) -> str:
        """Return all lines, each a name, a value and a type: c for a counter, g for a gauge."""
        return "".join(f"dispatcher.{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for job_class, counts in self._counts.items():
            for outcome, count in counts.items():
                yield f"transactions.{job_class}.{outcome}:{count}|c"
        cluster = self._cluster_health()
        yield f"current:{self._open_requests()}|g"
        yield f"cluster_size:{cluster.listed}|g"
        yield f"cluster_unhealthy:{cluster.avoided}|g"
        for lines in self.extra_sources:
            yield from lines()
