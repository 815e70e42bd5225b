"""The ledger's store on the dispatchers themselves: `store { peers yes }`. No server, no disk.

The holder of the duty `claims` leads a group (`group.py`). It applies each step of the store's interface to
its own copy and replies once a majority has the changes. The other dispatchers send their steps to the
holder. The duty is held under a lease, so steps are rejected while nobody holds it. That no job runs twice
depends on the group alone, not on the lease.

Where no majority is recovered, since too many members restarted at once, the group is reinitialized and a new
generation of the store's history begins. Keys without a record are then rejected until all claims of the
window can be over (`ledger/watch.py`).
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
import zlib
from collections.abc import Awaitable, Callable, Iterator, Mapping
from datetime import datetime, timedelta
from typing import Any, Protocol

import structlog

from rookwood.duties.lease import Token
from rookwood.gateway.frames import Frame, FrameError, GroupWord, StoreCall, StoreSaid
from rookwood.ledger import life
from rookwood.ledger.life import ClaimRequest, Phase, Record
from rookwood.ledger.store import NotAppliedError, Reply, Steps, StoreError, TrustPolicy
from rookwood.ledger.watch import KnownHistory, Mark, Member, new_mark
from rookwood.replicas import wire
from rookwood.replicas.group import Group, Letter

log = structlog.stdlib.get_logger(__name__)

DUTY = "claims"
BUCKETS = 256  # of keys; copies are compared and transferred by bucket
RUN_ID = "peers"  # constant: there is no server, and a loss of records begins a new generation instead
MARK, MEMBERS, CLOCK, RECORD = "mark", "members", "clock", "r:"
RESEND_INTERVAL = timedelta(milliseconds=40)  # until an uncommitted write is sent again
STEP_TIMEOUT = timedelta(milliseconds=400)  # for a step, with the way to the leader and back
RETRY_INTERVAL = timedelta(milliseconds=15)  # until a step is tried again that found no leader
NOT_TAKEN = b"not taken"  # body of an error reply to a step that was certainly not applied
REINITIALIZE_AFTER = timedelta(seconds=1)  # a holder that cannot lead for this long reinitializes
COMPARE_INTERVAL = timedelta(seconds=1)  # between two messages with the leader's digests
SWEEP_INTERVAL = timedelta(seconds=10)  # between two searches for expired records
SWEEP_BATCH = 200  # records checked in one tick


class Host(Protocol):
    """The dispatcher that the store runs in: the duty's lease, and the links to the other members."""

    me: str

    def token(self, now: datetime) -> Token | None:
        """The token of the duty's lease, if this dispatcher holds it."""

    def holder(self, now: datetime) -> str:
        """The holder of the duty; empty if there is none."""

    def behind(self, term: int, now: datetime) -> None:
        """Reports that a member has promised a higher term than that of the lease."""

    def send(self, to: str | None, frame: Frame) -> None:
        """Sends a frame to a member; None: to all others."""


class GroupStorage:
    """A `Storage` on the leader's copy. Changes are collected in `changes`, not applied."""

    run_id = RUN_ID

    def __init__(self, group: Group) -> None:
        self._group, self.changes = group, dict[str, bytes]()

    def _value(self, key: str) -> bytes:
        if key in self.changes:
            return self.changes[key]
        entry = self._group.entries.get(key)
        return entry.value if entry else b""

    def mark(self) -> Mark | None:
        return wire.mark_from(data) if (data := self._value(MARK)) else None

    def set_mark(self, mark: Mark) -> None:
        self.changes[MARK] = wire.mark_of(mark)

    def members(self) -> dict[str, Member]:
        return wire.members_from(data) if (data := self._value(MEMBERS)) else {}

    def set_members(self, members: Mapping[str, Member]) -> None:
        self.changes[MEMBERS] = wire.members_of(dict(members))

    def get(self, key: str) -> Record | None:
        return wire.record_from(self._value(RECORD + key))

    def put(self, key: str, record: Record | None) -> None:
        self.changes[RECORD + key] = wire.record_of(record)


class PeersStore:
    """A `Store` that a group of dispatchers replicates. Also this member's part in the group."""

    duty = DUTY

    def __init__(self, trust: TrustPolicy, now: Callable[[], datetime]) -> None:
        self._trust, self._now = trust, now
        self._host: Host | None = None
        self.group: Group | None = None
        self._numbers = itertools.count(1)
        # Calls sent to the holder of the duty, by number.
        self._pending_calls: dict[int, asyncio.Future[Reply]] = {}
        self._pending_writes: dict[int, asyncio.Future[bool]] = {}  # writes of this leader, by ticket
        self._busy_keys: dict[str, asyncio.Future[bool]] = {}  # keys whose last write is not committed yet
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_resend = self._last_sweep = self._last_compare = now()
        self._keys_to_sweep: list[str] = []  # records still to be checked for expiry
        # The token and leadership that the base belongs to, the local time, and the store's time at it.
        self._clock_base: tuple[Token, bool, datetime, datetime] | None = None
        self._token: Token | None = None
        self._token_since = now()  # when `_token` last changed
        self.reinitializations = 0  # reinitializations by this member

    def bind(self, host: Host, members: tuple[str, ...]) -> None:
        """Attaches the store to its dispatcher; until then every step is rejected."""
        self._host, self.group = host, Group(host.me, members, secrets.randbits(60), BUCKETS)

    def is_recovered(self) -> bool:
        """Whether this member counts in a majority, with everything that it may have acknowledged."""
        return self.group is not None and self.group.recovered

    # ---- the group ----

    def _send(self, letters: list[Letter]) -> None:
        assert self._host
        for to, message in letters:
            self._host.send(to, GroupWord(wire.message_of(message)))

    def tick(self, now: datetime) -> None:
        """Leads or takes over if this member holds the duty, sends messages again, and sweeps."""
        assert self._host and self.group
        token = self._host.token(now)
        if token != self._token:
            self._token, self._token_since = token, now
            if token is None:
                self.group.step_down()
        again = now - self._last_resend >= RESEND_INTERVAL
        if token and not self.group.is_leader:
            if token < self.group.promised:
                self._host.behind(self.group.promised.term, now)
            elif again:
                self._send(self.group.lead(token))
                if now - self._token_since >= REINITIALIZE_AFTER:
                    self._reinitialize(token, now)
        if again:
            self._last_resend = now
            self._send(self.group.again())
        if now - self._last_compare >= COMPARE_INTERVAL:
            self._last_compare = now
            self._send(self.group.compare())
            if self.group.is_leader and token:  # the next leader goes on from this time
                time = wire.time_of(self._store_time(now))
                self._send(self.group.put({CLOCK: time}, next(self._numbers)))
        if not (self.group.is_leader and token):
            self._keys_to_sweep.clear()
        elif self._keys_to_sweep:
            self._sweep(self._store_time(now))
        elif now - self._last_sweep >= SWEEP_INTERVAL:
            self._last_sweep, self._keys_to_sweep = (
                now,
                [key for key in self.group.entries if key.startswith(RECORD)],
            )
        self._resolve_writes()

    def _reinitialize(self, token: Token, now: datetime) -> None:
        assert self.group
        generation, self._clock_base = secrets.token_hex(8), None

        def values() -> dict[str, bytes]:
            assert self.group
            if (old := GroupStorage(self.group).mark()) is None:
                return {}  # no member has a mark: the store stays empty until a history begins
            mark = new_mark(old, generation, RUN_ID, old.count, self._store_time(self._now()))
            return {MARK: wire.mark_of(mark), MEMBERS: wire.members_of({})}

        letters = self.group.reinitialize(token, values)
        if letters or self.group.is_leader:
            self.reinitializations += 1
            log.warning("no majority has recovered: reinitializing the registers", token=token.term)
        self._send(letters)

    def _store_time(self, now: datetime) -> datetime:
        """The store's own clock, which continues from the time that a leader last wrote.

        It starts from the time in the registers and advances with the leader's monotonic clock, so a wrong
        wall clock does no harm. While nobody leads it stands still, which only makes records live longer.
        """
        assert self.group
        token, leads, base = self.group.promised, self.group.is_leader, self._clock_base
        if base is None or base[:2] != (token, leads):
            last = self.group.entries.get(CLOCK)
            time = wire.time_from(last.value) if last else now
            if base and base[0] == token:
                time = max(time, base[3] + (now - base[2]))
            base = self._clock_base = (token, leads, now, time)
        return base[3] + (now - base[2])

    def _sweep(self, time: datetime) -> None:
        """Drops expired records of the next batch.

        Checking a hundred thousand records at once would block this process for longer than a lease.
        """
        assert self.group
        batch, self._keys_to_sweep = self._keys_to_sweep[:SWEEP_BATCH], self._keys_to_sweep[SWEEP_BATCH:]
        entries = [entry for key in batch if (entry := self.group.entries.get(key)) and entry.value]
        expired = [e.key for e in entries if not life.unexpired(wire.record_from(e.value), time)]
        self._send(self.group.drop(expired))

    def _resolve_writes(self) -> None:
        """Completes the futures of finished writes."""
        assert self.group
        for ticket, committed in self.group.finished:
            waiting = self._pending_writes.pop(ticket, None)
            if waiting and not waiting.done():
                waiting.set_result(committed)
        self.group.finished.clear()

    def receive(self, sender: str, frame: Frame) -> bool:
        """Handles a frame of another member. False: the frame is not for this store."""
        if self.group is None or self._host is None:
            return False
        match frame:
            case GroupWord(body):
                try:
                    self._send(self.group.receive(sender, wire.message_from(body)))
                except FrameError as error:
                    log.warning("invalid group message", member=sender, why=str(error))
                self._resolve_writes()
            case StoreCall(number, body):
                task = asyncio.ensure_future(self._serve_call(sender, number, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case StoreSaid(number, body, why):
                waiting = self._pending_calls.pop(number, None)
                if waiting and not waiting.done():
                    try:
                        if why:
                            raise (NotAppliedError if body == NOT_TAKEN else StoreError)(f"{sender}: {why}")
                        waiting.set_result(wire.reply_from(body))
                    except StoreError as error:
                        waiting.set_exception(error)
                    except FrameError as error:
                        waiting.set_exception(StoreError(f"{sender}: {error}"))
            case _:
                return False
        return True

    async def _serve_call(self, sender: str, number: int, body: bytes) -> None:
        assert self._host
        try:
            call, host = wire.call_from(body), self._host

            def holds() -> bool:
                """Whether this member holds the duty: it will lead soon, so the call waits here."""
                return host.token(self._now()) is not None

            reply = await self._retry_until_led(lambda: self._run_step(call), holds)
            response = StoreSaid(number, wire.reply_of(reply), "")
        except (StoreError, FrameError) as error:
            body_on_error = NOT_TAKEN if isinstance(error, NotAppliedError) else b""
            response = StoreSaid(number, body_on_error, str(error) or "failed")
        except Exception:
            log.exception("store step failed")
            response = StoreSaid(number, b"", "failed")
        self._host.send(sender, response)

    def status(self) -> dict[str, Any]:
        """The state of this member's copy, for the operations address."""
        group = self.group
        if group is None:
            return {}
        return {
            "me": group.me,
            "whole": group.recovered,
            "leads": group.is_leader,
            "leader": group.promised.holder,
            "term": group.promised.term,
            "registers": len(group.entries),
            "pending": group.pending(),
            "compared": group.compare_count,
            "behind": group.behind_buckets,
            "digest": f"{zlib.crc32(b''.join(group.digests())):08x}",
            "begun": self.reinitializations,
            "unexplained": [
                {"key": one.key, "stamp": str(one.stamp), "values": [one.value.hex(), other.value.hex()]}
                for one, other in group.conflicts
            ],
        }

    def stats_lines(self) -> Iterator[str]:
        """The lines of /ops/stats for this member's copy."""
        if self.group:
            yield f"replicas.whole:{int(self.group.recovered)}|g"
            yield f"replicas.leads:{int(self.group.is_leader)}|g"
            yield f"replicas.registers:{len(self.group.entries)}|g"
            yield f"replicas.pending:{self.group.pending()}|g"
            yield f"replicas.digest:{zlib.crc32(b''.join(self.group.digests()))}|g"
            yield f"replicas.begun:{self.reinitializations}|c"
            yield f"replicas.unexplained:{len(self.group.conflicts)}|c"

    # ---- steps ----

    async def _call(self, call: wire.Call) -> Reply:
        """Sends a step to the leader, waiting while nobody leads.

        A new leader follows within a lease or two, and rejected clients would retry anyway.
        """
        return await self._retry_until_led(lambda: self._route(call), lambda: True)

    async def _retry_until_led(
        self, step: Callable[[], Awaitable[Reply]], may_wait: Callable[[], bool]
    ) -> Reply:
        """Repeats a step that was not applied, until its timeout, while `waits()` is true."""
        not_applied: NotAppliedError | None = None
        try:
            async with asyncio.timeout(STEP_TIMEOUT.total_seconds()):
                while True:
                    not_applied = None  # a timeout during the step leaves it unknown whether it was applied
                    try:
                        return await step()
                    except NotAppliedError as error:
                        not_applied = error
                        if not may_wait():
                            raise
                    await asyncio.sleep(RETRY_INTERVAL.total_seconds())
        except TimeoutError:
            raise (not_applied or StoreError("peers: no response in time")) from None

    async def _route(self, call: wire.Call) -> Reply:
        if self._host is None or self.group is None:
            raise NotAppliedError("peers: there is no section 'duties'")
        now = self._now()
        if self._host.token(now):
            return await self._run_step(call)
        holder = self._host.holder(now)
        if not holder or holder == self._host.me:
            raise NotAppliedError("peers: nobody leads")
        number = next(self._numbers)
        waiting: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = waiting
        try:
            self._host.send(holder, StoreCall(number, wire.call_of(call)))
            return await waiting
        finally:
            self._pending_calls.pop(number, None)

    async def _run_step(self, call: wire.Call) -> Reply:
        """Applies a step on this leader. Raises `StoreError` where its outcome is unknown."""
        assert self._host and self.group
        key = call.claim_request.key if call.claim_request else call.key
        while key and (busy := self._busy_keys.get(key)):
            await asyncio.wait((busy,))  # else a reply could reveal a write that is never committed
        now = self._now()
        # The lease may continue under a higher token than that of the takeover: the group decides who leads,
        # and the lease only has to be valid.
        if not self.group.is_leader or self._host.token(now) is None:
            raise NotAppliedError("peers: the leader is not ready")
        storage = GroupStorage(self.group)
        time = self._store_time(now)
        reply = self._dispatch(Steps(storage, self._trust, time), call)
        if not storage.changes:
            return reply
        storage.changes[CLOCK] = wire.time_of(time)
        ticket = next(self._numbers)
        waiting = self._pending_writes[ticket] = asyncio.get_running_loop().create_future()
        if key:
            self._busy_keys[key] = waiting
        try:
            self._send(self.group.put(storage.changes, ticket))
            self._resolve_writes()
            async with asyncio.timeout(STEP_TIMEOUT.total_seconds()):
                committed = await asyncio.shield(waiting)
        except TimeoutError:
            committed = False
        finally:
            if self._busy_keys.get(key) is waiting:
                del self._busy_keys[key]
            if not waiting.done():
                waiting.cancel()
        if not committed:
            raise StoreError("peers: no majority has acknowledged the write")
        return reply

    @staticmethod
    def _dispatch(steps: Steps, call: wire.Call) -> Reply:
        history = call.history or KnownHistory()
        match call.step:
            case "look":
                return steps.read_history()
            case "begin":
                return steps.begin_history(
                    call.generation, call.highest_token, call.expected_generation, call.trusted
                )
            case "join" if call.member:
                return steps.join_history(history, call.member, call.records)
            case "claim" if call.claim_request:
                return steps.claim(history, call.claim_request)
            case "renew":
                return steps.renew(history, call.key, call.token, timedelta(seconds=call.lease))
            case "settle" if call.phase:
                return steps.settle(history, call.key, call.token, call.phase, call.result)
            case "release":
                return steps.release(history, call.key, call.token)
        raise FrameError(f"no step {call.step!r}")

    # ---- the store's interface ----

    async def read_history(self) -> Reply:
        return await self._call(wire.Call("look"))

    async def begin_history(
        self, generation: str, highest_token: int, expected_generation: str, trusted: bool
    ) -> Reply:
        call = wire.Call(
            "begin",
            generation=generation,
            highest_token=highest_token,
            expected_generation=expected_generation,
            trusted=trusted,
        )
        return await self._call(call)

    async def join_history(
        self, history: KnownHistory, member: Member, records: Mapping[str, Record]
    ) -> Reply:
        return await self._call(wire.Call("join", history, member=member, records=dict(records)))

    async def claim(self, history: KnownHistory, claim_request: ClaimRequest) -> Reply:
        return await self._call(wire.Call("claim", history, claim_request=claim_request))

    async def renew(self, history: KnownHistory, key: str, token: int, lease: timedelta) -> Reply:
        return await self._call(wire.Call("renew", history, key, token, lease=lease.total_seconds()))

    async def settle(self, history: KnownHistory, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return await self._call(wire.Call("settle", history, key, token, phase=phase, result=result))

    async def release(self, history: KnownHistory, key: str, token: int) -> Reply:
        return await self._call(wire.Call("release", history, key, token))

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
