"""A control machine stays within its memory and descriptors, and serves others, whatever a crowd does."""

from __future__ import annotations

from rookwood.lab.systemstage.configuration import Configuration, RouteSpec
from rookwood.metrics.server import METRICS_PORT
from tests.crowds.bounds import CONFIGURATION, SERVED_WITHIN_S, BoundsCase
from tests.crowds.crowd import Crowd, pieces, request, unfinished_head
from tests.crowds.footprint import MEBIBYTE

BODY_BYTES = 4 * MEBIBYTE  # the largest configuration
AHEAD_BYTES = 400 * 1024
EXTRA_ROUTES = 4000


class ControlCrowdCase(BoundsCase):
    """One control machine with low limits and a configuration."""

    configuration = CONFIGURATION

    async def asyncSetUp(self) -> None:
        await self.start_stage(control_planes=1, data_planes=0)
        self.control = self.stage.control_planes[0]
        await self.stage.configure(self.configuration)
        await self.watch(self.control)

    async def crowd(self, port: int | None = None) -> Crowd:
        """A crowd at the port for workers and the operator, or at another one."""
        settings = self.control.settings
        return await self.enterAsyncContext(Crowd(f"{settings.ip}:{port or settings.ports.control}"))

    async def check_bounds(self) -> None:
        """The operator is answered beside the crowd, and no bound was passed until then."""
        answer = await self.stage.operator.get(within_s=SERVED_WITHIN_S)
        self.assertEqual(answer.json(), self.configuration.document())
        worker = await self.stage.add_worker(CONFIGURATION.service("pages"))
        await self.stage.wait_for_workers(worker, within_s=SERVED_WITHIN_S)
        self.check_footprint()


class ControlCrowdTest(ControlCrowdCase):
    """Bodies, heads and connections."""

    async def test_bodies_that_never_end(self) -> None:
        crowd = await self.crowd()
        unfinished = request("/config", b" " * (BODY_BYTES - 1), length=BODY_BYTES).replace(b"POST", b"PUT")
        await crowd.join(*(pieces(unfinished) for _ in range(40)))
        await crowd.settle()
        await self.check_bounds()

    async def test_configurations_of_the_largest_size_at_once(self) -> None:
        crowd = await self.crowd()
        whole = request("/config", b" " * BODY_BYTES, headers="If-Match: 1\r\n").replace(b"POST", b"PUT")
        await crowd.join(*(pieces(whole) for _ in range(40)))
        await crowd.settle()
        await self.check_bounds()

    async def test_heartbeats_sent_ahead(self) -> None:
        crowd = await self.crowd()
        heartbeat = request("/workers/i-crowd", b" " * AHEAD_BYTES).replace(b"POST", b"PUT")
        await crowd.join(*(pieces(heartbeat, repeat=40) for _ in range(32)))
        await crowd.settle()
        await self.check_bounds()

    async def test_heads_that_never_end(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(unfinished_head("/config", 120, 8000)) for _ in range(200)))
        await crowd.settle()
        await self.check_bounds()

    async def test_connections_without_a_request(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*([] for _ in range(700)))
        await crowd.settle()
        await self.check_bounds()

    async def test_connections_without_a_request_at_metrics(self) -> None:
        crowd = await self.crowd(METRICS_PORT)
        await crowd.join(*([] for _ in range(700)))
        await crowd.settle()
        await self.check_bounds()


class LargeConfigurationTest(ControlCrowdCase):
    """Answers with a large configuration that nobody reads."""

    configuration = Configuration(
        1,
        (
            *CONFIGURATION.routes,
            *(RouteSpec(f"extra-{number}", "pages", f"/extra-{number}/") for number in range(EXTRA_ROUTES)),
        ),
        CONFIGURATION.services,
    )

    async def test_answers_that_nobody_reads(self) -> None:
        crowd = await self.crowd()
        read = request("/config", b"").replace(b"POST", b"GET")
        await crowd.join(*(pieces(read, repeat=20) for _ in range(100)))
        await crowd.settle()
        await self.check_bounds()
