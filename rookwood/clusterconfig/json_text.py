"""Strict reading and compact writing of JSON objects."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn

JsonObject = dict[str, Any]


class JsonTextError(ValueError):
    """Bytes are not a single JSON object, or a value cannot be written as JSON."""


def read_object(body: bytes) -> JsonObject:
    """Parse `body`, which must be UTF-8 text of a single JSON object with finite numbers only."""
    value = read_value(body)
    if not isinstance(value, dict):
        raise JsonTextError("not a JSON object")
    return value


def read_value(text: bytes) -> Any:
    """Parse `text`, which must be UTF-8 text of a single JSON value with finite numbers only."""
    try:
        return json.loads(text.decode("utf-8"), parse_constant=_reject_constant, parse_float=_finite_float)
    except (ValueError, RecursionError) as error:
        raise JsonTextError(f"not readable as JSON: {error}") from error


def write_compact(document: JsonObject) -> bytes:
    """Serialise without whitespace, in the given key order."""
    return _write(document, sort_keys=False)


def write_canonical(document: JsonObject) -> bytes:
    """Serialise without whitespace and with sorted keys, for comparison and digests."""
    return _write(document, sort_keys=True)


def write_value(value: object) -> bytes:
    """Serialise any JSON value without whitespace and with sorted keys."""
    return _write(value, sort_keys=True)


def _write(document: object, sort_keys: bool) -> bytes:
    try:
        text = json.dumps(document, separators=(",", ":"), sort_keys=sort_keys, allow_nan=False)
    except (ValueError, TypeError, RecursionError) as error:
        raise JsonTextError(f"not writable as JSON: {error}") from error
    return text.encode("ascii")


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number out of range: {text}")
    return number
