"""Hints between dispatchers: who gets them, who is queried, and what their loss costs at most."""

from __future__ import annotations

from collections import Counter

import pytest

from rookwood import interface as api
from rookwood.interface import Hint, HintKind
from rookwood.load_exchange import (
    MAX_MISSED_REPLIES,
    PEER_TIMEOUT_PAUSE,
    QUERY_TIMEOUT,
    TRACKERS_PER_WORKER,
    Trackers,
)
from rookwood.policy import MAX_CANDIDATES
from rookwood.state import WorkerState
from tests.tier import SECOND, DispatcherGroup
from tests.world import MS, World, settings, worker


def worker_state(number: int) -> WorkerState:
    return WorkerState(worker(number), [], 0)


@pytest.mark.parametrize("dispatchers", [1, 3, 4, 40, 200])
def test_every_dispatcher_draws_the_same_few_trackers(dispatchers: int) -> None:
    some = [Trackers(me, dispatchers) for me in range(min(dispatchers, 7))]
    drawn = [{n: trackers.of(worker_state(n)) for n in range(50)} for trackers in some]
    assert all(draw == drawn[0] for draw in drawn)
    assert all(
        len(set(peers)) == len(peers) == min(TRACKERS_PER_WORKER, dispatchers) for peers in drawn[0].values()
    )
    tracked = Counter(n for peers in drawn[0].values() for n in peers)
    # No dispatcher tracks most of the workers.
    assert max(tracked.values()) <= 50 * TRACKERS_PER_WORKER / dispatchers + 12


def test_tracker_without_a_reply_is_skipped_and_queried_again_later() -> None:
    trackers, w = Trackers(199, 200), worker_state(0)
    first, second = trackers.others_of(w)[:2]
    assert trackers.choose_peer(w, 0) == first
    trackers.record_timeout(first, 0)
    assert trackers.choose_peer(w, 1) == second
    trackers.record_reply(first)
    assert trackers.choose_peer(w, 2) == first
    trackers.record_timeout(first, 2)
    assert trackers.choose_peer(w, 2 + PEER_TIMEOUT_PAUSE) == first


def test_without_any_replies_only_single_queries_are_sent() -> None:
    trackers = Trackers(199, 200)
    for n in range(MAX_MISSED_REPLIES):
        trackers.record_timeout(n, 0)
    peers = [trackers.choose_peer(worker_state(7), at) for at in range(0, SECOND, 10 * MS)]
    assert 0 < sum(peer is not None for peer in peers) <= 3


def count_messages(group: DispatcherGroup) -> int:
    return sum(len(a.to) for _, _, a in group.actions if isinstance(a, api.SendHints))


def test_messages_per_job_do_not_grow_with_the_fleet() -> None:
    """When hints of each job went to all others, a job took 78 messages at 40 dispatchers and 390 at 200."""
    for dispatchers in (10, 40, 160):
        group = DispatcherGroup(dispatchers, workers=40, probes=True, peers=True)
        group.list_workers()
        group.schedule_load(150, 3 * SECOND)
        group.run(7 * SECOND)
        # Two hints to each tracker, and a query and its reply for each candidate of the own zone.
        assert (
            count_messages(group) / group.outcomes[api.Outcome.OK]
            < 2 * TRACKERS_PER_WORKER + 2 * MAX_CANDIDATES
        )


@pytest.mark.parametrize("loss_rate", [0.3, 1.0])
def test_lost_hints_make_few_jobs_wait(loss_rate: float) -> None:
    """Without hints each dispatcher took workers for idle and used the fastest; a quarter waited long."""
    group = DispatcherGroup(80, workers=40, loss_rate=loss_rate, probes=True, peers=True)
    group.list_workers()
    group.schedule_load(180, 5 * SECOND)  # 90 of 160 slots
    group.run(10 * SECOND)
    assert sum(wait > 700 * MS for wait in group.waits) < 0.03 * len(group.waits)
    assert group.count(api.Reject) < 0.06 * len(group.waits)


def start_load_query(dispatchers: int = 200) -> tuple[World, int, int]:
    """Send a request that waits for a worker's load. Return the world, its number and the queried tracker."""
    me = next(n for n in range(dispatchers) if not Trackers(n, dispatchers).includes_me(worker_state(0)))
    world = World(settings(peers=True, dispatchers=dispatchers, me=me))
    world.list_workers(worker(0))
    number = world.send_request("fee", key=1)
    sent = [a for _, a in world.actions if isinstance(a, api.SendHints)]
    assert [(len(a.to), [h.kind for h in a.hints]) for a in sent] == [(1, [HintKind.LOAD_QUERY])]
    return world, number, sent[0].to[0]


def test_request_is_sent_when_the_load_report_arrives() -> None:
    world, number, tracker = start_load_query()
    assert not world.requests[number].attempts
    world.feed(api.HintsReceived(tracker, (Hint(worker(0).id, HintKind.LOAD_REPORT, 1.0),)))
    assert world.requests[number].attempts


def test_request_waits_for_a_dead_tracker_only_until_the_timeout() -> None:
    world, number, _ = start_load_query()
    world.advance(2 * QUERY_TIMEOUT)
    assert world.requests[number].attempts


def test_worker_reported_full_gets_nothing_while_the_report_is_fresh() -> None:
    world, number, tracker = start_load_query()
    world.feed(api.HintsReceived(tracker, (Hint(worker(0).id, HintKind.LOAD_REPORT, 9.0),)))
    assert not world.requests[number].attempts


def test_request_sent_during_a_query_is_not_sent_again_with_the_reply() -> None:
    """The turn of a sequential request came during a load query, and the reply sent it a second time."""
    me = next(n for n in range(200) if not Trackers(n, 200).includes_me(worker_state(0)))
    world = World(settings(peers=True, dispatchers=200, me=me, sequential=("vent",)))
    world.list_workers(worker(0))
    number = world.send_request("vent", key=1)
    (tracker,) = (a.to[0] for _, a in world.actions if isinstance(a, api.SendHints))
    found = world.policy.workers[worker(0).id]
    found.reported_at = world.now  # the load became known otherwise
    world.policy._start_next_of_key(1)
    world.policy.workers[worker(0).id].queried_peer = tracker
    world.feed(api.HintsReceived(tracker, (Hint(worker(0).id, HintKind.LOAD_REPORT, 0.0),)))
    world.advance(2 * QUERY_TIMEOUT)
    assert len([a for _, a in world.actions if isinstance(a, api.Send) and a.request == number]) == 1


def test_load_report_that_was_not_queried_is_dropped() -> None:
    """A faulty dispatcher may report every worker as full or failing."""
    world, number, tracker = start_load_query()
    for sender in (n for n in range(200) if n != tracker):
        world.feed(api.HintsReceived(sender, (Hint(worker(0).id, HintKind.LOAD_REPORT, 99.0, 0.35),)))
    found = world.policy.workers[worker(0).id]
    assert found.others_slots == 0 and found.peer_fault_rate == 0
    world.feed(api.HintsReceived(tracker, (Hint(worker(0).id, HintKind.LOAD_REPORT, 0.0),)))
    assert world.requests[number].attempts


def test_dispatcher_that_has_just_started_does_not_reply_to_queries() -> None:
    me = next(n for n in range(200) if Trackers(n, 200).includes_me(worker_state(0)))
    world = World(settings(peers=True, dispatchers=200, me=me))
    world.list_workers(worker(0))
    query = api.HintsReceived((me + 1) % 200, (Hint(worker(0).id, HintKind.LOAD_QUERY),))
    assert not world.feed(query)
    world.advance(3 * SECOND)
    world.feed(api.HintsReceived((me + 2) % 200, (Hint(worker(0).id, HintKind.SENT, 4.0),)))
    replies = [a for a in world.feed(query) if isinstance(a, api.SendHints)]
    assert replies == [
        api.SendHints(((me + 1) % 200,), (Hint(worker(0).id, HintKind.LOAD_REPORT, 4.0, 0.0),))
    ]


def test_load_is_queried_again_for_the_candidates_of_each_held_request() -> None:
    """With queries for the newest held request only, others were rejected although workers were free."""
    me = next(
        n for n in range(200) if not any(Trackers(n, 200).includes_me(worker_state(w)) for w in range(60))
    )
    world = World(settings(peers=True, dispatchers=200, me=me))
    world.list_workers(*(worker(n) for n in range(60)))

    def queried(since: int) -> dict[str, int]:
        sent = [a for t, a in world.actions if isinstance(a, api.SendHints) and t >= since]
        return {hint.worker: a.to[0] for a in sent for hint in a.hints if hint.kind is HintKind.LOAD_QUERY}

    first: list[set[str]] = []
    for key in range(4):  # each key has its own candidates
        since = world.now
        world.send_request("fee", key=key)
        for _ in range(3):
            for name, tracker in queried(since).items():
                world.feed(api.HintsReceived(tracker, (Hint(name, HintKind.LOAD_REPORT, 9.0),)))
        first.append(set(queried(since)))
        world.advance(1)
    assert len(world.policy.held_jobs) == 1 and sum(map(len, world.policy.held_jobs.values())) == 4
    since = world.now + 200 * MS
    world.advance(500 * MS)
    assert all(names & set(queried(since)) for names in first)
