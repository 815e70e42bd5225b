"""The rules that a policy must keep: under random legal events, and in single cases of each rule."""

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
ATTEMPT_OUTCOMES = [e for e in api.Outcome if e is not api.Outcome.IGNORED]


def play_random_events(world: World, data: st.DataObject) -> None:
    """Feed random legal events. Each action is checked, and in the end all requests must be answered."""
    world.list_workers(
        *(worker(n) for n in range(data.draw(st.integers(0, 5)))), kind=api.WorkerListKind.CACHED
    )
    # The random sizes, hints and responses contradict each other: rule 4 has tests of its own.
    world.checks_cold_workers = False
    tenants = [None, *(tenant.name for tenant in world.conf.tenants), "unlisted"]
    events = ["request", "request", "end", "end", "start", "list", "abandon", "hint", "wait"]
    for _ in range(data.draw(st.integers(5, 60))):
        match data.draw(st.sampled_from(events)):
            case "request":
                cls = data.draw(st.sampled_from(world.conf.classes))
                world.send_request(
                    cls.name,
                    time_left=data.draw(st.sampled_from([0, 1, 5 * MS, cls.give_up // 3, cls.give_up])),
                    slots=data.draw(st.sampled_from([0.0, 1.0, 2.0, 4.0, 8.0, 1e6])),
                    memory=data.draw(st.sampled_from([None, 0.0, 0.5, 3.0])),
                    work_hint=data.draw(st.sampled_from([None, 0, 1, 200 * MS, 10**9])),
                    key=data.draw(st.sampled_from([None, 0, 1, 2, 2**53 - 1])),
                    tenant=data.draw(st.sampled_from(tenants)),
                    is_retry=data.draw(st.booleans()),
                )
            case "end" if world.open_requests():
                number = data.draw(st.sampled_from(world.open_requests()))
                world.end_attempt(number, data.draw(st.sampled_from(ATTEMPT_OUTCOMES)), load=data.draw(LOAD))
            case "start" if world.open_requests():
                world.report_start(data.draw(st.sampled_from(world.open_requests())))
            case "hint" if world.conf.peers and world.listed:
                kind = data.draw(st.sampled_from(api.HintKind))
                uid = data.draw(st.sampled_from(sorted(world.listed)))
                hint = api.Hint(uid, kind, data.draw(st.sampled_from([0.0, 1.0, 255.0])), 0.1)
                world.feed(api.HintsReceived(data.draw(st.integers(0, world.conf.dispatchers - 1)), (hint,)))
            case "list":
                info = worker(
                    data.draw(st.integers(0, 5)),
                    zone=data.draw(st.sampled_from(["z0", "z1"])),
                    health=data.draw(st.sampled_from(api.Health)),
                    size=data.draw(st.sampled_from([0.0, 0.5, 4.0])),
                    started_at=data.draw(st.sampled_from([None, 0, world.now - 100 * MS, world.now])),
                )
                kinds = [api.WorkerListKind.CHANGES, api.WorkerListKind.FULL]
                world.list_workers(info, kind=data.draw(st.sampled_from(kinds)))
            case "abandon" if world.requests:
                number = data.draw(st.sampled_from(sorted(world.requests)))
                world.requests[number].answered = True
                world.feed(api.RequestAbandoned(number))
            case _:
                world.advance(data.draw(st.sampled_from([1, 20 * MS, 300 * MS, 2_500 * MS])))
    world.advance(30_000 * MS)
    assert all(r.answered for r in world.requests.values())


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
    play_random_events(World(conf), data)


def test_every_request_is_answered_when_no_worker_is_listed() -> None:
    world = World(settings())
    world.list_workers()
    number = world.send_request("fee")
    world.advance(6_000 * MS)
    assert world.requests[number].answered


def test_timed_out_unsafe_request_is_failed_and_not_rejected() -> None:
    world = World(settings())
    world.list_workers(worker(0))
    number = world.send_request("fee")
    world.advance(6_000 * MS)
    assert api.Fail(number) in [a for _, a in world.actions]


def test_unsafe_request_is_retried_after_an_outcome_that_proves_it_never_ran() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(2))
    number = world.send_request("fee")
    world.end_attempt(number, api.Outcome.CONNECT_FAILED)
    first, second = world.requests[number].attempts
    assert first.worker != second.worker


def test_unsafe_request_is_not_sent_again_after_an_error() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(2))
    number = world.send_request("fee")
    world.end_attempt(number, api.Outcome.FAILED)
    assert len(world.requests[number].attempts) == 1
    assert world.requests[number].answered


def test_keyed_request_stays_in_its_cell_after_an_error() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(1), worker(4), worker(5))
    for _ in range(6):
        number = world.send_request("vent", key=3)
        world.end_attempt(number, api.Outcome.FAILED)
        if len(world.requests[number].attempts) > 1:
            world.end_attempt(number, api.Outcome.OK)


def test_nothing_is_sent_to_a_draining_worker() -> None:
    world = World(settings())
    world.list_workers(worker(0), worker(1))
    world.list_workers(worker(0, health=api.Health.DRAINING), kind=api.WorkerListKind.CHANGES)
    for key in range(8):
        world.send_request("fee", key=key)
    sent = {a.worker for _, a in world.actions if isinstance(a, api.Send)}
    assert sent == {worker(1).id}


def test_retries_stay_within_their_budget() -> None:
    """Workers that fail every attempt get little more than one attempt for each request."""
    world = World(settings(max_attempts=6))
    world.list_workers(*(worker(n) for n in range(4)))
    for key in range(200):
        world.send_request("read", key=key)
        for number in list(world.open_requests()):
            world.end_attempt(number, api.Outcome.FAILED)
        world.advance(100 * MS)
    attempts = sum(len(r.attempts) for r in world.requests.values())
    assert attempts <= 200 * 1.1 + 12


def test_late_outcome_of_an_ended_request_has_no_effect() -> None:
    world = World(settings())
    world.list_workers(worker(0))
    number = world.send_request("fee")
    world.requests[number].answered = True
    world.feed(api.RequestAbandoned(number))
    world.end_attempt(number, api.Outcome.FAILED)
    assert len(world.requests[number].attempts) == 1


def test_cold_worker_is_not_overloaded() -> None:
    """Rule 4: the world counts every send to a worker that has just started."""
    world = World(settings(dispatchers=2))
    world.list_workers(worker(0, started_at=world.now))
    for key in range(300):
        world.send_request("read", key=key, work_hint=300 * MS)
        world.advance(10 * MS)
        for number in world.open_requests()[:2]:
            if world.now - world.requests[number].attempts[0].sent_at >= 300 * MS:
                world.end_attempt(number, api.Outcome.OK, load={"x0": 2.0, "backlog": 0.0})
    assert 3 < len(world.sends_to_cold_workers[worker(0).id]) < 100


def test_invalid_calls_and_settings_raise() -> None:
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
        ({"cold_share": 1.5}, "cold_share is not between 0 and 1"),
        ({"classes": (api.JobClass("a", -1, 1, 1.0, api.RetrySafety.SAFE),)}, "a.aim is negative"),
        ({"classes": (api.JobClass("a", 1, 1, 1.0, api.RetrySafety.SAFE),) * 2}, "one name"),
    ):
        with pytest.raises(ValueError, match=match):
            api.Settings(**{"classes": (), **change})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="dispatchers"):
        Policy(settings(dispatchers=0), 1)


def test_many_dispatchers_together_overload_no_cold_worker() -> None:
    """The share of a dispatcher in the budget is below one job.

    When all 60 dispatchers rounded it up, they sent 60 jobs at once; when they rounded it down, none.
    """
    sent: list[int] = []
    for seed in range(60):
        world = World(settings(dispatchers=60, me=seed), seed)
        world.policy.slot_time = 300.0 * MS  # learned earlier
        world.checks_cold_workers = False  # one dispatcher's share is below one job: checked in sum below
        world.list_workers(worker(0, started_at=world.now))
        for key in range(300):
            number = world.send_request("read", key=key, work_hint=300 * MS)
            if world.requests[number].attempts:
                sent.append(world.now)
                world.end_attempt(number, api.Outcome.OK)
            world.advance(25 * MS)
    window, slots, conf = 2_000 * MS, 4.0, settings()
    for at in sent:
        share = conf.cold_share + (1 - conf.cold_share) * (at - 1_000_000) / conf.warm_up
        work = 300 * MS * sum(at - window < t <= at for t in sent)
        assert work <= conf.fall_multiple * share * slots * window
    assert len(sent) > 60


def start_dispatcher(conf: api.Settings, seed: int, now: int, *listed: api.Worker) -> World:
    world = World(conf, seed)
    world.checks_cold_workers = False  # checked in sum over all dispatchers
    world.advance(now - world.now)
    world.list_workers(*listed)
    return world


@pytest.mark.parametrize("age", [0, 2_000 * MS, 4_000 * MS])
@pytest.mark.parametrize("dispatchers", [3, 12, 30])
@pytest.mark.parametrize(("aim", "work"), [(300, 300), (80, 300), (10, 100)])
@pytest.mark.parametrize("restarted", [False, True])
def test_dispatchers_without_history_overload_no_cold_worker(
    age: int, dispatchers: int, aim: int, work: int, restarted: bool
) -> None:
    """Without hints and probes, a dispatcher that has just started or got its list late has saved no budget.

    It takes a class without a response so far to be no shorter than the mean. By chance, a budget of N jobs
    may be exceeded by 2 * sqrt(N) + 2. All dispatchers are restarted in the middle, or none.
    """
    short = api.JobClass("short", aim * MS, 5_000 * MS, 3.0, api.RetrySafety.SAFE)
    # No request of this class is sent.
    long = api.JobClass("long", 300 * MS, 5_000 * MS, 3.0, api.RetrySafety.SAFE)
    conf = replace(settings(dispatchers=dispatchers), classes=(short, long), tenants=())
    started_at = 1_000_000
    sent = list[tuple[int, str]]()
    listed = [worker(n, kind="even", started_at=started_at) for n in range(2)]
    for me in range(dispatchers):
        world, earlier = start_dispatcher(replace(conf, me=me), me, started_at + age, *listed), list[World]()
        for key in range(100):
            if restarted and key == 50:
                earlier.append(world)
                world = start_dispatcher(replace(conf, me=me), me, world.now, *listed)
            world.send_request("short", key=key)
            world.advance(20 * MS)
            for number in world.open_requests():
                if world.now - world.requests[number].attempts[-1].sent_at >= work * MS:
                    world.end_attempt(number, api.Outcome.OK)
        sent += [
            (t.sent_at, t.worker) for w in (*earlier, world) for r in w.requests.values() for t in r.attempts
        ]
    assert len(sent) >= 20
    for at, name in sent:
        share = conf.cold_share + (1 - conf.cold_share) * (at - started_at) / conf.warm_up
        budget = conf.fall_multiple * share * 4 * conf.fall_window / (work * MS)
        recent = sum(at - conf.fall_window < t <= at and w == name for t, w in sent)
        assert recent <= budget + 2 * budget**0.5 + 2


def test_requests_are_answered_when_an_empty_list_is_followed_by_cold_workers() -> None:
    world = World(settings(dispatchers=20))
    world.list_workers()
    for key in range(30):
        world.send_request("read", key=key, work_hint=300 * MS)
    world.list_workers(*(worker(n, started_at=world.now) for n in range(6)))
    world.advance(6_000 * MS)
    assert all(r.answered for r in world.requests.values())


def test_requests_of_any_time_left_are_answered() -> None:
    world = World(settings(dispatchers=30, tenants=(api.Tenant("a", 1.0),), marks_retry=True))
    world.list_workers(worker(0), worker(1))
    for time_left in (0, 1, 100 * MS, 750 * MS, 5_000 * MS):
        for is_retry in (False, True):
            world.send_request("fee", time_left=time_left, tenant="a", is_retry=is_retry, key=1)
    world.advance(6_000 * MS)
    assert all(r.answered for r in world.requests.values())
