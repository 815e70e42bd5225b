"""Delta debugging, and the shrinking of failing schedules of the control simulation."""

import unittest

from rookwood.lab.controlsimulation import InvariantError, Plan, Simulation
from rookwood.lab.controlsimulation.shrinking import Holds, Shrinker, Shrunk, kind_of
from rookwood.lab.controlsimulation.steps import FaultStep, OperationStep, Schedule
from rookwood.lab.delta_debugging import Minimised, minimise
from tests.test_replication_mutants import (
    STALE_PRIMARY,
    confirmed_without_round,
    write_under_way_answered_as_not_done,
)

MAX_TRIALS = 1000
SEEDS_TO_SEARCH = 40
FEW_STEPS = 10


class MinimiseTest(unittest.TestCase):
    def test_items_that_fail_together_are_left(self) -> None:
        needed = {3, 40, 77}
        result = minimise(range(100), lambda items: needed <= set(items), MAX_TRIALS)
        self.assertEqual((result.items, result.is_minimal), ((3, 40, 77), True))

    def test_nothing_is_left_where_nothing_is_needed(self) -> None:
        self.assertEqual(minimise(range(10), lambda items: True, MAX_TRIALS).items, ())

    def test_all_is_left_where_all_is_needed(self) -> None:
        result = minimise(range(7), lambda items: len(items) == 7, MAX_TRIALS)
        self.assertEqual(result.items, tuple(range(7)))

    def test_search_that_ends_at_its_limit_says_so(self) -> None:
        result = minimise(range(100), lambda items: 3 in items, 2)
        self.assertEqual(result, Minimised(tuple(range(50)), False, 2))


class ShrinkerTest(unittest.TestCase):
    def assert_minimal(self, plan: Plan, shrunk: Shrunk) -> None:
        """The schedule fails when it is played again, and holds without any one of its steps."""
        self.assertTrue(shrunk.is_minimal)
        self.assertLessEqual(len(shrunk.schedule), FEW_STEPS)
        self.assertGreater(shrunk.steps_before, 10 * len(shrunk.schedule))
        with self.assertRaises(InvariantError) as caught:
            Simulation(shrunk.surroundings, plan, shrunk.schedule).run()
        self.assertEqual(str(caught.exception), shrunk.why)
        for index in range(len(shrunk.schedule)):
            rest = shrunk.schedule[:index] + shrunk.schedule[index + 1 :]
            self.assert_promise_kept(shrunk, plan, rest)

    def assert_promise_kept(self, shrunk: Shrunk, plan: Plan, schedule: Schedule) -> None:
        try:
            Simulation(shrunk.surroundings, plan, schedule).run()
        except InvariantError as error:
            self.assertNotEqual(kind_of(str(error)), kind_of(shrunk.why))

    def shrink_first_failure(self, plan: Plan) -> Shrunk:
        for seed in range(SEEDS_TO_SEARCH):
            result = Shrinker(seed, plan).shrink()
            if isinstance(result, Shrunk):
                return result
        raise AssertionError(f"{SEEDS_TO_SEARCH} seeds do not find the mutant")

    def test_stale_read_takes_a_fault_a_change_and_a_read(self) -> None:
        with confirmed_without_round():
            shrunk = self.shrink_first_failure(STALE_PRIMARY)
            self.assert_minimal(STALE_PRIMARY, shrunk)
        kinds = [type(step) for step in shrunk.schedule]
        self.assertEqual(kinds.count(OperationStep), 2)
        self.assertGreaterEqual(kinds.count(FaultStep), 1)

    def test_change_answered_as_not_done_takes_a_fault_and_a_change(self) -> None:
        plan = Plan(operator_pause=0.05)
        with write_under_way_answered_as_not_done():
            self.assert_minimal(plan, self.shrink_first_failure(plan))

    def test_seed_that_holds_is_not_shrunk(self) -> None:
        self.assertEqual(Shrinker(4).shrink(), Holds())


if __name__ == "__main__":
    unittest.main()
