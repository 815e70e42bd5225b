"""A settings file that changes while the process runs, and the command that checks a configuration file."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from rookwood.cli.main import main
from rookwood.cluster.settings import SettingsFile, load_settings

SETTINGS: dict[str, Any] = {
    "hostname": "e1",
    "ip": "127.0.0.1",
    "listen": {"edge": "127.0.0.1:8000", "readyz": "127.0.0.1:8001"},
    "port-range": [7000, 7010],
    "seeds": ["127.0.0.2:8080"],
}


class SettingsFileTests(unittest.TestCase):
    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "local.json"
        self.write(json.dumps(SETTINGS), 1)
        self.file = SettingsFile(str(self.path), load_settings(str(self.path)))

    def write(self, text: str, modified_at: int) -> None:
        """Write the file with this modification time, in nanoseconds."""
        self.path.write_text(text)
        os.utime(self.path, ns=(modified_at, modified_at))

    def seeds(self) -> list[str]:
        """Return the seeds in force."""
        return [seed.ip for seed in self.file.settings.seeds]

    def test_an_unchanged_file_is_not_read_again(self) -> None:
        self.assertFalse(self.file.refresh())

    def test_changed_seeds_are_put_in_force(self) -> None:
        self.write(json.dumps(SETTINGS | {"seeds": ["127.0.0.9:8080"], "new-field": 1}), 2)
        self.assertTrue(self.file.refresh())
        self.assertEqual(["127.0.0.9"], self.seeds())

    def test_an_invalid_file_leaves_the_old_settings_in_force(self) -> None:
        for number, text in enumerate(("{", "[]", "{}", json.dumps(SETTINGS | {"seeds": 7}))):
            with self.subTest(text=text):
                self.write(text, 10 + number)
                self.assertFalse(self.file.refresh())
                self.assertEqual(["127.0.0.2"], self.seeds())

    def test_a_deleted_file_leaves_the_old_settings_in_force(self) -> None:
        self.path.unlink()
        self.assertFalse(self.file.refresh())
        self.assertEqual(["127.0.0.2"], self.seeds())


class ConfigCommandTests(unittest.TestCase):
    def test_an_invalid_and_a_missing_file_give_exit_status_2(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "config.json"
            path.write_text("{")
            self.assertEqual(2, CliRunner().invoke(main, ["config", "check", str(path)]).exit_code)
            missing = str(Path(directory) / "absent.json")
            self.assertEqual(2, CliRunner().invoke(main, ["config", "check", missing]).exit_code)


if __name__ == "__main__":
    unittest.main()
