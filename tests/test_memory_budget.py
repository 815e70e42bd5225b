"""The memory budget: ceilings, order of waiting, and that nothing is lost or granted twice."""

from __future__ import annotations

import asyncio
import random
import unittest

from rookwood.memory_budget import MEBIBYTE, WAITER_BYTES, Holding, MemoryBudget, Purpose

TOTAL = 1000
SEEDS = 50
STEPS = 200


class MemoryBudgetTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.budget = MemoryBudget(TOTAL, connections=10)

    def test_large_bodies_leave_room_for_small_ones_and_these_for_responses(self) -> None:
        self.assertTrue(self.budget.take(500, Purpose.LARGE_BODY))
        self.assertFalse(self.budget.take(1, Purpose.LARGE_BODY))
        self.assertTrue(self.budget.take(250, Purpose.SMALL_BODY))
        self.assertFalse(self.budget.take(1, Purpose.SMALL_BODY))
        self.assertTrue(self.budget.take(250, Purpose.RESPONSE))
        self.assertFalse(self.budget.take(1, Purpose.RESPONSE))

    def test_responses_of_stalled_workers_leave_room_for_requests(self) -> None:
        for _ in range(5):
            self.assertTrue(self.budget.take(100, Purpose.RESPONSE))
        self.assertFalse(self.budget.take(100, Purpose.RESPONSE))
        self.assertTrue(self.budget.take(250, Purpose.SMALL_BODY))

    def test_links_find_room_beside_all_others(self) -> None:
        self.assertTrue(self.budget.take(TOTAL, Purpose.RESPONSE))
        self.assertTrue(self.budget.take(TOTAL // 4, Purpose.LINK))
        self.assertFalse(self.budget.take(1, Purpose.LINK))
        self.assertFalse(self.budget.take(1, Purpose.RESPONSE))

    def test_a_body_above_its_ceiling_is_granted_alone(self) -> None:
        self.assertTrue(self.budget.take(900, Purpose.LARGE_BODY))
        self.assertFalse(self.budget.take(900, Purpose.LARGE_BODY))
        self.budget.release(900, Purpose.LARGE_BODY)
        self.assertTrue(self.budget.take(1, Purpose.LARGE_BODY))
        self.assertFalse(self.budget.take(900, Purpose.LARGE_BODY))

    def test_the_settings_bound_bytes_and_connections(self) -> None:
        budget = MemoryBudget.for_memory(300)
        self.assertEqual(75 * MEBIBYTE, budget.total)
        self.assertEqual(1200, budget.connections)

    async def test_waiters_are_served_in_order_of_arrival(self) -> None:
        self.budget.take(500, Purpose.LARGE_BODY)
        granted: list[int] = []

        async def wait(number: int, size: int) -> None:
            await self.budget.reserve(size, Purpose.LARGE_BODY)
            granted.append(number)

        tasks = [asyncio.create_task(wait(number, size)) for number, size in enumerate((400, 50, 50))]
        await asyncio.sleep(0)
        self.assertFalse(self.budget.take(1, Purpose.LARGE_BODY))
        self.budget.release(100, Purpose.LARGE_BODY)
        await asyncio.sleep(0)
        self.assertEqual([], granted)
        self.budget.release(400, Purpose.LARGE_BODY)
        await asyncio.gather(*tasks)
        self.assertEqual([0, 1, 2], granted)

    async def test_a_wait_without_room_for_what_was_sent_already_is_refused_at_once(self) -> None:
        budget = MemoryBudget(2 * WAITER_BYTES, connections=10)
        budget.take(WAITER_BYTES, Purpose.LARGE_BODY)
        holding = Holding(budget, Purpose.LARGE_BODY)
        self.assertFalse(await holding.take_within(10, seconds=3600.0))
        self.assertTrue(holding.is_empty)

    async def test_no_byte_is_lost_or_granted_twice_whoever_gives_up(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, draw: random.Random) -> None:
        """Random needs, growth, releases and cancelled waits; at the end nothing is held."""
        budget = MemoryBudget(TOTAL, connections=10)
        tasks: list[asyncio.Task[None]] = []

        async def hold(purpose: Purpose, sizes: list[int], turns: int) -> None:
            with Holding(budget, purpose) as holding:
                for size in sizes:
                    await holding.resize(size)
                for _ in range(turns):
                    await asyncio.sleep(0)

        for _ in range(STEPS):
            purpose = draw.choice(list(Purpose))
            sizes = [draw.randrange(1, int(purpose.value * TOTAL) // 2) for _ in range(draw.randrange(1, 3))]
            tasks.append(asyncio.create_task(hold(purpose, sizes, draw.randrange(4))))
            if draw.random() < 0.4:
                draw.choice(tasks).cancel()
            await asyncio.sleep(0)
            links = budget.held_for(Purpose.LINK)
            self.assertLessEqual(budget.held - links, TOTAL)
            self.assertLessEqual(budget.held, Purpose.LINK.value * TOTAL)
            self.assertGreaterEqual(budget.held, 0)
        for task in tasks:
            task.cancel()
        async with asyncio.timeout(10.0):
            await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(0, budget.held)
        self.assertTrue(budget.take(TOTAL, Purpose.RESPONSE))
