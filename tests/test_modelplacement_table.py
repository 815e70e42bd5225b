"""The placement table (shares, ranges, room, stability) and the choice of a worker for a request."""

from __future__ import annotations

import itertools
import math
import unittest
from collections.abc import Mapping
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.modelplacement.permutation import EXACT_LIMIT, assign_with_least_deviation
from rookwood.modelplacement.selection import Candidate, choose_worker
from rookwood.modelplacement.table import RAMP_S, PlacementTable
from rookwood.modelplacement.types import ModelSpec, Outcome, WeightsKey, WorkerWeights

LONG_AGO = -10 * RAMP_S


def worker_report(
    worker: str,
    models: Mapping[str, frozenset[str]] | None = None,
    size_mb: float = 300.0,
    adapter_slots: int = 4,
    started: float = LONG_AGO,
    draining: bool = False,
) -> WorkerWeights:
    return WorkerWeights(
        worker, "z", size_mb, adapter_slots, 64, models or {}, False, 0, 0, 0, draining, started
    )


def model_specs(count: int = 8) -> dict[str, ModelSpec]:
    """Models of two sizes, with adapters of two sizes."""
    return {
        f"m{i}": ModelSpec(f"m{i}", 100.0 if i % 2 else 80.0, 1.0, 9, 5.0 if i % 2 else 2.0)
        for i in range(count)
    }


def worker_reports(count: int) -> list[WorkerWeights]:
    return [worker_report(f"w{i}") for i in range(count)]


keys = st.builds(
    WeightsKey, st.sampled_from([f"m{i}" for i in range(8)]), st.sampled_from(["", "a1", "a2", "a3"])
)
counts = st.dictionaries(keys, st.floats(0.01, 50.0), min_size=1, max_size=20)


def used_mb(models: Mapping[str, ModelSpec], wanted: frozenset[WeightsKey]) -> float:
    return sum(models[key.model].size_of(key) for key in wanted)


class TablePropertyTests(unittest.TestCase):
    @given(st.integers(1, 12), st.lists(counts, min_size=1, max_size=4))
    @settings(deadline=None, max_examples=80)
    def test_fractions_sum_to_one_and_room_is_respected(
        self, workers: int, steps: list[dict[WeightsKey, float]]
    ) -> None:
        models = model_specs()
        table = PlacementTable(models)
        present = worker_reports(workers)
        for step, demand in enumerate(steps):
            for key, amount in demand.items():
                table.record(key, amount, float(step))
            table.step(step + 1.0, present)
            for key in (WeightsKey(m, a) for m in models for a in ("", "a1", "a2", "a3")):
                fractions = table.fractions(key)
                self.assertAlmostEqual(sum(f for _, f in fractions), 1.0)
                self.assertTrue(all(f > 0.0 for _, f in fractions))
                self.assertEqual(len({w for w, _ in fractions}), len(fractions))
            for worker, wanted in table.wanted_weights().items():
                self.assertLessEqual(used_mb(models, wanted), 300.0, worker)
                self.assertLessEqual(sum(bool(key.adapter) for key in wanted), 4, worker)
                self.assertTrue({key.base for key in wanted} <= wanted)

    @given(st.integers(1, 12), counts, st.randoms(use_true_random=False))
    @settings(deadline=None, max_examples=40)
    def test_the_same_demand_gives_the_same_table_in_any_order(
        self, workers: int, demand: dict[WeightsKey, float], random: Random
    ) -> None:
        tables = []
        for _ in range(2):
            table = PlacementTable(model_specs())
            present = worker_reports(workers)
            items = list(demand.items())
            random.shuffle(present)
            random.shuffle(items)
            for key, amount in items:
                table.record(key, amount, 0.0)
            table.step(1.0, present)
            tables.append({key: sorted(table.fractions(key)) for key in demand})
        self.assertEqual(tables[0], tables[1])

    @given(
        st.integers(2, 5).flatmap(
            lambda n: st.lists(st.lists(st.floats(0.0, 1.0), min_size=n, max_size=n), min_size=n, max_size=n)
        )
    )
    @settings(deadline=None, max_examples=80)
    def test_the_permutation_of_a_small_range_deviates_least(self, overlaps: list[list[float]]) -> None:
        names = [f"w{i}" for i in range(len(overlaps))]
        overlap = {(a, b): overlaps[i][j] for i, a in enumerate(names) for j, b in enumerate(names)}
        chosen = assign_with_least_deviation(names, overlap)
        self.assertEqual(sorted(chosen), names)
        self.assertEqual(sorted(chosen.values()), names)
        best = max(
            sum(overlap[pair] for pair in zip(names, order, strict=True))
            for order in itertools.permutations(names)
        )
        self.assertAlmostEqual(sum(overlap[pair] for pair in chosen.items()), best)

    @given(st.integers(0, 2**31))
    @settings(deadline=None, max_examples=20)
    def test_the_permutation_of_a_large_range_is_one_to_one(self, seed: int) -> None:
        random = Random(seed)
        names = [f"w{i}" for i in range(EXACT_LIMIT + 20)]
        pairs = [(random.choice(names), random.choice(names)) for _ in range(60)]
        chosen = assign_with_least_deviation(names, {pair: random.random() for pair in pairs})
        self.assertEqual(sorted(chosen), sorted(names))
        self.assertEqual(sorted(chosen.values()), sorted(names))


class TableScenarioTests(unittest.TestCase):
    def test_a_group_gets_workers_by_its_demand(self) -> None:
        models = {
            "large": ModelSpec("large", 200.0, 1, 0, 1.0),
            "small": ModelSpec("small", 100.0, 1, 0, 1.0),
        }
        table = PlacementTable(models)
        table.record(WeightsKey("large"), 30.0, 0.0)
        table.record(WeightsKey("small"), 10.0, 0.0)
        table.step(1.0, worker_reports(8))
        large, small = table.fractions(WeightsKey("large")), table.fractions(WeightsKey("small"))
        self.assertEqual((len(large), len(small)), (6, 2))
        self.assertFalse({w for w, _ in large} & {w for w, _ in small})

    def test_a_key_with_most_of_the_demand_gets_most_of_many_workers(self) -> None:
        table = PlacementTable(model_specs())
        table.record(WeightsKey("m1"), 300.0, 0.0)
        table.record(WeightsKey("m0"), 100.0, 0.0)
        table.step(1.0, worker_reports(200))
        fractions = table.fractions(WeightsKey("m1"))
        self.assertEqual(len(fractions), 150)
        self.assertLess(max(f for _, f in fractions), 2.0 / 150)

    def test_a_step_without_demand_keeps_the_table(self) -> None:
        table = PlacementTable(model_specs())
        table.record(WeightsKey("m1"), 5.0, 0.0)
        table.step(1.0, worker_reports(4))
        before = table.fractions(WeightsKey("m1"))
        table.step(2.0, worker_reports(4))
        self.assertEqual(table.fractions(WeightsKey("m1")), before)

    def test_steady_demand_keeps_every_key_where_it_is(self) -> None:
        table = PlacementTable(model_specs())
        tables = []
        for step in range(6):
            for index in range(8):
                table.record(WeightsKey(f"m{index}"), 1.0 + index, float(step))
            table.step(step + 1.0, worker_reports(6))
            tables.append({f"m{i}": sorted(table.fractions(WeightsKey(f"m{i}"))) for i in range(8)})
        for name, fractions in tables[-1].items():
            self.assertEqual([w for w, _ in fractions], [w for w, _ in tables[-2][name]])

    def test_workers_that_hold_the_weights_are_preferred(self) -> None:
        present = [worker_report(f"w{i}") for i in range(5)] + [worker_report("holder", {"m1": frozenset()})]
        table = PlacementTable(model_specs())
        for index in range(8):
            table.record(WeightsKey(f"m{index}"), 1.0, 0.0)
        table.step(1.0, present)
        self.assertIn("holder", [worker for worker, _ in table.fractions(WeightsKey("m1"))])

    def test_the_fraction_of_a_worker_that_is_gone_goes_to_the_others(self) -> None:
        table = PlacementTable(model_specs())
        table.record(WeightsKey("m1"), 5.0, 0.0)
        table.step(1.0, worker_reports(4))
        gone = table.fractions(WeightsKey("m1"))[0][0]
        table.step(2.0, [worker for worker in worker_reports(4) if worker.worker != gone])
        fractions = table.fractions(WeightsKey("m1"))
        self.assertNotIn(gone, dict(fractions))
        self.assertAlmostEqual(sum(dict(fractions).values()), 1.0)

    def test_a_draining_worker_gets_no_fraction(self) -> None:
        table = PlacementTable(model_specs())
        table.record(WeightsKey("m1"), 5.0, 0.0)
        table.step(1.0, [worker_report("w0"), worker_report("w1", draining=True)])
        self.assertEqual(table.fractions(WeightsKey("m1")), (("w0", 1.0),))
        self.assertEqual(table.fractions(WeightsKey("m2")), (("w0", 1.0),))

    def test_a_new_worker_gets_a_smaller_fraction_until_its_ramp_ends(self) -> None:
        def share(age: float) -> float:
            table = PlacementTable(model_specs())
            table.record(WeightsKey("m1"), 20.0, 0.0)
            table.step(1.0, [worker_report("old"), worker_report("new", started=1.0 - age)])
            return dict(table.fractions(WeightsKey("m1"))).get("new", 0.0)

        self.assertLess(share(0.0), share(RAMP_S / 2))
        self.assertLess(share(RAMP_S / 2), share(RAMP_S))

    def test_a_key_without_demand_has_one_worker_in_the_range_of_its_group(self) -> None:
        table = PlacementTable(model_specs())
        for index in (1, 3):
            table.record(WeightsKey(f"m{index}"), 10.0, 0.0)
        table.record(WeightsKey("m0"), 20.0, 0.0)
        table.step(1.0, worker_reports(8))
        busy = {w for index in (1, 3) for w, _ in table.fractions(WeightsKey(f"m{index}"))}
        ((worker, fraction),) = table.fractions(WeightsKey("m5"))
        self.assertIn(worker, busy)
        self.assertEqual(fraction, 1.0)

    def test_without_workers_there_are_no_fractions(self) -> None:
        table = PlacementTable(model_specs())
        table.record(WeightsKey("m1"), 1.0, 0.0)
        table.step(1.0, [])
        self.assertEqual(table.fractions(WeightsKey("m1")), ())

    def test_operating_points_fall_on_bad_outcomes_and_rise_slowly(self) -> None:
        table = PlacementTable(model_specs())
        group = model_specs()["m1"].size_mb
        seed = table.operating_points.for_group(group)
        for outcome in (Outcome.LATE, Outcome.FULL, Outcome.FAILED, Outcome.TIMED_OUT):
            table.record_outcome("w0", WeightsKey("m1"), outcome, 0.0)
        fallen = table.operating_points.for_group(group)
        self.assertLess(fallen, seed)
        for _ in range(4):
            table.record_outcome("w0", WeightsKey("m1"), Outcome.OK, 1.0)
        self.assertLess(fallen, table.operating_points.for_group(group))
        self.assertLess(table.operating_points.for_group(group), seed)
        self.assertEqual(table.operating_points.for_group(model_specs()["m0"].size_mb), seed)


WHOLE_PROMPT_SECONDS = 0.24


def candidate(worker: str, running: int = 0, affinity: float = 0.0, same_zone: bool = False) -> Candidate:
    prefill = (1.0 - affinity) * WHOLE_PROMPT_SECONDS
    return Candidate(worker, 0, running, 0, 64, same_zone, prefill=prefill)


class SelectionTests(unittest.TestCase):
    key = WeightsKey("m1")

    def choose(
        self, candidates: list[Candidate], fractions: tuple[tuple[str, float], ...]
    ) -> list[str | None]:
        random = Random(1)
        return [choose_worker(self.key, candidates, fractions, random) for _ in range(400)]

    def test_a_worker_with_an_idle_connection_is_chosen_over_equal_ones(self) -> None:
        kept = Candidate("kept", 0, 0, 0, 64, True, connected=True)
        others = [Candidate(f"w{number}", 0, 0, 0, 64, True) for number in range(8)]
        self.assertEqual({"kept"}, set(self.choose([*others, kept], ())))

    def test_an_idle_connection_does_not_outweigh_a_backlog(self) -> None:
        kept = Candidate("kept", 0, 0, 0, 64, True, backlog=0.2, connected=True)
        other = Candidate("other", 0, 0, 0, 64, True)
        chosen = self.choose([kept, other], ())
        self.assertGreater(chosen.count("other"), 0.6 * len(chosen))

    def test_without_a_holder_no_worker_is_chosen(self) -> None:
        self.assertIsNone(choose_worker(self.key, [], (("a", 1.0),), Random(1)))

    def test_a_worker_with_a_fraction_is_chosen_at_equal_cost(self) -> None:
        chosen = self.choose([candidate("b"), candidate("a")], (("a", 1.0),))
        self.assertEqual(set(chosen), {"a"})

    def test_a_holder_without_a_fraction_is_chosen_if_it_is_cheaper(self) -> None:
        chosen = self.choose([candidate("a", running=9), candidate("b")], (("a", 1.0),))
        self.assertGreater(chosen.count("b"), 270)

    def test_holders_without_a_fraction_are_chosen_if_there_are_no_others(self) -> None:
        chosen = self.choose([candidate("b"), candidate("c")], (("a", 1.0),))
        self.assertEqual(set(chosen), {"b", "c"})

    def test_draws_follow_the_fractions_at_equal_load(self) -> None:
        """On a tie the first draw wins, so each worker is chosen by its fraction."""
        random = Random(3)
        workers = [candidate("a"), candidate("b"), candidate("c")]
        fractions = (("a", 0.6), ("b", 0.3), ("c", 0.1))
        chosen = [choose_worker(self.key, workers, fractions, random) for _ in range(6000)]
        for worker, fraction in fractions:
            self.assertTrue(math.isclose(chosen.count(worker) / 6000, fraction, abs_tol=0.03))

    def test_the_less_loaded_of_the_drawn_workers_is_chosen(self) -> None:
        """The loaded worker is chosen only if all four draws yield it, which happens one time in sixteen."""
        chosen = self.choose([candidate("a", running=5), candidate("b")], (("a", 0.5), ("b", 0.5)))
        self.assertGreater(chosen.count("b"), 350)
        self.assertGreater(chosen.count("a"), 5)

    def test_a_worker_with_the_cached_prompt_is_chosen_unless_clearly_more_loaded(self) -> None:
        fractions = (("a", 0.1), ("b", 0.9))
        self.assertEqual(set(self.choose([candidate("a", 5, 0.9), candidate("b")], fractions)), {"a"})
        self.assertEqual(set(self.choose([candidate("a", 30, 0.9), candidate("b")], fractions)), {"a"})
        chosen = self.choose([candidate("a", 45, 0.9), candidate("b")], fractions)
        self.assertGreater(chosen.count("b"), 350)

    def test_a_worker_without_a_free_slot_is_avoided(self) -> None:
        full = candidate("a", running=64, affinity=1.0)
        self.assertIn("b", self.choose([full, candidate("b", running=60)], (("a", 0.5), ("b", 0.5))))
        chosen = self.choose([full, candidate("b", running=60)], (("a", 0.5), ("b", 0.5)))
        self.assertGreater(chosen.count("b"), 280)

    def test_a_worker_in_the_same_zone_wins_a_tie(self) -> None:
        chosen = self.choose([candidate("a"), candidate("b", same_zone=True)], (("a", 0.5), ("b", 0.5)))
        self.assertGreater(chosen.count("b"), 260)


if __name__ == "__main__":
    unittest.main()
