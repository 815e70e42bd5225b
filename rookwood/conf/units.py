"""Parsers for the values in the operator file: durations, sizes, shares, switches, addresses, paths.

Each raises ValueError for a word that it can't parse.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

NUMBER = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z%]*)")
UNIT_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
UNIT_BYTES = {"": 1, "B": 1, "kB": 1000, "KB": 1000, "MB": 10**6, "GB": 10**9}
UNIT_BYTES |= {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
LONGEST_DURATION = timedelta(days=366)


def _split(text: str, expected: str) -> tuple[float, str]:
    """Return the number and the unit of a word; `expected` describes it in the error message."""
    found = NUMBER.fullmatch(text)
    if not found:
        raise ValueError(f"{text!r} is not a {expected}")
    return float(found[1]), found[2]


def duration(text: str) -> timedelta:
    """Parse a number with a unit of time."""
    value, unit = _split(text, "duration such as 250ms or 2s")
    if unit not in UNIT_SECONDS:
        raise ValueError(f"{text!r} needs a unit: {', '.join(UNIT_SECONDS)}")
    if not value * UNIT_SECONDS[unit] <= LONGEST_DURATION.total_seconds():
        raise ValueError(f"{text!r} is over a year")
    return timedelta(seconds=value * UNIT_SECONDS[unit])


def size(text: str) -> int:
    """Parse a number of bytes with or without a unit."""
    value, unit = _split(text, "size such as 64KiB or 8MB")
    if unit not in UNIT_BYTES:
        raise ValueError(f"{text!r} has an unknown unit; known are {', '.join(filter(None, UNIT_BYTES))}")
    return int(value * UNIT_BYTES[unit])


def share(text: str) -> float:
    """Parse a fraction from 0 to 1 or a percentage."""
    value, unit = _split(text, "share such as 0.25 or 25%")
    value = value / 100 if unit == "%" else value
    if unit not in ("", "%") or not 0 <= value <= 1:
        raise ValueError(f"{text!r} is not a share from 0 to 1 (or 0% to 100%)")
    return value


def ratio(text: str) -> float:
    """Parse a number from 0 to 1000."""
    value, unit = _split(text, "number such as 0.9")
    if unit or not math.isfinite(value) or value > 1000:
        raise ValueError(f"{text!r} is not a number from 0 to 1000")
    return value


def count(text: str) -> int:
    """Parse an integer from 1 to 1000000."""
    if not (text.isascii() and text.isdigit() and 1 <= int(text) <= 1_000_000):
        raise ValueError(f"{text!r} is not a whole number from 1 to 1000000")
    return int(text)


def switch(text: str) -> bool:
    """Parse yes, on, no or off."""
    try:
        return {"yes": True, "on": True, "no": False, "off": False}[text]
    except KeyError:
        raise ValueError(f"{text!r} is neither yes nor no") from None


def address(text: str) -> tuple[str, int]:
    """Parse host:port; an IPv6 address may stand in brackets."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def path(text: str) -> Path:
    """Parse a path that is not empty."""
    if not text or "\0" in text:
        raise ValueError("the path is empty or holds a null byte")
    return Path(text)


def name(text: str) -> str:
    """Parse the name of a site, a peer or a member."""
    if not re.fullmatch(r"[A-Za-z0-9_.-]{1,64}", text):
        raise ValueError(f"{text!r} is not a name (letters, digits, '_', '.', '-'; 64 at most)")
    return text


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a parser for one of these words."""

    def choice(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return choice
