"""Demand reports are summed by the control machine that feeds the dispatchers, and sent to the primary."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rookwood.cluster.messages import (
    CountedWeights,
    DemandReport,
    DemandSummary,
    KeyDemand,
    Message,
    WantedWeights,
)
from rookwood.controlplane.demand import REPORT_LIFETIME, DemandSum
from rookwood.controlplane.demand_relay import DemandRelay, PrimaryLink
from rookwood.controlplane.dispatcher_count import WINDOW, DispatcherCount
from rookwood.modelplacement.types import WeightsKey

OWN_IP, PEER = "10.0.0.1", "10.0.0.2"
KEY = KeyDemand("s", "m", "a1", rate=0.5, busy=0.25, waiting=2, oldest_wait=1.5)
OTHER_KEY = replace(KEY, model="n", adapter="", waiting=0, oldest_wait=0.0)
WANTED = WantedWeights("s", "w1", "m", "")
NOW = 10.0


class RecordingConnection:
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message."""
        self.sent.append(message)


class DemandRelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = DemandSum()
        self.connection = RecordingConnection()
        self.primary: PrimaryLink | None = PrimaryLink(self.connection, release=1)  # type: ignore[arg-type]
        self.relay = DemandRelay(OWN_IP, self.demand, lambda: self.primary)

    def report(self, dispatcher: str, *keys: KeyDemand, complete: bool = True, now: float = NOW) -> None:
        """Record and relay a report of a dispatcher."""
        report = DemandReport(dispatcher, keys, (WANTED,) if complete else (), complete)
        self.demand.record_report(report, now)
        self.relay.relay_report(report)

    def test_the_summary_has_all_keys_and_how_many_dispatchers_want_which_weights(self) -> None:
        self.report("e1", KEY)
        self.report("e2", replace(KEY, rate=1.0, waiting=1, oldest_wait=3.0), OTHER_KEY)
        self.assertEqual([], self.connection.sent, "a complete report waits for the next summary")
        self.relay.send_summary(NOW)
        (summary,) = self.connection.sent
        total = KeyDemand("s", "m", "a1", rate=1.5, busy=0.5, waiting=3, oldest_wait=3.0)
        wanted = (CountedWeights("s", "w1", "m", "", 2),)
        self.assertEqual(DemandSummary(OWN_IP, 2, (total, OTHER_KEY), wanted, complete=True), summary)

    def test_a_report_of_waiting_requests_is_relayed_at_once_with_the_sum_for_its_keys(self) -> None:
        self.report("e1", KEY, OTHER_KEY)
        self.report("e2", KEY, complete=False)
        (summary,) = self.connection.sent
        total = KeyDemand("s", "m", "a1", rate=1.0, busy=0.5, waiting=4, oldest_wait=1.5)
        self.assertEqual(DemandSummary(OWN_IP, 2, (total,), (), complete=False), summary)

    def test_summaries_give_the_primary_the_same_totals_as_the_reports(self) -> None:
        reports = [
            DemandReport("e1", (KEY,), (WANTED,), True),
            DemandReport("e2", (KEY, OTHER_KEY), (WANTED, replace(WANTED, worker="w2")), True),
            DemandReport("e3", (OTHER_KEY,), (), True),
        ]
        direct, at_peer, summed = DemandSum(), DemandSum(), DemandSum()
        for report in reports:
            direct.record_report(report, NOW)
        for report in reports[:2]:
            at_peer.record_report(report, NOW)
        summary = at_peer.summary(PEER, NOW)
        assert summary is not None
        summed.record_report(summary, NOW)
        summed.record_report(reports[2], NOW)
        self.assertEqual(direct.total("s", NOW), summed.total("s", NOW))
        self.assertEqual(direct.wanted_shares("s"), summed.wanted_shares("s"))

    def test_summaries_of_other_machines_are_not_relayed(self) -> None:
        self.demand.record_report(DemandSummary(PEER, 3, (KEY,), (), True), NOW)
        self.assertIsNone(self.demand.summary(OWN_IP, NOW))
        self.relay.send_summary(NOW)
        self.assertEqual([], self.connection.sent)

    def test_a_later_summary_replaces_the_earlier_one(self) -> None:
        counted = CountedWeights("s", "w1", "m", "", 3)
        self.demand.record_report(DemandSummary(PEER, 3, (KEY,), (counted,), True), NOW)
        self.demand.record_report(
            DemandSummary(PEER, 2, (OTHER_KEY,), (replace(counted, count=1),), True), NOW
        )
        self.assertEqual([WeightsKey("n")], list(self.demand.total("s", NOW)))
        self.assertEqual({"w1": {WeightsKey("m"): 0.5}}, self.demand.wanted_shares("s"))

    def test_expired_reports_no_longer_count(self) -> None:
        self.report("e1", KEY)
        self.report("e2", KEY, now=NOW + REPORT_LIFETIME)
        later = NOW + REPORT_LIFETIME + 0.1
        summary = self.demand.summary(OWN_IP, later)
        assert summary is not None
        self.assertEqual((1, 0.5), (summary.dispatchers, summary.keys[0].rate))
        self.assertEqual({"w1": {WeightsKey("m"): 1.0}}, self.demand.wanted_shares("s"))

    def test_a_primary_of_release_0_gets_the_reports_themselves(self) -> None:
        self.primary = PrimaryLink(self.connection, release=0)  # type: ignore[arg-type]
        self.report("e1", KEY)
        self.relay.send_summary(NOW)
        self.assertEqual([DemandReport("e1", (KEY,), (WANTED,), True)], self.connection.sent)

    def test_the_primary_itself_sends_nothing(self) -> None:
        self.primary = None
        self.report("e1", KEY, complete=False)
        self.relay.send_summary(NOW)
        self.assertEqual([], self.connection.sent)


class DispatcherCountTest(unittest.TestCase):
    """A dispatcher's share of the retry budget must not grow because others are temporarily not reported."""

    def test_a_higher_count_stays_valid_for_the_window(self) -> None:
        count = DispatcherCount()
        self.assertEqual(9, count.update(9, NOW))
        self.assertEqual(9, count.update(4, NOW + WINDOW))
        self.assertEqual(4, count.update(2, NOW + WINDOW + 0.1))

    def test_a_rising_count_is_valid_at_once(self) -> None:
        count = DispatcherCount()
        self.assertEqual([1, 5, 5, 8], [count.update(number, NOW + number) for number in (1, 5, 3, 8)])


if __name__ == "__main__":
    unittest.main()
