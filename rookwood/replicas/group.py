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

Copies are compared by digests of buckets of keys; only buckets that differ are shipped.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from blake3 import blake3

from rookwood.duties.lease import Token

BUCKETS = 64
NOBODY = Token(0, "", 0)


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    token: Token
    serial: int


@dataclass(frozen=True, slots=True)
class Entry:
    """A register. `value` empty: it holds nothing any more."""

    key: str
    stamp: Stamp
    value: bytes


def bucket_of(key: str, buckets: int) -> int:
    return int(blake3(key.encode()).digest(length=1)[0]) % buckets


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


@dataclass(frozen=True, slots=True)
class Bucket:
    token: Token
    bucket: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Write:
    token: Token
    number: int  # of this write
    entries: tuple[Entry, ...]
    found: bool = False  # a new beginning: whoever takes it is whole


@dataclass(frozen=True, slots=True)
class Ack:
    token: Token
    number: int


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


Message = Prepare | Promise | Refused | Fetch | Bucket | Write | Ack | Recover | Recovery
Letter = tuple[str | None, Message]  # None: to all others


@dataclass(slots=True)
class Pending:
    """A write that is not on a majority yet."""

    write: Write
    acks: set[str]
    ticket: int  # of whoever waits for it; 0: nobody


@dataclass(slots=True)
class Takeover:
    promises: dict[str, Promise] = field(default_factory=dict)
    reading: set[str] = field(default_factory=set)  # the majority that is read
    wanted: set[tuple[str, int]] = field(default_factory=set)  # buckets that are still to come
    confirming: int = 0  # the write of what was read
    founds: dict[str, bytes] | None = None  # a new beginning, and what is written with it


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
        self.entries: dict[str, Entry] = {}
        self.promised, self.whole, self.leads = NOBODY, False, False
        self.done: list[
            tuple[int, bool]
        ] = []  # tickets, and whether their writes count; taken out by the owner
        self.differ: list[tuple[Entry, Entry]] = []  # one stamp, two values: no rule explains it
        self._nonce = nonce
        self._serial = self._number = 0
        self._pending: dict[int, Pending] = {}
        self._takeover: Takeover | None = None
        self._recovering: Recovering | None = None

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    # ---- what is here ----

    def digests(self) -> tuple[bytes, ...]:
        hashes = [blake3() for _ in range(self._buckets)]
        for key in sorted(self.entries):
            e = self.entries[key]
            t = e.stamp.token
            told = f"{key} {t.term} {t.holder} {t.life} {e.stamp.serial} ".encode()
            hashes[self._bucket_of(key)].update(len(told).to_bytes(4, "big") + told)
            hashes[self._bucket_of(key)].update(len(e.value).to_bytes(4, "big") + e.value)
        return tuple(h.digest(length=8) for h in hashes)

    def _bucket_of(self, key: str) -> int:
        return bucket_of(key, self._buckets)

    def _of(self, bucket: int) -> tuple[Entry, ...]:
        return tuple(e for key, e in sorted(self.entries.items()) if self._bucket_of(key) == bucket)

    def _take(self, entries: Iterable[Entry]) -> None:
        """The newest stamp wins, in whichever order they come."""
        for entry in entries:
            old = self.entries.get(entry.key)
            if old is None or entry.stamp > old.stamp:
                self.entries[entry.key] = entry
            elif entry.stamp == old.stamp and entry.value != old.value:
                self.differ.append((old, entry))

    def drop(self, keys: Iterable[str]) -> None:
        """Registers that nobody will ask for any more: by their age, which their owner knows."""
        for key in keys:
            self.entries.pop(key, None)

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
        letters += [(name, Fetch(token, bucket)) for name, bucket in sorted(take.wanted)]
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

    def found(self, token: Token, values: Mapping[str, bytes]) -> list[Letter]:
        """No majority is whole, for so long that none will be: begins anew with what is left, in the
        knowledge that something may be missing, which `values` say. Only while taking over, with a majority
        that answers."""
        take = self._takeover
        if take is None or token != self.promised or take.reading or len(take.promises) < self.majority:
            return []
        take.founds, take.reading = dict(values), set(take.promises)
        take.wanted = {
            (name, bucket)
            for name, promise in take.promises.items()
            for bucket in range(self._buckets)
            if name != self.me and promise.digests[bucket] != take.promises[self.me].digests[bucket]
        }
        return [(name, Fetch(token, bucket)) for name, bucket in sorted(take.wanted)] + self._confirm()

    def _read(self, token: Token) -> list[Letter]:
        """Once a majority of whole members has promised: what differs from here is fetched."""
        take = self._takeover
        if take is None or take.reading:
            return []
        whole = {name for name, promise in take.promises.items() if promise.whole}
        if len(whole) < self.majority:
            return []
        take.reading, own = whole, take.promises[self.me].digests
        take.wanted = {
            (name, bucket)
            for name in whole - {self.me}
            for bucket in range(self._buckets)
            if take.promises[name].digests[bucket] != own[bucket]
        }
        return [(name, Fetch(token, bucket)) for name, bucket in sorted(take.wanted)] + self._confirm()

    def _confirm(self) -> list[Letter]:
        """All is read: what the majority that was read does not share is written to one before it counts."""
        take = self._takeover
        if take is None or not take.reading or take.wanted or take.confirming:
            return []
        if take.founds is not None:
            self._take(self._stamped(take.founds))
        own, told = self.digests(), [take.promises[name].digests for name in take.reading - {self.me}]
        told += [take.promises[self.me].digests] if self.me in take.reading else []
        differ = {b for b in range(self._buckets) if any(digests[b] != own[b] for digests in told)}
        new = take.founds is not None
        entries = [e for key, e in sorted(self.entries.items()) if new or self._bucket_of(key) in differ]
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
        write = Write(self.promised, self._number, tuple(entries), found)
        pending = self._pending[self._number] = Pending(write, {self.me}, ticket)
        if confirms and self._takeover:
            self._takeover.confirming = self._number
        self._counted(self._number)
        return [] if self.majority == 1 else self._to_missing(pending)

    def _to_missing(self, pending: Pending) -> list[Letter]:
        return [(name, pending.write) for name in self.members if name not in pending.acks]

    def put(self, values: Mapping[str, bytes], ticket: int) -> list[Letter]:
        """Only while it leads. `done` tells the ticket once the values count, or that nobody knows."""
        assert self.leads and ticket
        entries = self._stamped(values)
        self._take(entries)
        return self._write(entries, ticket)

    def again(self) -> list[Letter]:
        """Says what has no majority yet once more, and goes on recovering: links lose messages."""
        letters = [letter for pending in self._pending.values() for letter in self._to_missing(pending)]
        if not self.whole and not self._takeover:
            letters += self._recover()
        return letters

    def _counted(self, number: int) -> None:
        pending = self._pending[number]
        if len(pending.acks) < self.majority:
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
            return [(r.leader, Fetch(r.answers[r.leader].promised, bucket)) for bucket in sorted(r.wanted)]
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
        own = self.digests()
        r.wanted = {b for b in range(self._buckets) if r.answers[r.leader].digests[b] != own[b]}
        return self._caught_up() or [(r.leader, Fetch(highest, bucket)) for bucket in sorted(r.wanted)]

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
            case Fetch(token, bucket):
                if token == self.promised and 0 <= bucket < self._buckets:
                    return [(sender, Bucket(token, bucket, self._of(bucket)))]
            case Bucket(token, bucket, entries):
                return self._bucket(sender, token, bucket, entries)
            case Write(token):
                return self._written(sender, message)
            case Ack(token, number):
                if token == self.promised and (pending := self._pending.get(number)):
                    pending.acks.add(sender)
                    self._counted(number)
            case Recover(nonce):
                digests = self.digests() if self.leads else ()
                return [(sender, Recovery(nonce, self.whole, self.promised, self.leads, digests))]
            case Recovery():
                return self._recovered(sender, message)
        return []

    def _promise(self, token: Token) -> None:
        if token != self.promised:
            self._stop()
            self.promised = token
            if self._recovering:  # its leader leads no more
                self._recovering = None

    def _bucket(self, sender: str, token: Token, bucket: int, entries: tuple[Entry, ...]) -> list[Letter]:
        if token != self.promised:
            return []
        r, take = self._recovering, self._takeover
        if take and (sender, bucket) in take.wanted:
            self._take(entries)
            take.wanted.discard((sender, bucket))
            return self._confirm()
        if r and r.leader == sender and bucket in r.wanted:
            self._take(entries)
            r.wanted.discard(bucket)
            return self._caught_up()
        return []

    def _written(self, sender: str, write: Write) -> list[Letter]:
        if write.token < self.promised:
            return [(sender, Refused(write.token, self.promised))]
        if sender != write.token.holder:
            return []
        self._promise(write.token)
        self._take(write.entries)
        if write.found:
            self.whole, self._recovering = True, None
        if not self.whole:
            return []  # it has forgotten what it acknowledged: nobody may count on it yet
        return [(sender, Ack(write.token, write.number))]

    # ---- for whoever looks ----

    def pending(self) -> int:
        return len(self._pending)

    def copied(self) -> Group:
        """For whoever explores what may come of it."""
        other = copy.copy(self)
        other.entries, other.done, other.differ = dict(self.entries), list(self.done), list(self.differ)
        other._pending = {n: replace(p, acks=set(p.acks)) for n, p in self._pending.items()}
        if take := self._takeover:
            other._takeover = replace(
                take, promises=dict(take.promises), reading=set(take.reading), wanted=set(take.wanted)
            )
        if r := self._recovering:
            other._recovering = replace(r, answers=dict(r.answers), wanted=set(r.wanted))
        return other

    def frozen(self) -> tuple[object, ...]:
        """All of its state, to be compared."""
        take, r = self._takeover, self._recovering
        return (
            tuple(sorted(self.entries.items())), self.promised, self.whole, self.leads,
            self._serial, self._number,
            tuple((n, p.write, tuple(sorted(p.acks)), p.ticket) for n, p in sorted(self._pending.items())),
            take and (
                tuple(sorted((n, p.whole, p.digests) for n, p in take.promises.items())),
                tuple(sorted(take.reading)), tuple(sorted(take.wanted)), take.confirming,
                tuple((take.founds or {}).items()), take.founds is None,
            ),
            r and (r.nonce, tuple(sorted(r.answers)), r.leader, tuple(sorted(r.wanted))),
        )  # fmt: skip


__all__ = ["Ack", "Bucket", "Entry", "Group", "Message", "Prepare", "Write"]
