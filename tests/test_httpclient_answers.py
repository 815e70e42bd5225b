"""Answers that end at any byte, by an orderly close or by a reset: only a whole one counts as whole."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from enum import Enum
from unittest import mock

from multidict import CIMultiDict

from rookwood.dataplane import upstream
from rookwood.dataplane.upstream import (
    Complete,
    Streaming,
    UpstreamClient,
    UpstreamRequest,
)
from rookwood.httpclient.outcomes import ResponseLost
from rookwood.lab.raw_http import encode_chunks
from tests.fake_worker import (
    STREAM_TYPE,
    WAIT_LIMIT,
    Behaviour,
    Exchange,
    FakeWorker,
    delayed_until,
    event,
    within,
)

REQUEST_ID = "try-1"
REQUEST = UpstreamRequest("POST", "/a", CIMultiDict({"X-Try-Id": REQUEST_ID}), b"question", REQUEST_ID)
PLAIN_BODY = b"answer"
STREAM_BODY = event(1) + event(2)
CONNECTIONS = 64
BEYOND_BUFFERS = 3_000_000


class Framing(Enum):
    """How an answer tells where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNFRAMED = "unframed"


class Ending(Enum):
    """How a worker ends the connection."""

    CLOSE = "close"
    RESET = "reset"


@dataclass(frozen=True)
class WireAnswer:
    """An answer as it goes over the wire."""

    head: bytes
    framed_body: bytes
    framing: Framing
    body: bytes

    @property
    def whole(self) -> bytes:
        """All bytes."""
        return self.head + self.framed_body


def wire_answer(framing: Framing, body: bytes, content_type: str) -> WireAnswer:
    """A true answer to the request."""
    lines = ["HTTP/1.1 200 OK", f"X-Try-Id: {REQUEST_ID}", "X-Seal: s", f"Content-Type: {content_type}"]
    framed = body
    if framing is Framing.LENGTH:
        lines.append(f"Content-Length: {len(body)}")
    elif framing is Framing.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
        middle = len(body) // 2
        framed = encode_chunks(body[:middle], body[middle:])
    return WireAnswer("\r\n".join([*lines, "", ""]).encode(), framed, framing, body)


def ending_after(data: bytes, ending: Ending) -> Behaviour:
    """Send these bytes, then end the connection."""

    async def send_and_end(exchange: Exchange) -> None:
        exchange.write(data)
        await (exchange.reset() if ending is Ending.RESET else exchange.break_off())

    return send_and_end


def expected_body(answer: WireAnswer, sent: int, ending: Ending) -> bytes | None:
    """The body of a whole answer after so many bytes of it; None where it is not whole.

    A close in the middle of a body that has neither length nor chunks looks like its end: no reader of
    HTTP/1.1 can tell.
    """
    if answer.framing is Framing.UNFRAMED:
        whole = ending is Ending.CLOSE and sent >= len(answer.head)
        return answer.framed_body[: sent - len(answer.head)] if whole else None
    return answer.body if sent == len(answer.whole) else None


class CutAnswersCase(unittest.IsolatedAsyncioTestCase):
    """A client of workers that end their answers at chosen bytes."""

    async def asyncSetUp(self) -> None:
        with mock.patch.object(upstream, "CONNECT_LIMIT", WAIT_LIMIT):  # a busy machine may stand still
            self.client = UpstreamClient(CONNECTIONS)
        self.addAsyncCleanup(self.client.close)

    async def start_worker(self, *script: Behaviour) -> FakeWorker:
        """Start a worker, stopped at the end."""
        worker = FakeWorker(*script)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        return worker

    async def ask(self, worker: FakeWorker) -> bytes | None:
        """The body of a whole answer, also of a stream; None where the answer broke."""
        deadline = asyncio.get_running_loop().time() + WAIT_LIMIT
        outcome = await self.client.send(worker.address, REQUEST, deadline)
        if isinstance(outcome, Complete):
            return outcome.body
        if isinstance(outcome, Streaming):
            return await self.read_stream(outcome)
        self.assertIsInstance(outcome, ResponseLost)
        return None

    async def read_stream(self, stream: Streaming) -> bytes | None:
        """The whole body of a stream; None where it broke."""
        body = b""
        while data := await within(stream.answer.read_some()):
            if isinstance(data, ResponseLost):
                stream.answer.close()
                return None
            body += data
        return body

    async def check_every_byte(self, content_type: str, body: bytes, ending: Ending) -> None:
        """End answers of each framing after each number of bytes."""
        for framing in Framing:
            answer = wire_answer(framing, body, content_type)
            cuts = range(len(answer.whole) + 1)
            worker = await self.start_worker(*(ending_after(answer.whole[:cut], ending) for cut in cuts))
            for cut in cuts:
                with self.subTest(framing=framing.value, ending=ending.value, cut=cut):
                    self.assertEqual(expected_body(answer, cut, ending), await self.ask(worker))


class EveryByteTests(CutAnswersCase):
    async def test_a_plain_answer_that_is_reset_at_any_byte_is_not_whole(self) -> None:
        await self.check_every_byte("application/json", PLAIN_BODY, Ending.RESET)

    async def test_a_plain_answer_that_is_closed_at_any_byte_is_whole_at_its_end_only(self) -> None:
        await self.check_every_byte("application/json", PLAIN_BODY, Ending.CLOSE)

    async def test_a_stream_that_is_reset_at_any_byte_is_not_whole(self) -> None:
        await self.check_every_byte(STREAM_TYPE, STREAM_BODY, Ending.RESET)

    async def test_a_stream_that_is_closed_at_any_byte_is_whole_at_its_end_only(self) -> None:
        await self.check_every_byte(STREAM_TYPE, STREAM_BODY, Ending.CLOSE)


class UnframedAnswerTests(CutAnswersCase):
    """Bodies that end with their connection, and are read late or end from this side."""

    async def open_stream(self, behaviour: Behaviour) -> Streaming:
        """Ask for a stream and wait for its head."""
        worker = await self.start_worker(behaviour)
        deadline = asyncio.get_running_loop().time() + WAIT_LIMIT
        stream = await self.client.send(worker.address, REQUEST, deadline)
        assert isinstance(stream, Streaming)
        return stream

    async def test_a_reset_counts_though_the_body_was_not_read_before(self) -> None:
        for ending, whole in ((Ending.RESET, False), (Ending.CLOSE, True)):
            with self.subTest(ending=ending.value):
                body = b"x" * BEYOND_BUFFERS
                answer = wire_answer(Framing.UNFRAMED, body, STREAM_TYPE)
                stream = await self.open_stream(ending_after(answer.whole, ending))
                self.assertEqual(body if whole else None, await self.read_stream(stream))

    async def test_a_close_of_this_side_completes_no_answer(self) -> None:
        ended = asyncio.Event()
        answer = wire_answer(Framing.UNFRAMED, STREAM_BODY, STREAM_TYPE)

        async def send_and_stay(exchange: Exchange) -> None:
            exchange.write(answer.whole)
            await delayed_until(ending_after(b"", Ending.CLOSE), ended)(exchange)

        stream = await self.open_stream(send_and_stay)
        self.assertEqual(STREAM_BODY, await within(stream.answer.read_some()))
        reading = asyncio.create_task(stream.answer.read_some())
        await asyncio.sleep(0)
        await self.client.close()
        self.assertIsInstance(await within(reading), ResponseLost)
        ended.set()


if __name__ == "__main__":
    unittest.main()
