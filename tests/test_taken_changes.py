"""The list of accepted changes: its stored form, and the cost of decoding it after one change."""

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
    MAX_ACCEPTED_CHANGES,
    ControlDocument,
    ControlDocumentError,
)
from rookwood.controlplane.payload import read_payload

MAX_CALLS = 100
DIGEST = {"type": "fixed", "name": "Digest", "size": DIGEST_BYTES}
ACCEPTED_CHANGE = {
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
            {"name": "taken", "type": {"type": "array", "items": ACCEPTED_CHANGE}},
        ],
    }
)


def encode_with_codec(document: ControlDocument) -> bytes:
    """Return the encoding of the previous implementation, which used a general codec."""
    accepted = [{"digest": change.digest, "version": change.version} for change in document.accepted]
    record = {"version": document.version, "source": document.source, "taken": accepted}
    buffer = io.BytesIO()
    buffer.write(bytes([ENCODING_VERSION]))
    fastavro.schemaless_writer(buffer, SCHEMA, record)
    return buffer.getvalue()


def make_changes(random: Random, count: int, highest: int = 2**63 - 1) -> list[AcceptedChange]:
    """Return changes with rising versions."""
    versions = sorted(random.randrange(highest) >> random.randrange(63) for _ in range(count))
    return [AcceptedChange(random.randbytes(DIGEST_BYTES), version) for version in versions]


def count_calls(payload: bytes) -> int:
    """Count the function calls while a payload is read."""
    calls = 0

    def count_call(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count_call)
    try:
        read_payload(payload)
    finally:
        sys.setprofile(None)
    return calls


class StoredFormTest(unittest.TestCase):
    def test_bytes_equal_those_of_the_codec(self) -> None:
        random = Random(1)
        for count in (0, 1, 2, 63, 64, 200, MAX_ACCEPTED_CHANGES):
            for size in (0, 1, 63, 64, 9000):
                accepted = make_changes(random, count)
                version = accepted[-1].version if accepted else random.randrange(3)
                document = ControlDocument(version, random.randbytes(size), AcceptedChanges.of(accepted))
                with self.subTest(count=count, size=size):
                    self.assertEqual(document.encode(), encode_with_codec(document))
                    self.assertEqual(ControlDocument.decode(encode_with_codec(document)), document)
                    self.assertEqual(accepted, list(ControlDocument.decode(document.encode()).accepted))

    def test_largest_and_smallest_numbers(self) -> None:
        for version in (0, -1, 2**63 - 1, -(2**63)):
            document = ControlDocument(
                version, b"x", AcceptedChanges.of([AcceptedChange(bytes(16), version)])
            )
            self.assertEqual(document.encode(), encode_with_codec(document))
            self.assertEqual(ControlDocument.decode(document.encode()), document)

    def test_truncated_bytes_are_rejected_with_or_without_a_known_list(self) -> None:
        accepted = AcceptedChanges.of(make_changes(Random(2), 5))
        encoded = ControlDocument(9, b"{}", accepted).encode()
        for known in ((), (accepted,)):
            for length in range(len(encoded)):
                with self.subTest(length=length, known=len(known)), self.assertRaises(ControlDocumentError):
                    ControlDocument.decode(encoded[:length], known)

    def test_a_wrong_count_is_rejected_with_or_without_a_known_list(self) -> None:
        accepted = AcceptedChanges.of(make_changes(Random(3), 5))
        for known in ((), (accepted,)):
            for count in (0, 1, 4, 6, 4096):
                with self.assertRaises(ValueError):
                    AcceptedChanges.decode(accepted.encoded, count, known)

    def test_a_digest_is_found_only_at_the_start_of_a_change(self) -> None:
        first, second = AcceptedChange(bytes(range(16)), 300), AcceptedChange(bytes(range(16, 32)), 400)
        accepted = AcceptedChanges.of([first, second])
        self.assertEqual(second, accepted.find(second.digest))
        across = accepted.encoded[8 : 8 + DIGEST_BYTES]
        self.assertIsNone(accepted.find(across))


class KnownListTest(unittest.TestCase):
    """Decoding gives the same result whatever list is known."""

    def test_lists_with_any_overlap(self) -> None:
        changes = make_changes(Random(4), 30)
        for begin in range(0, 30, 3):
            for end in range(begin, 31, 3):
                expected = AcceptedChanges.of(changes[begin:end])
                for known in (
                    changes[:10],
                    changes[10:20],
                    changes,
                    [],
                    changes[5:25],
                    changes[::2],
                    changes[:1],
                ):
                    result = AcceptedChanges.decode(
                        expected.encoded, end - begin, [AcceptedChanges.of(known)]
                    )
                    self.assertEqual(changes[begin:end], list(result))

    def test_a_known_list_with_the_first_digest_at_another_offset(self) -> None:
        change = AcceptedChange(bytes(16), 0)  # its bytes occur at many offsets in a list of zeros
        known = AcceptedChanges.of([AcceptedChange(bytes(16), 5), AcceptedChange(bytes(16), 0)])
        expected = AcceptedChanges.of([change, change, AcceptedChange(bytes(16), 9)])
        self.assertEqual(list(expected), list(AcceptedChanges.decode(expected.encoded, 3, [known])))

    def test_the_oldest_change_is_dropped_beyond_the_limit(self) -> None:
        changes = make_changes(Random(5), 9)
        accepted = AcceptedChanges()
        for number, change in enumerate(changes, 1):
            accepted = accepted.with_change(change, 4)
            self.assertEqual(changes[max(0, number - 4) : number], list(accepted))
            self.assertEqual(accepted[0], changes[max(0, number - 4)])


class CostTest(unittest.TestCase):
    def test_decoding_after_one_change_to_a_full_list_needs_few_calls(self) -> None:
        document = ControlDocument()
        for version in range(1, MAX_ACCEPTED_CHANGES + 1):
            document = document.with_change(AcceptedChange(version.to_bytes(DIGEST_BYTES), version), b"{}")
        read_payload(document.encode())
        last = MAX_ACCEPTED_CHANGES + 1
        changed = document.with_change(AcceptedChange(last.to_bytes(DIGEST_BYTES), last), b"{}").encode()
        self.assertLess(count_calls(changed), MAX_CALLS)
        self.assertEqual(read_payload(changed).version, last)


if __name__ == "__main__":
    unittest.main()
