"""Checks that at most one control machine claims to be the primary of an epoch."""

from __future__ import annotations

from rookwood.cluster.invariants import INVARIANTS, Invariant, InvariantCounter


class SinglePrimaryCheck:
    """Compares each claim with the first one of the newest claimed epoch; older claims are ignored."""

    def __init__(self, invariants: InvariantCounter = INVARIANTS) -> None:
        self._invariants = invariants
        self._epoch = -1
        self._primary = ""

    def record_claim(self, epoch: int, machine: str) -> None:
        """Check the claim of a control machine to be the primary of an epoch."""
        if epoch > self._epoch:
            self._epoch, self._primary = epoch, machine
        elif epoch == self._epoch:
            detail = f"epoch {epoch}: {self._primary} and {machine}"
            self._invariants.check(machine == self._primary, Invariant.ONE_PRIMARY_PER_EPOCH, detail)
