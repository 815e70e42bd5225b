"""System tests: a dispatcher has one feed, and misses no update when the control machine behind it fails."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
import urllib.request
from functools import partial

from rookwood.cluster.control_status import STATUS_PATH, MachineStatus
from rookwood.lab.systemstage.configuration import RouteKind, RouteSpec, small_configuration
from rookwood.lab.systemstage.feed_relay import Direction, FeedRelay
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

FIRST = small_configuration(version=3)
SECOND = FIRST.with_route(8, RouteSpec("new", "pages", "/new/", RouteKind.MUTATING))
FAST = 50_000_000.0  # bytes/s
CALL_LIMIT_S = 1.0


def reporting_dispatchers(machine: SystemProcess) -> int:
    """How many dispatchers report to a control machine; 0 if it does not respond."""
    url = f"http://{machine.control_address}{STATUS_PATH}"
    try:
        with urllib.request.urlopen(url, timeout=CALL_LIMIT_S) as response:
            status = MachineStatus.from_json(json.loads(response.read()))
    except OSError:
        return 0
    return status.dispatchers.reporting if status.dispatchers is not None else 0


class OneFeedTest(unittest.IsolatedAsyncioTestCase):
    """Three control machines behind relays, one dispatcher."""

    feeding_machine: SystemProcess

    async def asyncSetUp(self) -> None:
        self.stage = await self.enterAsyncContext(SystemStage(3, 1, feed_rate=FAST))
        await self.stage.add_worker(FIRST.service("pages"))
        await self.stage.configure(FIRST)
        await self.stage.wait_for_workers()
        await self.stage.wait_until_ready()
        (self.data_plane,) = self.stage.data_planes
        await eventually(self.has_one_feed, "one control machine feeds the dispatcher")

    async def feeding_machines(self) -> list[SystemProcess]:
        """The control machines to which the dispatcher reports."""
        machines = self.stage.control_planes
        counts = await asyncio.gather(*(asyncio.to_thread(reporting_dispatchers, m) for m in machines))
        return [machine for machine, count in zip(machines, counts, strict=True) if count]

    async def has_one_feed(self) -> bool:
        """Whether exactly one machine feeds the dispatcher, which is then kept in `feeding_machine`.

        At times there are two, while the dispatcher tries a better one.
        """
        feeding = await self.feeding_machines()
        if len(feeding) == 1:
            (self.feeding_machine,) = feeding
        return len(feeding) == 1

    def feeding_relay(self) -> FeedRelay:
        """The relay on the link to the machine that feeds the dispatcher."""
        (relays,) = self.stage.feed_relays
        return next(relay for relay in relays.relays if relay.control_ip == self.feeding_machine.settings.ip)

    async def assert_next_configuration_is_in_force_in_time(self) -> None:
        """Make a change and check that it is in force within `apply-ms` of its acknowledgement."""
        await self.stage.configure(SECOND, 3)
        acknowledged = time.monotonic()
        limit = self.stage.timing.apply_ms / 1000
        await eventually(partial(self.is_served, "new"), "the new route is served", limit)
        self.assertLess(time.monotonic() - acknowledged, limit)
        self.assertEqual([], self.stage.broken_rules())

    async def is_served(self, route: str) -> bool:
        """Whether the dispatcher serves a request on the route."""
        return (await self.stage.client.send(self.data_plane, SECOND.route(route))).served

    async def test_the_next_configuration_is_in_time_after_the_feeding_machine_is_killed(self) -> None:
        await self.feeding_machine.kill()
        await self.assert_next_configuration_is_in_force_in_time()
        await eventually(self.has_one_feed, "another machine feeds the dispatcher")

    async def test_the_next_configuration_is_in_time_while_the_feeding_machine_is_frozen(self) -> None:
        self.feeding_machine.freeze()
        await self.assert_next_configuration_is_in_force_in_time()
        self.feeding_machine.thaw()

    async def test_another_machine_feeds_while_the_feed_is_cut_in_one_direction_or_both(self) -> None:
        for direction in (Direction.DOWN, Direction.UP):
            with self.subTest(direction=direction):
                self.feeding_relay().cut(direction)
                await eventually(self.has_another_feed, "another machine feeds the dispatcher")
                self.feeding_relay().heal()
                await eventually(self.has_one_feed, "one feed is left")
        self.feeding_relay().cut()
        await self.assert_next_configuration_is_in_force_in_time()

    async def has_another_feed(self) -> bool:
        """Whether the dispatcher reports to a machine that did not feed it."""
        return any(machine is not self.feeding_machine for machine in await self.feeding_machines())

    async def test_the_next_configuration_is_in_time_after_repeated_resets(self) -> None:
        for _ in range(3):
            self.feeding_relay().reset()
            await eventually(self.has_one_feed, "one control machine feeds the dispatcher")
        await self.assert_next_configuration_is_in_force_in_time()

    async def test_a_drain_reaches_the_dispatcher_while_the_feeding_machine_is_frozen(self) -> None:
        """The other machines acknowledge the drain; the dispatcher must apply it within `drain-ms`."""
        second = await self.stage.add_worker(FIRST.service("pages"))
        await self.stage.wait_for_workers(second)
        (first, *_) = self.stage.workers
        self.feeding_machine.freeze()
        end = asyncio.create_task(first.drain(linger_s=0.5))
        while not end.done():
            self.assertTrue(await self.is_served("page"))
        await end
        self.assertIsNotNone(first.drain_acknowledged_at)
        self.assertEqual([], first.runs_after_drain(self.stage.timing.drain_ms / 1000))
        self.feeding_machine.thaw()


if __name__ == "__main__":
    unittest.main()
