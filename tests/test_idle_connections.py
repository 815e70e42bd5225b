"""Idle connections to workers are reused for as long as the workers say that they keep them."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from rookwood.dataplane import upstream
from rookwood.dataplane.upstream import Complete, UpstreamClient, read_idle_limit
from tests.fake_worker import HOST, within
from tests.test_httpclient_requests import request

HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: try-1\r\nX-Seal: s\r\nContent-Length: 2\r\n"
RESPONSE = HEAD + b"Keep-Alive: timeout=%d\r\n\r\nok"


class KeepAliveWorker:
    """Responds to each request, stating how long it keeps idle connections, and counts connections."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.connections = 0

    async def start(self) -> str:
        """Start to listen; returns the address."""
        self.server = await asyncio.start_server(self._accept, HOST, 0)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"question")
                writer.write(RESPONSE % self.limit)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class IdleConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def count_connections(self, limit: int, pause: float) -> int:
        """The number of connections that two requests with a pause between them use.

        The pause is simulated by patching the connector's clock.
        """
        worker = KeepAliveWorker(limit)
        address = await worker.start()
        self.addCleanup(worker.server.close)
        client = UpstreamClient(256)
        self.addAsyncCleanup(client.close)
        deadline = asyncio.get_running_loop().time() + 60.0
        self.assertIsInstance(await within(client.send(address, request(), deadline)), Complete)
        later = time.monotonic() + pause
        with mock.patch("aiohttp.connector.monotonic", lambda: later):
            self.assertIsInstance(await within(client.send(address, request(), deadline)), Complete)
        return worker.connections

    async def test_a_connection_is_reused_for_as_long_as_the_worker_keeps_it(self) -> None:
        beyond_default = upstream.DEFAULT_IDLE_LIMIT + 2.0
        self.assertEqual(1, await self.count_connections(10, beyond_default))

    async def test_a_connection_that_the_worker_may_be_closing_is_not_reused(self) -> None:
        self.assertEqual(2, await self.count_connections(10, 10.0 - upstream.IDLE_MARGIN / 2))
        self.assertEqual(2, await self.count_connections(2, 2.0))

    def test_the_limit_is_read_only_if_it_is_well_formed(self) -> None:
        self.assertEqual(10.0, read_idle_limit("timeout=10"))
        self.assertEqual(5.0, read_idle_limit("max=100, timeout=5"))
        for text in ("", "timeout", "timeout=x", "xtimeout=5s", "timeout=99999999"):
            self.assertIsNone(read_idle_limit(text), text)


if __name__ == "__main__":
    unittest.main()
