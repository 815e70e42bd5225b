"""Asks control machines for their state over HTTP; outcomes are values."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from rookwood.cluster.control_status import (
    HISTORY_PATH,
    STATUS_PATH,
    TRANSFER_PATH,
    ControlStatusError,
    MachineHistory,
    MachineStatus,
)

CALL_LIMIT = 2.0  # seconds
TRANSFER_CALL_LIMIT = 5.0


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


@dataclass
class GroupView:
    """The control machines that answered, by their `ctl` address, and those that did not."""

    machines: dict[str, MachineStatus] = field(default_factory=dict)
    unreachable: list[Unreachable] = field(default_factory=list)

    def primaries(self) -> list[str]:
        """The addresses of the machines that take themselves for the primary."""
        return [address for address, status in self.machines.items() if status.primary == status.machine]


def look_at_group(addresses: Iterable[str]) -> GroupView:
    """Ask these machines, and all members that they name, at the same port."""
    view = GroupView()
    pending = list(dict.fromkeys(addresses))
    asked: set[str] = set()
    while pending:
        address = pending.pop(0)
        if address in asked:
            continue
        asked.add(address)
        status = fetch_status(address)
        if isinstance(status, Unreachable):
            view.unreachable.append(status)
            continue
        view.machines[address] = status
        port = address.rpartition(":")[2]
        pending += [f"{member}:{port}" for member in status.members]
    return view


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
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=limit)
    except ValueError:
        return Unreachable(address, "not an address of the form ip:port")
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return Reply(answer.status, json.loads(answer.read()))
    except (OSError, http.client.HTTPException, ValueError) as error:
        return Unreachable(address, str(error) or type(error).__name__)
    finally:
        connection.close()
