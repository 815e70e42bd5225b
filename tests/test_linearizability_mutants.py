"""Broken variants that the check of linearizability finds by itself, with all other checks silenced."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from rookwood.clusterconfig import history
from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.clusterconfig.history import Accepted, AcceptedChange, Change, Decision
from rookwood.lab.controlsimulation import LinearizabilityError, Plan, Simulation
from rookwood.lab.controlsimulation.checks import Checks
from tests.test_replication_mutants import (
    STALE_PRIMARY,
    Patch,
    confirmed_without_round,
    write_under_way_answered_as_not_done,
)

SEEDS_TO_SEARCH = 60


def read_answered_by_a_deposed_primary() -> Patch:
    return confirmed_without_round()


def change_sent_again_taken_twice() -> Patch:
    original = history.decide

    def decide(document: ControlDocument, change: Change) -> Decision:
        taken = document.find_accepted(change.digest())
        if taken is None:
            return original(document, change)
        version = document.version + 1
        return Accepted(document.with_change(AcceptedChange(taken.digest, version), change.body), version)

    return patch.object(history, "decide", decide)


def change_sent_again_refused_though_taken() -> Patch:
    return patch.object(ControlDocument, "find_accepted", lambda self, digest: None)


@contextmanager
def other_checks_silenced() -> Iterator[None]:
    with patch.object(Checks, "fail", lambda self, why: None), patch.object(Checks, "check_end"):
        yield


class LinearizabilityMutantTest(unittest.TestCase):
    def assert_found(self, mutant: Patch, plan: Plan | None = None) -> None:
        with mutant, other_checks_silenced():
            for seed in range(SEEDS_TO_SEARCH):
                try:
                    Simulation(seed, plan).run()
                except LinearizabilityError:
                    return
        self.fail(f"{SEEDS_TO_SEARCH} seeds give no history that is not linearizable")

    def test_read_answered_by_a_deposed_primary(self) -> None:
        self.assert_found(read_answered_by_a_deposed_primary(), STALE_PRIMARY)

    def test_change_sent_again_taken_twice(self) -> None:
        self.assert_found(change_sent_again_taken_twice())

    def test_change_sent_again_refused_though_taken(self) -> None:
        self.assert_found(change_sent_again_refused_though_taken())

    def test_write_under_way_answered_as_not_done(self) -> None:
        self.assert_found(write_under_way_answered_as_not_done())
