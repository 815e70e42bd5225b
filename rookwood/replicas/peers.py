"""The ledger's store on the dispatchers themselves: `store { peers yes }`. No server, no disk.

The holder of the duty `claims` leads a group (`group.py`), takes each step of the store's interface on its
own copy, and answers once a majority has what the step changed. Everybody else asks the holder. Who holds the
duty is a lease's word, so a step is refused, not guessed, while nobody does; that nothing runs twice hangs on
the group alone.

Where no majority is whole, since too many started anew at once, the group begins anew and a new generation of
the store's history with it: a key without a record is then refused until all claims of the window can be over
(`ledger/watch.py`).
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
from rookwood.ledger.life import Ask, Phase, Record
from rookwood.ledger.store import NotTakenError, Reply, Steps, StoreError, Tier
from rookwood.ledger.watch import Mark, Member, Watch, new_mark
from rookwood.replicas import wire
from rookwood.replicas.group import Group, Letter

log = structlog.stdlib.get_logger(__name__)

DUTY = "claims"
BUCKETS = 256  # of keys: what differs is shipped by these
RUN_ID = "peers"  # there is no server whose restart could lose anything: a generation tells of that
MARK, MEMBERS, CLOCK, RECORD = "mark", "members", "clock", "r:"
AGAIN = timedelta(milliseconds=40)  # until what has no majority yet is said once more
LIMIT = timedelta(milliseconds=400)  # of a step, its way to the leader and back included
WAIT = timedelta(milliseconds=15)  # until a step that met no leader is tried again
NOT_TAKEN = b"not taken"  # beside the reason why a step failed, where that is certain
ALONE = timedelta(seconds=1)  # a majority answers and is not whole: then the group begins anew
COMPARED = timedelta(seconds=1)  # between two looks for what a member has missed
OLD = timedelta(seconds=10)  # between two looks for records that nobody asks for any more
LOOKED = 200  # records that are looked at in one tick


class Place(Protocol):
    """Where it runs: who holds the duty, and a way to the others."""

    me: str

    def token(self, now: datetime) -> Token | None: ...

    def holder(self, now: datetime) -> str: ...

    def behind(self, term: int, now: datetime) -> None: ...

    def send(self, to: str | None, frame: Frame) -> None: ...


class GroupBook:
    """A `Book` on the leader's copy; what is put is kept aside."""

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
    duty = DUTY

    def __init__(self, tier: Tier, now: Callable[[], datetime]) -> None:
        self._tier, self._now = tier, now
        self._place: Place | None = None
        self.group: Group | None = None
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[Reply]] = {}  # at another's, by number
        self._writes: dict[int, asyncio.Future[bool]] = {}  # here, by ticket
        self._busy: dict[str, asyncio.Future[bool]] = {}  # keys whose last write does not count yet
        self._tasks: set[asyncio.Task[None]] = set()
        self._again = self._swept = self._compared = now()
        self._to_look: list[str] = []  # records, for their age
        self._base: tuple[Token, bool, datetime, datetime] | None = None  # whose, here, and the store's time
        self._leading: Token | None = None
        self._since = now()  # that it leads, or tries to
        self.begun = 0  # new beginnings

    def bind(self, place: Place, members: tuple[str, ...]) -> None:
        self._place, self.group = place, Group(place.me, members, secrets.randbits(60), BUCKETS)

    def whole(self) -> bool:
        """Whether this member counts in a majority: it has recovered what it may have acknowledged."""
        return self.group is not None and self.group.whole

    # ---- the group ----

    def _send(self, letters: list[Letter]) -> None:
        assert self._place
        for to, message in letters:
            self._place.send(to, GroupWord(wire.message_of(message)))

    def tick(self, now: datetime) -> None:
        assert self._place and self.group
        token = self._place.token(now)
        if token != self._leading:
            self._leading, self._since = token, now
            if token is None:
                self.group.stop()
        again = now - self._again >= AGAIN
        if token and not self.group.leads:
            if token < self.group.promised:
                self._place.behind(self.group.promised.term, now)
            elif again:
                self._send(self.group.lead(token))
                if now - self._since >= ALONE:
                    self._found(token, now)
        if again:
            self._again = now
            self._send(self.group.again())
        if now - self._compared >= COMPARED:
            self._compared = now
            self._send(self.group.compare())
            if self.group.leads and token:  # so that it goes on from here, whoever leads next
                time = wire.time_of(self._time(now))
                self._send(self.group.put({CLOCK: time}, next(self._numbers)))
        if not (self.group.leads and token):
            self._to_look.clear()
        elif self._to_look:
            self._sweep(self._time(now))
        elif now - self._swept >= OLD:
            self._swept, self._to_look = now, [key for key in self.group.entries if key.startswith(RECORD)]
        self._settle()

    def _found(self, token: Token, now: datetime) -> None:
        assert self.group
        generation, self._base = secrets.token_hex(8), None

        def values() -> dict[str, bytes]:
            assert self.group
            if (old := GroupBook(self.group).mark()) is None:
                return {}  # nobody has anything: the first history begins, untrusted
            mark = new_mark(old, generation, RUN_ID, old.count, self._time(self._now()))
            return {MARK: wire.mark_of(mark), MEMBERS: wire.members_of({})}

        letters = self.group.found(token, values)
        if letters or self.group.leads:
            self.begun += 1
            log.warning("no majority remembers: the registers begin anew", token=token.term)
        self._send(letters)

    def _time(self, now: datetime) -> datetime:
        """The store's own clock: it goes on from when a leader last wrote, by the monotonic clock of who
        leads, so wall clocks may be wrong. While nobody leads it stands, so records only live longer."""
        assert self.group
        token, leads, base = self.group.promised, self.group.leads, self._base
        if base is None or base[:2] != (token, leads):
            last = self.group.entries.get(CLOCK)
            time = wire.time_from(last.value) if last else now
            if base and base[0] == token:
                time = max(time, base[3] + (now - base[2]))
            base = self._base = (token, leads, now, time)
        return base[3] + (now - base[2])

    def _sweep(self, time: datetime) -> None:
        """A few at a time: all of a hundred thousand would halt it for longer than a lease."""
        assert self.group
        some, self._to_look = self._to_look[:LOOKED], self._to_look[LOOKED:]
        entries = [entry for key in some if (entry := self.group.entries.get(key)) and entry.value]
        old = [e.key for e in entries if not life.live(wire.record_from(e.value), time)]
        self._send(self.group.drop(old))

    def _settle(self) -> None:
        """Whoever waits for a write hears of it."""
        assert self.group
        for ticket, counts in self.group.done:
            waiting = self._writes.pop(ticket, None)
            if waiting and not waiting.done():
                waiting.set_result(counts)
        self.group.done.clear()

    def heard(self, sender: str, frame: Frame) -> bool:
        """False: it is none of this store's."""
        if self.group is None or self._place is None:
            return False
        match frame:
            case GroupWord(body):
                try:
                    self._send(self.group.heard(sender, wire.message_from(body)))
                except FrameError as error:
                    log.warning("a word was not understood", member=sender, why=str(error))
                self._settle()
            case StoreCall(number, body):
                task = asyncio.ensure_future(self._answer(sender, number, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case StoreSaid(number, body, why):
                waiting = self._asked.pop(number, None)
                if waiting and not waiting.done():
                    try:
                        if why:
                            raise (NotTakenError if body == NOT_TAKEN else StoreError)(f"{sender}: {why}")
                        waiting.set_result(wire.reply_from(body))
                    except StoreError as error:
                        waiting.set_exception(error)
                    except FrameError as error:
                        waiting.set_exception(StoreError(f"{sender}: {error}"))
            case _:
                return False
        return True

    async def _answer(self, sender: str, number: int, body: bytes) -> None:
        assert self._place
        try:
            call, place = wire.call_from(body), self._place

            def holds() -> bool:
                """Who holds the duty and does not lead yet will in a moment; callers need not ask again."""
                return place.token(self._now()) is not None

            reply = await self._once_led(lambda: self._step(call), holds)
            said = StoreSaid(number, wire.reply_of(reply), "")
        except (StoreError, FrameError) as error:
            sure = NOT_TAKEN if isinstance(error, NotTakenError) else b""
            said = StoreSaid(number, sure, str(error) or "failed")
        except Exception:
            log.exception("a step failed")
            said = StoreSaid(number, b"", "failed")
        self._place.send(sender, said)

    def told(self) -> dict[str, Any]:
        """For the second address: this member's copy."""
        group = self.group
        if group is None:
            return {}
        return {
            "me": group.me,
            "whole": group.whole,
            "leads": group.leads,
            "leader": group.promised.holder,
            "term": group.promised.term,
            "registers": len(group.entries),
            "pending": group.pending(),
            "compared": group.compared,
            "behind": group.behind,
            "digest": f"{zlib.crc32(b''.join(group.digests())):08x}",
            "begun": self.begun,
            "unexplained": [
                {"key": one.key, "stamp": str(one.stamp), "values": [one.value.hex(), other.value.hex()]}
                for one, other in group.differ
            ],
        }

    def figures(self) -> Iterator[str]:
        if self.group:
            yield f"replicas.whole:{int(self.group.whole)}|g"
            yield f"replicas.leads:{int(self.group.leads)}|g"
            yield f"replicas.registers:{len(self.group.entries)}|g"
            yield f"replicas.pending:{self.group.pending()}|g"
            yield f"replicas.digest:{zlib.crc32(b''.join(self.group.digests()))}|g"
            yield f"replicas.begun:{self.begun}|c"
            yield f"replicas.unexplained:{len(self.group.differ)}|c"

    # ---- steps ----

    async def _call(self, call: wire.Call) -> Reply:
        """While nobody leads it waits: that is over in a lease or two, and whoever is refused comes back."""
        return await self._once_led(lambda: self._routed(call), lambda: True)

    async def _once_led(self, step: Callable[[], Awaitable[Reply]], waits: Callable[[], bool]) -> Reply:
        """A step that was not taken is made again for as long as a step may last, while `waits` says so."""
        refused: NotTakenError | None = None
        try:
            async with asyncio.timeout(LIMIT.total_seconds()):
                while True:
                    refused = None  # from here on nobody knows
                    try:
                        return await step()
                    except NotTakenError as error:
                        refused = error
                        if not waits():
                            raise
                    await asyncio.sleep(WAIT.total_seconds())
        except TimeoutError:
            raise (refused or StoreError("peers: no answer in time")) from None

    async def _routed(self, call: wire.Call) -> Reply:
        if self._place is None or self.group is None:
            raise NotTakenError("peers: there is no section 'duties'")
        now = self._now()
        if self._place.token(now):
            return await self._step(call)
        holder = self._place.holder(now)
        if not holder or holder == self._place.me:
            raise NotTakenError("peers: nobody leads")
        number = next(self._numbers)
        waiting: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._asked[number] = waiting
        try:
            self._place.send(holder, StoreCall(number, wire.call_of(call)))
            return await waiting
        finally:
            self._asked.pop(number, None)

    async def _step(self, call: wire.Call) -> Reply:
        """Here, where the duty is held. Raises `StoreError` where nobody knows what came of it."""
        assert self._place and self.group
        key = call.ask.key if call.ask else call.key
        while key and (busy := self._busy.get(key)):
            await asyncio.wait((busy,))  # else an answer could tell of what does not count in the end
        now = self._now()
        # The lease may go on under a higher token than the one by which the group was taken over: who leads
        # it is settled there, and the lease only has to run.
        if not self.group.leads or self._place.token(now) is None:
            raise NotTakenError("peers: the leader is not ready")
        book = GroupBook(self.group)
        time = self._time(now)
        reply = self._taken(Steps(book, self._tier, time), call)
        if not book.changes:
            return reply
        book.changes[CLOCK] = wire.time_of(time)
        ticket = next(self._numbers)
        waiting = self._writes[ticket] = asyncio.get_running_loop().create_future()
        if key:
            self._busy[key] = waiting
        try:
            self._send(self.group.put(book.changes, ticket))
            self._settle()
            async with asyncio.timeout(LIMIT.total_seconds()):
                counts = await asyncio.shield(waiting)
        except TimeoutError:
            counts = False
        finally:
            if self._busy.get(key) is waiting:
                del self._busy[key]
            if not waiting.done():
                waiting.cancel()
        if not counts:
            raise StoreError("peers: no majority has taken it yet")
        return reply

    @staticmethod
    def _taken(steps: Steps, call: wire.Call) -> Reply:
        seen = call.seen or Watch()
        match call.step:
            case "look":
                return steps.look()
            case "begin":
                return steps.begin(call.generation, call.known, call.was, call.trusted)
            case "join" if call.member:
                return steps.join(seen, call.member, call.records)
            case "claim" if call.ask:
                return steps.claim(seen, call.ask)
            case "renew":
                return steps.renew(seen, call.key, call.token, timedelta(seconds=call.lease))
            case "settle" if call.phase:
                return steps.settle(seen, call.key, call.token, call.phase, call.result)
            case "release":
                return steps.release(seen, call.key, call.token)
        raise FrameError(f"no step {call.step!r}")

    # ---- the store's interface ----

    async def look(self) -> Reply:
        return await self._call(wire.Call("look"))

    async def begin(self, generation: str, known: int, seen: str, trusted: bool) -> Reply:
        call = wire.Call("begin", generation=generation, known=known, was=seen, trusted=trusted)
        return await self._call(call)

    async def join(self, seen: Watch, member: Member, records: Mapping[str, Record]) -> Reply:
        return await self._call(wire.Call("join", seen, member=member, records=dict(records)))

    async def claim(self, seen: Watch, ask: Ask) -> Reply:
        return await self._call(wire.Call("claim", seen, ask=ask))

    async def renew(self, seen: Watch, key: str, token: int, lease: timedelta) -> Reply:
        return await self._call(wire.Call("renew", seen, key, token, lease=lease.total_seconds()))

    async def settle(self, seen: Watch, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return await self._call(wire.Call("settle", seen, key, token, phase=phase, result=result))

    async def release(self, seen: Watch, key: str, token: int) -> Reply:
        return await self._call(wire.Call("release", seen, key, token))

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
