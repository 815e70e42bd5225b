"""Single rules of the replication, on replicas whose messages and writes the test delivers one by one."""

import unittest

from rookwood.coordination.document import Configuration, Document, Member, Position
from rookwood.coordination.messages import (
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    MembershipNotice,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    Refused,
    TransferNow,
    VoteRequest,
    Write,
    WriteAck,
    WriteFailed,
)
from rookwood.coordination.outcomes import (
    Backup,
    Committed,
    Confirmed,
    Declined,
    Learner,
    NotPrimary,
    Primary,
    Unattached,
    Uncertain,
)
from rookwood.coordination.quorum import copy_quorum, vote_quorum
from rookwood.coordination.timing import Timing
from rookwood.lab.replica_harness import MEMBERS, ReplicaHarness, configuration_of

A, B, C, D = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"
FIVE = (A, B, C, D, "10.0.0.5")


def acknowledgements(*addresses: str) -> dict[str, int | None]:
    return dict.fromkeys(addresses, 0)


def document_at(epoch: int, sequence: int, payload: bytes = b"") -> Document:
    return Document(Position(epoch, sequence), configuration_of(MEMBERS), payload)


class QuorumTest(unittest.TestCase):
    def test_vote_and_copy_quorums_intersect(self) -> None:
        for members in range(1, 8):
            for tolerate in range(4):
                with self.subTest(members=members, tolerate=tolerate):
                    self.assertGreater(vote_quorum(members) + copy_quorum(members, tolerate), members)
                    self.assertGreater(2 * vote_quorum(members), members)

    def test_copies_exceed_the_tolerated_losses(self) -> None:
        self.assertEqual(copy_quorum(3, 1), 2)
        self.assertEqual(copy_quorum(5, 2), 3)
        self.assertEqual(copy_quorum(3, 2), 3)
        self.assertEqual(copy_quorum(1, 0), 1)

    def test_membership_change_needs_quorums_of_both_sets(self) -> None:
        old = tuple(Member(ip) for ip in (A, B, C))
        new = tuple(Member(ip) for ip in (A, B, D))
        changing = Configuration(new, old)
        self.assertTrue(changing.has_vote_quorum(acknowledgements(A, B)))
        self.assertFalse(changing.has_vote_quorum(acknowledgements(A, C)))
        self.assertFalse(changing.has_vote_quorum(acknowledgements(A, D)))
        self.assertFalse(changing.has_copy_quorum(acknowledgements(B, D), 1))

    def test_storage_counts_only_with_the_admitted_token(self) -> None:
        old = tuple(Member(ip) for ip in (A, B, C))
        new = (Member(A), Member(B), Member(C, 7))
        self.assertFalse(Configuration(old).has_vote_quorum({A: 0, C: 7}))
        self.assertTrue(Configuration(new).has_vote_quorum({A: 0, C: 7}))
        self.assertFalse(Configuration(new).has_vote_quorum({A: 0, C: 0}))
        self.assertFalse(Configuration(new, old).has_vote_quorum({A: 0, C: 7}))
        self.assertTrue(Configuration(new, old).has_vote_quorum({A: 0, B: 0}))


class WriteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_commit_needs_copies_of_the_primary_and_another_member(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        self.harness.sync(B)
        self.harness.receive(A, B, self.harness.take(WriteAck, A)[0])
        self.assertNotIn(1, self.harness.outcomes)
        self.harness.sync(A)
        self.harness.now += Timing().copy_patience
        self.harness.tick(A)
        self.assertIsInstance(self.harness.outcomes[1], Committed)

    def test_commit_waits_briefly_for_copies_of_healthy_members(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.sync(A)
        for ip in (B, C):
            self.assertNotIn(1, self.harness.outcomes)
            self.harness.receive(ip, A, self.harness.take(Write, ip)[0])
            self.harness.sync(ip)
            self.harness.receive(A, ip, self.harness.take(WriteAck, A)[0])
        self.assertIsInstance(self.harness.outcomes[1], Committed)

    def test_commits_wait_only_once_for_a_lagging_member(self) -> None:
        for ticket in (1, 2):
            self.harness.propose(A, ticket, b"x")
            self.harness.take(Write, C)
            self.harness.sync(A)
            self.harness.receive(B, A, self.harness.take(Write, B)[0])
            self.harness.sync(B)
            self.harness.receive(A, B, self.harness.take(WriteAck, A)[0])
            if ticket == 1:
                self.assertNotIn(1, self.harness.outcomes)
                self.harness.now += Timing().copy_patience
                self.harness.tick(A)
            self.assertIsInstance(self.harness.outcomes[ticket], Committed)

    def test_copy_of_the_primary_alone_does_not_commit(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.sync(A)
        self.assertNotIn(1, self.harness.outcomes)

    def test_backup_acknowledges_only_what_is_synced(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.receive(B, A, self.harness.take(Write, B)[0])
        self.assertEqual(self.harness.take(WriteAck), [])
        self.harness.sync(B)
        self.assertEqual(len(self.harness.take(WriteAck)), 1)

    def test_backup_reports_a_failed_write_and_stores_it_later(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        before = self.harness.disks[B]
        self.harness.fail_write(B, before)
        self.harness.receive(B, A, write)
        self.assertEqual(self.harness.take(WriteAck), [])
        self.assertEqual(len(self.harness.take(WriteFailed)), 2)
        self.harness.now += 1.0
        self.harness.tick(B)
        self.harness.sync(B)
        self.harness.receive(B, A, write)
        self.harness.sync(B)
        self.assertEqual(len(self.harness.take(WriteAck)), 1)

    def test_failed_write_found_in_the_page_cache_is_not_acknowledged(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        self.harness.fail_write(B, self.harness.writes[B].record)
        self.harness.receive(B, A, write)
        self.assertEqual(self.harness.take(WriteAck), [])

    def test_record_found_at_start_is_synced_before_it_is_acknowledged(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        in_cache = self.harness.writes[B].record
        self.harness.start(B, in_cache)
        self.harness.receive(B, A, write)
        self.assertEqual(self.harness.take(WriteAck), [])
        self.harness.sync(B)
        self.assertEqual(len(self.harness.take(WriteAck)), 1)

    def test_duplicated_write_is_acknowledged_again(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        self.harness.sync(B)
        self.harness.receive(B, A, write)
        acknowledgements = self.harness.take(WriteAck)
        self.assertEqual(len(acknowledgements), 2)
        self.assertEqual(acknowledgements[0], acknowledgements[1])

    def test_changes_are_written_one_after_another(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.propose(A, 2, b"y")
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[2], Committed)
        self.assertEqual(self.harness.commits[A][-2:], [b"x", b"xy"])

    def test_backup_applies_a_document_when_its_commit_is_announced(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.settle()
        self.assertEqual(self.harness.commits[B][-1], b"x")
        self.assertEqual(self.harness.commits[C][-1], b"x")

    def test_backup_applies_a_document_whose_commit_was_announced_before_it_arrived(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.settle()
        self.harness.now += Timing().copy_patience
        self.harness.tick(A)
        self.harness.settle()
        self.assertEqual(self.harness.commits[A][-1], b"x")
        self.assertNotEqual(self.harness.commits[B][-1], b"x")
        self.harness.receive(B, A, write)
        self.assertEqual(self.harness.commits[B][-1], b"x")

    def test_write_of_an_older_epoch_is_rejected(self) -> None:
        self.harness.lead(B)
        self.harness.receive(C, A, Write(document_at(1, 9)))
        self.assertEqual(self.harness.take(WriteAck), [])
        self.assertEqual(self.harness.take(Refused), [Refused(1, 2)])


class ConfirmTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_round_that_started_before_the_call_does_not_count(self) -> None:
        self.harness.now += 0.3
        self.harness.tick(A)
        earlier = self.harness.take(Heartbeat, B)[0]
        assert isinstance(earlier, Heartbeat)
        self.harness.confirm(A, 1)
        self.harness.receive(A, B, HeartbeatAck(earlier.epoch, earlier.round, Position()))
        self.assertNotIn(1, self.harness.outcomes)
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[1], Confirmed)

    def test_declined_change_waits_for_a_round(self) -> None:
        self.harness.decline(A, 1)
        self.assertNotIn(1, self.harness.outcomes)
        self.harness.settle()
        self.assertEqual(self.harness.outcomes[1], Declined("no"))

    def test_deposed_primary_confirms_nothing(self) -> None:
        self.harness.down.add(A)
        self.harness.lead(B)
        self.harness.down.clear()
        self.harness.confirm(A, 1)
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[1], NotPrimary)
        self.assertNotIsInstance(self.harness.replicas[A].role(self.harness.now), Primary)

    def test_stalled_primary_confirms_nothing_after_its_lease(self) -> None:
        self.harness.now += 5.0
        self.assertNotIsInstance(self.harness.replicas[A].role(self.harness.now), Primary)
        self.harness.confirm(A, 1)
        self.assertIsInstance(self.harness.outcomes[1], NotPrimary)

    def test_change_under_way_at_the_end_of_an_epoch_is_uncertain(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.propose(A, 2, b"y")
        self.harness.receive(A, B, Refused(1, 7))
        self.assertIsInstance(self.harness.outcomes[1], Uncertain)
        self.assertIsInstance(self.harness.outcomes[2], NotPrimary)


class ElectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()

    def test_promise_is_sent_only_once_synced(self) -> None:
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.assertEqual(self.harness.take(Promise), [])
        self.harness.sync(B)
        self.assertEqual(len(self.harness.take(Promise)), 1)

    def test_epoch_is_promised_to_one_candidate(self) -> None:
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.harness.receive(B, C, VoteRequest(1, Position()))
        self.harness.sync_all()
        self.assertEqual(len(self.harness.take(Promise, A)), 1)
        self.assertEqual(self.harness.take(Promise, C), [])
        self.assertEqual(len(self.harness.take(Refused, C)), 1)

    def test_promise_is_repeated_only_to_the_same_incarnation_of_the_candidate(self) -> None:
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.harness.sync(B)
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.assertEqual(len(self.harness.take(Promise)), 2)
        self.harness.start(A, self.harness.first)
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.assertEqual(self.harness.take(Promise), [])

    def test_promise_to_an_earlier_incarnation_is_not_counted(self) -> None:
        self.harness.receive(A, "test", TransferNow(0))
        self.harness.sync(A)
        stale = Promise(1, candidate=99, stored=Position(), document=None)
        self.harness.receive(A, B, stale)
        self.harness.receive(A, C, stale)
        self.harness.sync_all()
        self.assertEqual(self.harness.take(Write), [])

    def test_newest_document_of_the_voters_is_adopted(self) -> None:
        self.harness.lead(A)
        self.harness.down.add(C)
        self.harness.propose(A, 1, b"x")
        self.harness.settle()
        self.harness.down = {A}
        self.harness.lead(C)
        self.assertEqual(self.harness.replicas[C].snapshot().payload, b"x")
        self.assertEqual(self.harness.replicas[C].snapshot().sequence, 3)

    def test_no_pre_vote_is_granted_while_there_is_a_live_primary(self) -> None:
        self.harness.lead(A)
        self.harness.receive(B, C, PreVoteRequest(5))
        reply = self.harness.take(PreVoteReply)[0]
        assert isinstance(reply, PreVoteReply)
        self.assertFalse(reply.granted)

    def test_member_favours_one_candidate_for_a_bounded_time(self) -> None:
        self.harness.receive(C, A, PreVoteRequest(1))
        self.harness.receive(C, B, PreVoteRequest(2))
        self.assertEqual(self.granted_pre_votes(), [True, False])
        self.harness.now += Timing().pre_vote_favour + 0.01
        self.harness.receive(C, B, PreVoteRequest(3))
        self.assertEqual(self.granted_pre_votes(), [True])

    def test_stalled_candidate_does_not_block_the_others_for_long(self) -> None:
        for number in range(4):
            self.harness.receive(C, A, PreVoteRequest(number))
            self.harness.now += Timing().favour * 0.6
        self.assertEqual(self.granted_pre_votes(), [True] * 4)
        self.harness.receive(C, A, PreVoteRequest(8))
        self.assertEqual(self.granted_pre_votes(), [True])
        self.harness.receive(C, B, PreVoteRequest(9))
        self.assertEqual(self.granted_pre_votes(), [True])
        self.harness.receive(C, A, PreVoteRequest(10))
        self.assertEqual(self.granted_pre_votes(), [False])

    def test_candidate_with_a_newer_document_takes_precedence_over_the_favoured_one(self) -> None:
        self.harness.receive(C, A, PreVoteRequest(1, Position(1, 1)))
        self.harness.receive(C, B, PreVoteRequest(2, Position(1, 1)))
        self.harness.receive(C, B, PreVoteRequest(3, Position(1, 2)))
        self.harness.receive(C, A, PreVoteRequest(4, Position(1, 1)))
        self.assertEqual(self.granted_pre_votes(), [True, False, True, False])

    def test_member_that_can_stand_grants_no_pre_vote_for_an_older_document(self) -> None:
        self.harness.lead(A)
        self.harness.pass_time(0.3)
        self.harness.now += 2.0
        self.harness.receive(C, B, PreVoteRequest(1, Position()))
        self.harness.receive(C, B, PreVoteRequest(2, Position(1, 1)))
        self.assertEqual(self.granted_pre_votes(), [False, True])

    def test_candidate_whose_process_ended_is_not_favoured(self) -> None:
        self.harness.receive(C, A, PreVoteRequest(1))
        self.harness.apply(C, self.harness.replicas[C].disconnected(A, self.harness.now))
        self.harness.receive(C, B, PreVoteRequest(2))
        self.assertEqual(self.granted_pre_votes(), [True, True])

    def test_member_that_promised_does_not_respond_to_a_second_candidate_for_a_while(self) -> None:
        self.harness.receive(C, A, VoteRequest(1, Position()))
        self.harness.receive(C, B, VoteRequest(2, Position()))
        self.harness.sync_all()
        self.assertEqual(len(self.harness.take(Promise, A)), 1)
        self.assertEqual(self.harness.take(Promise, B) + self.harness.take(Refused, B), [])
        self.harness.now += Timing().favour + 0.01
        self.harness.receive(C, B, VoteRequest(2, Position()))
        self.harness.sync_all()
        self.assertEqual(len(self.harness.take(Promise, B)), 1)

    def test_lower_address_wins_between_simultaneous_candidates(self) -> None:
        self.harness.now += 2.0
        for ip in (A, B):
            self.harness.tick(ip)
        self.harness.receive(B, A, self.harness.take(PreVoteRequest, B)[0])
        self.harness.receive(A, B, self.harness.take(PreVoteRequest, A)[0])
        replies = {to: message for _, to, message in self.harness.sent if isinstance(message, PreVoteReply)}
        self.assertTrue(replies[A].granted)
        self.assertFalse(replies[B].granted)

    def test_candidate_gives_up_before_the_favour_of_its_voters_expires(self) -> None:
        self.assertLess(Timing().election_limit, Timing().favour)
        self.harness.receive(A, "test", TransferNow(0))
        self.harness.sync_all()
        self.assertEqual(len(self.harness.take(VoteRequest)), 2)
        self.harness.now += Timing().election_limit
        self.harness.tick(A)
        for voter in (B, C):
            promise = Promise(1, self.harness.incarnations[A], Position(), None)
            self.harness.receive(A, voter, promise)
        self.assertEqual(self.harness.take(Write), [])

    def granted_pre_votes(self) -> list[bool]:
        replies = self.harness.take(PreVoteReply)
        return [reply.granted for reply in replies if isinstance(reply, PreVoteReply)]

    def test_unresponsive_primary_leads_to_an_election(self) -> None:
        self.harness.lead(A)
        self.harness.down.add(A)
        self.harness.pass_time(1.6)
        roles = [self.harness.replicas[ip].role(self.harness.now) for ip in (B, C)]
        self.assertEqual(sum(isinstance(role, Primary) for role in roles), 1)

    def test_primary_without_a_quorum_steps_down(self) -> None:
        self.harness.lead(A)
        self.harness.down.update((B, C))
        self.harness.pass_time(1.3)
        self.assertEqual(self.harness.replicas[A].role(self.harness.now), Unattached("no primary is known"))


class HandOverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_transfer_waits_for_the_write_under_way(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.apply(A, self.harness.replicas[A].transfer(self.harness.now))
        self.assertEqual(self.harness.take(TransferNow), [])
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[1], Committed)
        roles = [self.harness.replicas[ip].role(self.harness.now) for ip in (B, C)]
        self.assertEqual(sum(isinstance(role, Primary) for role in roles), 1)
        self.assertIsInstance(self.harness.replicas[A].role(self.harness.now), Backup)

    def test_primary_hands_over_only_once_healthy_members_have_its_document(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.sync(A)
        self.harness.receive(B, A, self.harness.take(Write, B)[0])
        self.harness.sync(B)
        self.harness.receive(A, B, self.harness.take(WriteAck, A)[0])
        self.harness.apply(A, self.harness.replicas[A].transfer(self.harness.now))
        self.assertEqual(self.harness.take(TransferNow), [])
        self.harness.receive(C, A, self.harness.take(Write, C)[0])
        self.harness.sync(C)
        self.harness.receive(A, C, self.harness.take(WriteAck, A)[0])
        self.assertEqual(len(self.harness.take(TransferNow)), 1)

    def test_primary_hands_over_by_its_deadline_though_a_copy_is_missing(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.down.add(C)
        self.harness.apply(A, self.harness.replicas[A].transfer(self.harness.now))
        self.harness.pass_time(Timing().departure_limit + 0.2)
        self.assertIsInstance(self.harness.outcomes[1], Committed)
        self.assertIsInstance(self.harness.replicas[B].role(self.harness.now), Primary)

    def test_primary_with_a_failed_disk_hands_over(self) -> None:
        before = self.harness.disks[A]
        self.harness.propose(A, 1, b"x")
        self.harness.fail_write(A, before)
        self.assertIsInstance(self.harness.outcomes[1], Uncertain)
        self.assertEqual(len(self.harness.take(TransferNow)), 1)

    def test_primary_with_a_stalled_disk_hands_over(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.sent.clear()
        for _ in range(6):
            self.harness.now += 0.2
            self.harness.tick(A)
            for message in self.harness.take(Heartbeat, B):
                assert isinstance(message, Heartbeat)
                self.harness.receive(A, B, HeartbeatAck(message.epoch, message.round, Position(1, 2)))
        self.assertEqual(len(self.harness.take(TransferNow)), 1)
        self.assertIsInstance(self.harness.outcomes[1], Uncertain)

    def test_member_with_a_failed_disk_is_not_chosen_as_successor(self) -> None:
        self.harness.propose(A, 1, b"x")
        writes = {ip: self.harness.take(Write, ip)[0] for ip in (B, C)}
        before = self.harness.disks[C]
        self.harness.receive(C, A, writes[C])
        self.harness.fail_write(C, before)
        self.harness.receive(B, A, writes[B])
        self.harness.settle()
        self.harness.apply(A, self.harness.replicas[A].transfer(self.harness.now))
        successors = [to for _, to, message in self.harness.sent if isinstance(message, TransferNow)]
        self.assertEqual(successors, [B])

    def test_member_with_a_failed_disk_acknowledges_heartbeats_but_does_not_vote(self) -> None:
        self.harness.propose(A, 1, b"x")
        before = self.harness.disks[B]
        self.harness.receive(B, A, self.harness.take(Write, B)[0])
        self.harness.fail_write(B, before)
        self.harness.sent.clear()
        self.harness.receive(B, A, Heartbeat(1, 9, Position(1, 1), Position(1, 2)))
        self.assertEqual(len(self.harness.take(HeartbeatAck)), 1)
        self.harness.receive(B, C, VoteRequest(5, Position()))
        self.harness.receive(B, C, TransferNow(5))
        self.assertEqual(self.harness.take(Promise) + self.harness.take(VoteRequest), [])


class RecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)
        self.harness.propose(A, 1, b"x")
        self.harness.settle()

    def wipe(self, ip: str) -> None:
        self.harness.start(ip, None)
        self.harness.sync_all()

    def test_wiped_member_grants_no_vote(self) -> None:
        self.harness.down.add(A)
        self.wipe(B)
        self.harness.settle()
        self.assertEqual(self.harness.replicas[B].role(self.harness.now), Unattached("recovering"))
        self.harness.receive(B, C, PreVoteRequest(1, Position(9, 9)))
        self.harness.receive(B, C, VoteRequest(9, Position()))
        self.harness.receive(B, C, TransferNow(9))
        self.harness.sync_all()
        answers = self.harness.take(Promise) + self.harness.take(PreVoteReply)
        self.assertEqual(answers + self.harness.take(VoteRequest), [])

    def test_wiped_member_counts_neither_as_copy_nor_in_rounds_with_its_old_token(self) -> None:
        self.harness.down.update((B, C))
        self.harness.propose(A, 2, b"y")
        self.harness.confirm(A, 3)
        self.wipe(B)
        self.harness.settle()
        record = self.harness.disks[B]
        assert record is not None
        self.assertEqual(record.document.payload, b"xy")
        self.assertNotIn(2, self.harness.outcomes)
        self.assertNotIn(3, self.harness.outcomes)

    def test_wiped_member_neither_promises_nor_acknowledges_with_its_old_token(self) -> None:
        self.harness.receive(C, "test", TransferNow(5))
        self.harness.sync(C)
        self.harness.receive(B, C, self.harness.take(VoteRequest, B)[0])
        self.harness.sync(B)
        self.harness.receive(C, B, self.harness.take(Promise, C)[0])
        self.wipe(B)
        for message in (Write(document_at(1, 3, b"xz")), VoteRequest(6, Position(1, 2))):
            self.harness.receive(B, A, message)
            self.harness.sync_all()
        self.assertEqual(self.harness.take(Promise), [])
        tokens = [ack.token for ack in self.harness.take(WriteAck, A) if isinstance(ack, WriteAck)]
        self.assertNotIn(0, tokens)

    def test_wiped_member_is_readmitted_at_once_with_a_new_token(self) -> None:
        self.wipe(B)
        token = self.harness.replicas[B].record().token
        self.harness.settle()
        self.assertIsInstance(self.harness.replicas[B].role(self.harness.now), Backup)
        for ip in MEMBERS:
            record = self.harness.disks[ip]
            assert record is not None
            configuration = record.document.configuration
            self.assertEqual(configuration.members, (Member(A), Member(B, token), Member(C)))
            self.assertEqual(configuration.outgoing, ())

    def test_lost_member_does_not_delay_the_readmission_of_another(self) -> None:
        harness = ReplicaHarness(FIVE, tolerate=2)
        harness.start_all()
        harness.lead(A)
        harness.down.add(FIVE[4])
        harness.start(B, None)
        harness.sync_all()
        harness.settle()
        self.assertIsInstance(harness.replicas[B].role(harness.now), Backup)

    def test_wiped_member_is_admitted_only_by_a_majority_without_it(self) -> None:
        self.harness.down.add(C)
        self.wipe(B)
        self.harness.pass_time(3.0)
        for ip in (A, B):
            self.assertNotIsInstance(self.harness.replicas[ip].role(self.harness.now), Primary)
        self.harness.down.clear()
        self.harness.pass_time(2.5)
        self.assertIsInstance(self.harness.replicas[B].role(self.harness.now), Backup | Primary)

    def test_wiped_majority_does_not_form_a_new_group(self) -> None:
        for ip in (A, B):
            self.wipe(ip)
        self.harness.pass_time(3.0)
        for ip in (A, B):
            self.assertEqual(self.harness.replicas[ip].role(self.harness.now), Unattached("recovering"))

    def test_storage_lost_while_running_leads_to_recovery(self) -> None:
        self.harness.propose(A, 2, b"y")
        self.harness.receive(B, A, self.harness.take(Write, B)[0])
        self.harness.fail_write(B, None)
        self.assertEqual(self.harness.replicas[B].role(self.harness.now), Unattached("recovering"))
        self.harness.pass_time(2.0)
        self.assertIsInstance(self.harness.replicas[B].role(self.harness.now), Backup)


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_unresponsive_member_is_replaced_by_a_machine_that_asks_to_join(self) -> None:
        self.harness.down.add(C)
        self.harness.start(D, None)
        self.harness.pass_time(3.0)
        self.assertEqual(set(self.harness.replicas[A].members()), {A, B, D})
        self.assertIsInstance(self.harness.replicas[D].role(self.harness.now), Backup)

    def test_group_grows_to_the_size_that_tolerate_requires(self) -> None:
        harness = ReplicaHarness((A,), tolerate=1)
        harness.start_all()
        harness.lead(A)
        harness.start(B, None)
        harness.start(C, None)
        harness.start(D, None)
        harness.pass_time(2.0)
        self.assertEqual(len(harness.replicas[A].members()), 3)
        self.assertEqual(len(set(harness.replicas[A].members())), 3)

    def test_responsive_member_is_not_replaced(self) -> None:
        self.harness.start(D, None)
        self.harness.pass_time(4.0)
        self.assertEqual(self.harness.replicas[A].members(), MEMBERS)
        self.assertEqual(self.harness.replicas[D].role(self.harness.now), Learner(A, 1, True))

    def test_learner_out_of_contact_knows_no_primary(self) -> None:
        self.harness.start(D, None)
        self.harness.pass_time(1.0)
        self.assertEqual(self.harness.replicas[D].role(self.harness.now), Learner(A, 1, True))
        self.harness.down.add(D)
        self.harness.pass_time(2.0)
        self.assertEqual(self.harness.replicas[D].role(self.harness.now), Unattached("joining"))

    def test_removed_member_is_notified_and_becomes_a_learner(self) -> None:
        self.harness.down.add(C)
        self.harness.start(D, None)
        self.harness.pass_time(3.0)
        self.harness.down.clear()
        self.harness.receive(B, C, VoteRequest(50, Position()))
        self.assertEqual(len(self.harness.take(MembershipNotice, C)), 1)
        self.harness.pass_time(2.0)
        self.assertEqual(self.harness.replicas[C].role(self.harness.now), Learner(A, 1, True))
        self.assertLess(self.harness.replicas[A].record().promised, 50)

    def test_member_wiped_and_restored_by_a_deposed_primary_does_not_count(self) -> None:
        self.harness.down.add(C)
        self.harness.start(D, None)
        self.harness.pass_time(3.0)
        self.harness.start(D, None)
        stale = Write(document_at(1, 1, b"old"))
        self.harness.receive(D, C, stale)
        self.harness.sync_all()
        self.harness.sent.clear()
        newest = self.harness.replicas[A].record().document
        self.harness.receive(D, A, Write(newest))
        self.harness.receive(D, A, VoteRequest(9, Position()))
        self.harness.sync_all()
        self.assertEqual(self.harness.take(Promise), [])
        admitted = next(member for member in newest.configuration.members if member.ip == D)
        acknowledgements = self.harness.take(WriteAck)
        self.assertEqual(len(acknowledgements), 1)
        for acknowledgement in acknowledgements:
            assert isinstance(acknowledgement, WriteAck)
            self.assertNotIn(acknowledgement.token, (None, admitted.token))

    def test_unknown_candidate_with_a_newer_document_gets_a_response(self) -> None:
        self.harness.now += 2.0
        self.harness.receive(B, D, PreVoteRequest(1, Position(9, 9)))
        self.harness.receive(B, D, VoteRequest(10, Position(9, 9)))
        self.harness.sync_all()
        self.assertEqual(self.harness.take(MembershipNotice, D), [])
        replies = [
            reply.granted for reply in self.harness.take(PreVoteReply) if isinstance(reply, PreVoteReply)
        ]
        self.assertEqual(replies, [True])
        self.assertEqual(len(self.harness.take(Promise, D)), 1)

    def test_learner_counts_neither_as_copy_nor_as_vote(self) -> None:
        self.harness.down.update((B, C))
        self.harness.start(D, None)
        self.harness.receive(A, D, JoinRequest(self.harness.replicas[D].record().token))
        self.harness.settle()
        self.harness.propose(A, 1, b"x")
        self.harness.confirm(A, 2)
        self.harness.settle()
        self.assertNotIn(1, self.harness.outcomes)
        self.assertNotIn(2, self.harness.outcomes)


class TimingTest(unittest.TestCase):
    def test_idle_group_sends_only_heartbeats(self) -> None:
        harness = ReplicaHarness()
        harness.start_all()
        harness.lead(A)
        harness.pass_time(1.0)
        harness.sent.clear()
        harness.now += Timing().heartbeat
        for ip in MEMBERS:
            harness.tick(ip)
        self.assertEqual([type(message) for _, _, message in harness.sent], [Heartbeat, Heartbeat])

    def test_wakeups_of_an_idle_backup_are_rare(self) -> None:
        harness = ReplicaHarness()
        harness.start_all()
        harness.lead(A)
        harness.pass_time(1.0)
        self.assertGreater(harness.replicas[B].next_wakeup() - harness.now, 0.4)
