"""Peers at the ports between machines that send without end: a control machine stays within bounds."""

from __future__ import annotations

from collections.abc import Iterator

from rookwood.cluster.frames import HEADER, MAX_FRAME_BYTES, encode_frame
from rookwood.cluster.messages import Hello, WorkerUpdates
from rookwood.coordination.framing import LENGTH_BYTES, Channel, Preamble
from rookwood.coordination.framing import MAX_FRAME_BYTES as MAX_REPLICATION_FRAME_BYTES
from tests.crowds.bounds import CONFIGURATION, SERVED_WITHIN_S, BoundsCase
from tests.crowds.crowd import PIECE, Crowd, pieces

UPDATES_TYPE = encode_frame(WorkerUpdates((), False))[HEADER.size - 1]
LARGE_HEADER = HEADER.pack(MAX_FRAME_BYTES, UPDATES_TYPE)


def hello(number: int) -> bytes:
    """The first frame of a dispatcher."""
    return encode_frame(Hello(f"127.1.{number // 250}.{number % 250}", "edge", "z1", 1))


def unfinished(begin: bytes, size: int) -> Iterator[bytes]:
    """All but the last byte of a frame that has so many."""
    return pieces(begin + bytes(size - 1))


def without_end(begin: bytes) -> Iterator[bytes]:
    """Bytes that never end."""
    yield begin
    while True:
        yield bytes(PIECE)


class EndlessFrameTest(BoundsCase):
    """One control machine, called at its ports for feeds and for replication."""

    async def asyncSetUp(self) -> None:
        await self.start_stage(control_planes=1, data_planes=1)
        await self.stage.add_worker(CONFIGURATION.service("pages"))
        await self.stage.add_worker(CONFIGURATION.service("engine"), ["alpha"])
        await self.stage.configure(CONFIGURATION)
        await self.stage.wait_for_workers()
        await self.stage.wait_until_ready()
        await self.watch(self.stage.control_planes[0])
        ports = self.watched.settings.ports
        self.feed_port = ports.feed
        self.replication_port = ports.internal[0]

    async def join(self, port: int, *messages: Iterator[bytes]) -> None:
        crowd = await self.enterAsyncContext(Crowd(f"{self.watched.settings.ip}:{port}"))
        await crowd.join(*messages)
        await crowd.settle()

    async def check(self) -> None:
        """The operator is answered, a dispatcher is linked, a worker is taken, and no bound was passed."""
        answer = await self.stage.operator.get(within_s=SERVED_WITHIN_S)
        self.assertEqual(answer.json(), CONFIGURATION.document())
        worker = await self.stage.add_worker(CONFIGURATION.service("pages"))
        await self.stage.wait_for_workers(worker, within_s=SERVED_WITHIN_S)
        await self.stage.wait_until_ready(within_s=SERVED_WITHIN_S)
        page = CONFIGURATION.route("page")
        await self.stage.client.send_until_served(self.stage.data_planes[0], page, within_s=SERVED_WITHIN_S)
        self.check_footprint()

    async def test_frames_without_a_hello(self) -> None:
        await self.join(self.feed_port, *(unfinished(LARGE_HEADER, MAX_FRAME_BYTES) for _ in range(40)))
        await self.check()

    async def test_frames_that_never_end_behind_a_hello(self) -> None:
        await self.join(
            self.feed_port,
            *(unfinished(hello(number) + LARGE_HEADER, MAX_FRAME_BYTES) for number in range(40)),
        )
        await self.check()

    async def test_endless_bytes_in_place_of_frames(self) -> None:
        await self.join(self.feed_port, *(without_end(hello(number)) for number in range(40)))
        await self.check()

    async def test_links_without_a_frame(self) -> None:
        await self.join(self.feed_port, *(iter([]) for _ in range(700)))
        await self.check()

    async def test_replication_frames_that_never_end(self) -> None:
        begin = MAX_REPLICATION_FRAME_BYTES.to_bytes(LENGTH_BYTES)
        preambles = (
            Preamble(channel, f"127.0.1.{number}", number + 1).encode()
            for number in range(20)
            for channel in Channel
        )
        await self.join(
            self.replication_port,
            *(unfinished(preamble + begin, MAX_REPLICATION_FRAME_BYTES) for preamble in preambles),
        )
        await self.check()

    async def test_endless_bytes_in_place_of_a_preamble(self) -> None:
        await self.join(self.replication_port, *(without_end(b"") for _ in range(40)))
        await self.check()

    async def test_replication_connections_without_a_preamble(self) -> None:
        await self.join(self.replication_port, *(iter([]) for _ in range(700)))
        await self.check()
