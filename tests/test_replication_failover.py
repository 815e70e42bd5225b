"""Simulated time without a primary after a fault: a subset of what `failover_times` measures."""

import unittest

from rookwood.lab.failover_times import Trouble, calm_plan, measure_spans

SEEDS = range(25)
MEDIAN_LIMIT = 1.5
WORST_LIMIT = 3.0


class FailoverTest(unittest.TestCase):
    def test_spans_without_a_primary_are_short(self) -> None:
        for trouble in Trouble:
            with self.subTest(trouble=trouble):
                spans = measure_spans(trouble, SEEDS, calm_plan())
                self.assertLess(spans.median, MEDIAN_LIMIT)
                self.assertLess(spans.worst, WORST_LIMIT)
