"""Operators on both sides of a cut: the operator's interface on real control groups, cut in between."""

import asyncio
import json
import tempfile
import unittest
from typing import Any
from unittest import mock

from aiohttp import ClientSession, ClientTimeout, web

from rookwood.cluster.settings import parse_settings
from rookwood.controlplane.operator_api import OperatorApi
from rookwood.coordination.group import Primary
from rookwood.coordination.messages import Message
from rookwood.coordination.timing import Timing
from rookwood.lab.controlsimulation import LONG_LEASE
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
READINGS = 2
VERSIONS_IN_CUTS = (8, 9)


def change(version: int, health: str) -> dict[str, Any]:
    """A configuration that differs from others in one value."""
    return {**FIRST, "ver": version, "svcs": [{"name": "pages", "health": health, "max-conns": 64}]}


class CutCase(unittest.IsolatedAsyncioTestCase):
    """Three control groups with the operator's interface, which a test may cut from each other."""

    timing = Timing()

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name, self.timing)
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

    async def read_once(self, ip: str) -> tuple[int, Any]:
        """What a member answers to one reading, redirects followed; 503 where no answer comes."""
        try:
            async with self.client.get(f"http://{ip}:{self.port}/config") as answer:
                return answer.status, await answer.json()
        except (OSError, TimeoutError):
            return UNCLEAR, None

    async def assert_current_or_unclear(self, expected: dict[str, Any]) -> None:
        """Require of every member, asked at once, the newest configuration or 503."""
        for status, document in await asyncio.gather(*(self.read_once(ip) for ip in self.cluster.groups)):
            self.assertIn(status, (TAKEN, UNCLEAR))
            if status == TAKEN:
                self.assertEqual(expected, document)

    async def assert_current_or_unclear_during(
        self, sending: asyncio.Task[int], old: dict[str, Any], new: dict[str, Any]
    ) -> None:
        """Until a change is answered, readings tell of the configuration before it, of it, or nothing."""
        while not sending.done():
            for status, document in await asyncio.gather(*(self.read_once(ip) for ip in FIRST_MEMBERS)):
                self.assertIn(status, (TAKEN, UNCLEAR))
                self.assertIn(document if status == TAKEN else old, (old, new))

    async def read_while_changed(self) -> None:
        """Cut the primary off, have a change taken on the other side, and read everywhere meanwhile.

        Readings begin with the cut, when the primary that was cut off does not know it yet.
        """
        newest = FIRST
        for version in VERSIONS_IN_CUTS:
            self.cut([self.primary], self.others)
            changed = change(version, f"/{version}")
            successor = await self.leader_of(self.others)
            sending = asyncio.create_task(self.send(successor, changed, newest["ver"]))
            await self.assert_current_or_unclear_during(sending, newest, changed)
            self.assertEqual(TAKEN, await sending)
            newest = changed
            for _ in range(READINGS):
                await self.assert_current_or_unclear(newest)
            self.cut()
            self.assertEqual(newest, await self.read(self.primary))
            self.primary = await self.cluster.until_led()
            self.others = [ip for ip in FIRST_MEMBERS if ip != self.primary]

    async def leader_of(self, side: list[str]) -> str:
        """The member of a side that leads it."""
        await self.cluster.until(lambda: any(self.leads(ip) for ip in side))
        return next(ip for ip in side if self.leads(ip))

    def leads(self, ip: str) -> bool:
        """Whether a member is a primary."""
        return isinstance(self.cluster.groups[ip].role(), Primary)

    async def assert_everywhere(self, status: int, document: dict[str, Any], base: int) -> None:
        """Require the same clear answer of every member."""
        for ip in FIRST_MEMBERS:
            self.assertEqual(status, await self.send_until_clear(ip, document, base), ip)


class CutTest(CutCase):
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

    async def test_no_reading_on_either_side_of_a_cut_is_older_than_what_was_acknowledged(self) -> None:
        await self.read_while_changed()

    async def test_a_second_loss_beside_a_cut_loses_nothing_and_nobody_is_sure_meanwhile(
        self,
    ) -> None:
        taken, later = change(8, "/taken"), change(9, "/later")
        self.cut([self.primary], self.others)
        self.assertEqual(TAKEN, await self.send_until_clear(self.others[0], taken, 3))
        lost = await self.leader_of(self.others)
        await self.cluster.stop(lost)
        await self.cluster.until(lambda: not self.any_primary())
        for ip in self.cluster.groups:
            self.assertEqual(UNCLEAR, (await self.read_once(ip))[0])
            self.assertEqual(UNCLEAR, await self.send(ip, later, 8))
        self.cut()
        left = next(ip for ip in self.others if ip != lost)
        self.assertEqual(taken, await self.read(left))
        self.assertEqual(taken, await self.read(self.primary))
        self.assertEqual(TAKEN, await self.send_until_clear(self.primary, later, 8))

    def any_primary(self) -> bool:
        """Whether any member that runs is a primary."""
        return any(self.leads(ip) for ip in self.cluster.groups)


class LongLeaseTest(CutCase):
    """The lease outlasts the election on the other side, so that a round alone tells who leads."""

    timing = LONG_LEASE

    async def test_no_reading_on_either_side_of_a_cut_is_older_than_what_was_acknowledged(self) -> None:
        await self.read_while_changed()


if __name__ == "__main__":
    unittest.main()
