"""The figures of this process: the one place where requests and attempts are counted, from 0 at the start."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator

from rookwood import interface as api

ANSWERED, DEFERRED, ERRORED, SENDS = "answered", "deferred", "errored", "sends"


def outcome_of(status: int) -> str | None:
    """None: a request that was no job."""
    if status == 200:
        return ANSWERED
    if status in (429, 503):
        return DEFERRED
    return None if 400 <= status < 500 else ERRORED


class RequestStats:
    def __init__(
        self, classes: Collection[str], current: Callable[[], int], cluster: Callable[[], api.ClusterHealth]
    ) -> None:
        self._current, self._cluster = current, cluster
        self.extra_sources: list[Callable[[], Iterable[str]]] = []  # lines of other fronts
        # Those who read need every class from the start: a figure that is missing is no 0.
        outcomes = (ANSWERED, DEFERRED, ERRORED, SENDS)
        self._counts = {job_class: dict.fromkeys(outcomes, 0) for job_class in sorted(classes)}

    def ended(self, job_class: str, status: int) -> None:
        """The one final answer to a client is settled. Whose client has left is not counted."""
        if outcome := outcome_of(status):
            self._counts[job_class][outcome] += 1

    def sent(self, job_class: str) -> None:
        """An attempt was written whole to an endpoint."""
        self._counts[job_class][SENDS] += 1

    def text(self) -> str:
        return "".join(f"dispatcher.{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for job_class, counts in self._counts.items():
            for outcome, count in counts.items():
                yield f"transactions.{job_class}.{outcome}:{count}|c"
        cluster = self._cluster()
        yield f"current:{self._current()}|g"
        yield f"cluster_size:{cluster.listed}|g"
        yield f"cluster_unhealthy:{cluster.avoided}|g"
        for lines in self.extra_sources:
            yield from lines()
