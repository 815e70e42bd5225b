"""Tests that are known to fail for a real fault: KNOWN-RED.txt names them, one a line with cause and issue.

    tests/test_some.py::test_of_a_fault[case]: why it fails (issue 31)

A run passes over just these and prints them, however many there are. It fails where an entry names no test
that ran, and where such a test passes again: then its line goes."""

from __future__ import annotations

from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"


def entries(root: Path) -> dict[str, str]:
    """Cause by test. Raises `UsageError` where a line is no entry."""
    place = root / FILE
    lines = [line.strip() for line in place.read_text().splitlines()] if place.exists() else []
    found = {}
    for line in filter(None, lines):
        test, colon, cause = line.partition(": ")
        if not (colon and "::" in test and "issue" in cause):
            raise pytest.UsageError(f"{FILE}: not 'test: cause (issue N)': {line!r}")
        found[test] = cause
    return found


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config), "known red tests")


class KnownRed:
    def __init__(self, config: pytest.Config) -> None:
        self.root, self.known = config.rootpath, entries(config.rootpath)
        # Where only some tests were asked for, an entry that did not run says nothing.
        some = any("::" in arg for arg in config.args) or config.option.keyword or config.option.markexpr
        self.all, self.ran = not some, set[str]()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if item.nodeid in self.known:
                item.add_marker(pytest.mark.xfail(reason=self.known[item.nodeid], strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.ran.add(report.nodeid)

    def unknown(self) -> list[str]:
        files = {test.partition("::")[0] for test in self.ran}
        here = {test: test.partition("::")[0] for test in self.known.keys() - self.ran}
        return sorted(t for t, file in here.items() if file in files or not (self.root / file).exists())

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        is_worker = hasattr(session.config, "workerinput")  # of pytest-xdist, which runs a part alone
        if self.all and self.unknown() and not is_worker:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test, cause in self.known.items():
            terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
        for test in self.unknown() if self.all else ():
            terminalreporter.write_line(f"{FILE}: no such test: {test}")
