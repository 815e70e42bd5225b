"""Worker records: parsing heartbeats, and merging records of one worker from several sources."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace

from rookwood.cluster.workers import (
    HeldModel,
    HoldingStamp,
    MalformedHeartbeatError,
    WorkerRecord,
    WorkerRegistry,
    WorkerState,
    merge_records,
    parse_heartbeat,
)

SMALL = HeldModel("small", 1, frozenset())
SMALL_WITH_ADAPTER = HeldModel("small", 1, frozenset({"a1"}))
LARGE = HeldModel("large", 2, frozenset())
RECORD = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, (SMALL,))
HEARTBEAT = {
    "svc": "models",
    "addr": "10.0.0.9:80",
    "az": "z1",
    "ver": "v1",
    "slots": 64,
    "state": "up",
    "cold-ms": 0,
    "phase": "both",
    "models": [{"name": "small", "ver": 1, "loras": ["a2", "a1"]}],
    "seq": 4,
}


class HeartbeatTests(unittest.TestCase):
    def test_all_fields_of_a_heartbeat_are_read(self) -> None:
        record = parse_heartbeat("i-1", HEARTBEAT)
        held = (HeldModel("small", 1, frozenset({"a1", "a2"})),)
        self.assertEqual(
            WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 64, WorkerState.UP, 4, held), record
        )

    def test_draining_is_read(self) -> None:
        record = parse_heartbeat("i-1", {**HEARTBEAT, "state": "draining"})
        self.assertIs(WorkerState.DRAINING, record.state)

    def test_a_worker_of_a_service_without_models_names_none(self) -> None:
        document = {key: value for key, value in HEARTBEAT.items() if key != "models"}
        self.assertEqual((), parse_heartbeat("i-1", document).models)

    def test_a_missing_or_wrong_field_is_a_malformed_heartbeat(self) -> None:
        broken: list[dict[str, object]] = [
            *(
                {key: value for key, value in HEARTBEAT.items() if key != missing}
                for missing in ("svc", "addr", "seq")
            ),
            {**HEARTBEAT, "seq": "four"},
            {**HEARTBEAT, "slots": []},
            {**HEARTBEAT, "models": [{"ver": 1}]},
            {**HEARTBEAT, "models": 7},
            {**HEARTBEAT, "models": ["small"]},
        ]
        for document in broken:
            with self.subTest(document=document), self.assertRaises(MalformedHeartbeatError):
                parse_heartbeat("i-1", document)

    def test_an_adapter_is_held_only_with_its_model(self) -> None:
        record = replace(RECORD, models=(SMALL_WITH_ADAPTER, LARGE))
        self.assertTrue(record.holds("small", ""))
        self.assertTrue(record.holds("small", "a1"))
        self.assertFalse(record.holds("small", "a2"))
        self.assertFalse(record.holds("large", "a1"))
        self.assertFalse(record.holds("other", ""))


class MergeTests(unittest.TestCase):
    def test_a_late_heartbeat_changes_nothing(self) -> None:
        known = replace(RECORD, sequence=9, slots=16, models=(LARGE,))
        late = replace(RECORD, sequence=8)
        self.assertEqual(known, merge_records(known, late))

    def test_draining_is_never_undone(self) -> None:
        draining = replace(RECORD, state=WorkerState.DRAINING, sequence=6)
        up = replace(RECORD, sequence=7)
        self.assertIs(WorkerState.DRAINING, merge_records(draining, up).state)

    def test_a_late_heartbeat_of_a_draining_worker_still_counts(self) -> None:
        late = replace(RECORD, state=WorkerState.DRAINING, sequence=4)
        self.assertIs(WorkerState.DRAINING, merge_records(RECORD, late).state)

    def test_models_are_ordered_by_holding_stamp_whatever_the_sequence(self) -> None:
        reported = replace(RECORD, models=(LARGE,), holding=HoldingStamp(2, 1), sequence=3)
        heartbeat = replace(RECORD, sequence=9)
        for first, second in ((reported, heartbeat), (heartbeat, reported)):
            merged = merge_records(first, second)
            self.assertEqual((LARGE,), merged.models)
            self.assertEqual(HoldingStamp(2, 1), merged.holding)
            self.assertEqual(9, merged.sequence)

    def test_the_epoch_of_a_stamp_takes_precedence_over_its_counter(self) -> None:
        old_primary = replace(RECORD, models=(SMALL,), holding=HoldingStamp(2, 900))
        new_primary = replace(RECORD, models=(LARGE,), holding=HoldingStamp(3, 1))
        for first, second in ((old_primary, new_primary), (new_primary, old_primary)):
            self.assertEqual((LARGE,), merge_records(first, second).models)

    def test_the_order_of_arrival_makes_no_difference(self) -> None:
        records = (
            replace(RECORD, sequence=6, models=(LARGE,)),
            replace(RECORD, sequence=7, state=WorkerState.DRAINING),
            replace(RECORD, sequence=8, models=(SMALL_WITH_ADAPTER,), holding=HoldingStamp(1, 2)),
            replace(RECORD, sequence=5, models=(LARGE,), holding=HoldingStamp(1, 3)),
        )
        results = set()
        for ordering in itertools.permutations(records):
            registry = WorkerRegistry()
            for record in ordering:
                registry.merge(record)
            results.add(registry.get("i-1"))
        self.assertEqual(1, len(results), results)


class RegistryTests(unittest.TestCase):
    def test_changes_are_returned_and_repetitions_are_not(self) -> None:
        registry = WorkerRegistry()
        self.assertEqual(RECORD, registry.merge(RECORD))
        self.assertIsNone(registry.merge(RECORD))
        self.assertIsNone(registry.merge(replace(RECORD, sequence=6)))
        changed = replace(RECORD, sequence=7, slots=4)
        self.assertEqual(changed, registry.merge(changed))

    def test_a_repetition_still_raises_the_sequence(self) -> None:
        registry = WorkerRegistry()
        registry.merge(RECORD)
        registry.merge(replace(RECORD, sequence=8))
        registry.merge(replace(RECORD, sequence=7, slots=99))
        known = registry.get("i-1")
        assert known is not None
        self.assertEqual(RECORD.slots, known.slots)

    def test_a_deleted_worker_stays_deleted(self) -> None:
        registry = WorkerRegistry()
        registry.merge(RECORD)
        self.assertTrue(registry.delete("i-1"))
        self.assertFalse(registry.delete("i-1"))
        self.assertIsNone(registry.merge(replace(RECORD, sequence=99)))
        self.assertIsNone(registry.get("i-1"))
        self.assertTrue(registry.was_deleted("i-1"))
        self.assertEqual(0, len(registry))

    def test_a_worker_deleted_before_it_was_known_stays_deleted(self) -> None:
        registry = WorkerRegistry()
        self.assertTrue(registry.delete("i-1"))
        self.assertIsNone(registry.merge(RECORD))
        self.assertEqual([], list(registry))

    def test_a_forgotten_worker_may_come_back(self) -> None:
        registry = WorkerRegistry()
        registry.merge(RECORD)
        self.assertTrue(registry.forget("i-1"))
        self.assertFalse(registry.forget("i-1"))
        self.assertEqual(RECORD, registry.merge(RECORD))


if __name__ == "__main__":
    unittest.main()
