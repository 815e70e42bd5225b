"""A complete dispatcher process, with a control machine that the test plays."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import unittest
from collections.abc import Iterable
from unittest import mock

from aiohttp import ClientSession, ClientTimeout, TCPConnector

from rookwood.cluster.connection import Connection
from rookwood.cluster.feed import FeedServer
from rookwood.cluster.messages import (
    ConfigurationBody,
    DemandReport,
    FetchConfiguration,
    Heartbeat,
    HeartbeatAnswer,
    Message,
    Status,
    WorkerUpdates,
)
from rookwood.cluster.settings import NodeSettings, parse_settings
from rookwood.cluster.workers import WorkerRecord
from rookwood.dataplane import program
from rookwood.dataplane.program import DataPlane
from rookwood.lab.free_ports import find_free_port
from tests.fake_worker import (
    HOST,
    WAIT_LIMIT,
    Exchange,
    FakeWorker,
    UnresponsiveWorker,
    delayed_until,
    responding,
    within,
)
from tests.test_dataplane_proxy import CONFIGURATION, MODEL_SERVICE, MODELS, MUTATING, SAFE, SERVICE, SITE

CONTROL_IP = "127.0.0.2"
HEADER_LIMIT = CONFIGURATION["limits"]["hdr-bytes"]
HEADER_MARGIN = 2048  # bytes for the other headers of a request
SHORT_INGRESS_NOTICE = 0.05
PUBLICATIONS = 3
SHORT_KEEPALIVE = 0.1  # seconds
DRAIN_TIME = 1.0  # seconds between SIGTERM and the end of the process


class ControlMachine:
    """A control-plane primary that serves one configuration and a list of workers."""

    def __init__(self) -> None:
        self.records: list[WorkerRecord] = []
        self.source = b""
        self.sequence = 1
        self.fresh = True
        self.confirms_configuration = True
        self.answers_heartbeats = True
        self.fetch_requests: list[FetchConfiguration] = []
        self.demand_reports: asyncio.Queue[Message] = asyncio.Queue()
        self.server = FeedServer(self)

    def status(self) -> Status:
        """The machine's status."""
        sequence = self.sequence if self.source else 0
        return Status(CONTROL_IP, 1, CONTROL_IP, self.fresh, True, 1, sequence, 1, (CONTROL_IP,))

    def initial_messages(self, connection: Connection) -> Iterable[Message]:
        """The status and the full list of workers."""
        return self.status(), WorkerUpdates(tuple(self.records), complete=True)

    def message_received(self, connection: Connection, message: Message) -> None:
        """Answer fetch requests and heartbeats, and collect demand reports."""
        if isinstance(message, FetchConfiguration):
            self.fetch_requests.append(message)
            connection.send(
                ConfigurationBody(1, self.sequence, self.source, confirmed=self.confirms_configuration)
            )
        elif isinstance(message, Heartbeat):
            if self.answers_heartbeats:
                connection.send(
                    HeartbeatAnswer(message.sent_at, 1, self.status().config_sequence, self.fresh)
                )
        elif isinstance(message, DemandReport):
            self.demand_reports.put_nowait(message)

    def subscriber_lost(self, connection: Connection) -> None:
        """Ignore the end of a link."""

    def publish_next_configuration(self) -> None:
        """Put the next version of the configuration in force and announce it."""
        document = json.loads(self.source)
        self.source = json.dumps({**document, "ver": document["ver"] + 1}).encode()
        self.sequence += 1
        self.server.broadcast(self.status())


class DataPlaneCase(unittest.IsolatedAsyncioTestCase):
    """A running dispatcher and the control machine that feeds it."""

    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch.object(program, "INGRESS_NOTICE", SHORT_INGRESS_NOTICE))
        self.control = ControlMachine()
        self.settings = self.make_settings()
        await self.control.server.start(CONTROL_IP, self.settings.feed_port)
        self.addAsyncCleanup(self.control.server.stop)
        self.running = asyncio.create_task(DataPlane(self.settings).run())
        self.addAsyncCleanup(self.stop_dispatcher)
        self.client = ClientSession(
            connector=TCPConnector(force_close=True), timeout=ClientTimeout(total=WAIT_LIMIT)
        )
        self.addAsyncCleanup(self.client.close)
        await within(self.wait_until_listening())

    def make_settings(self) -> NodeSettings:
        """Settings with free ports on the loopback addresses."""
        first_port = find_free_port(CONTROL_IP) - 1
        document = {
            "hostname": "e1",
            "ip": HOST,
            "az": "z1",
            "listen": {"edge": f"{HOST}:{find_free_port(HOST)}", "readyz": f"{HOST}:{find_free_port(HOST)}"},
            "port-range": [first_port, first_port + 9],
            "seeds": [f"{CONTROL_IP}:8080"],
            "limits": {"nofile": 512},
        }
        return parse_settings(document)

    async def stop_dispatcher(self) -> None:
        """End the dispatcher with SIGTERM, as the platform does."""
        if not self.running.done():
            os.kill(os.getpid(), signal.SIGTERM)
        await within(self.running)

    async def wait_until_listening(self) -> None:
        """Wait until the dispatcher answers the readiness check."""
        while True:
            try:
                await self.readiness_status()
                return
            except OSError:
                await asyncio.sleep(0)

    async def readiness_status(self) -> int:
        """The status of the dispatcher's readiness check."""
        async with self.client.get(f"http://{self.settings.listen['readyz']}/readyz") as response:
            return response.status

    async def start_worker(self, worker: FakeWorker, service: str = SERVICE) -> FakeWorker:
        """Start a worker and add it to the control machine's list."""
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        self.control.records.append(worker.record(service))
        return worker

    async def publish_until_ready(self) -> None:
        """Publish the configuration and the workers until the dispatcher is ready."""
        self.control.source = json.dumps(CONFIGURATION).encode()
        self.control.server.broadcast(WorkerUpdates(tuple(self.control.records), complete=True))
        self.control.server.broadcast(self.control.status())

        async def ready() -> None:
            while await self.readiness_status() != 200:
                self.control.server.broadcast(WorkerUpdates(tuple(self.control.records), complete=True))
                self.control.server.broadcast(self.control.status())

        await within(ready())

    async def send(self, target: str, request_id: str = "try-1", **headers: str) -> tuple[int, bytes]:
        """Send a request, with further headers by name and _ for -; returns the status and the body."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        sent = {"Host": SITE, "X-Try-Id": request_id, "X-Time-Left": "3000", **named}
        url = f"http://{self.settings.listen['edge']}{target}"
        async with self.client.post(url, data=b"question", headers=sent) as response:
            return response.status, await response.read()


class DataPlaneTests(DataPlaneCase):
    async def test_it_is_ready_once_it_has_a_configuration_and_workers(self) -> None:
        self.assertEqual(503, await self.readiness_status())
        status, _ = await self.send(SAFE)
        self.assertEqual(503, status)
        await self.start_worker(FakeWorker(responding()))
        await self.publish_until_ready()
        self.assertEqual((200, b"answer"), await self.send(MUTATING))

    async def test_an_unknown_route_is_not_found_once_a_heartbeat_was_answered(self) -> None:
        """An unsolicited message may have been in transit for any time, so it proves no position."""
        self.control.answers_heartbeats = False
        await self.start_worker(FakeWorker(responding()))
        await self.publish_until_ready()
        status, _ = await self.send("/nowhere/")
        self.assertEqual(503, status)
        self.control.answers_heartbeats = True

        async def no_route() -> None:
            while (await self.send("/nowhere/"))[0] != 404:
                pass

        await within(no_route())

    async def test_it_does_not_use_the_configuration_of_a_machine_without_contact_to_its_primary(
        self,
    ) -> None:
        self.control.fresh = False
        await self.check_configuration_is_not_served()
        self.assertEqual([], self.control.fetch_requests)
        self.control.fresh = True
        await self.publish_until_ready()
        self.assertEqual((200, b"answer"), await self.send(MUTATING))

    async def test_it_does_not_use_a_configuration_that_no_majority_confirms(self) -> None:
        self.control.confirms_configuration = False
        await self.check_configuration_is_not_served()
        self.assertEqual({True}, {fetch.confirm for fetch in self.control.fetch_requests})
        self.control.confirms_configuration = True
        await self.publish_until_ready()
        self.assertEqual((200, b"answer"), await self.send(MUTATING))

    async def check_configuration_is_not_served(self) -> None:
        """Announce a configuration that the dispatcher must not use, and check that it does not."""
        await self.start_worker(FakeWorker(responding()))
        self.control.source = json.dumps(CONFIGURATION).encode()
        self.control.server.broadcast(WorkerUpdates(tuple(self.control.records), complete=True))
        for _ in range(PUBLICATIONS):
            self.control.server.broadcast(self.control.status())
            status, _ = await self.send(MUTATING, X_Time_Left="200")
            self.assertEqual(503, status)
        self.assertEqual(503, await self.readiness_status())

    async def test_a_request_before_the_first_configuration_is_served_once_it_arrives(self) -> None:
        await self.start_worker(FakeWorker(responding()))
        sending = asyncio.create_task(self.send(MUTATING))
        await self.publish_until_ready()
        self.assertEqual((200, b"answer"), await within(sending))

    async def test_headers_within_the_limit_are_served(self) -> None:
        """The parts of a long prompt are listed in one header, which may take up most of `hdr-bytes`."""
        worker = await self.start_worker(FakeWorker(responding()))
        await self.publish_until_ready()
        parts = ",".join(f"{number:08x}:16" for number in range(HEADER_LIMIT // 12))
        prefix = parts[: HEADER_LIMIT - HEADER_MARGIN].rpartition(",")[0]
        self.assertEqual((200, b"answer"), await self.send(SAFE, X_Prompt_Prefix=prefix))
        self.assertEqual(prefix, worker.requests[0].headers["x-prompt-prefix"])

    async def test_a_request_that_waits_for_weights_is_reported_at_once(self) -> None:
        await self.start_worker(FakeWorker(responding()), MODEL_SERVICE)
        await self.publish_until_ready()
        sending = asyncio.create_task(self.send(MODELS, X_Model="small/a1", X_Time_Left="400"))
        report = await within(self.control.demand_reports.get())
        assert isinstance(report, DemandReport)
        (key,) = report.keys
        self.assertEqual(
            (MODEL_SERVICE, "small", "a1", 1), (key.service, key.model, key.adapter, key.waiting)
        )
        status, _ = await sending
        self.assertEqual(503, status)

    async def test_a_request_in_flight_at_sigterm_is_finished(self) -> None:
        release = asyncio.Event()
        worker = await self.start_worker(FakeWorker(delayed_until(responding(), release)))
        await self.publish_until_ready()
        sending = asyncio.create_task(self.send(MUTATING))
        await within(worker.request_received.wait())
        os.kill(os.getpid(), signal.SIGTERM)

        async def not_ready() -> None:
            while await self.readiness_status() != 503:
                await asyncio.sleep(0)

        await within(not_ready())
        release.set()
        self.assertEqual((200, b"answer"), await sending)
        await within(self.running)

    async def test_a_request_that_waits_for_weights_is_rejected_before_the_process_ends(self) -> None:
        """Its wait could last longer than the process does after SIGTERM."""
        margin = self.settings.bounds.grace - DRAIN_TIME
        self.enterContext(mock.patch.object(program, "CLOSING_MARGIN", margin))
        await self.start_worker(FakeWorker(responding()), MODEL_SERVICE)
        await self.publish_until_ready()
        sending = asyncio.create_task(self.send(MODELS, X_Model="small/a1", X_Time_Left="60000"))
        await within(self.control.demand_reports.get())
        os.kill(os.getpid(), signal.SIGTERM)
        status, _ = await within(sending)
        self.assertEqual(503, status)
        await within(self.running)

    async def test_a_request_is_cancelled_at_its_worker_when_its_client_leaves(self) -> None:
        unresponsive = UnresponsiveWorker()
        await self.start_worker(FakeWorker(unresponsive))
        await self.publish_until_ready()
        sending = asyncio.create_task(self.send(MUTATING))
        await within(unresponsive.request_received.wait())
        sending.cancel()
        await within(unresponsive.connection_closed.wait())

    async def test_the_configuration_stays_in_force_without_the_control_plane(self) -> None:
        await self.start_worker(FakeWorker(responding()))
        await self.publish_until_ready()
        await self.control.server.stop()
        self.assertEqual((200, b"answer"), await self.send(SAFE))
        self.assertEqual(200, await self.readiness_status())


class KeptConnectionTests(DataPlaneCase):
    """A client's persistent connection is closed only while it has no request in flight."""

    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch.object(program, "CLIENT_KEEPALIVE", SHORT_KEEPALIVE))
        await super().asyncSetUp()

    async def open_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A client's connection for raw bytes."""
        address = self.settings.listen["edge"]
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        self.addCleanup(writer.close)
        return reader, writer

    @staticmethod
    def send_over(writer: asyncio.StreamWriter, request_id: str) -> None:
        """Send a request that must not be retried over an open connection."""
        headers = {"Host": SITE, "X-Try-Id": request_id, "X-Time-Left": "3000", "Content-Length": "1"}
        lines = [f"POST {MUTATING} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write("\r\n".join([*lines, "", "q"]).encode())

    async def test_no_request_is_cut_by_the_idle_limit_sighup_or_a_new_configuration(self) -> None:
        release, began = asyncio.Event(), asyncio.Event()

        async def respond_late(exchange: Exchange) -> None:
            began.set()
            await release.wait()
            await responding(b"late")(exchange)

        worker = await self.start_worker(FakeWorker(responding(), respond_late, responding()))
        await self.publish_until_ready()
        reader, writer = await self.open_connection()
        self.send_over(writer, "first")
        await within(reader.readuntil(b"answer"))
        self.send_over(writer, "second")
        await within(began.wait())
        os.kill(os.getpid(), signal.SIGHUP)
        self.control.publish_next_configuration()
        idle_reader, idle_writer = await self.open_connection()
        self.send_over(idle_writer, "idle")
        await within(idle_reader.readuntil(b"answer"))
        self.assertEqual(b"", await within(idle_reader.read()), "the idle time of another client is over")
        release.set()
        await within(reader.readuntil(b"late"))
        self.assertEqual(1, len(worker.requests_of("second")))


if __name__ == "__main__":
    unittest.main()
