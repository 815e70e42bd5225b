"""Operators on both sides of a network partition: the operator API on real control groups."""

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
ACCEPTED, CONFLICT, UNDECIDED = 200, 412, 503
TIMEOUT = 15.0
RETRY_DELAY = 0.05
READS = 2
VERSIONS_IN_PARTITIONS = (8, 9)


def change(version: int, health: str) -> dict[str, Any]:
    """Return a configuration that differs from others in its version and one value."""
    return {**FIRST, "ver": version, "svcs": [{"name": "pages", "health": health, "max-conns": 64}]}


class PartitionCase(unittest.IsolatedAsyncioTestCase):
    """Three control machines with the operator API, which a test can partition from each other."""

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
            self.intercept_sends(ip)
        self.primary = await self.cluster.until_led()
        self.assertEqual(ACCEPTED, await self.send_until_decided(self.primary, FIRST, 0))
        await self.cluster.until(lambda: len({self.cluster.payload(ip) for ip in FIRST_MEMBERS}) == 1)
        self.others = [ip for ip in FIRST_MEMBERS if ip != self.primary]

    async def serve(self, ip: str) -> None:
        """Serve the operator API of a member."""
        address = f"{ip}:{self.port}"
        document = {"hostname": ip, "ip": ip, "listen": {"ctl": address}, "port-range": [1, 5], "seeds": []}
        application = web.Application()
        OperatorApi(parse_settings(document), self.cluster.groups[ip]).add_routes(application)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, ip, self.port).start()

    def intercept_sends(self, ip: str) -> None:
        """Silently drop a member's messages to members on another side of a partition."""
        transport = self.cluster.groups[ip]._transport
        send = transport.send

        def send_unless_partitioned(to: str, message: Message) -> None:
            if self.sides[ip] == self.sides[to]:
                send(to, message)

        self.enterContext(mock.patch.object(transport, "send", send_unless_partitioned))

    def partition(self, *sides: list[str]) -> None:
        """Partition the members into these sides; without arguments, end the partition."""
        self.sides = dict.fromkeys(FIRST_MEMBERS, 0)
        for number, side in enumerate(sides):
            self.sides.update(dict.fromkeys(side, number))

    async def send(self, ip: str, document: dict[str, Any], base: int) -> int:
        """Send a change to a member, following redirects; return its status, 503 without a response."""
        try:
            async with self.client.put(
                f"http://{ip}:{self.port}/config",
                data=json.dumps(document),
                headers={"If-Match": str(base)},
            ) as response:
                return response.status
        except (OSError, TimeoutError):
            return UNDECIDED

    async def send_until_decided(self, ip: str, document: dict[str, Any], base: int) -> int:
        """Send a change to a member until its status is not 503."""
        async with asyncio.timeout(TIMEOUT):
            while (status := await self.send(ip, document, base)) == UNDECIDED:
                await asyncio.sleep(RETRY_DELAY)
        return status

    async def read(self, ip: str) -> object:
        """Return the configuration that a member serves, retrying until it does."""
        async with asyncio.timeout(TIMEOUT):
            while True:
                async with self.client.get(f"http://{ip}:{self.port}/config") as response:
                    if response.status == ACCEPTED:
                        return await response.json()
                await asyncio.sleep(RETRY_DELAY)

    async def read_once(self, ip: str) -> tuple[int, Any]:
        """Read from a member once, following redirects; the status is 503 without a response."""
        try:
            async with self.client.get(f"http://{ip}:{self.port}/config") as response:
                return response.status, await response.json()
        except (OSError, TimeoutError):
            return UNDECIDED, None

    async def assert_current_or_undecided(self, expected: dict[str, Any]) -> None:
        """Check that every member, read concurrently, returns the newest configuration or 503."""
        for status, document in await asyncio.gather(*(self.read_once(ip) for ip in self.cluster.groups)):
            self.assertIn(status, (ACCEPTED, UNDECIDED))
            if status == ACCEPTED:
                self.assertEqual(expected, document)

    async def assert_current_or_undecided_during(
        self, sending: asyncio.Task[int], old: dict[str, Any], new: dict[str, Any]
    ) -> None:
        """Check that reads return the old or the new configuration or 503, until the change is decided."""
        while not sending.done():
            for status, document in await asyncio.gather(*(self.read_once(ip) for ip in FIRST_MEMBERS)):
                self.assertIn(status, (ACCEPTED, UNDECIDED))
                self.assertIn(document if status == ACCEPTED else old, (old, new))

    async def read_during_partitioned_changes(self) -> None:
        """Isolate the primary, make a change on the other side, and read from all members meanwhile.

        The reads begin with the partition, when the isolated primary does not know of it yet.
        """
        newest = FIRST
        for version in VERSIONS_IN_PARTITIONS:
            self.partition([self.primary], self.others)
            changed = change(version, f"/{version}")
            successor = await self.leader_of(self.others)
            sending = asyncio.create_task(self.send(successor, changed, newest["ver"]))
            await self.assert_current_or_undecided_during(sending, newest, changed)
            self.assertEqual(ACCEPTED, await sending)
            newest = changed
            for _ in range(READS):
                await self.assert_current_or_undecided(newest)
            self.partition()
            self.assertEqual(newest, await self.read(self.primary))
            self.primary = await self.cluster.until_led()
            self.others = [ip for ip in FIRST_MEMBERS if ip != self.primary]

    async def leader_of(self, side: list[str]) -> str:
        """Return the primary among these members, waiting until there is one."""
        await self.cluster.until(lambda: any(self.is_primary(ip) for ip in side))
        return next(ip for ip in side if self.is_primary(ip))

    def is_primary(self, ip: str) -> bool:
        """Return whether a member is primary."""
        return isinstance(self.cluster.groups[ip].role(), Primary)

    async def assert_everywhere(self, status: int, document: dict[str, Any], base: int) -> None:
        """Check that every member responds to a change with this status."""
        for ip in FIRST_MEMBERS:
            self.assertEqual(status, await self.send_until_decided(ip, document, base), ip)


class PartitionTest(PartitionCase):
    async def test_of_concurrent_changes_on_both_sides_that_of_the_majority_is_accepted(self) -> None:
        isolated, accepted = change(8, "/cut-off"), change(8, "/taken")
        self.partition([self.primary], self.others)
        statuses = await asyncio.gather(
            self.send(self.primary, isolated, 3), self.send_until_decided(self.others[0], accepted, 3)
        )
        self.assertEqual([UNDECIDED, ACCEPTED], statuses)
        self.assertEqual(UNDECIDED, await self.send(self.primary, isolated, 3), "decided while isolated")
        self.assertEqual(UNDECIDED, await self.send(self.primary, accepted, 3), "decided while isolated")
        self.partition()
        await self.assert_everywhere(CONFLICT, isolated, 3)
        await self.assert_everywhere(ACCEPTED, accepted, 3)
        self.assertEqual(accepted, await self.read(self.primary))

    async def test_change_accepted_before_a_partition_is_acknowledged_again_on_the_other_side(self) -> None:
        accepted, later = change(8, "/mine"), change(9, "/later")
        self.assertEqual(ACCEPTED, await self.send(self.primary, accepted, 3))
        self.partition([self.primary], self.others)
        self.assertEqual(ACCEPTED, await self.send_until_decided(self.others[0], accepted, 3))
        self.assertEqual(ACCEPTED, await self.send_until_decided(self.others[1], later, 8))
        self.assertEqual(ACCEPTED, await self.send_until_decided(self.others[0], accepted, 3))
        self.assertEqual(
            UNDECIDED, await self.send(self.primary, accepted, 3), "an isolated primary cannot decide"
        )
        self.partition()
        await self.assert_everywhere(ACCEPTED, accepted, 3)
        await self.assert_everywhere(CONFLICT, change(8, "/other"), 3)

    async def test_change_sent_while_no_side_has_a_majority_is_decided_once_after_the_partition(self) -> None:
        late, other = change(8, "/late"), change(8, "/other")
        self.partition(*([ip] for ip in FIRST_MEMBERS))
        for ip in (self.primary, *self.others):
            self.assertEqual(UNDECIDED, await self.send(ip, late, 3))
        self.partition()
        await self.assert_everywhere(ACCEPTED, late, 3)
        await self.assert_everywhere(CONFLICT, other, 3)

    async def test_no_read_on_either_side_of_a_partition_is_older_than_an_acknowledged_change(self) -> None:
        await self.read_during_partitioned_changes()

    async def test_loss_of_a_member_during_a_partition_loses_no_change_and_nothing_is_decided_meanwhile(
        self,
    ) -> None:
        accepted, later = change(8, "/taken"), change(9, "/later")
        self.partition([self.primary], self.others)
        self.assertEqual(ACCEPTED, await self.send_until_decided(self.others[0], accepted, 3))
        lost = await self.leader_of(self.others)
        await self.cluster.stop(lost)
        await self.cluster.until(lambda: not self.any_primary())
        for ip in self.cluster.groups:
            self.assertEqual(UNDECIDED, (await self.read_once(ip))[0])
            self.assertEqual(UNDECIDED, await self.send(ip, later, 8))
        self.partition()
        remaining = next(ip for ip in self.others if ip != lost)
        self.assertEqual(accepted, await self.read(remaining))
        self.assertEqual(accepted, await self.read(self.primary))
        self.assertEqual(ACCEPTED, await self.send_until_decided(self.primary, later, 8))

    def any_primary(self) -> bool:
        """Return whether any running member is primary."""
        return any(self.is_primary(ip) for ip in self.cluster.groups)


class LongLeaseTest(PartitionCase):
    """The lease outlasts the election on the other side, so only a heartbeat round shows who is primary."""

    timing = LONG_LEASE

    async def test_no_read_on_either_side_of_a_partition_is_older_than_an_acknowledged_change(self) -> None:
        await self.read_during_partitioned_changes()


if __name__ == "__main__":
    unittest.main()
