"""A configuration as a set of named items, which is what changes are told in.

Routes and services are items of their own; each other key of the document is one. An item is its key and its
JSON text, written the same way everywhere, so that equal texts mean equal items. The digest of a set of items
is the sum of the digests of its items: a change costs as much as the items that it touches.
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
FINGERPRINT_FORMAT = 2  # the last one of `marshal` in which equal values always give equal bytes


class Section(enum.StrEnum):
    """The kind of an item."""

    ROUTE = "route"
    SERVICE = "service"
    SETTING = "setting"


LISTED_SECTIONS = {"routes": Section.ROUTE, "svcs": Section.SERVICE}  # by the document's key


class ItemKey(NamedTuple):
    """Names an item; the name of a setting is its key in the document."""

    section: Section
    name: str


class Item(NamedTuple):
    """An item and its JSON text."""

    key: ItemKey
    text: bytes


@dataclass(frozen=True, slots=True)
class ItemChanges:
    """What leads from one set of items to another."""

    changed: tuple[Item, ...]
    removed: tuple[ItemKey, ...]


def read_items(document: JsonObject) -> Iterator[tuple[ItemKey, Any]]:
    """The items of a document, with their values."""
    for key, value in document.items():
        section = LISTED_SECTIONS.get(key)
        if section is None:
            yield ItemKey(Section.SETTING, key), value
            continue
        for item in value:
            yield ItemKey(section, item[NAME_KEY]), item


class KnownText(NamedTuple):
    """The JSON text of an item's value, and a serialisation that is cheaper to make and to compare.

    The latter tells apart what Python takes for equal: 1, 1.0 and True.
    """

    fingerprint: bytes
    text: bytes


class ItemTexts:
    """Writes the items of one document after another; what stays the same is not written again."""

    def __init__(self) -> None:
        self._known: dict[ItemKey, KnownText] = {}

    def read(self, document: JsonObject) -> dict[ItemKey, bytes]:
        """The items of a document, with their JSON texts."""
        known: dict[ItemKey, KnownText] = {}
        for key, value in read_items(document):
            fingerprint = marshal.dumps(value, FINGERPRINT_FORMAT)
            before = self._known.get(key)
            if before is not None and before.fingerprint == fingerprint:
                known[key] = before
            else:
                known[key] = KnownText(fingerprint, write_value(value))
        self._known = known
        return {key: item.text for key, item in known.items()}


def find_changes(before: Mapping[ItemKey, bytes], after: Mapping[ItemKey, bytes]) -> ItemChanges:
    """What leads from the items `before` to those `after`."""
    changed = tuple(Item(key, text) for key, text in after.items() if before.get(key) != text)
    removed = tuple(key for key in before if key not in after)
    return ItemChanges(changed, removed)


def encode_name(name: str) -> bytes:
    """A name as bytes; JSON has strings that are no valid Unicode text, and they are names all the same."""
    return name.encode("utf-8", "surrogatepass")


def decode_name(encoded: bytes) -> str:
    """Read what `encode_name` wrote; raises ValueError."""
    return encoded.decode("utf-8", "surrogatepass")


def digest_item(key: ItemKey, text: bytes) -> int:
    """The digest of one item."""
    head = f"{key.section.value}\n".encode() + encode_name(key.name) + b"\n"
    return int.from_bytes(hashlib.blake2b(head + text, digest_size=DIGEST_BYTES).digest(), "big")


def digest_after(digest: int, before: Mapping[ItemKey, bytes], changes: ItemChanges) -> int:
    """The digest of the items `before`, which is `digest`, after the changes."""
    touched: Iterable[ItemKey] = (*(item.key for item in changes.changed), *changes.removed)
    for key in touched:
        text = before.get(key)
        if text is not None:
            digest -= digest_item(key, text)
    for item in changes.changed:
        digest += digest_item(item.key, item.text)
    return digest % DIGEST_SPACE
