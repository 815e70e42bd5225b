"""Orders of two primaries are at least the lease apart in simulated runs, which detect faulty variants."""

from __future__ import annotations

import unittest

from rookwood.controlplane.tenure import Tenure
from rookwood.lab.tenure_simulation import TenureSimulation

SEEDS = 300


class NoWait(Tenure):
    """Issues orders without any wait."""

    def may_issue_orders(self, epoch: int, since: float, now: float) -> bool:
        """Allow orders at any time."""
        return True


class ShortWait(Tenure):
    """Waits only for half of the lease."""

    def _wait_seconds(self) -> float:
        return self.lease / 2


class LeaseOnly(Tenure):
    """Ignores orders under way, and the last orders of a primary that was cut off."""

    def _wait_seconds(self) -> float:
        return self.lease


class FailureWithoutFences(Tenure):
    """Does not wait after a primary that failed, even if workers check no fences."""

    def may_issue_orders(self, epoch: int, since: float, now: float) -> bool:
        """Decide without regard to `fenced`."""
        return super().may_issue_orders(epoch, since, now) or self._previous_primary_failed(epoch, now)


class EveryPrimaryFailed(Tenure):
    """Assumes that every previous primary has failed."""

    def _previous_primary_failed(self, epoch: int, now: float) -> bool:
        return True


class PreviousPrimaryOnly(Tenure):
    """Considers only the previous primary, however short its tenure was."""

    def _previous_primary_failed(self, epoch: int, now: float) -> bool:
        previous = self._primaries.get(epoch - 1)
        link = self._links.get(previous.ip) if previous is not None else None
        return previous is not None and link is not None and link.broke_at >= previous.seen_at


class AnyEarlierBreak(Tenure):
    """Takes a link that broke at any time as a sign that the previous primary failed."""

    def _previous_primary_failed(self, epoch: int, now: float) -> bool:
        previous = self._primaries.get(epoch - 1)
        return previous is not None and previous.ip in self._links and self._links[previous.ip].broke_at > 0


def find_violation(variant: type[Tenure], fenced: bool) -> str | None:
    """The first seed under which the variant violates the rule, with the violation; None if there is none."""
    for seed in range(SEEDS):
        simulation = TenureSimulation(seed, fenced, variant)
        simulation.run()
        violation = simulation.broken()
        if violation is not None:
            return f"seed {seed}: {violation}"
    return None


class TenureSimulationTests(unittest.TestCase):
    def test_orders_of_two_primaries_are_a_lease_apart_if_workers_check_fences(self) -> None:
        self.assertIsNone(find_violation(Tenure, fenced=True))

    def test_orders_of_two_primaries_are_a_lease_apart_if_workers_check_no_fences(self) -> None:
        self.assertIsNone(find_violation(Tenure, fenced=False))

    def test_the_simulation_detects_faulty_variants(self) -> None:
        variants: list[tuple[type[Tenure], bool]] = [
            (NoWait, True),
            (NoWait, False),
            (ShortWait, False),
            (LeaseOnly, False),
            (FailureWithoutFences, False),
            (EveryPrimaryFailed, True),
            (AnyEarlierBreak, True),
            (PreviousPrimaryOnly, True),
        ]
        for variant, fenced in variants:
            with self.subTest(variant=variant.__name__, fenced=fenced):
                self.assertIsNotNone(find_violation(variant, fenced), variant.__name__)


if __name__ == "__main__":
    unittest.main()
