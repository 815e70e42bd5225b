"""The list of system packages in deploy/system.toml, against `build` and the page that argues it."""

from __future__ import annotations

import re
import tomllib
import unittest
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "operators" / "system.md"
SECTION = "## What a clean build needs"
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")
NAME_OF_ONE_RELEASE = re.compile(r"python3\.\d|gcc-\d|libssl\d")
PROVIDERS = {"python3": "python3", "touch": "coreutils", "[": "dash"}
MODULES = {"pip": "python3-pip", "compileall": "libpython3-stdlib"}


def read_deploy_file() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def read_argued_packages() -> list[str]:
    """The names in the first column of the first table of the page's section."""
    section = PAGE.read_text().split(SECTION, 1)[1].split("\n## ", 1)[0]
    table = section.split("| --- | --- |\n", 1)[1].split("\n\n", 1)[0]
    return [name for row in table.splitlines() for name in re.findall(r"`([^`]+)`", row.split("|")[1])]


class PackageListTest(unittest.TestCase):
    def test_each_package_is_named_once_and_by_a_name_that_outlives_a_release(self) -> None:
        packages = read_deploy_file()["packages"]
        self.assertEqual(packages, sorted(set(packages)))
        for package in packages:
            self.assertRegex(package, PACKAGE_NAME)
            self.assertNotRegex(package, NAME_OF_ONE_RELEASE)

    def test_the_page_argues_exactly_the_listed_packages(self) -> None:
        argued = read_argued_packages()
        self.assertEqual(sorted(argued), read_deploy_file()["packages"])

    def test_each_program_that_build_calls_comes_from_a_listed_package(self) -> None:
        deploy = read_deploy_file()
        commands = [part.split() for part in re.split(r"&&|\|\|", deploy["build"])]
        for command in commands:
            self.assertIn(PROVIDERS[command[0]], deploy["packages"])
            if command[1] == "-m":
                self.assertIn(MODULES[command[2]], deploy["packages"])

    def test_build_needs_no_compiler(self) -> None:
        self.assertIn("--only-binary :all:", read_deploy_file()["build"])

    def test_each_role_starts_with_the_listed_interpreter(self) -> None:
        for role in read_deploy_file()["roles"].values():
            self.assertEqual(role["run"].split()[0], "python3")


if __name__ == "__main__":
    unittest.main()
