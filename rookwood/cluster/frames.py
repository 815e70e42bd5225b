"""Frames of the links between control machines and dispatchers: their messages, encoded with Avro.

A frame is a length (4 bytes, big endian), a message type (1 byte) and the Avro record.
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
MAXIMUM_FRAME = 16 * 1024 * 1024
MAXIMUM_SOURCE = 64 * 1024 * 1024  # bytes of a configuration after decompression
COMPRESSION_LEVEL = 1  # configurations repeat themselves; higher levels gain little


READ_ERRORS = (EOFError, ValueError, IndexError, KeyError, StopIteration, struct.error)
"""What reading a record raises where its bytes are not one."""


class FrameError(Exception):
    """The peer sent something that is not a frame of this protocol."""


def _record(name: str, *fields: tuple[str, Any]) -> Any:
    described = [{"name": field_name, "type": field_type} for field_name, field_type in fields]
    return {"type": "record", "name": name, "fields": described}


def _array(items: Any) -> Any:
    return {"type": "array", "items": items}


_HELD_MODEL = _record("HeldModel", ("name", "string"), ("version", "long"), ("adapters", _array("string")))
_WORKER = _record(
    "Worker",
    ("id", "string"),
    ("service", "string"),
    ("address", "string"),
    ("zone", "string"),
    ("slots", "int"),
    ("draining", "boolean"),
    ("sequence", "long"),
    ("models", _array(_HELD_MODEL)),
    ("holding_epoch", "long"),
    ("holding_counter", "long"),
)
_KEY_DEMAND = _record(
    "KeyDemand",
    ("service", "string"),
    ("model", "string"),
    ("adapter", "string"),
    ("rate", "float"),
    ("busy", "float"),
    ("waiting", "int"),
    ("oldest_wait", "float"),
)
_WANTED = _record(
    "WantedWeights",
    ("service", "string"),
    ("worker", "string"),
    ("model", "string"),
    ("adapter", "string"),
)
_COUNTED = _record(
    "CountedWeights",
    ("service", "string"),
    ("worker", "string"),
    ("model", "string"),
    ("adapter", "string"),
    ("count", "int"),
)
_WORK_NOTICE = _record(
    "WorkNotice",
    ("origin", "string"),
    ("worker", "string"),
    ("seconds", "float"),
    ("parts", _array("long")),
)
_DIGEST = {"type": "fixed", "name": "ItemsDigest", "size": DIGEST_BYTES}
_SCHEMAS: dict[type, Any] = {
    Hello: _record(
        "Hello",
        ("identity", "string"),
        ("tier", "string"),
        ("zone", "string"),
        ("release", "int"),
        ("subscribes", "boolean"),
    ),
    Status: _record(
        "Status",
        ("identity", "string"),
        ("epoch", "long"),
        ("primary", "string"),
        ("fresh", "boolean"),
        ("settled", "boolean"),
        ("config_epoch", "long"),
        ("config_sequence", "long"),
        ("dispatchers", "int"),
        ("members", _array("string")),
        ("release", "int"),
        ("attached", "int"),
        ("roots", _array(_record("ControlMachine", ("ip", "string"), ("zone", "string")))),
    ),
    FetchConfiguration: _record(
        "FetchConfiguration",
        ("sequence", "long"),
        ("confirm", "boolean"),
        ("base_epoch", "long"),
        ("base_sequence", "long"),
    ),
    ConfigurationBody: _record(
        "ConfigurationBody",
        ("epoch", "long"),
        ("sequence", "long"),
        ("source", "bytes"),
        ("confirmed", "boolean"),
    ),
    WorkerUpdates: _record(
        "WorkerUpdates",
        ("records", _array(_WORKER)),
        ("complete", "boolean"),
        ("ended", _array("string")),
    ),
    WorkerGone: _record("WorkerGone", ("worker", "string"), ("deleted", "boolean")),
    DemandReport: _record(
        "DemandReport",
        ("identity", "string"),
        ("keys", _array(_KEY_DEMAND)),
        ("wanted", _array(_WANTED)),
        ("complete", "boolean"),
    ),
    WorkNotices: _record("WorkNotices", ("notices", _array(_WORK_NOTICE))),
    Heartbeat: _record(
        "Heartbeat",
        ("identity", "string"),
        ("config_epoch", "long"),
        ("config_sequence", "long"),
        ("sent_at", "double"),
        ("stalled", "float"),
    ),
    ConfigurationDelta: _record(
        "ConfigurationDelta",
        ("epoch", "long"),
        ("sequence", "long"),
        ("base_epoch", "long"),
        ("base_sequence", "long"),
        ("changed", _array(_record("Item", ("section", "string"), ("name", "bytes"), ("text", "bytes")))),
        ("removed", _array(_record("ItemKey", ("section", "string"), ("name", "bytes")))),
        ("digest", _DIGEST),
    ),
    HeartbeatAnswer: _record(
        "HeartbeatAnswer",
        ("heartbeat_sent_at", "double"),
        ("config_epoch", "long"),
        ("config_sequence", "long"),
        ("fresh", "boolean"),
    ),
    PresenceAck: _record("PresenceAck", ("worker", "string"), ("deleted", "boolean")),
    DemandSummary: _record(
        "DemandSummary",
        ("identity", "string"),
        ("dispatchers", "int"),
        ("keys", _array(_KEY_DEMAND)),
        ("wanted", _array(_COUNTED)),
        ("complete", "boolean"),
    ),
}
_ADDED_FIELDS = {Hello: 2, Status: 3, Heartbeat: 1}
"""How many fields at the end of a message programs of release 0 do not send."""


def _without_last(schema: Any, count: int) -> Any:
    return {**schema, "fields": schema["fields"][:-count]}


_PARSED = {kind: parse_schema(schema) for kind, schema in _SCHEMAS.items()}
_RELEASE_0 = {
    kind: parse_schema(_without_last(_SCHEMAS[kind], count)) for kind, count in _ADDED_FIELDS.items()
}
_TYPES: tuple[type, ...] = tuple(_SCHEMAS)
_NUMBERS = {kind: number for number, kind in enumerate(_TYPES)}
_TYPE_FIELD = 4  # offset of the message type in a frame


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
    return {**_plain(body), "source": zlib.compress(body.source, COMPRESSION_LEVEL)}


def _body_from_avro(value: dict[str, Any]) -> ConfigurationBody:
    unpacker = zlib.decompressobj()
    try:
        source = unpacker.decompress(value["source"], MAXIMUM_SOURCE)
    except zlib.error as error:
        raise FrameError(f"ConfigurationBody: {error}") from error
    if not unpacker.eof:
        raise FrameError("ConfigurationBody: its source is not whole")
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
        }
    if isinstance(message, DemandReport):
        keys = [_plain(key) for key in message.keys]
        wanted = [_plain(item) for item in message.wanted]
        return {
            "identity": message.identity,
            "keys": keys,
            "wanted": wanted,
            "complete": message.complete,
        }
    if isinstance(message, DemandSummary):
        keys = [_plain(key) for key in message.keys]
        return {**_plain(message), "keys": keys, "wanted": [_plain(item) for item in message.wanted]}
    if isinstance(message, WorkNotices):
        return {"notices": [_plain(notice) for notice in message.notices]}
    if isinstance(message, Status):
        return {**_plain(message), "roots": [_plain(root) for root in message.roots]}
    return _plain(message)


def _plain(record: Any) -> dict[str, Any]:
    return {name: getattr(record, name) for name in type(record).__slots__}


def _from_avro(kind: type, value: dict[str, Any]) -> Message:
    if kind is ConfigurationBody:
        return _body_from_avro(value)
    if kind is ConfigurationDelta:
        return _delta_from_avro(value)
    if kind is WorkerUpdates:
        records = tuple(_worker_from_avro(r) for r in value["records"])
        return WorkerUpdates(records, value["complete"], tuple(value["ended"]))
    if kind is DemandReport:
        keys = tuple(KeyDemand(**key) for key in value["keys"])
        wanted = tuple(WantedWeights(**item) for item in value["wanted"])
        return DemandReport(value["identity"], keys, wanted, value["complete"])
    if kind is DemandSummary:
        keys = tuple(KeyDemand(**key) for key in value["keys"])
        counted = tuple(CountedWeights(**item) for item in value["wanted"])
        return DemandSummary(value["identity"], value["dispatchers"], keys, counted, value["complete"])
    if kind is Status:
        value["roots"] = [ControlMachine(**root) for root in value.get("roots", ())]
    if kind is WorkNotices:
        return WorkNotices(tuple(_work_notice(notice) for notice in value["notices"]))
    for name, item in value.items():
        if isinstance(item, list):
            value[name] = tuple(item)
    message: Message = kind(**value)
    return message


def _work_notice(value: dict[str, Any]) -> WorkNotice:
    return WorkNotice(value["origin"], value["worker"], value["seconds"], tuple(value["parts"]))


def encode_frame(message: Message) -> bytes:
    """The message as a whole frame."""
    buffer = io.BytesIO()
    schemaless_writer(buffer, _PARSED[type(message)], _to_avro(message))
    body = buffer.getvalue()
    return HEADER.pack(len(body), _NUMBERS[type(message)]) + body


def frame_type(frame: bytes) -> str:
    """The name of the message type of an encoded frame."""
    return _TYPES[frame[_TYPE_FIELD]].__name__


def decode_message(number: int, body: bytes) -> Message:
    """The message of a frame's body; raises FrameError."""
    if number >= len(_TYPES):
        raise FrameError(f"unknown message type {number}")
    kind = _TYPES[number]
    return _from_avro(kind, _read_record(kind, body))


def _read_record(kind: type, body: bytes) -> dict[str, Any]:
    """The fields of a record; one of release 0 ends before those that were added."""
    try:
        value = schemaless_reader(io.BytesIO(body), _PARSED[kind], None)
    except READ_ERRORS as error:
        value = _read_release_0(kind, body)
        if value is None:
            raise FrameError(f"{kind.__name__}: {error!r}") from error
    if not isinstance(value, dict):
        raise FrameError(f"{kind.__name__}: not a record")
    return value


def _read_release_0(kind: type, body: bytes) -> Any:
    """The fields of a whole record of release 0; None where it is none."""
    if kind not in _RELEASE_0:
        return None
    buffer = io.BytesIO(body)
    try:
        value = schemaless_reader(buffer, _RELEASE_0[kind], None)
    except READ_ERRORS:
        return None
    return value if buffer.tell() == len(body) else None


def read_header(header: bytes) -> tuple[int, int]:
    """The length and the message type of a frame; raises FrameError."""
    length, number = HEADER.unpack(header)
    if length > MAXIMUM_FRAME:
        raise FrameError(f"a frame of {length} bytes")
    return length, number


LINK_ERRORS = (OSError, EOFError, FrameError, asyncio.TimeoutError)
"""What reading messages from a stream may raise where the link or the peer fails."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """The next message; raises FrameError, EOFError (IncompleteReadError) or OSError."""
    length, number = read_header(await reader.readexactly(HEADER.size))
    return decode_message(number, await reader.readexactly(length))
