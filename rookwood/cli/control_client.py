"""Asks control machines for their state over HTTP; outcomes are values."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from rookwood.cli.http_call import call_http
from rookwood.cluster.control_status import (
    HISTORY_PATH,
    STATUS_PATH,
    TRANSFER_PATH,
    ControlStatusError,
    MachineHistory,
    MachineStatus,
)

CALL_LIMIT = 2.0  # seconds
CALL_ATTEMPTS = 2  # of a machine that gives no sound answer in time
TRANSFER_CALL_LIMIT = 5.0
MOST_CALLS_AT_ONCE = 16


@dataclass(frozen=True)
class Unreachable:
    """No sound answer came from this address."""

    address: str
    reason: str


@dataclass(frozen=True)
class Reply:
    """An HTTP answer with a JSON body."""

    status: int
    body: object


@dataclass(frozen=True)
class TimedStatus:
    """A machine's status, and when it was asked for and came, on this process's steady clock in seconds.

    What it tells held at some moment between the two.
    """

    status: MachineStatus
    asked_at: float
    answered_at: float


@dataclass
class GroupView:
    """The control machines that answered, by their `ctl` address, and those that did not."""

    answers: dict[str, TimedStatus] = field(default_factory=dict)
    unreachable: list[Unreachable] = field(default_factory=list)
    completed_at: float = 0.0

    @property
    def machines(self) -> dict[str, MachineStatus]:
        """The newest status of each machine."""
        return {address: answer.status for address, answer in self.answers.items()}

    def age(self, address: str) -> float:
        """For how many seconds at the most a machine's status is old."""
        return self.completed_at - self.answers[address].asked_at

    def primaries(self) -> list[str]:
        """The addresses of the machines that take themselves for the primary of the newest epoch."""
        claims = {address: status for address, status in self.machines.items() if status.claims_primary}
        newest = max((status.epoch for status in claims.values()), default=0)
        return [address for address, status in claims.items() if status.epoch == newest]

    def take(self, address: str, answer: TimedStatus | Unreachable) -> None:
        """Keep a machine's newest answer."""
        if isinstance(answer, TimedStatus):
            self.answers[address] = answer
        elif address not in self.answers:
            self.unreachable.append(answer)


def look_at_group(addresses: Iterable[str]) -> GroupView:
    """Ask these machines, and all members that they name, at the same port, all at one time.

    The leadership may pass on between two answers. Where several machines say to lead, all are asked once
    more, and what they said before counts for nothing.
    """
    view = GroupView()
    _ask(view, addresses)
    if sum(status.claims_primary for status in view.machines.values()) > 1:
        _ask(view, list(view.answers))
    view.completed_at = time.monotonic()
    return view


def _ask(view: GroupView, addresses: Iterable[str]) -> None:
    pending = list(dict.fromkeys(addresses))
    asked: set[str] = set()
    with ThreadPoolExecutor(MOST_CALLS_AT_ONCE) as calls:
        while pending:
            asked.update(pending)
            named: dict[str, None] = {}
            for address, answer in zip(pending, calls.map(fetch_timed_status, pending), strict=True):
                view.take(address, answer)
                if isinstance(answer, TimedStatus):
                    port = address.rpartition(":")[2]
                    named.update((f"{member}:{port}", None) for member in answer.status.members)
            pending = [address for address in named if address not in asked]


def fetch_timed_status(address: str) -> TimedStatus | Unreachable:
    """The status of one machine, and when it was told; asked again where no sound answer came in time."""
    for _ in range(CALL_ATTEMPTS):
        asked_at = time.monotonic()
        status = fetch_status(address)
        if not isinstance(status, Unreachable):
            return TimedStatus(status, asked_at, time.monotonic())
        failure = status
    return failure


def fetch_status(address: str) -> MachineStatus | Unreachable:
    """The status of one machine."""
    reply = call(address, STATUS_PATH)
    if isinstance(reply, Unreachable):
        return reply
    try:
        return MachineStatus.from_json(reply.body)
    except ControlStatusError as error:
        return Unreachable(address, str(error))


def fetch_history(address: str, limit: int) -> MachineHistory | Unreachable:
    """The newest changes that one machine remembers."""
    reply = call(address, f"{HISTORY_PATH}?limit={limit}")
    if isinstance(reply, Unreachable):
        return reply
    try:
        return MachineHistory.from_json(reply.body)
    except ControlStatusError as error:
        return Unreachable(address, str(error))


def request_transfer(address: str) -> Reply | Unreachable:
    """Ask a machine to hand the leadership over."""
    return call(address, TRANSFER_PATH, method="POST", limit=TRANSFER_CALL_LIMIT)


def call(address: str, path: str, method: str = "GET", limit: float = CALL_LIMIT) -> Reply | Unreachable:
    """One call; a body that is not JSON counts as no answer."""
    if not address.rpartition(":")[2].isdecimal():
        return Unreachable(address, "not an address of the form ip:port")
    try:
        answer = call_http(address, path, method, limit)
        return Reply(answer.status, json.loads(answer.body))
    except (OSError, ValueError, RecursionError) as error:
        return Unreachable(address, str(error) or type(error).__name__)
