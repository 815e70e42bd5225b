"""A short run of many changes: what `rookwood experiment many-changes` plays at length."""

import tempfile
import unittest
from pathlib import Path

from rookwood.lab.many_changes import DISK_MB, Plan, play

CAUGHT_UP_WITHIN = 2.0
SHORT = Plan(changes=40, routes=350, away_from=4, away_until=24, restarted_at=14, power_lost_at=32)


class ManyChangesTest(unittest.TestCase):
    def test_members_come_back_with_all_that_was_acknowledged_and_disks_stay_flat(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            figures = play(SHORT, Path(directory))
        self.assertTrue(figures.holds, figures)
        self.assertEqual(figures.resends, SHORT.changes)
        self.assertLess(figures.away_caught_up_s, CAUGHT_UP_WITHIN)
        self.assertLess(figures.restarted_caught_up_s, CAUGHT_UP_WITHIN)
        first, *_, last = figures.steps
        self.assertLess(last.disk_bytes, 2 * first.disk_bytes)
        self.assertLess(last.disk_bytes, DISK_MB << 20 >> 4)


if __name__ == "__main__":
    unittest.main()
