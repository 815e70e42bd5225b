"""Judges what operators and clients saw of the versions of the configuration."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from rookwood.lab.soak.changes import ROUTES_KEPT, ChangeLog
from rookwood.lab.systemstage.machines import Timing


class Invariant(StrEnum):
    """What must hold throughout a run."""

    CHANGE_KEPT = "an acknowledged change is lost"
    READ_CURRENT = "a read gives an old version"
    SERVED_IN_TIME = "an untroubled data plane serves an old version"
    NEVER_BACK = "a data plane goes back to an older version"
    MEMORY_BOUNDED = "a control plane holds too much memory"
    SETTLED = "not settled after the last trouble"
    STAYS_AWAY = "a worker that left gets requests of an untroubled data plane"
    OWN_CHECKS = "a process found an invariant of its own violated"


@dataclass(frozen=True)
class Violation:
    """A broken invariant, and by what."""

    invariant: Invariant
    detail: str


@dataclass(frozen=True)
class VersionRange:
    """The versions that an answer of a data plane is consistent with."""

    oldest: int
    newest: int


@dataclass(frozen=True)
class Probe:
    """A client's request of the route that a version added, and its answer."""

    data_plane: str
    life: int
    version: int
    began: float
    status: int
    newest_sent: int  # when the answer came
    sound_since: float | None  # of the data plane, when the answer came

    def versions(self) -> VersionRange | None:
        """The versions that may have given this answer; None where it tells nothing."""
        if self.status == HTTPStatus.OK:
            return VersionRange(self.version, self.version + ROUTES_KEPT - 1)
        if self.status == HTTPStatus.NOT_FOUND and self.newest_sent < self.version + ROUTES_KEPT:
            return VersionRange(0, self.version - 1)
        return None


@dataclass(frozen=True)
class RunAfterDeparture:
    """A request that reached a worker that had left, and the data plane that sent it."""

    worker: str
    acknowledged_at: float
    data_plane: str
    sent_at: float  # by the client
    started_at: float  # at the worker
    sound_since: float | None  # of the data plane, when the client sent it


@dataclass
class SoakJudge:
    """Collects violations while a run goes on; times are those of `time.monotonic`."""

    log: ChangeLog
    timing: Timing
    apply_s: float
    began_at: float = field(default_factory=time.monotonic)
    violations: list[Violation] = field(default_factory=list)
    probes: int = 0
    untroubled_probes: int = 0
    reads: int = 0
    departures: int = 0  # that were acknowledged
    requests_beside_departures: int = 0
    peak_mb: float = 0.0  # of the control planes
    _seen: dict[tuple[str, int], int] = field(default_factory=dict)  # newest version that a life served

    def judge_probe(self, probe: Probe) -> None:
        """Judges an answer of a data plane; call for each data plane in the order of the answers."""
        versions = probe.versions()
        if versions is None:
            return
        self.probes += 1
        life = (probe.data_plane, probe.life)
        seen = self._seen.get(life, 0)
        if versions.newest < seen:
            self._add(
                Invariant.NEVER_BACK, f"{probe.data_plane} served {seen}, then {versions.newest} at most"
            )
        self._seen[life] = max(seen, versions.oldest)
        self._judge_time(probe, versions)

    def judge_read(self, began: float, version: int) -> None:
        """Judges a successful GET of the configuration."""
        self.reads += 1
        due = self.log.newest_at(began - self.apply_s)
        if version < due:
            self._add(Invariant.READ_CURRENT, f"{version}, but {due} had long been acknowledged")

    def judge_end(self, version: int) -> None:
        """Judges the version that is read when all is over, and the answers to the operator."""
        if version < self.log.newest:
            self._add(Invariant.CHANGE_KEPT, f"{version} in the end, {self.log.newest} was acknowledged")
        for refused in self.log.refused:
            self._add(Invariant.CHANGE_KEPT, f"refused: {refused}")

    def judge_run_after_departure(self, run: RunAfterDeparture) -> None:
        """Judges a request that a worker ran after its drain or deregistration was acknowledged."""
        untroubled_for = self.timing.contact_ms / 1000
        if run.sound_since is None or run.sent_at - run.sound_since < untroubled_for:
            return
        late = run.started_at - run.acknowledged_at
        if late > self.timing.drain_ms / 1000:
            detail = f"{run.data_plane} sent {run.worker} a request {late:.2f} s after its acknowledgement"
            self._add(Invariant.STAYS_AWAY, detail)

    def judge_memory(self, machine: str, resident_mb: float, limit_mb: float) -> None:
        """Judges the memory that a process holds."""
        self.peak_mb = max(self.peak_mb, resident_mb)
        if resident_mb > limit_mb:
            self._add(Invariant.MEMORY_BOUNDED, f"{machine} holds {resident_mb:.0f} MB")

    def not_settled(self, detail: str) -> None:
        """Something did not come back after the last trouble."""
        self._add(Invariant.SETTLED, detail)

    def judge_own_checks(self, records: Sequence[str]) -> None:
        """Judges what the processes logged of their own checks."""
        for record in records:
            self._add(Invariant.OWN_CHECKS, record)

    def _judge_time(self, probe: Probe, versions: VersionRange) -> None:
        untroubled_for = self.timing.contact_ms / 1000 + self.apply_s
        if probe.sound_since is None or probe.began - probe.sound_since < untroubled_for:
            return
        self.untroubled_probes += 1
        due = self.log.newest_at(probe.began - self.apply_s)
        if versions.newest < due:
            detail = f"{probe.data_plane} serves {versions.newest} at most, {due} is due"
            self._add(Invariant.SERVED_IN_TIME, detail)

    def _add(self, invariant: Invariant, detail: str) -> None:
        at = time.monotonic() - self.began_at
        self.violations.append(Violation(invariant, f"at {at:.2f} s: {detail}"))
