"""Switching mechanisms off: names, arguments of both programs, and the planner without some of them."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

from rookwood.cluster.options import (
    CONTROL_PLANE_ARGUMENTS,
    DATA_PLANE_ARGUMENTS,
    Options,
    OptionsError,
)
from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms, read_mechanisms
from rookwood.modelplacement.demand import Demand
from rookwood.modelplacement.loads import LoadPlanner
from rookwood.modelplacement.types import ModelSpec, WeightsKey, WorkerWeights

ROOT = Path(__file__).parents[1]
PROGRAMS = ("rookwood_dataplane.py", "rookwood_controlplane.py")


def without(*mechanisms: Mechanism) -> Mechanisms:
    """All mechanisms but these."""
    return Mechanisms(frozenset(mechanisms))


class NameTests(unittest.TestCase):
    def test_comma_separated_names_are_parsed(self) -> None:
        self.assertEqual(
            without(Mechanism.SPARE_ROOM, Mechanism.TOLD_LOAD), read_mechanisms("spare-room,told-load")
        )

    def test_every_mechanism_is_used_in_the_code(self) -> None:
        sources = [path for path in (ROOT / "rookwood").rglob("*.py") if path.name != "mechanisms.py"]
        text = "\n".join(path.read_text() for path in sources)
        self.assertEqual([], [m.name for m in Mechanism if f"has(Mechanism.{m.name})" not in text])

    def test_every_mechanism_is_documented(self) -> None:
        page = (ROOT / "docs" / "policy.md").read_text()
        self.assertEqual([], [m.value for m in Mechanism if f"`{m.value}`" not in page])


class ArgumentTests(unittest.TestCase):
    def test_both_programs_accept_the_names(self) -> None:
        expected = Options(mechanisms=without(Mechanism.SPARE_ROOM))
        for reader in (DATA_PLANE_ARGUMENTS, CONTROL_PLANE_ARGUMENTS):
            self.assertEqual(expected, reader.read(["--without", "spare-room"]))

    def test_both_arguments_of_the_data_plane_can_be_combined(self) -> None:
        options = DATA_PLANE_ARGUMENTS.read(["--without", "told-load", "--log-losses"])
        self.assertEqual(Options(True, without(Mechanism.TOLD_LOAD)), options)

    def test_all_mechanisms_are_on_without_the_argument(self) -> None:
        self.assertEqual(ALL_MECHANISMS, CONTROL_PLANE_ARGUMENTS.read([]).mechanisms)

    def test_invalid_arguments_raise(self) -> None:
        for arguments in (["--without"], ["--without", "spare"], ["--without", ""], ["--log-losses"]):
            with self.subTest(arguments), self.assertRaises(OptionsError):
                CONTROL_PLANE_ARGUMENTS.read(arguments)

    def test_unknown_name_ends_each_program_with_one_line(self) -> None:
        for program in PROGRAMS:
            command = [sys.executable, program, "--without", "spare-room,spare"]
            with self.subTest(program):
                run = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
                self.assertEqual(2, run.returncode)
                self.assertEqual(1, len(run.stderr.splitlines()), run.stderr)
                self.assertIn("'spare'", run.stderr.decode())


class PlannerTests(unittest.TestCase):
    """The planner with a busy model on one of two workers, and requests for one adapter."""

    MODELS = {"m": ModelSpec("m", size_mb=10, load_s=1.0, adapters=4, adapter_mb=1)}
    KEY = WeightsKey("m", "a")

    def planned_keys(self, mechanisms: Mechanisms) -> list[WeightsKey]:
        """Return the keys whose loads are ordered within two seconds."""
        planner = LoadPlanner(self.MODELS, 4.0, mechanisms=mechanisms)
        demand = {WeightsKey("m"): Demand(9.0, 0, 0.0, 9.0), self.KEY: Demand(3.0, 0, 0.0, 1.0)}
        planner.plan(0.0, [], {}, {})
        planned = planner.plan(2.0, self.workers(), demand, {})
        return [order.key for order in planned if order.is_load]

    @staticmethod
    def workers() -> list[WorkerWeights]:
        """Return a worker with the model and an empty one."""
        return [
            WorkerWeights(
                worker=name,
                zone="z",
                size_mb=20,
                adapter_slots=2,
                slots=8,
                models=models,
                busy=False,
                sequence=1,
                active=0,
                queued=0,
                draining=False,
                started=0.0,
                reported=2.0,
            )
            for name, models in (("w1", {"m": frozenset[str]()}), ("w2", {}))
        ]

    def test_all_mechanisms_place_a_copy_and_the_adapter(self) -> None:
        self.assertCountEqual([WeightsKey("m"), self.KEY], self.planned_keys(ALL_MECHANISMS))

    def test_without_more_copies_no_copy_is_placed(self) -> None:
        self.assertEqual([self.KEY], self.planned_keys(without(Mechanism.MORE_COPIES)))

    def test_without_unplaced_adapters_the_adapter_is_not_placed(self) -> None:
        self.assertEqual([WeightsKey("m")], self.planned_keys(without(Mechanism.UNPLACED_ADAPTERS)))


if __name__ == "__main__":
    unittest.main()
