"""Metrics of traffic, event loop lag, configuration progress and invariants, and their text over HTTP."""

from __future__ import annotations

import asyncio
import logging
import subprocess
import sys
import time
import unittest
from collections.abc import Iterator
from unittest import mock

from aiohttp import ClientSession
from prometheus_client.metrics_core import Metric

from rookwood.cluster.frames import HEADER, encode_frame, frame_type, read_header, read_message
from rookwood.cluster.invariants import LOG_INTERVAL, Invariant, InvariantCounter
from rookwood.cluster.messages import Heartbeat
from rookwood.cluster.metrics import configuration_families, invariant_families, traffic_families
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.cluster.progress import (
    REMEMBERED_COMMITS,
    ConfigurationProgress,
    DispatcherLag,
    DispatcherProgress,
)
from rookwood.cluster.single_primary_check import SinglePrimaryCheck
from rookwood.controlplane.metrics import activity_families, dispatcher_families, write_families
from rookwood.coordination.activity import GroupActivity, WriteTimes
from rookwood.coordination.document import Position
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Refused, VoteRequest
from rookwood.dataplane.metrics import request_families
from rookwood.dataplane.request_counts import RequestCounts, RequestOutcome
from rookwood.lab.free_ports import find_free_port
from rookwood.metrics.exposition import FamilySource, loop_families, process_families, render
from rookwood.metrics.families import gauge
from rookwood.metrics.loop_lag import INTERVAL, WINDOW, LoopLag
from rookwood.metrics.server import METRICS_PATH, MetricsServer
from rookwood.metrics.traffic import PEER_EDGE, PEER_UNIDENTIFIED, MessageTraffic, peer_kind
from tests.fake_worker import HOST, WAIT_LIMIT, within
from tests.metrics_text import MetricsText

LIMIT = 2.0  # seconds after a commit until which a dispatcher must have it
FIRST = ConfigurationPosition(1, 1)
SECOND = ConfigurationPosition(1, 2)
THIRD = ConfigurationPosition(2, 3)


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def scrape(*sources: FamilySource) -> MetricsText:
    """The metrics of these sources, parsed."""
    return MetricsText(render(sources).decode())


class TrafficTest(unittest.TestCase):
    def test_volumes_are_counted_by_channel_direction_peer_and_type(self) -> None:
        traffic = MessageTraffic()
        traffic.sent(PEER_EDGE, "Status", 10)
        traffic.sent(PEER_EDGE, "Status", 30)
        traffic.received(PEER_EDGE, "Heartbeat", 7)
        text = scrape(lambda: traffic_families({"feed": traffic}))
        status = {"channel": "feed", "direction": "sent", "peer": "edge", "type": "Status"}
        self.assertEqual(text.sum("rookwood_messages_total", **status), 2)
        self.assertEqual(text.sum("rookwood_message_bytes_total", **status), 40)
        self.assertEqual(text.sum("rookwood_message_bytes_total", direction="received"), 7)

    def test_unknown_tiers_are_one_kind_of_peer(self) -> None:
        self.assertEqual(peer_kind("edge"), PEER_EDGE)
        self.assertEqual({peer_kind("x"), peer_kind("y")}, {PEER_UNIDENTIFIED})


class FrameTest(unittest.IsolatedAsyncioTestCase):
    async def test_type_and_size_of_a_frame_are_the_same_on_both_sides(self) -> None:
        frame = encode_frame(Heartbeat("10.0.0.7"))
        reader = asyncio.StreamReader()
        reader.feed_data(frame)
        message = await within(read_message(reader))
        self.assertEqual(frame_type(frame), type(message).__name__)
        self.assertEqual(frame_type(frame), "Heartbeat")
        length, _ = read_header(frame[: HEADER.size])
        self.assertEqual(length + HEADER.size, len(frame))


class LoopLagTest(unittest.TestCase):
    def test_last_and_maxima_are_kept(self) -> None:
        lag = LoopLag()
        lag.observe(0.3, 1.0)
        lag.observe(-0.001, 1.1)
        self.assertEqual((lag.last, lag.recent_maximum, lag.maximum, lag.measurements), (0.0, 0.3, 0.3, 2))

    def test_recent_maximum_is_forgotten_after_two_windows(self) -> None:
        lag = LoopLag()
        lag.observe(0.3, 1.0)
        lag.observe(0.1, 1.5 + WINDOW)
        self.assertEqual(lag.recent_maximum, 0.3)
        lag.observe(0.2, 2.0 + 2 * WINDOW)
        self.assertEqual((lag.recent_maximum, lag.maximum), (0.2, 0.3))


class LoopLagRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_blocked_loop_is_measured(self) -> None:
        lag = LoopLag()
        measuring = asyncio.create_task(lag.run())
        await asyncio.sleep(0)  # the task has begun to wait
        time.sleep(3 * INTERVAL)  # blocks the loop
        async with asyncio.timeout(WAIT_LIMIT):
            while not lag.measurements:
                await asyncio.sleep(0)
        measuring.cancel()
        self.assertGreaterEqual(lag.recent_maximum, 1.9 * INTERVAL)


class ConfigurationProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.progress = ConfigurationProgress(self.clock)

    def test_nothing_is_in_force_at_first(self) -> None:
        self.assertEqual(self.progress.in_force, NO_CONFIGURATION)
        self.assertEqual((self.progress.seconds_in_force(), self.progress.seconds_behind()), (0.0, 0.0))

    def test_behind_from_the_announcement_until_up_to_date(self) -> None:
        self.progress.put_in_force(FIRST)
        self.progress.announce(SECOND)
        self.clock.now += 1.0
        self.progress.announce(THIRD)
        self.clock.now += 1.0
        self.assertEqual(self.progress.seconds_behind(), 2.0)
        self.progress.put_in_force(SECOND)
        self.clock.now += 1.0
        self.assertEqual(self.progress.seconds_behind(), 2.0, "since the oldest one not in force")
        self.progress.put_in_force(THIRD)
        self.clock.now += 5.0
        self.assertEqual((self.progress.seconds_behind(), self.progress.seconds_in_force()), (0.0, 5.0))

    def test_an_old_or_current_announcement_is_no_lag(self) -> None:
        self.progress.put_in_force(SECOND)
        self.progress.announce(SECOND)
        self.progress.announce(FIRST)
        self.clock.now += 1.0
        self.assertEqual((self.progress.seconds_behind(), self.progress.announced), (0.0, SECOND))

    def test_families_report_version_and_positions(self) -> None:
        self.progress.put_in_force(SECOND)
        self.progress.announce(THIRD)
        self.clock.now += 4.0
        text = scrape(lambda: configuration_families(7, self.progress))
        self.assertEqual(text.sum("rookwood_configuration_version"), 7)
        self.assertEqual(text.sum("rookwood_configuration_epoch"), 1)
        self.assertEqual(text.sum("rookwood_configuration_sequence"), 2)
        self.assertEqual(text.sum("rookwood_announced_epoch"), 2)
        self.assertEqual(text.sum("rookwood_announced_sequence"), 3)
        self.assertEqual(text.sum("rookwood_configuration_in_force_seconds"), 4.0)
        self.assertEqual(text.sum("rookwood_configuration_behind_seconds"), 4.0)


class DispatcherProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.invariants = InvariantCounter(self.clock)
        self.progress = DispatcherProgress(self.clock, self.invariants)

    def lag(self) -> DispatcherLag:
        """The lag of the only dispatcher."""
        (lag,) = self.progress.lags()
        return lag

    def test_a_dispatcher_is_late_only_after_it_was_linked_for_the_limit(self) -> None:
        self.progress.record_commit(FIRST)
        for _ in range(5):
            self.clock.now += 1.0
            self.progress.check(LIMIT)
        self.progress.record_report("e-1", NO_CONFIGURATION)
        for _ in range(2):
            self.pass_time(1.0)
        self.assertEqual(self.invariants.total, 0)
        self.pass_time(0.1)
        self.assertEqual(self.invariants.counts[Invariant.DISPATCHERS_IN_TIME], 1)

    def pass_time(self, seconds: float, stalled: float = 0.0) -> None:
        """Let time pass, then report the position that the dispatcher had from the start."""
        self.clock.now += seconds
        self.progress.record_report("e-1", NO_CONFIGURATION, stalled)
        self.progress.check(LIMIT)

    def link_and_commit(self) -> None:
        """Commit a configuration that a dispatcher does not have, after it was linked for 5 s."""
        for _ in range(5):
            self.pass_time(1.0)
        self.progress.record_commit(FIRST)

    def test_stalls_of_a_dispatcher_do_not_count_as_its_delay(self) -> None:
        """The soak test measured 2.1 s under load, for a part of which the process had not run."""
        self.link_and_commit()
        self.pass_time(1.0)
        self.pass_time(1.1, stalled=0.5)
        self.assertEqual(self.invariants.total, 0)

    def test_a_dispatcher_that_is_later_than_its_stalls_is_late(self) -> None:
        """A dispatcher that does not apply configurations must be detected, with stalls or without."""
        self.link_and_commit()
        self.pass_time(1.0)
        self.pass_time(1.4, stalled=0.3)
        self.assertEqual(self.invariants.total, 0, "0.3 s measured, and up to 0.25 s not measured")
        self.pass_time(0.4, stalled=0.3)
        self.assertEqual(self.invariants.counts[Invariant.DISPATCHERS_IN_TIME], 1)

    def test_a_stall_before_the_commit_excuses_no_delay(self) -> None:
        for _ in range(5):
            self.pass_time(1.0, stalled=9.0)
        self.progress.record_commit(FIRST)
        self.pass_time(1.0, stalled=9.0)
        self.pass_time(1.1, stalled=9.0)
        self.assertEqual(self.invariants.counts[Invariant.DISPATCHERS_IN_TIME], 1)

    def test_stalls_of_this_process_do_not_count_as_a_delay(self) -> None:
        stalled = 0.0
        self.progress = DispatcherProgress(self.clock, self.invariants, lambda: stalled)
        self.link_and_commit()
        self.pass_time(1.0)
        stalled = 1.2
        self.pass_time(1.2)
        self.assertEqual(self.invariants.total, 0)
        self.pass_time(1.4)
        self.assertEqual(self.invariants.counts[Invariant.DISPATCHERS_IN_TIME], 1)

    def test_an_unresponsive_dispatcher_is_left_to_its_link(self) -> None:
        self.link_and_commit()
        self.clock.now += 1.4
        self.progress.check(LIMIT)
        self.clock.now += 1.4
        self.progress.check(LIMIT)
        self.assertEqual(self.invariants.total, 0)

    def test_behind_is_the_age_of_the_oldest_commit_not_reported(self) -> None:
        self.progress.record_commit(FIRST)
        self.progress.record_report("e-1", FIRST)
        self.progress.record_commit(SECOND)
        self.clock.now += 1.0
        self.progress.record_commit(THIRD)
        self.clock.now += 1.0
        self.assertEqual(self.lag().behind_seconds, 2.0)
        self.progress.record_report("e-1", SECOND)
        self.assertEqual(self.lag(), DispatcherLag("e-1", SECOND, behind_seconds=1.0, take_up_seconds=2.0))
        self.progress.record_report("e-1", THIRD)
        self.assertEqual(self.lag(), DispatcherLag("e-1", THIRD, behind_seconds=0.0, take_up_seconds=1.0))

    def test_repeated_reports_keep_the_first_take_up_time(self) -> None:
        self.progress.record_commit(FIRST)
        self.progress.record_report("e-1", FIRST)
        self.progress.record_commit(SECOND)
        self.clock.now += 1.0
        self.progress.record_report("e-1", SECOND)
        self.clock.now += 9.0
        self.progress.record_report("e-1", SECOND)
        self.assertEqual(self.lag().take_up_seconds, 1.0)

    def test_first_report_over_a_link_gives_no_take_up_time(self) -> None:
        self.progress.record_commit(FIRST)
        self.clock.now += 60.0
        self.progress.record_report("e-1", FIRST)
        self.assertIsNone(self.lag().take_up_seconds)

    def test_a_removed_dispatcher_is_not_reported(self) -> None:
        self.progress.record_report("e-1", FIRST)
        self.progress.remove_dispatcher("e-1")
        self.progress.remove_dispatcher("e-1")
        self.assertEqual(list(self.progress.lags()), [])

    def test_a_dispatcher_ahead_of_this_machine_is_up_to_date(self) -> None:
        self.progress.record_commit(FIRST)
        self.progress.record_report("e-1", THIRD)
        self.assertEqual(self.lag().behind_seconds, 0.0)

    def test_the_farthest_behind_is_a_dispatcher_without_the_oldest_commit(self) -> None:
        self.assertIsNone(self.progress.farthest_behind())
        for position in (FIRST, SECOND, THIRD):
            self.progress.record_commit(position)
            self.clock.now += 1.0
        self.progress.record_report("e-1", THIRD)
        self.assertIsNone(self.progress.farthest_behind(), "up to date")
        self.progress.record_report("e-2", SECOND)
        self.progress.record_report("e-4", FIRST)
        self.progress.record_report("e-3", FIRST)
        self.assertEqual(self.progress.farthest_behind(), DispatcherLag("e-3", FIRST, 2.0, None))
        self.progress.record_report("e-5", NO_CONFIGURATION)
        self.assertEqual(self.progress.farthest_behind(), DispatcherLag("e-5", NO_CONFIGURATION, 3.0, None))

    def test_the_number_of_remembered_commits_is_bounded(self) -> None:
        for sequence in range(REMEMBERED_COMMITS + 10):
            self.progress.record_commit(ConfigurationPosition(1, sequence))
            self.clock.now += 1.0
        self.progress.record_report("e-1", ConfigurationPosition(1, 0))
        self.assertEqual(self.lag().behind_seconds, REMEMBERED_COMMITS)

    def test_families_name_the_dispatcher(self) -> None:
        lags = [DispatcherLag("e-1", SECOND, 1.5, None), DispatcherLag("e-2", THIRD, 0.0, 0.25)]
        text = scrape(lambda: dispatcher_families(lags))
        self.assertEqual(text.sum("rookwood_dispatcher_behind_seconds", dispatcher="e-1"), 1.5)
        self.assertEqual(text.sum("rookwood_dispatcher_sequence", dispatcher="e-2"), 3)
        self.assertEqual(text.sum("rookwood_dispatcher_take_up_seconds"), 0.25)


class InvariantTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.invariants = InvariantCounter(self.clock)

    def test_counts_start_at_zero_for_each(self) -> None:
        self.assertEqual(self.invariants.counts, dict.fromkeys(Invariant, 0))
        text = scrape(lambda: invariant_families(self.invariants))
        self.assertEqual(text.sum("rookwood_invariant_violations_total"), 0)

    def test_each_violation_is_counted_and_they_are_logged_at_a_bounded_rate(self) -> None:
        with self.assertLogs("rookwood", logging.ERROR) as logs:
            for _ in range(3):
                self.invariants.violated(Invariant.ONE_PRIMARY_PER_EPOCH, "two")
            self.invariants.check(False, Invariant.POSITION_MONOTONIC, "2 after 3")
            self.invariants.check(True, Invariant.POSITION_MONOTONIC, "4 after 3")
            self.clock.now += LOG_INTERVAL
            self.invariants.violated(Invariant.ONE_PRIMARY_PER_EPOCH, "two")
        self.assertEqual(len(logs.records), 3)
        self.assertEqual(self.invariants.counts[Invariant.ONE_PRIMARY_PER_EPOCH], 4)
        self.assertEqual(self.invariants.total, 5)
        text = scrape(lambda: invariant_families(self.invariants))
        labels = {"invariant": "one_primary_per_epoch"}
        self.assertEqual(text.sum("rookwood_invariant_violations_total", **labels), 4)


class CheckedInvariantsTest(unittest.TestCase):
    """Classes that check an invariant count its violations."""

    def setUp(self) -> None:
        self.invariants = InvariantCounter()

    def test_a_position_that_goes_back_is_a_violation(self) -> None:
        progress = ConfigurationProgress(invariants=self.invariants)
        for position in (FIRST, SECOND, SECOND):
            progress.put_in_force(position)
        self.assertEqual(self.invariants.total, 0)
        with self.assertLogs("rookwood", logging.ERROR):
            progress.put_in_force(FIRST)
        self.assertEqual(self.invariants.counts[Invariant.POSITION_MONOTONIC], 1)

    def test_two_primaries_of_one_epoch_are_a_violation(self) -> None:
        check = SinglePrimaryCheck(self.invariants)
        check.record_claim(3, "10.0.0.1")
        check.record_claim(3, "10.0.0.1")
        check.record_claim(4, "10.0.0.2")
        check.record_claim(3, "10.0.0.1")
        self.assertEqual(self.invariants.total, 0, "the old primary does not know of the new one yet")
        with self.assertLogs("rookwood", logging.ERROR):
            check.record_claim(4, "10.0.0.3")
        self.assertEqual(self.invariants.counts[Invariant.ONE_PRIMARY_PER_EPOCH], 1)


class ActivityTest(unittest.TestCase):
    def test_a_request_to_several_members_counts_once(self) -> None:
        activity = GroupActivity()
        for _ in range(2):
            activity.count_sent(PreVoteRequest(5, Position(1, 1)))
            activity.count_sent(VoteRequest(4, Position(1, 1)))
        activity.count_sent(VoteRequest(5, Position(1, 1)))
        activity.count_sent(Refused(4, 5))
        activity.count_sent(PreVoteReply(5, False, 4))
        activity.count_sent(PreVoteReply(5, True, 4))
        text = scrape(lambda: activity_families(activity))
        self.assertEqual(text.sum("rookwood_pre_votes_begun_total"), 1)
        self.assertEqual(text.sum("rookwood_elections_begun_total"), 2)
        self.assertEqual(text.sum("rookwood_promises_refused_total", kind="older_epoch"), 1)
        self.assertEqual(text.sum("rookwood_promises_refused_total", kind="pre_vote"), 1)

    def test_writes_are_timed_and_failures_counted(self) -> None:
        writes = WriteTimes()
        with mock.patch("rookwood.coordination.activity.time.monotonic", side_effect=(1.0, 3.0, 5.0, 6.0)):
            with writes.measure() as write:
                write.succeeded = True
            with writes.measure():
                pass
        text = scrape(lambda: write_families(writes))
        self.assertEqual(text.sum("rookwood_disk_writes_total"), 2)
        self.assertEqual(text.sum("rookwood_disk_write_failures_total"), 1)
        self.assertEqual(text.sum("rookwood_disk_write_seconds_total"), 3.0)
        self.assertEqual(text.sum("rookwood_disk_write_last_seconds"), 1.0)
        self.assertEqual(text.sum("rookwood_disk_write_longest_seconds"), 2.0)


class RequestCountsTest(unittest.TestCase):
    def test_outcomes_and_causes_are_reported(self) -> None:
        counts = RequestCounts()
        counts.count_end(RequestOutcome.ANSWERED, 204)
        counts.count_end(RequestOutcome.ABANDONED)
        counts.count_rejection(503, 'no "worker"')
        text = scrape(lambda: request_families(counts))
        self.assertEqual(text.sum("rookwood_requests_total", outcome="answered", status="2xx"), 1)
        self.assertEqual(text.sum("rookwood_requests_total", outcome="abandoned", status=""), 1)
        self.assertEqual(text.sum("rookwood_requests_total", outcome="refused", status="5xx"), 1)
        self.assertEqual(text.sum("rookwood_refusals_total", status="503", reason='no "worker"'), 1)


def one_family() -> Iterator[Metric]:
    yield gauge("example", "An example.", 3)


def failing_families() -> Iterator[Metric]:
    raise RuntimeError("a source that fails")
    yield gauge("never", "Never yielded.", 0)  # makes this function a generator


class ImportTests(unittest.TestCase):
    def test_programs_start_without_the_metrics_library(self) -> None:
        """Importing it costs 13 to 20 ms of processor time, which would delay a restart after a kill."""
        for program in ("rookwood.dataplane.program", "rookwood.controlplane.program"):
            with self.subTest(program):
                code = f"import sys, {program}; print('prometheus_client' in sys.modules)"
                run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
                self.assertEqual("False", run.stdout.strip())


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = find_free_port(HOST)
        self.session = await self.enterAsyncContext(ClientSession())

    async def start(self, *sources: FamilySource) -> None:
        """Serve these sources until the test ends."""
        server = MetricsServer(HOST, lambda: sources, self.port)
        await server.start()
        self.addAsyncCleanup(server.stop)

    async def status_and_text(self, path: str) -> tuple[int, str]:
        """The status and the text of one response."""
        async with self.session.get(f"http://{HOST}:{self.port}{path}") as response:
            return response.status, await response.text()

    async def test_metrics_path_serves_all_sources(self) -> None:
        await self.start(one_family)
        status, text = await within(self.status_and_text(METRICS_PATH))
        self.assertEqual(status, 200)
        metrics = MetricsText(text)
        self.assertEqual(metrics.sum("rookwood_example"), 3)
        self.assertIn("rookwood_loop_lag_seconds", metrics.names())
        self.assertGreater(metrics.sum("rookwood_process_resident_bytes"), 1024 * 1024)
        self.assertFalse([name for name in metrics.names() if not name.startswith("rookwood_")])

    async def test_other_paths_are_unknown(self) -> None:
        await self.start(one_family)
        status, _ = await within(self.status_and_text("/"))
        self.assertEqual(status, 404)

    async def test_a_failing_source_gives_an_error_response_and_a_log_record(self) -> None:
        await self.start(failing_families)
        with self.assertLogs("rookwood", logging.ERROR):
            status, _ = await within(self.status_and_text(METRICS_PATH))
        self.assertEqual(status, 500)

    async def test_the_sources_are_loaded_at_the_first_scrape_and_once(self) -> None:
        loads: list[str] = []

        def load() -> list[FamilySource]:
            loads.append("loaded")
            return [one_family]

        server = MetricsServer(HOST, load, self.port)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.assertEqual([], loads)
        for _ in range(2):
            status, text = await self.status_and_text(METRICS_PATH)
            self.assertEqual(200, status)
        self.assertEqual(["loaded"], loads)

    async def test_a_port_in_use_gives_a_warning(self) -> None:
        await self.start(one_family)
        second = MetricsServer(HOST, lambda: [one_family], self.port)
        with self.assertLogs("rookwood", logging.WARNING) as logs:
            await second.start()
        await second.stop()
        self.assertIn("metrics are not served", logs.output[0])


class ExpositionTest(unittest.TestCase):
    def test_loop_and_process_are_reported(self) -> None:
        lag = LoopLag()
        lag.observe(0.25, 1.0)
        text = scrape(lambda: loop_families(lag), process_families)
        self.assertEqual(text.sum("rookwood_loop_lag_seconds", kind="maximum"), 0.25)
        self.assertGreater(text.sum("rookwood_process_open_descriptors"), 0)


if __name__ == "__main__":
    unittest.main()
