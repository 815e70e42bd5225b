"""What clients were told of one key: histories that one write explains, and seeded violations."""

from __future__ import annotations

import math

import pytest

from rookwood.lab.histories import Told, Try, fault

SERVED, REPLAYED, FAILED, REFUSED, LOST = Told


def tried(began: float, ended: float, told: Told, result: str = "") -> Try:
    return Try(began, math.inf if told is LOST else ended, told, result)


@pytest.mark.parametrize(
    "tries",
    [
        [],
        [tried(0, 1, SERVED, "a"), tried(2, 3, REPLAYED, "a"), tried(2, 3, REFUSED)],
        [tried(0, 5, SERVED, "a"), tried(1, 2, REFUSED), tried(4, 6, REPLAYED, "a")],
        [tried(0, 9, LOST), tried(1, 2, REFUSED), tried(3, 4, REPLAYED, "a")],
        [tried(0, 9, LOST), tried(1, 2, SERVED, "b")],  # the one that was lost had not run
        [tried(0, 5, SERVED, "a"), tried(1, 2, FAILED)],  # its holder had been silent for a lease
        [tried(0, 1, FAILED), tried(2, 3, REPLAYED, "a")],  # and has come back with the truth
    ],
)
def test_what_one_order_explains_is_no_fault(tries: list[Try]) -> None:
    assert fault(tries) is None and fault(reversed(tries)) is None


@pytest.mark.parametrize(
    ("why", "tries"),
    [
        ("served twice", [tried(0, 1, SERVED, "a"), tried(2, 3, SERVED, "a")]),
        ("two results", [tried(0, 1, SERVED, "a"), tried(2, 3, REPLAYED, "b")]),
        ("two results", [tried(0, 9, LOST), tried(2, 3, REPLAYED, "a"), tried(4, 5, REPLAYED, "b")]),
        ("a result that nobody made", [tried(0, 1, REFUSED), tried(2, 3, REPLAYED, "a")]),
        ("a result that nobody made", [tried(0, 1, REPLAYED, "a"), tried(2, 3, SERVED, "a")]),
        ("a result that nobody made", [tried(0, 1, REPLAYED, "a"), tried(2, 9, LOST)]),
        ("a result that had been told was lost", [tried(0, 1, SERVED, "a"), tried(2, 3, FAILED)]),
    ],
)
def test_seeded_violation_is_found(why: str, tries: list[Try]) -> None:
    assert fault(tries) == why and fault(reversed(tries)) == why
