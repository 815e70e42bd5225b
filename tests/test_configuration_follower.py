"""The configuration follower: its position never decreases, and at most one request is pending."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rookwood.cluster.configuration_follower import (
    HEARTBEAT_ANSWER_LIFETIME,
    RESPONSE_TIMEOUT,
    ConfigurationFollower,
)
from rookwood.cluster.invariants import Invariant, InvariantCounter
from rookwood.cluster.messages import (
    ConfigurationBody,
    ConfigurationDelta,
    FetchConfiguration,
    HeartbeatAnswer,
    Message,
    Status,
)
from rookwood.cluster.position import ConfigurationPosition
from rookwood.cluster.progress import ConfigurationProgress
from rookwood.clusterconfig.configuration_store import Applied, ApplyOutcome, DigestMismatch, Malformed
from rookwood.clusterconfig.items import ItemChanges

FIRST, SECOND = "10.0.0.1", "10.0.0.2"
STATUS = Status(FIRST, 3, FIRST, True, True, 3, 7, 4, (FIRST, SECOND))
START = 100.0
HEARTBEAT_AT = START - 0.1
ANSWER = HeartbeatAnswer(HEARTBEAT_AT, 3, 7, fresh=True)
NO_CHANGES = ItemChanges((), ())
DIGEST = 17


class FollowerCase(unittest.TestCase):
    """A follower whose applied configurations and deltas are recorded."""

    def setUp(self) -> None:
        self.configurations: list[bytes] = []
        self.digests: list[int] = []
        self.outcome: ApplyOutcome = Applied()
        self.now = START
        self.invariants = InvariantCounter()
        self.follower = self.make_follower("10.0.0.7")

    def make_follower(self, identity: str) -> ConfigurationFollower:
        """Return a follower that records what it applies in this test case."""
        progress = ConfigurationProgress(lambda: self.now, self.invariants)
        return ConfigurationFollower(identity, self.replace, self.apply, progress, self.invariants)

    def replace(self, source: bytes) -> ApplyOutcome:
        """Record a full configuration unless `outcome` says that it is not applied."""
        if isinstance(self.outcome, Applied):
            self.configurations.append(source)
        return self.outcome

    def apply(self, changes: ItemChanges, digest: int) -> ApplyOutcome:
        """Record the digest of a delta, with the result `outcome`."""
        self.digests.append(digest)
        return self.outcome

    def receive(self, peer: str, message: Message, now: float = START) -> Message | None:
        """Handle a message of a control machine; returns the request that is sent to it at once."""
        self.follower.message_received(peer, message, now)
        request = self.follower.next_request(now)
        if request is None:
            return None
        self.assertEqual(peer, request.peer)
        return request.message

    def delta(self, base: int, sequence: int) -> ConfigurationDelta:
        """Return a delta from one sequence of epoch 3 to another."""
        return ConfigurationDelta(3, sequence, 3, base, NO_CHANGES, DIGEST)

    def start_at(self, sequence: int) -> None:
        """Put a confirmed configuration in force."""
        self.receive(FIRST, ConfigurationBody(3, sequence, b"start", confirmed=True))


class ConfigurationTests(FollowerCase):
    def test_a_newer_configuration_is_fetched_and_put_in_force(self) -> None:
        self.assertEqual(FetchConfiguration(7, confirm=True), self.receive(FIRST, STATUS))
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)
        self.assertIsNone(self.receive(FIRST, STATUS))

    def test_nothing_is_fetched_if_nothing_was_committed(self) -> None:
        self.assertIsNone(self.receive(FIRST, replace(STATUS, config_epoch=1, config_sequence=0)))

    def test_an_older_sequence_is_ignored(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.receive(SECOND, ConfigurationBody(3, 6, b"six", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)
        self.assertIsNone(self.receive(SECOND, replace(STATUS, config_sequence=6)))

    def test_an_older_epoch_is_ignored_even_with_a_higher_sequence(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.receive(SECOND, ConfigurationBody(2, 9, b"lost branch", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)
        self.assertIsNone(self.receive(SECOND, replace(STATUS, config_epoch=2, config_sequence=9)))

    def test_a_newer_epoch_counts_even_with_a_lower_sequence(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.receive(SECOND, ConfigurationBody(4, 2, b"two", confirmed=True))
        self.assertEqual([b"seven", b"two"], self.configurations)

    def test_a_repeated_configuration_is_applied_once(self) -> None:
        for peer in (FIRST, SECOND, FIRST):
            self.receive(peer, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)

    def test_closing_a_link_keeps_the_configuration(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.follower.link_closed(FIRST)
        self.receive(SECOND, ConfigurationBody(3, 6, b"six", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)


class ConfirmationTests(FollowerCase):
    """A dispatcher that has just started only applies a configuration that a majority has confirmed since."""

    def test_the_first_request_goes_only_to_a_machine_that_claims_to_be_primary(self) -> None:
        self.assertIsNone(self.receive(SECOND, replace(STATUS, identity=SECOND)))
        stale = replace(STATUS, identity=SECOND, primary=SECOND, fresh=False)
        self.assertIsNone(self.receive(SECOND, stale))
        self.assertEqual(FetchConfiguration(7, confirm=True), self.receive(FIRST, STATUS))

    def test_an_unconfirmed_configuration_is_not_applied_at_the_start(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 6, b"six", confirmed=False))
        self.assertEqual([], self.configurations)
        self.assertEqual(FetchConfiguration(7, confirm=True), self.receive(FIRST, STATUS))

    def test_an_unconfirmed_configuration_does_not_block_a_confirmed_older_one(self) -> None:
        self.receive(SECOND, ConfigurationBody(9, 9, b"of a machine cut off", confirmed=False))
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)

    def test_later_configurations_are_fetched_from_any_machine(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        newer = replace(STATUS, identity=SECOND, config_sequence=8)
        self.assertEqual(FetchConfiguration(8, False, 3, 7), self.receive(SECOND, newer))
        self.receive(SECOND, ConfigurationBody(3, 8, b"eight", confirmed=False))
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven", b"eight"], self.configurations)


class RequestTests(FollowerCase):
    def test_the_next_request_waits_for_the_response(self) -> None:
        self.start_at(7)
        self.assertIsNotNone(self.receive(FIRST, replace(STATUS, config_sequence=8)))
        self.assertIsNone(self.receive(FIRST, replace(STATUS, config_sequence=9)))
        self.assertIsNone(self.receive(SECOND, replace(STATUS, identity=SECOND, config_sequence=9)))
        self.follower.message_received(FIRST, self.delta(7, 8), START)
        request = self.follower.next_request(START + 0.1)
        assert request is not None
        self.assertEqual(FetchConfiguration(9, False, 3, 8), request.message)

    def test_a_request_that_timed_out_is_sent_to_another_machine(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.receive(SECOND, replace(STATUS, identity=SECOND, config_sequence=8))
        deadline = START + RESPONSE_TIMEOUT + 0.01
        self.assertLessEqual(self.follower.next_wakeup(START) or 0.0, deadline)
        request = self.follower.next_request(deadline)
        assert request is not None
        self.assertEqual(SECOND, request.peer)

    def test_a_request_over_a_closed_link_is_sent_to_another_machine_at_once(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.receive(SECOND, replace(STATUS, identity=SECOND, config_sequence=8))
        self.follower.link_closed(FIRST)
        later = START + 0.1
        request = self.follower.next_request(later)
        assert request is not None
        self.assertEqual(SECOND, request.peer)

    def test_any_machine_is_asked_if_it_alone_has_a_newer_position(self) -> None:
        machines = [f"10.0.0.{number}" for number in range(1, 6)]
        for newer_peer in machines:
            with self.subTest(newer_peer=newer_peer):
                follower = self.make_follower("10.0.0.7")
                follower.message_received(
                    newer_peer, ConfigurationBody(3, 7, b"start", confirmed=True), START
                )
                for peer in machines:
                    sequence = 8 if peer == newer_peer else 7
                    follower.message_received(
                        peer, replace(STATUS, identity=peer, config_sequence=sequence), START
                    )
                moments = [START]
                while (request := follower.next_request(moments[-1])) is None:
                    wakeup = follower.next_wakeup(moments[-1])
                    assert wakeup is not None
                    self.assertGreater(wakeup, moments[-1])
                    moments.append(wakeup)
                self.assertEqual(newer_peer, request.peer)
                self.assertLess(moments[-1], START + 0.2)

    def test_dispatchers_spread_their_requests_over_the_machines(self) -> None:
        machines = [f"10.0.0.{number}" for number in range(1, 6)]
        requested_peers = []
        for number in range(100):
            follower = self.make_follower(f"10.0.1.{number}")
            follower.message_received(FIRST, ConfigurationBody(3, 7, b"start", confirmed=True), START)
            for peer in machines:
                follower.message_received(peer, replace(STATUS, identity=peer, config_sequence=8), START)
            request = follower.next_request(START)
            assert request is not None
            requested_peers.append(request.peer)
        for peer in machines:
            self.assertGreater(requested_peers.count(peer), 8)

    def test_nothing_is_scheduled_while_up_to_date(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.receive(FIRST, ANSWER)
        self.assertIsNone(self.follower.next_wakeup(START))
        self.assertTrue(self.follower.is_up_to_date(START))

    def test_a_status_alone_does_not_confirm_the_position(self) -> None:
        """The status may have been sent before a stall of this process."""
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_an_answer_to_an_old_heartbeat_does_not_confirm_the_position(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        resumed_at = HEARTBEAT_AT + HEARTBEAT_ANSWER_LIFETIME
        self.receive(FIRST, STATUS, resumed_at)
        self.receive(FIRST, ANSWER, resumed_at)
        self.assertFalse(self.follower.is_up_to_date(resumed_at))

    def test_a_heartbeat_answer_with_a_newer_position_leads_to_a_request(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        newer = replace(ANSWER, config_sequence=8)
        self.assertEqual(FetchConfiguration(8, False, 3, 7), self.receive(FIRST, newer))
        self.assertFalse(self.follower.is_up_to_date(START))
        self.receive(FIRST, self.delta(7, 8))
        self.assertTrue(self.follower.is_up_to_date(START))

    def test_a_status_older_than_a_heartbeat_answer_does_not_lower_the_position(self) -> None:
        """The status may arrive after the heartbeat answer, whose position stays the one to fetch."""
        self.start_at(6)
        self.receive(FIRST, replace(STATUS, config_sequence=6))
        self.receive(FIRST, replace(ANSWER, config_sequence=8))
        self.receive(FIRST, replace(STATUS, config_sequence=7))
        self.assertEqual(ConfigurationPosition(3, 8), self.follower.newest_announced)
        self.receive(FIRST, self.delta(6, 7))
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_a_status_keeps_the_confirmation_of_an_earlier_heartbeat_answer(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.receive(FIRST, ANSWER)
        self.receive(FIRST, STATUS)
        self.assertTrue(self.follower.is_up_to_date(START))
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_a_response_that_is_being_received_is_not_overdue(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.follower.message_received(SECOND, replace(STATUS, identity=SECOND, config_sequence=8), START)
        self.assertEqual(FIRST, self.follower.awaited_peer)
        part_received_at = START + RESPONSE_TIMEOUT - 0.01
        self.follower.restart_response_timeout(FIRST, part_received_at)
        self.assertIsNone(self.follower.next_request(START + RESPONSE_TIMEOUT + 0.01))
        self.assertIsNotNone(self.follower.next_request(part_received_at + RESPONSE_TIMEOUT + 0.01))

    def test_before_the_first_configuration_a_machine_that_timed_out_is_ranked_last(self) -> None:
        self.receive(FIRST, STATUS)
        self.follower.message_received(
            SECOND, replace(STATUS, identity=SECOND, primary=SECOND, epoch=4), START
        )
        request = self.follower.next_request(START + RESPONSE_TIMEOUT + 0.01)
        assert request is not None
        self.assertEqual(SECOND, request.peer)

    def test_a_machine_without_contact_to_the_primary_does_not_confirm_the_position(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, fresh=False))
        self.receive(FIRST, replace(ANSWER, fresh=False))
        self.assertFalse(self.follower.is_up_to_date(START))
        self.receive(FIRST, ANSWER)
        self.assertTrue(self.follower.is_up_to_date(START))
        self.receive(FIRST, replace(STATUS, fresh=False))
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_without_a_link_the_follower_is_not_up_to_date(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.receive(FIRST, ANSWER)
        self.follower.link_closed(FIRST)
        self.assertFalse(self.follower.is_up_to_date(START))
        self.receive(FIRST, ANSWER)
        self.assertFalse(self.follower.is_up_to_date(START))


class DeltaTests(FollowerCase):
    def test_a_delta_leads_to_its_position(self) -> None:
        self.start_at(7)
        self.receive(FIRST, self.delta(7, 9))
        self.assertEqual([DIGEST], self.digests)
        self.assertEqual(ConfigurationPosition(3, 9), self.follower.position)

    def test_a_delta_with_an_older_base_is_applied(self) -> None:
        self.start_at(8)
        self.receive(FIRST, self.delta(7, 9))
        self.assertEqual(ConfigurationPosition(3, 9), self.follower.position)

    def test_a_delta_with_a_newer_base_is_ignored(self) -> None:
        self.start_at(7)
        self.receive(FIRST, self.delta(8, 9))
        self.assertEqual([], self.digests)
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)

    def test_a_delta_to_an_older_position_is_ignored(self) -> None:
        self.start_at(7)
        self.receive(FIRST, self.delta(5, 6))
        self.assertEqual([], self.digests)

    def test_a_delta_is_not_applied_before_a_confirmed_configuration(self) -> None:
        self.receive(FIRST, ConfigurationDelta(3, 8, -1, -1, NO_CHANGES, DIGEST))
        self.assertEqual([], self.digests)

    def test_after_a_digest_mismatch_the_full_configuration_is_requested(self) -> None:
        self.start_at(7)
        self.outcome = DigestMismatch()
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.assertEqual(FetchConfiguration(8, False), self.receive(FIRST, self.delta(7, 8)))
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)
        self.assertEqual(1, self.invariants.counts[Invariant.DELTA_FITS])
        self.outcome = Applied()
        self.receive(FIRST, ConfigurationBody(3, 8, b"whole", confirmed=False))
        self.assertEqual([b"start", b"whole"], self.configurations)

    def test_a_late_delta_with_a_digest_mismatch_is_not_a_violation(self) -> None:
        self.start_at(7)
        self.outcome = DigestMismatch()
        self.receive(FIRST, replace(STATUS, config_sequence=9))
        self.assertEqual(FetchConfiguration(9, False, 3, 7), self.receive(FIRST, self.delta(6, 8)))
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)
        self.assertEqual(0, self.invariants.counts[Invariant.DELTA_FITS])

    def test_the_full_configuration_is_requested_from_a_machine_with_a_newer_position(self) -> None:
        for peer in (FIRST, SECOND):
            with self.subTest(newer_peer=peer):
                follower = self.make_follower("10.0.0.7")
                self.outcome = Applied()
                follower.message_received(FIRST, ConfigurationBody(3, 5, b"start", confirmed=True), START)
                for other in (FIRST, SECOND):
                    sequence = 6 if other == peer else 5
                    status = replace(STATUS, identity=other, config_sequence=sequence)
                    follower.message_received(other, status, START)
                self.outcome = DigestMismatch()
                follower.message_received(peer, self.delta(5, 6), START)
                request = follower.next_request(START + 0.2)
                assert request is not None
                self.assertEqual((peer, FetchConfiguration(6, False)), (request.peer, request.message))

    def test_nothing_is_requested_once_the_delta_of_another_machine_was_applied(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.outcome = DigestMismatch()
        self.receive(FIRST, self.delta(7, 8))
        self.outcome = Applied()
        self.follower.message_received(SECOND, self.delta(7, 8), START)
        self.follower.message_received(FIRST, ConfigurationBody(3, 8, b"whole", confirmed=False), START)
        for step in range(20):
            self.assertIsNone(self.follower.next_request(START + step * 0.5))


class InvalidConfigurationTests(FollowerCase):
    def test_an_invalid_configuration_is_not_applied_and_is_requested_again_later(
        self,
    ) -> None:
        self.start_at(7)
        self.outcome = Malformed("KeyError('ver')")
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.assertIsNone(self.receive(FIRST, ConfigurationBody(3, 8, b"unreadable", confirmed=False)))
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)
        self.assertIsNotNone(self.follower.next_request(START + RESPONSE_TIMEOUT + 0.01))

    def test_an_invalid_first_configuration_leaves_the_follower_unconfirmed(self) -> None:
        self.outcome = Malformed("KeyError('ver')")
        self.receive(FIRST, ConfigurationBody(3, 7, b"unreadable", confirmed=True))
        self.assertFalse(self.follower.confirmed)


class LagTests(FollowerCase):
    """The lag of the position in force behind the announced positions."""

    def test_the_lag_is_that_of_the_oldest_awaited_position(self) -> None:
        self.start_at(7)
        for sequence in range(8, 20):
            self.now = START + sequence
            self.receive(FIRST, replace(STATUS, config_sequence=sequence), self.now)
        self.now = START + 30
        self.assertEqual(22.0, self.follower.progress.seconds_behind())
        self.receive(FIRST, self.delta(7, 10), self.now)
        self.assertEqual(19.0, self.follower.progress.seconds_behind())
        self.receive(FIRST, self.delta(10, 19), self.now)
        self.assertEqual(0.0, self.follower.progress.seconds_behind())

    def test_a_position_that_is_awaited_for_too_long_is_a_violation(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        for self.now in (START + 1.0, START + 2.0):
            self.follower.progress.check(2.0)
        self.assertEqual(0, self.invariants.total)
        self.now = START + 2.1
        self.follower.progress.check(2.0)
        self.assertEqual(1, self.invariants.counts[Invariant.IN_FORCE_IN_TIME])

    def test_the_time_of_a_stall_does_not_cause_a_violation(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        for self.now in (START + 0.5, START + 9.0, START + 10.0):
            self.follower.progress.check(2.0)
        self.assertEqual(0, self.invariants.total)
        for self.now in (START + 11.0, START + 12.0):
            self.follower.progress.check(2.0)
        self.assertEqual(1, self.invariants.counts[Invariant.IN_FORCE_IN_TIME])

    def test_without_a_link_nothing_is_awaited(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.follower.link_closed(FIRST)
        self.now = START + 60.0
        self.assertEqual(0.0, self.follower.progress.seconds_behind())
        self.receive(FIRST, replace(STATUS, config_sequence=8), self.now)
        self.assertEqual(0.0, self.follower.progress.seconds_behind())


if __name__ == "__main__":
    unittest.main()
