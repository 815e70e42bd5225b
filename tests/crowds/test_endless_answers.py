"""Workers whose answers never end: callers stay within bounds, close early and serve others."""

from __future__ import annotations

import asyncio

from rookwood.lab.endless_worker import (
    FORWARDED_FORMS,
    STREAMS,
    WHOLE_ANSWERS,
    EndlessForm,
    EndlessWorker,
)
from rookwood.lab.systemstage.client import ClientAnswer, TryOptions
from rookwood.lab.systemstage.waiting import eventually
from tests.crowds.bounds import CONFIGURATION, SERVED_WITHIN_S, BoundsCase
from tests.crowds.footprint import MEBIBYTE

ORDINARY = CONFIGURATION.route("resumable")
PAGE = CONFIGURATION.route("page")
STREAM_ONCE = CONFIGURATION.route("once")
REQUESTS = 60
FORWARDED_STREAMS = 8
OPTIONS = TryOptions(time_left_ms=4_000)
PROMISES_NOT_RUN = (408, 421, 429, 503)
BUFFERED_BYTES = MEBIBYTE // 2  # what the buffers of both sides may hold beside what was read
LARGEST_BODY = 8 * MEBIBYTE  # of a worker's answer
LARGEST_EVENT = MEBIBYTE
LARGEST_REPORT = MEBIBYTE // 16
LARGEST_FRAMING = MEBIBYTE // 16  # beyond as many bytes as the body has
BODIES = (
    EndlessForm.UNTIL_CLOSE,
    EndlessForm.LARGE_CHUNKS,
    EndlessForm.SMALL_CHUNKS,
    EndlessForm.ERROR_BODY,
    EndlessForm.REJECTION_BODY,
)
FRAMING_BYTES_A_BYTE = 6  # of chunks that have a byte each
REPORTERS = 6


def most_bytes_taken(form: EndlessForm, largest_body: int = LARGEST_BODY) -> int:
    """The most that a caller may take of one answer of this form."""
    if form is EndlessForm.SMALL_CHUNKS:
        return LARGEST_FRAMING * FRAMING_BYTES_A_BYTE + BUFFERED_BYTES
    if form in BODIES:
        return largest_body + BUFFERED_BYTES
    if form in (EndlessForm.EVENT, EndlessForm.STREAM_STATED_LENGTH):
        return LARGEST_EVENT + BUFFERED_BYTES
    return BUFFERED_BYTES


class EndlessCase(BoundsCase):
    """A stage to which workers without end are added."""

    async def add_endless(
        self, service: str, form: EndlessForm, held: tuple[str, ...] = (), **paths: str | tuple[str, ...]
    ) -> EndlessWorker:
        """Start a worker, and wait until it is registered."""
        settings = CONFIGURATION.service(service).worker_settings()
        addresses = self.stage.control_addresses
        worker = EndlessWorker(settings, form, addresses, held=held, **paths)  # type: ignore[arg-type]
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        await eventually(worker.registered.is_set, f"{worker.instance} is registered", SERVED_WITHIN_S)
        return worker


class EndlessAnswerCase(EndlessCase):
    """One dispatcher, and a worker for ordinary requests."""

    async def asyncSetUp(self) -> None:
        await self.start_stage(control_planes=1, data_planes=1)
        self.data_plane = self.stage.data_planes[0]
        await self.stage.add_worker(CONFIGURATION.service("engine"), ["alpha"])
        await self.stage.configure(CONFIGURATION)
        await self.stage.wait_for_workers()
        await self.stage.wait_until_ready()
        await self.stage.client.send_until_served(self.data_plane, ORDINARY, "alpha")
        await self.watch(self.data_plane)

    async def check(self, form: EndlessForm) -> None:
        """Many requests get such an answer at once; an ordinary one is served, and no bound was passed."""
        is_stream = form in STREAMS
        worker = await self.add_endless("engine" if is_stream else "pages", form, ("beta",) * is_stream)
        await eventually(lambda: self.reaches(worker, is_stream), "the worker is used", SERVED_WITHIN_S)
        count = FORWARDED_STREAMS if form in FORWARDED_FORMS else REQUESTS
        answers = await asyncio.gather(*(self.send(is_stream) for _ in range(count)))
        await self.stage.client.send_until_served(
            self.data_plane, ORDINARY, "alpha", within_s=SERVED_WITHIN_S
        )
        self.assertTrue(await self.stage.is_ready(self.data_plane))
        await eventually(
            lambda: not worker.records.open_answers(), "the connections are closed", SERVED_WITHIN_S
        )
        self.check_footprint()
        self.check_answers(form, answers, worker)
        if form not in FORWARDED_FORMS:
            self.assertLessEqual(worker.records.most_taken(), most_bytes_taken(form))

    def check_answers(self, form: EndlessForm, answers: list[ClientAnswer], worker: EndlessWorker) -> None:
        """No failure looks like a success, nothing ran twice, and no promise was broken."""
        sent = worker.records.request_ids()
        self.assertEqual(len(sent), len(set(sent)), "a request ran twice")
        for answer in answers:
            if form not in WHOLE_ANSWERS:
                self.assertFalse(answer.served, answer)
            if answer.try_id in sent:
                self.assertNotIn(answer.status, PROMISES_NOT_RUN)

    async def reaches(self, worker: EndlessWorker, is_stream: bool) -> bool:
        await self.send(is_stream)
        return bool(worker.records.answers)

    async def send(self, is_stream: bool) -> ClientAnswer:
        route, model = (STREAM_ONCE, "beta") if is_stream else (PAGE, None)
        return await self.stage.client.send(self.data_plane, route, model, OPTIONS)


class EndlessHeadTest(EndlessAnswerCase):
    """Bytes before a head, within it, or in place of it."""

    async def test_garbage_without_end(self) -> None:
        await self.check(EndlessForm.GARBAGE)

    async def test_endless_status_line(self) -> None:
        await self.check(EndlessForm.STATUS_LINE)

    async def test_endless_field_name(self) -> None:
        await self.check(EndlessForm.FIELD_NAME)

    async def test_endless_field_value(self) -> None:
        await self.check(EndlessForm.FIELD_VALUE)

    async def test_endless_fields(self) -> None:
        await self.check(EndlessForm.FIELDS)

    async def test_endless_empty_lines(self) -> None:
        await self.check(EndlessForm.EMPTY_LINES)

    async def test_endless_interim_responses(self) -> None:
        await self.check(EndlessForm.CONTINUES)

    async def test_endless_interim_responses_with_fields(self) -> None:
        await self.check(EndlessForm.EARLY_HINTS)

    async def test_endless_bytes_after_a_change_of_protocol(self) -> None:
        await self.check(EndlessForm.SWITCHED)


class EndlessBodyTest(EndlessAnswerCase):
    """Bodies, their framing, and what follows them."""

    async def test_endless_body_with_a_stated_length(self) -> None:
        await self.check(EndlessForm.STATED_LENGTH)

    async def test_endless_body_until_close(self) -> None:
        await self.check(EndlessForm.UNTIL_CLOSE)

    async def test_endless_large_chunks(self) -> None:
        await self.check(EndlessForm.LARGE_CHUNKS)

    async def test_endless_small_chunks(self) -> None:
        await self.check(EndlessForm.SMALL_CHUNKS)

    async def test_endless_chunk_size(self) -> None:
        await self.check(EndlessForm.CHUNK_SIZE)

    async def test_endless_chunk_extension(self) -> None:
        await self.check(EndlessForm.CHUNK_EXTENSION)

    async def test_endless_chunks_with_long_extensions(self) -> None:
        await self.check(EndlessForm.CHUNK_EXTENSIONS)

    async def test_endless_trailers(self) -> None:
        await self.check(EndlessForm.TRAILERS)

    async def test_endless_bytes_after_an_answer(self) -> None:
        await self.check(EndlessForm.SURPLUS)

    async def test_endless_answers_after_an_answer(self) -> None:
        await self.check(EndlessForm.SURPLUS_ANSWERS)

    async def test_endless_body_of_an_error(self) -> None:
        await self.check(EndlessForm.ERROR_BODY)

    async def test_endless_body_of_a_rejection(self) -> None:
        await self.check(EndlessForm.REJECTION_BODY)


class EndlessStreamTest(EndlessAnswerCase):
    """Event streams."""

    async def test_endless_stream_with_a_stated_length(self) -> None:
        await self.check(EndlessForm.STREAM_STATED_LENGTH)

    async def test_endless_event(self) -> None:
        await self.check(EndlessForm.EVENT)

    async def test_endless_events(self) -> None:
        await self.check(EndlessForm.EVENTS)

    async def test_endless_events_without_a_field(self) -> None:
        await self.check(EndlessForm.EVENTS_OF_LINE_ENDS)


class EndlessReportTest(EndlessCase):
    """Reports of workers to a control machine, and their answers to orders."""

    async def asyncSetUp(self) -> None:
        await self.start_stage(control_planes=1, data_planes=0)
        await self.stage.configure(CONFIGURATION)
        await self.watch(self.stage.control_planes[0])

    async def check(self, form: EndlessForm, path: str = "/report") -> None:
        """The control machine reads such answers; it then answers others, and no bound was passed."""
        proper_paths = () if path == "/report" else ("/report",)
        workers = [
            await self.add_endless("engine", form, endless_paths=path, proper_paths=proper_paths)
            for _ in range(REPORTERS)
        ]
        await eventually(
            lambda: all(len(worker.records.answers) >= 2 for worker in workers),
            "each worker is called again",
            SERVED_WITHIN_S,
        )
        configuration = await self.stage.operator.get(within_s=SERVED_WITHIN_S)
        self.assertEqual(configuration.json(), CONFIGURATION.document())
        worker = await self.stage.add_worker(CONFIGURATION.service("pages"))
        await self.stage.wait_for_workers(worker, within_s=SERVED_WITHIN_S)
        self.check_footprint()
        most = most_bytes_taken(form, LARGEST_REPORT)
        self.assertLessEqual(max(worker.records.most_taken() for worker in workers), most)

    async def test_endless_report_with_a_stated_length(self) -> None:
        await self.check(EndlessForm.STATED_LENGTH)

    async def test_endless_report_until_close(self) -> None:
        await self.check(EndlessForm.UNTIL_CLOSE)

    async def test_endless_chunks_of_a_report(self) -> None:
        await self.check(EndlessForm.LARGE_CHUNKS)

    async def test_endless_fields_of_a_report(self) -> None:
        await self.check(EndlessForm.FIELDS)

    async def test_endless_interim_responses_to_a_report(self) -> None:
        await self.check(EndlessForm.CONTINUES)

    async def test_endless_trailers_of_a_report(self) -> None:
        await self.check(EndlessForm.TRAILERS)
