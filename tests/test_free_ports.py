"""Free ports: free at each address, and never given out to two callers."""

from __future__ import annotations

import socket
import subprocess
import sys
import unittest
from unittest import mock

from rookwood.lab import free_ports
from rookwood.lab.free_ports import MOST_RESERVED, NoFreePortError, find_free_port, is_free

FIRST, SECOND = "127.0.0.1", "127.0.0.2"
OTHER_PROCESS = """
from unittest import mock
from rookwood.lab import free_ports
with mock.patch.object(free_ports, "_source") as source:
    source.choice.side_effect = [{taken}, LookupError("the first port was passed over")]
    try:
        free_ports.find_free_port("127.0.0.1")
    except LookupError as told:
        print(told)
"""


class FreePortsTest(unittest.TestCase):
    def draw(self, *ports: int) -> mock._patch[mock.MagicMock]:
        """Have these ports drawn, in this order."""
        return mock.patch.object(free_ports, "_source", mock.MagicMock(**{"choice.side_effect": ports}))

    def test_a_port_in_use_at_one_of_the_addresses_is_passed_over(self) -> None:
        taken, spare = find_free_port(FIRST, SECOND), find_free_port(FIRST, SECOND)
        reserving = mock.patch.object(free_ports, "_reserve", return_value=True)
        with reserving, socket.socket() as listener:
            listener.bind((SECOND, taken))
            self.assertFalse(is_free(SECOND, taken))
            with self.draw(taken, spare):
                self.assertEqual(spare, find_free_port(FIRST, SECOND))
        self.assertTrue(is_free(SECOND, taken))

    def test_kinds_of_sockets_have_ports_of_their_own(self) -> None:
        port = find_free_port(FIRST)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind((FIRST, port))
            self.assertTrue(is_free(FIRST, port))
            self.assertFalse(is_free(FIRST, port, socket.SOCK_DGRAM))

    def test_a_port_that_was_returned_and_is_not_bound_yet_is_passed_over(self) -> None:
        taken = find_free_port(FIRST)
        self.assertTrue(is_free(FIRST, taken))
        with self.draw(taken), self.assertRaises(StopIteration):
            find_free_port(FIRST)

    def test_another_process_passes_it_over_too(self) -> None:
        taken = find_free_port(FIRST)
        words = [sys.executable, "-c", OTHER_PROCESS.format(taken=taken)]
        said = subprocess.run(words, capture_output=True, text=True, check=True)
        self.assertEqual("the first port was passed over\n", said.stdout)

    def test_reservations_are_bounded(self) -> None:
        for _ in range(MOST_RESERVED + 3):
            find_free_port(FIRST)
        self.assertEqual(MOST_RESERVED, len(free_ports._reservations))

    def test_gives_up_where_every_port_is_in_use(self) -> None:
        with mock.patch.object(free_ports, "is_free", return_value=False), self.assertRaises(NoFreePortError):
            find_free_port(FIRST)


if __name__ == "__main__":
    unittest.main()
