"""Single rules of the replication, each on replicas whose messages and writes the test moves by hand."""

import unittest
from random import Random

from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, Send
from rookwood.coordination.messages import (
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    MembershipNotice,
    Message,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    Refused,
    Situation,
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
    ConfirmOutcome,
    Declined,
    NotPrimary,
    Primary,
    ProposeOutcome,
    Unattached,
    Uncertain,
)
from rookwood.coordination.quorum import copy_quorum, vote_quorum
from rookwood.coordination.replication import Replica
from rookwood.coordination.timing import Timing

A, B, C, D = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"
MEMBERS = (A, B, C)
MAX_ROUNDS = 200


class Harness:
    """Replicas with a network and disks that move only when told."""

    def __init__(self, members: tuple[str, ...] = MEMBERS, tolerate: int = 1) -> None:
        self.now = 0.0
        self.tolerate = tolerate
        self.first = Record(0, 0, True, Document(Position(), configuration_of(members)))
        self.replicas: dict[str, Replica] = {}
        self.sent: list[tuple[str, str, Message]] = []
        self.writes: dict[str, Persist] = {}
        self.disks: dict[str, Record | None] = {}
        self.outcomes: dict[int, ProposeOutcome | ConfirmOutcome] = {}
        self.commits: dict[str, list[bytes]] = {}
        self.incarnations: dict[str, int] = {}
        self.down: set[str] = set()
        self._members = members

    def start(self, ip: str, record: Record | None) -> None:
        """Start the process of a machine with what its disk holds."""
        self.incarnations[ip] = self.incarnations.get(ip, 0) + 1
        self.disks[ip] = record
        self.writes.pop(ip, None)
        self.commits[ip] = []
        self.down.discard(ip)
        self.replicas[ip] = Replica(
            ip=ip,
            incarnation=self.incarnations[ip],
            seeds=self._members,
            tolerate=self.tolerate,
            record=record,
            random=Random(f"{ip} {self.incarnations[ip]}"),
            now=self.now,
        )
        self.tick(ip)

    def start_all(self) -> None:
        """Start the first members, with their first record."""
        for ip in self._members:
            self.start(ip, self.first)
        self.sync_all()

    def lead(self, ip: str) -> None:
        """Make a member the primary, everything settled."""
        self.receive(ip, "test", TransferNow(self.replicas[ip].record().promised))
        self.settle()
        assert isinstance(self.replicas[ip].role(self.now), Primary)

    def tick(self, ip: str) -> None:
        """Let a replica do what is due."""
        self.apply(ip, self.replicas[ip].tick(self.now))

    def receive(self, ip: str, sender: str, message: Message) -> None:
        """Give a message to a replica."""
        incarnation = self.incarnations.get(sender, 0)
        self.apply(ip, self.replicas[ip].receive(sender, incarnation, message, self.now))

    def propose(self, ip: str, ticket: int, label: bytes) -> None:
        """Propose a change that appends a label."""
        self.apply(ip, self.replicas[ip].propose(ticket, lambda payload: payload + label, self.now))

    def decline(self, ip: str, ticket: int) -> None:
        """Propose a change that declines."""
        self.apply(ip, self.replicas[ip].propose(ticket, lambda payload: Declined("no"), self.now))

    def confirm(self, ip: str, ticket: int) -> None:
        """Ask for a confirmation of leadership."""
        self.apply(ip, self.replicas[ip].confirm(ticket, self.now))

    def sync(self, ip: str) -> None:
        """Let the write under way succeed."""
        write = self.writes.pop(ip)
        self.disks[ip] = write.record
        self.apply(ip, self.replicas[ip].persisted(write.ticket, write.record, True, self.now))

    def fail_write(self, ip: str, stored: Record | None) -> None:
        """Let the write under way fail, the disk holding what is given."""
        write = self.writes.pop(ip)
        self.disks[ip] = stored
        self.apply(ip, self.replicas[ip].persisted(write.ticket, stored, False, self.now))

    def sync_all(self) -> None:
        """Let the writes under way succeed until there are none."""
        for _ in range(MAX_ROUNDS):
            writing = [ip for ip in self.writes if ip not in self.down]
            if not writing:
                return
            self.sync(writing[0])
        raise AssertionError("the disks do not settle")

    def take(self, kind: type[Message], to: str | None = None) -> list[Message]:
        """Remove and return messages of one kind."""
        taken = [entry for entry in self.sent if isinstance(entry[2], kind) and to in (None, entry[1])]
        self.sent = [entry for entry in self.sent if entry not in taken]
        return [message for _, _, message in taken]

    def settle(self) -> None:
        """Deliver messages and finish writes until nothing moves; what is for the down is lost."""
        for _ in range(MAX_ROUNDS):
            self.sync_all()
            if not self.sent:
                return
            batch, self.sent = self.sent, []
            for sender, to, message in batch:
                if to in self.replicas and to not in self.down and sender not in self.down:
                    self.receive(to, sender, message)
        raise AssertionError("the network does not settle")

    def pass_time(self, seconds: float, step: float = 0.1) -> None:
        """Let time pass, everything that is up working as usual."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for ip in self.replicas:
                if ip not in self.down:
                    self.tick(ip)
            self.settle()

    def apply(self, ip: str, effects: list[Effect]) -> None:
        """Take the effects of one input."""
        for effect in effects:
            match effect:
                case Send():
                    self.sent.append((ip, effect.to, effect.message))
                case Persist():
                    self.writes[ip] = effect
                case Resolve():
                    self.outcomes[effect.ticket] = effect.outcome
                case CommitApplied():
                    self.commits[ip].append(effect.snapshot.payload)
                case _:
                    pass


def configuration_of(members: tuple[str, ...]) -> Configuration:
    return Configuration(tuple(Member(ip) for ip in members))


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

    def test_change_of_members_needs_both_sets(self) -> None:
        old = tuple(Member(ip) for ip in (A, B, C))
        new = tuple(Member(ip) for ip in (A, B, D))
        changing = Configuration(new, old)
        self.assertTrue(changing.has_votes({A, B}))
        self.assertFalse(changing.has_votes({A, C}))
        self.assertFalse(changing.has_votes({A, D}))
        self.assertFalse(changing.has_copies({B, D}, 1))


class WriteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = Harness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_commit_needs_the_own_copy_and_another(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        self.harness.sync(B)
        self.harness.receive(A, B, self.harness.take(WriteAck, A)[0])
        self.assertNotIn(1, self.harness.outcomes)
        self.harness.sync(A)
        self.assertIsInstance(self.harness.outcomes[1], Committed)

    def test_own_copy_alone_does_not_commit(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.sync(A)
        self.assertNotIn(1, self.harness.outcomes)

    def test_backup_acknowledges_only_what_is_synced(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.receive(B, A, self.harness.take(Write, B)[0])
        self.assertEqual(self.harness.take(WriteAck), [])
        self.harness.sync(B)
        self.assertEqual(len(self.harness.take(WriteAck)), 1)

    def test_backup_tells_a_failed_write_and_takes_it_later(self) -> None:
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

    def test_failed_write_found_in_the_cache_is_not_acknowledged(self) -> None:
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

    def test_doubled_write_is_acknowledged_again(self) -> None:
        self.harness.propose(A, 1, b"x")
        write = self.harness.take(Write, B)[0]
        self.harness.receive(B, A, write)
        self.harness.sync(B)
        self.harness.receive(B, A, write)
        acknowledgements = self.harness.take(WriteAck)
        self.assertEqual(len(acknowledgements), 2)
        self.assertEqual(acknowledgements[0], acknowledgements[1])

    def test_changes_are_written_one_after_the_other(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.propose(A, 2, b"y")
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[2], Committed)
        self.assertEqual(self.harness.commits[A][-2:], [b"x", b"xy"])

    def test_backup_applies_at_the_notice_that_follows_a_commit(self) -> None:
        self.harness.propose(A, 1, b"x")
        self.harness.settle()
        self.assertEqual(self.harness.commits[B][-1], b"x")
        self.assertEqual(self.harness.commits[C][-1], b"x")

    def test_write_of_an_older_epoch_is_refused(self) -> None:
        self.harness.lead(B)
        self.harness.receive(C, A, Write(document_at(1, 9)))
        self.assertEqual(self.harness.take(WriteAck), [])
        self.assertEqual(self.harness.take(Refused), [Refused(1, 2)])


class ConfirmTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = Harness()
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

    def test_frozen_primary_answers_nothing_after_its_lease(self) -> None:
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
        self.harness = Harness()
        self.harness.start_all()

    def test_promise_is_told_only_once_synced(self) -> None:
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

    def test_promise_is_repeated_to_the_same_life_of_the_candidate_only(self) -> None:
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.harness.sync(B)
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.assertEqual(len(self.harness.take(Promise)), 2)
        self.harness.start(A, self.harness.first)
        self.harness.receive(B, A, VoteRequest(1, Position()))
        self.assertEqual(self.harness.take(Promise), [])

    def test_promise_to_an_earlier_life_is_not_counted(self) -> None:
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

    def test_no_pre_vote_is_won_while_the_others_hear_a_primary(self) -> None:
        self.harness.lead(A)
        self.harness.receive(B, C, PreVoteRequest(5))
        reply = self.harness.take(PreVoteReply)[0]
        assert isinstance(reply, PreVoteReply)
        self.assertFalse(reply.granted)

    def test_member_favours_one_candidate_for_a_bounded_time(self) -> None:
        self.harness.receive(C, A, PreVoteRequest(1))
        self.harness.receive(C, B, PreVoteRequest(2))
        self.assertEqual(self.granted(), [True, False])
        self.harness.now += Timing().favour + 0.01
        self.harness.receive(C, B, PreVoteRequest(3))
        self.assertEqual(self.granted(), [True])

    def test_candidate_that_stalls_is_passed_over_afterwards(self) -> None:
        for number in range(5):
            self.harness.receive(C, A, PreVoteRequest(number))
            self.harness.now += Timing().favour * 0.6
        self.assertEqual(self.granted(), [True, True, False, False, False])
        self.harness.receive(C, B, PreVoteRequest(9))
        self.assertEqual(self.granted(), [True])

    def test_candidate_whose_process_ended_is_not_favoured(self) -> None:
        self.harness.receive(C, A, PreVoteRequest(1))
        self.harness.apply(C, self.harness.replicas[C].disconnected(A, self.harness.now))
        self.harness.receive(C, B, PreVoteRequest(2))
        self.assertEqual(self.granted(), [True, True])

    def test_member_that_promised_keeps_a_second_candidate_waiting(self) -> None:
        self.harness.receive(C, A, VoteRequest(1, Position()))
        self.harness.receive(C, B, VoteRequest(2, Position()))
        self.harness.sync_all()
        self.assertEqual(len(self.harness.take(Promise, A)), 1)
        self.assertEqual(self.harness.take(Promise, B) + self.harness.take(Refused, B), [])
        self.harness.now += Timing().favour + 0.01
        self.harness.receive(C, B, VoteRequest(2, Position()))
        self.harness.sync_all()
        self.assertEqual(len(self.harness.take(Promise, B)), 1)

    def test_of_two_that_stand_at_once_the_lower_address_goes_first(self) -> None:
        self.harness.now += 2.0
        for ip in (A, B):
            self.harness.tick(ip)
        self.harness.receive(B, A, self.harness.take(PreVoteRequest, B)[0])
        self.harness.receive(A, B, self.harness.take(PreVoteRequest, A)[0])
        replies = {to: message for _, to, message in self.harness.sent if isinstance(message, PreVoteReply)}
        self.assertTrue(replies[A].granted)
        self.assertFalse(replies[B].granted)

    def test_candidate_gives_up_before_the_favour_of_its_voters_lapses(self) -> None:
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

    def granted(self) -> list[bool]:
        replies = self.harness.take(PreVoteReply)
        return [reply.granted for reply in replies if isinstance(reply, PreVoteReply)]

    def test_silence_of_the_primary_leads_to_an_election(self) -> None:
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
        self.harness = Harness()
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

    def test_primary_whose_disk_fails_hands_over(self) -> None:
        before = self.harness.disks[A]
        self.harness.propose(A, 1, b"x")
        self.harness.fail_write(A, before)
        self.assertIsInstance(self.harness.outcomes[1], Uncertain)
        self.assertEqual(len(self.harness.take(TransferNow)), 1)

    def test_primary_whose_disk_stalls_hands_over(self) -> None:
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

    def test_member_whose_disk_failed_is_not_chosen_as_successor(self) -> None:
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

    def test_member_whose_disk_failed_answers_heartbeats_but_does_not_vote(self) -> None:
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
        self.harness = Harness()
        self.harness.start_all()
        self.harness.lead(A)
        self.harness.propose(A, 1, b"x")
        self.harness.settle()

    def wipe(self, ip: str) -> None:
        self.harness.start(ip, None)
        self.harness.sync_all()

    def test_wiped_member_promises_nothing_before_it_heard_all_others(self) -> None:
        self.harness.down.add(A)
        self.wipe(B)
        self.harness.settle()
        self.assertEqual(self.harness.replicas[B].role(self.harness.now), Unattached("recovering"))
        self.harness.receive(B, C, VoteRequest(9, Position()))
        self.harness.receive(B, A, Heartbeat(1, 9, Position(1, 2), Position(1, 2)))
        self.harness.receive(B, A, Write(document_at(1, 3, b"xy")))
        self.harness.sync_all()
        answers = self.harness.take(Promise) + self.harness.take(HeartbeatAck) + self.harness.take(WriteAck)
        self.assertEqual(answers, [])

    def test_wiped_member_adopts_the_highest_promise_and_newest_document(self) -> None:
        self.harness.receive(C, "test", TransferNow(5))
        self.harness.sync(C)
        self.harness.sent.clear()
        self.wipe(B)
        self.harness.settle()
        record = self.harness.disks[B]
        assert record is not None
        self.assertEqual(record.promised, 6)
        self.assertEqual(record.document.payload, b"x")
        self.harness.receive(B, A, VoteRequest(6, Position()))
        self.harness.sync_all()
        self.assertEqual(self.harness.take(Promise), [])

    def test_answer_holds_what_the_primary_has_only_in_memory(self) -> None:
        self.harness.propose(A, 2, b"y")
        self.harness.receive(B, A, self.harness.take(Write, B)[0])
        self.harness.sync(B)
        self.harness.sent.clear()
        self.harness.start(B, None)
        self.harness.sync(B)
        for ip in (A, C):
            inquiry = next(message for _, to, message in self.harness.sent if to == ip)
            self.harness.receive(ip, B, inquiry)
        for ip, to, message in list(self.harness.sent):
            if to == B and isinstance(message, Situation):
                self.harness.receive(B, ip, message)
        self.harness.sync(B)
        record = self.harness.disks[B]
        assert record is not None
        self.assertEqual(record.document.payload, b"xy")

    def test_more_wiped_members_than_copies_do_not_begin_anew(self) -> None:
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
        self.harness = Harness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_silent_member_is_replaced_by_one_that_asks(self) -> None:
        self.harness.down.add(C)
        self.harness.start(D, None)
        self.harness.pass_time(3.0)
        self.assertEqual(set(self.harness.replicas[A].members()), {A, B, D})
        self.assertIsInstance(self.harness.replicas[D].role(self.harness.now), Backup)

    def test_group_grows_to_the_size_that_is_tolerated(self) -> None:
        harness = Harness((A,), tolerate=1)
        harness.start_all()
        harness.lead(A)
        harness.start(B, None)
        harness.start(C, None)
        harness.start(D, None)
        harness.pass_time(2.0)
        self.assertEqual(len(harness.replicas[A].members()), 3)
        self.assertEqual(len(set(harness.replicas[A].members())), 3)

    def test_member_that_is_heard_is_not_replaced(self) -> None:
        self.harness.start(D, None)
        self.harness.pass_time(4.0)
        self.assertEqual(self.harness.replicas[A].members(), MEMBERS)
        self.assertEqual(self.harness.replicas[D].role(self.harness.now), Unattached("joining"))

    def test_removed_member_is_told_and_joins_anew(self) -> None:
        self.harness.down.add(C)
        self.harness.start(D, None)
        self.harness.pass_time(3.0)
        self.harness.down.clear()
        self.harness.receive(B, C, VoteRequest(50, Position()))
        self.assertEqual(len(self.harness.take(MembershipNotice, C)), 1)
        self.harness.pass_time(2.0)
        self.assertEqual(self.harness.replicas[C].role(self.harness.now), Unattached("joining"))
        self.assertLess(self.harness.replicas[A].record().promised, 50)

    def test_member_wiped_and_taken_in_by_a_deposed_primary_does_not_count(self) -> None:
        self.harness.down.add(C)
        self.harness.start(D, None)
        self.harness.pass_time(3.0)
        self.harness.start(D, None)
        learner = Write(document_at(1, 1, b"old"))
        self.harness.receive(D, C, learner)
        self.harness.sync_all()
        self.harness.sent.clear()
        newest = self.harness.replicas[A].record().document
        self.harness.receive(D, A, Write(newest))
        self.harness.receive(D, A, VoteRequest(9, Position()))
        self.harness.sync_all()
        self.assertEqual(self.harness.take(WriteAck) + self.harness.take(Promise), [])

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
        harness = Harness()
        harness.start_all()
        harness.lead(A)
        harness.pass_time(1.0)
        harness.sent.clear()
        harness.now += Timing().heartbeat
        for ip in MEMBERS:
            harness.tick(ip)
        self.assertEqual([type(message) for _, _, message in harness.sent], [Heartbeat, Heartbeat])

    def test_wakeups_of_an_idle_backup_are_rare(self) -> None:
        harness = Harness()
        harness.start_all()
        harness.lead(A)
        harness.pass_time(1.0)
        self.assertGreater(harness.replicas[B].next_wakeup() - harness.now, 0.4)
