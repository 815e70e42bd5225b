"""No decision of the system depends on the name of a deployment, a kind of request or the benchmark."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
SERVING = (
    *("cluster", "clusterconfig", "controlplane", "coordination"),
    *("dataplane", "httpclient", "metrics", "modelplacement"),
)
CUSTOMERS = ("kvadrat", "irama", "tvqt", "turanga", "tūranga")
SERVICES = ("jezicni", "citac", "ensemble", "hall-ledger", "vision-lm", "line-desk")
REQUESTS = (
    *("urednicki", "sazetak", "pitanje", "stranica", "season-draft", "festival-draft"),
    *("rehearsal", "seat-check", "batch-audit", "cert-audit", "defect-note", "floor-query"),
)
BENCH = ("fleetbench", "lbreal", "lbsim", "quiet-1", "trouble-1", "scale-1")
NAMES = re.compile("|".join((*CUSTOMERS, *SERVICES, *REQUESTS, *BENCH)), re.IGNORECASE)


class NoFittingTest(unittest.TestCase):
    def test_search_finds_the_names_in_a_page_that_has_them(self) -> None:
        """This checks the search itself: the roadmap names deployments."""
        self.assertIsNotNone(NAMES.search((ROOT / "docs" / "ROADMAP.md").read_text(encoding="utf-8")))

    def test_no_serving_code_names_a_deployment_a_kind_of_request_or_a_day(self) -> None:
        sources = [path for package in SERVING for path in (ROOT / "rookwood" / package).rglob("*.py")]
        self.assertGreater(len(sources), 80)
        for path in (*sources, ROOT / "rookwood_dataplane.py", ROOT / "rookwood_controlplane.py"):
            found = NAMES.search(path.read_text(encoding="utf-8"))
            with self.subTest(file=path.relative_to(ROOT)):
                self.assertIsNone(found)


if __name__ == "__main__":
    unittest.main()
