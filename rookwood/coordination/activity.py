"""Counters of one member since its process started: elections, refusals, disk writes.

They are derived from the replica's effects, so the replica itself does not count anything.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from rookwood.coordination.messages import Message, PreVoteReply, PreVoteRequest, Refused, VoteRequest


@dataclass(slots=True)
class WriteAttempt:
    """One disk write; the code that makes it sets `succeeded`."""

    succeeded: bool = False


@dataclass(slots=True)
class WriteTimes:
    """Disk writes and their durations in seconds; updated by the storage thread only."""

    writes: int = 0
    failures: int = 0
    total_seconds: float = 0.0
    last_seconds: float = 0.0
    longest_seconds: float = 0.0

    @contextmanager
    def measure(self) -> Iterator[WriteAttempt]:
        """Measure and count the write that is made in this context."""
        attempt = WriteAttempt()
        began = time.monotonic()
        try:
            yield attempt
        finally:
            self._count(time.monotonic() - began, attempt.succeeded)

    def _count(self, seconds: float, succeeded: bool) -> None:
        self.writes += 1
        self.failures += not succeeded
        self.total_seconds += seconds
        self.last_seconds = seconds
        self.longest_seconds = max(self.longest_seconds, seconds)


@dataclass(slots=True)
class GroupActivity:
    """Counters of one member.

    `elections` counts the epochs for which it requested votes, `pre_votes` the ballots of its pre-vote
    requests. Each repetition has a new ballot, so a long pre-vote counts several times.
    """

    elections: int = 0
    pre_votes: int = 0
    old_epoch_refusals: int = 0
    pre_vote_refusals: int = 0
    role_changes: int = 0
    writes: WriteTimes = field(default_factory=WriteTimes)
    _last_election: int = 0
    _last_ballot: int | None = None

    def count_sent(self, message: Message) -> None:
        """Count a message that the replica sends; a request to several members counts once."""
        match message:
            case VoteRequest() if message.epoch > self._last_election:
                self._last_election = message.epoch
                self.elections += 1
            case PreVoteRequest() if message.ballot != self._last_ballot:
                self._last_ballot = message.ballot
                self.pre_votes += 1
            case Refused():
                self.old_epoch_refusals += 1
            case PreVoteReply() if not message.granted:
                self.pre_vote_refusals += 1
