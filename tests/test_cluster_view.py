"""The merged view of several feeds: a worker is removed when no control machine reports it any more."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rookwood.cluster.messages import Message, Status, WorkerGone, WorkerUpdates
from rookwood.cluster.view import WORKER_RETENTION, ClusterView
from rookwood.cluster.workers import WorkerRecord, WorkerState

FIRST, SECOND = "10.0.0.1", "10.0.0.2"
WORKER = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
OTHER_WORKER = replace(WORKER, id="i-2")
STATUS = Status(FIRST, 3, FIRST, True, True, 3, 7, 4, (FIRST, SECOND))
START = 100.0


class ViewCase(unittest.TestCase):
    """A view whose callbacks are recorded."""

    def setUp(self) -> None:
        self.changed: list[WorkerRecord] = []
        self.gone: list[str] = []
        self.view = ClusterView(self.changed.append, self.gone.append)

    def receive(self, peer: str, message: Message, now: float = START) -> None:
        """Handle a message from a control machine."""
        self.view.message_received(peer, message, now)

    def update(self, peer: str, *records: WorkerRecord, complete: bool = False) -> None:
        """Handle worker records from a control machine."""
        self.receive(peer, WorkerUpdates(records, complete))

    def link_settled(self, *peers: str) -> None:
        """Link control machines that are settled, so that their lists of workers are reliable."""
        for peer in peers:
            self.view.link_opened(peer)
            self.receive(peer, replace(STATUS, identity=peer))


class StatusTests(ViewCase):
    def test_the_primary_of_the_newest_epoch_is_reported(self) -> None:
        self.receive(FIRST, STATUS)
        self.receive(SECOND, replace(STATUS, identity=SECOND, epoch=4, primary=SECOND))
        self.assertEqual(SECOND, self.view.primary())

    def test_the_status_of_a_machine_without_contact_to_the_primary_is_ignored(self) -> None:
        self.receive(FIRST, STATUS)
        stale = replace(STATUS, identity=SECOND, epoch=4, primary=SECOND, fresh=False)
        self.receive(SECOND, stale)
        self.assertEqual(FIRST, self.view.primary())

    def test_the_status_of_a_machine_whose_link_closed_is_ignored(self) -> None:
        self.view.link_opened(FIRST)
        self.receive(FIRST, STATUS)
        self.view.link_closed(FIRST, START)
        self.assertIsNone(self.view.primary())

    def test_members_of_all_linked_machines_are_known(self) -> None:
        self.receive(FIRST, STATUS)
        self.receive(SECOND, replace(STATUS, members=("10.0.0.3",)))
        self.assertEqual({FIRST, SECOND, "10.0.0.3"}, self.view.members())

    def test_the_largest_dispatcher_count_is_returned(self) -> None:
        self.assertEqual(1, self.view.dispatcher_count())
        self.receive(FIRST, STATUS)
        self.receive(SECOND, replace(STATUS, dispatchers=9))
        self.assertEqual(9, self.view.dispatcher_count())


class WorkerTests(ViewCase):
    def test_the_same_worker_from_two_machines_is_reported_once(self) -> None:
        self.update(FIRST, WORKER)
        self.update(SECOND, WORKER)
        self.assertEqual([WORKER], self.changed)

    def test_a_worker_stays_while_one_machine_reports_it(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.update(SECOND, WORKER)
        self.receive(FIRST, WorkerGone(WORKER.id, deleted=False))
        self.view.remove_unreported_workers(START)
        self.assertEqual([], self.gone)

    def test_a_worker_is_removed_when_no_machine_reports_it(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER, OTHER_WORKER)
        self.update(SECOND, WORKER)
        for peer in (FIRST, SECOND):
            self.receive(peer, WorkerGone(WORKER.id, deleted=False))
        self.view.remove_unreported_workers(START)
        self.assertEqual([WORKER.id], self.gone)
        self.assertEqual([OTHER_WORKER], list(self.view.registry))

    def test_a_complete_list_replaces_the_workers_of_its_machine(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER, OTHER_WORKER)
        self.update(SECOND, OTHER_WORKER)
        self.update(FIRST, complete=True)
        self.view.remove_unreported_workers(START)
        self.assertEqual([WORKER.id], self.gone)

    def test_a_restarted_machine_has_time_to_report_its_workers_again(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.restart_unsettled(FIRST)
        self.view.remove_unreported_workers(START + WORKER_RETENTION - 0.01)
        self.assertEqual([], self.gone)
        self.view.remove_unreported_workers(START + WORKER_RETENTION + 0.01)
        self.assertEqual([WORKER.id], self.gone)

    def test_workers_that_a_restarted_machine_reports_again_stay(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.restart_unsettled(FIRST)
        self.update(FIRST, replace(WORKER, sequence=6))
        self.view.remove_unreported_workers(START + 2 * WORKER_RETENTION)
        self.assertEqual([], self.gone)

    def restart_unsettled(self, peer: str) -> None:
        """Restart a control machine, which knows no worker and is not settled yet."""
        self.view.link_closed(peer, START)
        self.view.link_opened(peer)
        self.receive(peer, replace(STATUS, identity=peer, settled=False))
        self.update(peer, complete=True)

    def test_an_incomplete_list_removes_no_worker(self) -> None:
        self.link_settled(FIRST)
        self.update(FIRST, WORKER)
        self.update(FIRST, OTHER_WORKER)
        self.view.remove_unreported_workers(START)
        self.assertEqual([], self.gone)

    def test_the_workers_of_a_lost_machine_stay_for_a_while(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.view.remove_unreported_workers(START + WORKER_RETENTION - 0.01)
        self.assertEqual([], self.gone)
        self.view.remove_unreported_workers(START + WORKER_RETENTION + 0.01)
        self.assertEqual([WORKER.id], self.gone)

    def test_closing_a_closed_link_again_does_not_extend_the_time(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.view.link_closed(FIRST, START + WORKER_RETENTION)
        self.view.remove_unreported_workers(START + WORKER_RETENTION + 0.01)
        self.assertEqual([WORKER.id], self.gone)

    def test_the_workers_of_a_machine_that_reconnects_stay(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.link_settled(FIRST)
        self.update(FIRST, WORKER, complete=True)
        self.view.remove_unreported_workers(START + 2 * WORKER_RETENTION)
        self.assertEqual([], self.gone)

    def test_workers_stay_while_no_settled_machine_is_linked(self) -> None:
        self.link_settled(FIRST)
        self.update(FIRST, WORKER)
        self.view.link_closed(FIRST, START)
        self.view.link_opened(SECOND)
        self.receive(SECOND, replace(STATUS, identity=SECOND, settled=False))
        self.view.remove_unreported_workers(START + 2 * WORKER_RETENTION)
        self.assertEqual([], self.gone)

    def test_a_deleted_worker_is_removed_at_once_and_never_returns(self) -> None:
        self.link_settled(FIRST, SECOND)
        self.update(FIRST, WORKER)
        self.update(SECOND, WORKER)
        self.receive(FIRST, WorkerGone(WORKER.id, deleted=True))
        self.assertEqual([WORKER.id], self.gone)
        self.update(SECOND, replace(WORKER, sequence=99), complete=True)
        self.assertEqual([], list(self.view.registry))
        self.assertEqual([WORKER], self.changed)

    def test_a_worker_that_timed_out_may_come_back(self) -> None:
        self.link_settled(FIRST)
        self.update(FIRST, WORKER)
        self.receive(FIRST, WorkerGone(WORKER.id, deleted=False))
        self.view.remove_unreported_workers(START)
        self.update(FIRST, replace(WORKER, sequence=9))
        self.assertEqual([replace(WORKER, sequence=9)], list(self.view.registry))
        self.assertEqual(2, len(self.changed))


if __name__ == "__main__":
    unittest.main()
