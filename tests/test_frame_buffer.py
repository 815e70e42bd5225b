"""Frames cut out of the bytes of a link, whatever pieces these come in."""

from __future__ import annotations

import random
import unittest

from rookwood.cluster.frame_buffer import FrameBuffer
from rookwood.cluster.frames import HEADER, MAX_FRAME_BYTES, FrameError, decode_message, encode_frame
from rookwood.cluster.messages import Heartbeat, Message, WorkerGone, WorkerUpdates
from rookwood.cluster.workers import WorkerRecord, WorkerState

RECORD = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
MESSAGES: tuple[Message, ...] = (
    Heartbeat("10.0.0.7", 1, 2, 3.5),
    WorkerGone("i-1", deleted=True),
    WorkerUpdates((RECORD,) * 40, complete=True, ended=("i-2", "i-3")),
    Heartbeat("10.0.0.8"),
)


def take_all(buffer: FrameBuffer) -> list[Message]:
    """Every whole message in the buffer."""
    taken = []
    while (frame := buffer.next_frame()) is not None:
        taken.append(decode_message(frame.type_number, frame.body))
    return taken


class FrameBufferTests(unittest.TestCase):
    def test_every_way_to_cut_the_bytes_gives_the_same_messages(self) -> None:
        data = b"".join(encode_frame(message) for message in MESSAGES)
        randomness = random.Random(7)
        for _ in range(200):
            buffer = FrameBuffer()
            taken = []
            start = 0
            while start < len(data):
                end = start + randomness.randint(1, 400)
                buffer.add(data[start:end])
                taken += take_all(buffer)
                start = end
            self.assertEqual(list(MESSAGES), taken)
            self.assertEqual(0, len(buffer))

    def test_a_frame_is_begun_once_its_header_is_whole(self) -> None:
        frame = encode_frame(MESSAGES[0])
        buffer = FrameBuffer()
        buffer.add(frame[: HEADER.size - 1])
        self.assertFalse(buffer.has_partial_frame())
        buffer.add(frame[HEADER.size - 1 : HEADER.size])
        self.assertTrue(buffer.has_partial_frame())
        self.assertIsNone(buffer.next_frame())
        buffer.add(frame[HEADER.size :])
        self.assertEqual([MESSAGES[0]], take_all(buffer))
        self.assertFalse(buffer.has_partial_frame())

    def test_a_frame_beyond_the_limit_is_refused_before_it_came(self) -> None:
        buffer = FrameBuffer()
        buffer.add(HEADER.pack(MAX_FRAME_BYTES + 1, 0))
        with self.assertRaises(FrameError):
            buffer.next_frame()


if __name__ == "__main__":
    unittest.main()
