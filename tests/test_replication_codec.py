"""Messages whose encoding changed: version 1 can still be decoded, and version 2 keeps all fields."""

import unittest

from rookwood.coordination.codec import DecodeError, decode_message, encode_message
from rookwood.coordination.document import Configuration, Document, Member, Position
from rookwood.coordination.messages import HeartbeatAck, Message, PreVoteRequest, Promise, WriteAck

CONFIGURATION = Configuration((Member("10.0.0.1"), Member("10.0.0.2", 7)))
DOCUMENT = Document(Position(3, 4), CONFIGURATION, b"p")

FIRST_VERSION: dict[str, Message] = {
    "020106120608": HeartbeatAck(3, 9, Position(3, 4)),
    "0401060608": WriteAck(3, Position(3, 4)),
    "07010a": PreVoteRequest(5),
    "0a01089a010608020608041031302e302e302e31001031302e302e302e320e00000270": Promise(
        4, 77, Position(3, 4), DOCUMENT
    ),
    "0a01089a01060800": Promise(4, 77, Position(3, 4), None),
}
SECOND_VERSION: tuple[Message, ...] = (
    HeartbeatAck(3, 9, Position(3, 4), 1 << 61),
    WriteAck(3, Position(3, 4), 0),
    PreVoteRequest(5, Position(3, 4)),
    Promise(4, 77, Position(3, 4), DOCUMENT, 7),
)


class VersionTest(unittest.TestCase):
    def test_messages_of_version_1_are_decoded(self) -> None:
        for frame, message in FIRST_VERSION.items():
            with self.subTest(message=message):
                self.assertEqual(decode_message(bytes.fromhex(frame)), message)

    def test_messages_of_version_2_keep_tokens_and_positions(self) -> None:
        for message in SECOND_VERSION:
            with self.subTest(message=message):
                frame = encode_message(message)
                self.assertEqual(frame[1], 2)
                self.assertEqual(decode_message(frame), message)

    def test_later_versions_are_rejected(self) -> None:
        for message in SECOND_VERSION:
            frame = bytearray(encode_message(message))
            frame[1] += 1
            with self.assertRaises(DecodeError):
                decode_message(bytes(frame))
