"""Holders of load orders never take turns within the lease: simulated runs, and broken variants."""

from __future__ import annotations

import unittest

from rookwood.controlplane.tenure import Tenure
from rookwood.lab.tenure_simulation import TenureSimulation

SEEDS = 300


class NoWait(Tenure):
    """Orders at once."""

    def may_issue_orders(self, epoch: int, since: float, now: float) -> bool:
        """Always."""
        return True


class ShortWait(Tenure):
    """Waits for half of the lease."""

    def _wait(self) -> float:
        return self.lease / 2


class LeaseOnly(Tenure):
    """Takes orders under way, and last orders of a cut-off holder, for impossible."""

    def _wait(self) -> float:
        return self.lease


class ShortcutWithoutFences(Tenure):
    """Does not wait for a holder that failed, though workers refuse nothing."""

    def may_issue_orders(self, epoch: int, since: float, now: float) -> bool:
        """Without a look at `fenced`."""
        return super().may_issue_orders(epoch, since, now) or self._holder_before_failed(epoch, now)


class ShortcutOnAnyLink(Tenure):
    """Takes every earlier holder for failed."""

    def _holder_before_failed(self, epoch: int, now: float) -> bool:
        return True


class ChainForgotten(Tenure):
    """Looks at the holder right before alone, however short its tenure was."""

    def _holder_before_failed(self, epoch: int, now: float) -> bool:
        holder = self._holders.get(epoch - 1)
        link = self._links.get(holder.ip) if holder is not None else None
        return holder is not None and link is not None and link.broke_at >= holder.seen_at


class OldBreakCounts(Tenure):
    """Takes a link that broke at any time for a sign that the holder failed."""

    def _holder_before_failed(self, epoch: int, now: float) -> bool:
        holder = self._holders.get(epoch - 1)
        return holder is not None and holder.ip in self._links and self._links[holder.ip].broke_at > 0


def first_break(variant: type[Tenure], fenced: bool) -> str | None:
    """The first seed that breaks the rule, and how."""
    for seed in range(SEEDS):
        simulation = TenureSimulation(seed, fenced, variant)
        simulation.run()
        broken = simulation.broken()
        if broken is not None:
            return f"seed {seed}: {broken}"
    return None


class TenureSimulationTests(unittest.TestCase):
    def test_holders_take_no_turns_where_workers_check_fences(self) -> None:
        self.assertIsNone(first_break(Tenure, fenced=True))

    def test_holders_take_no_turns_where_workers_check_none(self) -> None:
        self.assertIsNone(first_break(Tenure, fenced=False))

    def test_variants_that_are_broken_on_purpose_are_found(self) -> None:
        mutants: list[tuple[type[Tenure], bool]] = [
            (NoWait, True),
            (NoWait, False),
            (ShortWait, False),
            (LeaseOnly, False),
            (ShortcutWithoutFences, False),
            (ShortcutOnAnyLink, True),
            (OldBreakCounts, True),
            (ChainForgotten, True),
        ]
        for variant, fenced in mutants:
            with self.subTest(variant=variant.__name__, fenced=fenced):
                self.assertIsNotNone(first_break(variant, fenced), variant.__name__)


if __name__ == "__main__":
    unittest.main()
