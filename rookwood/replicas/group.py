"""Registers replicated in the memory of a majority of members. Messages in and out, no I/O, no clock.

One member leads under a token that the others check. It alone writes registers, and a write is committed once
a majority has it (multi-decree Paxos with a stable leader; registers are independent, so there is no log to
keep in order). Of two values the one with the higher stamp is newer; a stamp is the leader's token and a
serial number.

No member has a disk. A member that has just started no longer knows what it acknowledged and promised, so it
counts in no majority until it has recovered. (Messages and stats call a recovered member `whole`.) To recover
it needs recovery responses from a majority, all of recovered members; the leader is the one among them that
leads by the highest promised token; then it copies all registers of that leader. This follows Viewstamped
Replication Revisited (Liskov and Cowling 2012, section 4.3), with a nonce.

A new leader reads from a majority of recovered members, keeps the newest stamps, writes what it has read to a
majority, and leads from then on. Where no majority is recovered any more, registers may have been lost:
`reinitialize` starts again from those that are left and writes a value that says so. Users of the registers
must then not conclude that a missing register was never written.

Members compare copies by digests of buckets of keys (`registers.py`) and transfer only the entries that
differ, a few buckets at a time. The leader sends its digests at intervals; a member that has missed a write,
or has an entry that was never committed, copies the leader's state. That is safe because the leader has every
committed entry.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from rookwood.duties.lease import Token
from rookwood.replicas.registers import Entry, Registers, Stamp

BUCKETS = 64
WINDOW = 8  # buckets requested from one member at a time, and parts of a write in flight to one member
PART_ENTRIES = 500  # most entries in one part of a write
RESEND_LIMIT = 32  # writes that are sent again at a time, the oldest first
NO_TOKEN = Token(0, "", 0)


# ---- messages: encoded under their field names; token, number or nonce match responses to requests ----


@dataclass(frozen=True, slots=True)
class Prepare:
    """The holder of the leader's lease asks for promises."""

    token: Token


@dataclass(frozen=True, slots=True)
class Promise:
    """A member accepts nothing with a lower token from now on."""

    token: Token
    whole: bool  # the member has recovered
    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """The member has promised a higher token."""

    token: Token  # of the rejected message
    promised: Token


@dataclass(frozen=True, slots=True)
class Fetch:
    """A request for the entries of a bucket that the sender does not have."""

    token: Token
    bucket: int
    have: tuple[int, ...] = ()  # marks of the sender's entries


@dataclass(frozen=True, slots=True)
class Bucket:
    """The response to `Fetch`: the difference between the two copies of a bucket."""

    token: Token
    bucket: int
    entries: tuple[Entry, ...]  # entries that the requester does not have
    gone: tuple[int, ...] = ()  # marks of entries that only the requester has
    serial: int = 0  # serial number of the leader's last write; 0: the sender does not lead


@dataclass(frozen=True, slots=True)
class Write:
    """One part of a write of the leader."""

    token: Token
    number: int  # identifies the write
    entries: tuple[Entry, ...]
    found: bool = False  # a reinitialization: a member with all parts of it has recovered
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, slots=True)
class Ack:
    """The member has stored one part of a write."""

    token: Token
    number: int
    part: int = 0


@dataclass(frozen=True, slots=True)
class Tally:
    """The leader's digests, by which members find what they have missed."""

    token: Token
    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Drop:
    """The leader's order to delete registers that are no longer needed."""

    token: Token
    serial: int  # of the leader's last write: newer entries stay
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Recover:
    """A member that has just started asks for promises and for the leader."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Recovery:
    """The response to `Recover`."""

    nonce: int
    whole: bool  # the responder has recovered
    promised: Token
    leads: bool
    digests: tuple[bytes, ...] = ()  # only from the leader


Message = Prepare | Promise | Refused | Fetch | Bucket | Write | Ack | Recover | Recovery | Tally | Drop
Letter = tuple[str | None, Message]  # receiver and message; None: to all other members


@dataclass(slots=True)
class Pending:
    """A write that no majority has yet."""

    writes: tuple[Write, ...]  # its parts
    acks: dict[str, set[int]]  # acknowledged parts by member
    ticket: int  # returned to the caller that waits for it; 0: none

    def missing(self, name: str) -> list[Write]:
        """The parts that a member has not acknowledged."""
        have = self.acks.get(name, ())
        return [write for write in self.writes if write.part not in have]


@dataclass(slots=True)
class Takeover:
    """The state of a member that is becoming the leader."""

    promises: dict[str, Promise] = field(default_factory=dict)
    reading: set[str] = field(default_factory=set)  # the majority that is being read
    # (member, bucket) still to be received
    missing_buckets: set[tuple[str, int]] = field(default_factory=set)
    changed: set[str] = field(default_factory=set)  # keys that not all of the members read agree on
    confirming: int = 0  # number of the write that stores on a majority what was read
    # Only for a reinitialization: returns the values that are written with it.
    new_values: Callable[[], Mapping[str, bytes]] | None = None


@dataclass(slots=True)
class Recovering:
    """The state of a member that has not recovered yet."""

    nonce: int
    responses: dict[str, Recovery] = field(default_factory=dict)
    leader: str = ""
    missing_buckets: set[int] = field(default_factory=set)


class Group:
    """One member's copy of the registers and its part in the protocol.

    The methods return the letters to send. The caller sends them and passes on received messages (`receive`).
    """

    def __init__(self, me: str, members: Iterable[str], nonce: int, buckets: int = BUCKETS) -> None:
        """`nonce` differs for each process. `buckets` is at most 256 and the same at all members."""
        self.me, self.members, self._buckets = me, tuple(sorted(members)), buckets
        self._registers = Registers(buckets)
        self.promised, self.recovered, self.is_leader = NO_TOKEN, False, False
        # (ticket, committed) of finished writes; False: it is unknown whether the write is committed. The
        # owner clears the list.
        self.finished: list[tuple[int, bool]] = []
        # Entries with one stamp and two values, which violates an invariant.
        self.conflicts: list[tuple[Entry, Entry]] = []
        self.compare_count, self.behind_buckets = 0, 0  # digests received; buckets that differed last time
        self._nonce = nonce
        self._serial = self._number = 0
        self._pending: dict[int, Pending] = {}
        self._takeover: Takeover | None = None
        self._recovering: Recovering | None = None
        self._buckets_to_copy: set[int] = set()  # buckets that differ from the leader's, still to be received
        self._reinitialization_parts: tuple[Token, int, frozenset[int]] = (
            NO_TOKEN,
            0,
            frozenset(),
        )  # token, number and received parts of a reinitialization

    @property
    def entries(self) -> dict[str, Entry]:
        return self._registers.entries

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    # ---- this member's registers ----

    def digests(self) -> tuple[bytes, ...]:
        return self._registers.digests()

    def _merge(self, entries: Iterable[Entry]) -> None:
        """Keeps the newest stamp of each key, in whichever order entries arrive."""
        for entry in entries:
            old = self.entries.get(entry.key)
            if old is None or entry.stamp > old.stamp:
                self._registers.put(entry)
            elif entry.stamp == old.stamp and entry.value != old.value:
                self.conflicts.append((old, entry))

    def drop(self, keys: Iterable[str]) -> list[Letter]:
        """Deletes registers that are no longer needed, here and at the other members. Only for the leader.

        The owner of the registers decides by their age which these are.
        """
        assert self.is_leader
        gone = tuple(keys)
        for key in gone:
            self._registers.drop(key)
        return [(None, Drop(self.promised, self._serial, gone))] if gone else []

    def _drop_older(self, keys: Iterable[str], stamp: Stamp) -> None:
        """Deletes registers unless they were written after `stamp`."""
        for key in keys:
            if (entry := self.entries.get(key)) and entry.stamp <= stamp:
                self._registers.drop(key)

    def _differing_buckets(self, digests: tuple[bytes, ...]) -> set[int]:
        return {n for n, (a, b) in enumerate(zip(self.digests(), digests, strict=False)) if a != b}

    def _fetch_letters(self, token: Token, name: str, buckets: Iterable[int]) -> list[Letter]:
        """Requests for the first few buckets, each with the marks of the local entries.

        Their number is limited since the responses must not delay other work.
        """
        return [(name, Fetch(token, n, self._registers.marks(n))) for n in sorted(buckets)[:WINDOW]]

    def _next_fetch(self, token: Token, name: str, buckets: Iterable[int]) -> list[Letter]:
        """After a bucket has arrived: the request for the bucket that enters the window."""
        return self._fetch_letters(token, name, buckets)[WINDOW - 1 :]

    # ---- leading ----

    def lead(self, token: Token) -> list[Letter]:
        """Takes over, or goes on leading, by a token of the leader's lease.

        The owner calls it repeatedly until `is_leader`; repeated calls only send missing messages again.
        """
        if token < self.promised:
            return []
        if token != self.promised or not (self.is_leader or self._takeover):
            self._step_down()
            self.promised, self._takeover = token, Takeover()
        if self.is_leader:
            return []
        takeover = self._takeover
        assert takeover
        if self.me not in takeover.promises:
            takeover.promises[self.me] = Promise(token, self.recovered, self.digests())
        letters: list[Letter] = [
            (name, Prepare(token)) for name in self.members if name not in takeover.promises
        ]
        letters += self._fetch_missing(token, takeover)
        if takeover.confirming and (pending := self._pending.get(takeover.confirming)):
            letters += self._missing_parts(pending)
        return letters + self._read_majority(token)

    def step_down(self) -> None:
        """Stops leading: the leader's lease is no longer held."""
        self._step_down()

    def _step_down(self) -> None:
        self.is_leader, self._takeover = False, None
        self.finished += [(pending.ticket, False) for pending in self._pending.values() if pending.ticket]
        self._pending.clear()

    def _fetch_missing(self, token: Token, takeover: Takeover) -> list[Letter]:
        letters = list[Letter]()
        for name in sorted({name for name, _ in takeover.missing_buckets}):
            letters += self._fetch_letters(
                token, name, (n for other, n in takeover.missing_buckets if other == name)
            )
        return letters

    def reinitialize(self, token: Token, values: Callable[[], Mapping[str, bytes]]) -> list[Letter]:
        """Starts again from the registers that are left, where no majority will recover any more.

        Registers may have been lost; `values` returns the registers that record this. It is called once
        everything that is left has been read, since this member may have no registers itself. Does nothing
        unless this member is taking over and a majority has promised.
        """
        takeover = self._takeover
        if (
            takeover is None
            or token != self.promised
            or takeover.reading
            or len(takeover.promises) < self.majority
        ):
            return []
        takeover.new_values = values
        return self._start_reading(token, takeover, set(takeover.promises))

    def _read_majority(self, token: Token) -> list[Letter]:
        """Starts reading once a majority of members, all recovered, has promised."""
        takeover = self._takeover
        if takeover is None or takeover.reading:
            return []
        recovered = {name for name, promise in takeover.promises.items() if promise.whole}
        if len(recovered) < self.majority:
            return []
        return self._start_reading(token, takeover, recovered)

    def _start_reading(self, token: Token, takeover: Takeover, reading: set[str]) -> list[Letter]:
        takeover.reading = reading
        others = reading - {self.me}
        takeover.missing_buckets = {
            (name, n) for name in others for n in self._differing_buckets(takeover.promises[name].digests)
        }
        return self._fetch_missing(token, takeover) + self._confirm_takeover()

    def _confirm_takeover(self) -> list[Letter]:
        """Once all is read, writes the entries that the members read do not share.

        This member leads only when a majority has them.
        """
        takeover = self._takeover
        if takeover is None or not takeover.reading or takeover.missing_buckets or takeover.confirming:
            return []
        if takeover.new_values is not None:
            self._merge(self._stamped(takeover.new_values()))
        reinitializes = takeover.new_values is not None
        keys = sorted(self.entries) if reinitializes else sorted(takeover.changed & self.entries.keys())
        entries = [self.entries[key] for key in keys]
        self.recovered, self._recovering = True, None
        return self._start_write(entries, ticket=0, reinitializes=reinitializes, confirms=True)

    def _stamped(self, values: Mapping[str, bytes]) -> list[Entry]:
        entries = []
        for key, value in values.items():
            self._serial += 1
            entries.append(Entry(key, Stamp(self.promised, self._serial), value))
        return entries

    def _start_write(
        self, entries: Iterable[Entry], ticket: int, reinitializes: bool = False, confirms: bool = False
    ) -> list[Letter]:
        self._number += 1
        all_entries = tuple(entries)
        pieces = [all_entries[at : at + PART_ENTRIES] for at in range(0, len(all_entries), PART_ENTRIES)] or [
            ()
        ]
        writes = tuple(
            Write(self.promised, self._number, piece, reinitializes, n, len(pieces))
            for n, piece in enumerate(pieces)
        )
        pending = self._pending[self._number] = Pending(writes, {self.me: set(range(len(writes)))}, ticket)
        if confirms and self._takeover:
            self._takeover.confirming = self._number
        self._check_majority(self._number)
        return [] if self.majority == 1 else self._missing_parts(pending)

    def _missing_parts(self, pending: Pending) -> list[Letter]:
        """The first parts that each member has not acknowledged."""
        return [(name, write) for name in self.members for write in pending.missing(name)[:WINDOW]]

    def put(self, values: Mapping[str, bytes], ticket: int) -> list[Letter]:
        """Writes values; `finished` gets the ticket once they are committed, or the leader is deposed.

        Only for the leader.
        """
        assert self.is_leader and ticket
        entries = self._stamped(values)
        self._merge(entries)
        return self._start_write(entries, ticket)

    def again(self) -> list[Letter]:
        """Sends uncommitted writes and recovery requests again, since links lose messages."""
        oldest = list(self._pending.values())[:RESEND_LIMIT]
        letters = [letter for pending in oldest for letter in self._missing_parts(pending)]
        if not self.recovered and not self._takeover:
            letters += self._recover()
        return letters

    def _check_majority(self, number: int) -> None:
        """Commits a write that a majority has; a takeover ends with its confirming write."""
        pending = self._pending[number]
        if sum(not pending.missing(name) for name in self.members) < self.majority:
            return
        del self._pending[number]
        if pending.ticket:
            self.finished.append((pending.ticket, True))
        if self._takeover and self._takeover.confirming == number:
            self._takeover, self.is_leader = None, True

    # ---- recovery ----

    def _recover(self) -> list[Letter]:
        if self._recovering is None:
            self._nonce += 1
            self._recovering = Recovering(self._nonce)
        recovery = self._recovering
        if recovery.leader:
            return self._fetch_letters(
                recovery.responses[recovery.leader].promised, recovery.leader, recovery.missing_buckets
            )
        return [(None, Recover(recovery.nonce))]

    def _handle_recovery(self, sender: str, response: Recovery) -> list[Letter]:
        """Once a majority of recovered members has responded, copies the leader's registers."""
        recovery = self._recovering
        if recovery is None or response.nonce != recovery.nonce or self.recovered or recovery.leader:
            return []
        if response.whole:
            recovery.responses[sender] = response
        if len(recovery.responses) < self.majority:
            return []
        highest = max(r.promised for r in recovery.responses.values())
        leaders = [n for n, r in recovery.responses.items() if r.leads and r.promised == highest]
        if not leaders or highest < self.promised:
            recovery.responses.clear()  # requested again later: a member may lead by then
            return []
        recovery.leader, self.promised = leaders[0], highest
        recovery.missing_buckets = self._differing_buckets(recovery.responses[recovery.leader].digests)
        return self._finish_recovery() or self._fetch_letters(
            highest, recovery.leader, recovery.missing_buckets
        )

    def _finish_recovery(self) -> list[Letter]:
        recovery = self._recovering
        if recovery and recovery.leader and not recovery.missing_buckets:
            # Anything that the leader has written since its response it sends here as well, again and again
            # until a majority has acknowledged it, and this member has not acknowledged any of it yet.
            self.recovered, self._recovering = True, None
        return []

    # ---- messages ----

    def receive(self, sender: str, message: Message) -> list[Letter]:
        """Handles a message of another member; those of unknown senders are ignored."""
        if sender not in self.members or sender == self.me:
            return []
        match message:
            case Prepare(token):
                if token < self.promised:
                    return [(sender, Refused(token, self.promised))]
                self._adopt_token(token)
                return [(sender, Promise(token, self.recovered, self.digests()))]
            case Promise(token) if token == self.promised and self._takeover:
                self._takeover.promises.setdefault(sender, message)
                return self._read_majority(token)
            case Refused(token, promised):
                if token == self.promised and (self.is_leader or self._takeover):
                    self._step_down()
                    self.promised = max(self.promised, promised)
            case Fetch(token, bucket, have):
                if token == self.promised and 0 <= bucket < self._buckets:
                    entries, gone = self._registers.difference(bucket, have)
                    serial = self._serial if self.is_leader else 0
                    return [(sender, Bucket(token, bucket, entries, gone, serial))]
            case Bucket():
                return self._handle_bucket(sender, message)
            case Write(token):
                return self._handle_write(sender, message)
            case Ack(token, number, part):
                if token == self.promised and (pending := self._pending.get(number)):
                    pending.acks.setdefault(sender, set()).add(part)
                    self._check_majority(number)
                    return [(sender, write) for write in pending.missing(sender)[WINDOW - 1 : WINDOW]]
            case Recover(nonce):
                digests = self.digests() if self.is_leader else ()
                return [(sender, Recovery(nonce, self.recovered, self.promised, self.is_leader, digests))]
            case Recovery():
                return self._handle_recovery(sender, message)
            case Tally(token, digests):
                if token == self.promised and sender == token.holder and self.recovered:
                    self._buckets_to_copy = self._differing_buckets(digests)
                    self.compare_count, self.behind_buckets = (
                        self.compare_count + 1,
                        len(self._buckets_to_copy),
                    )
                    return self._fetch_letters(token, sender, self._buckets_to_copy)
            case Drop(token, serial, keys):
                if token == self.promised and sender == token.holder:
                    self._drop_older(keys, Stamp(token, serial))
        return []

    def _adopt_token(self, token: Token) -> None:
        if token != self.promised:
            self._step_down()
            self.promised = token
            self._buckets_to_copy.clear()
            if self._recovering:  # the leader that it copies from is deposed
                self._recovering = None

    def compare(self) -> list[Letter]:
        """The leader's digests, by which the other members find what they have missed."""
        return [(None, Tally(self.promised, self.digests()))] if self.is_leader else []

    def _handle_bucket(self, sender: str, response: Bucket) -> list[Letter]:
        token, bucket = response.token, response.bucket
        if token != self.promised:
            return []
        recovery, takeover = self._recovering, self._takeover
        if takeover and (sender, bucket) in takeover.missing_buckets:
            keys = {key for mark in response.gone if (key := self._registers.key_with_mark(bucket, mark))}
            takeover.changed |= keys | {entry.key for entry in response.entries}
            self._merge(response.entries)
            takeover.missing_buckets.discard((sender, bucket))
            rest = self._next_fetch(
                token, sender, (n for name, n in takeover.missing_buckets if name == sender)
            )
            return rest + self._confirm_takeover()
        if recovery and recovery.leader == sender and bucket in recovery.missing_buckets:
            self._copy_from_leader(response)
            recovery.missing_buckets.discard(bucket)
            return self._finish_recovery() or self._next_fetch(token, sender, recovery.missing_buckets)
        if sender == token.holder and bucket in self._buckets_to_copy:
            self._copy_from_leader(response)
            self._buckets_to_copy.discard(bucket)
            return self._next_fetch(token, sender, self._buckets_to_copy)
        return []

    def _copy_from_leader(self, response: Bucket) -> None:
        """Makes a bucket equal to the leader's.

        An entry that the leader does not have was never committed, or has been deleted.
        """
        if response.serial:
            keys = [
                key for mark in response.gone if (key := self._registers.key_with_mark(response.bucket, mark))
            ]
            self._drop_older(keys, Stamp(response.token, response.serial))
        self._merge(response.entries)

    def _handle_write(self, sender: str, write: Write) -> list[Letter]:
        if write.token < self.promised:
            return [(sender, Refused(write.token, self.promised))]
        if sender != write.token.holder:
            return []
        self._adopt_token(write.token)
        self._merge(write.entries)
        if write.found:
            token, number, parts = self._reinitialization_parts
            known = parts if (token, number) == (write.token, write.number) else frozenset()
            self._reinitialization_parts = (write.token, write.number, known | {write.part})
            if len(self._reinitialization_parts[2]) == write.parts:
                self.recovered, self._recovering = True, None
        elif not self.recovered:
            return []  # not recovered: its acknowledgement must not count in a majority
        return [(sender, Ack(write.token, write.number, write.part))]

    # ---- inspection ----

    def pending(self) -> int:
        """Number of writes that no majority has yet."""
        return len(self._pending)

    def copied(self) -> Group:
        """A deep copy, for the exploration of states."""
        other = copy.copy(self)
        other._registers, other.finished, other.conflicts = (
            self._registers.copied(),
            list(self.finished),
            list(self.conflicts),
        )
        other._buckets_to_copy = set(self._buckets_to_copy)
        other._pending = {
            n: replace(p, acks={name: set(parts) for name, parts in p.acks.items()})
            for n, p in self._pending.items()
        }
        if takeover := self._takeover:
            other._takeover = replace(
                takeover,
                promises=dict(takeover.promises),
                reading=set(takeover.reading),
                missing_buckets=set(takeover.missing_buckets),
                changed=set(takeover.changed),
            )
        if recovery := self._recovering:
            other._recovering = replace(
                recovery, responses=dict(recovery.responses), missing_buckets=set(recovery.missing_buckets)
            )
        return other

    def frozen(self) -> tuple[object, ...]:
        """The complete state as a hashable value."""
        takeover, recovery = self._takeover, self._recovering
        return (
            tuple(sorted(self.entries.items())), self.promised, self.recovered, self.is_leader,
            self._serial, self._number,
            tuple(
                (n, p.writes, tuple((name, tuple(parts)) for name, parts in sorted(p.acks.items())), p.ticket)
                for n, p in sorted(self._pending.items())
            ),
            tuple(sorted(self._buckets_to_copy)), self._reinitialization_parts,
            takeover and (
                tuple(sorted((n, p.whole, p.digests) for n, p in takeover.promises.items())),
                tuple(sorted(takeover.reading)),
                tuple(sorted(takeover.missing_buckets)),
                tuple(sorted(takeover.changed)),
                takeover.confirming,
                takeover.new_values is None,
            ),
            recovery and (
                recovery.nonce, tuple(sorted(recovery.responses)), recovery.leader,
                tuple(sorted(recovery.missing_buckets)),
            ),
        )  # fmt: skip


__all__ = ["Ack", "Bucket", "Entry", "Group", "Message", "Prepare", "Stamp", "Write"]
