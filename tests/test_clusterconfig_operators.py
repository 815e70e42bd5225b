"""Decisions on the changes of several operators: lost responses, resends, reordering and dropped history.

The reference keeps every change that was ever accepted. The control document keeps only the last two, so that
its limit is reached within a few steps.
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

REMEMBERED_CHANGES = 2
OPERATORS = 3
SERVICE = {"name": "s", "health": "/h", "max-conns": 4}
NOW_INVALID = Invalid((Fault("routes.0", "no longer allowed"),))

json_formats = st.sampled_from(
    [
        lambda body: json.dumps(body),
        lambda body: json.dumps(body, indent=3),
        lambda body: "\n " + json.dumps(body, separators=(" ,\t", " : ")) + "\r\n",
        lambda body: json.dumps(dict(reversed(body.items()))),
    ]
)


def route(prefix: int) -> dict[str, Any]:
    """Return a valid route."""
    return {
        "name": "r",
        "host": "h",
        "pfx": f"/{prefix}/",
        "kind": "safe",
        "timeout-ms": 10,
        "svc": "s",
    }


@dataclass(frozen=True)
class OperatorChange:
    """A change of an operator, independent of the JSON formatting of its body."""

    method: ChangeMethod
    base: int
    body: str

    def to_change(self, json_format: Any) -> Change:
        """Return the change with its body in some JSON format."""
        return Change(self.method, self.base, json_format(json.loads(self.body)).encode())


class OperatorsMachine(RuleBasedStateMachine):
    """Operators send changes, which the network delivers in any order and any number of times."""

    def __init__(self) -> None:
        super().__init__()
        self.limit_patch = mock.patch.object(control_document, "MAX_ACCEPTED_CHANGES", REMEMBERED_CHANGES)
        self.limit_patch.start()
        self.document = ControlDocument()
        self.accepted: list[tuple[OperatorChange, int]] = []
        self.known = [0] * OPERATORS
        self.sent: list[OperatorChange] = []

    def teardown(self) -> None:
        """Restore the limit."""
        self.limit_patch.stop()

    @rule(
        operator=st.integers(0, OPERATORS - 1),
        step=st.integers(-1, 3),
        prefix=st.integers(0, 2),
        service=st.sampled_from(["s", "s", "s", "unknown"]),
        patch=st.booleans(),
    )
    def send(self, operator: int, step: int, prefix: int, service: str, patch: bool) -> None:
        """An operator sends a change based on the version it knows; some changes are invalid."""
        base = self.known[operator]
        routes = [{**route(prefix), "svc": service}]
        if patch and base:
            body: dict[str, Any] = {"ver": base + step, "upsert": {"routes": routes}}
            self.sent.append(OperatorChange(ChangeMethod.PATCH, base, json.dumps(body)))
        else:
            body = {"ver": base + step, "routes": routes, "svcs": [SERVICE]}
            self.sent.append(OperatorChange(ChangeMethod.PUT, base, json.dumps(body)))

    @rule(operator=st.integers(0, OPERATORS - 1))
    def read(self, operator: int) -> None:
        """An operator reads the current version."""
        self.known[operator] = self.document.version

    @rule(operator=st.integers(0, OPERATORS - 1), step=st.integers(1, 3), prefix=st.integers(0, 2))
    def change_newest(self, operator: int, step: int, prefix: int) -> None:
        """An operator reads the current version, and its valid change arrives at once."""
        self.read(operator)
        self.send(operator, step, prefix, "s", patch=False)
        self.decide_and_apply(self.sent[-1], json.dumps)

    @precondition(lambda self: bool(self.sent))
    @rule(data=st.data(), json_format=json_formats)
    def deliver(self, data: st.DataObject, json_format: Any) -> None:
        """A change arrives for the first time, late or again, since any response may be lost."""
        self.decide_and_apply(data.draw(st.sampled_from(self.sent)), json_format)

    def decide_and_apply(self, change: OperatorChange, json_format: Any) -> None:
        """Decide on a change and apply the resulting document."""
        decision = decide(self.document, change.to_change(json_format))
        self.check(change, decision)
        if isinstance(decision, Accepted):
            self.accepted.append((change, decision.version))
            self.document = decision.document

    @precondition(lambda self: bool(self.accepted))
    @rule(data=st.data(), json_format=json_formats)
    def deliver_to_stricter_validation(self, data: st.DataObject, json_format: Any) -> None:
        """An accepted change arrives again after validation became stricter and would reject its body."""
        change, _ = data.draw(st.sampled_from(self.accepted))
        with (
            mock.patch.object(history, "parse_document", return_value=NOW_INVALID),
            mock.patch.object(history, "check_change", return_value=NOW_INVALID),
        ):
            self.check(change, decide(self.document, change.to_change(json_format)))

    @rule()
    def restart(self) -> None:
        """All processes restart, and the document is decoded from its stored form."""
        self.document = ControlDocument.decode(self.document.encode())

    def check(self, change: OperatorChange, decision: Decision) -> None:
        """Compare a decision with all changes that were ever accepted."""
        accepted_version = next((version for earlier, version in self.accepted if earlier == change), None)
        dropped = max(0, len(self.accepted) - REMEMBERED_CHANGES)
        if accepted_version is not None:
            remembered = any(earlier == change for earlier, _ in self.accepted[dropped:])
            assert decision == (AlreadyAccepted(accepted_version) if remembered else BaseTooOld()), decision
            return
        assert not isinstance(decision, AlreadyAccepted), decision
        if isinstance(decision, Accepted):
            assert change.base == self.document.version
            assert decision.version > self.document.version
            assert all(earlier.base != change.base for earlier, _ in self.accepted)
        if isinstance(decision, BaseTooOld):
            assert len(self.accepted) >= REMEMBERED_CHANGES
            assert change.base < self.accepted[dropped][1]
        if isinstance(decision, Conflict):
            assert change.base != self.document.version
        if isinstance(decision, InvalidChange):
            assert change.base == self.document.version

    @invariant()
    def versions_rise(self) -> None:
        """Each accepted change is based on the one before it."""
        bases = [change.base for change, _ in self.accepted]
        versions = [version for _, version in self.accepted]
        assert bases == [0, *versions][: len(bases)]
        assert versions == sorted(set(versions))


OperatorsTest = OperatorsMachine.TestCase
OperatorsTest.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)


class DroppedHistoryTest(unittest.TestCase):
    """Changes that are older than the remembered ones."""

    def test_a_change_older_than_the_remembered_ones_gives_base_too_old(self) -> None:
        first = Change(ChangeMethod.PUT, 0, json.dumps({"ver": 1, "routes": [], "svcs": []}).encode())
        decision = decide(ControlDocument(), first)
        assert isinstance(decision, Accepted)
        document = decision.document
        for version in range(2, control_document.MAX_ACCEPTED_CHANGES + 2):
            self.assertEqual(AlreadyAccepted(1), decide(document, first))
            change = AcceptedChange(version.to_bytes(DIGEST_BYTES), version)
            document = document.with_change(change, document.source)
        self.assertEqual(BaseTooOld(), decide(document, first))
        later = Change(ChangeMethod.PUT, 2, first.body)
        self.assertEqual(Conflict(document.version), decide(document, later))

    def test_a_change_whose_base_is_remembered_gives_a_conflict(self) -> None:
        body = json.dumps({"ver": 9, "routes": [], "svcs": []}).encode()
        accepted = AcceptedChanges.of((AcceptedChange(bytes(16), 7), AcceptedChange(bytes(15) + b"1", 8)))
        document = ControlDocument(8, body, accepted)
        for base in (3, 7, 9):
            self.assertEqual(Conflict(8), decide(document, Change(ChangeMethod.PUT, base, body)))


if __name__ == "__main__":
    unittest.main()
