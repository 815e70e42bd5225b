"""Limits on responses of workers: what is within them is accepted, what goes beyond closes the connection."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from multidict import CIMultiDict

from rookwood.dataplane.upstream import Complete, UpstreamClient, UpstreamOutcome, UpstreamRequest
from rookwood.httpclient import body_growth
from rookwood.httpclient.limits import DEFAULT_RESPONSE_LIMITS, REFUSED_RESPONSES, Excess
from rookwood.httpclient.outcomes import ResponseLost
from rookwood.lab.raw_http import LAST_CHUNK, encode_chunk
from rookwood.memory_budget import SMALL_BODY, Holding, MemoryBudget, Purpose
from tests.fake_worker import Exchange, FakeWorker, within

REQUEST_ID = "try-1"
LIMITS = DEFAULT_RESPONSE_LIMITS
IDENTITY = f"X-Try-Id: {REQUEST_ID}\r\nX-Seal: s\r\n"
HEAD = f"HTTP/1.1 200 OK\r\n{IDENTITY}".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
BUDGET_BYTES = 4 * SMALL_BODY
NO_WAIT = 0.01  # seconds


def with_length(body: bytes, length: int | None = None, fields: bytes = b"") -> bytes:
    """A response that states a length, that of its body unless told otherwise."""
    return HEAD + fields + b"Content-Length: %d\r\n\r\n" % (len(body) if length is None else length) + body


def padded_head(size: int) -> bytes:
    """A whole response whose head has so many bytes."""
    lines = [b"X-%d: %s\r\n" % (number, b"v" * 4000) for number in range(size // 4200)]
    rest = size - len(with_length(b"", fields=b"".join(lines))) - len(b"X-P: \r\n")
    return with_length(b"", fields=b"".join(lines) + b"X-P: %s\r\n" % (b"p" * rest))


class ResponseLimitCase(unittest.IsolatedAsyncioTestCase):
    """A client of one worker, with a memory budget."""

    async def asyncSetUp(self) -> None:
        self.budget = MemoryBudget(BUDGET_BYTES, connections=10)
        self.client = UpstreamClient(10, budget=self.budget)
        self.addAsyncCleanup(self.client.close)
        self.before = REFUSED_RESPONSES.counts()

    async def outcome_after(self, data: bytes, body: bytes = b"{}") -> UpstreamOutcome:
        """The outcome of a request that is answered so; the worker then sends nothing more."""
        self.closed = asyncio.Event()

        async def answer(exchange: Exchange) -> None:
            exchange.write(data)
            await exchange.caller_closed()
            self.closed.set()

        worker = FakeWorker(answer)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        with Holding(self.budget, Purpose.RESPONSE) as memory:
            request = UpstreamRequest(
                "POST", "/a", CIMultiDict({"X-Try-Id": REQUEST_ID}), body, REQUEST_ID, memory
            )
            deadline = asyncio.get_running_loop().time() + 60.0
            return await within(self.client.send(worker.address, request, deadline))

    async def check_refused(self, data: bytes, excess: Excess) -> None:
        """The response is lost, counted once, its connection closed and its memory given back."""
        outcome = await self.outcome_after(data)
        self.assertIsInstance(outcome, ResponseLost)
        await within(self.closed.wait())
        self.assertEqual({**self.before, excess: self.before[excess] + 1}, REFUSED_RESPONSES.counts())
        self.assertEqual(0, self.budget.held)

    async def check_accepted(self, data: bytes, body: bytes) -> None:
        outcome = await self.outcome_after(data)
        assert isinstance(outcome, Complete), outcome
        self.assertEqual(body, bytes(outcome.body))
        self.assertEqual(self.before, REFUSED_RESPONSES.counts())


class HeadLimitTests(ResponseLimitCase):
    async def test_a_head_of_the_largest_size_is_accepted(self) -> None:
        await self.check_accepted(padded_head(LIMITS.head_bytes), b"")

    async def test_an_endless_head_is_refused(self) -> None:
        unfinished = padded_head(LIMITS.head_bytes + 3).removesuffix(b"\r\n")
        await self.check_refused(unfinished, Excess.HEAD)

    async def test_so_many_interim_responses_are_accepted(self) -> None:
        await self.check_accepted(INTERIM * LIMITS.interim_responses + with_length(b"body"), b"body")

    async def test_endless_interim_responses_are_refused(self) -> None:
        await self.check_refused(INTERIM * (LIMITS.interim_responses + 1), Excess.INTERIM)

    async def test_a_long_head_without_memory_for_it_is_refused(self) -> None:
        self.budget.take(BUDGET_BYTES, Purpose.RESPONSE)
        outcome = await self.outcome_after(HEAD + b"X-Value: " + b"v" * 8000)
        self.assertIsInstance(outcome, ResponseLost)
        self.assertEqual(self.before[Excess.MEMORY] + 1, REFUSED_RESPONSES.counts()[Excess.MEMORY])
        self.assertEqual(BUDGET_BYTES, self.budget.held)


class BodyLimitTests(ResponseLimitCase):
    async def test_a_stated_length_beyond_the_limit_is_refused_before_its_body(self) -> None:
        await self.check_refused(with_length(b"", LIMITS.body_bytes + 1), Excess.BODY)

    async def test_a_body_without_a_length_ends_at_the_limit(self) -> None:
        self.budget.total = 2 * LIMITS.body_bytes
        await self.check_refused(HEAD + b"\r\n" + bytes(LIMITS.body_bytes + 1), Excess.BODY)

    async def test_chunks_of_a_few_bytes_are_accepted(self) -> None:
        body = b"ten  bytes" * 2000
        chunks = b"".join(encode_chunk(body[start : start + 10]) for start in range(0, len(body), 10))
        await self.check_accepted(CHUNKED + chunks + LAST_CHUNK, body)

    async def test_endless_extensions_of_chunks_are_refused(self) -> None:
        size = LIMITS.head_bytes + LIMITS.framing_bytes
        await self.check_refused(CHUNKED + b"5;" + b"e" * size, Excess.FRAMING)

    async def test_endless_trailers_are_refused(self) -> None:
        trailers = b"".join(b"X-%d: %s\r\n" % (number, b"t" * 4000) for number in range(30))
        await self.check_refused(CHUNKED + encode_chunk(b"body") + b"0\r\n" + trailers, Excess.FRAMING)

    async def test_a_growing_body_waits_only_for_some_time_for_memory(self) -> None:
        # Two bodies that wait for each other's memory would else wait until their deadlines.
        with mock.patch.object(body_growth, "MEMORY_WAIT_SECONDS", NO_WAIT):
            await self.check_refused(HEAD + b"\r\n" + bytes(6 * SMALL_BODY), Excess.MEMORY)

    async def test_a_small_body_needs_no_memory_whether_or_not_it_states_its_length(self) -> None:
        self.budget.take(BUDGET_BYTES, Purpose.RESPONSE)
        body = bytes(SMALL_BODY)
        await self.check_accepted(with_length(body), body)
        await self.check_accepted(CHUNKED + encode_chunk(body) + LAST_CHUNK, body)


class ClosedConnectionTests(ResponseLimitCase):
    async def test_the_connection_is_closed_though_the_worker_does_not_read_its_request(self) -> None:
        lost = asyncio.Event()

        class Deaf(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                assert isinstance(transport, asyncio.Transport)
                transport.pause_reading()
                transport.write(INTERIM * (LIMITS.interim_responses + 1))
                asyncio.get_running_loop().call_later(0.1, self.write_more, transport)

            def write_more(self, transport: asyncio.Transport) -> None:
                if transport.is_closing():
                    return
                transport.write(b"x" * 1000)
                asyncio.get_running_loop().call_later(0.1, self.write_more, transport)

            def connection_lost(self, exc: Exception | None) -> None:
                lost.set()

        server = await asyncio.get_running_loop().create_server(Deaf, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        headers = CIMultiDict({"X-Try-Id": REQUEST_ID})
        request = UpstreamRequest("POST", "/a", headers, bytes(8 * 1024 * 1024), REQUEST_ID)
        deadline = asyncio.get_running_loop().time() + 60.0
        outcome = await within(self.client.send(address, request, deadline))
        self.assertIsInstance(outcome, ResponseLost)
        await within(lost.wait())
