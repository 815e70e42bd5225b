"""The history that an exploration of the replication observes, and the invariants that it checks."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import combinations, product

from rookwood.coordination.document import Record
from rookwood.coordination.effects import Resolve
from rookwood.coordination.outcomes import Committed, Confirmed, NotPrimary, Overloaded, Snapshot


class InvariantError(Exception):
    """An invariant is violated; `trace` is a shortest sequence of steps that leads there."""

    def __init__(self, reason: str, trace: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.reason = reason
        self.trace = trace


@dataclass(frozen=True)
class ObservedHistory:
    """What callers and other machines have observed so far.

    `committed` holds all commits in order, `acknowledged` and `rejected` the labels of the changes with that
    outcome, `primaries` the epoch, address and incarnation of each process that wrote a document. For each
    confirmation, `pending_confirmations` has its ticket and the changes acknowledged before it started.
    """

    committed: tuple[Snapshot, ...] = ()
    acknowledged: frozenset[bytes] = frozenset()
    rejected: frozenset[bytes] = frozenset()
    primaries: frozenset[tuple[int, str, int]] = frozenset()
    pending_confirmations: frozenset[tuple[int, frozenset[bytes]]] = frozenset()


def with_commit(history: ObservedHistory, snapshot: Snapshot) -> ObservedHistory:
    """Return the history with a commit added; all commits must form one sequence, ordered by epoch."""
    if snapshot in history.committed:
        return history
    committed = tuple(sorted((*history.committed, snapshot), key=lambda known: known.sequence))
    for first, second in zip(committed, committed[1:], strict=False):
        in_order = first.sequence < second.sequence and first.epoch <= second.epoch
        if not in_order or not second.payload.startswith(first.payload):
            raise InvariantError(f"history forked between {first} and {second}")
    _check_rejected(history.rejected, committed[-1].payload)
    return replace(history, committed=committed)


def with_primary(history: ObservedHistory, holder: tuple[int, str, int]) -> ObservedHistory:
    """Return the history with a process that wrote a document in an epoch; no epoch may have two."""
    if any(epoch == holder[0] for epoch, *_ in history.primaries - {holder}):
        raise InvariantError(f"epoch {holder[0]} has two primaries")
    return replace(history, primaries=history.primaries | {holder})


def with_outcome(history: ObservedHistory, resolve: Resolve) -> ObservedHistory:
    """Return the history with the outcome of a call added."""
    label = b"%d," % resolve.ticket
    match resolve.outcome:
        case Committed():
            return replace(history, acknowledged=history.acknowledged | {label})
        case NotPrimary() | Overloaded() if resolve.ticket > 0:
            rejected = history.rejected | {label}
            if history.committed:
                _check_rejected(rejected, history.committed[-1].payload)
            return replace(history, rejected=rejected)
        case Confirmed(snapshot=snapshot):
            _check_confirmed(history, resolve.ticket, snapshot)
    return history


def _check_rejected(rejected: frozenset[bytes], payload: bytes) -> None:
    if any(label in payload for label in rejected):
        raise InvariantError("a rejected change is in force")


def _check_confirmed(history: ObservedHistory, ticket: int, snapshot: Snapshot) -> None:
    for started, acknowledged in history.pending_confirmations:
        if started == ticket and any(label not in snapshot.payload for label in acknowledged):
            raise InvariantError("a confirmed document lacks an acknowledged change")


def check_sync(before: Record | None, after: Record) -> None:
    """Check that neither the promise nor the document of a storage gets older when a record is synced."""
    if before is None or before.token != after.token:
        return
    if after.promised < before.promised or after.document.position < before.document.position:
        raise InvariantError("a synced record goes back")


def check_durability(
    acknowledged: frozenset[bytes], disks: tuple[tuple[str, frozenset[Record]], ...]
) -> None:
    """Check that the newest document of any electing quorum contains all acknowledged changes.

    Each disk has several possible records: the synced one, and those that a restart may find in the page
    cache.
    """
    for size in range(1, len(disks) + 1):
        for voters in combinations(disks, size):
            addresses = tuple(ip for ip, _ in voters)
            for records in product(*(possible for _, possible in voters)):
                _check_voters(acknowledged, tuple(zip(addresses, records, strict=True)))


def _check_voters(acknowledged: Iterable[bytes], voters: tuple[tuple[str, Record], ...]) -> None:
    newest = max((record.document for _, record in voters), key=lambda document: document.position)
    if not newest.configuration.members:
        return
    if not newest.configuration.has_vote_quorum({ip: record.token for ip, record in voters}):
        return
    if any(label not in newest.payload for label in acknowledged):
        raise InvariantError("voters can elect a document that lacks an acknowledged change")
