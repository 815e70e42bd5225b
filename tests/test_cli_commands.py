"""The tree of commands: each one explains itself, and lists that are no lists are wrong use."""

from __future__ import annotations

import unittest
from collections.abc import Iterator

import click
from click.testing import CliRunner

from rookwood.cli.exit_codes import DONE, FAULTY
from rookwood.cli.main import main

FAULTY_LISTS = (
    ("gateway", "--plays", "off,sideways"),
    ("duties", "--faults", "kill,unheard-of"),
    ("duties", "--faults", ""),
    ("replicas", "--faults", "unheard-of"),
    ("replicas", "--store", "unheard-of"),
    ("ledger", "--faults", "unheard-of"),
    ("holding", "--counts", "3,many"),
    ("holding", "--processes", "many"),
    ("members", "--counts", "many"),
)


def find_commands(command: click.Command, words: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """The words of this command and of all below it."""
    yield words
    if isinstance(command, click.Group):
        for name, below in command.commands.items():
            yield from find_commands(below, (*words, name))


class CommandsTest(unittest.TestCase):
    def test_each_command_explains_itself(self) -> None:
        commands = list(find_commands(main))
        self.assertIn(("experiment", "replication-states"), commands)
        for words in commands:
            said = CliRunner().invoke(main, [*words, "--help"])
            self.assertEqual(DONE, said.exit_code, words)
            self.assertIn("Usage", said.output, words)

    def test_lists_with_anything_unknown_are_wrong_use_and_name_the_option(self) -> None:
        for words in FAULTY_LISTS:
            said = CliRunner().invoke(main, ["experiment", *words])
            self.assertEqual(FAULTY, said.exit_code, words)
            self.assertIn(words[1], said.output, words)

    def test_commands_for_a_site_want_an_address(self) -> None:
        for words in (["members"], ["duties"], ["duties", "release", "address"], ["roll", "start"]):
            said = CliRunner(env={"PROXY_MGMT": None}).invoke(main, words)
            self.assertEqual(FAULTY, said.exit_code, words)
            self.assertIn("no dispatcher to ask", said.output)


if __name__ == "__main__":
    unittest.main()
