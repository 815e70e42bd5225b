"""The merged view of all feeds: workers go when nobody has them."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rookwood.cluster.messages import Message, Status, WorkerGone, WorkerUpdates
from rookwood.cluster.view import LINGER, ClusterView
from rookwood.cluster.workers import WorkerRecord, WorkerState

FIRST, SECOND = "10.0.0.1", "10.0.0.2"
WORKER = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
OTHER_WORKER = replace(WORKER, id="i-2")
STATUS = Status(FIRST, 3, FIRST, True, True, 3, 7, 4, (FIRST, SECOND))
START = 100.0


class ViewCase(unittest.TestCase):
    """A view whose news are collected."""

    def setUp(self) -> None:
        self.changed: list[WorkerRecord] = []
        self.gone: list[str] = []
        self.view = ClusterView(self.changed.append, self.gone.append)

    def receive(self, peer: str, message: Message, now: float = START) -> None:
        """A message of one source."""
        self.view.message_received(peer, message, now)

    def tell(self, peer: str, *records: WorkerRecord, complete: bool = False) -> None:
        """Updates from one source."""
        self.receive(peer, WorkerUpdates(records, complete))

    def link_settled(self, *peers: str) -> None:
        """Sources that are linked and know all their workers."""
        for peer in peers:
            self.view.link_opened(peer)
            self.receive(peer, replace(STATUS, identity=peer))


class StatusTests(ViewCase):
    def test_the_primary_of_the_newest_epoch_counts(self) -> None:
        self.receive(FIRST, STATUS)
        self.receive(SECOND, replace(STATUS, identity=SECOND, epoch=4, primary=SECOND))
        self.assertEqual(SECOND, self.view.primary())

    def test_a_machine_that_is_not_fresh_names_no_primary(self) -> None:
        self.receive(FIRST, STATUS)
        stale = replace(STATUS, identity=SECOND, epoch=4, primary=SECOND, fresh=False)
        self.receive(SECOND, stale)
        self.assertEqual(FIRST, self.view.primary())

    def test_a_lost_link_names_no_primary(self) -> None:
        self.view.link_opened(FIRST)
        self.receive(FIRST, STATUS)
        self.view.link_closed(FIRST, START)
        self.assertIsNone(self.view.primary())

    def test_members_of_all_linked_machines_are_known(self) -> None:
        self.receive(FIRST, STATUS)
        self.receive(SECOND, replace(STATUS, members=("10.0.0.3",)))
        self.assertEqual({FIRST, SECOND, "10.0.0.3"}, self.view.members())

    def test_the_largest_count_of_dispatchers_holds(self) -> None:
        self.assertEqual(1, self.view.dispatcher_count())
        self.receive(FIRST, STATUS)
        self.receive(SECOND, replace(STATUS, dispatchers=9))
        self.assertEqual(9, self.view.dispatcher_count())


class WorkerTests(ViewCase):
    def test_news_of_workers_are_told_once(self) -> None:
        self.tell(FIRST, WORKER)
        self.tell(SECOND, WORKER)
        self.assertEqual([WORKER], self.changed)

    def test_a_worker_stays_while_one_source_has_it(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.tell(SECOND, WORKER)
        self.receive(FIRST, WorkerGone(WORKER.id, deleted=False))
        self.view.remove_unreported_workers(START)
        self.assertEqual([], self.gone)

    def test_a_worker_goes_when_no_source_has_it(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER, OTHER_WORKER)
        self.tell(SECOND, WORKER)
        for peer in (FIRST, SECOND):
            self.receive(peer, WorkerGone(WORKER.id, deleted=False))
        self.view.remove_unreported_workers(START)
        self.assertEqual([WORKER.id], self.gone)
        self.assertEqual([OTHER_WORKER], list(self.view.registry))

    def test_a_complete_list_names_all_that_its_source_has(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER, OTHER_WORKER)
        self.tell(SECOND, OTHER_WORKER)
        self.tell(FIRST, complete=True)
        self.view.remove_unreported_workers(START)
        self.assertEqual([WORKER.id], self.gone)

    def test_a_source_that_just_restarted_may_hear_of_its_workers_yet(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.restart_unsettled(FIRST)
        self.view.remove_unreported_workers(START + LINGER - 0.01)
        self.assertEqual([], self.gone)
        self.view.remove_unreported_workers(START + LINGER + 0.01)
        self.assertEqual([WORKER.id], self.gone)

    def test_a_source_that_heard_of_its_workers_again_keeps_them(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.restart_unsettled(FIRST)
        self.tell(FIRST, replace(WORKER, sequence=6))
        self.view.remove_unreported_workers(START + 2 * LINGER)
        self.assertEqual([], self.gone)

    def restart_unsettled(self, peer: str) -> None:
        """A source comes back, has heard of no worker and is not settled."""
        self.view.link_closed(peer, START)
        self.view.link_opened(peer)
        self.receive(peer, replace(STATUS, identity=peer, settled=False))
        self.tell(peer, complete=True)

    def test_an_incomplete_list_takes_nothing_away(self) -> None:
        self.link_settled(FIRST)
        self.tell(FIRST, WORKER)
        self.tell(FIRST, OTHER_WORKER)
        self.view.remove_unreported_workers(START)
        self.assertEqual([], self.gone)

    def test_the_workers_of_a_lost_source_linger(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.view.remove_unreported_workers(START + LINGER - 0.01)
        self.assertEqual([], self.gone)
        self.view.remove_unreported_workers(START + LINGER + 0.01)
        self.assertEqual([WORKER.id], self.gone)

    def test_repeated_losses_of_one_link_do_not_prolong_the_time(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.view.link_closed(FIRST, START + LINGER)
        self.view.remove_unreported_workers(START + LINGER + 0.01)
        self.assertEqual([WORKER.id], self.gone)

    def test_a_source_that_comes_back_keeps_its_workers(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.link_settled(FIRST)
        self.tell(FIRST, WORKER, complete=True)
        self.view.remove_unreported_workers(START + 2 * LINGER)
        self.assertEqual([], self.gone)

    def test_workers_stay_while_no_settled_source_is_linked(self) -> None:
        self.link_settled(FIRST)
        self.tell(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.view.link_opened(SECOND)
        self.receive(SECOND, replace(STATUS, identity=SECOND, settled=False))
        self.view.remove_unreported_workers(START + 2 * LINGER)
        self.assertEqual([], self.gone)

    def test_a_deleted_worker_goes_at_once_and_never_returns(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.tell(FIRST, WORKER)
        self.tell(SECOND, WORKER)
        self.receive(FIRST, WorkerGone(WORKER.id, deleted=True))
        self.assertEqual([WORKER.id], self.gone)
        self.tell(SECOND, replace(WORKER, sequence=99), complete=True)
        self.assertEqual([], list(self.view.registry))
        self.assertEqual([WORKER], self.changed)

    def test_a_worker_that_fell_silent_may_come_back(self) -> None:
        self.link_settled(FIRST)
        self.tell(FIRST, WORKER)
        self.receive(FIRST, WorkerGone(WORKER.id, deleted=False))
        self.view.remove_unreported_workers(START)
        self.tell(FIRST, replace(WORKER, sequence=9))
        self.assertEqual([replace(WORKER, sequence=9)], list(self.view.registry))
        self.assertEqual(2, len(self.changed))


if __name__ == "__main__":
    unittest.main()
