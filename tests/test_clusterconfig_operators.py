"""Several operators against the decisions on changes: lost answers, resends, reorderings, forgotten history.

The reference keeps every change that was ever accepted. The control document keeps the last two only, so
that the bound is reached within a few steps.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import dataclass
from typing import Any
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rookwood.clusterconfig import control_document, history
from rookwood.clusterconfig.accepted_changes import DIGEST_BYTES, AcceptedChanges
from rookwood.clusterconfig.faults import Fault, Invalid
from rookwood.clusterconfig.history import (
    Accepted,
    AcceptedChange,
    AlreadyAccepted,
    BaseTooOld,
    Change,
    ChangeMethod,
    Conflict,
    ControlDocument,
    Decision,
    InvalidChange,
    decide,
)

REMEMBERED = 2
OPERATORS = 3
SERVICE = {"name": "s", "health": "/h", "max-conns": 4}
NOW_INVALID = Invalid((Fault("routes.0", "no longer allowed"),))

spellings = st.sampled_from(
    [
        lambda body: json.dumps(body),
        lambda body: json.dumps(body, indent=3),
        lambda body: "\n " + json.dumps(body, separators=(" ,\t", " : ")) + "\r\n",
        lambda body: json.dumps(dict(reversed(body.items()))),
    ]
)


def route(prefix: int) -> dict[str, Any]:
    """A valid route."""
    return {
        "name": "r",
        "host": "h",
        "pfx": f"/{prefix}/",
        "kind": "safe",
        "timeout-ms": 10,
        "svc": "s",
    }


@dataclass(frozen=True)
class Order:
    """A change as an operator means it, apart from the spelling of its body."""

    method: ChangeMethod
    base: int
    body: str

    def spelled(self, spelling: Any) -> Change:
        """The change with its body written in some way."""
        return Change(self.method, self.base, spelling(json.loads(self.body)).encode())


class OperatorsMachine(RuleBasedStateMachine):
    """Operators send changes that the network delivers in any order, any number of times."""

    def __init__(self) -> None:
        super().__init__()
        self.bound = mock.patch.object(control_document, "MAX_TAKEN_CHANGES", REMEMBERED)
        self.bound.start()
        self.document = ControlDocument()
        self.accepted: list[tuple[Order, int]] = []
        self.known = [0] * OPERATORS
        self.sent: list[Order] = []

    def teardown(self) -> None:
        """Restore the bound."""
        self.bound.stop()

    @rule(
        operator=st.integers(0, OPERATORS - 1),
        step=st.integers(-1, 3),
        prefix=st.integers(0, 2),
        service=st.sampled_from(["s", "s", "s", "unknown"]),
        patch=st.booleans(),
    )
    def send(self, operator: int, step: int, prefix: int, service: str, patch: bool) -> None:
        """An operator builds a change on the version it knows; some are invalid."""
        base = self.known[operator]
        routes = [{**route(prefix), "svc": service}]
        if patch and base:
            body: dict[str, Any] = {"ver": base + step, "upsert": {"routes": routes}}
            self.sent.append(Order(ChangeMethod.PATCH, base, json.dumps(body)))
        else:
            body = {"ver": base + step, "routes": routes, "svcs": [SERVICE]}
            self.sent.append(Order(ChangeMethod.PUT, base, json.dumps(body)))

    @rule(operator=st.integers(0, OPERATORS - 1))
    def read(self, operator: int) -> None:
        """An operator reads the newest version back."""
        self.known[operator] = self.document.version

    @rule(operator=st.integers(0, OPERATORS - 1), step=st.integers(1, 3), prefix=st.integers(0, 2))
    def change_the_newest(self, operator: int, step: int, prefix: int) -> None:
        """An operator reads the newest version, and its valid change arrives at once."""
        self.read(operator)
        self.send(operator, step, prefix, "s", patch=False)
        self.arrive(self.sent[-1], json.dumps)

    @precondition(lambda self: bool(self.sent))
    @rule(data=st.data(), spelling=spellings)
    def deliver(self, data: st.DataObject, spelling: Any) -> None:
        """A change arrives: for the first time, late, or again; answers may all be lost."""
        self.arrive(data.draw(st.sampled_from(self.sent)), spelling)

    def arrive(self, order: Order, spelling: Any) -> None:
        """Have a change decided, and take the document that it leads to."""
        decision = decide(self.document, order.spelled(spelling))
        self.check(order, decision)
        if isinstance(decision, Accepted):
            self.accepted.append((order, decision.version))
            self.document = decision.document

    @precondition(lambda self: bool(self.accepted))
    @rule(data=st.data(), spelling=spellings)
    def deliver_to_a_stricter_program(self, data: st.DataObject, spelling: Any) -> None:
        """A change that was taken arrives again where its body would be refused by now."""
        order, _ = data.draw(st.sampled_from(self.accepted))
        with (
            mock.patch.object(history, "parse_document", return_value=NOW_INVALID),
            mock.patch.object(history, "check_change", return_value=NOW_INVALID),
        ):
            self.check(order, decide(self.document, order.spelled(spelling)))

    @rule()
    def restart(self) -> None:
        """All processes end; the document comes back from its stored form."""
        self.document = ControlDocument.decode(self.document.encode())

    def check(self, order: Order, decision: Decision) -> None:
        """Compare a decision with all that was ever accepted."""
        taken_as = next((version for taken, version in self.accepted if taken == order), None)
        forgotten = max(0, len(self.accepted) - REMEMBERED)
        if taken_as is not None:
            remembered = any(taken == order for taken, _ in self.accepted[forgotten:])
            assert decision == (AlreadyAccepted(taken_as) if remembered else BaseTooOld()), decision
            return
        assert not isinstance(decision, AlreadyAccepted), decision
        if isinstance(decision, Accepted):
            assert order.base == self.document.version
            assert decision.version > self.document.version
            assert all(taken.base != order.base for taken, _ in self.accepted)
        if isinstance(decision, BaseTooOld):
            assert len(self.accepted) >= REMEMBERED
            assert order.base < self.accepted[forgotten][1]
        if isinstance(decision, Conflict):
            assert order.base != self.document.version
        if isinstance(decision, InvalidChange):
            assert order.base == self.document.version

    @invariant()
    def versions_rise(self) -> None:
        """Each accepted change built on the one before."""
        bases = [order.base for order, _ in self.accepted]
        versions = [version for _, version in self.accepted]
        assert bases == [0, *versions][: len(bases)]
        assert versions == sorted(set(versions))


OperatorsTest = OperatorsMachine.TestCase
OperatorsTest.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)


class ForgottenHistoryTest(unittest.TestCase):
    """A change beyond the remembered ones."""

    def test_a_change_older_than_the_bound_gets_no_clear_answer(self) -> None:
        first = Change(ChangeMethod.PUT, 0, json.dumps({"ver": 1, "routes": [], "svcs": []}).encode())
        decision = decide(ControlDocument(), first)
        assert isinstance(decision, Accepted)
        document = decision.document
        for version in range(2, control_document.MAX_TAKEN_CHANGES + 2):
            self.assertEqual(AlreadyAccepted(1), decide(document, first))
            change = AcceptedChange(version.to_bytes(DIGEST_BYTES), version)
            document = document.with_change(change, document.source)
        self.assertEqual(BaseTooOld(), decide(document, first))
        later = Change(ChangeMethod.PUT, 2, first.body)
        self.assertEqual(Conflict(document.version), decide(document, later))

    def test_a_change_whose_base_is_remembered_is_refused(self) -> None:
        body = json.dumps({"ver": 9, "routes": [], "svcs": []}).encode()
        taken = AcceptedChanges.of((AcceptedChange(bytes(16), 7), AcceptedChange(bytes(15) + b"1", 8)))
        document = ControlDocument(8, body, taken)
        for base in (3, 7, 9):
            self.assertEqual(Conflict(8), decide(document, Change(ChangeMethod.PUT, base, body)))


if __name__ == "__main__":
    unittest.main()
