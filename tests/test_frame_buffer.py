"""Splitting the byte stream of a link into frames, wherever the received chunks begin and end."""

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


def decode_all(buffer: FrameBuffer) -> list[Message]:
    """Remove and decode every complete frame in the buffer."""
    decoded = []
    while (frame := buffer.next_frame()) is not None:
        decoded.append(decode_message(frame.type_number, frame.body))
    return decoded


class FrameBufferTests(unittest.TestCase):
    def test_bytes_split_at_any_points_give_the_same_messages(self) -> None:
        data = b"".join(encode_frame(message) for message in MESSAGES)
        generator = random.Random(7)
        for _ in range(200):
            buffer = FrameBuffer()
            decoded = []
            start = 0
            while start < len(data):
                end = start + generator.randint(1, 400)
                buffer.add(data[start:end])
                decoded += decode_all(buffer)
                start = end
            self.assertEqual(list(MESSAGES), decoded)
            self.assertEqual(0, len(buffer))

    def test_a_frame_has_begun_once_its_header_is_complete(self) -> None:
        frame = encode_frame(MESSAGES[0])
        buffer = FrameBuffer()
        buffer.add(frame[: HEADER.size - 1])
        self.assertFalse(buffer.has_partial_frame())
        buffer.add(frame[HEADER.size - 1 : HEADER.size])
        self.assertTrue(buffer.has_partial_frame())
        self.assertIsNone(buffer.next_frame())
        buffer.add(frame[HEADER.size :])
        self.assertEqual([MESSAGES[0]], decode_all(buffer))
        self.assertFalse(buffer.has_partial_frame())

    def test_a_frame_beyond_the_limit_is_rejected_before_its_body_arrives(self) -> None:
        buffer = FrameBuffer()
        buffer.add(HEADER.pack(MAX_FRAME_BYTES + 1, 0))
        with self.assertRaises(FrameError):
            buffer.next_frame()


if __name__ == "__main__":
    unittest.main()
