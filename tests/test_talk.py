"""Words between dispatchers: who hears, who is asked, and what trouble with them costs at most."""

from __future__ import annotations

from collections import Counter

import pytest

from rookwood import interface as api
from rookwood.interface import Hint, Word
from rookwood.load_exchange import KEEPERS, LOOK, MISSED, QUIET, Keepers
from rookwood.policy import MOST
from rookwood.state import State
from tests.tier import SECOND, Tier
from tests.world import MS, World, settings, worker


def state(number: int) -> State:
    return State(worker(number), [], 0)


@pytest.mark.parametrize("dispatchers", [1, 3, 4, 40, 200])
def test_every_dispatcher_names_the_same_few_keepers(dispatchers: int) -> None:
    some = [Keepers(me, dispatchers) for me in range(min(dispatchers, 7))]
    named = [{n: one.of(state(n)) for n in range(50)} for one in some]
    assert all(one == named[0] for one in named)
    assert all(len(set(of)) == len(of) == min(KEEPERS, dispatchers) for of in named[0].values())
    kept = Counter(n for of in named[0].values() for n in of)
    assert max(kept.values()) <= 50 * KEEPERS / dispatchers + 12  # and no dispatcher keeps most of the books


def test_silent_keeper_is_passed_over_and_asked_again_later() -> None:
    keepers, w = Keepers(199, 200), state(0)
    first, second = keepers.others(w)[:2]
    assert keepers.whom(w, 0) == first
    keepers.silent(first, 0)
    assert keepers.whom(w, 1) == second
    keepers.sign(first)
    assert keepers.whom(w, 2) == first
    keepers.silent(first, 2)
    assert keepers.whom(w, 2 + QUIET) == first


def test_where_nobody_answers_nobody_is_waited_for_but_one_tries_at_times() -> None:
    keepers = Keepers(199, 200)
    for n in range(MISSED):
        keepers.silent(n, 0)
    asked = [keepers.whom(state(7), at) for at in range(0, SECOND, 10 * MS)]
    assert 0 < sum(peer is not None for peer in asked) <= 3


def messages(tier: Tier) -> int:
    return sum(len(a.to) for _, _, a in tier.done if isinstance(a, api.SendHints))


def test_messages_a_job_do_not_grow_with_the_fleet() -> None:
    """Word of each job went to all the others: 390 messages a job at two hundred, 78 at forty."""
    for dispatchers in (10, 40, 160):
        tier = Tier(dispatchers, boxes=40, probes=True, peers=True)
        tier.tell()
        tier.load(150, 3 * SECOND)
        tier.run(7 * SECOND)
        # Two words to each keeper; a question and its answer for each worker of the own zone in question.
        assert messages(tier) / tier.ended[api.Outcome.OK] < 2 * KEEPERS + 2 * MOST


@pytest.mark.parametrize("lost", [0.3, 1.0])
def test_lost_words_cost_waits_of_a_few_jobs(lost: float) -> None:
    """With no word at all, each took its workers for idle and sent to the fastest: a quarter waited long."""
    tier = Tier(80, boxes=40, lost=lost, probes=True, peers=True)
    tier.tell()
    tier.load(180, 5 * SECOND)  # 90 of 160 slots
    tier.run(10 * SECOND)
    assert sum(wait > 700 * MS for wait in tier.started) < 0.03 * len(tier.started)
    assert tier.count(api.Reject) < 0.06 * len(tier.started)


def asking(dispatchers: int = 200) -> tuple[World, int, int]:
    """A request that hangs on one worker's load, its number, and the keeper who is asked."""
    me = next(n for n in range(dispatchers) if not Keepers(n, dispatchers).mine(state(0)))
    world = World(settings(peers=True, dispatchers=dispatchers, me=me))
    world.list_workers(worker(0))
    number = world.ask("fee", key=1)
    told = [a for _, a in world.trace if isinstance(a, api.SendHints)]
    assert [(len(a.to), [h.word for h in a.hints]) for a in told] == [(1, [Word.ASK])]
    return world, number, told[0].to[0]


def test_request_waits_for_the_answer_and_goes() -> None:
    world, number, keeper = asking()
    assert not world.asked[number].tries
    world.feed(api.HintsReceived(keeper, (Hint(worker(0).id, Word.LOAD, 1.0),)))
    assert world.asked[number].tries


def test_request_does_not_wait_for_a_dead_keeper_longer_than_its_limit() -> None:
    world, number, _ = asking()
    world.advance(2 * LOOK)
    assert world.asked[number].tries


def test_worker_told_to_be_full_gets_nothing_while_that_is_fresh() -> None:
    world, number, keeper = asking()
    world.feed(api.HintsReceived(keeper, (Hint(worker(0).id, Word.LOAD, 9.0),)))
    assert not world.asked[number].tries


def test_request_that_was_sent_meanwhile_is_not_sent_again_with_the_answer() -> None:
    """A sequential request had its turn while load was asked for, and the answer placed it once more."""
    me = next(n for n in range(200) if not Keepers(n, 200).mine(state(0)))
    world = World(settings(peers=True, dispatchers=200, me=me, sequential=("vent",)))
    world.list_workers(worker(0))
    number = world.ask("vent", key=1)
    (keeper,) = (a.to[0] for _, a in world.trace if isinstance(a, api.SendHints))
    found = world.policy.workers[worker(0).id]
    found.report_at = world.now  # known by other means
    world.policy._turn(1)
    world.policy.workers[worker(0).id].asked = keeper
    world.feed(api.HintsReceived(keeper, (Hint(worker(0).id, Word.LOAD, 0.0),)))
    world.advance(2 * LOOK)
    assert len([a for _, a in world.trace if isinstance(a, api.Send) and a.request == number]) == 1


def test_load_that_nobody_asked_for_is_dropped() -> None:
    """A liar says of every worker that it is full, or bad."""
    world, number, keeper = asking()
    for sender in (n for n in range(200) if n != keeper):
        world.feed(api.HintsReceived(sender, (Hint(worker(0).id, Word.LOAD, 99.0, 0.35),)))
    found = world.policy.workers[worker(0).id]
    assert found.others == 0 and found.told_faults == 0
    world.feed(api.HintsReceived(keeper, (Hint(worker(0).id, Word.LOAD, 0.0),)))
    assert world.asked[number].tries


def test_who_is_new_does_not_answer_for_books_that_it_has_not_kept() -> None:
    me = next(n for n in range(200) if Keepers(n, 200).mine(state(0)))
    world = World(settings(peers=True, dispatchers=200, me=me))
    world.list_workers(worker(0))
    ask = api.HintsReceived((me + 1) % 200, (Hint(worker(0).id, Word.ASK),))
    assert not world.feed(ask)
    world.advance(3 * SECOND)
    world.feed(api.HintsReceived((me + 2) % 200, (Hint(worker(0).id, Word.SENT, 4.0),)))
    answers = [a for a in world.feed(ask) if isinstance(a, api.SendHints)]
    assert answers == [api.SendHints(((me + 1) % 200,), (Hint(worker(0).id, Word.LOAD, 4.0, 0.0),))]


def test_each_held_request_has_its_own_workers_asked_again() -> None:
    """Only the newest of a lane had: the others were refused beside workers that had become free."""
    me = next(n for n in range(200) if not any(Keepers(n, 200).mine(state(w)) for w in range(60)))
    world = World(settings(peers=True, dispatchers=200, me=me))
    world.list_workers(*(worker(n) for n in range(60)))

    def asked(since: int) -> dict[str, int]:
        tells = [a for t, a in world.trace if isinstance(a, api.SendHints) and t >= since]
        return {hint.worker: a.to[0] for a in tells for hint in a.hints if hint.word is Word.ASK}

    first: list[set[str]] = []
    for key in range(4):  # each key has workers of its own
        since = world.now
        world.ask("fee", key=key)
        for _ in range(3):
            for name, keeper in asked(since).items():
                world.feed(api.HintsReceived(keeper, (Hint(name, Word.LOAD, 9.0),)))
        first.append(set(asked(since)))
        world.advance(1)
    assert len(world.policy.held_jobs) == 1 and sum(map(len, world.policy.held_jobs.values())) == 4
    since = world.now + 200 * MS
    world.advance(500 * MS)
    assert all(names & set(asked(since)) for names in first)
