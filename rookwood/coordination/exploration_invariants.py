"""What an exploration of the replication keeps beside the replicas, and the invariants that it checks."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import combinations, product

from rookwood.coordination.document import Record
from rookwood.coordination.effects import Resolve
from rookwood.coordination.outcomes import Committed, Confirmed, NotPrimary, Overloaded, Snapshot


class InvariantError(Exception):
    """An invariant does not hold; `trace` is a shortest way there."""

    def __init__(self, why: str, trace: tuple[str, ...] = ()) -> None:
        super().__init__(why)
        self.reason = why
        self.trace = trace


@dataclass(frozen=True)
class Ledger:
    """What has become known outside: commits, answers, and who wrote documents in which epoch."""

    committed: tuple[Snapshot, ...] = ()
    acknowledged: frozenset[bytes] = frozenset()
    refused: frozenset[bytes] = frozenset()
    primaries: frozenset[tuple[int, str, int]] = frozenset()
    confirming: frozenset[tuple[int, frozenset[bytes]]] = frozenset()


def with_commit(ledger: Ledger, snapshot: Snapshot) -> Ledger:
    """Return the ledger with a commit; all commits are one history, in order of their epochs."""
    if snapshot in ledger.committed:
        return ledger
    committed = tuple(sorted((*ledger.committed, snapshot), key=lambda known: known.sequence))
    for first, second in zip(committed, committed[1:], strict=False):
        in_order = first.sequence < second.sequence and first.epoch <= second.epoch
        if not in_order or not second.payload.startswith(first.payload):
            raise InvariantError(f"history forked between {first} and {second}")
    _check_refused(ledger.refused, committed[-1].payload)
    return replace(ledger, committed=committed)


def with_primary(ledger: Ledger, holder: tuple[int, str, int]) -> Ledger:
    """Return the ledger with a process that wrote a document in an epoch: no epoch has two."""
    if any(epoch == holder[0] for epoch, *_ in ledger.primaries - {holder}):
        raise InvariantError(f"epoch {holder[0]} has two primaries")
    return replace(ledger, primaries=ledger.primaries | {holder})


def with_answer(ledger: Ledger, answer: Resolve) -> Ledger:
    """Return the ledger with the outcome of a call."""
    label = b"%d," % answer.ticket
    match answer.outcome:
        case Committed():
            return replace(ledger, acknowledged=ledger.acknowledged | {label})
        case NotPrimary() | Overloaded() if answer.ticket > 0:
            refused = ledger.refused | {label}
            if ledger.committed:
                _check_refused(refused, ledger.committed[-1].payload)
            return replace(ledger, refused=refused)
        case Confirmed(snapshot=snapshot):
            _check_confirmed(ledger, answer.ticket, snapshot)
    return ledger


def _check_refused(refused: frozenset[bytes], payload: bytes) -> None:
    if any(label in payload for label in refused):
        raise InvariantError("a refused change is in force")


def _check_confirmed(ledger: Ledger, ticket: int, snapshot: Snapshot) -> None:
    for started, acknowledged in ledger.confirming:
        if started == ticket and any(label not in snapshot.payload for label in acknowledged):
            raise InvariantError("a confirmed document lacks an acknowledged change")


def check_sync(before: Record | None, after: Record) -> None:
    """Check that neither the promise nor the document of a storage goes back when a record is synced."""
    if before is None or before.token != after.token:
        return
    if after.promised < before.promised or after.document.position < before.document.position:
        raise InvariantError("a synced record goes back")


def check_durability(
    acknowledged: frozenset[bytes], disks: tuple[tuple[str, frozenset[Record]], ...]
) -> None:
    """Check that any voters who can elect hold all acknowledged changes in their newest document.

    A disk gives one of several records: that which is synced, or one that a restart finds in its cache.
    """
    for size in range(1, len(disks) + 1):
        for voters in combinations(disks, size):
            addresses = tuple(ip for ip, _ in voters)
            for records in product(*(found for _, found in voters)):
                _check_voters(acknowledged, tuple(zip(addresses, records, strict=True)))


def _check_voters(acknowledged: Iterable[bytes], voters: tuple[tuple[str, Record], ...]) -> None:
    newest = max((record.document for _, record in voters), key=lambda document: document.position)
    if not newest.configuration.members:
        return
    if not newest.configuration.has_votes({ip: record.token for ip, record in voters}):
        return
    if any(label not in newest.payload for label in acknowledged):
        raise InvariantError("voters can elect a document that lacks an acknowledged change")
