"""Many changes a second of a large configuration, over links that are far slower than copies of it all."""

from __future__ import annotations

import time
import unittest
from functools import partial

from rookwood.lab.soak.changes import ChangeSender, large_configuration, numbered_route
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

LINK_RATE = 80_000  # bytes/s: two whole configurations a second
CHANGES_PER_S = 20.0
SENDING_S = 4.0
LEAST_CHANGES = 40  # acknowledged before the data planes are asked, or the test says nothing
APPLY_S = 2.0
CONFIGURATION = large_configuration()


class ConfigurationRateTest(unittest.IsolatedAsyncioTestCase):
    """Data planes that follow a quick series of changes."""

    async def begin(self) -> SystemStage:
        """Two data planes with slow links, ready under the first configuration."""
        stage = await self.enterAsyncContext(SystemStage(feed_rate=LINK_RATE))
        await stage.add_worker(CONFIGURATION.service("pages"))
        await stage.wait_for_workers()
        return stage

    async def test_every_data_plane_serves_the_newest_route_within_its_bound(self) -> None:
        stage = await self.begin()
        sender = ChangeSender(stage.operator, seed=1, whole_every=0)
        await sender.send_first()
        await stage.wait_until_ready()
        await sender.send_for(SENDING_S, CHANGES_PER_S)
        while len(sender.log.acknowledged) <= LEAST_CHANGES:  # on a busy machine
            await sender.send_for(1.0, CHANGES_PER_S)
        self.assertEqual(sender.log.refused, [])
        route = numbered_route(sender.log.newest)

        async def serves_newest(data_plane: SystemProcess) -> bool:
            return (await stage.client.send(data_plane, route)).served

        for data_plane in stage.data_planes:
            description = f"{data_plane.name} serves version {sender.log.newest}"
            left_s = sender.log.acknowledged[-1].at + APPLY_S - time.monotonic()
            await eventually(partial(serves_newest, data_plane), description, left_s)
        self.assertEqual([], stage.violated_invariants())


if __name__ == "__main__":
    unittest.main()
