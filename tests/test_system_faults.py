"""Workers and clients in trouble: what may run again, what may go on elsewhere, and what clients are told."""

from __future__ import annotations

import asyncio
import unittest

from rookwood.lab.emulatedworker.faults import (
    CrashMidStream,
    CutAnswer,
    ExtraAnswer,
    Full,
    Hang,
    Pause,
    ServerError,
)
from rookwood.lab.emulatedworker.records import Run, RunOutcome
from rookwood.lab.emulatedworker.worker import inject_into_any
from rookwood.lab.systemstage.client import TryOptions
from rookwood.lab.systemstage.configuration import Configuration, small_configuration
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

CONFIGURATION: Configuration = small_configuration()
RESUMABLE = CONFIGURATION.route("resumable")
ONCE = CONFIGURATION.route("once")
PAGE = CONFIGURATION.route("page")
LOOKUP = CONFIGURATION.route("lookup")
EIGHT_EVENTS = TryOptions(events=8)


class FaultCase(unittest.IsolatedAsyncioTestCase):
    """One data plane; two workers with the model alpha and two for pages."""

    async def asyncSetUp(self) -> None:
        self.stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        self.engines = await self.stage.begin_day(CONFIGURATION)
        second_page_worker = await self.stage.add_worker(CONFIGURATION.service("pages"))
        await self.stage.wait_for_workers(second_page_worker)
        self.pages = [worker for worker in self.stage.workers if worker.settings.service == "pages"]
        self.data_plane = self.stage.data_planes[0]

    def runs_of(self, try_id: str) -> int:
        """On how many workers, or how often, this try ran."""
        runs = [run for worker in self.stage.workers for run in worker.records.runs]
        return sum(run.try_id == try_id for run in runs)


class RepeatTest(FaultCase):
    """What is sent to a second worker and what isn't."""

    async def test_mutating_request_runs_once_when_its_answer_is_cut(self) -> None:
        for worker in self.pages:
            worker.inject(CutAnswer(), times=None)
        for _ in range(3):
            answer = await self.stage.client.send(self.data_plane, PAGE)
            self.assertFalse(answer.served, answer)
            self.assertNotIn(answer.status, (408, 421, 429, 503))
            self.assertEqual(self.runs_of(answer.try_id), 1)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_mutating_request_runs_once_when_the_worker_hangs(self) -> None:
        for worker in self.pages:
            worker.inject(Hang(), times=None)
        answer = await self.stage.client.send(self.data_plane, PAGE, options=TryOptions(time_left_ms=600))
        self.assertFalse(answer.served, answer)
        self.assertEqual(self.runs_of(answer.try_id), 1)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_request_that_a_full_worker_did_not_run_is_served_by_another(self) -> None:
        self.pages[0].inject(Full(), times=None)
        for route in (PAGE, LOOKUP):
            for _ in range(4):
                answer = await self.stage.client.send(self.data_plane, route)
                self.assertTrue(answer.served, answer)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_safe_request_is_served_when_its_worker_crashes(self) -> None:
        inject_into_any(self.pages, CrashMidStream())
        await self.stage.client.send_until_served(self.data_plane, LOOKUP)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_where_all_workers_are_full_the_client_is_told_when_to_come_back(self) -> None:
        for worker in self.pages:
            worker.inject(Full(), times=None)
        answer = await self.stage.client.send(self.data_plane, PAGE, options=TryOptions(time_left_ms=8_000))
        self.assertIn(answer.status, (429, 503))
        self.assertIsNotNone(answer.retry_after_s)
        self.assertLess(answer.elapsed_s, PAGE.target_ms / 1000)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_surplus_answer_on_a_kept_connection_reaches_nobody(self) -> None:
        for worker in self.pages:
            worker.inject(ExtraAnswer(), times=None)
        for _ in range(10):
            answer = await self.stage.client.send(self.data_plane, LOOKUP)
            self.assertNotEqual(answer.seal, "surplus")
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_mutating_request_is_served_by_another_when_a_worker_is_gone(self) -> None:
        await self.pages[0].crash()
        for _ in range(6):
            answer = await self.stage.client.send(self.data_plane, PAGE)
            self.assertTrue(answer.served, answer)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_failure_of_a_worker_is_passed_on_unchanged(self) -> None:
        inject_into_any(self.pages, ServerError(500))
        answer = await self.stage.client.send(self.data_plane, PAGE)
        self.assertEqual((answer.status, bytes(answer.body)), (500, b"the worker failed"))
        self.assertIsNotNone(answer.seal)
        self.assertEqual(self.runs_of(answer.try_id), 1)
        self.assertEqual(self.stage.broken_rules(), [])


class StreamTest(FaultCase):
    """Streams that break off."""

    async def test_resumable_stream_goes_on_at_another_worker(self) -> None:
        for fault in (CutAnswer(after_event=3), CrashMidStream(after_event=3)):
            with self.subTest(fault):
                inject_into_any(self.engines, fault)
                answer = await self.stage.client.send(self.data_plane, RESUMABLE, "alpha", EIGHT_EVENTS)
                self.assertTrue(answer.served, answer)
                self.assertEqual(answer.event_ids, list(range(1, 9)))
                self.assertEqual(len({event.run_label for event in answer.events}), 2)
                self.assertTrue((answer.seal or "").startswith(answer.events[0].run_label.partition("#")[0]))
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_other_stream_is_cut_and_runs_once(self) -> None:
        for fault in (CutAnswer(after_event=3), CrashMidStream(after_event=3)):
            with self.subTest(fault):
                inject_into_any(self.engines, fault)
                answer = await self.stage.client.send(self.data_plane, ONCE, "alpha", EIGHT_EVENTS)
                self.assertFalse(answer.complete)
                self.assertEqual(answer.event_ids, [1, 2, 3])
                self.assertEqual(self.runs_of(answer.try_id), 1)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_stream_whose_second_worker_fails_does_not_look_complete(self) -> None:
        inject_into_any(self.engines, CutAnswer(after_event=3))
        inject_into_any(self.engines, ServerError(500))
        answer = await self.stage.client.send(self.data_plane, RESUMABLE, "alpha", EIGHT_EVENTS)
        self.assertEqual((answer.status, answer.complete, answer.event_ids), (200, False, [1, 2, 3]))
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_stream_that_a_client_takes_up_again_begins_after_its_last_event(self) -> None:
        options = TryOptions(last_event_id=5, events=8)
        answer = await self.stage.client.send(self.data_plane, RESUMABLE, "alpha", options)
        self.assertEqual((answer.served, answer.event_ids), (True, [6, 7, 8]))
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_run_ends_when_the_client_goes_before_the_first_event(self) -> None:
        inject_into_any(self.engines, Hang())
        call = asyncio.create_task(self.stage.client.send(self.data_plane, ONCE, "alpha"))
        await eventually(lambda: len(self.engine_runs()) == 1, "the request runs")
        call.cancel()
        await eventually(lambda: self.engine_runs()[0].outcome is RunOutcome.ABANDONED, "the run is dropped")
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_run_ends_when_the_client_goes_within_the_stream(self) -> None:
        resume = asyncio.Event()
        inject_into_any(self.engines, Pause(resume, after_event=2))
        async with self.stage.client.open(self.data_plane, ONCE, "alpha") as stream:
            await stream.read_event()
        await eventually(lambda: self.engine_runs()[0].outcome is RunOutcome.ABANDONED, "the run is dropped")
        self.assertEqual(self.stage.broken_rules(), [])

    def engine_runs(self) -> list[Run]:
        """The runs of all workers with models."""
        return [run for worker in self.engines for run in worker.records.runs]
