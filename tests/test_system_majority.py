"""Whole programs: a dispatcher that starts serves only what a majority of control machines stands for."""

from __future__ import annotations

import unittest

from rookwood.lab.systemstage.configuration import Configuration, RouteKind, RouteSpec, small_configuration
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

OLD: Configuration = small_configuration(version=3)
NEW: Configuration = OLD.with_route(8, RouteSpec("new", "pages", "/new/", RouteKind.MUTATING))
PAGE = OLD.route("page")
ATTEMPTS = 3


class MajorityTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stage = await self.enterAsyncContext(SystemStage(data_planes=2))
        await self.stage.begin_day(OLD)
        await self.stage.wait_for_control_planes(OLD)
        self.running, self.starting = self.stage.data_planes

    async def leave_one_behind(self) -> tuple[SystemProcess, list[SystemProcess]]:
        """One control machine misses a change and comes back alone; returns it and those that are down."""
        primary = await self.stage.find_primary()
        behind = next(machine for machine in self.stage.control_planes if machine is not primary)
        others = [machine for machine in self.stage.control_planes if machine is not behind]
        await behind.kill()
        await self.stage.configure(NEW, 3)
        await self.stage.client.send_until_served(self.running, NEW.route("new"), within_s=2.0)
        for machine in others:
            await machine.kill()
        await behind.start()
        return behind, others

    async def answers(self) -> bool:
        """Whether the dispatcher that starts answers a client at all."""
        return (await self.stage.client.send(self.starting, PAGE)).status != 0

    async def test_a_dispatcher_that_starts_beside_a_lone_control_machine_serves_nothing(self) -> None:
        _, others = await self.leave_one_behind()
        await self.starting.kill()
        await self.starting.start()
        await eventually(self.answers, "the dispatcher that starts answers")
        for _ in range(ATTEMPTS):
            answer = await self.stage.client.send(self.starting, PAGE)
            self.assertEqual(503, answer.status, answer)
        self.assertFalse(await self.stage.is_ready(self.starting))
        for machine in others:
            await machine.start()
        await self.stage.wait_until_ready(self.starting)
        self.assertTrue((await self.stage.client.send(self.starting, NEW.route("new"))).served)
        self.assertEqual(self.stage.broken_rules(), [])

    async def test_a_dispatcher_that_serves_goes_on_without_a_majority_and_never_back(self) -> None:
        behind, _ = await self.leave_one_behind()
        await eventually(lambda: self.stage.listens(behind), "the lone control machine listens")
        for _ in range(ATTEMPTS):
            self.assertTrue((await self.stage.client.send(self.running, NEW.route("new"))).served)
            self.assertTrue((await self.stage.client.send(self.running, PAGE)).served)
        self.assertTrue(await self.stage.is_ready(self.running))
        self.assertEqual(self.stage.broken_rules(), [])


if __name__ == "__main__":
    unittest.main()
