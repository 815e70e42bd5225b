"""What one member has done since its process started: elections, refusals, disk writes.

It is told from the effects of the replica, whose decisions stay free of it.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from rookwood.coordination.messages import Message, PreVoteReply, PreVoteRequest, Refused, VoteRequest


@dataclass(slots=True)
class WriteAttempt:
    """One write; whoever makes it sets whether it succeeded."""

    succeeded: bool = False


@dataclass(slots=True)
class WriteTimes:
    """Durable writes and their durations in seconds; changed by the storage's thread alone."""

    writes: int = 0
    failures: int = 0
    total_seconds: float = 0.0
    last_seconds: float = 0.0
    longest_seconds: float = 0.0

    @contextmanager
    def measure(self) -> Iterator[WriteAttempt]:
        """Measure the write made inside."""
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
    """Counts of one member.

    `elections` are epochs for which it asked for votes, `pre_votes` the ballots in which it asked whether
    others hear no primary; each question counts, so one long pre-vote counts several times.
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
        """Count a message that the replica sends; those to several members count once."""
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
