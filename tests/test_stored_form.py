"""The stored encodings, byte for byte, so that the previous version and this one can read each other's data.

A change of these bytes needs a new version byte, and a decoder for both versions.
"""

import unittest

from rookwood.clusterconfig.accepted_changes import AcceptedChange, AcceptedChanges
from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.coordination.codec import decode_record, encode_record
from rookwood.coordination.document import Configuration, Document, Member, Position, Record

MEMBERS = Configuration((Member("10.0.0.1"), Member("10.0.0.2", 7)), (Member("10.0.0.3", 2**62),))
RECORD = Record(5, 4, True, Document(Position(3, 14), MEMBERS, b"payload\0\xff"))
RECORD_V1 = bytes.fromhex(
    "00010a0801061c041031302e302e302e31001031302e302e302e320e0002"
    "1031302e302e302e338080808080808080800100127061796c6f616400ff"
)
ACCEPTED = AcceptedChanges.of((AcceptedChange(bytes(range(16)), 3), AcceptedChange(bytes(16), 9)))
DOCUMENT = ControlDocument(9, b'{"ver":9}', ACCEPTED)
DOCUMENT_V1 = bytes.fromhex(
    "0112127b22766572223a397d04000102030405060708090a0b0c0d0e0f06000000000000000000000000000000001200"
)


class StoredFormTest(unittest.TestCase):
    def test_record(self) -> None:
        self.assertEqual(encode_record(RECORD), RECORD_V1)
        self.assertEqual(decode_record(RECORD_V1), RECORD)

    def test_control_document(self) -> None:
        self.assertEqual(DOCUMENT.encode(), DOCUMENT_V1)
        self.assertEqual(ControlDocument.decode(DOCUMENT_V1), DOCUMENT)


if __name__ == "__main__":
    unittest.main()
