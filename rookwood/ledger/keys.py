"""The `Idempotency-Key` header and the fingerprint of what it names.

Source: IETF draft-ietf-httpapi-idempotency-key-header, section 2.1: an Item Structured Header (RFC 8941,
section 3.3.3) whose value is a String.
"""

from __future__ import annotations

import hashlib
import re

MAX_KEY = 255
STRING = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*)"')  # printable ASCII, two escapes
ESCAPE = re.compile(r'\\(["\\])')


class UnsoundKeyError(ValueError):
    """A header that is no key; the text tells why."""


def key_of(header: str) -> str:
    """Raises `UnsoundKeyError`."""
    found = STRING.fullmatch(header.strip(" "))
    if not found:
        raise UnsoundKeyError("Idempotency-Key is not a quoted string")
    key = ESCAPE.sub(r"\1", found[1])
    if not 1 <= len(key) <= MAX_KEY:
        raise UnsoundKeyError(f"Idempotency-Key is not 1 to {MAX_KEY} characters long")
    return key


def fingerprint(target: bytes, body: bytes) -> str:
    """The same for the same request alone: path, query and body, each with its length before it."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (target, body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()
