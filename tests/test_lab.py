"""The stand-ins at work: two sites of dispatcher processes, killed and upgraded; the plain start alone."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

from rookwood.lab.experiment import Plan, play
from rookwood.lab.rest import MOST_MB, measured

LOGGING = """
import logging
from rookwood.logs import configure_logging
configure_logging("json", "info", site="zagreb")
import structlog
structlog.stdlib.get_logger("a").info("job lost", request_id="r1")
logging.getLogger("b").info("old %s", "style")
try:
    1 / 0
except ZeroDivisionError:
    logging.getLogger("b").exception("failed")
"""


def test_two_sites_keep_the_rules_while_processes_die_and_links_are_cut() -> None:
    plan = Plan(3, 6.0, 0.05, 0.002, rate=0, load=1.3, skew=0.8, cuts=True, restarts=2, plays=())
    figures = asyncio.run(play(plan, "on"))
    assert figures["jobs"] > 50 and figures["messages"]["dropped"] > 0
    broken = {name: figures[name] for name in ("double_runs", "lost", "unanswered", "late_drain_sends")}
    assert not any(broken.values()), broken


def test_plain_start_is_small_and_imports_no_extra() -> None:
    figures = asyncio.run(measured())
    assert figures["resident_mb"] <= MOST_MB and figures["extras_imported"] == []


def test_structured_log_is_one_object_a_line_whoever_writes_it() -> None:
    done = subprocess.run([sys.executable, "-c", LOGGING], capture_output=True, text=True, check=True)
    ours, theirs, failed = map(json.loads, done.stderr.splitlines())
    assert (ours["event"], ours["request_id"], ours["site"]) == ("job lost", "r1", "zagreb")
    assert (theirs["event"], theirs["logger"], theirs["site"]) == ("old style", "b", "zagreb")
    assert failed["exception"][0]["exc_type"] == "ZeroDivisionError"
