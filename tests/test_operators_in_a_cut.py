"""Two operators on both sides of a cut: the operator's interface on real control groups, cut in between."""

import asyncio
import json
import tempfile
import unittest
from typing import Any
from unittest import mock

from aiohttp import ClientSession, ClientTimeout, web

from rookwood.cluster.settings import parse_settings
from rookwood.controlplane.operator_api import OperatorApi
from rookwood.coordination.messages import Message
from rookwood.lab.free_ports import find_free_port
from tests.test_coordination_group import FIRST_MEMBERS, Cluster

FIRST: dict[str, Any] = {
    "ver": 3,
    "routes": [],
    "svcs": [{"name": "pages", "health": "/healthz", "max-conns": 64}],
}
TAKEN, CONFLICT, UNCLEAR = 200, 412, 503
PATIENCE = 15.0
RETRY_PAUSE = 0.05


def change(version: int, health: str) -> dict[str, Any]:
    """A configuration that differs from others in one value."""
    return {**FIRST, "ver": version, "svcs": [{"name": "pages", "health": health, "max-conns": 64}]}


class CutTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addAsyncCleanup(self.cluster.stop_all)
        self.port = find_free_port(*FIRST_MEMBERS)
        self.client = ClientSession(timeout=ClientTimeout(total=5.0))
        self.addAsyncCleanup(self.client.close)
        self.sides: dict[str, int] = dict.fromkeys(FIRST_MEMBERS, 0)
        await self.cluster.start_all()
        for ip in FIRST_MEMBERS:
            await self.serve(ip)
            self.make_cuttable(ip)
        self.primary = await self.cluster.until_led()
        self.assertEqual(TAKEN, await self.send_until_clear(self.primary, FIRST, 0))
        await self.cluster.until(lambda: len({self.cluster.payload(ip) for ip in FIRST_MEMBERS}) == 1)
        self.others = [ip for ip in FIRST_MEMBERS if ip != self.primary]

    async def serve(self, ip: str) -> None:
        """Serve the operator's interface of a member."""
        address = f"{ip}:{self.port}"
        document = {"hostname": ip, "ip": ip, "listen": {"ctl": address}, "port-range": [1, 5], "seeds": []}
        application = web.Application()
        OperatorApi(parse_settings(document), self.cluster.groups[ip]).add_routes(application)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, ip, self.port).start()

    def make_cuttable(self, ip: str) -> None:
        """Drop a member's messages to the other side, silently, while there is a cut."""
        transport = self.cluster.groups[ip]._transport
        send = transport.send

        def send_unless_cut(to: str, message: Message) -> None:
            if self.sides[ip] == self.sides[to]:
                send(to, message)

        self.enterContext(mock.patch.object(transport, "send", send_unless_cut))

    def cut(self, *sides: list[str]) -> None:
        """Cut members that are on different sides from each other; without sides, heal all cuts."""
        self.sides = dict.fromkeys(FIRST_MEMBERS, 0)
        for number, side in enumerate(sides):
            self.sides.update(dict.fromkeys(side, number))

    async def send(self, ip: str, document: dict[str, Any], base: int) -> int:
        """Send a change to a member, following redirects; 503 where no answer comes."""
        try:
            async with self.client.put(
                f"http://{ip}:{self.port}/config",
                data=json.dumps(document),
                headers={"If-Match": str(base)},
            ) as answer:
                return answer.status
        except (OSError, TimeoutError):
            return UNCLEAR

    async def send_until_clear(self, ip: str, document: dict[str, Any], base: int) -> int:
        """Send a change to a member until its answer is clear."""
        async with asyncio.timeout(PATIENCE):
            while (status := await self.send(ip, document, base)) == UNCLEAR:
                await asyncio.sleep(RETRY_PAUSE)
        return status

    async def read(self, ip: str) -> object:
        """The configuration as a member gives it."""
        async with asyncio.timeout(PATIENCE):
            while True:
                async with self.client.get(f"http://{ip}:{self.port}/config") as answer:
                    if answer.status == TAKEN:
                        return await answer.json()
                await asyncio.sleep(RETRY_PAUSE)

    async def assert_everywhere(self, status: int, document: dict[str, Any], base: int) -> None:
        """Require the same clear answer of every member."""
        for ip in FIRST_MEMBERS:
            self.assertEqual(status, await self.send_until_clear(ip, document, base), ip)

    async def test_of_two_changes_on_both_sides_that_of_the_majority_is_taken(self) -> None:
        cut_off, taken = change(8, "/cut-off"), change(8, "/taken")
        self.cut([self.primary], self.others)
        answers = await asyncio.gather(
            self.send(self.primary, cut_off, 3), self.send_until_clear(self.others[0], taken, 3)
        )
        self.assertEqual([UNCLEAR, TAKEN], answers)
        self.assertEqual(UNCLEAR, await self.send(self.primary, cut_off, 3), "nothing clear while cut off")
        self.assertEqual(UNCLEAR, await self.send(self.primary, taken, 3), "nothing clear while cut off")
        self.cut()
        await self.assert_everywhere(CONFLICT, cut_off, 3)
        await self.assert_everywhere(TAKEN, taken, 3)
        self.assertEqual(taken, await self.read(self.primary))

    async def test_change_taken_before_a_cut_is_acknowledged_again_on_its_other_side(self) -> None:
        mine, later = change(8, "/mine"), change(9, "/later")
        self.assertEqual(TAKEN, await self.send(self.primary, mine, 3))
        self.cut([self.primary], self.others)
        self.assertEqual(TAKEN, await self.send_until_clear(self.others[0], mine, 3))
        self.assertEqual(TAKEN, await self.send_until_clear(self.others[1], later, 8))
        self.assertEqual(TAKEN, await self.send_until_clear(self.others[0], mine, 3))
        self.assertEqual(UNCLEAR, await self.send(self.primary, mine, 3), "it cannot tell who leads")
        self.cut()
        await self.assert_everywhere(TAKEN, mine, 3)
        await self.assert_everywhere(CONFLICT, change(8, "/other"), 3)

    async def test_change_sent_while_nobody_has_a_majority_is_decided_once_after_the_cut(self) -> None:
        late, other = change(8, "/late"), change(8, "/other")
        self.cut(*([ip] for ip in FIRST_MEMBERS))
        for ip in (self.primary, *self.others):
            self.assertEqual(UNCLEAR, await self.send(ip, late, 3))
        self.cut()
        await self.assert_everywhere(TAKEN, late, 3)
        await self.assert_everywhere(CONFLICT, other, 3)


if __name__ == "__main__":
    unittest.main()
