"""The Retry-After times for requests whose model no worker holds."""

from __future__ import annotations

import unittest

from rookwood.clusterconfig.document import Model, Route, RouteKind
from rookwood.dataplane.demand import DemandMeter, ServiceKey
from rookwood.dataplane.return_times import MIN_RETURN_TIME, ORDER_TIME, ReturnTimes

LOAD_S = 2.0
MODEL = Model("m", 60.0, LOAD_S, 0, 1.0)
KEY = ServiceKey("s", "m", "")


def route(target_ms: float, name: str = "r") -> Route:
    """A route with this target time."""
    return Route(name, "h", "/p/", RouteKind.STREAM, 15_000, target_ms, 2, (), 1, False, False, 300)


class ReturnTimesTests(unittest.TestCase):
    def test_a_request_that_may_take_as_long_as_the_load_waits(self) -> None:
        self.assertIsNone(ReturnTimes.find_return_time(route(4000), MODEL, 0.0, 10.0))
        self.assertIsNotNone(ReturnTimes.find_return_time(route(400), MODEL, 0.0, 10.0))

    def test_the_time_is_shorter_while_a_load_is_in_progress(self) -> None:
        self.assertEqual(ORDER_TIME + LOAD_S, ReturnTimes.find_return_time(route(100), MODEL, 0.0, 15.0))
        self.assertEqual(
            ORDER_TIME + LOAD_S - 1.5, ReturnTimes.find_return_time(route(100), MODEL, 1.5, 15.0)
        )
        self.assertEqual(MIN_RETURN_TIME, ReturnTimes.find_return_time(route(100), MODEL, 9.0, 15.0))

    def test_a_client_with_too_little_time_to_return_waits(self) -> None:
        self.assertIsNone(ReturnTimes.find_return_time(route(400), MODEL, 0.0, 5.0))

    def test_a_client_with_less_time_than_others_of_its_route_is_not_on_its_first_try(self) -> None:
        times = ReturnTimes()
        self.assertTrue(times.looks_like_first_try(route(400), 15.5))
        self.assertFalse(times.looks_like_first_try(route(400), 13.0))
        self.assertTrue(times.looks_like_first_try(route(400), 15.45))
        self.assertTrue(times.looks_like_first_try(route(400, "other"), 5.0))
        self.assertTrue(times.looks_like_first_try(route(400), 20.0))
        self.assertFalse(times.looks_like_first_try(route(400), 15.5))

    def test_the_oldest_wait_for_a_key_is_measured(self) -> None:
        meter = DemandMeter(lambda key: None)
        self.assertEqual(0.0, meter.oldest_wait_seconds(KEY, 5.0))
        meter.begin_wait(KEY, 3.0)
        meter.begin_wait(KEY, 4.0)
        self.assertEqual(2.0, meter.oldest_wait_seconds(KEY, 5.0))
        meter.end_wait(KEY, 3.0)
        self.assertEqual(1.0, meter.oldest_wait_seconds(KEY, 5.0))


if __name__ == "__main__":
    unittest.main()
