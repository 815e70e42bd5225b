"""A dispatcher stays within its memory and descriptors, and serves others, whatever a crowd does."""

from __future__ import annotations

from dataclasses import replace

from rookwood.lab.emulatedworker.faults import Hang
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.metrics.server import METRICS_PORT
from tests.crowds.bounds import CONFIGURATION, SERVED_WITHIN_S, BoundsCase
from tests.crowds.crowd import Crowd, chunked_request, pieces, request, unfinished_head
from tests.crowds.footprint import MEBIBYTE

PAGE = CONFIGURATION.route("page")
STREAM = CONFIGURATION.route("resumable")
BODY_BYTES = 4 * MEBIBYTE  # `body-bytes` of the configuration
AHEAD_BYTES = 400 * 1024
LARGE_EVENT_BYTES = 600 * 1024


def long_named_requests(member: int) -> bytes:
    """Requests for models that nobody knows, each with a long name of its own."""
    names = (f"{member}-{number}-{'m' * 50_000}" for number in range(200))
    return b"".join(request("/resumable/1", b"{}", headers=f"X-Model: {name}\r\n") for name in names)


class DispatcherCrowdCase(BoundsCase):
    """One data plane with low limits; workers with a model, and one for pages."""

    page_worker = WorkerSettings("pages", slots=500, queue_limit=500)

    async def asyncSetUp(self) -> None:
        await self.start_stage(control_planes=1, data_planes=1)
        self.data_plane = self.stage.data_planes[0]
        self.pages = await self.stage.add_worker(CONFIGURATION.service("pages"), settings=self.page_worker)
        self.engine = await self.stage.add_worker(CONFIGURATION.service("engine"), ["alpha"])
        await self.stage.configure(CONFIGURATION)
        await self.stage.wait_for_workers()
        await self.stage.wait_until_ready()
        await self.stage.client.send_until_served(self.data_plane, STREAM, "alpha")
        await self.watch(self.data_plane)

    async def crowd(self, port: int | None = None) -> Crowd:
        """A crowd at the clients' port of the data plane, or at another one."""
        settings = self.data_plane.settings
        address = f"{settings.ip}:{port or settings.ports.edge}"
        return await self.enterAsyncContext(Crowd(address))

    async def check_bounds(self) -> None:
        """An ordinary request is served beside the crowd, and no bound was passed until then."""
        await self.stage.client.send_until_served(self.data_plane, STREAM, "alpha", within_s=SERVED_WITHIN_S)
        self.check_footprint()


class BodyCrowdTest(DispatcherCrowdCase):
    """Bodies under way, and bodies that are queued."""

    async def test_requests_sent_ahead_with_bodies(self) -> None:
        self.pages.inject(Hang(), times=None)
        crowd = await self.crowd()
        ahead = request("/page/1", b"b" * AHEAD_BYTES)
        await crowd.join(*(pieces(ahead, repeat=40) for _ in range(16)))
        await crowd.settle()
        await self.check_bounds()

    async def test_bodies_of_the_largest_size_at_once(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(request("/page/1", b"b" * BODY_BYTES)) for _ in range(32)))
        await crowd.settle()
        await self.check_bounds()

    async def test_bodies_that_never_end(self) -> None:
        crowd = await self.crowd()
        unfinished = request("/page/1", b"b" * (BODY_BYTES - 1), length=BODY_BYTES)
        await crowd.join(*(pieces(unfinished) for _ in range(40)))
        await crowd.settle()
        await self.check_bounds()

    async def test_a_single_body_of_the_largest_size_is_served(self) -> None:
        crowd = await self.crowd()
        await crowd.join(pieces(request("/page/1", b"b" * BODY_BYTES)))
        await crowd.settle()
        await self.check_bounds()
        self.assertEqual(len(self.pages.records.runs), 1)


class HeadCrowdTest(DispatcherCrowdCase):
    """Heads without an end, and connections without a request."""

    async def test_heads_that_never_end(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(unfinished_head("/page/1", 100, 60_000)) for _ in range(24)))
        await crowd.settle()
        await self.check_bounds()

    async def test_heads_that_never_end_behind_a_request(self) -> None:
        self.pages.inject(Hang(), times=None)
        crowd = await self.crowd()
        ahead = request("/page/1", b"{}") + unfinished_head("/page/2", 100, 60_000)
        await crowd.join(*(pieces(ahead) for _ in range(24)))
        await crowd.settle()
        await self.check_bounds()

    async def test_trailers_that_never_end(self) -> None:
        crowd = await self.crowd()
        trailers = b"".join(b"X-%d: %s\r\n" % (number, b"t" * 60_000) for number in range(100))
        await crowd.join(*(pieces(chunked_request("/page/1", b"{}") + trailers) for _ in range(24)))
        await crowd.settle()
        await self.check_bounds()

    async def test_long_names_of_models(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(long_named_requests(member)) for member in range(8)))
        await crowd.settle()
        await self.check_bounds()

    async def test_prompts_with_many_parts(self) -> None:
        crowd = await self.crowd()
        parts = f"X-Model: beta\r\nX-Prompt-Prefix: {'p:1,' * 15_000}\r\n"
        await crowd.join(*(pieces(request("/resumable/1", b"{}", headers=parts)) for _ in range(60)))
        await crowd.settle()
        await self.check_bounds()

    async def test_small_requests_sent_ahead_with_large_heads(self) -> None:
        self.pages.inject(Hang(), times=None)
        crowd = await self.crowd()
        head = request("/page/1", b"", headers="".join(f"X-{n}: {'h' * 1000}\r\n" for n in range(15)))
        await crowd.join(*(pieces(head, repeat=100) for _ in range(120)))
        await crowd.settle()
        await self.check_bounds()

    async def test_connections_without_a_request(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*([] for _ in range(700)))
        await crowd.settle()
        await self.check_bounds()

    async def test_connections_within_a_head(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(b"GET /page/1 HTTP/1.1\r\n") for _ in range(700)))
        await crowd.settle()
        await self.check_bounds()


class UnreadAnswerTest(DispatcherCrowdCase):
    """Large answers that nobody reads."""

    page_worker = WorkerSettings("pages", slots=500, queue_limit=500, plain_body_bytes=4 * MEBIBYTE)

    async def test_answers_that_nobody_reads(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(request("/page/1", b"{}"), repeat=20) for _ in range(32)))
        await crowd.settle()
        await self.check_bounds()


class UnreadSmallAnswerTest(DispatcherCrowdCase):
    """Many small answers on a few connections, none of them read."""

    page_worker = WorkerSettings("pages", slots=500, queue_limit=500, plain_body_bytes=32 * 1024)

    async def test_small_answers_that_nobody_reads(self) -> None:
        crowd = await self.crowd()
        await crowd.join(*(pieces(request("/page/1", b"{}"), repeat=400) for _ in range(16)))
        await crowd.settle()
        await self.check_bounds()


class UnreadStreamTest(DispatcherCrowdCase):
    """Streams that nobody reads; the ordinary request goes to another worker's service."""

    async def test_streams_that_nobody_reads(self) -> None:
        settings = replace(
            CONFIGURATION.service("engine").worker_settings(),
            slots=200,
            events=40,
            event_padding_bytes=LARGE_EVENT_BYTES,
        )
        noisy = await self.stage.add_worker(CONFIGURATION.service("engine"), ["beta"], settings=settings)
        await self.stage.wait_for_workers(noisy)
        crowd = await self.crowd()
        stream = request("/resumable/1", b"{}", headers="X-Model: beta\r\n")
        await crowd.join(*(pieces(stream) for _ in range(100)))
        await crowd.settle()
        await self.check_bounds()


class OtherListenersTest(DispatcherCrowdCase):
    """The same at the listeners for readiness and metrics."""

    async def test_heads_that_never_end_at_readiness(self) -> None:
        await self.send_heads(self.data_plane.settings.ports.ready, "/readyz")

    async def test_heads_that_never_end_at_metrics(self) -> None:
        await self.send_heads(METRICS_PORT, "/metrics")

    async def test_connections_without_a_request_at_readiness(self) -> None:
        await self.connect_only(self.data_plane.settings.ports.ready)

    async def test_connections_without_a_request_at_metrics(self) -> None:
        await self.connect_only(METRICS_PORT)

    async def test_bodies_sent_ahead_at_readiness(self) -> None:
        await self.send_ahead(self.data_plane.settings.ports.ready, "/readyz")

    async def test_bodies_sent_ahead_at_metrics(self) -> None:
        await self.send_ahead(METRICS_PORT, "/metrics")

    async def test_answers_that_nobody_reads_at_metrics(self) -> None:
        crowd = await self.crowd(METRICS_PORT)
        read = request("/metrics", b"").replace(b"POST", b"GET")
        await crowd.join(*(pieces(read, repeat=1000) for _ in range(16)))
        await crowd.settle()
        await self.check_bounds()

    async def send_heads(self, port: int, path: str) -> None:
        crowd = await self.crowd(port)
        await crowd.join(*(pieces(unfinished_head(path, 120, 8000)) for _ in range(200)))
        await crowd.settle()
        await self.check_bounds()

    async def connect_only(self, port: int) -> None:
        crowd = await self.crowd(port)
        await crowd.join(*([] for _ in range(700)))
        await crowd.settle()
        await self.check_bounds()

    async def send_ahead(self, port: int, path: str) -> None:
        crowd = await self.crowd(port)
        await crowd.join(
            *(pieces(request(path, b"b" * AHEAD_BYTES), repeat=40) for _ in range(32)),
        )
        await crowd.settle()
        await self.check_bounds()
        self.assertTrue(await self.stage.is_ready(self.data_plane))
