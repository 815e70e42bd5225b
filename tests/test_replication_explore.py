"""Exhaustive exploration of the replication within small bounds; it must detect broken variants."""

import unittest

from rookwood.coordination.exploration_invariants import InvariantError
from rookwood.coordination.explore import Bounds, ExplorationReport, Explorer
from tests.test_replication_mutants import (
    Patch,
    acknowledge_before_sync,
    commit_before_own_sync,
    commit_without_second_copy,
    epoch_promised_twice,
    half_of_the_members_elects,
    loaded_record_treated_as_synced,
    older_epoch_accepted,
    promise_forgotten_at_restart,
    stale_copy_elected,
    tokens_ignored,
    write_under_way_answered_as_not_done,
)

MAX_STATES = 30_000
CHANGE = Bounds(changes=1, elections=0, states=MAX_STATES)
CHANGE_AND_POWER_LOSS = Bounds(changes=1, elections=0, power_losses=1, states=MAX_STATES)
ELECTION = Bounds(changes=0, elections=1, states=MAX_STATES)
CHANGE_AND_ELECTION = Bounds(changes=1, elections=1, instant_writes=True, states=MAX_STATES)


class SoundTest(unittest.TestCase):
    """All states within the bounds are visited, and the invariants hold in each."""

    def assert_sound(self, bounds: Bounds) -> ExplorationReport:
        report = Explorer(bounds).explore()
        self.assertTrue(report.whole)
        return report

    def test_change(self) -> None:
        self.assertGreater(self.assert_sound(CHANGE).acknowledged, 0)

    def test_change_and_power_loss(self) -> None:
        self.assertGreater(self.assert_sound(CHANGE_AND_POWER_LOSS).acknowledged, 0)

    def test_election(self) -> None:
        self.assertEqual(self.assert_sound(ELECTION).epochs, 2)

    def test_unfinished_exploration_is_reported_as_such(self) -> None:
        report = Explorer(Bounds(changes=0, elections=1, states=100)).explore()
        self.assertFalse(report.whole)


class MutantTest(unittest.TestCase):
    """Deliberately broken variants violate an invariant within the bounds."""

    def assert_found(self, mutant: Patch, bounds: Bounds, reason: str) -> None:
        with mutant, self.assertRaises(InvariantError) as caught:
            Explorer(bounds).explore()
        self.assertIn(reason, caught.exception.reason)
        self.assertTrue(caught.exception.trace)

    def test_acknowledge_before_sync(self) -> None:
        self.assert_found(acknowledge_before_sync(), CHANGE, "lacks an acknowledged change")

    def test_commit_before_own_sync(self) -> None:
        self.assert_found(commit_before_own_sync(), CHANGE, "lacks an acknowledged change")

    def test_commit_without_second_copy(self) -> None:
        self.assert_found(commit_without_second_copy(), CHANGE, "lacks an acknowledged change")

    def test_half_of_the_members_elects(self) -> None:
        self.assert_found(half_of_the_members_elects(), CHANGE_AND_ELECTION, "lacks an acknowledged change")

    def test_stale_copy_elected(self) -> None:
        self.assert_found(stale_copy_elected(), CHANGE_AND_ELECTION, "lacks an acknowledged change")

    def test_older_epoch_accepted(self) -> None:
        self.assert_found(older_epoch_accepted(), CHANGE_AND_ELECTION, "lacks an acknowledged change")

    def test_write_under_way_answered_as_not_done(self) -> None:
        self.assert_found(write_under_way_answered_as_not_done(), CHANGE_AND_ELECTION, "rejected")

    def test_promise_forgotten_at_restart(self) -> None:
        bounds = Bounds(changes=0, elections=1, kills=1, states=MAX_STATES)
        self.assert_found(promise_forgotten_at_restart(), bounds, "goes back")

    def test_epoch_promised_twice(self) -> None:
        bounds = Bounds(changes=0, elections=2, instant_writes=True, states=MAX_STATES)
        self.assert_found(epoch_promised_twice(), bounds, "two primaries")

    def test_loaded_record_treated_as_synced(self) -> None:
        bounds = Bounds(changes=1, elections=0, kills=1, states=MAX_STATES)
        self.assert_found(loaded_record_treated_as_synced(), bounds, "lacks an acknowledged change")

    def test_tokens_ignored(self) -> None:
        bounds = Bounds(changes=1, elections=0, wipes=1, instant_writes=True, states=MAX_STATES)
        self.assert_found(tokens_ignored(), bounds, "lacks an acknowledged change")


if __name__ == "__main__":
    unittest.main()
