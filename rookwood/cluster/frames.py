"""Encodes and decodes the messages on the links between control machines and dispatchers.

A frame is the length of the record (4 bytes, big endian), the number of the message type (1 byte) and the
message as an Avro record.
"""

from __future__ import annotations

import asyncio
import io
import struct
import zlib
from typing import Any

from fastavro import parse_schema, schemaless_reader, schemaless_writer

from rookwood.cluster.messages import (
    ConfigurationBody,
    ConfigurationDelta,
    ControlMachine,
    CountedWeights,
    DemandReport,
    DemandSummary,
    FetchConfiguration,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    KeyDemand,
    Message,
    PresenceAck,
    Status,
    WantedWeights,
    WorkerGone,
    WorkerUpdates,
    WorkNotice,
    WorkNotices,
)
from rookwood.cluster.workers import HeldModel, HoldingStamp, WorkerRecord, WorkerState
from rookwood.clusterconfig.items import (
    DIGEST_BYTES,
    Item,
    ItemChanges,
    ItemKey,
    Section,
    decode_name,
    encode_name,
)

HEADER = struct.Struct(">IB")
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_SMALL_FRAME_BYTES = 64 * 1024  # of messages that don't grow with the configuration or the fleet
MAX_HELLO_BYTES = 4 * 1024
MAX_SOURCE_BYTES = 64 * 1024 * 1024  # of a configuration after decompression
COMPRESSION_LEVEL = 1  # configurations are repetitive; higher levels gain little


READ_ERRORS = (EOFError, ValueError, IndexError, KeyError, StopIteration, struct.error)
"""What the Avro reader raises for bytes that are not a record of the schema."""


class FrameError(Exception):
    """The peer sent bytes that are not a frame of this protocol."""


def _record_schema(name: str, *fields: tuple[str, Any]) -> Any:
    field_schemas = [{"name": field_name, "type": field_type} for field_name, field_type in fields]
    return {"type": "record", "name": name, "fields": field_schemas}


def _array_schema(items: Any) -> Any:
    return {"type": "array", "items": items}


_HELD_MODEL = _record_schema(
    "HeldModel", ("name", "string"), ("version", "long"), ("adapters", _array_schema("string"))
)
_WORKER = _record_schema(
    "Worker",
    ("id", "string"),
    ("service", "string"),
    ("address", "string"),
    ("zone", "string"),
    ("slots", "int"),
    ("draining", "boolean"),
    ("sequence", "long"),
    ("models", _array_schema(_HELD_MODEL)),
    ("holding_epoch", "long"),
    ("holding_counter", "long"),
)
_KEY_DEMAND = _record_schema(
    "KeyDemand",
    ("service", "string"),
    ("model", "string"),
    ("adapter", "string"),
    ("rate", "float"),
    ("busy", "float"),
    ("waiting", "int"),
    ("oldest_wait", "float"),
)
_WANTED_WEIGHTS = _record_schema(
    "WantedWeights",
    ("service", "string"),
    ("worker", "string"),
    ("model", "string"),
    ("adapter", "string"),
)
_COUNTED_WEIGHTS = _record_schema(
    "CountedWeights",
    ("service", "string"),
    ("worker", "string"),
    ("model", "string"),
    ("adapter", "string"),
    ("count", "int"),
)
_WORK_NOTICE = _record_schema(
    "WorkNotice",
    ("origin", "string"),
    ("worker", "string"),
    ("seconds", "float"),
    ("parts", _array_schema("long")),
)
_DIGEST = {"type": "fixed", "name": "ItemsDigest", "size": DIGEST_BYTES}
_SCHEMAS: dict[type, Any] = {
    Hello: _record_schema(
        "Hello",
        ("identity", "string"),
        ("tier", "string"),
        ("zone", "string"),
        ("release", "int"),
        ("subscribes", "boolean"),
    ),
    Status: _record_schema(
        "Status",
        ("identity", "string"),
        ("epoch", "long"),
        ("primary", "string"),
        ("fresh", "boolean"),
        ("settled", "boolean"),
        ("config_epoch", "long"),
        ("config_sequence", "long"),
        ("dispatchers", "int"),
        ("members", _array_schema("string")),
        ("release", "int"),
        ("attached", "int"),
        ("roots", _array_schema(_record_schema("ControlMachine", ("ip", "string"), ("zone", "string")))),
    ),
    FetchConfiguration: _record_schema(
        "FetchConfiguration",
        ("sequence", "long"),
        ("confirm", "boolean"),
        ("base_epoch", "long"),
        ("base_sequence", "long"),
    ),
    ConfigurationBody: _record_schema(
        "ConfigurationBody",
        ("epoch", "long"),
        ("sequence", "long"),
        ("source", "bytes"),
        ("confirmed", "boolean"),
    ),
    WorkerUpdates: _record_schema(
        "WorkerUpdates",
        ("records", _array_schema(_WORKER)),
        ("complete", "boolean"),
        ("ended", _array_schema("string")),
        ("draining", _array_schema("string")),
    ),
    WorkerGone: _record_schema("WorkerGone", ("worker", "string"), ("deleted", "boolean")),
    DemandReport: _record_schema(
        "DemandReport",
        ("identity", "string"),
        ("keys", _array_schema(_KEY_DEMAND)),
        ("wanted", _array_schema(_WANTED_WEIGHTS)),
        ("complete", "boolean"),
    ),
    WorkNotices: _record_schema("WorkNotices", ("notices", _array_schema(_WORK_NOTICE))),
    Heartbeat: _record_schema(
        "Heartbeat",
        ("identity", "string"),
        ("config_epoch", "long"),
        ("config_sequence", "long"),
        ("sent_at", "double"),
        ("stalled", "float"),
    ),
    ConfigurationDelta: _record_schema(
        "ConfigurationDelta",
        ("epoch", "long"),
        ("sequence", "long"),
        ("base_epoch", "long"),
        ("base_sequence", "long"),
        (
            "changed",
            _array_schema(
                _record_schema("Item", ("section", "string"), ("name", "bytes"), ("text", "bytes"))
            ),
        ),
        ("removed", _array_schema(_record_schema("ItemKey", ("section", "string"), ("name", "bytes")))),
        ("digest", _DIGEST),
    ),
    HeartbeatAnswer: _record_schema(
        "HeartbeatAnswer",
        ("heartbeat_sent_at", "double"),
        ("config_epoch", "long"),
        ("config_sequence", "long"),
        ("fresh", "boolean"),
    ),
    PresenceAck: _record_schema(
        "PresenceAck", ("worker", "string"), ("deleted", "boolean"), ("stored", "boolean")
    ),
    DemandSummary: _record_schema(
        "DemandSummary",
        ("identity", "string"),
        ("dispatchers", "int"),
        ("keys", _array_schema(_KEY_DEMAND)),
        ("wanted", _array_schema(_COUNTED_WEIGHTS)),
        ("complete", "boolean"),
    ),
}
_ADDED_FIELD_COUNTS = {Hello: 2, Status: 3, Heartbeat: 1, WorkerUpdates: 1, PresenceAck: 1}
"""For each message type, how many fields at its end the earliest release that is understood lacks."""


def _without_last_fields(schema: Any, count: int) -> Any:
    return {**schema, "fields": schema["fields"][:-count]}


_PARSED_SCHEMAS = {message_type: parse_schema(schema) for message_type, schema in _SCHEMAS.items()}
_EARLIEST_SCHEMAS = {
    message_type: parse_schema(_without_last_fields(_SCHEMAS[message_type], count))
    for message_type, count in _ADDED_FIELD_COUNTS.items()
}
_MESSAGE_TYPES: tuple[type, ...] = tuple(_SCHEMAS)
_TYPE_NUMBERS = {message_type: type_number for type_number, message_type in enumerate(_MESSAGE_TYPES)}
_FRAME_LIMITS = {
    Hello: MAX_HELLO_BYTES,
    FetchConfiguration: MAX_SMALL_FRAME_BYTES,
    WorkerGone: MAX_SMALL_FRAME_BYTES,
    Heartbeat: MAX_SMALL_FRAME_BYTES,
    HeartbeatAnswer: MAX_SMALL_FRAME_BYTES,
    PresenceAck: MAX_SMALL_FRAME_BYTES,
}
_TYPE_OFFSET = 4  # of the message type in a frame


def _worker_to_avro(record: WorkerRecord) -> dict[str, Any]:
    models = [
        {"name": held.name, "version": held.version, "adapters": sorted(held.adapters)}
        for held in record.models
    ]
    return {
        "id": record.id,
        "service": record.service,
        "address": record.address,
        "zone": record.zone,
        "slots": record.slots,
        "draining": record.state is WorkerState.DRAINING,
        "sequence": record.sequence,
        "models": models,
        "holding_epoch": record.holding.epoch,
        "holding_counter": record.holding.counter,
    }


def _worker_from_avro(value: dict[str, Any]) -> WorkerRecord:
    models = tuple(
        HeldModel(held["name"], held["version"], frozenset(held["adapters"])) for held in value["models"]
    )
    return WorkerRecord(
        id=value["id"],
        service=value["service"],
        address=value["address"],
        zone=value["zone"],
        slots=value["slots"],
        state=WorkerState.DRAINING if value["draining"] else WorkerState.UP,
        sequence=value["sequence"],
        models=models,
        holding=HoldingStamp(value["holding_epoch"], value["holding_counter"]),
    )


def _body_to_avro(body: ConfigurationBody) -> dict[str, Any]:
    return {**_fields_to_avro(body), "source": zlib.compress(body.source, COMPRESSION_LEVEL)}


def _body_from_avro(value: dict[str, Any]) -> ConfigurationBody:
    decompressor = zlib.decompressobj()
    try:
        source = decompressor.decompress(value["source"], MAX_SOURCE_BYTES)
    except zlib.error as error:
        raise FrameError(f"ConfigurationBody: {error}") from error
    if not decompressor.eof:
        raise FrameError("ConfigurationBody: compressed source is truncated or exceeds the limit")
    return ConfigurationBody(value["epoch"], value["sequence"], source, value["confirmed"])


def _delta_to_avro(delta: ConfigurationDelta) -> dict[str, Any]:
    changed = [
        {"section": item.key.section.value, "name": encode_name(item.key.name), "text": item.text}
        for item in delta.changes.changed
    ]
    removed = [{"section": key.section.value, "name": encode_name(key.name)} for key in delta.changes.removed]
    return {
        "epoch": delta.epoch,
        "sequence": delta.sequence,
        "base_epoch": delta.base_epoch,
        "base_sequence": delta.base_sequence,
        "changed": changed,
        "removed": removed,
        "digest": delta.digest.to_bytes(DIGEST_BYTES, "big"),
    }


def _delta_from_avro(value: dict[str, Any]) -> ConfigurationDelta:
    changed = tuple(Item(_item_key(item), item["text"]) for item in value["changed"])
    removed = tuple(_item_key(item) for item in value["removed"])
    return ConfigurationDelta(
        epoch=value["epoch"],
        sequence=value["sequence"],
        base_epoch=value["base_epoch"],
        base_sequence=value["base_sequence"],
        changes=ItemChanges(changed, removed),
        digest=int.from_bytes(value["digest"], "big"),
    )


def _item_key(value: dict[str, Any]) -> ItemKey:
    try:
        return ItemKey(Section(value["section"]), decode_name(value["name"]))
    except ValueError as error:
        raise FrameError(f"ConfigurationDelta: {error}") from error


def _to_avro(message: Message) -> dict[str, Any]:
    if isinstance(message, ConfigurationBody):
        return _body_to_avro(message)
    if isinstance(message, ConfigurationDelta):
        return _delta_to_avro(message)
    if isinstance(message, WorkerUpdates):
        return {
            "records": [_worker_to_avro(r) for r in message.records],
            "complete": message.complete,
            "ended": message.ended,
            "draining": message.draining,
        }
    if isinstance(message, DemandReport):
        keys = [_fields_to_avro(key) for key in message.keys]
        wanted = [_fields_to_avro(item) for item in message.wanted]
        return {
            "identity": message.identity,
            "keys": keys,
            "wanted": wanted,
            "complete": message.complete,
        }
    if isinstance(message, DemandSummary):
        keys = [_fields_to_avro(key) for key in message.keys]
        return {
            **_fields_to_avro(message),
            "keys": keys,
            "wanted": [_fields_to_avro(item) for item in message.wanted],
        }
    if isinstance(message, WorkNotices):
        return {"notices": [_fields_to_avro(notice) for notice in message.notices]}
    if isinstance(message, Status):
        return {**_fields_to_avro(message), "roots": [_fields_to_avro(root) for root in message.roots]}
    return _fields_to_avro(message)


def _fields_to_avro(record: Any) -> dict[str, Any]:
    return {name: getattr(record, name) for name in type(record).__slots__}


def _from_avro(message_type: type, value: dict[str, Any]) -> Message:
    if message_type is ConfigurationBody:
        return _body_from_avro(value)
    if message_type is ConfigurationDelta:
        return _delta_from_avro(value)
    if message_type is WorkerUpdates:
        records = tuple(_worker_from_avro(r) for r in value["records"])
        draining = tuple(value.get("draining", ()))
        return WorkerUpdates(records, value["complete"], tuple(value["ended"]), draining)
    if message_type is DemandReport:
        keys = tuple(KeyDemand(**key) for key in value["keys"])
        wanted = tuple(WantedWeights(**item) for item in value["wanted"])
        return DemandReport(value["identity"], keys, wanted, value["complete"])
    if message_type is DemandSummary:
        keys = tuple(KeyDemand(**key) for key in value["keys"])
        counted = tuple(CountedWeights(**item) for item in value["wanted"])
        return DemandSummary(value["identity"], value["dispatchers"], keys, counted, value["complete"])
    if message_type is Status:
        value["roots"] = [ControlMachine(**root) for root in value.get("roots", ())]
    if message_type is WorkNotices:
        return WorkNotices(tuple(_work_notice(notice) for notice in value["notices"]))
    for name, item in value.items():
        if isinstance(item, list):
            value[name] = tuple(item)
    message: Message = message_type(**value)
    return message


def _work_notice(value: dict[str, Any]) -> WorkNotice:
    return WorkNotice(value["origin"], value["worker"], value["seconds"], tuple(value["parts"]))


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame."""
    buffer = io.BytesIO()
    schemaless_writer(buffer, _PARSED_SCHEMAS[type(message)], _to_avro(message))
    body = buffer.getvalue()
    return HEADER.pack(len(body), _TYPE_NUMBERS[type(message)]) + body


def frame_type(frame: bytes) -> str:
    """Return the name of the message type of an encoded frame."""
    return _MESSAGE_TYPES[frame[_TYPE_OFFSET]].__name__


def decode_message(type_number: int, body: bytes) -> Message:
    """Decode a message from its type number and its Avro record; raises FrameError."""
    if type_number >= len(_MESSAGE_TYPES):
        raise FrameError(f"unknown message type {type_number}")
    message_type = _MESSAGE_TYPES[type_number]
    return _from_avro(message_type, _read_record(message_type, body))


def _read_record(message_type: type, body: bytes) -> dict[str, Any]:
    """Read the fields of a record, which lacks the added fields if an earlier release sent it."""
    try:
        value = schemaless_reader(io.BytesIO(body), _PARSED_SCHEMAS[message_type], None)
    except READ_ERRORS as error:
        value = _read_earliest_form(message_type, body)
        if value is None:
            raise FrameError(f"{message_type.__name__}: {error!r}") from error
    if not isinstance(value, dict):
        raise FrameError(f"{message_type.__name__}: not a record")
    return value


def _read_earliest_form(message_type: type, body: bytes) -> Any:
    """Read the fields of a record without the added fields; None if the bytes are not exactly one."""
    if message_type not in _EARLIEST_SCHEMAS:
        return None
    buffer = io.BytesIO(body)
    try:
        value = schemaless_reader(buffer, _EARLIEST_SCHEMAS[message_type], None)
    except READ_ERRORS:
        return None
    return value if buffer.tell() == len(body) else None


def read_header(header: bytes) -> tuple[int, int]:
    """Read the record length and the type number from a frame's header; raises FrameError."""
    length, type_number = HEADER.unpack(header)
    if type_number >= len(_MESSAGE_TYPES):
        raise FrameError(f"unknown message type {type_number}")
    message_type = _MESSAGE_TYPES[type_number]
    if length > _FRAME_LIMITS.get(message_type, MAX_FRAME_BYTES):
        raise FrameError(f"frame too large: {length} bytes of {message_type.__name__}")
    return length, type_number


def is_hello(type_number: int) -> bool:
    """Whether a frame of this type is the first one on a link."""
    return type_number == _TYPE_NUMBERS[Hello]


LINK_ERRORS = (OSError, EOFError, FrameError, asyncio.TimeoutError)
"""What reading messages from a stream raises if the link or the peer fails."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read the next message; raises FrameError, EOFError (IncompleteReadError) or OSError."""
    length, type_number = read_header(await reader.readexactly(HEADER.size))
    return decode_message(type_number, await reader.readexactly(length))
