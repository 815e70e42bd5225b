"""Which configuration a control machine sends as confirmed to a dispatcher that starts."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Hashable
from typing import cast
from unittest import mock

from rookwood.cluster.connection import Connection
from rookwood.cluster.frames import HEADER, decode_message, encode_frame
from rookwood.cluster.messages import ConfigurationBody, FetchConfiguration, Message
from rookwood.cluster.settings import parse_settings
from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.controlplane import configuration_feed
from rookwood.controlplane.program import ControlPlane
from rookwood.coordination.group import Confirmed, NotPrimary, Snapshot, Uncertain
from tests.fake_worker import within

IP = "127.0.0.1"
SOURCE = b'{"ver":3}'
SNAPSHOT = Snapshot(2, 5, ControlDocument(version=3, source=SOURCE).encode())


class RecordingConnection:
    """A link to a dispatcher that records the messages sent on it."""

    def __init__(self) -> None:
        self.sent: asyncio.Queue[Message] = asyncio.Queue()

    def send_frame(self, frame: bytes, subject: Hashable | None = None) -> None:
        """Record the message of a frame."""
        length, number = HEADER.unpack_from(frame)
        body = frame[HEADER.size :]
        assert len(body) == length
        self.sent.put_nowait(decode_message(number, body))


class ConfirmationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        document = {
            "hostname": "c1",
            "ip": IP,
            "az": "z1",
            "listen": {"ctl": f"{IP}:8080"},
            "port-range": [7000, 7009],
            "seeds": [f"{IP}:8080"],
            "limits": {"nofile": 512, "disk-mb": 16},
            "datadir": directory,
        }
        self.control = ControlPlane(parse_settings(document))
        self.enterContext(mock.patch.object(self.control.group, "snapshot", lambda: SNAPSHOT))
        self.connection = RecordingConnection()

    def fetch(self, confirm: bool, outcome: Confirmed | NotPrimary | Uncertain) -> mock.AsyncMock:
        """Fetch the configuration as a dispatcher, while a quorum round would have this outcome."""
        rounds = mock.AsyncMock(return_value=outcome)
        self.enterContext(mock.patch.object(self.control.group, "confirm", rounds))
        request = FetchConfiguration(5, confirm)
        self.control.message_received(cast(Connection, self.connection), request)
        return rounds

    async def wait_for_fetches(self) -> None:
        """Wait until no fetch request awaits a quorum round."""
        await within(asyncio.gather(*self.control._configuration.pending_fetches))

    async def test_a_confirmed_primary_sends_a_confirmed_configuration(self) -> None:
        rounds = self.fetch(True, Confirmed(SNAPSHOT))
        await self.wait_for_fetches()
        rounds.assert_awaited_once()
        self.assertEqual(ConfigurationBody(2, 5, SOURCE, confirmed=True), self.connection.sent.get_nowait())

    async def test_a_machine_that_no_majority_confirms_sends_nothing(self) -> None:
        for outcome in (NotPrimary(None), Uncertain("no response within the limit")):
            with self.subTest(outcome=outcome):
                self.fetch(True, outcome)
                await self.wait_for_fetches()
                self.assertTrue(self.connection.sent.empty())

    async def test_a_fetch_without_confirmation_needs_no_quorum_round(self) -> None:
        rounds = self.fetch(False, NotPrimary(None))
        rounds.assert_not_awaited()
        self.assertEqual(ConfigurationBody(2, 5, SOURCE, confirmed=False), self.connection.sent.get_nowait())

    async def test_a_configuration_is_encoded_once_for_all_subscribers(self) -> None:
        encoder = mock.patch.object(configuration_feed, "encode_frame", side_effect=encode_frame)
        encoded = self.enterContext(encoder)
        for _ in range(3):
            self.fetch(False, NotPrimary(None))
            self.fetch(True, Confirmed(SNAPSHOT))
            await self.wait_for_fetches()
        self.assertEqual(2, encoded.call_count)
        self.assertEqual(6, self.connection.sent.qsize())


if __name__ == "__main__":
    unittest.main()
