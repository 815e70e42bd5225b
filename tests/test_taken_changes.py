"""The list of accepted changes: its stored form, and that a change costs what is new in it."""

from __future__ import annotations

import io
import sys
import unittest
from random import Random
from types import FrameType

import fastavro

from rookwood.clusterconfig.accepted_changes import DIGEST_BYTES, AcceptedChange, AcceptedChanges
from rookwood.clusterconfig.control_document import (
    ENCODING_VERSION,
    MAX_TAKEN_CHANGES,
    ControlDocument,
    ControlDocumentError,
)
from rookwood.controlplane.payload import read_payload

MOST_CALLS = 100
DIGEST = {"type": "fixed", "name": "Digest", "size": DIGEST_BYTES}
TAKEN_CHANGE = {
    "type": "record",
    "name": "TakenChange",
    "fields": [{"name": "digest", "type": DIGEST}, {"name": "version", "type": "long"}],
}
SCHEMA = fastavro.parse_schema(
    {
        "type": "record",
        "name": "ControlDocument",
        "fields": [
            {"name": "version", "type": "long"},
            {"name": "source", "type": "bytes"},
            {"name": "taken", "type": {"type": "array", "items": TAKEN_CHANGE}},
        ],
    }
)


def encode_by_codec(document: ControlDocument) -> bytes:
    """The form that the version before wrote, by a general codec."""
    taken = [{"digest": change.digest, "version": change.version} for change in document.accepted]
    record = {"version": document.version, "source": document.source, "taken": taken}
    buffer = io.BytesIO()
    buffer.write(bytes([ENCODING_VERSION]))
    fastavro.schemaless_writer(buffer, SCHEMA, record)
    return buffer.getvalue()


def changes(random: Random, count: int, highest: int = 2**63 - 1) -> list[AcceptedChange]:
    """Changes with rising versions."""
    versions = sorted(random.randrange(highest) >> random.randrange(63) for _ in range(count))
    return [AcceptedChange(random.randbytes(DIGEST_BYTES), version) for version in versions]


def count_calls(payload: bytes) -> int:
    """How many functions are called while a payload is read."""
    calls = 0

    def note(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(note)
    try:
        read_payload(payload)
    finally:
        sys.setprofile(None)
    return calls


class StoredFormTest(unittest.TestCase):
    def test_bytes_are_those_of_the_codec(self) -> None:
        random = Random(1)
        for count in (0, 1, 2, 63, 64, 200, MAX_TAKEN_CHANGES):
            for size in (0, 1, 63, 64, 9000):
                taken = changes(random, count)
                version = taken[-1].version if taken else random.randrange(3)
                document = ControlDocument(version, random.randbytes(size), AcceptedChanges.of(taken))
                with self.subTest(count=count, size=size):
                    self.assertEqual(document.encode(), encode_by_codec(document))
                    self.assertEqual(ControlDocument.decode(encode_by_codec(document)), document)
                    self.assertEqual(taken, list(ControlDocument.decode(document.encode()).accepted))

    def test_largest_and_smallest_numbers(self) -> None:
        for version in (0, -1, 2**63 - 1, -(2**63)):
            document = ControlDocument(
                version, b"x", AcceptedChanges.of([AcceptedChange(bytes(16), version)])
            )
            self.assertEqual(document.encode(), encode_by_codec(document))
            self.assertEqual(ControlDocument.decode(document.encode()), document)

    def test_every_cut_is_damage_also_beside_a_known_list(self) -> None:
        taken = AcceptedChanges.of(changes(Random(2), 5))
        encoded = ControlDocument(9, b"{}", taken).encode()
        for known in ((), (taken,)):
            for length in range(len(encoded)):
                with self.subTest(length=length, known=len(known)), self.assertRaises(ControlDocumentError):
                    ControlDocument.decode(encoded[:length], known)

    def test_another_count_is_damage_also_beside_a_known_list(self) -> None:
        taken = AcceptedChanges.of(changes(Random(3), 5))
        for known in ((), (taken,)):
            for count in (0, 1, 4, 6, 4096):
                with self.assertRaises(ValueError):
                    AcceptedChanges.read(taken.encoded, count, known)

    def test_a_digest_is_found_only_where_one_begins(self) -> None:
        first, second = AcceptedChange(bytes(range(16)), 300), AcceptedChange(bytes(range(16, 32)), 400)
        taken = AcceptedChanges.of([first, second])
        self.assertEqual(second, taken.find(second.digest))
        across = taken.encoded[8 : 8 + DIGEST_BYTES]
        self.assertIsNone(taken.find(across))


class KnownListTest(unittest.TestCase):
    """Whatever list is known, what is read is the same."""

    def test_lists_that_overlap_in_any_way(self) -> None:
        listed = changes(Random(4), 30)
        for begin in range(0, 30, 3):
            for end in range(begin, 31, 3):
                read = AcceptedChanges.of(listed[begin:end])
                for known in (listed[:10], listed[10:20], listed, [], listed[5:25], listed[::2], listed[:1]):
                    result = AcceptedChanges.read(read.encoded, end - begin, [AcceptedChanges.of(known)])
                    self.assertEqual(listed[begin:end], list(result))

    def test_a_known_list_in_which_the_first_digest_is_found_out_of_place(self) -> None:
        change = AcceptedChange(bytes(16), 0)  # its bytes are found at every place of a list of zeros
        known = AcceptedChanges.of([AcceptedChange(bytes(16), 5), AcceptedChange(bytes(16), 0)])
        read = AcceptedChanges.of([change, change, AcceptedChange(bytes(16), 9)])
        self.assertEqual(list(read), list(AcceptedChanges.read(read.encoded, 3, [known])))

    def test_oldest_is_dropped_beyond_the_bound(self) -> None:
        listed = changes(Random(5), 9)
        taken = AcceptedChanges()
        for number, change in enumerate(listed, 1):
            taken = taken.with_change(change, 4)
            self.assertEqual(listed[max(0, number - 4) : number], list(taken))
            self.assertEqual(taken[0], listed[max(0, number - 4)])


class CostTest(unittest.TestCase):
    def test_a_change_to_a_full_list_is_read_by_what_is_new(self) -> None:
        document = ControlDocument()
        for version in range(1, MAX_TAKEN_CHANGES + 1):
            document = document.with_change(AcceptedChange(version.to_bytes(DIGEST_BYTES), version), b"{}")
        read_payload(document.encode())
        last = MAX_TAKEN_CHANGES + 1
        changed = document.with_change(AcceptedChange(last.to_bytes(DIGEST_BYTES), last), b"{}").encode()
        self.assertLess(count_calls(changed), MOST_CALLS)
        self.assertEqual(read_payload(changed).version, last)


if __name__ == "__main__":
    unittest.main()
