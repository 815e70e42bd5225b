"""The committed configuration as a control machine tells it: whole, or by its changes since a base.

For each item the position is kept at which this machine saw it change. The changes since a base are then the
items that changed after it, with their newest texts: they can be computed for every base since this machine
came to know a configuration, and cover any number of versions at once.

A machine need not see each commit, and does not know what came and went between two that it saw. So it tells
changes only since bases that it has seen itself.
"""

from __future__ import annotations

from collections.abc import Iterator

from rookwood.cluster.messages import ConfigurationDelta
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.clusterconfig.configuration_store import ConfigurationStore
from rookwood.clusterconfig.document import Configuration
from rookwood.clusterconfig.items import Item, ItemChanges, ItemKey

MOST_BASES = 4096  # positions since which changes are told
MOST_REMOVED = 4096  # removed items that are remembered; a base from before the oldest gets the whole


class ConfigurationHistory:
    """Follows the commits of one control machine."""

    def __init__(self) -> None:
        self._store = ConfigurationStore()
        self._changed_at: dict[ItemKey, ConfigurationPosition] = {}
        self._removed_at: dict[ItemKey, ConfigurationPosition] = {}
        self._seen: dict[ConfigurationPosition, None] = {}
        self._source = b""
        self.position = NO_CONFIGURATION

    @property
    def configuration(self) -> Configuration:
        """The newest configuration."""
        return self._store.configuration

    def commit(self, position: ConfigurationPosition, source: bytes) -> bool:
        """Take in a committed, validated configuration; returns whether it differs from the last one."""
        if position <= self.position:
            return False
        changed = source != self._source
        if changed:
            self._note(self._store.replace(source), position)
            self._source = source
        self.position = position
        self._seen[position] = None
        while len(self._seen) > MOST_BASES:
            del self._seen[next(iter(self._seen))]
        return changed

    def changes_since(self, base: ConfigurationPosition) -> ConfigurationDelta | None:
        """The newest configuration by its changes since a base; None where the base is too old or unknown."""
        if base not in self._seen:
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

    def _note(self, changes: ItemChanges, position: ConfigurationPosition) -> None:
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
        """Forget the bases before a position: a removal at it is not known any more."""
        while self._seen and (oldest := next(iter(self._seen))) < until:
            del self._seen[oldest]


def keys_after(
    positions: dict[ItemKey, ConfigurationPosition], base: ConfigurationPosition
) -> Iterator[ItemKey]:
    """The keys with a position after the base; the positions rise in the order of the mapping."""
    for key, position in reversed(positions.items()):
        if position <= base:
            return
        yield key
