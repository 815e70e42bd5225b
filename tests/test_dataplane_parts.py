"""The data plane's parts that need no sockets: events, retry budget, splits, headers, demand, traffic."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from multidict import CIMultiDict, CIMultiDictProxy

from rookwood.clusterconfig.document import Route, RouteKind, ServiceShare
from rookwood.dataplane.demand import DemandMeter, ServiceKey
from rookwood.dataplane.events import MAX_EVENT_SIZE, Event, EventSplitter, OversizedEventError
from rookwood.dataplane.headers import end_to_end
from rookwood.dataplane.pool import WorkerTraffic
from rookwood.dataplane.requests import read_prompt_parts, read_time_left, read_weights_key
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.splitting import RouteSplitter, service_at
from rookwood.dataplane.upstream import ReportedLoad, read_load

STREAM = (
    b"id: 1\ndata: one\n\n"
    b": comment\nid: 2\ndata: two\ndata: lines\n\n"
    b"versions: 3\nid:3\ndata: three\n\n"
    b"data: no id\n\n"
    b"id: 5\r\ndata: five\r\n\r\n"
)
STREAM_IDS = [b"1", b"2", b"3", None, b"5"]
SERVICE = "models"
KEY = ServiceKey(SERVICE, "small", "a1")
REQUESTS = 20_000
SHORT_TOLERANCE = 0.001
WEIGHTS = {"first": 90.0, "second": 10.0, "third": 25.0}
WINDOW = 300  # requests
WINDOWS = 200


def split_stream(*pieces: bytes) -> list[Event]:
    """The events of a stream that arrives in these pieces."""
    splitter = EventSplitter()
    return [event for piece in pieces for event in splitter.feed(piece)]


class EventSplitterTests(unittest.TestCase):
    def test_a_complete_stream_gives_its_events_unchanged(self) -> None:
        events = split_stream(STREAM)
        self.assertEqual(STREAM, b"".join(event.raw for event in events))
        self.assertEqual(STREAM_IDS, [event.id for event in events])

    def test_every_split_in_two_gives_the_same_events(self) -> None:
        expected = split_stream(STREAM)
        for position in range(len(STREAM) + 1):
            with self.subTest(position=position):
                self.assertEqual(expected, split_stream(STREAM[:position], STREAM[position:]))

    def test_single_bytes_give_the_same_events(self) -> None:
        self.assertEqual(split_stream(STREAM), split_stream(*(bytes([byte]) for byte in STREAM)))

    def test_an_event_is_returned_with_its_last_byte_and_not_before(self) -> None:
        splitter = EventSplitter()
        self.assertEqual([], splitter.feed(b"id: 1\ndata: one\n"))
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual([Event(b"id: 1\ndata: one\n\n", b"1")], splitter.feed(b"\n"))
        self.assertFalse(splitter.has_partial_event)

    def test_bytes_after_the_last_complete_event_are_a_partial_event(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\n\nid: 2")
        self.assertTrue(splitter.has_partial_event)

    def test_an_event_that_never_ends_is_an_error(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(OversizedEventError):
            splitter.feed(b"data: " + bytes(MAX_EVENT_SIZE))


class RetryBudgetTests(unittest.TestCase):
    def spend_all(self, budget: RetryBudget, service: str, now: float) -> int:
        """Spend retries until one is denied; returns their number."""
        spent = 0
        while budget.try_spend(service, now):
            spent += 1
        return spent

    def test_an_empty_budget_allows_no_retry(self) -> None:
        budget = RetryBudget(ratio=0.0, window=10.0, slack=0.0)
        budget.record_request(SERVICE, 0.0)
        self.assertFalse(budget.try_spend(SERVICE, 0.0))

    def test_retries_stay_within_the_share_of_requests_and_the_allowance(self) -> None:
        budget = RetryBudget(ratio=0.2, window=10.0, slack=10.0)
        for _ in range(100):
            budget.record_request(SERVICE, 0.0)
        spent = self.spend_all(budget, SERVICE, 1.0)
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, 0.2 * 100 + 10.0)

    def test_more_requests_allow_more_retries(self) -> None:
        budget = RetryBudget(ratio=0.2, window=10.0, slack=10.0)
        self.spend_all(budget, SERVICE, 0.0)
        for _ in range(100):
            budget.record_request(SERVICE, 1.0)
        self.assertTrue(budget.try_spend(SERVICE, 1.0))

    def test_the_allowance_is_shared_by_all_dispatchers(self) -> None:
        slack, dispatchers = 100.0, 5
        total = 0
        for _ in range(dispatchers):
            budget = RetryBudget(ratio=0.0, window=10.0, slack=slack)
            budget.dispatcher_count = dispatchers
            total += self.spend_all(budget, SERVICE, 0.0)
        self.assertGreater(total, 0)
        self.assertLessEqual(total, slack)

    def test_each_service_has_its_own_budget(self) -> None:
        budget = RetryBudget(ratio=0.0, window=10.0, slack=10.0)
        first = self.spend_all(budget, SERVICE, 0.0)
        self.assertEqual(first, self.spend_all(budget, "other", 0.0))

    def test_retries_are_available_again_when_the_window_has_passed(self) -> None:
        budget = RetryBudget(ratio=0.0, window=10.0, slack=10.0)
        first = self.spend_all(budget, SERVICE, 0.0)
        self.assertFalse(budget.try_spend(SERVICE, 9.9))
        self.assertEqual(first, self.spend_all(budget, SERVICE, 10.1))

    def test_old_requests_no_longer_count(self) -> None:
        budget = RetryBudget(ratio=0.5, window=10.0, slack=0.0)
        for _ in range(100):
            budget.record_request(SERVICE, 0.0)
        self.assertFalse(budget.try_spend(SERVICE, 10.1))

    def test_no_window_contains_more_retries_than_its_requests_allow(self) -> None:
        ratio, window, slack = 0.2, 2.0, 6.0
        budget = RetryBudget(ratio, window, slack)
        requests: list[float] = []
        retries: list[float] = []
        for step in range(1200):
            now = step * 0.01
            if step % 300 < 150:  # a burst, then a pause
                requests.append(now)
                budget.record_request(SERVICE, now)
            while budget.try_spend(SERVICE, now):
                retries.append(now)
        for end in retries:
            retry_count = sum(end - window < time <= end for time in retries)
            request_count = sum(end - window <= time <= end for time in requests)
            self.assertLessEqual(retry_count, ratio * request_count + slack)


def route_with(*shares: ServiceShare) -> Route:
    """A route that is split into these shares."""
    return Route("r", "host", "/p/", RouteKind.SAFE, 1000, 500, 0, shares, 1, False, False, 0)


class SplitTests(unittest.TestCase):
    def test_a_route_without_a_split_has_one_service(self) -> None:
        splitter, route = RouteSplitter(), route_with(ServiceShare("first", 1.0))
        self.assertEqual({"first"}, {splitter.choose(route) for _ in range(50)})

    def test_a_point_always_has_the_same_service(self) -> None:
        route = route_with(ServiceShare("first", 50), ServiceShare("second", 50))
        for number in range(200):
            point = number / 200
            self.assertEqual(
                {"first" if point < 0.5 else "second"}, {service_at(route, point) for _ in range(5)}
            )

    def test_services_get_requests_by_their_weights(self) -> None:
        splitter, route = (
            RouteSplitter(Random(1)),
            route_with(*(ServiceShare(*item) for item in WEIGHTS.items())),
        )
        counts = Counter(splitter.choose(route) for _ in range(REQUESTS))
        for name, weight in WEIGHTS.items():
            share = weight / sum(WEIGHTS.values())
            self.assertAlmostEqual(share, counts[name] / REQUESTS, delta=SHORT_TOLERANCE)

    def test_a_service_of_weight_zero_gets_no_request(self) -> None:
        splitter, route = RouteSplitter(), route_with(ServiceShare("none", 0.0), ServiceShare("all", 1.0))
        self.assertEqual({"all"}, {splitter.choose(route) for _ in range(500)})
        self.assertEqual({"all"}, {service_at(route, number / 500) for number in range(500)})

    def test_in_each_window_the_shares_over_all_dispatchers_are_near_the_weights(self) -> None:
        """The dispatchers have unequal loads, restart within the window, and had other weights before it."""
        for dispatchers, tolerance in ((1, 0.01), (8, 0.03), (70, 0.06)):
            for weights in ((50, 50), (90, 10), (30, 70), (1, 2, 3)):
                with self.subTest(dispatchers=dispatchers, weights=weights):
                    self.assertLess(self.largest_deviation(dispatchers, weights), tolerance)

    def largest_deviation(self, dispatchers: int, weights: tuple[int, ...]) -> float:
        """The largest difference between a service's share and its weight in any of many windows."""
        random = Random(dispatchers)
        route = route_with(*(ServiceShare(str(n), weight) for n, weight in enumerate(weights)))
        before = route_with(*(ServiceShare(str(n), 1.0) for n in range(len(weights))))
        loads = [random.uniform(0.3, 1.7) for _ in range(dispatchers)]
        splitters = [RouteSplitter(random) for _ in loads]
        worst = 0.0
        for _ in range(WINDOWS):
            for splitter in splitters:
                splitter.choose(before)
            chosen = [splitters[n].choose(route) for n in random.choices(range(dispatchers), loads, k=WINDOW)]
            splitters[random.randrange(dispatchers)] = RouteSplitter(random)
            counts = Counter(chosen)
            for number, weight in enumerate(weights):
                worst = max(worst, abs(counts[str(number)] / WINDOW - weight / sum(weights)))
        return worst

    def test_every_nth_request_of_a_route_is_split_evenly_as_well(self) -> None:
        """Requests of one kind may come at regular places among the requests of a route."""
        route = route_with(ServiceShare("first", 50), ServiceShare("second", 50))
        for period in (2, 3, 5, 8):
            splitter = RouteSplitter(Random(period))
            chosen = [splitter.choose(route) for _ in range(period * WINDOW)][::period]
            self.assertAlmostEqual(0.5, chosen.count("first") / WINDOW, delta=0.06)


class HeaderTests(unittest.TestCase):
    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        headers = CIMultiDict(
            {
                "Connection": "keep-alive, X-Hop",
                "Keep-Alive": "timeout=5",
                "Transfer-Encoding": "chunked",
                "TE": "trailers",
                "Upgrade": "h2c",
                "x-hop": "1",
                "X-Kept": "2",
            }
        )
        self.assertEqual({"X-Kept": "2"}, dict(end_to_end(CIMultiDictProxy(headers))))

    def test_repeated_headers_are_all_forwarded(self) -> None:
        headers = CIMultiDict([("X-Many", "1"), ("X-Many", "2")])
        self.assertEqual(["1", "2"], end_to_end(CIMultiDictProxy(headers)).getall("X-Many"))

    def test_headers_named_in_any_connection_header_are_not_forwarded(self) -> None:
        headers = CIMultiDict([("Connection", "X-First"), ("Connection", "X-Second"), ("X-Second", "1")])
        self.assertEqual({}, dict(end_to_end(CIMultiDictProxy(headers))))

    def test_time_left_is_read_in_seconds(self) -> None:
        self.assertEqual(1.5, read_time_left("1500"))
        self.assertEqual(0.0, read_time_left("-3"))
        self.assertIsNone(read_time_left(None))
        self.assertIsNone(read_time_left("soon"))

    def test_model_and_adapter_are_read(self) -> None:
        self.assertEqual(KEY, read_weights_key(SERVICE, "small/a1"))
        self.assertEqual(ServiceKey(SERVICE, "small", ""), read_weights_key(SERVICE, "small"))
        self.assertIsNone(read_weights_key(SERVICE, None))

    def test_prompt_parts_are_identified_together_with_the_parts_before_them(self) -> None:
        first = read_prompt_parts("small", "5c1e07a2:800,91bd3f06:410")
        second = read_prompt_parts("small", "e4402b7d:800,91bd3f06:410")
        self.assertEqual([800, 410], [part.tokens for part in first])
        self.assertNotEqual(first[1].prefix_id, second[1].prefix_id)
        self.assertEqual(first[:1], read_prompt_parts("small", "5c1e07a2:800,broken,91bd3f06:410"))

    def test_prompt_parts_are_identified_together_with_their_weights(self) -> None:
        text = "5c1e07a2:800"
        self.assertNotEqual(
            read_prompt_parts("small", text)[0].prefix_id, read_prompt_parts("small/a1", text)[0].prefix_id
        )
        self.assertEqual(read_prompt_parts("small", text), read_prompt_parts("small", text))

    def test_reported_load_is_read_only_if_it_is_well_formed(self) -> None:
        self.assertEqual(ReportedLoad(3, 0, 8), read_load(CIMultiDict({"X-Load": "3,0,8"})))
        for text in ("", "3,0", "3,0,8,1", "a,b,c"):
            self.assertIsNone(read_load(CIMultiDict({"X-Load": text})))


class DemandMeterTests(unittest.TestCase):
    def setUp(self) -> None:
        self.first_waits: list[ServiceKey] = []
        self.meter = DemandMeter(self.first_waits.append)

    def test_only_the_first_waiting_request_triggers_a_report(self) -> None:
        self.meter.begin_wait(KEY, 1.0)
        self.meter.begin_wait(KEY, 2.0)
        self.assertEqual([KEY], self.first_waits)
        self.meter.end_wait(KEY, 1.0)
        self.meter.end_wait(KEY, 2.0)
        self.meter.begin_wait(KEY, 3.0)
        self.assertEqual([KEY, KEY], self.first_waits)

    def test_waiting_requests_are_reported_with_the_oldest_wait(self) -> None:
        self.meter.record_request(KEY, 1.0)
        self.meter.begin_wait(KEY, 1.0)
        self.meter.begin_wait(KEY, 2.0)
        (demand,) = self.meter.all_demand(3.5)
        self.assertEqual((SERVICE, "small", "a1"), (demand.service, demand.model, demand.adapter))
        self.assertEqual((2, 2.5), (demand.waiting, demand.oldest_wait))

    def test_the_rate_follows_the_requests_and_decays(self) -> None:
        for step in range(1000):
            self.meter.record_request(KEY, step * 0.1)
        steady = self.meter.demand_for(KEY, 100.0).rate
        self.assertAlmostEqual(10.0, steady, delta=1.0)
        self.assertLess(self.meter.demand_for(KEY, 110.0).rate, steady / 2)

    def test_a_key_without_recent_requests_is_no_longer_reported(self) -> None:
        self.meter.record_request(KEY, 0.0)
        self.assertEqual((), self.meter.all_demand(1000.0))


class WorkerTrafficTests(unittest.TestCase):
    def test_a_reported_load_is_used_for_a_limited_time(self) -> None:
        traffic = WorkerTraffic(in_flight=1)
        traffic.record_load(3, 2, 8, 10.0)
        self.assertEqual(5, traffic.load(10.1))
        self.assertEqual(1, traffic.load(60.0))

    def test_the_dispatchers_own_requests_count_if_they_are_more_than_reported(self) -> None:
        traffic = WorkerTraffic(in_flight=9)
        traffic.record_load(1, 0, 8, 10.0)
        self.assertEqual(9, traffic.load(10.0))

    def test_a_worker_is_avoided_longer_after_each_failure(self) -> None:
        traffic = WorkerTraffic()
        traffic.record_failure(0.0)
        first = traffic.avoided_until
        self.assertGreater(first, 0.0)
        traffic.record_failure(first)
        self.assertGreater(traffic.avoided_until - first, first)
        traffic.record_success()
        self.assertLess(traffic.avoided_until, 0.0)

    def test_an_idle_connection_is_expected_for_a_while_after_a_complete_response(self) -> None:
        traffic = WorkerTraffic()
        self.assertFalse(traffic.has_idle_connection(100.0, 8.5))
        traffic.last_completed_at = 100.0
        self.assertTrue(traffic.has_idle_connection(108.0, 8.5))
        self.assertFalse(traffic.has_idle_connection(109.0, 8.5))
        traffic.in_flight = 1
        self.assertFalse(traffic.has_idle_connection(101.0, 8.5))
        traffic.in_flight = 0
        traffic.record_failure(101.0)
        self.assertFalse(traffic.has_idle_connection(102.0, 8.5))

    def test_missing_weights_are_remembered_for_a_moment(self) -> None:
        traffic = WorkerTraffic()
        traffic.record_missing_weights("small", "a1", 0.0)
        self.assertTrue(traffic.is_missing_weights("small", "a1", 0.1))
        self.assertFalse(traffic.is_missing_weights("small", "", 0.1))
        self.assertFalse(traffic.is_missing_weights("small", "a1", 60.0))


if __name__ == "__main__":
    unittest.main()
