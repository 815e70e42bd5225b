"""The binary encoding of messages and records: a type byte, a version byte, and an Avro body."""

from collections.abc import Callable
from dataclasses import fields
from io import BytesIO
from typing import Any

from fastavro import parse_schema, schemaless_reader, schemaless_writer

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

FIRST_VERSION = 1
SECOND_VERSION = 2
HEADER_BYTES = 2


class DecodeError(Exception):
    """A frame has an unknown type or version, or its body is malformed."""


_POSITION = {
    "type": "record",
    "name": "Position",
    "fields": [{"name": "epoch", "type": "long"}, {"name": "sequence", "type": "long"}],
}
_MEMBER = {
    "type": "record",
    "name": "Member",
    "fields": [{"name": "ip", "type": "string"}, {"name": "token", "type": "long"}],
}
_CONFIGURATION = {
    "type": "record",
    "name": "Configuration",
    "fields": [
        {"name": "members", "type": {"type": "array", "items": "Member"}},
        {"name": "outgoing", "type": {"type": "array", "items": "Member"}},
    ],
}
_DOCUMENT = {
    "type": "record",
    "name": "Document",
    "fields": [
        {"name": "position", "type": "Position"},
        {"name": "configuration", "type": "Configuration"},
        {"name": "payload", "type": "bytes"},
    ],
}
_NAMED_SCHEMAS: dict[str, Any] = {}
for _schema in (_POSITION, _MEMBER, _CONFIGURATION, _DOCUMENT):
    parse_schema(_schema, _NAMED_SCHEMAS)


def _record_schema(name: str, **field_types: object) -> Any:
    field_schemas = [{"name": field, "type": field_type} for field, field_type in field_types.items()]
    return parse_schema({"type": "record", "name": name, "fields": field_schemas}, dict(_NAMED_SCHEMAS))


_OPTIONAL_DOCUMENT = ["null", "Document"]
_OPTIONAL_TOKEN = ["null", "long"]
_FIRST_MESSAGES: dict[int, tuple[type[Any], Any]] = {
    1: (
        Heartbeat,
        _record_schema("Heartbeat", epoch="long", round="long", committed="Position", current="Position"),
    ),
    2: (HeartbeatAck, _record_schema("HeartbeatAck", epoch="long", round="long", stored="Position")),
    3: (Write, _record_schema("Write", document="Document")),
    4: (WriteAck, _record_schema("WriteAck", epoch="long", stored="Position")),
    5: (WriteFailed, _record_schema("WriteFailed", epoch="long", position="Position")),
    6: (Refused, _record_schema("Refused", epoch="long", promised="long")),
    7: (PreVoteRequest, _record_schema("PreVoteRequest", ballot="long")),
    8: (PreVoteReply, _record_schema("PreVoteReply", ballot="long", granted="boolean", promised="long")),
    9: (VoteRequest, _record_schema("VoteRequest", epoch="long", position="Position")),
    10: (
        Promise,
        _record_schema(
            "Promise", epoch="long", candidate="long", stored="Position", document=_OPTIONAL_DOCUMENT
        ),
    ),
    11: (Inquiry, _record_schema("Inquiry", known="Position")),
    12: (
        Situation,
        _record_schema(
            "Situation", inquirer="long", recovering="boolean", promised="long", document=_OPTIONAL_DOCUMENT
        ),
    ),
    13: (JoinRequest, _record_schema("JoinRequest", token="long")),
    14: (
        MembershipNotice,
        _record_schema("MembershipNotice", position="Position", configuration="Configuration"),
    ),
    15: (TransferNow, _record_schema("TransferNow", epoch="long")),
}
_OPTIONAL_POSITION = ["null", "Position"]
_SECOND_MESSAGES: dict[int, tuple[type[Any], Any]] = {
    2: (
        HeartbeatAck,
        _record_schema("HeartbeatAck", epoch="long", round="long", stored="Position", token=_OPTIONAL_TOKEN),
    ),
    4: (WriteAck, _record_schema("WriteAck", epoch="long", stored="Position", token=_OPTIONAL_TOKEN)),
    7: (PreVoteRequest, _record_schema("PreVoteRequest", ballot="long", position=_OPTIONAL_POSITION)),
    10: (
        Promise,
        _record_schema(
            "Promise",
            epoch="long",
            candidate="long",
            stored="Position",
            document=_OPTIONAL_DOCUMENT,
            token=_OPTIONAL_TOKEN,
        ),
    ),
}
_MESSAGES: dict[tuple[int, int], tuple[type[Any], Any]] = {
    **{(number, FIRST_VERSION): entry for number, entry in _FIRST_MESSAGES.items()},
    **{(number, SECOND_VERSION): entry for number, entry in _SECOND_MESSAGES.items()},
}
_HEADERS = {message_class: header for header, (message_class, _) in sorted(_MESSAGES.items())}
_RECORD_SCHEMA = _record_schema(
    "Record", token="long", promised="long", initialised="boolean", document="Document"
)


def encode_message(message: Message) -> bytes:
    """Return the encoding of a message."""
    header = _HEADERS[type(message)]
    buffer = BytesIO()
    buffer.write(bytes(header))
    schemaless_writer(buffer, _MESSAGES[header][1], _to_avro(message))
    return buffer.getvalue()


def decode_message(frame: bytes) -> Message:
    """Return the message with this encoding, of the current or an earlier version.

    Raises `DecodeError` if it has an unknown type or version or is malformed.
    """
    entry = _MESSAGES.get((frame[0], frame[1])) if len(frame) >= HEADER_BYTES else None
    if entry is None:
        raise DecodeError("unknown message type or version")
    message_class, schema = entry
    values = _read(schema, frame[HEADER_BYTES:])
    message: Message = message_class(**{name: _from_avro(name, value) for name, value in values.items()})
    return message


def encode_record(record: Record) -> bytes:
    """Return the stored encoding of a record."""
    buffer = BytesIO()
    buffer.write(bytes((0, FIRST_VERSION)))
    schemaless_writer(buffer, _RECORD_SCHEMA, _to_avro(record))
    return buffer.getvalue()


def decode_record(stored: bytes) -> Record:
    """Return the record with this stored encoding.

    Raises `DecodeError` if it has an unknown version or is malformed.
    """
    if stored[:HEADER_BYTES] != bytes((0, FIRST_VERSION)):
        raise DecodeError("unknown record version")
    values = _read(_RECORD_SCHEMA, stored[HEADER_BYTES:])
    return Record(**{name: _from_avro(name, value) for name, value in values.items()})


def _read(schema: Any, body: bytes) -> dict[str, Any]:
    buffer = BytesIO(body)
    try:
        values: Any = schemaless_reader(buffer, schema, None)
    except (EOFError, ValueError, IndexError, TypeError, KeyError, OverflowError, MemoryError) as error:
        raise DecodeError(str(error)) from error
    if buffer.tell() != len(body):
        raise DecodeError("trailing bytes after the encoded value")
    fields_read: dict[str, Any] = values
    return fields_read


def _to_avro(value: Any) -> Any:
    if isinstance(value, Position):
        return value._asdict()
    if isinstance(value, tuple):
        return [_to_avro(item) for item in value]
    if isinstance(value, bool | int | str | bytes) or value is None:
        return value
    return {field.name: _to_avro(getattr(value, field.name)) for field in fields(value)}


def _position(value: Any) -> Position:
    return Position(value["epoch"], value["sequence"])


def _optional_position(value: Any) -> Position | None:
    return None if value is None else _position(value)


def _members(value: Any) -> tuple[Member, ...]:
    return tuple(Member(member["ip"], member["token"]) for member in value)


def _configuration(value: Any) -> Configuration:
    return Configuration(_members(value["members"]), _members(value["outgoing"]))


def _document(value: Any) -> Document | None:
    if value is None:
        return None
    return Document(_position(value["position"]), _configuration(value["configuration"]), value["payload"])


_CONVERTERS: dict[str, Callable[[Any], Any]] = {
    "committed": _position,
    "current": _position,
    "stored": _position,
    "position": _optional_position,
    "known": _position,
    "configuration": _configuration,
    "document": _document,
}


def _from_avro(name: str, value: Any) -> Any:
    convert = _CONVERTERS.get(name)
    return value if convert is None else convert(value)
