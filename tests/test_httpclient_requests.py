"""Requests and the connections that carry them: early answers, interim answers, spliced heads."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from multidict import CIMultiDict

from rookwood.dataplane import upstream
from rookwood.dataplane.upstream import Complete, UpstreamClient, UpstreamOutcome, UpstreamRequest
from rookwood.httpclient.connections import ResponseProtocol
from rookwood.httpclient.outcomes import ResponseLost
from tests.fake_worker import HOST, WAIT_LIMIT, Exchange, FakeWorker, within

LONG_BODY = bytes(range(256)) * 40_000
ANSWER_HEAD = b"HTTP/1.1 %d Status\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n"


def request(request_id: str = "try-1", body: bytes = b"question") -> UpstreamRequest:
    """A request to a worker."""
    return UpstreamRequest("POST", "/a", CIMultiDict({"X-Try-Id": request_id}), body, request_id)


def answer(request_id: str = "try-1", body: bytes = b"answer", status: int = 200) -> bytes:
    """A whole answer."""
    return ANSWER_HEAD % (status, request_id.encode(), len(body)) + body


class EarlyWorker:
    """Answers once it has read a head, and reads on only when told; keeps what came on each connection."""

    def __init__(self) -> None:
        self.read_on = asyncio.Event()
        self.received: list[bytes] = []
        self.ended = asyncio.Event()

    async def start(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._accept, HOST, 0)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.received)
        self.received.append(b"")
        head = await reader.readuntil(b"\r\n\r\n")
        (line,) = [line for line in head.split(b"\r\n") if line.startswith(b"X-Try-Id: ")]
        writer.write(answer(line.removeprefix(b"X-Try-Id: ").decode()))
        await self.read_on.wait()
        self.received[number] = await reader.read(-1)
        self.ended.set()
        writer.close()


class RequestCase(unittest.IsolatedAsyncioTestCase):
    """A client of workers at byte level."""

    async def asyncSetUp(self) -> None:
        with mock.patch.object(upstream, "CONNECT_LIMIT", WAIT_LIMIT):  # a busy machine may stand still
            self.client = UpstreamClient(256)
        self.addAsyncCleanup(self.client.close)

    async def send(self, address: str, sent: UpstreamRequest) -> UpstreamOutcome:
        """Send a request that has as much time as a test."""
        return await self.client.send(address, sent, asyncio.get_running_loop().time() + WAIT_LIMIT)

    async def outcome_after(self, data: bytes) -> UpstreamOutcome:
        """What a request comes to whose worker sends these bytes and ends the connection in order."""

        async def write_and_close(exchange: Exchange) -> None:
            exchange.write(data)
            await exchange.break_off()

        worker = FakeWorker(write_and_close)
        await worker.start()
        try:
            return await self.send(worker.address, request())
        finally:
            await worker.stop()


class EarlyAnswerTests(RequestCase):
    """The answer comes while the body is still being sent."""

    async def test_no_other_bytes_come_where_the_rest_of_the_body_is_due(self) -> None:
        worker = EarlyWorker()
        address = await worker.start()
        self.addCleanup(worker.server.close)
        outcomes = [await self.send(address, request(name, LONG_BODY)) for name in ("first", "second")]
        self.assertEqual([b"answer"] * 2, [o.body for o in outcomes if isinstance(o, Complete)])
        worker.read_on.set()
        await within(worker.ended.wait())
        self.assertEqual(2, len(worker.received))
        for received in worker.received:
            self.assertTrue(LONG_BODY.startswith(received))

    async def test_a_connection_with_bytes_of_the_request_still_to_write_is_not_used_again(self) -> None:
        for unwritten in (0, 1):
            protocol = ResponseProtocol(asyncio.get_running_loop())
            transport = mock.Mock(spec=asyncio.Transport)
            transport.get_write_buffer_size.return_value = unwritten
            protocol.connection_made(transport)
            protocol.set_response_params()
            protocol.data_received(answer())
            await protocol.read()
            self.assertEqual(bool(unwritten), protocol.should_close)


class InterimAnswerTests(RequestCase):
    async def test_interim_answers_are_passed_over(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" + b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        outcome = await self.outcome_after(interim * 3 + answer())
        assert isinstance(outcome, Complete)
        self.assertEqual((200, b"answer"), (outcome.status, outcome.body))

    async def test_an_interim_answer_alone_is_no_answer(self) -> None:
        self.assertIsInstance(await self.outcome_after(b"HTTP/1.1 100 Continue\r\n\r\n"), ResponseLost)


class SplicedHeadTests(RequestCase):
    """A surplus answer to an earlier request breaks off at any byte, and the true answer follows it."""

    SURPLUS = (
        b"HTTP/1.1 200 OK\r\nX-Other: v\r\nX-Try-Id: earlier\r\nX-Seal: e\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Try-Id: earlier\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Try-Id: earlier\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    )

    async def test_nothing_is_made_of_two_answers(self) -> None:
        for surplus in self.SURPLUS:
            for status in (200, 500):
                for cut in range(1, len(surplus) + 1):
                    with self.subTest(surplus=surplus[:cut], status=status):
                        outcome = await self.outcome_after(surplus[:cut] + answer(status=status))
                        self.assertIsInstance(outcome, ResponseLost)

    async def test_no_transfer_coding_but_chunks_is_passed_on(self) -> None:
        for coding, body in ((b"gzip", b"answer"), (b"gzip, chunked", b"6\r\nanswer\r\n0\r\n\r\n")):
            coded = answer(body=body).replace(
                b"Content-Length: %d" % len(body), b"Transfer-Encoding: " + coding
            )
            with self.subTest(coding=coding):
                self.assertIsInstance(await self.outcome_after(coded), ResponseLost)

    async def test_no_second_length_counts(self) -> None:
        for lengths in (b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"):
            spoilt = answer().replace(b"Content-Length: 6\r\n", lengths + b"Content-Length: 6\r\n")
            with self.subTest(lengths=lengths):
                self.assertIsInstance(await self.outcome_after(spoilt), ResponseLost)


if __name__ == "__main__":
    unittest.main()
