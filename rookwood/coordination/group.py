"""Runs a replica on asyncio: its connections, storage thread, timer, and the calls of this process."""

import asyncio
import logging
import secrets
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, fields
from random import Random

from rookwood.coordination.activity import GroupActivity
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, RoleChanged, Send
from rookwood.coordination.messages import Message
from rookwood.coordination.outcomes import (
    Backup,
    Committed,
    Confirmed,
    ConfirmOutcome,
    Declined,
    Following,
    Learner,
    NotPrimary,
    Overloaded,
    PayloadTooLarge,
    Primary,
    ProposeOutcome,
    Role,
    Snapshot,
    Unattached,
    Uncertain,
)
from rookwood.coordination.proposals import Change
from rookwood.coordination.replication import Replica
from rookwood.coordination.slot_storage import load_with_retries
from rookwood.coordination.storage import Empty, Found, Storage
from rookwood.coordination.storage_thread import StorageThread
from rookwood.coordination.timing import Timing
from rookwood.coordination.transport import Transport
from rookwood.memory_budget import MemoryBudget

__all__ = [
    "Backup",
    "Committed",
    "Confirmed",
    "ControlGroup",
    "Declined",
    "Following",
    "Learner",
    "GroupSettings",
    "NoSuccessor",
    "NotPrimary",
    "Overloaded",
    "PayloadTooLarge",
    "Primary",
    "Role",
    "Snapshot",
    "Transferred",
    "Unattached",
    "Uncertain",
]

logger = logging.getLogger("rookwood")

MIN_TICK_INTERVAL = 0.05  # seconds between two ticks of the replica
TRANSFER_TIMEOUT = 1.0  # seconds for which a primary that hands over waits for its successor's first commit
DRAIN_TIMEOUT = 0.2  # seconds for which a member that handed over waits until its last messages are sent
CLOSE_TIMEOUT = 1.0  # seconds for which a stopping process waits for its disk
INCARNATION_BITS = 62


@dataclass(frozen=True)
class Transferred:
    """Another member is primary now, with this epoch."""

    epoch: int


@dataclass(frozen=True)
class NoSuccessor:
    """No other member was reachable, so the leadership was not handed over."""


@dataclass(frozen=True)
class GroupSettings(Timing):
    """Settings of one member; the protocol timing is inherited as fields with defaults."""

    ip: str
    port: int
    listen_ip: str
    seeds: tuple[str, ...]
    tolerate: int
    bootstrap: bool
    directory: str
    disk_mb: int


class ControlGroup:
    """One member of the group that replicates the control document."""

    def __init__(
        self,
        settings: GroupSettings,
        *,
        on_commit: Callable[[Snapshot], None],
        on_role: Callable[[Role], None],
        storage: Storage | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """`budget`: owns the memory of the process."""
        self._settings = settings
        self._on_commit = on_commit
        self._on_role = on_role
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._storage = storage or Storage(settings.directory, settings.disk_mb)
        self._stop_reading = threading.Event()
        self._storage_thread = StorageThread("control-storage")
        self._transport = Transport(
            settings.ip,
            self._incarnation,
            settings.listen_ip,
            settings.port,
            self._receive,
            self._disconnected,
            budget,
        )
        self._replica: Replica | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._calls: dict[int, asyncio.Future[ProposeOutcome | ConfirmOutcome]] = {}
        self._last_ticket = 0
        self._commit_event = asyncio.Event()
        self._pending_effects: deque[Effect] = deque()
        self._is_applying = False
        self._writes: set[asyncio.Task[None]] = set()
        self._stopped = False
        self.activity = GroupActivity()

    async def start(self) -> None:
        """Load the stored record and listen; return without waiting for other members."""
        loop = asyncio.get_running_loop()
        record = await self._storage_thread.run(self._load_record)
        self._replica = Replica(
            ip=self._settings.ip,
            incarnation=self._incarnation,
            seeds=self._settings.seeds,
            tolerate=self._settings.tolerate,
            record=record,
            random=Random(secrets.randbits(INCARNATION_BITS)),
            now=loop.time(),
            timing=self._timing(),
        )
        await self._transport.start()
        self._tick()

    async def stop(self, transfer: bool = True) -> None:
        """Stop participating; a primary first hands over if `transfer` is set."""
        if transfer and self._replica is not None and isinstance(self.role(), Primary):
            await self._hand_over(self._replica)
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        await self._transport.stop()
        for future in self._calls.values():
            if not future.done():
                future.set_result(Uncertain("stopped"))
        self._stop_reading.set()
        await self._close_storage()

    async def _close_storage(self) -> None:
        """Close the storage after the writes under way; leave it open if the disk hangs."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await asyncio.gather(*self._writes)  # one that has not begun would open the storage again
                await self._storage_thread.run(self._storage.close)
        except TimeoutError:
            logger.error("storage not closed", extra={"writes_under_way": len(self._writes)})
        self._storage_thread.close()

    def role(self) -> Role:
        """Return the current role; a primary whose lease expired during a stall is none any more."""
        if self._replica is None:
            return Unattached("starting")
        return self._replica.role(self._now())

    def snapshot(self) -> Snapshot:
        """Return the newest document that is known to be committed."""
        return Snapshot(0, 0, b"") if self._replica is None else self._replica.snapshot()

    def members(self) -> tuple[str, ...]:
        """Return the addresses of the members in the newest known configuration."""
        return () if self._replica is None else self._replica.members()

    def is_changing_members(self) -> bool:
        """Return whether a change of the members is under way in the newest known configuration."""
        return self._replica is not None and self._replica.is_changing_members()

    def reachable_members(self) -> frozenset[str]:
        """Return the members from which a message arrived within the lease time, and this one."""
        return frozenset() if self._replica is None else self._replica.reachable_members(self._now())

    def stored_position(self) -> Position:
        """Return the position of the document that is synced here."""
        return Position() if self._replica is None else self._replica.record().document.position

    def promised_epoch(self) -> int:
        """Return the highest epoch that is promised here."""
        return 0 if self._replica is None else self._replica.promised_epoch()

    @property
    def transport(self) -> Transport:
        """The connections to the other members."""
        return self._transport

    @property
    def pending_calls(self) -> int:
        """The number of calls of this process that wait for their outcome."""
        return len(self._calls)

    @property
    def pending_writes(self) -> int:
        """The number of disk writes that are under way on the storage thread or wait for it."""
        return len(self._writes)

    def is_member(self) -> bool:
        """Return whether this machine is a member with the storage that it has: not joining or recovering."""
        return self._replica is not None and self._replica.is_member()

    async def transfer(self) -> Transferred | NoSuccessor | NotPrimary | Uncertain:
        """Hand the leadership over to the most up-to-date reachable member, and continue as its backup."""
        role = self.role()
        if self._replica is None or not isinstance(role, Primary):
            return NotPrimary(role.primary if isinstance(role, Following) else None)
        if self.reachable_members() <= {self._settings.ip}:
            return NoSuccessor()
        await self._hand_over(self._replica)
        epoch = self.snapshot().epoch
        return Transferred(epoch) if epoch > role.epoch else Uncertain("no successor was established in time")

    async def propose(
        self, change: Change, limit: float = 3.0, size: int = 0
    ) -> Committed | Declined | NotPrimary | Overloaded | Uncertain:
        """Change the document; `change` must be pure, and is called with the newest committed payload.

        A payload above `MAX_PAYLOAD_BYTES` is declined as `PayloadTooLarge`. `limit` is the timeout in
        seconds, and `size` the number of bytes of memory that the change occupies while it waits.
        """
        outcome = await self._call(
            lambda replica, ticket: replica.propose(ticket, change, self._now(), size), limit
        )
        return Uncertain("unexpected outcome") if isinstance(outcome, Confirmed) else outcome

    async def confirm(self, limit: float = 1.0) -> Confirmed | NotPrimary | Uncertain:
        """Confirm leadership by a heartbeat round that starts after this call; `limit` is the timeout."""
        outcome = await self._call(lambda replica, ticket: replica.confirm(ticket, self._now()), limit)
        return outcome if isinstance(outcome, Confirmed | NotPrimary) else _as_uncertain(outcome)

    async def _call(
        self, start_call: Callable[[Replica, int], list[Effect]], limit: float
    ) -> ProposeOutcome | ConfirmOutcome:
        replica = self._replica
        if replica is None or self._stopped:
            return NotPrimary(None)
        self._last_ticket += 1
        ticket = self._last_ticket
        future: asyncio.Future[ProposeOutcome | ConfirmOutcome] = asyncio.get_running_loop().create_future()
        self._calls[ticket] = future
        try:
            self._apply(start_call(replica, ticket))
            async with asyncio.timeout(limit):
                return await future
        except TimeoutError:
            return Uncertain("no answer within the limit")
        finally:
            del self._calls[ticket]
            if not self._stopped:
                self._apply(replica.abandon(ticket, self._now()))

    async def _hand_over(self, replica: Replica) -> None:
        """Hand over, and continue to vote and acknowledge until the successor is established."""
        epoch = replica.snapshot().epoch
        self._apply(replica.transfer(self._now()))
        with suppress(TimeoutError):
            async with asyncio.timeout(TRANSFER_TIMEOUT):
                while replica.snapshot().epoch == epoch:
                    self._commit_event.clear()
                    await self._commit_event.wait()
        await self._transport.drain(DRAIN_TIMEOUT)

    def _timing(self) -> Timing:
        return Timing(**{field.name: getattr(self._settings, field.name) for field in fields(Timing)})

    def _load_record(self) -> Record | None:
        """Return the stored record, None if it is lost or there was none; runs on the storage thread."""
        outcome = load_with_retries(self._storage, self._stop_reading)
        if isinstance(outcome, Found):
            return outcome.record
        if isinstance(outcome, Empty):
            first = self._settings.bootstrap and self._settings.ip in self._settings.seeds
            return self._bootstrap_record() if first else None
        faults = [f"{fault.slot}: {fault.kind.value}: {fault.detail}" for fault in outcome.faults]
        logger.error("storage lost", extra={"faults": faults})
        return None

    def _bootstrap_record(self) -> Record:
        members = tuple(Member(ip) for ip in self._settings.seeds)
        return Record(0, 0, True, Document(Position(), Configuration(members), b""))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _receive(self, sender: str, incarnation: int, message: Message) -> None:
        if self._replica is not None and not self._stopped:
            self._apply(self._replica.receive(sender, incarnation, message, self._now()))

    def _disconnected(self, peer: str) -> None:
        if self._replica is not None and not self._stopped:
            self._apply(self._replica.disconnected(peer, self._now()))

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        if self._replica is not None and not self._stopped:
            self._apply(self._replica.tick(self._now()))

    def _schedule(self) -> None:
        replica = self._replica
        if replica is None or self._stopped:
            return
        wakeup = max(replica.next_wakeup(), self._now() + MIN_TICK_INTERVAL)
        if self._timer is not None and self._timer_at <= wakeup:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wakeup
        self._timer = asyncio.get_running_loop().call_at(wakeup, self._tick)

    def _apply(self, effects: list[Effect]) -> None:
        """Carry out effects in order, including those that arise while others are carried out."""
        self._pending_effects.extend(effects)
        if self._is_applying:
            return
        self._is_applying = True
        try:
            while self._pending_effects:
                self._apply_one(self._pending_effects.popleft())
        finally:
            self._is_applying = False
        self._schedule()

    def _apply_one(self, effect: Effect) -> None:
        match effect:
            case Send():
                self.activity.count_sent(effect.message)
                self._transport.send(effect.to, effect.message)
            case Persist():
                self._persist(effect)
            case Resolve():
                self._resolve(effect)
            case CommitApplied():
                self._commit_event.set()
                self._on_commit(effect.snapshot)
            case RoleChanged():
                self.activity.role_changes += 1
                self._on_role(effect.role)

    def _persist(self, effect: Persist) -> None:
        task = asyncio.create_task(self._write(effect))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write(self, effect: Persist) -> None:
        stored = await self._storage_thread.run(self._save_record, effect.record)
        if self._replica is not None and not self._stopped:
            succeeded = stored is effect.record
            self._apply(self._replica.persisted(effect.ticket, stored, succeeded, self._now()))

    def _save_record(self, record: Record) -> Record | None:
        """Store a record and return it; after a failure, return the record that the disk holds."""
        with self.activity.writes.measure() as write:
            write.succeeded = self._storage.save(record)
        return record if write.succeeded else self._load_record()

    def _resolve(self, effect: Resolve) -> None:
        future = self._calls.get(effect.ticket)
        if future is not None and not future.done():
            future.set_result(effect.outcome)


def _as_uncertain(outcome: Committed | Declined | Overloaded | Uncertain) -> Uncertain:
    return outcome if isinstance(outcome, Uncertain) else Uncertain("unexpected outcome")
