"""The order of a control machine's actions at a commit."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from typing import Any
from unittest import mock

from aiohttp import ClientError, ClientSession, web

from rookwood.cluster.feed import FeedServer
from rookwood.cluster.messages import Message, Status
from rookwood.cluster.settings import SETTINGS_VARIABLE, parse_settings
from rookwood.cluster.tasks import cancel_tasks
from rookwood.clusterconfig.configuration_store import ConfigurationStore
from rookwood.clusterconfig.items import ItemChanges
from rookwood.controlplane.program import ControlPlane
from rookwood.lab.systemstage.network import choose_network
from tests.fake_worker import within

HTTP_OK = 200
RESPONDED, PARSED, SENT = "responded", "parsed", "sent"
CONFIGURATION: dict[str, Any] = {
    "ver": 1,
    "routes": [],
    "svcs": [{"name": "pages", "health": "/healthz", "max-conns": 64}],
}


class CommitTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        network = choose_network()
        self.address = f"{network.ip(1)}:{network.ports.control}"
        document = {
            "hostname": "c1",
            "ip": network.ip(1),
            "az": "z1",
            "listen": {"ctl": self.address},
            "port-range": list(network.ports.internal),
            "seeds": [self.address],
            "bootstrap": True,
            "limits": {"nofile": 512, "disk-mb": 16},
            "datadir": directory,
        }
        self.enterContext(mock.patch.dict("os.environ", {SETTINGS_VARIABLE: directory}))
        self.events: list[str] = []
        self.sent = asyncio.Event()
        self.record_events()
        running = asyncio.create_task(ControlPlane(parse_settings(document)).run())
        self.addAsyncCleanup(cancel_tasks, [running])

    def record_events(self) -> None:
        """Record each response, parsing of a configuration, and sending of its position to subscribers."""
        write_eof, broadcast = web.Response.write_eof, FeedServer.broadcast
        replace = ConfigurationStore.replace

        async def record_response(response: web.Response, data: bytes = b"") -> None:
            await write_eof(response, data)
            if response.status == HTTP_OK:
                self.events.append(RESPONDED)

        def record_parsing(store: ConfigurationStore, source: bytes) -> ItemChanges:
            self.events.append(PARSED)
            return replace(store, source)

        def record_sending(server: FeedServer, message: Message) -> None:
            broadcast(server, message)
            if isinstance(message, Status) and message.config_sequence > 0 and PARSED in self.events:
                self.events.append(SENT)
                self.sent.set()

        self.enterContext(mock.patch.object(web.Response, "write_eof", record_response))
        self.enterContext(mock.patch.object(ConfigurationStore, "replace", record_parsing))
        self.enterContext(mock.patch.object(FeedServer, "broadcast", record_sending))

    async def put_configuration(self) -> None:
        """Put the configuration; repeat the call until the machine listens and is the primary."""
        async with ClientSession() as session:
            while True:
                headers = {"If-Match": "0"}
                url = f"http://{self.address}/config"
                try:
                    async with session.put(url, data=json.dumps(CONFIGURATION), headers=headers) as response:
                        if response.status == HTTP_OK:
                            return
                except ClientError:
                    await asyncio.sleep(0)

    async def test_the_operator_gets_a_response_before_the_configuration_is_parsed_and_sent(self) -> None:
        await within(self.put_configuration())
        await within(self.sent.wait())
        self.assertEqual([RESPONDED, PARSED, SENT], self.events[:3])


if __name__ == "__main__":
    unittest.main()
