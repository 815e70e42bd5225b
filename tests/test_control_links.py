"""Which control machine feeds a dispatcher, and when it is left for another one; without sockets."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from unittest import mock

from rookwood.cluster.messages import PROTOCOL_RELEASE, ControlMachine, HeartbeatAnswer, Status
from rookwood.cluster.settings import parse_settings
from rookwood.dataplane import control_links
from rookwood.dataplane.control_links import OUT_OF_TOUCH_LIMIT, TICK_INTERVAL, TIMING, ControlLinks

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
OWN_ZONE, OTHER_ZONE = "z1", "z2"
FURTHER = "10.0.0.4"
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
    """Notes which links are wanted."""

    def __init__(self, *arguments: object) -> None:
        self.subscribed: frozenset[str] = frozenset()
        self.listened: frozenset[str] = frozenset()
        self.closed = False

    def set_peers(self, peers: Iterable[str], listened: Iterable[str] = ()) -> None:
        """Which links there are to be."""
        self.subscribed = frozenset(peers)
        self.listened = frozenset(listened) - self.subscribed

    def connection(self, peer: str) -> str | None:
        """Stands for the link to a peer."""
        return peer if peer in self.subscribed | self.listened else None

    def close(self) -> None:
        """Close all."""
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
        self.silent: set[str] = set()
        self.fresh = True
        self.settled = True
        self.release = PROTOCOL_RELEASE
        self.roots: tuple[ControlMachine, ...] = ()
        self.tick()

    @property
    def link_set(self) -> RecordingLinkSet:
        """What the links that are wanted are noted in."""
        assert isinstance(self.links.links, RecordingLinkSet)
        return self.links.links

    def tick(self) -> None:
        """One look at the links."""
        self.links.tick(self.now, self.confirmed, self.primary, SEEDS)

    def hear(self, peer: str) -> None:
        """A machine tells its status, and answers a heartbeat."""
        status = Status(
            peer, 1, PRIMARY, self.fresh, self.settled, 1, 1, 9, SEEDS, self.release, 3, self.roots
        )
        self.links.record_message(peer, status, self.now)
        self.links.record_message(peer, HeartbeatAnswer(self.now, 1, 1, self.fresh), self.now)

    def pass_time(self, seconds: float) -> None:
        """Time passes; linked machines that are not silent are heard."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_INTERVAL
            for peer in self.link_set.subscribed - self.silent:
                self.hear(peer)
            self.tick()

    def feeding(self) -> str:
        """Who feeds the dispatcher."""
        feeding = self.links.feeding_machine
        assert feeding is not None
        return feeding

    def test_one_machine_is_subscribed_to_and_stays(self) -> None:
        first = self.feeding()
        self.pass_time(60.0)
        self.assertEqual(({first}, set()), (self.link_set.subscribed, self.link_set.listened))

    def test_the_primary_is_listened_to_until_the_first_configuration_is_confirmed(self) -> None:
        self.confirmed = False
        self.primary = next(seed for seed in SEEDS if seed != self.feeding())
        self.tick()
        self.assertEqual({self.primary}, self.link_set.listened)
        self.confirmed = True
        self.tick()
        self.assertEqual(set(), self.link_set.listened)

    def test_a_machine_whose_link_ends_is_left_at_once(self) -> None:
        first = self.feeding()
        self.links.record_link_end(first, self.now)
        self.tick()
        self.assertNotEqual(first, self.feeding())
        self.assertEqual({self.feeding()}, self.link_set.subscribed)

    def test_a_silent_machine_is_left_within_its_limit(self) -> None:
        self.pass_time(2.0)
        first = self.feeding()
        self.silent = {first}
        self.pass_time(TIMING.silence_limit + 2 * TICK_INTERVAL)
        self.assertNotEqual(first, self.feeding())

    def test_a_machine_that_never_answered_is_left_sooner(self) -> None:
        first = self.feeding()
        self.silent = {first}
        self.pass_time(TIMING.open_limit + TICK_INTERVAL)
        self.assertNotEqual(first, self.feeding())

    def test_a_machine_out_of_touch_with_the_primary_is_left_after_an_election_would_be_over(self) -> None:
        self.pass_time(2.0)
        first = self.feeding()
        self.fresh = False
        self.pass_time(OUT_OF_TOUCH_LIMIT - 2 * TICK_INTERVAL)
        self.assertEqual(first, self.feeding())
        self.pass_time(4 * TICK_INTERVAL)
        self.assertNotEqual(first, self.feeding())

    def test_a_machine_that_owes_an_answer_is_left(self) -> None:
        first = self.feeding()
        self.links.record_overdue_answer(first, self.now)
        self.tick()
        self.assertNotEqual(first, self.feeding())

    def test_a_machine_of_the_own_zone_is_preferred_once_it_is_known(self) -> None:
        zones = dict.fromkeys(SEEDS, OTHER_ZONE) | {FURTHER: OWN_ZONE}
        self.roots = tuple(ControlMachine(ip, zone) for ip, zone in sorted(zones.items()))
        self.pass_time(10.0)
        self.assertEqual((FURTHER, {FURTHER}), (self.feeding(), self.link_set.subscribed))

    def test_the_first_feed_is_kept_until_the_better_one_is_heard(self) -> None:
        first = self.feeding()
        self.roots = (ControlMachine(FURTHER, OWN_ZONE),)
        self.silent = {FURTHER}
        self.pass_time(3.0)
        self.assertEqual(first, self.feeding())
        self.assertIn(first, self.link_set.subscribed)

    def test_a_better_machine_that_has_just_started_is_not_taken_yet(self) -> None:
        """It may not know of workers that drained or ended before."""
        first = self.feeding()
        self.roots = (ControlMachine(FURTHER, OWN_ZONE),)
        self.settled = False
        self.pass_time(10.0)
        self.assertEqual(first, self.feeding())
        self.settled = True
        self.pass_time(60.0)
        self.assertEqual(FURTHER, self.feeding())

    def test_dispatchers_spread_over_the_machines(self) -> None:
        chosen = set()
        for number in range(40):
            own = parse_settings({**DOCUMENT, "ip": f"10.0.1.{number}"})
            links = ControlLinks(own, mock.Mock(), lambda: SEEDS, mock.Mock(), mock.Mock())
            links.tick(START, True, None, ())
            chosen.add(links.feeding_machine)
        self.assertEqual(set(SEEDS), chosen)

    def test_beside_machines_of_release_0_all_are_subscribed_to_and_the_primary_takes_reports(self) -> None:
        """These pass nothing on: neither reports, nor notices."""
        self.release = 0
        self.hear(self.feeding())
        self.tick()
        self.assertEqual(set(SEEDS), self.link_set.subscribed)
        self.assertEqual(PRIMARY, self.links.report_connection(PRIMARY))
        self.assertTrue(all(self.links.accepts_notices_from(seed) for seed in SEEDS))

    def test_reports_and_notices_go_over_the_feed(self) -> None:
        self.pass_time(1.0)
        self.assertEqual(self.feeding(), self.links.report_connection(PRIMARY))
        self.assertEqual([self.feeding()], [seed for seed in SEEDS if self.links.accepts_notices_from(seed)])

    def test_nothing_is_opened_once_all_was_closed(self) -> None:
        self.links.close()
        self.link_set.set_peers(())
        self.tick()
        self.assertTrue(self.link_set.closed)
        self.assertEqual(set(), self.link_set.subscribed)


if __name__ == "__main__":
    unittest.main()
