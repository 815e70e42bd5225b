"""Deliberately broken variants of the replication, each of which the simulation must detect."""

import unittest
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from rookwood.coordination import document, election
from rookwood.coordination.admission import Admission
from rookwood.coordination.context import Context
from rookwood.coordination.document import Configuration, Document, Position, Record
from rookwood.coordination.effects import CommitApplied, Resolve
from rookwood.coordination.election import Candidacy, GrantedPromise
from rookwood.coordination.following import Follower
from rookwood.coordination.journal import Journal, PromiseStep
from rookwood.coordination.leadership import Leadership
from rookwood.coordination.messages import PreVoteRequest, Promise, Write, WriteAck
from rookwood.coordination.outcomes import Confirmed, Declined, NotPrimary, Snapshot
from rookwood.coordination.voting import Voter
from rookwood.lab.control_families import POWER_OF_ALL
from rookwood.lab.controlsimulation import LONG_LEASE, NO_FAVOUR, Fault, InvariantError, Plan, Simulation

Patch = AbstractContextManager[Any]
SEEDS_TO_SEARCH = 400


def acknowledge_before_sync() -> Patch:
    original = Follower.store_document

    def store_document(self: Follower, sender: str, write: Write) -> None:
        original(self, sender, write)
        latest = self._context.journal.latest
        acknowledgement = WriteAck(write.document.position.epoch, latest.document.position, latest.token)
        self._context.send(sender, acknowledgement)

    return patch.object(Follower, "store_document", store_document)


def commit_before_own_sync() -> Patch:
    def check_commit(self: Leadership) -> None:
        position = self._document.position
        holders = self._acknowledgements(lambda progress: progress.stored_position >= position)
        if self._commit_pending and self._document.configuration.has_copy_quorum(
            holders, self._context.tolerate
        ):
            self._commit()

    return patch.object(Leadership, "_check_commit", check_commit)


def commit_without_second_copy() -> Patch:
    return patch.object(Configuration, "has_copy_quorum", lambda self, holders, tolerate: bool(holders))


def wiped_member_reuses_its_token() -> Patch:
    original = Admission.tick

    def tick(self: Admission) -> None:
        original(self)
        context = self._context
        for member in context.configuration().members:
            if member.ip == context.ip and not context.journal.latest.initialised:
                first = Document(Position(), context.configuration())
                context.journal.reset(Record(member.token, 0, True, first))

    return patch.object(Admission, "tick", tick)


def tokens_ignored() -> Patch:
    return patch.object(
        document, "_has_acknowledged", lambda member, acknowledgements: member.ip in acknowledgements
    )


def promise_counted_regardless_of_its_token() -> Patch:
    original = Candidacy.on_promise

    def on_promise(self: Candidacy, sender: str, incarnation: int, promise: Promise) -> None:
        original(self, sender, incarnation, replace(promise, token=None))

    return patch.object(Candidacy, "on_promise", on_promise)


def copy_counted_regardless_of_its_token() -> Patch:
    original = Leadership.on_write_ack

    def on_write_ack(self: Leadership, sender: str, incarnation: int, ack: WriteAck) -> None:
        original(self, sender, incarnation, replace(ack, token=None))

    return patch.object(Leadership, "on_write_ack", on_write_ack)


def loaded_record_treated_as_synced() -> Patch:
    original = Journal.__init__

    def initialise(self: Journal, found: Record) -> None:
        original(self, found)
        self.durable = found
        self._durable_version = self._version

    return patch.object(Journal, "__init__", initialise)


def candidate_promises_its_epoch_to_others() -> Patch:
    original = Voter.respond_to_vote_request

    def respond_to_vote_request(self: Voter, step: PromiseStep) -> bool:
        own = (self._context.ip, self._context.incarnation)
        if step.epoch == self._context.journal.latest.promised and self._promised_to == own:
            self._promised_to = (step.candidate, step.incarnation)
        return original(self, step)

    return patch.object(Voter, "respond_to_vote_request", respond_to_vote_request)


def promise_forgotten_at_restart() -> Patch:
    original = Journal.__init__

    def initialise(self: Journal, found: Record) -> None:
        original(self, replace(found, promised=found.document.position.epoch))

    return patch.object(Journal, "__init__", initialise)


def half_of_the_members_elects() -> Patch:
    return patch.object(document, "vote_quorum", lambda members: max(1, members // 2))


def commit_of_another_epoch_applied() -> Patch:
    def apply_commit(self: Context, committed: Position) -> None:
        position = self.newest_document.position
        if position.sequence > committed.sequence or position <= self.applied_position:
            return
        self.applied_position = position
        self.snapshot = Snapshot(position.epoch, position.sequence, self.newest_document.payload)
        self.effects.append(CommitApplied(self.snapshot))

    return patch.object(Context, "apply_commit", apply_commit)


def promise_before_sync() -> Patch:
    original = Voter.respond_to_vote_request

    def respond_to_vote_request(self: Voter, step: PromiseStep) -> bool:
        promised = original(self, step)
        record = self._context.journal.latest
        if self._promised_to == (step.candidate, step.incarnation) and record.promised == step.epoch:
            document = record.document
            newer = document if document.position > step.candidate_position else None
            promise = Promise(step.epoch, step.incarnation, document.position, newer)
            self._context.send(step.candidate, promise)
        return promised

    return patch.object(Voter, "respond_to_vote_request", respond_to_vote_request)


def version_1_pre_votes() -> Patch:
    """Send pre-votes without a position, as version 1 did; no mutant, since safety must not depend on it."""
    return patch.object(election, "PreVoteRequest", lambda ballot, position: PreVoteRequest(ballot))


@contextmanager
def stale_copy_elected() -> Iterator[None]:
    def on_promise(self: Candidacy, sender: str, incarnation: int, promise: Promise) -> None:
        if promise.epoch == self.epoch and promise.candidate == self._context.incarnation:
            self._promises[sender] = GrantedPromise(incarnation, promise.token)

    with version_1_pre_votes(), patch.object(Candidacy, "on_promise", on_promise):
        yield


def membership_changed_in_one_step() -> Patch:
    original = Leadership._write

    def write(self: Leadership, configuration: Configuration, payload: bytes) -> None:
        original(self, Configuration(configuration.members), payload)

    return patch.object(Leadership, "_write", write)


def outgoing_members_ignored() -> Patch:
    return patch.object(Configuration, "_member_sets", lambda self: (self.members,))


def older_epoch_accepted() -> Patch:
    return patch.object(Follower, "accepts_epoch", lambda self, sender, epoch: True)


def epoch_promised_twice() -> Patch:
    original = Voter.respond_to_vote_request

    def respond_to_vote_request(self: Voter, step: PromiseStep) -> bool:
        if step.epoch == self._context.journal.latest.promised:
            self._promised_to = (step.candidate, step.incarnation)
        return original(self, step)

    return patch.object(Voter, "respond_to_vote_request", respond_to_vote_request)


def confirmed_without_round() -> Patch:
    def confirm(self: Leadership, ticket: int, declined: Declined | None = None) -> None:
        outcome = declined or Confirmed(self._context.snapshot)
        self._context.effects.append(Resolve(ticket, outcome))

    return patch.object(Leadership, "confirm", confirm)


def failed_write_treated_as_synced() -> Patch:
    original = Journal.fail_write

    def fail_write(self: Journal, ticket: int, stored: Record | None, retry_at: float) -> Any:
        result = original(self, ticket, stored, retry_at)
        if stored is not None and result is not None:
            self.durable = stored
            self._durable_version = self._version
            self.disk_healthy = True
        return result

    return patch.object(Journal, "fail_write", fail_write)


def uncommitted_document_applied() -> Patch:
    original = Context.apply_commit
    return patch.object(
        Context, "apply_commit", lambda self, committed: original(self, self.newest_document.position)
    )


def write_under_way_answered_as_not_done() -> Patch:
    original = Leadership.close

    def close(self: Leadership) -> None:
        if self._in_flight_ticket is not None:
            self._context.effects.append(Resolve(self._in_flight_ticket, NotPrimary(None)))
            self._in_flight_ticket = None
        original(self)

    return patch.object(Leadership, "close", close)


POWER_LOSSES = Plan(
    troubled=5.0,
    calm=5.0,
    faults=3,
    kinds=(Fault.POWER_ALL,),
    triggered=0.1,
    sync_time=0.03,
    operator_pause=0.05,
)
STALE_PRIMARY = Plan(
    troubled=5.0,
    calm=5.0,
    faults=6,
    kinds=(Fault.CUT, Fault.FREEZE, Fault.CUT_PAIR),
    triggered=0.05,
    operator_pause=0.03,
    timing=LONG_LEASE,
)
MEMBERSHIP_CHANGES = Plan(
    troubled=5.0,
    calm=5.0,
    spares=2,
    faults=4,
    kinds=(Fault.PARTITION, Fault.CUT),
    operator_pause=0.8,
    timing=LONG_LEASE,
)
WIPES = Plan(
    troubled=5.0,
    calm=5.0,
    faults=6,
    kinds=(Fault.WIPE, Fault.CUT_PAIR, Fault.KILL),
    triggered=0.05,
    sync_time=0.02,
    operator_pause=0.05,
    timing=LONG_LEASE,
)
DISK_FAULTS = Plan(
    troubled=5.0,
    calm=5.0,
    faults=6,
    kinds=(Fault.DISK_FULL, Fault.POWER_ALL, Fault.WIPE, Fault.KILL),
    triggered=0.1,
    sync_time=0.03,
    operator_pause=0.05,
)
PROMISES = Plan(
    troubled=6.0,
    calm=5.0,
    faults=10,
    kinds=(Fault.CUT,),
    longest=1.3,
    triggered=0.01,
    promise_loss_weight=100.0,
    sync_time=0.03,
    operator_pause=0.05,
    timing=LONG_LEASE,
)
CONTENDED = Plan(
    troubled=5.0,
    calm=5.0,
    faults=6,
    kinds=(Fault.KILL, Fault.CUT, Fault.LOSS, Fault.FREEZE),
    longest=1.5,
    triggered=0.05,
    sync_time=0.03,
    longest_delay=0.03,
    timing=NO_FAVOUR,
)
UNSYNCED = Plan(
    troubled=5.0,
    calm=5.0,
    faults=0,
    triggered=0.05,
    unsynced_copy_weight=1.0,
    sync_time=0.03,
    operator_pause=0.3,
)
LOST_PROMISES = Plan(
    troubled=6.0,
    calm=6.0,
    faults=3,
    kinds=(Fault.SIDES_CHANGED,),
    operator_pause=0.5,
    timing=LONG_LEASE,
)


class MutantTest(unittest.TestCase):
    """Each mutant violates an invariant in one of the first seeds of a suitable plan."""

    def assert_found(self, mutant: Patch, plan: Plan | None = None) -> None:
        with mutant:
            for seed in range(SEEDS_TO_SEARCH):
                try:
                    Simulation(seed, plan).run()
                except InvariantError:
                    return
        self.fail(f"{SEEDS_TO_SEARCH} seeds do not find the mutant")

    def test_acknowledge_before_sync(self) -> None:
        self.assert_found(acknowledge_before_sync(), POWER_LOSSES)

    def test_commit_before_own_sync(self) -> None:
        self.assert_found(commit_before_own_sync(), POWER_LOSSES)

    def test_commit_without_second_copy(self) -> None:
        self.assert_found(commit_without_second_copy())

    def test_unsafe_commits_are_found_by_losses_of_all_power(self) -> None:
        """All machines lose power, sometimes one its disk, after an acknowledgement or at any other time."""
        for mutant in (commit_without_second_copy, acknowledge_before_sync, commit_before_own_sync):
            with self.subTest(mutant=mutant.__name__):
                self.assert_found(mutant(), POWER_OF_ALL)

    def test_wiped_member_reuses_its_token(self) -> None:
        self.assert_found(wiped_member_reuses_its_token(), DISK_FAULTS)

    def test_tokens_ignored(self) -> None:
        self.assert_found(tokens_ignored(), LOST_PROMISES)

    def test_promise_counted_regardless_of_its_token(self) -> None:
        self.assert_found(promise_counted_regardless_of_its_token(), LOST_PROMISES)

    def test_copy_counted_regardless_of_its_token(self) -> None:
        self.assert_found(copy_counted_regardless_of_its_token(), WIPES)

    def test_loaded_record_treated_as_synced(self) -> None:
        self.assert_found(loaded_record_treated_as_synced(), UNSYNCED)

    def test_candidate_promises_its_epoch_to_others(self) -> None:
        self.assert_found(candidate_promises_its_epoch_to_others(), CONTENDED)

    def test_promise_forgotten_at_restart(self) -> None:
        self.assert_found(promise_forgotten_at_restart(), PROMISES)

    def test_half_of_the_members_elects(self) -> None:
        self.assert_found(half_of_the_members_elects(), STALE_PRIMARY)

    def test_commit_of_another_epoch_applied(self) -> None:
        self.assert_found(commit_of_another_epoch_applied())

    def test_promise_before_sync(self) -> None:
        self.assert_found(promise_before_sync(), PROMISES)

    def test_stale_copy_elected(self) -> None:
        self.assert_found(stale_copy_elected())

    def test_membership_changed_in_one_step(self) -> None:
        self.assert_found(membership_changed_in_one_step(), MEMBERSHIP_CHANGES)

    def test_outgoing_members_ignored(self) -> None:
        self.assert_found(outgoing_members_ignored(), MEMBERSHIP_CHANGES)

    def test_older_epoch_accepted(self) -> None:
        self.assert_found(older_epoch_accepted(), STALE_PRIMARY)

    def test_epoch_promised_twice(self) -> None:
        self.assert_found(epoch_promised_twice(), CONTENDED)

    def test_confirmed_without_round(self) -> None:
        self.assert_found(confirmed_without_round(), STALE_PRIMARY)

    def test_failed_write_treated_as_synced(self) -> None:
        self.assert_found(failed_write_treated_as_synced(), DISK_FAULTS)

    def test_uncommitted_document_applied(self) -> None:
        self.assert_found(uncommitted_document_applied())

    def test_write_under_way_answered_as_not_done(self) -> None:
        self.assert_found(write_under_way_answered_as_not_done())


class SoundTest(unittest.TestCase):
    """The unmodified replication violates no invariant under the plans that detect the mutants."""

    def test_invariants_hold_without_positions_in_pre_votes(self) -> None:
        with version_1_pre_votes():
            for seed in range(30):
                with self.subTest(seed=seed):
                    Simulation(seed).run()

    def test_invariants_hold_under_the_plans_of_the_mutants(self) -> None:
        for plan in (
            POWER_LOSSES,
            STALE_PRIMARY,
            MEMBERSHIP_CHANGES,
            WIPES,
            DISK_FAULTS,
            PROMISES,
            CONTENDED,
            UNSYNCED,
            LOST_PROMISES,
        ):
            for seed in range(8):
                with self.subTest(plan=plan, seed=seed):
                    Simulation(seed, plan).run()
