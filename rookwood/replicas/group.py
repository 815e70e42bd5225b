"""Registers that a majority of members keeps in memory alone: messages in and out, no I/O, no clock.

One member leads, under a token that the others check; each register is written by it and counts once a
majority has it (multi-decree Paxos with a lasting leader; each register is its own, so there is no log to
keep in order). A newer value is one of a higher stamp: the leader's token, then a serial number.

Nobody has a disk. A member that has started has forgotten what it acknowledged and promised, so it is not
*whole*: it counts in no majority, until it has recovered: a majority of the others, all whole, has told what
they promised, the leader is of the highest of these, and all that the leader has is here (after
viewstamped replication revisited, Liskov and Cowling 2012, section 4.3, with a nonce).

Who takes over reads from a majority of whole members, newest stamp wins, writes what it read to a majority,
and leads from then on. Where no majority is whole any more, memory may have been lost: `found` begins anew
with what is left, and says so, and whoever uses the registers must not trust that what is missing never was.

Copies are compared by digests of buckets of keys (`registers.py`), and what differs is shipped by itself, a
few buckets at a time. The leader tells its digests now and then: whoever has missed a write, or has what
nobody acknowledged, takes over what the leader has. That is safe since all that counts is at the leader.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from rookwood.duties.lease import Token
from rookwood.replicas.registers import Entry, Registers, Stamp

BUCKETS = 64
WINDOW = 8  # buckets that are asked of one member at a time; parts of a write on their way to one
PART = 500  # entries that travel in one part of a write
REMINDED = 32  # writes that are said once more at a time, the oldest first
NOBODY = Token(0, "", 0)


# ---- messages; `round` ties answers to what was asked ----


@dataclass(frozen=True, slots=True)
class Prepare:
    """Whoever has the duty asks to lead."""

    token: Token


@dataclass(frozen=True, slots=True)
class Promise:
    token: Token  # nothing by a lower one is taken from now on
    whole: bool
    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """Another token is promised."""

    token: Token  # of the question
    promised: Token


@dataclass(frozen=True, slots=True)
class Fetch:
    token: Token
    bucket: int
    have: tuple[int, ...] = ()  # the marks of what is here


@dataclass(frozen=True, slots=True)
class Bucket:
    token: Token
    bucket: int
    entries: tuple[Entry, ...]  # that the asker does not have
    gone: tuple[int, ...] = ()  # marks of what it has and the asked does not
    serial: int = 0  # of the leader's last write by then; 0: it does not lead


@dataclass(frozen=True, slots=True)
class Write:
    token: Token
    number: int  # of this write
    entries: tuple[Entry, ...]
    found: bool = False  # a new beginning: whoever takes all of it is whole
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, slots=True)
class Ack:
    token: Token
    number: int
    part: int = 0


@dataclass(frozen=True, slots=True)
class Tally:
    """Of the leader: what it has, for whoever has missed some of it."""

    token: Token
    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Drop:
    """Of the leader: registers that nobody will ask for any more."""

    token: Token
    serial: int  # of its last write
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Recover:
    """Of one that has started: what have you promised, and who leads?"""

    nonce: int


@dataclass(frozen=True, slots=True)
class Recovery:
    nonce: int
    whole: bool
    promised: Token
    leads: bool
    digests: tuple[bytes, ...] = ()  # of the leader


Message = Prepare | Promise | Refused | Fetch | Bucket | Write | Ack | Recover | Recovery | Tally | Drop
Letter = tuple[str | None, Message]  # None: to all others


@dataclass(slots=True)
class Pending:
    """A write that is not on a majority yet."""

    writes: tuple[Write, ...]  # its parts
    acks: dict[str, set[int]]  # by member: parts that it has
    ticket: int  # of whoever waits for it; 0: nobody

    def missing(self, name: str) -> list[Write]:
        have = self.acks.get(name, ())
        return [write for write in self.writes if write.part not in have]


@dataclass(slots=True)
class Takeover:
    promises: dict[str, Promise] = field(default_factory=dict)
    reading: set[str] = field(default_factory=set)  # the majority that is read
    wanted: set[tuple[str, int]] = field(default_factory=set)  # buckets that are still to come
    changed: set[str] = field(default_factory=set)  # keys that one of those who are read does not share
    confirming: int = 0  # the write of what was read
    founds: Callable[[], Mapping[str, bytes]] | None = None  # a new beginning, and what is written with it


@dataclass(slots=True)
class Recovering:
    nonce: int
    answers: dict[str, Recovery] = field(default_factory=dict)
    leader: str = ""
    wanted: set[int] = field(default_factory=set)


class Group:
    def __init__(self, me: str, members: Iterable[str], nonce: int, buckets: int = BUCKETS) -> None:
        """`nonce`: another one for each process. `buckets`: 256 at most, the same at all."""
        self.me, self.members, self._buckets = me, tuple(sorted(members)), buckets
        self._kept = Registers(buckets)
        self.promised, self.whole, self.leads = NOBODY, False, False
        self.done: list[
            tuple[int, bool]
        ] = []  # tickets, and whether their writes count; taken out by the owner
        self.differ: list[tuple[Entry, Entry]] = []  # one stamp, two values: no rule explains it
        self.compared, self.behind = 0, 0  # times that the leader's digests came; buckets that differed last
        self._nonce = nonce
        self._serial = self._number = 0
        self._pending: dict[int, Pending] = {}
        self._takeover: Takeover | None = None
        self._recovering: Recovering | None = None
        self._mirror: set[int] = set()  # buckets in which the leader differs, still to come
        self._parts: tuple[Token, int, frozenset[int]] = (NOBODY, 0, frozenset())  # of a new beginning

    @property
    def entries(self) -> dict[str, Entry]:
        return self._kept.entries

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    # ---- what is here ----

    def digests(self) -> tuple[bytes, ...]:
        return self._kept.digests()

    def _take(self, entries: Iterable[Entry]) -> None:
        """The newest stamp wins, in whichever order they come."""
        for entry in entries:
            old = self.entries.get(entry.key)
            if old is None or entry.stamp > old.stamp:
                self._kept.put(entry)
            elif entry.stamp == old.stamp and entry.value != old.value:
                self.differ.append((old, entry))

    def drop(self, keys: Iterable[str]) -> list[Letter]:
        """Registers that nobody will ask for any more: by their age, which their owner knows. Only while it
        leads: the others drop what they are told to."""
        assert self.leads
        gone = tuple(keys)
        for key in gone:
            self._kept.drop(key)
        return [(None, Drop(self.promised, self._serial, gone))] if gone else []

    def _drop_older(self, keys: Iterable[str], stamp: Stamp) -> None:
        """What was written since the leader said so stays."""
        for key in keys:
            if (entry := self.entries.get(key)) and entry.stamp <= stamp:
                self._kept.drop(key)

    def _differing(self, digests: tuple[bytes, ...]) -> set[int]:
        return {n for n, (a, b) in enumerate(zip(self.digests(), digests, strict=False)) if a != b}

    def _fetches(self, token: Token, name: str, buckets: Iterable[int]) -> list[Letter]:
        """A few at a time, each with what is here: the answers must not keep anybody from its work."""
        return [(name, Fetch(token, n, self._kept.marks(n))) for n in sorted(buckets)[:WINDOW]]

    def _next(self, token: Token, name: str, buckets: Iterable[int]) -> list[Letter]:
        """One has come: the one that the window has moved on to is asked for."""
        return self._fetches(token, name, buckets)[WINDOW - 1 :]

    # ---- leading ----

    def lead(self, token: Token) -> list[Letter]:
        """The duty is held here by this token. Asked again and again until `leads`; nothing is lost by it."""
        if token < self.promised:
            return []
        if token != self.promised or not (self.leads or self._takeover):
            self._stop()
            self.promised, self._takeover = token, Takeover()
        if self.leads:
            return []
        take = self._takeover
        assert take
        if self.me not in take.promises:
            take.promises[self.me] = Promise(token, self.whole, self.digests())
        letters: list[Letter] = [(name, Prepare(token)) for name in self.members if name not in take.promises]
        letters += self._wanted(token, take)
        if take.confirming and (pending := self._pending.get(take.confirming)):
            letters += self._to_missing(pending)
        return letters + self._read(token)

    def stop(self) -> None:
        """The duty is held no more."""
        self._stop()

    def _stop(self) -> None:
        self.leads, self._takeover = False, None
        self.done += [(pending.ticket, False) for pending in self._pending.values() if pending.ticket]
        self._pending.clear()

    def _wanted(self, token: Token, take: Takeover) -> list[Letter]:
        letters = list[Letter]()
        for name in sorted({name for name, _ in take.wanted}):
            letters += self._fetches(token, name, (n for other, n in take.wanted if other == name))
        return letters

    def found(self, token: Token, values: Callable[[], Mapping[str, bytes]]) -> list[Letter]:
        """No majority is whole, for so long that none will be: begins anew with what is left, in the
        knowledge that something may be missing, which `values` say. They are asked for once all that is left
        has been read, since who begins may have nothing. Only while taking over, a majority answering."""
        take = self._takeover
        if take is None or token != self.promised or take.reading or len(take.promises) < self.majority:
            return []
        take.founds = values
        return self._asks(token, take, set(take.promises))

    def _read(self, token: Token) -> list[Letter]:
        """Once a majority of whole members has promised: what differs from here is fetched."""
        take = self._takeover
        if take is None or take.reading:
            return []
        whole = {name for name, promise in take.promises.items() if promise.whole}
        if len(whole) < self.majority:
            return []
        return self._asks(token, take, whole)

    def _asks(self, token: Token, take: Takeover, reading: set[str]) -> list[Letter]:
        take.reading = reading
        others = reading - {self.me}
        take.wanted = {(name, n) for name in others for n in self._differing(take.promises[name].digests)}
        return self._wanted(token, take) + self._confirm()

    def _confirm(self) -> list[Letter]:
        """All is read: what the majority that was read does not share is written to one before it counts."""
        take = self._takeover
        if take is None or not take.reading or take.wanted or take.confirming:
            return []
        if take.founds is not None:
            self._take(self._stamped(take.founds()))
        new = take.founds is not None
        keys = sorted(self.entries) if new else sorted(take.changed & self.entries.keys())
        entries = [self.entries[key] for key in keys]
        self.whole, self._recovering = True, None
        return self._write(entries, ticket=0, found=new, confirms=True)

    def _stamped(self, values: Mapping[str, bytes]) -> list[Entry]:
        entries = []
        for key, value in values.items():
            self._serial += 1
            entries.append(Entry(key, Stamp(self.promised, self._serial), value))
        return entries

    def _write(
        self, entries: Iterable[Entry], ticket: int, found: bool = False, confirms: bool = False
    ) -> list[Letter]:
        self._number += 1
        every = tuple(entries)
        pieces = [every[at : at + PART] for at in range(0, len(every), PART)] or [()]
        writes = tuple(
            Write(self.promised, self._number, piece, found, n, len(pieces)) for n, piece in enumerate(pieces)
        )
        pending = self._pending[self._number] = Pending(writes, {self.me: set(range(len(writes)))}, ticket)
        if confirms and self._takeover:
            self._takeover.confirming = self._number
        self._counted(self._number)
        return [] if self.majority == 1 else self._to_missing(pending)

    def _to_missing(self, pending: Pending) -> list[Letter]:
        return [(name, write) for name in self.members for write in pending.missing(name)[:WINDOW]]

    def put(self, values: Mapping[str, bytes], ticket: int) -> list[Letter]:
        """Only while it leads. `done` tells the ticket once the values count, or that nobody knows."""
        assert self.leads and ticket
        entries = self._stamped(values)
        self._take(entries)
        return self._write(entries, ticket)

    def again(self) -> list[Letter]:
        """Says what has no majority yet once more, and goes on recovering: links lose messages."""
        oldest = list(self._pending.values())[:REMINDED]
        letters = [letter for pending in oldest for letter in self._to_missing(pending)]
        if not self.whole and not self._takeover:
            letters += self._recover()
        return letters

    def _counted(self, number: int) -> None:
        pending = self._pending[number]
        if sum(not pending.missing(name) for name in self.members) < self.majority:
            return
        del self._pending[number]
        if pending.ticket:
            self.done.append((pending.ticket, True))
        if self._takeover and self._takeover.confirming == number:
            self._takeover, self.leads = None, True

    # ---- recovery ----

    def _recover(self) -> list[Letter]:
        if self._recovering is None:
            self._nonce += 1
            self._recovering = Recovering(self._nonce)
        r = self._recovering
        if r.leader:
            return self._fetches(r.answers[r.leader].promised, r.leader, r.wanted)
        return [(None, Recover(r.nonce))]

    def _recovered(self, sender: str, told: Recovery) -> list[Letter]:
        r = self._recovering
        if r is None or told.nonce != r.nonce or self.whole or r.leader:
            return []
        if told.whole:
            r.answers[sender] = told
        if len(r.answers) < self.majority:
            return []
        highest = max(answer.promised for answer in r.answers.values())
        leaders = [n for n, answer in r.answers.items() if answer.leads and answer.promised == highest]
        if not leaders or highest < self.promised:
            r.answers.clear()  # asked again; meanwhile somebody may lead
            return []
        r.leader, self.promised = leaders[0], highest
        r.wanted = self._differing(r.answers[r.leader].digests)
        return self._caught_up() or self._fetches(highest, r.leader, r.wanted)

    def _caught_up(self) -> list[Letter]:
        r = self._recovering
        if r and r.leader and not r.wanted:
            # What the leader wrote since its answer it has sent here as well, or sends again: it needs an
            # acknowledgement for it, and has none from here yet.
            self.whole, self._recovering = True, None
        return []

    # ---- messages ----

    def heard(self, sender: str, message: Message) -> list[Letter]:
        if sender not in self.members or sender == self.me:
            return []
        match message:
            case Prepare(token):
                if token < self.promised:
                    return [(sender, Refused(token, self.promised))]
                self._promise(token)
                return [(sender, Promise(token, self.whole, self.digests()))]
            case Promise(token) if token == self.promised and self._takeover:
                self._takeover.promises.setdefault(sender, message)
                return self._read(token)
            case Refused(token, promised):
                if token == self.promised and (self.leads or self._takeover):
                    self._stop()
                    self.promised = max(self.promised, promised)
            case Fetch(token, bucket, have):
                if token == self.promised and 0 <= bucket < self._buckets:
                    entries, gone = self._kept.beyond(bucket, have)
                    serial = self._serial if self.leads else 0
                    return [(sender, Bucket(token, bucket, entries, gone, serial))]
            case Bucket():
                return self._bucket(sender, message)
            case Write(token):
                return self._written(sender, message)
            case Ack(token, number, part):
                if token == self.promised and (pending := self._pending.get(number)):
                    pending.acks.setdefault(sender, set()).add(part)
                    self._counted(number)
                    return [(sender, write) for write in pending.missing(sender)[WINDOW - 1 : WINDOW]]
            case Recover(nonce):
                digests = self.digests() if self.leads else ()
                return [(sender, Recovery(nonce, self.whole, self.promised, self.leads, digests))]
            case Recovery():
                return self._recovered(sender, message)
            case Tally(token, digests):
                if token == self.promised and sender == token.holder and self.whole:
                    self._mirror = self._differing(digests)
                    self.compared, self.behind = self.compared + 1, len(self._mirror)
                    return self._fetches(token, sender, self._mirror)
            case Drop(token, serial, keys):
                if token == self.promised and sender == token.holder:
                    self._drop_older(keys, Stamp(token, serial))
        return []

    def _promise(self, token: Token) -> None:
        if token != self.promised:
            self._stop()
            self.promised = token
            self._mirror.clear()
            if self._recovering:  # its leader leads no more
                self._recovering = None

    def compare(self) -> list[Letter]:
        """Of the leader, now and then: the others find what they have missed."""
        return [(None, Tally(self.promised, self.digests()))] if self.leads else []

    def _bucket(self, sender: str, told: Bucket) -> list[Letter]:
        token, bucket = told.token, told.bucket
        if token != self.promised:
            return []
        r, take = self._recovering, self._takeover
        if take and (sender, bucket) in take.wanted:
            mine = {key for mark in told.gone if (key := self._kept.key(bucket, mark))}
            take.changed |= mine | {entry.key for entry in told.entries}
            self._take(told.entries)
            take.wanted.discard((sender, bucket))
            rest = self._next(token, sender, (n for name, n in take.wanted if name == sender))
            return rest + self._confirm()
        if r and r.leader == sender and bucket in r.wanted:
            self._follow(told)
            r.wanted.discard(bucket)
            return self._caught_up() or self._next(token, sender, r.wanted)
        if sender == token.holder and bucket in self._mirror:
            self._follow(told)
            self._mirror.discard(bucket)
            return self._next(token, sender, self._mirror)
        return []

    def _follow(self, told: Bucket) -> None:
        """As the leader has it: what it lacks was never acknowledged, or is no longer asked for."""
        if told.serial:
            keys = [key for mark in told.gone if (key := self._kept.key(told.bucket, mark))]
            self._drop_older(keys, Stamp(told.token, told.serial))
        self._take(told.entries)

    def _written(self, sender: str, write: Write) -> list[Letter]:
        if write.token < self.promised:
            return [(sender, Refused(write.token, self.promised))]
        if sender != write.token.holder:
            return []
        self._promise(write.token)
        self._take(write.entries)
        if write.found:
            token, number, parts = self._parts
            known = parts if (token, number) == (write.token, write.number) else frozenset()
            self._parts = (write.token, write.number, known | {write.part})
            if len(self._parts[2]) == write.parts:
                self.whole, self._recovering = True, None
        elif not self.whole:
            return []  # it has forgotten what it acknowledged: nobody may count on it yet
        return [(sender, Ack(write.token, write.number, write.part))]

    # ---- for whoever looks ----

    def pending(self) -> int:
        return len(self._pending)

    def copied(self) -> Group:
        """For whoever explores what may come of it."""
        other = copy.copy(self)
        other._kept, other.done, other.differ = self._kept.copied(), list(self.done), list(self.differ)
        other._mirror = set(self._mirror)
        other._pending = {
            n: replace(p, acks={name: set(parts) for name, parts in p.acks.items()})
            for n, p in self._pending.items()
        }
        if take := self._takeover:
            other._takeover = replace(
                take, promises=dict(take.promises), reading=set(take.reading), wanted=set(take.wanted),
                changed=set(take.changed),
            )  # fmt: skip
        if r := self._recovering:
            other._recovering = replace(r, answers=dict(r.answers), wanted=set(r.wanted))
        return other

    def frozen(self) -> tuple[object, ...]:
        """All of its state, to be compared."""
        take, r = self._takeover, self._recovering
        return (
            tuple(sorted(self.entries.items())), self.promised, self.whole, self.leads,
            self._serial, self._number,
            tuple(
                (n, p.writes, tuple((name, tuple(parts)) for name, parts in sorted(p.acks.items())), p.ticket)
                for n, p in sorted(self._pending.items())
            ),
            tuple(sorted(self._mirror)), self._parts,
            take and (
                tuple(sorted((n, p.whole, p.digests) for n, p in take.promises.items())),
                tuple(sorted(take.reading)), tuple(sorted(take.wanted)), tuple(sorted(take.changed)),
                take.confirming,
                take.founds is None,
            ),
            r and (r.nonce, tuple(sorted(r.answers)), r.leader, tuple(sorted(r.wanted))),
        )  # fmt: skip


__all__ = ["Ack", "Bucket", "Entry", "Group", "Message", "Prepare", "Stamp", "Write"]
