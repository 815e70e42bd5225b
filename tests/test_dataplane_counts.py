"""The counts of a dispatcher: its requests by outcome, and the traffic of its feed."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from aiohttp import ClientSession, ClientTimeout

from rookwood.cluster import connection as connection_module
from rookwood.cluster.frames import encode_frame
from rookwood.cluster.messages import FetchConfiguration, Status
from rookwood.dataplane.request_counts import EndedRequests, ErrorResponseCause, RequestOutcome
from rookwood.metrics.traffic import PEER_CORE, PEER_EDGE, Direction, MessageTraffic, Volume
from tests.fake_worker import delayed_until, responding, streaming, streaming_until_broken, within
from tests.test_cluster_feed import HELLO, STATUS, FeedCase, LinkRecorder
from tests.test_dataplane_proxy import MUTATING, STREAM
from tests.test_dataplane_streams import StreamCase

CONTROL = "10.0.0.1"


def status(sequence: int) -> Status:
    """The status of a primary that has committed this sequence in epoch 1."""
    return Status(CONTROL, 1, CONTROL, True, True, 1, sequence, 1, (CONTROL,))


class RequestCountsTest(StreamCase):
    """The counted outcomes of requests to a dispatcher."""

    def ended_requests(self) -> list[EndedRequests]:
        """The counts of all ended requests."""
        return list(self.dispatcher.proxy.counts.ended_requests())

    async def test_responses_of_workers_and_of_the_dispatcher_count_by_status(self) -> None:
        await self.start_worker(responding(), responding(b"failed", 500))
        await self.send(MUTATING, "try-1")
        await self.send(MUTATING, "try-2")
        await self.send("/nowhere/")
        await self.wait_for_no_request_in_flight()
        expected = [
            EndedRequests(RequestOutcome.ANSWERED, "2xx", 1),
            EndedRequests(RequestOutcome.ANSWERED, "5xx", 1),
            EndedRequests(RequestOutcome.REFUSED, "4xx", 1),
        ]
        self.assertEqual(self.ended_requests(), expected)
        self.assertEqual(
            self.dispatcher.proxy.counts.error_responses, {ErrorResponseCause(404, "no route"): 1}
        )
        self.assertEqual(self.dispatcher.proxy.counts.attempts, 2)

    async def test_complete_and_cut_streams_are_counted_separately(self) -> None:
        await self.start_worker(streaming([1, 2]), streaming_until_broken([1]))
        self.assertTrue((await self.read_stream(STREAM, "try-1")).complete)
        self.assertFalse((await self.read_stream(STREAM, "try-2")).complete)
        await self.wait_for_no_request_in_flight()
        expected = [
            EndedRequests(RequestOutcome.ANSWERED, "2xx", 1),
            EndedRequests(RequestOutcome.CUT, "2xx", 1),
        ]
        self.assertEqual(self.ended_requests(), expected)

    async def test_a_client_that_leaves_abandons_its_request(self) -> None:
        release = asyncio.Event()
        worker = await self.start_worker(delayed_until(responding(), release))
        async with ClientSession(timeout=ClientTimeout(total=None)) as leaving:
            request = leaving.post(self.url(MUTATING), headers=self.headers("try-1"))
            sending = asyncio.create_task(request.__aenter__())
            await within(worker.request_received.wait())
            sending.cancel()
            await asyncio.wait([sending])
        await within(self.wait_for_no_request_in_flight())
        release.set()
        self.assertEqual(self.ended_requests(), [EndedRequests(RequestOutcome.ABANDONED, "", 1)])


class FeedTrafficTest(FeedCase):
    """Both ends of a link count the same bytes, by the kind of the other end."""

    async def test_both_directions_are_counted_by_kind_of_peer(self) -> None:
        fetch = FetchConfiguration(7, False)
        with mock.patch.object(connection_module, "FEED_TRAFFIC", MessageTraffic()) as traffic:
            recorder = LinkRecorder()
            self.open_link(recorder)
            self.assertEqual(STATUS, await within(recorder.messages.get()))
            connection = await within(recorder.links.get())
            connection.send(fetch)
            await within(self.handler.messages.get())
            counted = {(r.direction, r.peer, r.message_type): r.volume for r in traffic.records()}
        self.assertEqual(connection.queued_bytes, 0)
        status, question = (Volume(1, len(encode_frame(message))) for message in (STATUS, fetch))
        self.assertEqual(counted[Direction.SENT, PEER_EDGE, "Status"], status)
        self.assertEqual(counted[Direction.RECEIVED, PEER_CORE, "Status"], status)
        self.assertEqual(counted[Direction.SENT, PEER_CORE, "FetchConfiguration"], question)
        self.assertEqual(counted[Direction.RECEIVED, PEER_EDGE, "FetchConfiguration"], question)
        self.assertEqual(counted[Direction.SENT, PEER_CORE, "Hello"].size, len(encode_frame(HELLO)))


if __name__ == "__main__":
    unittest.main()
