"""Whole programs: a drain is acknowledged only where it binds all dispatchers in touch."""

from __future__ import annotations

import json
import unittest
from http import HTTPStatus

from aiohttp import ClientSession, ClientTimeout

from rookwood.lab.systemstage.configuration import Configuration, small_configuration
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage

CONFIGURATION: Configuration = small_configuration(version=3)
ACKNOWLEDGED_WITHIN_S = 1.0  # a worker calls the next machine after that


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stage = await self.enterAsyncContext(SystemStage(data_planes=1))
        await self.stage.begin_day(CONFIGURATION)
        await self.stage.wait_for_control_planes(CONFIGURATION)
        timeout = ClientTimeout(total=ACKNOWLEDGED_WITHIN_S)
        self.session = await self.enterAsyncContext(ClientSession(timeout=timeout))

    async def drain(self, machine: SystemProcess, sequence: int) -> int:
        """Have a worker tell a control machine that it drains; returns the status."""
        heartbeat = {
            "svc": "pages",
            "addr": "127.0.0.1:1",
            "az": "z1",
            "slots": 1,
            "state": "draining",
            "seq": sequence,
        }
        url = f"http://{machine.control_address}/workers/i-99"
        async with self.session.put(url, data=json.dumps(heartbeat)) as response:
            return response.status

    async def test_a_drain_is_acknowledged_at_every_control_machine(self) -> None:
        for sequence, machine in enumerate(self.stage.control_planes):
            self.assertEqual(HTTPStatus.OK, await self.drain(machine, sequence))

    async def test_a_control_machine_that_was_just_cut_off_acknowledges_none(self) -> None:
        """The others stand still, which looks the same to it as a cut; it has heard its primary just now."""
        primary = await self.stage.find_primary()
        alone = next(machine for machine in self.stage.control_planes if machine is not primary)
        others = [machine for machine in self.stage.control_planes if machine is not alone]
        for machine in others:
            machine.freeze()
        self.assertEqual(HTTPStatus.SERVICE_UNAVAILABLE, await self.drain(alone, 1))
        for machine in others:
            machine.thaw()
        await self.stage.find_primary()
        self.assertEqual(HTTPStatus.OK, await self.drain(alone, 2))


if __name__ == "__main__":
    unittest.main()
