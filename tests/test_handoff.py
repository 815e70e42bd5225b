"""Exploration of the handoff and its mutants, and tests of leases, frames, routing, lending and advice."""

from __future__ import annotations

import contextlib
import random
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings, strategies
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


# ---- the two state machines ----


def test_no_reachable_state_violates_an_invariant() -> None:
    report = explore()
    assert report.states > 100_000 and report.joint_states > 10**12
    assert report.resolutions == frozenset(Resolution), (
        "every resolution is reached, or too little was explored"
    )


@pytest.mark.parametrize("name", MUTANTS)
def test_exploration_finds_a_violation_in_each_mutant(name: str) -> None:
    with pytest.raises(InvariantError) as raised:
        explore(MUTANTS[name])
    assert len(raised.value.trace) >= 4  # several steps: a flaw of the protocol rather than of the model


def test_plain_product_has_as_many_states_as_the_exploration_of_one_job() -> None:
    """Explored by itself and as a product of one job, a job has the same number of states."""
    for kind in ((False, 0), (True, 1)):
        state_count, is_complete = explore_product((kind,), 200_000)
        assert is_complete and state_count == explore(kinds=(kind,)).states
    assert explore_product(((False, 0), (True, 1)), 30_000) == (30_000, False)


# ---- leases: whatever the delays, home never declares silence while away holds a valid lease ----


@given(strategies.integers(0, 2**32), strategies.integers(-(10**9), 10**9))
def test_home_declares_silence_only_after_every_lease_has_expired(seed: int, skew: int) -> None:
    rng, length = random.Random(seed), timedelta(seconds=1)
    issued, held = IssuedLease(length, margin=timedelta(0)), HeldLease(length)
    pending_grants: list[tuple[float, int, datetime]] = []  # arrival time, term, time of the request

    def away_time(now: float) -> datetime:
        return START + timedelta(seconds=now, microseconds=skew)

    silences = 0
    for step in range(600):
        now = step * 0.02
        if rng.random() < 0.1:  # a ping arrives; the grant may be lost, duplicated or late
            requested_at = away_time(now - rng.random() * 0.5)
            term = issued.grant(START + timedelta(seconds=now))
            pending_grants += [(now + rng.expovariate(1.5), term, requested_at)] * rng.choice([0, 1, 1, 2])
        for arrival, term, requested_at in [f for f in pending_grants if f[0] <= now]:
            held.renew(term, requested_at)
            pending_grants.remove((arrival, term, requested_at))
        if issued.expire(START + timedelta(seconds=now)):
            silences += 1
            assert not held.is_valid(away_time(now), issued.term - 1)
    assert held.term <= issued.term


# ---- frames ----

FRAMES: list[Frame] = [
    Hello(1, "zagreb", "z0", 2**61, 5),
    Ping(1, 2.5, 3),
    Ack(7),
    Offer(
        1, 2, 1, 9, 5, "page", 1.0, None, "k", False, "i", b"p", "h", None, b"\0\xff", (Stop("s", 4),), (b"",)
    ),
]


@given(strategies.randoms(use_true_random=False))
def test_frames_are_decoded_from_any_pieces(rng: random.Random) -> None:
    data, splitter, decoded_frames = b"".join(map(encoded, FRAMES)), Splitter(4096), []
    while data:
        size = rng.randint(1, 9)
        decoded_frames += splitter.feed(data[:size])
        data = data[size:]
    assert decoded_frames == FRAMES


@given(strategies.binary(max_size=80) | strategies.sampled_from(FRAMES).map(lambda f: encoded(f)[4:]).flatmap(
    lambda data: strategies.tuples(
        strategies.integers(0, len(data) - 1), strategies.binary(min_size=1, max_size=2)
    ).map(
        lambda edit: data[: edit[0]] + edit[1] + data[edit[0] + 1 :]
    )
))  # fmt: skip
def test_any_bytes_decode_to_a_frame_or_raise_a_frame_error(data: bytes) -> None:
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


def site_load(used: float, held: float = 0.0, slots: float = 16.0) -> api.SiteLoad:
    return api.SiteLoad(slots, used, held, SERVICE)


def make_router(price: float = 0.13) -> Router:
    router = Router(CLASSES, Prices(price, enter=1.0, leave=0.8), max_jobs=4)
    for name in ("page", "page", "unlock", "unlock", "publish"):
        router.record_request(name)
    return router


def waiting_job(
    number: int = 1, name: str = "unlock", slots: float = 1.0, since: datetime = START
) -> WaitingJob:
    return WaitingJob(number, name, slots, since, since + timedelta(microseconds=CLASSES[name].give_up))


def ready_peer(credit: float, name: str = "r0") -> Peer:
    return Peer("rijeka", name, ready=True, credit=credit)


@pytest.mark.parametrize(
    ("used", "job", "price", "is_forwarded"),
    [
        (8.0, waiting_job(), 0.13, False),  # home has room
        (20.0, waiting_job(), 0.13, True),
        (20.0, waiting_job(), 5.0, False),  # price too high
        (20.0, waiting_job(since=START - timedelta(seconds=5)), 0.13, False),  # would be late at any site
        (20.0, waiting_job(slots=4.0), 0.13, False),  # more than is lent
    ],
)
def test_job_is_forwarded_only_if_the_gain_is_positive(
    used: float, job: WaitingJob, price: float, is_forwarded: bool
) -> None:
    router, peer = make_router(price), ready_peer(2.0)
    assert bool(router.choose([job], [peer], site_load(used), START)) is is_forwarded


def test_forwarding_has_hysteresis_and_a_rejecting_peer_backs_off_longer_each_time() -> None:
    router, peer, now, forwarding_states = make_router(), ready_peer(100.0), START, []
    for used in (18.0, 15.0, 13.0, 15.0, 18.0):  # of 16 slots; forwarding begins at 16 and ends below 12.8
        for _ in range(20):
            now += 100 * MS
            router.observe(now, site_load(used))
        forwarding_states.append(router.is_forwarding)
    assert forwarding_states == [True, True, True, True, True]
    for _ in range(20):
        now += 100 * MS
        router.observe(now, site_load(12.0))
    assert not router.is_forwarding
    delays = []
    for _ in range(8):
        peer.record_rejected(now)
        assert peer.backoff_until and peer.free_slots(now) == 0
        delays.append(peer.backoff_until - now)
    assert delays == sorted(delays) and delays[0] == 50 * MS and delays[-1] == timedelta(seconds=2)
    peer.record_served()
    assert peer.free_slots(now) == 100


def test_untrusted_peer_gets_no_unsafe_job() -> None:
    router, peer = make_router(), ready_peer(8.0)
    for _ in range(6):
        peer.record_failed()
    jobs = [waiting_job(1, "unlock"), waiting_job(2, "page")]
    chosen = router.choose(jobs, [peer], site_load(30.0), START)
    assert [job.id for job, _ in chosen] == [2]


class RoutingMachine(RuleBasedStateMachine):
    """With any arrivals, credits and times, no peer gets more than it lends and no job is forwarded twice."""

    @initialize(price=strategies.floats(0, 1))
    def start(self, price: float) -> None:
        self.router, self.now, self.number = make_router(price), START, 0
        self.peers = [ready_peer(0.0, "r0"), ready_peer(0.0, "r1")]
        self.waiting: dict[int, WaitingJob] = {}
        self.forwarded: list[tuple[WaitingJob, Peer]] = []
        self.forwarded_ids: set[int] = set()

    @rule(job_class=strategies.sampled_from(sorted(CLASSES)), slots=strategies.sampled_from([1.0, 2.0, 4.0]))
    def request_arrives(self, job_class: str, slots: float) -> None:
        self.number += 1
        self.router.record_request(job_class)
        self.waiting[self.number] = waiting_job(self.number, job_class, slots, self.now)

    @rule(which=strategies.integers(0, 1), credit=strategies.floats(0, 12), ready=strategies.booleans())
    def peer_changes_credit(self, which: int, credit: float, ready: bool) -> None:
        self.peers[which].credit, self.peers[which].ready = credit, ready

    @rule(used=strategies.floats(0, 40), step=strategies.integers(1, 400))
    def router_chooses(self, used: float, step: int) -> None:
        self.now += step * MS
        held = sum(job.slots for job in self.waiting.values())
        for job, peer in self.router.choose(
            self.waiting.values(), self.peers, site_load(used, held), self.now
        ):
            assert job.id not in self.forwarded_ids and peer.ready
            peer.record_sent(job.slots)
            assert peer.slots_out <= peer.credit and peer.jobs_out <= 4
            self.forwarded_ids.add(self.waiting.pop(job.id).id)
            self.forwarded.append((job, peer))

    @precondition(lambda self: self.forwarded)
    @rule(served=strategies.booleans(), n=strategies.integers(0, 99))
    def job_ends(self, served: bool, n: int) -> None:
        job, peer = self.forwarded.pop(n % len(self.forwarded))
        peer.record_ended(job.slots)
        peer.record_served() if served else peer.record_rejected(self.now)

    @invariant()
    def counts_are_consistent(self) -> None:
        for peer in getattr(self, "peers", ()):
            assert peer.jobs_out == sum(p is peer for _, p in self.forwarded)
            assert abs(peer.slots_out - sum(job.slots for job, p in self.forwarded if p is peer)) < 1e-6
            assert 0 < peer.trust <= 1


TestRouting = RoutingMachine.TestCase
TestRouting.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


# ---- lending and advice ----


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 30), strategies.floats(0, 10)), min_size=1, max_size=30
    )
)
def test_lending_gives_priority_to_own_traffic(steps: list[tuple[float, float]]) -> None:
    lender, now = Lender(max_share=0.5, reserved_share=0.1, group=DispatcherGroup(2)), START
    for used, guest_slots in steps:
        now += 100 * MS
        lent = lender.update(now, site_load(max(used, guest_slots)), guest_slots)
        assert 0 <= lent <= 0.5 * 16
        if max(used, guest_slots) >= 16:
            assert lent <= guest_slots  # no further guests


def test_lending_falls_at_once_and_rises_slowly() -> None:
    lender = Lender(0.5, 0.1, DispatcherGroup(1))
    full = lender.update(START, site_load(0.0), 0.0)
    low = lender.update(START + 10 * MS, site_load(13.0), 0.0)
    again = lender.update(START + 20 * MS, site_load(0.0), 0.0)
    assert low < 2 < full and again < low + 0.05 * full


def test_all_spare_slots_go_in_turn_to_the_homes_that_want_them() -> None:
    allocator, turn_counts = SpareAllocator(), dict.fromkeys("abc", 0)
    for _ in range(60):
        credit = allocator.allocate(
            8.0, {"a": HomeDemand(20, 1), "b": HomeDemand(4, 1), "c": HomeDemand(0, 0)}
        )
        (holder,) = [home for home in credit if credit[home] > 2]
        assert credit[holder] == 7.0  # its one guest and all six spare slots
        turn_counts[holder] += 1
    assert turn_counts["c"] == 0 and min(turn_counts["a"], turn_counts["b"]) > 15


def test_advice_ends_when_withdrawn_expired_or_followed_by_a_later_start() -> None:
    outgoing, received, later = OutgoingAdvice(), ReceivedAdvice(), START + 300 * MS
    assert outgoing.record_state("s-1", True, START) and not outgoing.record_state("s-1", True, later)
    stops = outgoing.recent_stops(later)
    assert stops == [("s-1", 300 * MS)] and outgoing.recent_stops(START + ADVICE_REPEAT_PERIOD) == []
    assert received.receive("z0", stops, 5 * MS, later, is_full_list=True) == {"s-1"}
    assert received.stopped_since("s-1") == START - 5 * MS  # home learned of it no later than that
    # Neither a list of another home nor an offer without advice withdraws it.
    assert received.receive("z1", [], MS, later, is_full_list=True) == set()
    assert received.receive("z0", [], MS, later, is_full_list=False) == set()
    assert not received.record_start("s-1", START - timedelta(hours=1)) and received.record_start(
        "s-1", later
    )
    received.receive("z0", stops, MS, later, is_full_list=True)
    assert (
        received.receive("z0", [], MS, later, is_full_list=True) == {"s-1"}
        and received.stopped_since("s-1") is None
    )
    received.receive("z0", stops, MS, later, is_full_list=True)
    assert received.expire(later) == set() and received.expire(later + ADVICE_LIFETIME) == {"s-1"}
