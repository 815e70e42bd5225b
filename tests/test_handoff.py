"""The handoff explored exhaustively, its mutants, and the pure parts: leases, routes, lending, advice."""

from __future__ import annotations

import contextlib
import random
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from rookwood import interface as api
from rookwood.gateway.advice import ADVICE_LIFETIME, ADVICE_REPEAT_PERIOD, OutgoingAdvice, ReceivedAdvice
from rookwood.gateway.explore import MUTANTS, InvariantError, explore, explore_product
from rookwood.gateway.frames import (
    Ack,
    Frame,
    FrameError,
    Hello,
    Offer,
    Ping,
    Splitter,
    Stop,
    decoded,
    encoded,
)
from rookwood.gateway.handoff import Resolution
from rookwood.gateway.lease import HeldLease, IssuedLease
from rookwood.gateway.lending import HomeDemand, Lender, SpareAllocator
from rookwood.gateway.routing import Peer, Prices, Router, WaitingJob
from rookwood.net.dispatcher_group import DispatcherGroup

START = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)


# ---- the two machines ----


def test_no_reachable_state_breaks_a_rule() -> None:
    report = explore()
    assert report.states > 100_000 and report.joint_states > 10**12
    assert report.resolutions == frozenset(Resolution), (
        "each end is reached somewhere, or little was explored"
    )


@pytest.mark.parametrize("name", MUTANTS)
def test_broken_variant_is_caught(name: str) -> None:
    with pytest.raises(InvariantError) as caught:
        explore(MUTANTS[name])
    assert len(caught.value.trace) >= 4  # by a story of several steps, not by a slip of the model


def test_plain_product_agrees_as_far_as_it_goes() -> None:
    """One job explored by itself and as a product of one: the same number of states."""
    for kind in ((False, 0), (True, 1)):
        seen, whole = explore_product((kind,), 200_000)
        assert whole and seen == explore(kinds=(kind,)).states
    assert explore_product(((False, 0), (True, 1)), 30_000) == (30_000, False)


# ---- leases: whatever the delays, home never acts while the lease runs over there ----


@given(some.integers(0, 2**32), some.integers(-(10**9), 10**9))
def test_silence_comes_after_every_lease_has_ended(seed: int, skew: int) -> None:
    rng, length = random.Random(seed), timedelta(seconds=1)
    granted, held = IssuedLease(length, margin=timedelta(0)), HeldLease(length)
    flying: list[tuple[float, int, datetime]] = []  # when it arrives, term, what was asked

    def away(now: float) -> datetime:
        return START + timedelta(seconds=now, microseconds=skew)

    silences = 0
    for step in range(600):
        now = step * 0.02
        if rng.random() < 0.1:  # a ping gets through and is answered; the answer may take long
            asked = away(now - rng.random() * 0.5)
            term = granted.grant(START + timedelta(seconds=now))
            flying += [(now + rng.expovariate(1.5), term, asked)] * rng.choice([0, 1, 1, 2])
        for arrival, term, asked in [f for f in flying if f[0] <= now]:
            held.renew(term, asked)
            flying.remove((arrival, term, asked))
        if granted.expire(START + timedelta(seconds=now)):
            silences += 1
            assert not held.is_valid(away(now), granted.term - 1)
    assert held.term <= granted.term


# ---- frames ----

FRAMES: list[Frame] = [
    Hello(1, "zagreb", "z0", 2**61, 5),
    Ping(1, 2.5, 3),
    Ack(7),
    Offer(
        1, 2, 1, 9, 5, "page", 1.0, None, "k", False, "i", b"p", "h", None, b"\0\xff", (Stop("s", 4),), (b"",)
    ),
]


@given(some.randoms(use_true_random=False))
def test_frames_come_whole_from_any_pieces(rng: random.Random) -> None:
    data, splitter, found = b"".join(map(encoded, FRAMES)), Splitter(4096), []
    while data:
        cut = rng.randint(1, 9)
        found += splitter.feed(data[:cut])
        data = data[cut:]
    assert found == FRAMES


@given(some.binary(max_size=80) | some.sampled_from(FRAMES).map(lambda f: encoded(f)[4:]).flatmap(
    lambda data: some.tuples(some.integers(0, len(data) - 1), some.binary(min_size=1, max_size=2)).map(
        lambda edit: data[: edit[0]] + edit[1] + data[edit[0] + 1 :]
    )
))  # fmt: skip
def test_any_bytes_are_a_frame_or_an_error(data: bytes) -> None:
    with contextlib.suppress(FrameError):
        decoded(data)
    splitter = Splitter(64)
    with pytest.raises(FrameError):
        splitter.feed(b"\xff\xff\xff\xff" + data)


# ---- routing ----

CLASSES = {
    "page": api.JobClass("page", 500_000, 5_000_000, 3.0, api.RetrySafety.SAFE, stretch=2.0),
    "unlock": api.JobClass("unlock", 1_000_000, 10_000_000, 2.0, api.RetrySafety.UNSAFE, stretch=2.0),
    "publish": api.JobClass("publish", 1_200_000, 20_000_000, 10.0, api.RetrySafety.UNSAFE, stretch=2.0),
}
SERVICE = {"page": 0.45, "unlock": 0.9, "publish": 1.8}


def pressure(busy: float, held: float = 0.0, slots: float = 16.0) -> api.SiteLoad:
    return api.SiteLoad(slots, busy, held, SERVICE)


def router(price: float = 0.13) -> Router:
    made = Router(CLASSES, Prices(price, enter=1.0, leave=0.8), max_jobs=4)
    for name in ("page", "page", "unlock", "unlock", "publish"):
        made.record_request(name)
    return made


def waiting(number: int = 1, name: str = "unlock", slots: float = 1.0, since: datetime = START) -> WaitingJob:
    return WaitingJob(number, name, slots, since, since + timedelta(microseconds=CLASSES[name].give_up))


def ready(credit: float, name: str = "r0") -> Peer:
    return Peer("rijeka", name, ready=True, credit=credit)


@pytest.mark.parametrize(
    ("busy", "job", "price", "crosses"),
    [
        (8.0, waiting(), 0.13, False),  # home has room
        (20.0, waiting(), 0.13, True),
        (20.0, waiting(), 5.0, False),  # too dear
        (20.0, waiting(since=START - timedelta(seconds=5)), 0.13, False),  # too late to be in time anywhere
        (20.0, waiting(slots=4.0), 0.13, False),  # more than is lent
    ],
)
def test_job_crosses_only_where_it_gains(busy: float, job: WaitingJob, price: float, crosses: bool) -> None:
    made, peer = router(price), ready(2.0)
    assert bool(made.choose([job], [peer], pressure(busy), START)) is crosses


def test_crossing_has_hysteresis_and_a_peer_that_refuses_is_left_alone_for_longer_each_time() -> None:
    made, peer, now, seen = router(), ready(100.0), START, []
    for busy in (18.0, 15.0, 13.0, 15.0, 18.0):  # of 16 slots; begins over 16, ends under 12.8
        for _ in range(20):
            now += 100 * MS
            made.observe(now, pressure(busy))
        seen.append(made.is_forwarding)
    assert seen == [True, True, True, True, True]
    for _ in range(20):
        now += 100 * MS
        made.observe(now, pressure(12.0))
    assert not made.is_forwarding
    waits = []
    for _ in range(8):
        peer.record_rejected(now)
        assert peer.backoff_until and peer.free_slots(now) == 0
        waits.append(peer.backoff_until - now)
    assert waits == sorted(waits) and waits[0] == 50 * MS and waits[-1] == timedelta(seconds=2)
    peer.record_served()
    assert peer.free_slots(now) == 100


def test_untrusted_link_gets_no_unsafe_job() -> None:
    made, peer = router(), ready(8.0)
    for _ in range(6):
        peer.record_failed()
    jobs = [waiting(1, "unlock"), waiting(2, "page")]
    chosen = made.choose(jobs, [peer], pressure(30.0), START)
    assert [job.id for job, _ in chosen] == [2]


class Routes(RuleBasedStateMachine):
    """However jobs come, peers lend and time goes: none gets more than it lends, none crosses twice."""

    @initialize(price=some.floats(0, 1))
    def start(self, price: float) -> None:
        self.made, self.now, self.number = router(price), START, 0
        self.peers = [ready(0.0, "r0"), ready(0.0, "r1")]
        self.held: dict[int, WaitingJob] = {}
        self.out: list[tuple[WaitingJob, Peer]] = []
        self.crossed: set[int] = set()

    @rule(job_class=some.sampled_from(sorted(CLASSES)), slots=some.sampled_from([1.0, 2.0, 4.0]))
    def comes(self, job_class: str, slots: float) -> None:
        self.number += 1
        self.made.record_request(job_class)
        self.held[self.number] = waiting(self.number, job_class, slots, self.now)

    @rule(which=some.integers(0, 1), credit=some.floats(0, 12), ready=some.booleans())
    def lends(self, which: int, credit: float, ready: bool) -> None:
        self.peers[which].credit, self.peers[which].ready = credit, ready

    @rule(busy=some.floats(0, 40), step=some.integers(1, 400))
    def matches(self, busy: float, step: int) -> None:
        self.now += step * MS
        held = sum(job.slots for job in self.held.values())
        for job, peer in self.made.choose(self.held.values(), self.peers, pressure(busy, held), self.now):
            assert job.id not in self.crossed and peer.ready
            peer.record_sent(job.slots)
            assert peer.slots_out <= peer.credit and peer.jobs_out <= 4
            self.crossed.add(self.held.pop(job.id).id)
            self.out.append((job, peer))

    @precondition(lambda self: self.out)
    @rule(served=some.booleans(), n=some.integers(0, 99))
    def ends(self, served: bool, n: int) -> None:
        job, peer = self.out.pop(n % len(self.out))
        peer.record_ended(job.slots)
        peer.record_served() if served else peer.record_rejected(self.now)

    @invariant()
    def counted(self) -> None:
        for peer in getattr(self, "peers", ()):
            assert peer.jobs_out == sum(p is peer for _, p in self.out)
            assert abs(peer.slots_out - sum(job.slots for job, p in self.out if p is peer)) < 1e-6
            assert 0 < peer.trust <= 1


TestRoutes = Routes.TestCase
TestRoutes.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


# ---- lending and advice ----


@given(some.lists(some.tuples(some.floats(0, 30), some.floats(0, 10)), min_size=1, max_size=30))
def test_lending_keeps_own_traffic_first(steps: list[tuple[float, float]]) -> None:
    lender, now = Lender(max_share=0.5, reserved_share=0.1, group=DispatcherGroup(2)), START
    for busy, guests in steps:
        now += 100 * MS
        lent = lender.update(now, pressure(max(busy, guests)), guests)
        assert 0 <= lent <= 0.5 * 16
        if max(busy, guests) >= 16:
            assert lent <= guests  # no more are let in


def test_lending_falls_at_once_and_rises_slowly() -> None:
    lender = Lender(0.5, 0.1, DispatcherGroup(1))
    full = lender.update(START, pressure(0.0), 0.0)
    low = lender.update(START + 10 * MS, pressure(13.0), 0.0)
    again = lender.update(START + 20 * MS, pressure(0.0), 0.0)
    assert low < 2 < full and again < low + 0.05 * full


def test_spare_goes_whole_and_in_turns_to_those_who_want() -> None:
    turns, had = SpareAllocator(), dict.fromkeys("abc", 0)
    for _ in range(60):
        credit = turns.allocate(8.0, {"a": HomeDemand(20, 1), "b": HomeDemand(4, 1), "c": HomeDemand(0, 0)})
        (holder,) = [who for who in credit if credit[who] > 2]
        assert credit[holder] == 7.0  # its one guest and all six that are spare
        had[holder] += 1
    assert had["c"] == 0 and min(had["a"], had["b"]) > 15


def test_advice_stops_an_endpoint_sooner_and_ends_when_taken_back_aged_or_overtaken() -> None:
    near, far, later = OutgoingAdvice(), ReceivedAdvice(), START + 300 * MS
    assert near.record_state("s-1", True, START) and not near.record_state("s-1", True, later)
    stops = near.recent_stops(later)
    assert stops == [("s-1", 300 * MS)] and near.recent_stops(START + ADVICE_REPEAT_PERIOD) == []
    assert far.receive("z0", stops, 5 * MS, later, is_full_list=True) == {"s-1"}
    assert far.stopped_since("s-1") == START - 5 * MS  # home learned of it no later than that
    assert far.receive("z1", [], MS, later, is_full_list=True) == set()  # another home knows nothing of it
    assert (
        far.receive("z0", [], MS, later, is_full_list=False) == set()
    )  # nor does a job without advice take it back
    assert not far.record_start("s-1", START - timedelta(hours=1)) and far.record_start("s-1", later)
    far.receive("z0", stops, MS, later, is_full_list=True)
    assert far.receive("z0", [], MS, later, is_full_list=True) == {"s-1"} and far.stopped_since("s-1") is None
    far.receive("z0", stops, MS, later, is_full_list=True)
    assert far.expire(later) == set() and far.expire(later + ADVICE_LIFETIME) == {"s-1"}
