"""The settings file of a process: the values read from it, and the errors for invalid files."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from rookwood.cluster.settings import (
    SETTINGS_VARIABLE,
    Address,
    Bounds,
    SettingsError,
    load_settings,
    parse_settings,
    settings_path,
)

DOCUMENT: dict[str, Any] = {
    "hostname": "node-7",
    "ip": "10.0.0.4",
    "az": "z1",
    "listen": {"edge": "10.0.0.4:8080", "readyz": "10.0.0.4:8081"},
    "port-range": [9000, 9010],
    "seeds": ["10.0.0.5:8080"],
    "bounds": {"drain-ms": 1500, "grace-s": 6, "retry-ratio": 0.1, "lease-ms": 2500},
    "an-unknown-key": {"is": "ignored"},
}


class SettingsTests(unittest.TestCase):
    def load(self, text: str) -> None:
        """Load a settings file with this text; raises what `load_settings` raises."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "local.json"
            path.write_text(text)
            load_settings(str(path))

    def test_the_values_of_the_file_are_read(self) -> None:
        settings = parse_settings(DOCUMENT)
        self.assertEqual(("node-7", "10.0.0.4", "z1"), (settings.hostname, settings.ip, settings.zone))
        self.assertEqual(Address("10.0.0.4", 8080), settings.listen["edge"])
        self.assertEqual((Address("10.0.0.5", 8080),), settings.seeds)

    def test_times_are_in_seconds_and_absent_bounds_keep_their_defaults(self) -> None:
        bounds = parse_settings(DOCUMENT).bounds
        self.assertEqual((1.5, 6.0, 0.1, 2.5), (bounds.drain, bounds.grace, bounds.retry_ratio, bounds.lease))
        self.assertEqual(Bounds().apply, bounds.apply)

    def test_internal_ports_differ_and_lie_in_the_range(self) -> None:
        settings = parse_settings(DOCUMENT)
        ports = {settings.replication_port, settings.feed_port}
        self.assertEqual(2, len(ports))
        self.assertTrue(all(9000 <= port <= 9010 for port in ports))

    def test_a_missing_key_is_named(self) -> None:
        for key in ("hostname", "ip", "listen", "port-range", "seeds"):
            document = {name: value for name, value in DOCUMENT.items() if name != key}
            with self.subTest(key=key), self.assertRaisesRegex(SettingsError, key):
                self.load(json.dumps(document))

    def test_an_invalid_file_is_a_settings_error(self) -> None:
        invalid_texts = [
            "",
            "{",
            "[]",
            "null",
            json.dumps({**DOCUMENT, "listen": {"edge": "no port"}}),
            json.dumps({**DOCUMENT, "port-range": [1]}),
            json.dumps({**DOCUMENT, "seeds": 7}),
            json.dumps({**DOCUMENT, "bounds": {"grace-s": "long"}}),
        ]
        for text in invalid_texts:
            with self.subTest(text=text), self.assertRaises(SettingsError):
                self.load(text)

    def test_a_missing_file_is_a_settings_error(self) -> None:
        with self.assertRaises(SettingsError):
            load_settings("/nonexistent/local.json")

    def test_the_environment_variable_names_the_file(self) -> None:
        with mock.patch.dict("os.environ", {SETTINGS_VARIABLE: "/etc/other.json"}):
            self.assertEqual("/etc/other.json", settings_path())


if __name__ == "__main__":
    unittest.main()
