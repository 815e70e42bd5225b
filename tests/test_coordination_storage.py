"""The stored record and the messages in binary form: torn, full, broken, and read back."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.coordination.codec import (
    DecodeError,
    decode_message,
    decode_record,
    encode_message,
    encode_record,
)
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.messages import (
    Heartbeat,
    HeartbeatAck,
    Inquiry,
    JoinRequest,
    MembershipNotice,
    Message,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    Refused,
    Situation,
    TransferNow,
    VoteRequest,
    Write,
    WriteAck,
    WriteFailed,
)
from rookwood.coordination.storage import SLOTS, Storage, UnreadableError

CONFIGURATION = Configuration((Member("10.0.0.1"), Member("10.0.0.2", 7)), (Member("10.0.0.3", 2**62),))
DOCUMENT = Document(Position(3, 14), CONFIGURATION, b"payload\0\xff")
RECORD = Record(5, 4, True, DOCUMENT)
MESSAGES: tuple[Message, ...] = (
    Heartbeat(1, 2, Position(1, 3), Position(1, 4)),
    HeartbeatAck(1, 2, Position(1, 3)),
    Write(DOCUMENT),
    WriteAck(3, Position(3, 14)),
    WriteFailed(3, Position(3, 14)),
    Refused(3, 4),
    PreVoteRequest(2**62 - 1),
    PreVoteReply(7, True, 9),
    VoteRequest(4, Position(3, 14)),
    Promise(4, 2**61, Position(3, 14), DOCUMENT),
    Promise(4, 2**61, Position(3, 14), None),
    Inquiry(Position()),
    Situation(8, False, 4, DOCUMENT),
    Situation(8, True, 0, None),
    JoinRequest(2**62),
    MembershipNotice(Position(3, 14), CONFIGURATION),
    TransferNow(4),
)


class CodecTest(unittest.TestCase):
    def test_messages_come_back_as_they_were(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertEqual(decode_message(encode_message(message)), message)

    def test_record_comes_back_as_it_was(self) -> None:
        self.assertEqual(decode_record(encode_record(RECORD)), RECORD)

    def test_cut_and_lengthened_frames_are_refused(self) -> None:
        for message in MESSAGES:
            frame = encode_message(message)
            for broken in (frame[:-1], frame + b"\0", b"", frame[:1]):
                with self.subTest(message=message, broken=broken), self.assertRaises(DecodeError):
                    decode_message(broken)

    def test_unknown_types_and_versions_are_refused(self) -> None:
        for frame in (b"\xff\x01", b"\x01\x63abc"):
            with self.assertRaises(DecodeError):
                decode_message(frame)

    @given(st.binary(max_size=200))
    @settings(max_examples=300, deadline=None)
    def test_any_bytes_are_a_message_or_an_error(self, frame: bytes) -> None:
        try:
            decode_message(frame)
        except DecodeError:
            return

    @given(st.sampled_from(MESSAGES), st.data())
    @settings(max_examples=300, deadline=None)
    def test_changed_frames_are_a_message_or_an_error(self, message: Message, data: st.DataObject) -> None:
        frame = bytearray(encode_message(message))
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(st.integers(0, 255))
        try:
            decode_message(bytes(frame))
        except DecodeError:
            return


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name) / "below" / "control"

    def open(self, disk_mb: int = 128) -> Storage:
        storage = Storage(str(self.directory), disk_mb)
        self.addCleanup(storage.close)
        return storage

    def save(self, *records: Record) -> None:
        storage = self.open()
        storage.load()
        for record in records:
            self.assertTrue(storage.save(record))
        storage.close()

    def load(self) -> Record | None:
        storage = self.open()
        try:
            return storage.load()
        finally:
            storage.close()

    def test_nothing_is_found_at_first(self) -> None:
        self.assertIsNone(self.load())

    def test_newest_record_is_found(self) -> None:
        for count in range(1, 5):
            record = Record(5, count, True, DOCUMENT)
            self.save(record)
            self.assertEqual(self.load(), record)

    def test_several_records_of_one_process(self) -> None:
        self.save(*(Record(5, promised) for promised in range(7)))
        self.assertEqual(self.load(), Record(5, 6))

    def test_writes_alternate_so_that_a_torn_one_leaves_the_last(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for torn in SLOTS:
            path = self.directory / torn
            whole = path.read_bytes()
            path.write_bytes(b"\xaa" * len(whole))
            found = self.load()
            self.assertIn(found, (Record(5, 1), Record(5, 2)))
            path.write_bytes(whole)

    def test_writing_goes_on_after_a_torn_write(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for content in (b"\xaa" * 8192, b"", b"short"):
            with self.subTest(content=content[:8]):
                (self.directory / SLOTS[1]).write_bytes(content)
                storage = self.open()
                self.assertEqual(storage.load(), Record(5, 1))
                self.assertTrue(storage.save(Record(5, 3)))
                storage.close()
                self.assertEqual(self.load(), Record(5, 3))
                (self.directory / SLOTS[1]).unlink()

    def test_first_write_that_was_torn_counts_as_none(self) -> None:
        self.save(Record(5, 1))
        (self.directory / SLOTS[0]).write_bytes(b"\xaa" * 8192)
        self.assertIsNone(self.load())

    def test_broken_storage_is_told_from_an_empty_one(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for slot in SLOTS:
            (self.directory / slot).write_bytes(b"\xaa" * 8192)
        with self.assertRaises(UnreadableError):
            self.load()

    def test_changed_payload_fails_the_checksum(self) -> None:
        self.save(RECORD)
        path = self.directory / SLOTS[0]
        content = path.read_bytes()
        self.assertIn(b"payload\0", content)
        path.write_bytes(content.replace(b"payload\0", b"pAyload\0"))
        self.assertIsNone(self.load())

    def test_record_too_large_for_the_map_is_refused_and_the_last_one_kept(self) -> None:
        storage = self.open(disk_mb=1)
        self.assertTrue(storage.save(Record(5, 1)))
        self.assertTrue(storage.save(Record(5, 2)))
        huge = Record(5, 3, True, Document(payload=bytes(4 << 20)))
        self.assertFalse(storage.save(huge))
        self.assertEqual(storage.load(), Record(5, 2))
        self.assertTrue(storage.save(Record(5, 4)))
        self.assertEqual(storage.load(), Record(5, 4))

    def test_directory_that_can_not_be_made_is_a_failed_write(self) -> None:
        self.directory.parent.parent.mkdir(parents=True, exist_ok=True)
        self.directory.parent.write_bytes(b"a file")
        self.assertFalse(self.open().save(Record(5, 1)))

    def test_document_of_some_hundred_kilobytes_is_kept(self) -> None:
        records = [
            Record(5, n, True, Document(Position(1, n), CONFIGURATION, bytes(400_000))) for n in range(12)
        ]
        self.save(*records)
        self.assertEqual(self.load(), records[-1])
        sizes = [(self.directory / slot).stat().st_size for slot in SLOTS]
        self.assertLess(sum(sizes), 6 << 20)
