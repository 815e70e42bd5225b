"""Failure detection among peers in simulated time: monitor assignment, deaths, refutation, stalls."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.coordination.monitoring import (
    MonitorAssignment,
    MonitorTiming,
    PeerMonitor,
    PeerState,
    Refutation,
    Report,
    ReportOrder,
    Suspicion,
)
from rookwood.coordination.rendezvous import rank_members, stable_hash, top_members

TICK = 0.1
TIMING = MonitorTiming()
EXPECTED_HASH = 7423146086941506477  # blake2b of "rookwood" with 8 bytes, big endian


def identities(count: int) -> list[str]:
    return [f"10.0.{index // 250}.{index % 250}" for index in range(count)]


class Cluster:
    """Members that tick together; reports reach all running members one tick later, in random order."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.names = identities(count)
        self.stopped: set[str] = set()
        self.reports: list[Report] = []
        self.suspicions = 0
        self.monitors = {name: PeerMonitor(name, 1, self.now) for name in self.names}
        for monitor in self.monitors.values():
            monitor.set_members(self.names, self.now)

    def run(self, ticks: int) -> None:
        for _ in range(ticks):
            self.step()

    def step(self) -> None:
        self.now += TICK
        running = [name for name in self.names if name not in self.stopped]
        arriving, self.reports = self.reports, []
        self.random.shuffle(arriving)
        for name in running:
            monitor = self.monitors[name]
            for report in arriving:
                monitor.receive_report(report, self.now)
            for peer in monitor.watched_peers - self.stopped:
                monitor.record_heartbeat(peer, self.now, self.monitors[peer].incarnation)
        for name in running:
            self.reports += self.monitors[name].tick(self.now)
        self.suspicions += sum(isinstance(report, Suspicion) for report in self.reports)

    def running_agree(self, dead: set[str]) -> bool:
        return all(self.monitors[name].dead_peers == dead for name in self.names if name not in self.stopped)


class RendezvousTest(unittest.TestCase):
    def test_hash_is_the_same_in_every_version(self) -> None:
        self.assertEqual(stable_hash("rookwood"), EXPECTED_HASH)

    def test_top_members_are_the_first_of_the_ranking(self) -> None:
        names = identities(50)
        self.assertEqual(top_members("key", names, 5), rank_members("key", reversed(names))[:5])

    def test_loss_of_a_member_keeps_the_order_of_the_others(self) -> None:
        names = identities(50)
        before = rank_members("key", names)
        lost = before[7]
        self.assertEqual(
            rank_members("key", [n for n in names if n != lost]), [name for name in before if name != lost]
        )

    def test_first_places_are_distributed_evenly(self) -> None:
        names = identities(10)
        firsts = [top_members(f"key {index}", names, 1)[0] for index in range(5000)]
        for name in names:
            self.assertAlmostEqual(firsts.count(name), 500, delta=100)


class AssignmentTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.sets(st.integers(0, 30)), min_size=1, max_size=6))
    def test_incremental_changes_lead_to_the_same_monitors_as_a_full_computation(
        self, changes: list[set[int]]
    ) -> None:
        names = identities(31)
        assignment = MonitorAssignment()
        for change in changes:
            members = [names[index] for index in change]
            assignment.set_members(members)
            for peer in members:
                others = [name for name in members if name != peer]
                self.assertEqual(assignment.monitors_of(peer), tuple(top_members(peer, others, 3)))

    def test_every_member_has_three_monitors_and_watches_few(self) -> None:
        names = identities(320)
        assignment = MonitorAssignment()
        assignment.set_members(names)
        self.assertTrue(all(len(assignment.monitors_of(name)) == 3 for name in names))
        self.assertLessEqual(max(len(assignment.watched_by(name)) for name in names), 12)

    def test_loss_changes_only_the_monitors_of_peers_that_the_lost_member_watched(self) -> None:
        names = identities(320)
        assignment = MonitorAssignment()
        assignment.set_members(names)
        before = {name: assignment.monitors_of(name) for name in names}
        watched = assignment.watched_by(names[0])
        assignment.set_members(names[1:])
        changed = {name for name in names[1:] if assignment.monitors_of(name) != before[name]}
        self.assertEqual(changed, watched)


class PeerMonitorTest(unittest.TestCase):
    def test_healthy_cluster_reports_nothing(self) -> None:
        cluster = Cluster(20)
        cluster.run(200)
        self.assertEqual(cluster.suspicions, 0)

    def test_one_suspicion_does_not_make_a_peer_dead_but_two_do(self) -> None:
        cluster = Cluster(8)
        observer, peer = cluster.names[:2]
        monitor = cluster.monitors[observer]
        assignment = MonitorAssignment()
        assignment.set_members(cluster.names)
        first, second, third = assignment.monitors_of(peer)
        order = ReportOrder(1, 1)
        monitor.receive_report(Suspicion(peer, 1, first, order), 0.0)
        self.assertIs(monitor.state(peer), PeerState.SUSPECTED)
        monitor.receive_report(Suspicion(peer, 1, first, ReportOrder(1, 2)), 0.0)
        self.assertIs(monitor.state(peer), PeerState.SUSPECTED)
        monitor.receive_report(Suspicion(peer, 1, second, order), 0.0)
        self.assertIs(monitor.state(peer), PeerState.DEAD)
        monitor.receive_report(Refutation(peer, 2, peer, order), 0.0)
        self.assertIs(monitor.state(peer), PeerState.ALIVE)
        monitor.receive_report(Suspicion(peer, 1, third, order), 0.0)
        self.assertIs(monitor.state(peer), PeerState.ALIVE)

    def test_reports_of_members_that_are_not_monitors_do_not_count(self) -> None:
        cluster = Cluster(20)
        monitor = cluster.monitors[cluster.names[0]]
        peer = cluster.names[1]
        assignment = MonitorAssignment()
        assignment.set_members(cluster.names)
        for other in set(cluster.names) - {peer, *assignment.monitors_of(peer)}:
            monitor.receive_report(Suspicion(peer, 1, other, ReportOrder(1, 1)), 0.0)
        self.assertIs(monitor.state(peer), PeerState.SUSPECTED)

    def test_older_report_does_not_replace_a_later_one(self) -> None:
        cluster = Cluster(8)
        monitor = cluster.monitors[cluster.names[0]]
        peer, reporter = cluster.names[1:3]
        monitor.receive_report(Refutation(peer, 1, reporter, ReportOrder(1, 2)), 0.0)
        monitor.receive_report(Suspicion(peer, 1, reporter, ReportOrder(1, 1)), 0.0)
        self.assertIs(monitor.state(peer), PeerState.ALIVE)

    def test_suspected_member_refutes_with_a_higher_incarnation(self) -> None:
        cluster = Cluster(8)
        me, reporter = cluster.names[:2]
        monitor = cluster.monitors[me]
        monitor.receive_report(Suspicion(me, 1, reporter, ReportOrder(1, 1)), 0.0)
        (report,) = monitor.tick(TICK)
        assert isinstance(report, Refutation)
        self.assertEqual((report.peer, report.incarnation, monitor.incarnation), (me, 2, 2))
        monitor.receive_report(Suspicion(me, 1, reporter, ReportOrder(1, 2)), 0.0)
        self.assertEqual(monitor.tick(2 * TICK), [])

    def test_all_members_learn_of_a_dead_peer_in_time(self) -> None:
        for seed in range(5):
            cluster = Cluster(20, seed)
            cluster.run(10)
            cluster.stopped = {cluster.names[seed]}
            cluster.run(13)
            self.assertTrue(cluster.running_agree({cluster.names[seed]}))

    def test_all_survivors_learn_that_a_third_died_at_once(self) -> None:
        for seed in range(5):
            cluster = Cluster(60, seed)
            cluster.run(10)
            cluster.stopped = set(cluster.random.sample(cluster.names, 18))
            cluster.run(60)
            self.assertTrue(cluster.running_agree(cluster.stopped))

    def test_monitor_that_stalled_suspects_nobody_afterwards(self) -> None:
        names = identities(20)
        for name in names:
            monitor = PeerMonitor(name, 1, 0.0)
            monitor.set_members(names, 0.0)
            self.assertEqual(monitor.tick(TICK), [])
            self.assertEqual(monitor.tick(30.0), [])
            self.assertEqual(monitor.tick(30.0 + TICK), [])

    def test_members_that_stalled_return_without_suspecting_others(self) -> None:
        for seed in range(5):
            cluster = Cluster(40, seed)
            cluster.run(10)
            cluster.stopped = set(cluster.random.sample(cluster.names, 4))
            stalled = set(cluster.stopped)
            cluster.run(40)
            self.assertTrue(cluster.running_agree(stalled))
            for name in stalled:
                for suspicion in cluster.monitors[min(set(cluster.names) - stalled)].suspicions_of(name):
                    cluster.monitors[name].receive_report(suspicion, cluster.now)
            cluster.stopped = set()
            before = cluster.suspicions
            cluster.run(40)
            self.assertEqual(cluster.suspicions, before)
            self.assertTrue(cluster.running_agree(set()))

    def test_silence_limit_of_a_newly_watched_peer_starts_when_it_is_added(self) -> None:
        monitor = PeerMonitor("a", 1, 0.0)
        now = 0.0
        while now < 5.0:
            now += TICK
            monitor.tick(now)
        monitor.set_members(["a", "b"], now)
        self.assertEqual(monitor.tick(now + TICK), [])
        self.assertEqual(monitor.watched_peers, {"b"})

    def test_monitor_that_receives_a_heartbeat_again_refutes_its_suspicion(self) -> None:
        monitor = PeerMonitor("a", 1, 0.0)
        monitor.set_members(["a", "b"], 0.0)
        reports: list[Report] = []
        now = 0.0
        while not reports:
            now += TICK
            reports = monitor.tick(now)
        self.assertAlmostEqual(now, TIMING.silence_limit, delta=TICK)
        self.assertIs(monitor.state("b"), PeerState.DEAD)
        monitor.record_heartbeat("b", now)
        (report,) = monitor.tick(now + TICK)
        self.assertIsInstance(report, Refutation)
        self.assertIs(monitor.state("b"), PeerState.ALIVE)
