"""Following the configuration: it only goes forward, and one request is under way."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rookwood.cluster.configuration_follower import LEVEL_AGE, RESPONSE_TIMEOUT, ConfigurationFollower
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
    """A follower whose configurations are collected."""

    def setUp(self) -> None:
        self.configurations: list[bytes] = []
        self.digests: list[int] = []
        self.outcome: ApplyOutcome = Applied()
        self.now = START
        self.invariants = InvariantCounter()
        self.follower = self.make_follower("10.0.0.7")

    def make_follower(self, identity: str) -> ConfigurationFollower:
        """A follower that collects here."""
        progress = ConfigurationProgress(lambda: self.now, self.invariants)
        return ConfigurationFollower(identity, self.replace, self.apply, progress, self.invariants)

    def replace(self, source: bytes) -> ApplyOutcome:
        """Take a whole configuration, or refuse it."""
        if isinstance(self.outcome, Applied):
            self.configurations.append(source)
        return self.outcome

    def apply(self, changes: ItemChanges, digest: int) -> ApplyOutcome:
        """Take changes, or refuse them."""
        self.digests.append(digest)
        return self.outcome

    def receive(self, peer: str, message: Message, now: float = START) -> Message | None:
        """A message of one source; returns what that source is asked at once."""
        self.follower.message_received(peer, message, now)
        request = self.follower.next_request(now)
        if request is None:
            return None
        self.assertEqual(peer, request.peer)
        return request.message

    def delta(self, base: int, sequence: int) -> ConfigurationDelta:
        """Changes from one sequence of epoch 3 to another."""
        return ConfigurationDelta(3, sequence, 3, base, NO_CHANGES, DIGEST)

    def start_at(self, sequence: int) -> None:
        """A confirmed configuration is in force."""
        self.receive(FIRST, ConfigurationBody(3, sequence, b"start", confirmed=True))


class ConfigurationTests(FollowerCase):
    def test_a_newer_configuration_is_fetched_and_put_in_force(self) -> None:
        self.assertEqual(FetchConfiguration(7, confirm=True), self.receive(FIRST, STATUS))
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)
        self.assertIsNone(self.receive(FIRST, STATUS))

    def test_nothing_is_fetched_where_nothing_was_committed(self) -> None:
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

    def test_a_repeated_configuration_is_told_once(self) -> None:
        for peer in (FIRST, SECOND, FIRST):
            self.receive(peer, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)

    def test_a_lost_link_does_not_take_the_configuration_away(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.follower.link_closed(FIRST)
        self.receive(SECOND, ConfigurationBody(3, 6, b"six", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)


class ConfirmationTests(FollowerCase):
    """A dispatcher that starts takes only what a majority confirmed since."""

    def test_only_a_machine_that_claims_to_be_primary_is_asked_first(self) -> None:
        self.assertIsNone(self.receive(SECOND, replace(STATUS, identity=SECOND)))
        stale = replace(STATUS, identity=SECOND, primary=SECOND, fresh=False)
        self.assertIsNone(self.receive(SECOND, stale))
        self.assertEqual(FetchConfiguration(7, confirm=True), self.receive(FIRST, STATUS))

    def test_an_unconfirmed_configuration_is_not_taken_at_the_start(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 6, b"six", confirmed=False))
        self.assertEqual([], self.configurations)
        self.assertEqual(FetchConfiguration(7, confirm=True), self.receive(FIRST, STATUS))

    def test_an_unconfirmed_one_leaves_the_way_free_for_a_confirmed_one(self) -> None:
        self.receive(SECOND, ConfigurationBody(9, 9, b"of a machine cut off", confirmed=False))
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven"], self.configurations)

    def test_whoever_serves_takes_what_is_newer_from_any_machine(self) -> None:
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        newer = replace(STATUS, identity=SECOND, config_sequence=8)
        self.assertEqual(FetchConfiguration(8, False, 3, 7), self.receive(SECOND, newer))
        self.receive(SECOND, ConfigurationBody(3, 8, b"eight", confirmed=False))
        self.receive(FIRST, ConfigurationBody(3, 7, b"seven", confirmed=True))
        self.assertEqual([b"seven", b"eight"], self.configurations)


class RequestTests(FollowerCase):
    def test_an_answer_is_waited_for_before_the_next_request(self) -> None:
        self.start_at(7)
        self.assertIsNotNone(self.receive(FIRST, replace(STATUS, config_sequence=8)))
        self.assertIsNone(self.receive(FIRST, replace(STATUS, config_sequence=9)))
        self.assertIsNone(self.receive(SECOND, replace(STATUS, identity=SECOND, config_sequence=9)))
        self.follower.message_received(FIRST, self.delta(7, 8), START)
        request = self.follower.next_request(START + 0.1)
        assert request is not None
        self.assertEqual(FetchConfiguration(9, False, 3, 8), request.message)

    def test_an_overdue_answer_is_asked_for_elsewhere(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.receive(SECOND, replace(STATUS, identity=SECOND, config_sequence=8))
        overdue = START + RESPONSE_TIMEOUT + 0.01
        self.assertLessEqual(self.follower.next_wakeup(START) or 0.0, overdue)
        request = self.follower.next_request(overdue)
        assert request is not None
        self.assertEqual(SECOND, request.peer)

    def test_a_request_over_a_lost_link_is_made_elsewhere_at_once(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.receive(SECOND, replace(STATUS, identity=SECOND, config_sequence=8))
        self.follower.link_closed(FIRST)
        later = START + 0.1
        request = self.follower.next_request(later)
        assert request is not None
        self.assertEqual(SECOND, request.peer)

    def test_each_of_several_machines_is_asked_though_it_alone_has_news(self) -> None:
        machines = [f"10.0.0.{number}" for number in range(1, 6)]
        for news in machines:
            with self.subTest(news=news):
                follower = self.make_follower("10.0.0.7")
                follower.message_received(news, ConfigurationBody(3, 7, b"start", confirmed=True), START)
                for peer in machines:
                    sequence = 8 if peer == news else 7
                    follower.message_received(
                        peer, replace(STATUS, identity=peer, config_sequence=sequence), START
                    )
                moments = [START]
                while (request := follower.next_request(moments[-1])) is None:
                    wakeup = follower.next_wakeup(moments[-1])
                    assert wakeup is not None
                    self.assertGreater(wakeup, moments[-1])
                    moments.append(wakeup)
                self.assertEqual(news, request.peer)
                self.assertLess(moments[-1], START + 0.2)

    def test_dispatchers_spread_their_requests_over_the_machines(self) -> None:
        machines = [f"10.0.0.{number}" for number in range(1, 6)]
        asked = []
        for number in range(100):
            follower = self.make_follower(f"10.0.1.{number}")
            follower.message_received(FIRST, ConfigurationBody(3, 7, b"start", confirmed=True), START)
            for peer in machines:
                follower.message_received(peer, replace(STATUS, identity=peer, config_sequence=8), START)
            request = follower.next_request(START)
            assert request is not None
            asked.append(request.peer)
        for peer in machines:
            self.assertGreater(asked.count(peer), 8)

    def test_nothing_is_to_be_done_while_level(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.receive(FIRST, ANSWER)
        self.assertIsNone(self.follower.next_wakeup(START))
        self.assertTrue(self.follower.is_up_to_date(START))

    def test_a_status_that_may_be_old_makes_nobody_level(self) -> None:
        """It may have been sent before this process stood still."""
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_an_answer_to_a_heartbeat_that_was_sent_a_while_ago_makes_nobody_level(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        thawed_at = HEARTBEAT_AT + LEVEL_AGE
        self.receive(FIRST, STATUS, thawed_at)
        self.receive(FIRST, ANSWER, thawed_at)
        self.assertFalse(self.follower.is_up_to_date(thawed_at))

    def test_an_answer_with_a_newer_position_is_news(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        newer = replace(ANSWER, config_sequence=8)
        self.assertEqual(FetchConfiguration(8, False, 3, 7), self.receive(FIRST, newer))
        self.assertFalse(self.follower.is_up_to_date(START))
        self.receive(FIRST, self.delta(7, 8))
        self.assertTrue(self.follower.is_up_to_date(START))

    def test_a_status_that_was_made_before_an_answer_takes_nothing_back(self) -> None:
        """It may come later than the answer; the position that was told stays the one to be fetched."""
        self.start_at(6)
        self.receive(FIRST, replace(STATUS, config_sequence=6))
        self.receive(FIRST, replace(ANSWER, config_sequence=8))
        self.receive(FIRST, replace(STATUS, config_sequence=7))
        self.assertEqual(ConfigurationPosition(3, 8), self.follower.newest)
        self.receive(FIRST, self.delta(6, 7))
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_a_status_after_the_answer_keeps_what_the_answer_confirmed(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.receive(FIRST, ANSWER)
        self.receive(FIRST, STATUS)
        self.assertTrue(self.follower.is_up_to_date(START))
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_an_answer_that_is_coming_is_not_overdue(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.follower.message_received(SECOND, replace(STATUS, identity=SECOND, config_sequence=8), START)
        self.assertEqual(FIRST, self.follower.awaited_peer)
        coming = START + RESPONSE_TIMEOUT - 0.01
        self.follower.restart_response_timeout(FIRST, coming)
        self.assertIsNone(self.follower.next_request(START + RESPONSE_TIMEOUT + 0.01))
        self.assertIsNotNone(self.follower.next_request(coming + RESPONSE_TIMEOUT + 0.01))

    def test_before_the_first_configuration_a_machine_that_did_not_answer_comes_last(self) -> None:
        self.receive(FIRST, STATUS)
        self.follower.message_received(
            SECOND, replace(STATUS, identity=SECOND, primary=SECOND, epoch=4), START
        )
        request = self.follower.next_request(START + RESPONSE_TIMEOUT + 0.01)
        assert request is not None
        self.assertEqual(SECOND, request.peer)

    def test_a_machine_out_of_touch_makes_nobody_level(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, fresh=False))
        self.receive(FIRST, replace(ANSWER, fresh=False))
        self.assertFalse(self.follower.is_up_to_date(START))
        self.receive(FIRST, ANSWER)
        self.assertTrue(self.follower.is_up_to_date(START))
        self.receive(FIRST, replace(STATUS, fresh=False))
        self.assertFalse(self.follower.is_up_to_date(START))

    def test_without_a_link_nobody_is_level(self) -> None:
        self.start_at(7)
        self.receive(FIRST, STATUS)
        self.receive(FIRST, ANSWER)
        self.follower.link_closed(FIRST)
        self.assertFalse(self.follower.is_up_to_date(START))
        self.receive(FIRST, ANSWER)
        self.assertFalse(self.follower.is_up_to_date(START))


class DeltaTests(FollowerCase):
    def test_changes_lead_to_the_next_position(self) -> None:
        self.start_at(7)
        self.receive(FIRST, self.delta(7, 9))
        self.assertEqual([DIGEST], self.digests)
        self.assertEqual(ConfigurationPosition(3, 9), self.follower.position)

    def test_changes_since_an_older_base_fit_as_well(self) -> None:
        self.start_at(8)
        self.receive(FIRST, self.delta(7, 9))
        self.assertEqual(ConfigurationPosition(3, 9), self.follower.position)

    def test_changes_since_a_newer_base_do_not_fit(self) -> None:
        self.start_at(7)
        self.receive(FIRST, self.delta(8, 9))
        self.assertEqual([], self.digests)
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)

    def test_changes_to_an_older_position_are_ignored(self) -> None:
        self.start_at(7)
        self.receive(FIRST, self.delta(5, 6))
        self.assertEqual([], self.digests)

    def test_changes_are_not_taken_before_a_confirmed_configuration(self) -> None:
        self.receive(FIRST, ConfigurationDelta(3, 8, -1, -1, NO_CHANGES, DIGEST))
        self.assertEqual([], self.digests)

    def test_changes_with_another_result_are_followed_by_a_request_for_the_whole(self) -> None:
        self.start_at(7)
        self.outcome = DigestMismatch()
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.assertEqual(FetchConfiguration(8, False), self.receive(FIRST, self.delta(7, 8)))
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)
        self.assertEqual(1, self.invariants.counts[Invariant.DELTA_FITS])
        self.outcome = Applied()
        self.receive(FIRST, ConfigurationBody(3, 8, b"whole", confirmed=False))
        self.assertEqual([b"start", b"whole"], self.configurations)

    def test_a_late_answer_that_does_not_fit_any_more_is_no_violation(self) -> None:
        self.start_at(7)
        self.outcome = DigestMismatch()
        self.receive(FIRST, replace(STATUS, config_sequence=9))
        self.assertEqual(FetchConfiguration(9, False, 3, 7), self.receive(FIRST, self.delta(6, 8)))
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)
        self.assertEqual(0, self.invariants.counts[Invariant.DELTA_FITS])

    def test_the_whole_is_asked_of_those_alone_that_have_news(self) -> None:
        for peer in (FIRST, SECOND):
            with self.subTest(news=peer):
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

    def test_nothing_is_asked_for_once_later_changes_fit(self) -> None:
        self.start_at(7)
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.outcome = DigestMismatch()
        self.receive(FIRST, self.delta(7, 8))
        self.outcome = Applied()
        self.follower.message_received(SECOND, self.delta(7, 8), START)
        self.follower.message_received(FIRST, ConfigurationBody(3, 8, b"whole", confirmed=False), START)
        for step in range(20):
            self.assertIsNone(self.follower.next_request(START + step * 0.5))


class UnreadableTests(FollowerCase):
    def test_what_can_not_be_read_is_not_in_force_and_is_asked_for_again_after_a_pause(self) -> None:
        self.start_at(7)
        self.outcome = Malformed("KeyError('ver')")
        self.receive(FIRST, replace(STATUS, config_sequence=8))
        self.assertIsNone(self.receive(FIRST, ConfigurationBody(3, 8, b"unreadable", confirmed=False)))
        self.assertEqual(ConfigurationPosition(3, 7), self.follower.position)
        self.assertIsNotNone(self.follower.next_request(START + RESPONSE_TIMEOUT + 0.01))

    def test_an_unreadable_first_configuration_leaves_the_process_unconfirmed(self) -> None:
        self.outcome = Malformed("KeyError('ver')")
        self.receive(FIRST, ConfigurationBody(3, 7, b"unreadable", confirmed=True))
        self.assertFalse(self.follower.confirmed)


class LagTests(FollowerCase):
    """What is in force, compared with what was announced."""

    def test_the_lag_is_that_of_the_oldest_position_awaited(self) -> None:
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

    def test_a_process_that_stood_still_does_not_judge_by_the_time_that_passed(self) -> None:
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
