"""A configuration as a set of named items, the units of which deltas consist.

Each route, each service and each other key of the document is one item. An item is a key and a canonical JSON
text, so that equal texts mean equal items. The digest of a set of items is the sum of the items' digests, so
that updating it costs only as much as the changed items.
"""

from __future__ import annotations

import enum
import hashlib
import marshal
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from rookwood.clusterconfig.json_text import JsonObject, write_value

DIGEST_BYTES = 8
DIGEST_SPACE = 1 << (8 * DIGEST_BYTES)
NAME_KEY = "name"
FINGERPRINT_FORMAT = 2  # the last `marshal` format that gives equal bytes for equal values


class Section(enum.StrEnum):
    """The kind of an item."""

    ROUTE = "route"
    SERVICE = "service"
    SETTING = "setting"


LISTED_SECTIONS = {"routes": Section.ROUTE, "svcs": Section.SERVICE}  # by document key


class ItemKey(NamedTuple):
    """The name of an item; a setting is named by its key in the document."""

    section: Section
    name: str


class Item(NamedTuple):
    """An item and its JSON text."""

    key: ItemKey
    text: bytes


@dataclass(frozen=True, slots=True)
class ItemChanges:
    """The difference between two sets of items."""

    changed: tuple[Item, ...]
    removed: tuple[ItemKey, ...]


def read_items(document: JsonObject) -> Iterator[tuple[ItemKey, Any]]:
    """Yield the items of a document with their values."""
    for key, value in document.items():
        section = LISTED_SECTIONS.get(key)
        if section is None:
            yield ItemKey(Section.SETTING, key), value
            continue
        for item in value:
            yield ItemKey(section, item[NAME_KEY]), item


class CachedText(NamedTuple):
    """The JSON text of an item's value, and a fingerprint that is cheaper to compute and to compare.

    The fingerprint distinguishes 1, 1.0 and True, which Python compares as equal.
    """

    fingerprint: bytes
    text: bytes


class ItemSerialiser:
    """Serialises successive documents; items unchanged since the previous one are not serialised again."""

    def __init__(self) -> None:
        self._cache: dict[ItemKey, CachedText] = {}

    def serialise(self, document: JsonObject) -> dict[ItemKey, bytes]:
        """Return the items of a document with their JSON texts."""
        cache: dict[ItemKey, CachedText] = {}
        for key, value in read_items(document):
            fingerprint = marshal.dumps(value, FINGERPRINT_FORMAT)
            before = self._cache.get(key)
            if before is not None and before.fingerprint == fingerprint:
                cache[key] = before
            else:
                cache[key] = CachedText(fingerprint, write_value(value))
        self._cache = cache
        return {key: item.text for key, item in cache.items()}


def find_changes(before: Mapping[ItemKey, bytes], after: Mapping[ItemKey, bytes]) -> ItemChanges:
    """Return the changes that lead from the items `before` to the items `after`."""
    changed = tuple(Item(key, text) for key, text in after.items() if before.get(key) != text)
    removed = tuple(key for key in before if key not in after)
    return ItemChanges(changed, removed)


def encode_name(name: str) -> bytes:
    """Encode a name, which in JSON may contain unpaired surrogates that plain UTF-8 rejects."""
    return name.encode("utf-8", "surrogatepass")


def decode_name(encoded: bytes) -> str:
    """Decode what `encode_name` returned; raises ValueError."""
    return encoded.decode("utf-8", "surrogatepass")


def digest_item(key: ItemKey, text: bytes) -> int:
    """Return the digest of one item."""
    head = f"{key.section.value}\n".encode() + encode_name(key.name) + b"\n"
    return int.from_bytes(hashlib.blake2b(head + text, digest_size=DIGEST_BYTES).digest(), "big")


def digest_after(digest: int, before: Mapping[ItemKey, bytes], changes: ItemChanges) -> int:
    """Return the digest after applying changes to the items `before`, whose digest is `digest`."""
    touched_keys: Iterable[ItemKey] = (*(item.key for item in changes.changed), *changes.removed)
    for key in touched_keys:
        text = before.get(key)
        if text is not None:
            digest -= digest_item(key, text)
    for item in changes.changed:
        digest += digest_item(item.key, item.text)
    return digest % DIGEST_SPACE
