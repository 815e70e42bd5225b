"""Which control machine feeds a dispatcher, and when another one replaces it; without sockets."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from unittest import mock

from rookwood.cluster.messages import PROTOCOL_RELEASE, ControlMachine, HeartbeatAnswer, Status
from rookwood.cluster.settings import parse_settings
from rookwood.dataplane import control_links
from rookwood.dataplane.control_links import OUT_OF_CONTACT_LIMIT, TICK_INTERVAL, TIMING, ControlLinks

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
OWN_ZONE, OTHER_ZONE = "z1", "z2"
LATER_MACHINE = "10.0.0.4"
PRIMARY = "10.0.0.3"
START = 100.0


DOCUMENT = {
    "hostname": "e1",
    "ip": "10.0.1.1",
    "az": OWN_ZONE,
    "listen": {"edge": "10.0.1.1:80", "readyz": "10.0.1.1:81"},
    "port-range": [7000, 7009],
    "seeds": [f"{seed}:8080" for seed in SEEDS],
    "limits": {"nofile": 512},
}


class RecordingLinkSet:
    """Records which links the dispatcher keeps."""

    def __init__(self, *arguments: object) -> None:
        self.subscribed: frozenset[str] = frozenset()
        self.status_only: frozenset[str] = frozenset()
        self.closed = False

    def set_peers(self, peers: Iterable[str], status_only: Iterable[str] = ()) -> None:
        """Record the subscriptions and the status-only links."""
        self.subscribed = frozenset(peers)
        self.status_only = frozenset(status_only) - self.subscribed

    def connection(self, peer: str) -> str | None:
        """The address of the peer, in place of a link to it."""
        return peer if peer in self.subscribed | self.status_only else None

    def close(self) -> None:
        """Record that all links are closed."""
        self.closed = True


class ControlLinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(mock.patch.object(control_links, "LinkSet", RecordingLinkSet))
        self.links = ControlLinks(
            parse_settings(DOCUMENT), mock.Mock(), lambda: SEEDS, lambda: mock.sentinel.position, lambda: 0.0
        )
        self.now = START
        self.confirmed = True
        self.primary: str | None = PRIMARY
        self.unresponsive: set[str] = set()
        self.fresh = True
        self.settled = True
        self.release = PROTOCOL_RELEASE
        self.roots: tuple[ControlMachine, ...] = ()
        self.tick()

    @property
    def link_set(self) -> RecordingLinkSet:
        """The link set that records the links."""
        assert isinstance(self.links.links, RecordingLinkSet)
        return self.links.links

    def tick(self) -> None:
        """Update the links."""
        self.links.tick(self.now, self.confirmed, self.primary, SEEDS)

    def receive_status(self, peer: str) -> None:
        """Receive a status and the answer to a heartbeat from a machine."""
        status = Status(
            peer, 1, PRIMARY, self.fresh, self.settled, 1, 1, 9, SEEDS, self.release, 3, self.roots
        )
        self.links.record_message(peer, status, self.now)
        self.links.record_message(peer, HeartbeatAnswer(self.now, 1, 1, self.fresh), self.now)

    def advance(self, seconds: float) -> None:
        """Let time pass, in which subscribed machines that are not unresponsive send their status."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_INTERVAL
            for peer in self.link_set.subscribed - self.unresponsive:
                self.receive_status(peer)
            self.tick()

    def feeding_machine(self) -> str:
        """The machine that feeds the dispatcher."""
        feeding_machine = self.links.feeding_machine
        assert feeding_machine is not None
        return feeding_machine

    def test_the_dispatcher_stays_subscribed_to_one_machine(self) -> None:
        first = self.feeding_machine()
        self.advance(60.0)
        self.assertEqual(({first}, set()), (self.link_set.subscribed, self.link_set.status_only))

    def test_a_status_only_link_to_the_primary_stays_until_a_configuration_is_confirmed(self) -> None:
        self.confirmed = False
        self.primary = next(seed for seed in SEEDS if seed != self.feeding_machine())
        self.tick()
        self.assertEqual({self.primary}, self.link_set.status_only)
        self.confirmed = True
        self.tick()
        self.assertEqual(set(), self.link_set.status_only)

    def test_a_machine_whose_link_ends_is_replaced_at_once(self) -> None:
        first = self.feeding_machine()
        self.links.record_link_end(first, self.now)
        self.tick()
        self.assertNotEqual(first, self.feeding_machine())
        self.assertEqual({self.feeding_machine()}, self.link_set.subscribed)

    def test_an_unresponsive_machine_is_replaced_within_the_time_limit(self) -> None:
        self.advance(2.0)
        first = self.feeding_machine()
        self.unresponsive = {first}
        self.advance(TIMING.silence_limit + 2 * TICK_INTERVAL)
        self.assertNotEqual(first, self.feeding_machine())

    def test_a_machine_that_never_responded_is_replaced_sooner(self) -> None:
        first = self.feeding_machine()
        self.unresponsive = {first}
        self.advance(TIMING.open_limit + TICK_INTERVAL)
        self.assertNotEqual(first, self.feeding_machine())

    def test_a_machine_not_in_contact_with_the_primary_is_replaced_after_the_time_of_an_election(
        self,
    ) -> None:
        self.advance(2.0)
        first = self.feeding_machine()
        self.fresh = False
        self.advance(OUT_OF_CONTACT_LIMIT - 2 * TICK_INTERVAL)
        self.assertEqual(first, self.feeding_machine())
        self.advance(4 * TICK_INTERVAL)
        self.assertNotEqual(first, self.feeding_machine())

    def test_a_machine_with_an_overdue_answer_is_replaced(self) -> None:
        first = self.feeding_machine()
        self.links.record_overdue_response(first, self.now)
        self.tick()
        self.assertNotEqual(first, self.feeding_machine())

    def test_a_machine_in_the_same_zone_is_preferred_once_it_is_known(self) -> None:
        zones = dict.fromkeys(SEEDS, OTHER_ZONE) | {LATER_MACHINE: OWN_ZONE}
        self.roots = tuple(ControlMachine(ip, zone) for ip, zone in sorted(zones.items()))
        self.advance(10.0)
        self.assertEqual((LATER_MACHINE, {LATER_MACHINE}), (self.feeding_machine(), self.link_set.subscribed))

    def test_the_first_feed_is_kept_until_the_preferred_one_responds(self) -> None:
        first = self.feeding_machine()
        self.roots = (ControlMachine(LATER_MACHINE, OWN_ZONE),)
        self.unresponsive = {LATER_MACHINE}
        self.advance(3.0)
        self.assertEqual(first, self.feeding_machine())
        self.assertIn(first, self.link_set.subscribed)

    def test_a_preferred_machine_that_has_just_started_is_not_chosen_yet(self) -> None:
        """Such a machine may not know of workers that drained or deregistered before it started."""
        first = self.feeding_machine()
        self.roots = (ControlMachine(LATER_MACHINE, OWN_ZONE),)
        self.settled = False
        self.advance(10.0)
        self.assertEqual(first, self.feeding_machine())
        self.settled = True
        self.advance(60.0)
        self.assertEqual(LATER_MACHINE, self.feeding_machine())

    def test_dispatchers_are_spread_over_the_machines(self) -> None:
        chosen = set()
        for number in range(40):
            own = parse_settings({**DOCUMENT, "ip": f"10.0.1.{number}"})
            links = ControlLinks(own, mock.Mock(), lambda: SEEDS, mock.Mock(), mock.Mock())
            links.tick(START, True, None, ())
            chosen.add(links.feeding_machine)
        self.assertEqual(set(SEEDS), chosen)

    def test_with_machines_of_release_0_all_are_subscribed_to_and_the_primary_gets_reports(self) -> None:
        """Such machines relay neither reports nor notices."""
        self.release = 0
        self.receive_status(self.feeding_machine())
        self.tick()
        self.assertEqual(set(SEEDS), self.link_set.subscribed)
        self.assertEqual(PRIMARY, self.links.report_connection(PRIMARY))
        self.assertTrue(all(self.links.accepts_notices_from(seed) for seed in SEEDS))

    def test_reports_and_notices_use_the_feed(self) -> None:
        self.advance(1.0)
        self.assertEqual(self.feeding_machine(), self.links.report_connection(PRIMARY))
        self.assertEqual(
            [self.feeding_machine()], [seed for seed in SEEDS if self.links.accepts_notices_from(seed)]
        )

    def test_no_link_is_opened_after_close(self) -> None:
        self.links.close()
        self.link_set.set_peers(())
        self.tick()
        self.assertTrue(self.link_set.closed)
        self.assertEqual(set(), self.link_set.subscribed)


if __name__ == "__main__":
    unittest.main()
