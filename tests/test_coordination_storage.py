"""Encoding of messages and records, and the storage of records in torn, corrupt and foreign files."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import lmdb
from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.coordination import storage as storage_module
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
from rookwood.coordination.storage import (
    MARKER,
    SLOT_FILES,
    Empty,
    FaultKind,
    Found,
    Inaccessible,
    LoadOutcome,
    Lost,
    Storage,
)

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
    def test_messages_survive_encoding_and_decoding(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertEqual(decode_message(encode_message(message)), message)

    def test_record_survives_encoding_and_decoding(self) -> None:
        self.assertEqual(decode_record(encode_record(RECORD)), RECORD)

    def test_truncated_and_extended_frames_are_rejected(self) -> None:
        for message in MESSAGES:
            frame = encode_message(message)
            for broken in (frame[:-1], frame + b"\0", b"", frame[:1]):
                with self.subTest(message=message, broken=broken), self.assertRaises(DecodeError):
                    decode_message(broken)

    def test_unknown_types_and_versions_are_rejected(self) -> None:
        for frame in (b"\xff\x01", b"\x01\x63abc"):
            with self.assertRaises(DecodeError):
                decode_message(frame)

    @given(st.binary(max_size=200))
    @settings(max_examples=300, deadline=None)
    def test_any_bytes_decode_to_a_message_or_an_error(self, frame: bytes) -> None:
        try:
            decode_message(frame)
        except DecodeError:
            return

    @given(st.sampled_from(MESSAGES), st.data())
    @settings(max_examples=300, deadline=None)
    def test_changed_frames_decode_to_a_message_or_an_error(
        self, message: Message, data: st.DataObject
    ) -> None:
        frame = bytearray(encode_message(message))
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(st.integers(0, 255))
        try:
            decode_message(bytes(frame))
        except DecodeError:
            return


class RecordingStorage(Storage):
    """Records the order in which files are written and synced."""

    def __init__(self, directory: str, disk_mb: int) -> None:
        super().__init__(directory, disk_mb)
        self.steps: list[str] = []

    def _sync(self, slot: str) -> None:
        self.steps.append(f"sync {slot}")
        super()._sync(slot)

    def _open_or_replace(self, slot: str) -> lmdb.Environment:
        self.steps.append(f"write {slot}")
        return super()._open_or_replace(slot)


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

    def load(self) -> LoadOutcome:
        storage = self.open()
        try:
            return storage.load()
        finally:
            storage.close()

    def test_new_storage_is_empty(self) -> None:
        self.assertEqual(self.load(), Empty())

    def test_newest_record_is_found(self) -> None:
        for count in range(1, 5):
            record = Record(5, count, True, DOCUMENT)
            self.save(record)
            self.assertEqual(self.load(), Found(record))

    def test_newest_of_several_records_of_one_process_is_found(self) -> None:
        self.save(*(Record(5, promised) for promised in range(7)))
        self.assertEqual(self.load(), Found(Record(5, 6)))

    def test_writes_alternate_between_the_files(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for torn in SLOT_FILES:
            path = self.directory / torn
            intact = path.read_bytes()
            path.write_bytes(b"\xaa" * len(intact))
            found = self.load()
            self.assertIn(found, (Found(Record(5, 1)), Found(Record(5, 2))))
            path.write_bytes(intact)

    def test_storage_is_writable_after_a_torn_write(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for content in (b"\xaa" * 8192, b"", b"short"):
            with self.subTest(content=content[:8]):
                (self.directory / SLOT_FILES[1]).write_bytes(content)
                storage = self.open()
                self.assertEqual(storage.load(), Found(Record(5, 1)))
                self.assertTrue(storage.save(Record(5, 3)))
                storage.close()
                self.assertEqual(self.load(), Found(Record(5, 3)))
                (self.directory / SLOT_FILES[1]).unlink()

    def lost_kinds(self) -> list[FaultKind]:
        """Load a storage that must count as lost, and return the kinds of its faults."""
        outcome = self.load()
        assert isinstance(outcome, Lost), outcome
        return [fault.kind for fault in outcome.faults]

    def test_storage_is_writable_after_any_page_is_torn(self) -> None:
        """lmdb opens many such files, but then rejects writes to them."""
        large = Record(5, 2, True, Document(Position(1, 1), CONFIGURATION, bytes(9000)))
        self.save(Record(5, 1), large, Record(5, 3), large, Record(5, 4))
        path = self.directory / SLOT_FILES[1]
        intact = path.read_bytes()
        for start in range(0, len(intact), 4096):
            truncated_page = intact[start : start + 100] + bytes(3996)
            for content in (bytes(4096), b"\xff" * 4096, intact[4096:8192], truncated_page):
                with self.subTest(start=start, content=content[:4]):
                    path.write_bytes(intact[:start] + content + intact[start + 4096 :])
                    storage = self.open()
                    storage.load()
                    record = Record(5, 6)
                    if not storage.save(record):
                        storage.load()
                        self.assertTrue(storage.save(record))
                    self.assertEqual(storage.load(), Found(record))
                    storage.close()
                    self.assertEqual(self.load(), Found(record))

    def test_found_record_is_synced_before_the_older_one_is_overwritten(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        older, newest = SLOT_FILES
        storage = RecordingStorage(str(self.directory), 128)
        self.addCleanup(storage.close)
        self.assertEqual(storage.load(), Found(Record(5, 2)))
        self.assertTrue(storage.save(Record(5, 3)))
        self.assertTrue(storage.save(Record(5, 4)))
        first = [f"sync {newest}", f"write {older}", f"sync {older}"]
        self.assertEqual(storage.steps, [*first, f"write {newest}", f"sync {newest}"])

    def test_torn_first_write_counts_as_empty(self) -> None:
        self.save(Record(5, 1))
        intact = (self.directory / SLOT_FILES[0]).read_bytes()
        (self.directory / MARKER).unlink()
        for size in (0, 1, 16, 18, 100, 4096, 5000, 8192, len(intact) - 4096):
            for tail in (b"", bytes(len(intact) - size)):
                with self.subTest(size=size, tail=len(tail)):
                    (self.directory / SLOT_FILES[0]).write_bytes(intact[:size] + tail)
                    self.assertEqual(self.load(), Empty())

    def test_corrupt_file_after_a_completed_write_counts_as_lost(self) -> None:
        self.save(Record(5, 1))
        intact = (self.directory / SLOT_FILES[0]).read_bytes()
        for size in (0, 1, 16, 100, 4096, 8192, len(intact) - 4096):
            with self.subTest(size=size):
                (self.directory / SLOT_FILES[0]).write_bytes(intact[:size])
                self.assertEqual(self.lost_kinds(), [FaultKind.TORN])
        (self.directory / SLOT_FILES[0]).unlink()
        self.assertEqual(self.lost_kinds(), [])

    def test_truncated_file_leaves_the_record_of_the_other_file(self) -> None:
        """lmdb maps a truncated file, and reading beyond its end would kill the process with SIGBUS."""
        large = Record(5, 2, True, Document(Position(1, 1), CONFIGURATION, bytes(range(256)) * 800))
        self.save(Record(5, 1), large)
        path = self.directory / SLOT_FILES[1]
        intact = path.read_bytes()
        for size in (*range(0, 8192, 1024), *range(8192, len(intact) - 4096, 4096)):
            path.write_bytes(intact[:size])
            self.assertEqual(self.load(), Found(Record(5, 1)))
        path.write_bytes(intact)
        self.assertEqual(self.load(), Found(large))

    def test_foreign_files_count_as_lost(self) -> None:
        self.directory.mkdir(parents=True)
        script, database = b"#!/bin/sh\nexit 0\n" * 99, b"SQLite format 3\0" * 300
        for content in (b"\xaa" * 8192, script, b"{}" * 5000, database):
            with self.subTest(content=content[:8]):
                (self.directory / SLOT_FILES[0]).write_bytes(content)
                self.assertEqual(self.lost_kinds(), [FaultKind.FOREIGN])
                storage = self.open()
                storage.load()
                self.assertTrue(storage.save(Record(9, 1)))
                storage.close()
                self.assertEqual(self.load(), Found(Record(9, 1)))
                for name in (SLOT_FILES[0], MARKER):
                    (self.directory / name).unlink()

    def test_record_of_an_unknown_version_counts_as_lost(self) -> None:
        unknown = bytes((0, 77)) + encode_record(RECORD)[2:]
        with mock.patch.object(storage_module, "encode_record", return_value=unknown):
            self.save(RECORD)
        self.assertEqual(self.lost_kinds(), [FaultKind.OTHER_VERSION])

    def test_newest_record_is_found_beside_an_older_copy_of_the_other_file(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        older = (self.directory / SLOT_FILES[1]).read_bytes()
        self.save(Record(5, 3), Record(5, 4), Record(5, 5))
        (self.directory / SLOT_FILES[1]).write_bytes(older)
        self.assertEqual(self.load(), Found(Record(5, 5)))

    def test_disk_without_a_marker_from_the_previous_version_is_read(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        (self.directory / MARKER).unlink()
        self.assertEqual(self.load(), Found(Record(5, 2)))
        self.save(Record(5, 3))
        self.assertTrue((self.directory / MARKER).exists())

    def test_temporarily_unreadable_file_is_not_skipped(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for fault in (OSError(5, "Input/output error"), lmdb.DiskError("no space"), lmdb.Error("map failed")):
            storage = self.open()
            with mock.patch.object(lmdb, "open", side_effect=fault):
                outcome = storage.load()
            assert isinstance(outcome, Inaccessible), outcome
            self.assertEqual({entry.kind for entry in outcome.faults}, {FaultKind.INACCESSIBLE})
            self.assertEqual(storage.load(), Found(Record(5, 2)))
            storage.close()

    def test_storage_with_two_foreign_files_counts_as_lost(self) -> None:
        self.save(Record(5, 1), Record(5, 2))
        for slot in SLOT_FILES:
            (self.directory / slot).write_bytes(b"\xaa" * 8192)
        self.assertEqual(self.lost_kinds(), [FaultKind.FOREIGN, FaultKind.FOREIGN])

    def test_changed_payload_fails_the_checksum(self) -> None:
        self.save(RECORD)
        path = self.directory / SLOT_FILES[0]
        content = path.read_bytes()
        self.assertIn(b"payload\0", content)
        path.write_bytes(content.replace(b"payload\0", b"pAyload\0"))
        self.assertEqual(self.lost_kinds(), [FaultKind.TORN])

    def test_record_too_large_for_the_map_is_rejected_and_the_last_one_kept(self) -> None:
        storage = self.open(disk_mb=1)
        self.assertTrue(storage.save(Record(5, 1)))
        self.assertTrue(storage.save(Record(5, 2)))
        huge = Record(5, 3, True, Document(payload=bytes(4 << 20)))
        self.assertFalse(storage.save(huge))
        self.assertEqual(storage.load(), Found(Record(5, 2)))
        self.assertTrue(storage.save(Record(5, 4)))
        self.assertEqual(storage.load(), Found(Record(5, 4)))

    def test_write_fails_if_the_directory_cannot_be_created(self) -> None:
        self.directory.parent.parent.mkdir(parents=True, exist_ok=True)
        self.directory.parent.write_bytes(b"a file")
        self.assertFalse(self.open().save(Record(5, 1)))

    def test_documents_of_hundreds_of_kilobytes_are_stored_in_bounded_files(self) -> None:
        records = [
            Record(5, n, True, Document(Position(1, n), CONFIGURATION, bytes(400_000))) for n in range(12)
        ]
        self.save(*records)
        self.assertEqual(self.load(), Found(records[-1]))
        sizes = [(self.directory / slot).stat().st_size for slot in SLOT_FILES]
        self.assertLess(sum(sizes), 6 << 20)
