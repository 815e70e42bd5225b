"""Words of the operator's file as values: durations, sizes, shares, switches, addresses, paths."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

NUMBER = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z%]*)")
SPANS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZES = {"": 1, "B": 1, "kB": 1000, "KB": 1000, "MB": 10**6, "GB": 10**9}
SIZES |= {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
LONGEST = timedelta(days=366)


def _split(text: str, what: str) -> tuple[float, str]:
    found = NUMBER.fullmatch(text)
    if not found:
        raise ValueError(f"{text!r} is no {what}")
    return float(found[1]), found[2]


def duration(text: str) -> timedelta:
    value, unit = _split(text, "duration such as 250ms or 2s")
    if unit not in SPANS:
        raise ValueError(f"{text!r} needs a unit: {', '.join(SPANS)}")
    if not value * SPANS[unit] <= LONGEST.total_seconds():
        raise ValueError(f"{text!r} is over a year")
    return timedelta(seconds=value * SPANS[unit])


def size(text: str) -> int:
    value, unit = _split(text, "size such as 64KiB or 8MB")
    if unit not in SIZES:
        raise ValueError(f"{text!r} has an unknown unit; known are {', '.join(filter(None, SIZES))}")
    return int(value * SIZES[unit])


def share(text: str) -> float:
    value, unit = _split(text, "share such as 0.25 or 25%")
    value = value / 100 if unit == "%" else value
    if unit not in ("", "%") or not 0 <= value <= 1:
        raise ValueError(f"{text!r} is no share from 0 to 1 (or 0% to 100%)")
    return value


def ratio(text: str) -> float:
    value, unit = _split(text, "number such as 0.9")
    if unit or not math.isfinite(value) or value > 1000:
        raise ValueError(f"{text!r} is no number from 0 to 1000")
    return value


def count(text: str) -> int:
    if not (text.isascii() and text.isdigit() and 1 <= int(text) <= 1_000_000):
        raise ValueError(f"{text!r} is no whole number from 1 to 1000000")
    return int(text)


def switch(text: str) -> bool:
    try:
        return {"yes": True, "on": True, "no": False, "off": False}[text]
    except KeyError:
        raise ValueError(f"{text!r} is neither yes nor no") from None


def address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def path(text: str) -> Path:
    if not text or "\0" in text:
        raise ValueError("an empty path")
    return Path(text)


def name(text: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9_.-]{1,64}", text):
        raise ValueError(f"{text!r} is no name (letters, digits, '_', '.', '-'; 64 at most)")
    return text


def one_of(*choices: str) -> Callable[[str], str]:
    def chosen(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return chosen
