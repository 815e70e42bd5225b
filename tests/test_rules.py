"""The four rules: under random legal event streams, and pointed cases for each."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from rookwood import Policy
from rookwood import interface as api
from tests.world import MS, World, settings, worker

LOAD = st.one_of(
    st.none(),
    st.fixed_dictionaries(
        {"x0": st.floats(-5, 1e6), "backlog": st.floats(0, 1e6), "outstanding": st.floats(0, 1e6)}
    ),
)
LATER_ENDINGS = [e for e in api.Outcome if e is not api.Outcome.IGNORED]


def drive(world: World, data: st.DataObject) -> None:
    """Any legal events in any order; the world judges each action, and at the end all must be answered."""
    world.list_workers(
        *(worker(n) for n in range(data.draw(st.integers(0, 5)))), how=api.WorkerListKind.CACHED
    )
    world.judge_cold = False  # here sizes, hints and answers contradict each other: see the pointed test
    tenants = [None, *(tenant.name for tenant in world.conf.tenants), "unlisted"]
    happens = ["ask", "ask", "end", "end", "start", "list", "gone", "heard", "wait"]
    for _ in range(data.draw(st.integers(5, 60))):
        match data.draw(st.sampled_from(happens)):
            case "ask":
                cls = data.draw(st.sampled_from(world.conf.classes))
                world.ask(
                    cls.name,
                    left=data.draw(st.sampled_from([0, 1, 5 * MS, cls.give_up // 3, cls.give_up])),
                    slots=data.draw(st.sampled_from([0.0, 1.0, 2.0, 4.0, 8.0, 1e6])),
                    memory=data.draw(st.sampled_from([None, 0.0, 0.5, 3.0])),
                    work_hint=data.draw(st.sampled_from([None, 0, 1, 200 * MS, 10**9])),
                    key=data.draw(st.sampled_from([None, 0, 1, 2, 2**53 - 1])),
                    tenant=data.draw(st.sampled_from(tenants)),
                    is_retry=data.draw(st.booleans()),
                )
            case "end" if world.out():
                number = data.draw(st.sampled_from(world.out()))
                world.end(number, data.draw(st.sampled_from(LATER_ENDINGS)), load=data.draw(LOAD))
            case "start" if world.out():
                world.start(data.draw(st.sampled_from(world.out())))
            case "heard" if world.conf.peers and world.listed:
                said = data.draw(st.sampled_from(api.Word))
                uid = data.draw(st.sampled_from(sorted(world.listed)))
                hint = api.Hint(uid, said, data.draw(st.sampled_from([0.0, 1.0, 255.0])), 0.1)
                world.feed(api.HintsReceived(data.draw(st.integers(0, world.conf.dispatchers - 1)), (hint,)))
            case "list":
                info = worker(
                    data.draw(st.integers(0, 5)),
                    zone=data.draw(st.sampled_from(["z0", "z1"])),
                    health=data.draw(st.sampled_from(api.Health)),
                    size=data.draw(st.sampled_from([0.0, 0.5, 4.0])),
                    started_at=data.draw(st.sampled_from([None, 0, world.now - 100 * MS, world.now])),
                )
                hows = [api.WorkerListKind.CHANGES, api.WorkerListKind.FULL]
                world.list_workers(info, how=data.draw(st.sampled_from(hows)))
            case "gone" if world.asked:
                number = data.draw(st.sampled_from(sorted(world.asked)))
                world.asked[number].answered = True
                world.feed(api.RequestAbandoned(number))
            case _:
                world.advance(data.draw(st.sampled_from([1, 20 * MS, 300 * MS, 2_500 * MS])))
    world.advance(30_000 * MS)
    assert all(a.answered for a in world.asked.values())


@pytest.mark.parametrize("dispatchers", [1, 4])
@profile(
    derandomize=True,
    max_examples=60,
    phases=(Phase.generate,),
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(data=st.data())
def test_rules_hold_under_random_legal_events(dispatchers: int, data: st.DataObject) -> None:
    conf = settings(
        dispatchers=dispatchers,
        sequential=data.draw(st.sampled_from([(), ("vent",), ("order", "vent", "fee")])),
        order_settle=data.draw(st.sampled_from([0, 300 * MS])),
        cancel=data.draw(st.booleans()),
        marks_retry=data.draw(st.booleans()),
    )
    drive(World(conf), data)


def test_every_request_is_answered_when_no_worker_is_listed() -> None:
    world = World(settings())
    world.list_workers()
    number = world.ask("fee")
    world.advance(6_000 * MS)
    assert world.asked[number].answered


def test_silent_attempt_of_an_unsafe_request_ends_failed_not_refused() -> None:
    world = World(settings())
    world.list_workers(worker(0))
    number = world.ask("fee")
    world.advance(6_000 * MS)
    assert api.Fail(number) in [a for _, a in world.trace]


def test_unsafe_request_goes_on_after_a_proof_that_it_never_ran() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(2))
    number = world.ask("fee")
    world.end(number, api.Outcome.CONNECT_FAILED)
    first, second = world.asked[number].tries
    assert first.worker != second.worker


def test_unsafe_request_is_not_sent_again_after_an_error() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(2))
    number = world.ask("fee")
    world.end(number, api.Outcome.FAILED)
    assert len(world.asked[number].tries) == 1
    assert world.asked[number].answered


def test_keyed_request_stays_in_its_cell_after_an_error() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(1), worker(4), worker(5))
    for _ in range(6):
        number = world.ask("vent", key=3)
        world.end(number, api.Outcome.FAILED)
        if len(world.asked[number].tries) > 1:
            world.end(number, api.Outcome.OK)


def test_nothing_goes_to_a_draining_worker() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(1))
    world.list_workers(worker(0, health=api.Health.DRAINING), how=api.WorkerListKind.CHANGES)
    for key in range(8):
        world.ask("fee", key=key)
    sent = {a.worker for _, a in world.trace if isinstance(a, api.Send)}
    assert sent == {worker(1).id}


def test_retries_cannot_outrun_their_budget() -> None:
    """A fleet that fails everything gets little more than one attempt for each request."""
    world = World(settings(max_attempts=6))
    world.list_workers(*(worker(n) for n in range(4)))
    for key in range(200):
        world.ask("read", key=key)
        for number in list(world.out()):
            world.end(number, api.Outcome.FAILED)
        world.advance(100 * MS)
    tries = sum(len(a.tries) for a in world.asked.values())
    assert tries <= 200 * 1.1 + 12


def test_late_outcome_of_an_ended_request_is_quiet() -> None:
    world = World(settings())
    world.list_workers(worker(0))
    number = world.ask("fee")
    world.asked[number].answered = True
    world.feed(api.RequestAbandoned(number))
    world.end(number, api.Outcome.FAILED)
    assert len(world.asked[number].tries) == 1


def test_cold_worker_is_not_pushed_over() -> None:
    """Rule 4, by an oracle that counts every send to a worker just started."""
    world = World(settings(dispatchers=2))
    world.list_workers(worker(0, started_at=world.now))
    for key in range(300):
        world.ask("read", key=key, work_hint=300 * MS)
        world.advance(10 * MS)
        for number in world.out()[:2]:
            if world.now - world.asked[number].tries[0].sent >= 300 * MS:
                world.end(number, api.Outcome.OK, load={"x0": 2.0, "backlog": 0.0})
    assert 3 < len(world.sends_to_cold[worker(0).id]) < 100


def test_wrong_use_is_named() -> None:
    policy = Policy(settings(), 1)
    policy.handle(10, api.WorkersChanged(api.WorkerListKind.CACHED))
    policy.handle(10, api.Request(1, "fee", 1_000_000))
    with pytest.raises(ValueError, match="request 1 came twice"):
        policy.handle(10, api.Request(1, "fee", 1_000_000))
    with pytest.raises(ValueError, match="lack"):
        policy.handle(10, api.Request(2, "none", 1_000_000))
    with pytest.raises(ValueError, match="clock runs back"):
        policy.handle(9, api.Timer(0))
    for change, match in (
        ({"order_settle": -1}, "order_settle is negative"),
        ({"cold_share": 1.5}, "cold_share is no fraction"),
        ({"classes": (api.JobClass("a", -1, 1, 1.0, api.RetrySafety.SAFE),)}, "a.aim is negative"),
        ({"classes": (api.JobClass("a", 1, 1, 1.0, api.RetrySafety.SAFE),) * 2}, "one name"),
    ):
        with pytest.raises(ValueError, match=match):
            api.Settings(**{"classes": (), **change})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="dispatchers"):
        Policy(settings(dispatchers=0), 1)


def test_many_dispatchers_together_push_no_cold_worker_over() -> None:
    """A share below one job: rounded up by all, 60 dispatchers sent 60 jobs at once; rounded down, none."""
    sent: list[int] = []
    for seed in range(60):
        world = World(settings(dispatchers=60, me=seed), seed)
        world.policy.weight = 300.0 * MS  # as learned long since
        world.judge_cold = False  # the share of one dispatcher is less than any job: judged in sum, below
        world.list_workers(worker(0, started_at=world.now))
        for key in range(300):
            number = world.ask("read", key=key, work_hint=300 * MS)
            if world.asked[number].tries:
                sent.append(world.now)
                world.end(number, api.Outcome.OK)
            world.advance(25 * MS)
    window, slots, conf = 2_000 * MS, 4.0, settings()
    for at in sent:
        share = conf.cold_share + (1 - conf.cold_share) * (at - 1_000_000) / conf.warm_up
        work = 300 * MS * sum(at - window < t <= at for t in sent)
        assert work <= conf.fall_multiple * share * slots * window
    assert len(sent) > 60


def started(conf: api.Settings, seed: int, now: int, *listed: api.Worker) -> World:
    world = World(conf, seed)
    world.judge_cold = False  # of one dispatcher: judged in sum
    world.advance(now - world.now)
    world.list_workers(*listed)
    return world


@pytest.mark.parametrize("age", [0, 2_000 * MS, 4_000 * MS])
@pytest.mark.parametrize("dispatchers", [3, 12, 30])
@pytest.mark.parametrize(("aim", "work"), [(300, 300), (80, 300), (10, 100)])
@pytest.mark.parametrize("restarted", [False, True])
def test_fleet_that_knows_no_history_pushes_no_cold_worker_over(
    age: int, dispatchers: int, aim: int, work: int, restarted: bool
) -> None:
    """Without messages and probes: who has just started, or is told late, has saved up no budget, and takes
    classes of which nothing is known yet for no shorter than the mean. Beyond N only chance may come: twice
    the root of N, and 2. All are started anew amid it, or none."""
    short = api.JobClass("short", aim * MS, 5_000 * MS, 3.0, api.RetrySafety.SAFE)
    long = api.JobClass("long", 300 * MS, 5_000 * MS, 3.0, api.RetrySafety.SAFE)  # none of it comes
    conf, born = replace(settings(dispatchers=dispatchers), classes=(short, long), tenants=()), 1_000_000
    sent = list[tuple[int, str]]()
    listed = [worker(n, kind="even", started_at=born) for n in range(2)]
    for me in range(dispatchers):
        world, out = started(replace(conf, me=me), me, born + age, *listed), list[World]()
        for key in range(100):
            if restarted and key == 50:
                out.append(world)
                world = started(replace(conf, me=me), me, world.now, *listed)
            world.ask("short", key=key)
            world.advance(20 * MS)
            for number in world.out():
                if world.now - world.asked[number].tries[-1].sent >= work * MS:
                    world.end(number, api.Outcome.OK)
        sent += [(t.sent, t.worker) for w in (*out, world) for a in w.asked.values() for t in a.tries]
    assert len(sent) >= 20
    for at, name in sent:
        share = conf.cold_share + (1 - conf.cold_share) * (at - born) / conf.warm_up
        budget = conf.fall_multiple * share * 4 * conf.fall_window / (work * MS)
        mine = sum(at - conf.fall_window < t <= at and w == name for t, w in sent)
        assert mine <= budget + 2 * budget**0.5 + 2


def test_empty_fleet_that_comes_back_all_at_once() -> None:
    world = World(settings(dispatchers=20))
    world.list_workers()
    for key in range(30):
        world.ask("read", key=key, work_hint=300 * MS)
    world.list_workers(*(worker(n, started_at=world.now) for n in range(6)))
    world.advance(6_000 * MS)
    assert all(a.answered for a in world.asked.values())


def test_time_left_of_zero_short_or_whole_is_legal() -> None:
    world = World(settings(dispatchers=30, tenants=(api.Tenant("a", 1.0),), marks_retry=True))
    world.list_workers(worker(0), worker(1))
    for left in (0, 1, 100 * MS, 750 * MS, 5_000 * MS):
        for again in (False, True):
            world.ask("fee", left=left, tenant="a", is_retry=again, key=1)
    world.advance(6_000 * MS)
    assert all(a.answered for a in world.asked.values())
