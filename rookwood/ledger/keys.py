"""Parses the `Idempotency-Key` header and computes the fingerprint of its request.

Source: IETF draft-ietf-httpapi-idempotency-key-header, section 2.1: an Item Structured Header (RFC 8941,
section 3.3.3) whose value is a String.
"""

from __future__ import annotations

import hashlib
import re

MAX_KEY = 255
STRING = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*)"')  # printable ASCII, two escapes
ESCAPE = re.compile(r'\\(["\\])')


class InvalidKeyError(ValueError):
    """The header holds no valid key; the text says why."""


def parse_key(header: str) -> str:
    """The key in the header's value. Raises `InvalidKeyError`."""
    found = STRING.fullmatch(header.strip(" "))
    if not found:
        raise InvalidKeyError("Idempotency-Key is not a quoted string")
    key = ESCAPE.sub(r"\1", found[1])
    if not 1 <= len(key) <= MAX_KEY:
        raise InvalidKeyError(f"Idempotency-Key is not 1 to {MAX_KEY} characters long")
    return key


def fingerprint(target: bytes, body: bytes) -> str:
    """A digest of path, query and body. Length prefixes keep different splits of the same bytes apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (target, body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()
