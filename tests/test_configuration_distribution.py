"""Distribution of configurations: its cost is bounded however many changes and control machines there are."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import unittest
from collections.abc import Iterable, Sequence
from typing import Any
from unittest import mock

from aiohttp import ClientError, ClientSession

from rookwood.cluster.connection import Connection
from rookwood.cluster.feed import FeedServer
from rookwood.cluster.frames import LINK_ERRORS, encode_frame, read_message
from rookwood.cluster.messages import ConfigurationBody, FetchConfiguration, Hello, Message, Status
from rookwood.cluster.settings import SETTINGS_VARIABLE, parse_settings
from rookwood.cluster.tasks import cancel_tasks
from rookwood.controlplane.program import ControlPlane
from rookwood.dataplane import program
from rookwood.dataplane.program import DataPlane
from rookwood.lab.systemstage.network import choose_network
from tests.fake_worker import within
from tests.test_controlplane_commit import CONFIGURATION

CONTROL_MACHINES = 5
MAX_REQUESTS = 2  # a pending one, and another one after the first timed out
CHANGES = 100
SHORT_INGRESS_NOTICE = 0.05
SMALL_RECEIVE_BUFFER = 16 * 1024  # bytes that the kernel buffers for a subscriber that does not read
REQUESTS = 400
MODELS = 300
MAX_BUFFERED = 1024 * 1024  # bytes that may be buffered for one slow subscriber, in the kernel or the process
HTTP_OK = 200


def large_configuration(version: int) -> dict[str, Any]:
    """Return a configuration of some tens of kilobytes."""
    models = [{"name": f"model-{number}", "size-mb": 65000.0, "load-s": 0.6} for number in range(MODELS)]
    runtime = {"slots": 64, "models": models, "size-mb": 220000.0, "lora-slots": 8, "loads-per-s": 4.0}
    service = {"name": "engine", "health": "/healthz", "max-conns": 64, "runtime": runtime}
    return {"ver": version, "routes": [], "svcs": [service]}


class AnnouncingMachine:
    """A control machine that announces positions; as the primary it answers one fetch request, else none."""

    def __init__(self, ip: str, members: Sequence[str]) -> None:
        self.ip = ip
        self._members = tuple(members)
        self._primary = members[0]
        self.requests: list[FetchConfiguration] = []
        self.answers_next = ip == self._primary
        self.subscribed = asyncio.Event()
        self.other_message_received = asyncio.Event()
        self.server = FeedServer(self)

    def status(self, sequence: int) -> Status:
        """Return a status that announces a position."""
        return Status(self.ip, 1, self._primary, True, True, 1, sequence, 1, self._members)

    def initial_messages(self, connection: Connection) -> Iterable[Message]:
        """Announce the first position."""
        self.subscribed.set()
        return (self.status(1),)

    def message_received(self, connection: Connection, message: Message) -> None:
        """Answer the first request if this is the primary, and record all others."""
        if not isinstance(message, FetchConfiguration):
            self.other_message_received.set()
            return
        if self.answers_next:
            self.answers_next = False
            source = json.dumps(CONFIGURATION).encode()
            connection.send(ConfigurationBody(1, 1, source, confirmed=True))
            return
        self.requests.append(message)

    def subscriber_lost(self, connection: Connection) -> None:
        """Nothing to do."""

    def announce_changes(self) -> None:
        """Announce many positions in immediate succession."""
        for sequence in range(2, 2 + CHANGES):
            self.server.broadcast(self.status(sequence))


class PendingRequestTests(unittest.IsolatedAsyncioTestCase):
    """A dispatcher with links to five control machines."""

    async def asyncSetUp(self) -> None:
        network = choose_network()
        ports = network.ports
        ip, *machines = (network.ip(host) for host in range(1, 2 + CONTROL_MACHINES))
        document = {
            "hostname": "e1",
            "ip": ip,
            "az": "z1",
            "listen": {"edge": f"{ip}:{ports.edge}", "readyz": f"{ip}:{ports.ready}"},
            "port-range": list(ports.internal),
            "seeds": [f"{machine}:{ports.control}" for machine in machines],
            "limits": {"nofile": 512},
        }
        settings = parse_settings(document)
        self.machines = [AnnouncingMachine(machine, machines) for machine in machines]
        for machine in self.machines:
            await machine.server.start(machine.ip, settings.feed_port)
            self.addAsyncCleanup(machine.server.stop)
        self.enterContext(mock.patch.object(program, "INGRESS_NOTICE", SHORT_INGRESS_NOTICE))
        self.running = asyncio.create_task(DataPlane(settings).run())
        self.addAsyncCleanup(self.stop_dispatcher)

    async def stop_dispatcher(self) -> None:
        """Stop the dispatcher with SIGTERM, as the platform does."""
        os.kill(os.getpid(), signal.SIGTERM)
        await within(self.running)

    async def test_at_most_one_request_is_pending_whatever_machines_announce(self) -> None:
        for machine in self.machines:
            await within(machine.subscribed.wait())
            await within(machine.other_message_received.wait())  # the first configuration is in force by then
            machine.other_message_received.clear()
        for machine in self.machines:
            machine.announce_changes()
        for machine in self.machines:
            # A heartbeat, which the dispatcher sent after it had handled the announcements
            await within(machine.other_message_received.wait())
        requests = [request for machine in self.machines for request in machine.requests]
        self.assertLessEqual(len(requests), MAX_REQUESTS)
        self.assertGreaterEqual(len(requests), 1)


class SlowSubscriberTests(unittest.IsolatedAsyncioTestCase):
    """A control machine, and a subscriber that requests the configuration and does not read."""

    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        network = choose_network()
        self.ip = network.ip(1)
        self.address = f"{self.ip}:{network.ports.control}"
        document = {
            "hostname": "c1",
            "ip": self.ip,
            "az": "z1",
            "listen": {"ctl": self.address},
            "port-range": list(network.ports.internal),
            "seeds": [self.address],
            "bootstrap": True,
            "limits": {"nofile": 512, "disk-mb": 16},
            "datadir": directory,
        }
        self.enterContext(mock.patch.dict("os.environ", {SETTINGS_VARIABLE: directory}))
        settings = parse_settings(document)
        self.feed_port = settings.feed_port
        running = asyncio.create_task(ControlPlane(settings).run())
        self.addAsyncCleanup(cancel_tasks, [running])

    async def put(self, version: int, base: int) -> None:
        """Put a configuration; retries until the machine listens and is the primary."""
        url = f"http://{self.address}/config"
        body = json.dumps(large_configuration(version))
        async with ClientSession() as session:
            while True:
                try:
                    async with session.put(url, data=body, headers={"If-Match": str(base)}) as answer:
                        if answer.status == HTTP_OK:
                            return
                except ClientError:
                    pass
                await asyncio.sleep(0)

    async def subscribe(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a subscription whose kernel receive buffer is small."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (self.ip, self.feed_port))
        reader, writer = await asyncio.open_connection(sock=connection, limit=SMALL_RECEIVE_BUFFER)
        self.addCleanup(writer.transport.abort)
        writer.write(encode_frame(Hello("127.0.0.9", "edge", "z1")))
        return reader, writer

    async def test_a_slow_subscriber_skips_configurations_that_it_missed(
        self,
    ) -> None:
        await within(self.put(1, 0))
        reader, writer = await within(self.subscribe())
        for _ in range(REQUESTS):
            writer.write(encode_frame(FetchConfiguration(1, confirm=False)))
        await within(writer.drain())
        await within(self.put(2, 1))
        received = await within(self.read_until_announced(reader, 2))
        self.assertLess(received, MAX_BUFFERED)

    async def read_until_announced(self, reader: asyncio.StreamReader, sequence: int) -> int:
        """Read until the position of the second change is announced; returns the number of bytes received."""
        received = 0
        first: int | None = None
        while True:
            try:
                message: Message = await read_message(reader)
            except LINK_ERRORS as error:
                self.fail(f"the subscription ended after {received} bytes: {error!r}")
            received += len(encode_frame(message))
            if isinstance(message, Status) and message.config_sequence > 0:
                first = first or message.config_sequence
                if message.config_sequence > first:
                    return received


if __name__ == "__main__":
    unittest.main()
