"""A day on the whole system: requests are served, weights are loaded where wanted, workers come and go."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from functools import partial

from rookwood.lab.emulatedworker.faults import Pause
from rookwood.lab.emulatedworker.worker import ModelWorker, inject_into_any
from rookwood.lab.systemstage.client import TryOptions
from rookwood.lab.systemstage.configuration import Configuration, small_configuration
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

CONFIGURATION: Configuration = small_configuration()
STREAM = CONFIGURATION.route("resumable")
PAGE = CONFIGURATION.route("page")
LOADS_PER_S = 20.0
FIRST_AFTER_GOODBYE, LATER_AFTER_GOODBYE = 5, 20  # requests
DRAIN_S = 2.0


def hosts_of(workers: list[ModelWorker], name: str) -> list[ModelWorker]:
    """The workers that hold a model."""
    return [worker for worker in workers if any(model["name"] == name for model in worker.holdings.models())]


class ServingTest(unittest.IsolatedAsyncioTestCase):
    """Requests through the data plane."""

    async def test_every_data_plane_serves_streams_and_plain_answers_whole(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=3))
        await stage.begin_day(CONFIGURATION)
        for data_plane in stage.data_planes:
            stream = await stage.client.send(data_plane, STREAM, "alpha", TryOptions(events=12))
            self.assertEqual((stream.status, stream.complete), (200, True), stream)
            self.assertEqual(stream.event_ids, list(range(1, 13)))
            page = await stage.client.send(data_plane, PAGE)
            self.assertEqual((page.status, page.complete, len(page.body)), (200, True, 800), page)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_events_are_passed_on_as_they_arrive(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        workers = await stage.begin_day(CONFIGURATION, held=[("alpha",)])
        resume = asyncio.Event()
        workers[0].inject(Pause(resume, after_event=2))
        async with stage.client.open(stage.data_planes[0], STREAM, "alpha") as stream:
            for expected in (1, 2):
                event = await stream.read_event()
                self.assertEqual(event and event.event_id, expected)
            self.assertFalse(resume.is_set())
            resume.set()
            answer = await stream.read_to_end()
        self.assertTrue(answer.complete)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_path_query_and_body_reach_the_worker_unchanged(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(CONFIGURATION)
        options = TryOptions(path_end="a%2Fb/%C3%A9/../c;d?q=%20x+y&r&s=%2B", chunked=True)
        for route, model in ((PAGE, None), (STREAM, "alpha")):
            answer = await stage.client.send(stage.data_planes[0], route, model, options)
            self.assertTrue(answer.served, answer)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_request_without_a_route_is_a_404(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(CONFIGURATION)
        unknown = replace(PAGE, name="unknown", prefix="/unknown/")
        answer = await stage.client.send(stage.data_planes[0], unknown)
        self.assertEqual((answer.status, answer.seal), (404, None))
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """Weights that no worker holds yet, or that must make room."""

    async def test_absent_model_is_loaded_and_served(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        workers = await stage.begin_day(CONFIGURATION)
        answer = await stage.client.send_until_served(stage.data_planes[0], STREAM, "beta")
        self.assertEqual(answer.event_ids, [1, 2, 3, 4, 5])
        self.assertTrue(hosts_of(workers, "beta"))
        self.assertTrue(hosts_of(workers, "alpha"), "the model in use must stay")
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_absent_adapter_is_loaded_and_served(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(CONFIGURATION)
        answer = await stage.client.send_until_served(stage.data_planes[0], STREAM, "alpha/a2")
        self.assertEqual(answer.event_ids, [1, 2, 3, 4, 5])
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_adapter_of_an_absent_model_is_loaded_with_it(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(CONFIGURATION)
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "gamma/a1")
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_unused_model_makes_room_on_full_workers(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(CONFIGURATION, held=[("alpha", "beta")])
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "gamma")
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_many_adapters_at_once_never_exceed_the_slots(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=2))
        await stage.begin_day(CONFIGURATION)
        wanted = [f"{model}/{adapter}" for model in ("alpha", "beta") for adapter in ("a1", "a2", "a3")]
        await asyncio.gather(
            *(
                stage.client.send_until_served(stage.data_planes[number % 2], STREAM, name)
                for number, name in enumerate(wanted)
            )
        )
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Workers that end, planned or not."""

    async def preferred_worker(self, stage: SystemStage, workers: list[ModelWorker]) -> ModelWorker:
        """The worker that ran the last of a few requests, and so is likely to get the next."""
        for data_plane in stage.data_planes:
            answer = await stage.client.send(data_plane, STREAM, "alpha")
            self.assertTrue(answer.served, answer)
        return max(workers, key=lambda worker: len(worker.records.runs))

    async def test_draining_worker_is_sent_nothing_later_than_its_bound(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=2))
        workers = await stage.begin_day(CONFIGURATION)
        leaving = await self.preferred_worker(stage, workers)
        end = asyncio.create_task(leaving.drain(linger_s=0.5))
        while not end.done():
            for data_plane in stage.data_planes:
                answer = await stage.client.send(data_plane, STREAM, "alpha")
                self.assertTrue(answer.served, answer)
        await end
        self.assertIsNotNone(leaving.drain_acknowledged_at)
        self.assertTrue(leaving.deregistration_acknowledged)
        self.assertEqual(leaving.runs_after_drain(2.0), [])
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_worker_that_only_says_goodbye_ends_its_run_and_is_sent_nothing_more(self) -> None:
        """It never says that it drains, and its heartbeats go on; it serves on for a while."""
        stage = await self.enterAsyncContext(SystemStage(data_planes=1))
        workers = await stage.begin_day(CONFIGURATION)
        resume = asyncio.Event()
        inject_into_any(workers, Pause(resume, after_event=1))
        async with stage.client.open(stage.data_planes[0], STREAM, "alpha") as stream:
            await stream.read_event()
            (leaving,) = [worker for worker in workers if worker.records.runs]
            self.assertTrue(await leaving.say_goodbye())
            served_elsewhere = partial(self.is_passed_over, stage, leaving, FIRST_AFTER_GOODBYE)
            await eventually(served_elsewhere, "the goodbye is known", DRAIN_S)
            self.assertTrue(await self.is_passed_over(stage, leaving, LATER_AFTER_GOODBYE))
            resume.set()
            self.assertTrue((await stream.read_to_end()).served)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def is_passed_over(self, stage: SystemStage, worker: ModelWorker, requests: int) -> bool:
        """Whether so many requests are served by other workers."""
        before = len(worker.records.runs)
        for _ in range(requests):
            answer = await stage.client.send(stage.data_planes[0], STREAM, "alpha")
            self.assertTrue(answer.served, answer)
        return len(worker.records.runs) == before

    async def test_nothing_is_lost_with_a_worker_taken_away_at_short_notice(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        workers = await stage.begin_day(CONFIGURATION)
        leaving = await self.preferred_worker(stage, workers)
        end = asyncio.create_task(leaving.drain(left_ms=1_000))
        while not end.done():
            answer = await stage.client.send(stage.data_planes[0], STREAM, "alpha")
            self.assertTrue(answer.served, answer)
        await end
        for _ in range(5):
            answer = await stage.client.send(stage.data_planes[0], STREAM, "alpha")
            self.assertTrue(answer.served, answer)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_model_of_a_lost_worker_is_loaded_at_another(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        workers = await stage.begin_day(CONFIGURATION, held=[("alpha",), ("beta",)])
        await workers[1].crash()
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "beta")
        self.assertEqual([run.weights and run.weights.model for run in workers[0].records.runs], ["beta"])
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_address_of_a_dead_worker_given_to_another_service_runs_nothing_of_the_first(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        workers = await stage.begin_day(CONFIGURATION)
        dead = await self.preferred_worker(stage, workers)
        await dead.crash()
        host, _, port = dead.address.partition(":")
        successor = await stage.add_worker(
            CONFIGURATION.service("spare"), host=host, port=int(port), registers=False
        )

        async def successor_was_called() -> bool:
            await stage.client.send(stage.data_planes[0], STREAM, "alpha")
            return bool(successor.records.refusals or successor.records.runs)

        await eventually(successor_was_called, "a request comes to the address")
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "alpha")
        self.assertEqual({refusal.status for refusal in successor.records.refusals}, {421})
        self.assertEqual(successor.records.runs, [])
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_new_worker_becomes_known_without_any_request(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        workers = await stage.begin_day(CONFIGURATION, held=[("alpha",)])
        newcomer = await stage.add_worker(CONFIGURATION.service("engine"), ("gamma",))
        await newcomer.registered.wait()

        async def served_by_newcomer() -> bool:
            answer = await stage.client.send(stage.data_planes[0], STREAM, "gamma")
            return answer.served

        await eventually(served_by_newcomer, "the newcomer's model is served")
        self.assertTrue(newcomer.records.runs or workers[0].records.runs)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])
