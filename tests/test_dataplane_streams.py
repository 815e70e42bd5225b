"""Event streams through a dispatcher: events are forwarded at once, and a cut stream never looks complete."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from unittest import mock

from aiohttp import ClientConnectionResetError, ClientError, web

from tests.fake_worker import (
    HOST,
    STREAM_TYPE,
    Behaviour,
    Exchange,
    FakeWorker,
    UnresponsiveWorker,
    begin_stream,
    break_off,
    delayed_until,
    event,
    rejecting,
    responding,
    seal_of,
    streaming,
    streaming_unframed_until_reset,
    streaming_until_broken,
    within,
)
from tests.test_dataplane_proxy import NO_BUDGET, RESUMED, STREAM, TRIES, DispatcherCase

PARTIAL = b"id: 3\ndata: pie"


@dataclass(frozen=True)
class ReceivedStream:
    """A stream as the client received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def events(*numbers: int) -> bytes:
    """The bytes of these events."""
    return b"".join(event(number) for number in numbers)


class StreamCase(DispatcherCase):
    """A dispatcher with scripted workers, and a client that reads streams."""

    async def read_stream(self, prefix: str, request_id: str = "try-1", **headers: str) -> ReceivedStream:
        """Send a request and read its stream to the end, or until it is cut off."""
        body = b""
        async with self.client.post(
            self.url(prefix), data=b"question", headers=self.headers(request_id, **headers)
        ) as response:
            try:
                async for data in response.content.iter_any():
                    body += data
            except ClientError:
                return ReceivedStream(response.status, dict(response.headers), body, complete=False)
            return ReceivedStream(response.status, dict(response.headers), body, complete=True)

    async def read_with_further_workers(
        self, first: Behaviour, *further: Behaviour, prefix: str = RESUMED
    ) -> tuple[ReceivedStream, FakeWorker, list[FakeWorker]]:
        """Read a stream that begins at the first worker; the further workers are added before it breaks."""
        release = asyncio.Event()
        first_worker = await self.start_worker(delayed_until(first, release))
        reading = asyncio.create_task(self.read_stream(prefix))
        await within(first_worker.request_received.wait())
        others = [await self.start_worker(behaviour) for behaviour in further]
        release.set()
        return await reading, first_worker, others

    def assert_cut(self, stream: ReceivedStream, *numbers: int) -> None:
        """The client received exactly these events, and saw that the stream is incomplete."""
        self.assertFalse(stream.complete)
        self.assertEqual(events(*numbers), stream.body)


class WholeStreamTests(StreamCase):
    async def test_a_complete_stream_is_forwarded_unchanged(self) -> None:
        for prefix in (STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                worker = await self.start_worker(streaming([1, 2, 3]))
                stream = await self.read_stream(prefix)
                self.assertTrue(stream.complete)
                self.assertEqual((200, events(1, 2, 3)), (stream.status, stream.body))
                self.assertEqual(seal_of(worker.requests[0]), stream.headers["X-Seal"])
                self.assertEqual("try-1", stream.headers["X-Try-Id"])
                self.assertTrue(stream.headers["Content-Type"].startswith("text/event-stream"))
                self.dispatcher.router.worker_gone(worker.id)

    async def test_events_are_forwarded_whatever_chunks_they_come_in(self) -> None:
        body = events(1, 2, 3)

        async def stream_bytes(exchange: Exchange) -> None:
            begin_stream(exchange)
            for byte in body:
                exchange.write_chunk(bytes([byte]))
            exchange.write_chunk(b"")

        await self.start_worker(stream_bytes)
        stream = await self.read_stream(RESUMED)
        self.assertEqual((True, body), (stream.complete, stream.body))

    async def test_an_event_is_forwarded_before_the_next_one_arrives(self) -> None:
        release = asyncio.Event()

        async def stream_on_release(exchange: Exchange) -> None:
            begin_stream(exchange)
            exchange.write_chunk(event(1))
            await release.wait()
            exchange.write_chunk(event(2))
            exchange.write_chunk(b"")

        await self.start_worker(stream_on_release)
        async with self.client.post(self.url(STREAM), headers=self.headers("try-1")) as response:
            self.assertEqual(event(1), await response.content.readexactly(len(event(1))))
            release.set()
            self.assertEqual(event(2), await response.content.read())

    async def test_the_version_of_weights_is_forwarded_in_the_head_and_before_an_event(self) -> None:
        versioned = [b"versions: 7\nid: 1\ndata: old\n\n", b"versions: 8\nid: 2\ndata: new\n\n"]

        async def stream_versions(exchange: Exchange) -> None:
            headers = {"X-Try-Id": exchange.request.id, "X-Seal": "s", "Versions": "7"}
            exchange.write_head(200, {**headers, "Content-Type": STREAM_TYPE, "Transfer-Encoding": "chunked"})
            for piece in (*versioned, b""):
                exchange.write_chunk(piece)

        await self.start_worker(stream_versions)
        stream = await self.read_stream(RESUMED)
        self.assertEqual((True, b"".join(versioned)), (stream.complete, stream.body))
        self.assertEqual("7", stream.headers["Versions"])

    async def test_the_last_event_id_of_a_resuming_client_is_forwarded(self) -> None:
        worker = await self.start_worker(streaming([13, 14]))
        stream = await self.read_stream(RESUMED, Last_Event_Id="12")
        self.assertEqual("12", worker.requests[0].headers["last-event-id"])
        self.assertEqual((True, events(13, 14)), (stream.complete, stream.body))


class ResumedStreamTests(StreamCase):
    async def test_a_broken_stream_is_resumed_at_another_worker(self) -> None:
        stream, first, (second,) = await self.read_with_further_workers(
            streaming_until_broken([1, 2], "first"), streaming([3, 4, 5], "second")
        )
        self.assertTrue(stream.complete)
        self.assertEqual(events(1, 2, 3, 4, 5), stream.body)
        self.assertEqual(seal_of(first.requests[0], "first"), stream.headers["X-Seal"])
        self.assertEqual("2", second.requests[0].headers["last-event-id"])
        self.assertEqual(second.id, second.requests[0].headers["x-want-instance"])
        self.assertEqual(first.requests[0].body, second.requests[0].body)

    async def test_an_unframed_stream_that_is_reset_is_resumed_at_another_worker(self) -> None:
        stream, _, (second,) = await self.read_with_further_workers(
            streaming_unframed_until_reset([1, 2]), streaming([1, 2, 3, 4])
        )
        self.assertEqual((True, events(1, 2, 3, 4)), (stream.complete, stream.body))
        self.assertEqual(1, len(second.requests))

    async def test_a_partial_event_is_not_forwarded(self) -> None:
        stream, _, (second,) = await self.read_with_further_workers(
            streaming_until_broken([1, 2], partial=PARTIAL), streaming([3, 4])
        )
        self.assertEqual((True, events(1, 2, 3, 4)), (stream.complete, stream.body))
        self.assertEqual("2", second.requests[0].headers["last-event-id"])

    async def test_a_stream_without_event_ids_is_cut_and_not_resumed(self) -> None:
        """Without an id, another worker would not know where to resume."""
        stream, _, (second,) = await self.read_with_further_workers(
            streaming_until_broken([], partial=b"data: first\n\n"), streaming([1, 2])
        )
        self.assertFalse(stream.complete)
        self.assertEqual([], second.requests)

    async def test_a_stream_is_resumed_after_an_event_with_a_version(self) -> None:
        versioned_event = b"versions: 8\nid: 2\ndata: piece 2\n\n"

        async def send_a_version_and_break(exchange: Exchange) -> None:
            begin_stream(exchange, "first")
            exchange.write_chunk(event(1) + versioned_event)
            await exchange.break_off()

        stream, first, (second,) = await self.read_with_further_workers(
            send_a_version_and_break, streaming([3], "second")
        )
        self.assertEqual((True, event(1) + versioned_event + event(3)), (stream.complete, stream.body))
        self.assertEqual("2", second.requests[0].headers["last-event-id"])
        self.assertEqual(seal_of(first.requests[0], "first"), stream.headers["X-Seal"])

    async def test_a_stream_that_breaks_twice_is_resumed_twice(self) -> None:
        first = streaming_until_broken([1])
        release = asyncio.Event()
        second = delayed_until(streaming_until_broken([2]), release)
        first_release = asyncio.Event()
        first_worker = await self.start_worker(delayed_until(first, first_release))
        reading = asyncio.create_task(self.read_stream(RESUMED))
        await within(first_worker.request_received.wait())
        second_worker = await self.start_worker(second)
        first_release.set()
        await within(second_worker.request_received.wait())
        third_worker = await self.start_worker(streaming([3]))
        release.set()
        stream = await reading
        self.assertEqual((True, events(1, 2, 3)), (stream.complete, stream.body))
        self.assertEqual("2", third_worker.requests[0].headers["last-event-id"])

    async def test_the_stream_of_a_resuming_client_is_resumed_after_its_newest_event(self) -> None:
        release = asyncio.Event()
        first = await self.start_worker(delayed_until(streaming_until_broken([13]), release))
        reading = asyncio.create_task(self.read_stream(RESUMED, Last_Event_Id="12"))
        await within(first.request_received.wait())
        second = await self.start_worker(streaming([14]))
        release.set()
        self.assertEqual((True, events(13, 14)), ((await reading).complete, reading.result().body))
        self.assertEqual("13", second.requests[0].headers["last-event-id"])

    async def test_a_resumption_without_further_events_is_complete(self) -> None:
        stream, _, _ = await self.read_with_further_workers(streaming_until_broken([1, 2]), streaming([]))
        self.assertEqual((True, events(1, 2)), (stream.complete, stream.body))

    async def test_a_rejected_resumption_is_retried(self) -> None:
        stream, _, others = await self.read_with_further_workers(
            streaming_until_broken([1]), rejecting(503), rejecting(503), streaming([2])
        )
        if others[2].requests:
            self.assertEqual((True, events(1, 2)), (stream.complete, stream.body))
        else:
            self.assert_cut(stream, 1)

    async def test_there_are_no_more_attempts_than_the_route_allows(self) -> None:
        stream, first, others = await self.read_with_further_workers(
            streaming_until_broken([1]), *(streaming_until_broken([]) for _ in range(TRIES + 1))
        )
        self.assert_cut(stream, 1)
        self.assertEqual(TRIES, 1 + sum(len(worker.requests) for worker in others))

    async def test_a_response_that_is_no_stream_is_not_appended_to_a_stream(self) -> None:
        behaviours = (responding(b"failed", 500), responding(b"whole"), responding(b"late", 504))
        for number, behaviour in enumerate(behaviours):
            with self.subTest(behaviour=number):
                stream, first, (second,) = await self.read_with_further_workers(
                    streaming_until_broken([1, 2]), behaviour
                )
                self.assert_cut(stream, 1, 2)
                for worker in (first, second):
                    self.dispatcher.router.worker_gone(worker.id)

    async def test_a_response_to_another_request_is_not_appended_to_a_stream(self) -> None:
        async def stream_of_another(exchange: Exchange) -> None:
            headers = {"X-Try-Id": "another", "X-Seal": "s", "Content-Type": "text/event-stream"}
            exchange.write_head(200, {**headers, "Transfer-Encoding": "chunked"})
            exchange.write_chunk(event(3))
            exchange.write_chunk(b"")

        stream, _, _ = await self.read_with_further_workers(streaming_until_broken([1, 2]), stream_of_another)
        self.assert_cut(stream, 1, 2)

    async def test_without_another_worker_the_stream_is_cut(self) -> None:
        worker = await self.start_worker(streaming_until_broken([1, 2], partial=PARTIAL))
        self.assert_cut(await self.read_stream(RESUMED), 1, 2)
        self.assertEqual(1, len(worker.requests))

    async def test_a_break_before_the_first_event_loses_no_event(self) -> None:
        stream, _, _ = await self.read_with_further_workers(streaming_until_broken([]), streaming([1, 2]))
        if stream.complete:
            self.assertEqual(events(1, 2), stream.body)
        else:
            self.assertEqual(b"", stream.body)

    async def test_a_break_before_the_head_is_retried_at_another_worker(self) -> None:
        stream, _, _ = await self.read_with_further_workers(break_off, streaming([1, 2]))
        self.assertEqual((True, events(1, 2)), (stream.complete, stream.body))


class UnresumedStreamTests(StreamCase):
    async def test_a_broken_stream_is_cut_and_not_retried(self) -> None:
        stream, first, (second,) = await self.read_with_further_workers(
            streaming_until_broken([1, 2]), streaming([3, 4]), prefix=STREAM
        )
        self.assert_cut(stream, 1, 2)
        self.assertEqual((1, 0), (len(first.requests), len(second.requests)))

    async def test_a_reset_between_events_of_an_unframed_stream_does_not_look_complete(self) -> None:
        await self.start_worker(streaming_unframed_until_reset([1, 2]))
        stream = await self.read_stream(STREAM)
        self.assertFalse(stream.complete)
        self.assertTrue(events(1, 2).startswith(stream.body))

    async def test_a_broken_stream_does_not_look_complete_without_chunks(self) -> None:
        """For an HTTP/1.0 client, the end of the connection is the end of the response."""
        await self.start_worker(streaming_until_broken([1, 2]))
        reader, writer = await asyncio.open_connection(HOST, self.dispatcher.port)
        self.addCleanup(writer.close)
        lines = [f"POST {STREAM} HTTP/1.0", *(f"{k}: {v}" for k, v in self.headers("try-1").items())]
        writer.write("\r\n".join([*lines, "Content-Length: 1", "", "q"]).encode())
        with self.assertRaises(ConnectionResetError):
            await within(reader.read())

    async def test_a_partial_event_at_the_end_does_not_look_complete(self) -> None:
        await self.start_worker(streaming_until_broken([1, 2], partial=PARTIAL))
        stream = await self.read_stream(STREAM)
        self.assertFalse(stream.complete)
        self.assertTrue(stream.body.startswith(events(1, 2)))

    async def test_a_stream_that_breaks_before_its_first_event_is_cut(self) -> None:
        stream, _, (second,) = await self.read_with_further_workers(
            streaming_until_broken([]), streaming([1]), prefix=STREAM
        )
        self.assert_cut(stream)
        self.assertEqual([], second.requests)

    async def test_a_stream_that_continues_beyond_the_deadline_is_cut(self) -> None:
        unresponsive = UnresponsiveWorker()

        async def stream_and_stop(exchange: Exchange) -> None:
            begin_stream(exchange)
            exchange.write_chunk(event(1))
            await unresponsive(exchange)

        await self.start_worker(stream_and_stop)
        self.assert_cut(await self.read_stream(STREAM, X_Time_Left="600"), 1)
        await within(unresponsive.connection_closed.wait())


class StreamBudgetTests(StreamCase):
    budget = NO_BUDGET

    async def test_without_budget_a_broken_stream_is_cut(self) -> None:
        stream, _, (second,) = await self.read_with_further_workers(
            streaming_until_broken([1, 2]), streaming([3])
        )
        self.assert_cut(stream, 1, 2)
        self.assertEqual([], second.requests)


class LeavingClientTests(StreamCase):
    async def assert_worker_is_released(
        self, behaviour: Behaviour, unresponsive: UnresponsiveWorker, prefix: str
    ) -> None:
        """The dispatcher closes the worker's connection once the client left, and does not retry."""
        worker = await self.start_worker(behaviour)
        reading = asyncio.create_task(self.read_stream(prefix))
        await within(unresponsive.request_received.wait())
        spare = await self.start_worker(streaming([1]))
        reading.cancel()
        await within(unresponsive.connection_closed.wait())
        await within(self.wait_for_no_request_in_flight())
        self.assertEqual(0, self.dispatcher.pool.get(worker.id).in_flight)
        self.assertEqual([], spare.requests)
        for each in (worker, spare):
            self.dispatcher.router.worker_gone(each.id)

    async def test_a_stream_is_cancelled_when_its_client_leaves_before_the_first_event(self) -> None:
        for prefix in (STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                unresponsive = UnresponsiveWorker()

                async def send_the_head_only(
                    exchange: Exchange, unresponsive: UnresponsiveWorker = unresponsive
                ) -> None:
                    begin_stream(exchange)
                    await unresponsive(exchange)

                await self.assert_worker_is_released(send_the_head_only, unresponsive, prefix)

    async def test_a_write_to_a_client_that_has_left_logs_no_error(self) -> None:
        """The client's connection may close before its handler is cancelled."""
        await self.start_worker(streaming([1, 2]))
        reset = ClientConnectionResetError("Cannot write to closing transport")
        with (
            mock.patch.object(web.StreamResponse, "write", side_effect=reset) as write,
            self.assertNoLogs("aiohttp.server", "ERROR"),
        ):
            stream = await self.read_stream(STREAM)
            await self.wait_for_no_request_in_flight()
        self.assertEqual(1, write.call_count)
        self.assert_cut(stream)

    async def test_a_stream_is_cancelled_when_its_client_leaves_between_events(self) -> None:
        for prefix in (STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                unresponsive = UnresponsiveWorker()

                async def send_one_event(
                    exchange: Exchange, unresponsive: UnresponsiveWorker = unresponsive
                ) -> None:
                    begin_stream(exchange)
                    exchange.write_chunk(event(1))
                    await unresponsive(exchange)

                await self.assert_worker_is_released(send_one_event, unresponsive, prefix)


if __name__ == "__main__":
    unittest.main()
