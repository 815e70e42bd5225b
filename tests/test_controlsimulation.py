"""The simulated operators, and the schedule that a history can be played again from."""

import unittest

from rookwood.lab.controlsimulation import Simulation
from rookwood.lab.controlsimulation.steps import FaultStep, OperationStep

SEEDS = range(12)


class OperatorsTest(unittest.TestCase):
    def test_unanswered_changes_are_sent_again_and_every_history_has_an_order(self) -> None:
        reports = [Simulation(seed).run() for seed in SEEDS]
        self.assertGreater(sum(report.sent_again for report in reports), 100)
        self.assertGreater(sum(report.taken_before for report in reports), 10)
        self.assertEqual(sum(report.undecided for report in reports), 0)
        for report in reports:
            self.assertGreaterEqual(
                report.calls_in_order, report.committed + report.taken_before + report.confirmed
            )


class ScheduleTest(unittest.TestCase):
    def test_recorded_schedule_plays_the_same_history(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                first = Simulation(seed)
                first.run()
                again = Simulation(seed, schedule=first.steps)
                again.run()
                self.assertEqual(first.trace, again.trace)

    def test_empty_schedule_is_a_history_without_faults_and_operations(self) -> None:
        simulation = Simulation(0, schedule=())
        report = simulation.run()
        self.assertEqual((report.committed, report.highest_epoch, simulation.steps), (0, 1, ()))

    def test_schedule_holds_faults_and_operations(self) -> None:
        simulation = Simulation(1)
        simulation.run()
        kinds = {type(step) for step in simulation.steps}
        self.assertEqual(kinds, {FaultStep, OperationStep})


if __name__ == "__main__":
    unittest.main()
