"""Whole programs that get their processor in pieces: nothing takes the pauses between them for a loss."""

from __future__ import annotations

import unittest

from rookwood.lab.processor_quota import processor_quota
from rookwood.lab.systemstage.configuration import RouteKind, RouteSpec, small_configuration
from rookwood.lab.systemstage.stage import SystemStage

FIRST = small_configuration(version=3)
SECOND = FIRST.with_route(8, RouteSpec("new", "pages", "/new/", RouteKind.MUTATING))
SHARE = 0.4
REQUESTS = 30


class ProcessorQuotaTest(unittest.IsolatedAsyncioTestCase):
    async def test_nobody_is_taken_for_lost_and_all_requests_are_served(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=2))
        await stage.begin_day(FIRST)
        before = await stage.find_primary()
        async with processor_quota(stage.processes, SHARE):
            for number in range(REQUESTS):
                data_plane = stage.data_planes[number % 2]
                answer = await stage.client.send(data_plane, FIRST.route("page"))
                self.assertTrue(answer.served, answer)
            await stage.configure(SECOND, 3)
            for data_plane in stage.data_planes:
                await stage.client.send_until_served(data_plane, SECOND.route("new"))
        after = await stage.find_primary()
        self.assertEqual(before, after, "a pause of 60 ms in each tenth of a second deposes no primary")
        self.assertEqual([], stage.broken_rules())
        self.assertEqual([], stage.violated_invariants())


if __name__ == "__main__":
    unittest.main()
