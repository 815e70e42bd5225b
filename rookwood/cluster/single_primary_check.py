"""Checks that control machines that claim to be the primary of one epoch are one machine."""

from __future__ import annotations

from rookwood.cluster.invariants import INVARIANTS, Invariant, InvariantCounter


class SinglePrimaryCheck:
    """Remembers the primary of the newest epoch that any machine claimed."""

    def __init__(self, invariants: InvariantCounter = INVARIANTS) -> None:
        self._invariants = invariants
        self._epoch = -1
        self._primary = ""

    def record_claim(self, epoch: int, machine: str) -> None:
        """A control machine says that it is the primary of this epoch."""
        if epoch > self._epoch:
            self._epoch, self._primary = epoch, machine
        elif epoch == self._epoch:
            detail = f"epoch {epoch}: {self._primary} and {machine}"
            self._invariants.check(machine == self._primary, Invariant.ONE_PRIMARY_PER_EPOCH, detail)
