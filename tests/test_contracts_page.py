"""The page of contracts names only tests, modules and days that are there."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
COLUMNS = ("line", "demand", "mechanism", "modules", "tests", "day")
TEST_NAME = re.compile(r"`(test_\w+\.py)::([\w:]+)`")
MODULE_NAME = re.compile(r"`([a-z]+/\w+\.py)`")
DAY_NAME = re.compile(r"`([\w-]+\.toml)`")
NOT_YET = "**not yet"
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


def read_rows() -> list[dict[str, str]]:
    """The rows of all tables, by their columns."""
    lines = (ROOT / "docs" / "contracts.md").read_text().splitlines()
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines if line.startswith("|")]
    rows = [row for row in cells if tuple(row) != COLUMNS and set(row[0]) != {"-"}]
    return [dict(zip(COLUMNS, row, strict=True)) for row in rows]


def names_defined(path: Path) -> set[str]:
    """The tests of a file, as Class::test or as the name of a function."""
    names: set[str] = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef):
            names |= {f"{node.name}::{item.name}" for item in node.body if isinstance(item, FUNCTIONS)}
        elif isinstance(node, FUNCTIONS):
            names.add(node.name)
    return names


class ContractsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows = read_rows()

    def test_named_tests_are_there(self) -> None:
        for row in self.rows:
            for file, name in TEST_NAME.findall(row["tests"]):
                with self.subTest(line=row["line"], test=name):
                    self.assertIn(name, names_defined(ROOT / "tests" / file))

    def test_named_modules_and_days_are_there(self) -> None:
        for row in self.rows:
            for module in MODULE_NAME.findall(row["modules"]):
                self.assertTrue((ROOT / "rookwood" / module).is_file(), module)
            for day in DAY_NAME.findall(row["day"]):
                self.assertTrue((ROOT / "deploy" / "days" / day).is_file(), day)

    def test_a_row_has_a_test_or_says_why_not(self) -> None:
        for row in self.rows:
            with self.subTest(line=row["line"]):
                told = row["tests"].startswith("none: ") or NOT_YET in row["mechanism"]
                self.assertTrue(TEST_NAME.search(row["tests"]) or told)

    def test_each_line_has_one_row(self) -> None:
        lines = [line for row in self.rows for line in row["line"].split(", ")]
        self.assertEqual(sorted(set(lines)), sorted(lines))


if __name__ == "__main__":
    unittest.main()
