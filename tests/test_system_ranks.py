"""Two ranks of one service at full workers: the more urgent is served no less often."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from rookwood.lab.emulatedworker.slots import SlotPool
from rookwood.lab.systemstage.client import TryOptions
from rookwood.lab.systemstage.configuration import RouteKind, RouteSpec, small_configuration
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage

URGENT = RouteSpec("urgent", "engine", "/urgent/", RouteKind.STREAM, priority=0, resume=True)
LATER = RouteSpec("later", "engine", "/later/", RouteKind.STREAM, priority=4, resume=True)
PLAIN = small_configuration()
CONFIGURATION = replace(PLAIN, routes=(*PLAIN.routes, URGENT, LATER))
SLOTS = 2
WORK_S = 0.1
TIME_LEFT_MS = 1_500
REQUESTS = 24  # of each rank: with both, about twice what two slots serve in the time


class SlotPoolTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_most_urgent_is_let_in_first_and_equals_in_their_order(self) -> None:
        pool = SlotPool(1, 9)
        self.assertTrue(await pool.acquire(1.0))
        order: list[str] = []

        async def take(name: str, urgency: int) -> None:
            self.assertTrue(await pool.acquire(5.0, urgency))
            order.append(name)
            pool.release()

        waiting = [take("a", 5), take("b", 2), take("c", 5), take("d", 2)]
        tasks = [asyncio.create_task(one) for one in waiting]
        await asyncio.wait(tasks, timeout=0)
        pool.release()
        await asyncio.gather(*tasks)
        self.assertEqual(["b", "d", "a", "c"], order)
        self.assertEqual((0, 0), (pool.running, pool.waiting))

    async def test_who_gives_up_leaves_its_place_to_the_next(self) -> None:
        pool = SlotPool(1, 9)
        self.assertTrue(await pool.acquire(1.0))
        self.assertFalse(await pool.acquire(0.0))
        pool.release()
        self.assertTrue(await pool.acquire(1.0))
        self.assertEqual((1, 0), (pool.running, pool.waiting))


class RanksTest(unittest.IsolatedAsyncioTestCase):
    async def served(self, stage: SystemStage, data_plane: SystemProcess, route: RouteSpec) -> bool:
        """Whether a request is served within its time."""
        options = TryOptions(time_left_ms=TIME_LEFT_MS, events=1)
        return (await stage.client.send(data_plane, route, "alpha", options)).served

    async def test_the_more_urgent_is_served_more_often_where_not_all_can_be(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=2))
        (worker,) = await stage.begin_day(CONFIGURATION, held=(("alpha",),))
        worker.slots = SlotPool(SLOTS, 4 * REQUESTS)
        worker.settings = replace(worker.settings, work_s=WORK_S)
        calls = [
            self.served(stage, stage.data_planes[number % 2], route)
            for number in range(REQUESTS)
            for route in (LATER, URGENT)
        ]
        answers = await asyncio.gather(*calls)
        later, urgent = sum(answers[0::2]), sum(answers[1::2])
        self.assertLess(urgent + later, 2 * REQUESTS, "the worker was full")
        self.assertGreater(urgent, later, "in the order in which they came, the later ones would be first")
        self.assertEqual([], stage.broken_rules())


if __name__ == "__main__":
    unittest.main()
