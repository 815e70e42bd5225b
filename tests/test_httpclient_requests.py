"""Requests and their connections: early responses, interim responses, spliced heads."""

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
RESPONSE_HEAD = b"HTTP/1.1 %d Status\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n"


def request(request_id: str = "try-1", body: bytes = b"question") -> UpstreamRequest:
    """A request to a worker."""
    return UpstreamRequest("POST", "/a", CIMultiDict({"X-Try-Id": request_id}), body, request_id)


def response(request_id: str = "try-1", body: bytes = b"answer", status: int = 200) -> bytes:
    """A complete response."""
    return RESPONSE_HEAD % (status, request_id.encode(), len(body)) + body


class EarlyRespondingWorker:
    """A worker that responds after the head of a request, and reads the body only once `may_read` is set."""

    def __init__(self) -> None:
        self.may_read = asyncio.Event()
        self.received: list[bytes] = []  # of each connection
        self.ended = asyncio.Event()

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._accept, HOST, 0)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.received)
        self.received.append(b"")
        head = await reader.readuntil(b"\r\n\r\n")
        (line,) = [line for line in head.split(b"\r\n") if line.startswith(b"X-Try-Id: ")]
        writer.write(response(line.removeprefix(b"X-Try-Id: ").decode()))
        await self.may_read.wait()
        self.received[number] = await reader.read(-1)
        self.ended.set()
        writer.close()


class RequestCase(unittest.IsolatedAsyncioTestCase):
    """A client of workers that send chosen bytes."""

    async def asyncSetUp(self) -> None:
        with mock.patch.object(upstream, "CONNECT_LIMIT", WAIT_LIMIT):  # a busy machine may stall
            self.client = UpstreamClient(256)
        self.addAsyncCleanup(self.client.close)

    async def send(self, address: str, sent: UpstreamRequest) -> UpstreamOutcome:
        """Send a request with the time limit of a test."""
        return await self.client.send(address, sent, asyncio.get_running_loop().time() + WAIT_LIMIT)

    async def outcome_after(self, data: bytes) -> UpstreamOutcome:
        """Return the outcome of a request whose worker sends these bytes and closes the connection."""

        async def write_and_close(exchange: Exchange) -> None:
            exchange.write(data)
            await exchange.break_off()

        worker = FakeWorker(write_and_close)
        await worker.start()
        try:
            return await self.send(worker.address, request())
        finally:
            await worker.stop()


class EarlyResponseTests(RequestCase):
    """The response arrives while the body is still being sent."""

    async def test_no_other_bytes_are_sent_in_place_of_the_rest_of_the_body(self) -> None:
        worker = EarlyRespondingWorker()
        address = await worker.start()
        self.addCleanup(worker.server.close)
        outcomes = [await self.send(address, request(name, LONG_BODY)) for name in ("first", "second")]
        self.assertEqual([b"answer"] * 2, [o.body for o in outcomes if isinstance(o, Complete)])
        worker.may_read.set()
        await within(worker.ended.wait())
        self.assertEqual(2, len(worker.received))
        for received in worker.received:
            self.assertTrue(LONG_BODY.startswith(received))

    async def test_a_connection_with_unwritten_bytes_of_the_request_is_not_reused(self) -> None:
        for unwritten in (0, 1):
            protocol = ResponseProtocol(asyncio.get_running_loop())
            transport = mock.Mock(spec=asyncio.Transport)
            transport.get_write_buffer_size.return_value = unwritten
            protocol.connection_made(transport)
            protocol.set_response_params()
            protocol.data_received(response())
            await protocol.read()
            self.assertEqual(bool(unwritten), protocol.should_close)


class InterimResponseTests(RequestCase):
    async def test_interim_responses_are_skipped(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" + b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        outcome = await self.outcome_after(interim * 3 + response())
        assert isinstance(outcome, Complete)
        self.assertEqual((200, b"answer"), (outcome.status, outcome.body))

    async def test_an_interim_response_alone_is_no_response(self) -> None:
        self.assertIsInstance(await self.outcome_after(b"HTTP/1.1 100 Continue\r\n\r\n"), ResponseLost)


class SplicedHeadTests(RequestCase):
    """A surplus response to an earlier request breaks off at any byte, and the right response follows."""

    SURPLUS = (
        b"HTTP/1.1 200 OK\r\nX-Other: v\r\nX-Try-Id: earlier\r\nX-Seal: e\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Try-Id: earlier\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Try-Id: earlier\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    )

    async def test_two_spliced_responses_are_not_accepted(self) -> None:
        for surplus in self.SURPLUS:
            for status in (200, 500):
                for cut in range(1, len(surplus) + 1):
                    with self.subTest(surplus=surplus[:cut], status=status):
                        outcome = await self.outcome_after(surplus[:cut] + response(status=status))
                        self.assertIsInstance(outcome, ResponseLost)

    async def test_no_transfer_coding_other_than_chunked_is_accepted(self) -> None:
        for coding, body in ((b"gzip", b"answer"), (b"gzip, chunked", b"6\r\nanswer\r\n0\r\n\r\n")):
            coded = response(body=body).replace(
                b"Content-Length: %d" % len(body), b"Transfer-Encoding: " + coding
            )
            with self.subTest(coding=coding):
                self.assertIsInstance(await self.outcome_after(coded), ResponseLost)

    async def test_a_second_length_is_not_accepted(self) -> None:
        for lengths in (b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"):
            two_lengths = response().replace(b"Content-Length: 6\r\n", lengths + b"Content-Length: 6\r\n")
            with self.subTest(lengths=lengths):
                self.assertIsInstance(await self.outcome_after(two_lengths), ResponseLost)


if __name__ == "__main__":
    unittest.main()
