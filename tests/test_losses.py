"""The loss log: the stage in which a request lost its time, and the table that `explain losses` prints."""

from __future__ import annotations

import contextlib
import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from multidict import CIMultiDict

from rookwood.cli import explain
from rookwood.cli.exit_codes import DONE, FAULTY
from rookwood.cluster.options import DATA_PLANE_ARGUMENTS, Options, OptionsError
from rookwood.clusterconfig.document import Route, RouteKind
from rookwood.dataplane.loss_log import (
    LOSS_MESSAGE,
    LossLog,
    LossStage,
    describe_loss,
    find_loss_reason,
    find_slowest_stage,
)
from rookwood.dataplane.request_counts import RequestOutcome
from rookwood.dataplane.request_trace import AttemptedWorker, RequestTrace
from rookwood.dataplane.requests import RoutedRequest

ROUTE = Route("r", "h", "/p/", RouteKind.STREAM, 15_000, 400, 2, (), 1, False, False, 300)
REQUEST = RoutedRequest("t1", "POST", "/p/x", ROUTE, "svc", None, (), CIMultiDict(), b"", 10.0, 25.0)
CHOSEN = AttemptedWorker("i-1", 2, 5, 0, 0.25)
ROOT = Path(__file__).parents[1]


def trace(*, waited: float = 0.0, first: float = 0.1, pause: float = 0.0) -> RequestTrace:
    """The trace of a request that arrived at 10 s, waited, was sent, and received two events."""
    made = RequestTrace(10.0)
    made.routed_at = 10.01
    made.begin_wait(10.01)
    made.end_wait(10.01 + waited)
    sent = 10.01 + waited
    made.record_attempt(CHOSEN, sent)
    made.record_outcome(sent + first)
    made.record_stream_data(sent + first)
    made.record_stream_data(sent + first + pause)
    return made


class TraceTests(unittest.TestCase):
    def test_the_stage_is_the_one_that_took_longest(self) -> None:
        self.assertIs(LossStage.WEIGHTS, find_slowest_stage(trace(waited=2.0, first=0.3), 12.4))
        self.assertIs(LossStage.FIRST_BYTE, find_slowest_stage(trace(first=1.5), 11.6))
        self.assertIs(LossStage.STREAM, find_slowest_stage(trace(pause=4.0), 14.2))
        self.assertIs(LossStage.ROUTE, find_slowest_stage(RequestTrace(10.0), 12.0))

    def test_a_wait_that_has_not_ended_is_included(self) -> None:
        waiting = RequestTrace(10.0)
        waiting.routed_at = 10.1
        waiting.begin_wait(10.1)
        self.assertIs(LossStage.WEIGHTS, find_slowest_stage(waiting, 12.4))
        loss = describe_loss(REQUEST, waiting, RequestOutcome.ABANDONED, "", 12.4)
        self.assertEqual((2300.0, None, 0), (loss["weights_ms"], loss["worker"], loss["attempts"]))

    def test_a_response_in_time_is_no_loss(self) -> None:
        self.assertIsNone(find_loss_reason(REQUEST, trace(first=0.3, pause=0.2), 11.0))
        self.assertEqual("late", find_loss_reason(REQUEST, trace(first=0.5), 11.0))
        self.assertEqual("pause", find_loss_reason(REQUEST, trace(pause=0.4), 11.0))


class LossLogTests(unittest.TestCase):
    def test_only_losses_are_written_and_only_if_enabled(self) -> None:
        with self.assertLogs("rookwood") as logs:
            LossLog(True).record_end(REQUEST, trace(first=0.5), RequestOutcome.ANSWERED, "", 11.0)
            LossLog(True).record_end(REQUEST, trace(first=0.1), RequestOutcome.ANSWERED, "", 11.0)
            LossLog(False).record_end(REQUEST, trace(), RequestOutcome.REFUSED, "full", 11.0)
            LossLog(True).record_end(None, trace(), RequestOutcome.ABANDONED, "", 11.0)
        (record,) = logs.records
        self.assertEqual((LOSS_MESSAGE, "late"), (record.getMessage(), record.__dict__["why"]))
        self.assertEqual(("i-1", 250.0), (record.__dict__["worker"], record.__dict__["worker_backlog_ms"]))

    def test_an_unknown_argument_ends_the_program_with_one_line(self) -> None:
        self.assertEqual(Options(log_losses=True), DATA_PLANE_ARGUMENTS.read(["--log-losses"]))
        with self.assertRaises(OptionsError):
            DATA_PLANE_ARGUMENTS.read(["--log-loses"])
        command = [sys.executable, "rookwood_dataplane.py", "--log-loses"]
        run = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
        self.assertEqual(2, run.returncode)
        self.assertEqual(1, len(run.stderr.splitlines()), run.stderr)


class ExplainTests(unittest.TestCase):
    def setUp(self) -> None:
        self.file = Path(self.enterContext(tempfile.TemporaryDirectory())) / "log"

    def explain(self) -> tuple[int, str, str]:
        """Run the command on the file; returns the exit code, the output and the error output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = explain.main(["losses", str(self.file)])
        return code, out.getvalue(), err.getvalue()

    @staticmethod
    def line(outcome: RequestOutcome, why: str, made: RequestTrace) -> str:
        """A line as a dispatcher writes it, after a time and the machine's name."""
        loss = describe_loss(REQUEST, made, outcome, why, 13.0)
        return f"  3.1 edge-1 {json.dumps({'levelname': 'INFO', 'message': LOSS_MESSAGE, **loss})}\n"

    def test_losses_are_counted_by_cause_and_second(self) -> None:
        late = self.line(RequestOutcome.ANSWERED, "late", trace(first=0.5))
        refused = self.line(RequestOutcome.REFUSED, "no worker", trace(waited=2.0))
        self.file.write_text(f"Traceback: not json\n{late}{refused}{late}", encoding="utf-8")
        code, out, err = self.explain()
        self.assertEqual((DONE, ""), (code, err))
        rows = out.splitlines()
        self.assertEqual(["2", "r", "2", "answered", "late"], rows[1].split()[:5])
        self.assertIn("10: 3", rows)

    def test_a_truncated_file_is_reported_in_one_line(self) -> None:
        line = self.line(RequestOutcome.REFUSED, "no worker", trace())
        self.file.write_text(line + line[:90], encoding="utf-8")
        code, out, err = self.explain()
        self.assertEqual((FAULTY, "", 1), (code, out, len(err.splitlines())))

    def test_a_missing_file_and_one_without_losses(self) -> None:
        self.assertEqual(FAULTY, self.explain()[0])
        self.file.write_text("nothing\n", encoding="utf-8")
        self.assertEqual((DONE, "no losses\n"), self.explain()[:2])


if __name__ == "__main__":
    unittest.main()
