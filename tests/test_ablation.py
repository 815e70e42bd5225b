"""Paired plays of a mechanism: their statistics, and the command with a stand-in for the player."""

from __future__ import annotations

import json
import os
import random
import stat
import subprocess
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner

from rookwood.cli.exit_codes import DONE, FAILED, FAULTY
from rookwood.cli.main import main
from rookwood.lab.ablation import Copies, Plan, leave_out, measure
from rookwood.lab.paired_plays import LEAST_PAIRS, Verdict, interval_of, judge, student_quantile
from rookwood.mechanisms import Mechanism

TOLERANCE = 0.01
TABLE = {3: 2.353, 4: 2.132, 9: 1.833, 29: 1.699}  # of Student's 95% quantile, by degrees of freedom

# Plays nothing: the worth depends on the seed, and on whether its folder leaves a mechanism out.
PLAYER = """#!/usr/bin/env python3
import json, pathlib, sys
words = sys.argv[1:]
seed = int(words[words.index("--seed") + 1])
if seed in FAILING:
    sys.exit("the day was given up")
deploy = pathlib.Path("deploy/system.toml").read_text()
worth = 0.5 + 0.1 * (seed % 3) - (EFFECT if "--without" in deploy else 0.0) + 0.001 * (seed % 2)
pathlib.Path(words[words.index("--report") + 1]).write_text(json.dumps({"G": worth, "day": words[2]}))
folder = pathlib.Path("journal")
folder.mkdir(exist_ok=True)
name = ("without" if "--without" in deploy else "with") + "-" + str(seed)
(folder / name).write_text(words[words.index("--why") + 1])
"""
DEPLOY = """build = "true"
[roles.dataplane]
run = "python3 rookwood_dataplane.py"
[roles.controlplane]
run = "python3 rookwood_controlplane.py"
"""


class StatisticsTest(unittest.TestCase):
    def test_quantiles_are_those_of_the_table(self) -> None:
        for degrees, quantile in TABLE.items():
            self.assertAlmostEqual(quantile, student_quantile(0.95, degrees), delta=0.03)

    def test_few_pairs_decide_nothing(self) -> None:
        self.assertIsNone(interval_of([0.5] * (LEAST_PAIRS - 1)))
        self.assertIs(Verdict.UNDECIDED, judge([0.5] * (LEAST_PAIRS - 1), TOLERANCE))

    def test_verdicts(self) -> None:
        cases = {
            Verdict.HELPS: [0.05, 0.06, 0.04, 0.05],
            Verdict.HARMS: [-0.05, -0.06, -0.04, -0.05],
            Verdict.NOTHING: [0.001, -0.001, 0.002, -0.002, 0.0],
            Verdict.UNDECIDED: [0.3, -0.2, 0.1, -0.1],
        }
        for verdict, differences in cases.items():
            self.assertIs(verdict, judge(differences, TOLERANCE), differences)

    def test_a_small_effect_that_is_certain_counts_as_nothing(self) -> None:
        self.assertIs(Verdict.NOTHING, judge([0.004, 0.005, 0.0045, 0.0055], TOLERANCE))

    def test_the_interval_holds_the_true_mean_in_nine_of_ten_samples(self) -> None:
        draws = random.Random(1)
        held = 0
        for _ in range(2000):
            interval = interval_of([draws.gauss(0.02, 0.05) for _ in range(6)])
            assert interval is not None
            held += interval.low <= 0.02 <= interval.high
        self.assertAlmostEqual(0.9, held / 2000, delta=0.03)


class PlayedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.repository = self.directory / "repository"
        (self.repository / "deploy").mkdir(parents=True)
        (self.repository / "journal").mkdir()
        (self.repository / "deploy" / "system.toml").write_text(DEPLOY)
        self.site = self.directory / "site.toml"
        self.site.write_text("")
        self.git("init", "-q")
        self.git("add", "-A")
        self.git("-c", "user.name=t", "-c", "user.email=t@t", "commit", "-qm", "t")

    def git(self, *words: str) -> None:
        """Run git in the repository."""
        subprocess.run(["git", *words], cwd=self.repository, check=True)

    def player(self, effect: float, failing: tuple[int, ...] = ()) -> Path:
        """A program that plays nothing, and reports a mechanism to have this effect."""
        path = self.directory / "player"
        path.write_text(PLAYER.replace("EFFECT", str(effect)).replace("FAILING", repr(failing)))
        path.chmod(path.stat().st_mode | stat.S_IXUSR)
        return path

    def plan(self, effect: float, most_pairs: int = 20, failing: tuple[int, ...] = ()) -> Plan:
        """One mechanism on one day."""
        mechanisms = (Mechanism.ROUTE_RANK,)
        player = self.player(effect, failing)
        return Plan(player, (self.site,), ("day-1",), mechanisms, most_pairs, TOLERANCE)

    def measured(self, plan: Plan) -> tuple[Verdict, int, int]:
        """The verdict, the pairs and the failures."""
        copies = Copies(self.repository, self.directory / "copies")
        measured = measure(plan, copies, Mechanism.ROUTE_RANK)
        return measured.verdict, len(measured.pairs), len(measured.failures)

    def test_pairs_differ_in_the_mechanism_alone_and_are_played_until_they_decide(self) -> None:
        self.assertEqual((Verdict.HELPS, LEAST_PAIRS, 0), self.measured(self.plan(effect=0.05)))

    def test_a_mechanism_without_effect_is_worth_nothing(self) -> None:
        self.assertEqual((Verdict.NOTHING, LEAST_PAIRS, 0), self.measured(self.plan(effect=0.0)))

    def test_the_budget_ends_what_does_not_decide(self) -> None:
        self.assertEqual((Verdict.UNDECIDED, 2, 0), self.measured(self.plan(effect=0.05, most_pairs=2)))

    def test_plays_that_fail_are_told_and_count_for_nothing(self) -> None:
        plan = self.plan(effect=0.05, failing=(1, 2))
        self.assertEqual((Verdict.HELPS, LEAST_PAIRS, 4), self.measured(plan))

    def test_both_programs_leave_the_mechanism_out(self) -> None:
        text = leave_out(DEPLOY, Mechanism.ROUTE_RANK)
        self.assertIn('run = "python3 rookwood_dataplane.py --without route-rank"', text)
        self.assertIn('run = "python3 rookwood_controlplane.py --without route-rank"', text)

    def command(self, *words: str) -> tuple[int, str]:
        """Run the command at the root of the repository."""
        with mock.patch.object(Path, "cwd", lambda: self.repository):
            said = CliRunner().invoke(main, ["experiment", "ablation", *words])
        return said.exit_code, said.output

    def test_the_command_writes_the_table_and_keeps_journals(self) -> None:
        json_file = self.directory / "figures.json"
        player = self.player(effect=0.05)
        words = ["--player", str(player), "--site", str(self.site), "--day", "day-1"]
        with mock.patch.dict(os.environ, {"PYTHONDONTWRITEBYTECODE": "1"}):
            code, output = self.command(*words, "--without", "route-rank", "--json", str(json_file))
        self.assertEqual(DONE, code, output)
        self.assertIn("helps", output)
        (row,) = json.loads(json_file.read_text())["mechanisms"]
        self.assertEqual(
            ("route-rank", "helps", LEAST_PAIRS), (row["mechanism"], row["verdict"], len(row["pairs"]))
        )
        kept = {entry.name for entry in (self.repository / "journal").iterdir()}
        self.assertEqual({f"{side}-{seed}" for side in ("with", "without") for seed in range(1, 5)}, kept)

    def test_an_unknown_mechanism_is_wrong_use_and_a_failed_play_a_failure(self) -> None:
        words = ["--player", str(self.player(0.0, failing=(1,))), "--site", str(self.site), "--day", "day-1"]
        code, output = self.command(*words, "--without", "unheard-of")
        self.assertEqual(FAULTY, code)
        self.assertIn("unheard-of", output)
        code, output = self.command(*words, "--without", "route-rank", "--most-pairs", "1")
        self.assertEqual(FAILED, code)
        self.assertIn("too few pairs", output)


if __name__ == "__main__":
    unittest.main()
