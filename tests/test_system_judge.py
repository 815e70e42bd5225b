"""What the whole-system tests rely on: the judge of the rules, and the reading of streams."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol

from rookwood.lab.emulatedworker.answers import body_digest, event_bytes
from rookwood.lab.emulatedworker.records import Run, RunOutcome, Violation, ViolationKind
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import WeightStore
from rookwood.lab.emulatedworker.worker import ModelWorker
from rookwood.lab.systemstage.client import ClientAnswer, OpenStream
from rookwood.lab.systemstage.configuration import RouteSpec, small_configuration
from rookwood.lab.systemstage.events import StreamEvent
from rookwood.lab.systemstage.judge import Judge, Rule
from rookwood.lab.systemstage.machines import Timing
from rookwood.lab.systemstage.stage import SystemStage

CONFIGURATION = small_configuration()
PAGE = CONFIGURATION.route("page")
RESUMABLE = CONFIGURATION.route("resumable")
ONCE = CONFIGURATION.route("once")
BODY = b"body"


def worker_with(*runs: Run) -> ModelWorker:
    """A worker, never started, that ran these."""
    worker = ModelWorker(WorkerSettings("engine"))
    worker.records.runs.extend(runs)
    return worker


def run_of(route: RouteSpec, instance: str = "i-1", events: range | None = None, try_id: str = "t1") -> Run:
    """A whole run of a request of that route."""
    run = Run(
        try_id=try_id,
        instance=instance,
        service=route.service,
        number=1,
        method="POST",
        path=f"{route.prefix}2f",
        host=route.host,
        body_digest=body_digest(BODY),
        weights=None,
        last_event_id=0,
        started_at=10.0,
        seal=f"seal of {instance}",
        outcome=RunOutcome.COMPLETE,
    )
    if events is None:
        run.answer += b"page"
    for event_id in events or ():
        run.answer += event_bytes(event_id, run.label)
        run.final_event_id = event_id
    return run


def answer_of(route: RouteSpec, *runs: Run, status: int = 200) -> ClientAnswer:
    """The whole answer made of these runs, under the seal of the first."""
    answer = ClientAnswer("t1", route, f"{route.prefix}2f", body_digest(BODY), status=status, complete=True)
    answer.answered_try_id = "t1"
    for run in runs:
        answer.seal = answer.seal or run.seal
        answer.body += run.answer
    return answer


def stream_of(route: RouteSpec, *parts: tuple[Run, range]) -> ClientAnswer:
    """The whole stream made of these events of these runs."""
    answer = answer_of(route, *(run for run, _ in parts))
    answer.events = [StreamEvent(event_id, run.label) for run, ids in parts for event_id in ids]
    return answer


class JudgeTest(unittest.TestCase):
    """Broken rules."""

    def judged(self, answers: list[ClientAnswer], *workers: ModelWorker) -> set[Rule]:
        """The rules that are broken."""
        return {found.rule for found in Judge(answers, workers, Timing()).broken_rules()}

    def test_proper_answers_pass(self) -> None:
        page = run_of(PAGE)
        self.assertEqual(self.judged([answer_of(PAGE, page)], worker_with(page)), set())
        stream = run_of(ONCE, events=range(1, 4))
        self.assertEqual(self.judged([stream_of(ONCE, (stream, range(1, 4)))], worker_with(stream)), set())

    def test_resumed_stream_passes_only_where_the_route_allows_it(self) -> None:
        first, second = (
            run_of(RESUMABLE, "i-1", range(1, 3)),
            run_of(RESUMABLE, "i-2", range(3, 5)),
        )
        first.outcome = RunOutcome.CUT
        first.final_event_id = 4
        parts = ((first, range(1, 3)), (second, range(3, 5)))
        workers = (worker_with(first), worker_with(second))
        self.assertEqual(self.judged([stream_of(RESUMABLE, *parts)], *workers), set())
        self.assertEqual(self.judged([stream_of(ONCE, *parts)], *workers) & {Rule.ORDER}, {Rule.ORDER})

    def test_gap_repetition_and_early_end_of_a_stream(self) -> None:
        run = run_of(ONCE, events=range(1, 4))
        for ids in ((range(1, 2), range(3, 4)), (range(1, 3), range(2, 4)), (range(1, 3),)):
            with self.subTest(ids):
                answer = stream_of(ONCE, *((run, part) for part in ids))
                self.assertEqual(self.judged([answer], worker_with(run)), {Rule.ORDER})

    def test_stream_that_is_cut_passes(self) -> None:
        run = run_of(ONCE, events=range(1, 4))
        answer = stream_of(ONCE, (run, range(1, 3)))
        answer.complete = False
        self.assertEqual(self.judged([answer], worker_with(run)), set())

    def test_stream_whose_run_was_cut_must_not_look_complete(self) -> None:
        run = run_of(ONCE, events=range(1, 4))
        run.outcome = RunOutcome.CUT
        run.final_event_id = 5
        answer = stream_of(ONCE, (run, range(1, 4)))
        self.assertEqual(self.judged([answer], worker_with(run)), {Rule.ORDER})

    def test_success_without_the_seal_or_with_another_body(self) -> None:
        run = run_of(PAGE)
        without_seal = replace(answer_of(PAGE, run), seal=None)
        other_body = replace(answer_of(PAGE, run), body=bytearray(b"other"))
        other_request = replace(answer_of(PAGE, run), answered_try_id="t2")
        for answer in (without_seal, other_body, other_request):
            self.assertEqual(self.judged([answer], worker_with(run)), {Rule.MIXED})

    def test_failure_under_the_seal_of_a_success(self) -> None:
        run = run_of(PAGE)
        self.assertEqual(self.judged([answer_of(PAGE, run, status=500)], worker_with(run)), {Rule.MIXED})

    def test_second_run_of_a_request_that_cannot_be_repeated(self) -> None:
        runs = [run_of(PAGE, "i-1"), run_of(PAGE, "i-2")]
        answer = answer_of(PAGE, runs[0])
        self.assertEqual(self.judged([answer], *map(worker_with, runs)), {Rule.TWICE})

    def test_promise_after_a_run(self) -> None:
        run = run_of(PAGE)
        answer = answer_of(PAGE, status=503)
        self.assertEqual(self.judged([answer], worker_with(run)), {Rule.REFUSED})

    def test_runs_that_nobody_asked_for(self) -> None:
        self.assertEqual(self.judged([], worker_with(run_of(PAGE))), {Rule.UNASKED})
        changed = run_of(PAGE)
        changed.path = "/other/"
        self.assertEqual(self.judged([answer_of(PAGE, changed)], worker_with(changed)), {Rule.UNASKED})

    def test_more_workers_than_tries(self) -> None:
        runs = [run_of(RESUMABLE, f"i-{number}", range(1, 3)) for number in range(3)]
        answer = stream_of(RESUMABLE, (runs[0], range(1, 3)))
        self.assertEqual(self.judged([answer], *map(worker_with, runs)), {Rule.BUDGET})

    def test_run_after_the_bound_of_a_drain(self) -> None:
        run = run_of(PAGE)
        worker = worker_with(run)
        worker.drain_acknowledged_at = 8.5
        self.assertEqual(self.judged([answer_of(PAGE, run)], worker), set())
        worker.drain_acknowledged_at = 7.5
        self.assertEqual(self.judged([answer_of(PAGE, run)], worker), {Rule.DRAIN})

    def test_violations_that_workers_noticed(self) -> None:
        worker = worker_with()
        worker.records.violations.append(Violation(ViolationKind.OVER_CAPACITY, "", 0.0))
        worker.records.violations.append(Violation(ViolationKind.SHARED_FENCE, "", 0.0))
        self.assertEqual(self.judged([], worker), {Rule.LIMIT, Rule.ONE})


class LoadsTest(unittest.IsolatedAsyncioTestCase):
    """The rate of loads from the store."""

    async def test_loads_beyond_the_rate(self) -> None:
        stage = SystemStage(control_planes=1, data_planes=1)
        self.addAsyncCleanup(stage.stop)
        stage.store = WeightStore([float(number) / 100 for number in range(14)])
        self.assertEqual(stage.broken_rules(2.0), [])
        stage.store.loads.append(1.0)
        self.assertEqual([found.rule for found in stage.broken_rules(2.0)], [Rule.CEILING])


class OpenStreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams read event by event."""

    async def test_events_that_arrive_together_are_given_one_at_a_time(self) -> None:
        loop = asyncio.get_running_loop()
        reader = StreamReader(BaseProtocol(loop), limit=1024, loop=loop)
        stream = OpenStream(reader, ClientAnswer("t1", ONCE, "/once/2f", body_digest(BODY), status=200))
        reader.feed_data(event_bytes(1, "a") + event_bytes(2, "b") + event_bytes(3, "c")[:5])
        self.assertEqual(await stream.read_event(), StreamEvent(1, "a"))
        self.assertEqual(await stream.read_event(), StreamEvent(2, "b"))
        reader.feed_data(event_bytes(3, "c")[5:])
        self.assertEqual(await stream.read_event(), StreamEvent(3, "c"))
        reader.feed_eof()
        self.assertIsNone(await stream.read_event())
        self.assertTrue(stream.answer.complete)

    async def test_end_within_an_event_is_not_complete(self) -> None:
        loop = asyncio.get_running_loop()
        reader = StreamReader(BaseProtocol(loop), limit=1024, loop=loop)
        stream = OpenStream(reader, ClientAnswer("t1", ONCE, "/once/2f", body_digest(BODY), status=200))
        reader.feed_data(event_bytes(1, "a")[:-1])
        reader.feed_eof()
        self.assertFalse((await stream.read_to_end()).complete)
