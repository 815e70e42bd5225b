"""Times without a primary, of processes: each trouble once; twenty of each are in `docs/results`."""

from __future__ import annotations

import unittest

from rookwood.lab.process_failover import (
    MEDIAN_WANTED_S,
    WORST_WANTED_S,
    Spans,
    Trouble,
    measure_spans,
    within_bounds,
)


class ProcessFailoverTests(unittest.IsolatedAsyncioTestCase):
    async def test_another_machine_leads_in_time_after_each_trouble(self) -> None:
        for trouble in Trouble:
            with self.subTest(trouble):
                spans = await measure_spans(trouble, times=1)
                self.assertLess(0.0, spans.worst)
                self.assertLess(spans.worst, WORST_WANTED_S)
                self.assertLessEqual(spans.worst, spans.worst_change)


class BoundsTests(unittest.TestCase):
    def test_median_and_worst_have_bounds_of_their_own(self) -> None:
        fair = Spans(20, 1.0, 2.0, 1.0, 2.0)
        self.assertTrue(within_bounds(fair))
        self.assertFalse(within_bounds(Spans(20, MEDIAN_WANTED_S, 2.0, 1.0, 2.0)))
        self.assertFalse(within_bounds(Spans(20, 1.0, WORST_WANTED_S, 1.0, 2.0)))


if __name__ == "__main__":
    unittest.main()
