"""Tracks when each item of the committed configuration changed, so that deltas can be computed.

For each item, the position at which this machine saw it change is kept. The delta from a base consists of the
items that changed after the base, with their newest texts. It can be computed from every configuration that
this machine has seen, and may span any number of versions.

A machine may miss commits, and then does not know which items were added and removed again in between. It
therefore computes deltas only from bases that it has seen itself.
"""

from __future__ import annotations

from collections.abc import Iterator

from rookwood.cluster.messages import ConfigurationDelta
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.clusterconfig.configuration_store import ConfigurationStore
from rookwood.clusterconfig.document import Configuration
from rookwood.clusterconfig.items import Item, ItemChanges, ItemKey

MOST_BASES = 4096  # positions from which deltas are computed
MOST_REMOVED = 4096  # removed items that are remembered; there is no delta from a base before the oldest


class ConfigurationHistory:
    """Records the commits that one control machine sees, and computes deltas between them."""

    def __init__(self) -> None:
        self._store = ConfigurationStore()
        self._changed_at: dict[ItemKey, ConfigurationPosition] = {}
        self._removed_at: dict[ItemKey, ConfigurationPosition] = {}
        self._bases: dict[ConfigurationPosition, None] = {}
        self._source = b""
        self.position = NO_CONFIGURATION

    @property
    def configuration(self) -> Configuration:
        """The newest configuration."""
        return self._store.configuration

    def commit(self, position: ConfigurationPosition, source: bytes) -> bool:
        """Apply a committed, validated configuration; returns whether it differs from the last one."""
        if position <= self.position:
            return False
        changed = source != self._source
        if changed:
            self._record_changes(self._store.replace(source), position)
            self._source = source
        self.position = position
        self._bases[position] = None
        while len(self._bases) > MOST_BASES:
            del self._bases[next(iter(self._bases))]
        return changed

    def changes_since(self, base: ConfigurationPosition) -> ConfigurationDelta | None:
        """The delta from a base to the newest configuration; None if the base is too old or unknown."""
        if base not in self._bases:
            return None
        changed = tuple(Item(key, self._store.texts[key]) for key in keys_after(self._changed_at, base))
        removed = tuple(keys_after(self._removed_at, base))
        return ConfigurationDelta(
            epoch=self.position.epoch,
            sequence=self.position.sequence,
            base_epoch=base.epoch,
            base_sequence=base.sequence,
            changes=ItemChanges(changed, removed),
            digest=self._store.digest,
        )

    def _record_changes(self, changes: ItemChanges, position: ConfigurationPosition) -> None:
        for item in changes.changed:
            self._removed_at.pop(item.key, None)
            self._changed_at.pop(item.key, None)
            self._changed_at[item.key] = position
        for key in changes.removed:
            del self._changed_at[key]
            self._removed_at.pop(key, None)
            self._removed_at[key] = position
        while len(self._removed_at) > MOST_REMOVED:
            oldest = next(iter(self._removed_at))
            self._forget_bases(self._removed_at.pop(oldest))

    def _forget_bases(self, until: ConfigurationPosition) -> None:
        """Forget the bases before a position, because a removal at that position was forgotten."""
        while self._bases and (oldest := next(iter(self._bases))) < until:
            del self._bases[oldest]


def keys_after(
    positions: dict[ItemKey, ConfigurationPosition], base: ConfigurationPosition
) -> Iterator[ItemKey]:
    """Yield the keys with a position after the base; the mapping must be ordered by position."""
    for key, position in reversed(positions.items()):
        if position <= base:
            return
        yield key
