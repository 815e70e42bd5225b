"""Whole programs between workers that break HTTP at byte level and many clients, judged from outside."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import unittest
from functools import partial

from aiohttp import ClientError, ClientSession, ClientTimeout

from rookwood.lab.exchange_clients import ExchangeClient
from rookwood.lab.exchange_judge import ExchangeRecords, count_statuses, find_violations
from rookwood.lab.misbehaving_worker import MisbehavingWorker, draw_misbehaviour
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually
from rookwood.lab.worker_answers import SERVICE, WORKER_SLOTS, configuration_document, play_client

WORKERS = 3
CLIENTS = 12
EXCHANGES = 600
HEARTBEAT_S = 0.2
SEED = 7


class Heartbeats:
    """Announces a worker to the control plane, as workers do."""

    def __init__(self, worker: MisbehavingWorker, control_address: str) -> None:
        self.acknowledged = asyncio.Event()
        self._worker = worker
        self._url = f"http://{control_address}/workers/{worker.name}"

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with ClientSession(timeout=ClientTimeout(total=1)) as session:
            for number in itertools.count(1):
                try:
                    async with session.put(self._url, json=self._document(number)) as response:
                        if response.status == 200:
                            self.acknowledged.set()
                except (ClientError, TimeoutError):
                    pass  # the next heartbeat follows
                await asyncio.sleep(HEARTBEAT_S)

    def _document(self, number: int) -> dict[str, str | int]:
        return {
            "svc": SERVICE,
            "addr": self._worker.address,
            "az": "z1",
            "ver": "v1",
            "slots": WORKER_SLOTS,
            "state": "up",
            "cold-ms": 0,
            "seq": number,
        }


class WholeProgramTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.records = ExchangeRecords()
        self.source = random.Random(SEED)
        self.stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await self.stage.operator.call("PUT", json.dumps(configuration_document()).encode(), 0)
        for number in range(WORKERS):
            await self.start_worker(f"w{number}")
        await self.stage.wait_until_ready()

    async def start_worker(self, name: str) -> None:
        """A worker that the control plane knows; gone at the end."""
        worker = MisbehavingWorker(name, self.records, partial(draw_misbehaviour, self.source))
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        heartbeats = Heartbeats(worker, self.stage.control_addresses[0])
        running = asyncio.create_task(heartbeats.run())
        self.addCleanup(running.cancel)
        await eventually(heartbeats.acknowledged.is_set, f"{name} is registered")

    async def test_no_rule_is_broken(self) -> None:
        address = self.stage.data_planes[0].edge_address
        ids, todo = itertools.count(1), iter(range(EXCHANGES))
        clients = [ExchangeClient(address, self.records) for _ in range(CLIENTS)]
        await asyncio.gather(*(play_client(client, self.source, ids, todo, "whole") for client in clients))
        self.assertEqual([], find_violations(self.records))
        statuses = count_statuses(self.records)
        self.assertGreater(statuses["200"], EXCHANGES // 4)
        self.assertTrue(self.stage.data_planes[0].running)


if __name__ == "__main__":
    unittest.main()
