"""Changing lists of members, rolls, failing endpoints and the watchdog; also what fails without the rules."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
import subprocess
import sys
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

import pytest

from rookwood.duties import lease
from rookwood.duties.address import Announcer
from rookwood.duties.board import LeaseManager
from rookwood.duties.change import MemberReport, Roster, RosterChange
from rookwood.duties.lease import Rule, Token, Vote, Voter, VoteRequest
from rookwood.duties.roll import Roller
from rookwood.duties.trial import EXPIRY, FAILING_AFTER, EndpointTrial
from rookwood.duties.watchdog import Watchdog
from rookwood.gateway.frames import Announce, Announced, Splitter, encoded
from rookwood.net.clock import Clock
from rookwood.net.destinations import Address

from .town import DUTY, LEASE, SiteSimulation

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
MEMBERS_1, MEMBERS_2, MEMBERS_3 = "abc", "abcd", "abcde"


# ---- lists of members ----


def run_two_lists_at_once(simulation: SiteSimulation) -> None:
    """a and b keep list 1 and are cut off from the others, which move on to list 3 as far as allowed."""
    simulation.start_all(1, MEMBERS_1)
    simulation.run(4 * LEASE)
    simulation.blocked = {(x, y) for x in "ab" for y in "cde"} | {(y, x) for x in "ab" for y in "cde"}
    simulation.set_target("c", 2, MEMBERS_2)
    simulation.start("d", 2, MEMBERS_2)
    simulation.run(4 * LEASE)
    simulation.start("e", 3, MEMBERS_3)
    for name in "cd":
        if simulation.sites[name].change.roster.number == 2:
            simulation.set_target(name, 3, MEMBERS_3)
    simulation.run(8 * LEASE)


def test_two_lists_that_differ_by_two_members_never_have_two_holders() -> None:
    simulation = SiteSimulation()
    run_two_lists_at_once(simulation)
    assert simulation.max_holders == 1
    assert simulation.sites["c"].change.roster.number == 2, "no majority of list 2 has adopted it yet"
    simulation.blocked.clear()
    for name in "ab":
        simulation.set_target(name, 2, MEMBERS_2)
    simulation.run(2 * LEASE)
    for name in "ab":
        simulation.set_target(name, 3, MEMBERS_3)
    simulation.held_ms.clear()
    simulation.run(10 * LEASE)
    assert {s.change.roster.number for s in simulation.sites.values()} == {3}
    assert simulation.max_holders == 1 and sum(simulation.held_ms.values()) > 6 * LEASE


def test_adopting_lists_without_waiting_makes_two_holders(monkeypatch: pytest.MonkeyPatch) -> None:
    def adopt_at_once(self: RosterChange, own_floor: int) -> Roster | None:
        if self.target == self.roster:
            return None
        self.roster = self.target
        return self.roster

    monkeypatch.setattr(RosterChange, "adopt_target", adopt_at_once)
    monkeypatch.setattr(RosterChange, "try_join", lambda self: setattr(self, "has_joined", True))
    simulation = SiteSimulation()
    run_two_lists_at_once(simulation)
    assert simulation.max_holders == 2


def run_stale_requester(simulation: SiteSimulation) -> None:
    """One member keeps list 1 and is connected only to a second, which has moved on to a later list.

    A third member and two new ones form a majority of list 3.
    """
    simulation.start_all(1, MEMBERS_1)
    simulation.run(4 * LEASE)
    third = next(iter(simulation.held_ms))
    stale, second = (name for name in MEMBERS_1 if name != third)
    apart = [(stale, name) for name in third + "de"]
    simulation.blocked = {pair for x, y in apart for pair in ((x, y), (y, x))}
    for name in (second, third):
        simulation.set_target(name, 2, MEMBERS_2)
    simulation.start("d", 2, MEMBERS_2)
    simulation.run(4 * LEASE)
    simulation.start("e", 3, MEMBERS_3)
    for name in (third, "d"):
        simulation.set_target(name, 3, MEMBERS_3)
    simulation.run(4 * LEASE)
    assert {simulation.sites[n].change.roster.number for n in third + "de"} == {3}
    simulation.blocked |= {pair for y in third + "de" for pair in ((second, y), (y, second))}
    simulation.run(6 * LEASE)


def test_voter_grants_nothing_by_an_older_list(monkeypatch: pytest.MonkeyPatch) -> None:
    simulation = SiteSimulation()
    run_stale_requester(simulation)
    assert simulation.max_holders == 1

    def ignores_list(
        voter: Voter, me: str, request: VoteRequest, now: datetime, rule: Rule
    ) -> tuple[Voter, Vote | None]:
        return answer_request(
            voter, me, VoteRequest(request.token, request.number, rule.list_number), now, rule
        )

    answer_request = lease.answer_request
    monkeypatch.setattr(lease, "answer_request", ignores_list)
    simulation = SiteSimulation()
    run_stale_requester(simulation)
    assert simulation.max_holders == 2


def test_holder_keeps_its_lease_while_the_others_adopt_the_next_list() -> None:
    simulation = SiteSimulation()
    simulation.start_all(1, MEMBERS_1)
    simulation.run(4 * LEASE)
    holder = next(iter(simulation.held_ms))
    simulation.held_ms.clear()
    for name in [n for n in MEMBERS_1 if n != holder] + [holder]:
        simulation.set_target(name, 2, MEMBERS_2)
        simulation.run(LEASE // 4)
    simulation.start("d", 2, MEMBERS_2)
    simulation.run(4 * LEASE)
    assert set(simulation.held_ms) == {holder} and simulation.held_ms[holder] >= 4 * LEASE


@pytest.mark.parametrize(
    ("number", "members", "expected"),
    [
        (3, MEMBERS_2, "does not follow"),
        (2, "abd", "differs from 1 by 2"),
        (1, MEMBERS_2, "does not follow"),
        (2, MEMBERS_1, ""),
    ],
)
def test_list_that_cannot_follow_is_rejected_with_a_reason(number: int, members: str, expected: str) -> None:
    why = RosterChange("a", Roster(1, frozenset(MEMBERS_1))).rejection_reason(
        Roster(number, frozenset(members))
    )
    assert expected in why and bool(expected) == bool(why)


def test_started_member_waits_for_others_of_its_list() -> None:
    change = RosterChange("c", Roster(3, frozenset(MEMBERS_3)))
    change.record_report("d", MemberReport(3, -1))
    assert not change.try_join()
    change.record_report("e", MemberReport(3, -1))
    assert not change.try_join(), (
        "three could be a majority of list 3 that shares no member with one of list 1"
    )
    change.record_report("a", MemberReport(2, 2))
    assert change.try_join()


@pytest.mark.parametrize("seed", range(8))
def test_members_that_lost_the_race_for_a_duty_learn_the_holder_and_stop_requesting(seed: int) -> None:
    simulation = SiteSimulation(seed, delay=5)
    for name in MEMBERS_1:
        simulation.start(name, 1, MEMBERS_1)
        simulation.run(simulation.rng.choice([0, 10, 20, 30]))
    simulation.run(6 * LEASE)
    terms = {name: site.leases.term(DUTY) for name, site in simulation.sites.items()}
    simulation.run(10 * LEASE)
    assert {name: site.leases.term(DUTY) for name, site in simulation.sites.items()} == terms
    assert len({site.leases.holder(DUTY, simulation.clock) for site in simulation.sites.values()}) == 1


@pytest.mark.parametrize("seed", [0, 5, 9, 24, 39])  # two members request at once; the third is down
def test_split_votes_still_lead_to_a_holder(seed: int) -> None:
    simulation = SiteSimulation(seed, delay=40)
    simulation.start_all(1, MEMBERS_1)
    simulation.run(6 * LEASE)
    [holder] = [name for name, site in simulation.sites.items() if site.leases.token(DUTY, simulation.clock)]
    del simulation.sites[holder]
    simulation.held_ms.clear()
    simulation.run(17 * LEASE // 10)
    assert simulation.held_ms


@pytest.mark.parametrize("seed", range(3))
def test_lost_messages_do_not_end_a_lease(seed: int) -> None:
    simulation = SiteSimulation(seed, delay=20, loss=0.25)
    simulation.start_all(1, MEMBERS_3)
    simulation.run(10 * LEASE)
    simulation.held_ms.clear()
    simulation.run(150 * LEASE)
    assert len(simulation.held_ms) == 1 and sum(simulation.held_ms.values()) >= 149 * LEASE


@pytest.mark.parametrize("seed", range(4))
def test_released_duty_is_acquired_with_the_first_request(seed: int) -> None:
    simulation = SiteSimulation(seed, delay=10)
    simulation.start_all(1, MEMBERS_3)
    simulation.run(6 * LEASE)
    [holder] = [name for name, site in simulation.sites.items() if site.leases.token(DUTY, simulation.clock)]
    simulation.send_all(holder, simulation.sites[holder].leases.begin_shutdown(simulation.clock))
    simulation.held_ms.clear()
    simulation.run(LEASE // 5)
    assert simulation.held_ms, "a request must have a higher term than the requester has voted for"


@pytest.mark.parametrize("seed", [4, 7, 15, 32, 107])
def test_member_that_requests_beside_the_new_holder_yields_to_it(seed: int) -> None:
    """The former holder has restarted and is silent, so the new holder needs its rival's vote."""
    simulation = SiteSimulation(seed)
    simulation.start_all(1, MEMBERS_1)
    simulation.run(4 * LEASE)
    [former_holder] = [
        name for name, site in simulation.sites.items() if site.leases.token(DUTY, simulation.clock)
    ]
    simulation.send_all(
        former_holder, simulation.sites[former_holder].leases.begin_shutdown(simulation.clock)
    )
    simulation.run(60 + 10 * (seed % 12))
    simulation.start(former_holder, 1, MEMBERS_1)
    simulation.held_ms.clear()
    simulation.run(8 * LEASE)
    assert len(simulation.held_ms) == 1 and simulation.max_holders == 1
    # The term reaches 13 to 18 if it does not yield.
    assert max(site.leases.term(DUTY) for site in simulation.sites.values()) <= 6


# ---- rolls ----


def finishes_roll(simulation: SiteSimulation, names: str) -> bool:
    assert simulation.sites[names[0]].roller.begin(names) == ""
    for _ in range(200):
        simulation.run(LEASE)
        if not simulation.draining_since and not any(
            site.roller.pending for site in simulation.sites.values()
        ):
            return True
    return False


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [1, 2])
def test_roll_restarts_all_and_takes_down_at_most_as_many_as_its_places(seed: int, count: int) -> None:
    simulation = SiteSimulation(seed, delay=60, loss=0.05, place_count=count, drain_ms=200 * (seed % 2))
    simulation.start_all(1, MEMBERS_3)
    simulation.run(4 * LEASE)
    incarnations = {name: site.roller.incarnation for name, site in simulation.sites.items()}
    assert finishes_roll(simulation, MEMBERS_3)
    assert all(
        simulation.sites[name].roller.incarnation != incarnation for name, incarnation in incarnations.items()
    )
    assert 1 <= simulation.max_down <= count and simulation.max_holders == 1


def test_roll_continues_when_its_starter_crashes_at_once() -> None:
    simulation = SiteSimulation(3, place_count=1)
    simulation.start_all(1, MEMBERS_3)
    simulation.run(4 * LEASE)
    former_holder = simulation.sites["a"]
    assert former_holder.roller.begin(MEMBERS_3) == ""
    simulation.send("a", None, former_holder.report(0, True, simulation.clock))  # its last report
    simulation.restart_at["a"] = simulation.now + 30 * LEASE  # down for a long time
    simulation.run(100 * LEASE)
    assert not any(site.roller.is_due for site in simulation.sites.values()) and simulation.max_down == 1
    assert all(site.roller.roll.number == 1 for site in simulation.sites.values())


def takes_down_too_many(monkeypatch: pytest.MonkeyPatch, attribute: str, replacement: object) -> bool:
    for seed in range(30):
        with monkeypatch.context() as patched:
            patched.setattr(Roller, attribute, replacement)
            simulation = SiteSimulation(seed, delay=60, loss=0.05, place_count=2, drain_ms=0)
            simulation.start_all(1, MEMBERS_3)
            simulation.run(4 * LEASE)
            finishes_roll(simulation, MEMBERS_3)
            if simulation.max_down > 2:
                return True
    return False


def test_roll_that_ignores_place_numbers_takes_down_too_many(monkeypatch: pytest.MonkeyPatch) -> None:
    def ignores_place_number(self: Roller, members: Iterable[str], now: datetime) -> bool:
        names = set(members)
        return (
            self.is_due
            and not self.has_begun
            and bool(self._held_place)
            and len(self.waiting_for(names, now)) < 3
        )

    assert takes_down_too_many(monkeypatch, "may_begin", ignores_place_number)


def test_member_whose_store_has_not_recovered_holds_up_a_roll() -> None:
    simulation = SiteSimulation()
    simulation.start_all(1, MEMBERS_1)
    simulation.run(4 * LEASE)
    simulation.sites["b"].has_recovered = lambda: False
    assert (
        not simulation.sites["b"].report(0, True, simulation.clock).ready
        and simulation.sites["a"].report(0, True, simulation.clock).ready
    )
    assert simulation.sites["a"].roller.begin(MEMBERS_1) == ""
    simulation.run(20 * LEASE)
    assert not any(simulation.sites[name].roller.has_begun for name in "ac") and not simulation.restart_at
    simulation.sites["b"].has_recovered = lambda: True
    simulation.run(40 * LEASE)
    assert not any(site.roller.pending for site in simulation.sites.values()) and simulation.max_down == 1


def test_place_is_used_only_after_its_last_holder_must_be_known_to_be_down() -> None:
    roller = Roller("a", 1, 10_000 * MS, 200 * MS, place_count=2)
    for name in "bcde":
        roller.record_report(name, 2, True, 0, roller.roll, ZERO)
    assert roller.begin(MEMBERS_3) == ""
    roller.set_held_place(1, ZERO)

    def can_begin(ms: int) -> bool:
        now = ZERO + ms * MS
        query = roller.next_query(now)
        for name in "bcde":
            roller.record_report(name, 2, True, query, roller.roll, now)
        return roller.may_begin(MEMBERS_3, now)

    assert not can_begin(0) and not can_begin(599) and can_begin(600)
    roller.set_held_place(0, ZERO + 700 * MS)
    roller.set_held_place(1, ZERO + 710 * MS)
    assert not can_begin(1_300) and can_begin(1_310), (
        "the place was released: another member may have held it"
    )


def test_roll_ignores_a_member_down_for_long_only_while_a_majority_stays_ready() -> None:
    roller = Roller("a", 1, 10_000 * MS, 200 * MS)
    for name in "bcd":
        roller.record_report(name, 2, True, 0, roller.roll, ZERO)
    assert "never heard: e" in roller.begin(MEMBERS_3)
    assert roller.begin(MEMBERS_3, "e") == "" and roller.is_due
    roller.record_loss("e", ZERO)
    roller.set_held_place(1, ZERO)

    def can_begin(ms: int, *ready: str) -> bool:
        now = ZERO + ms * MS
        query = roller.next_query(now)
        assert not roller.may_begin(MEMBERS_3, now), "no member has answered"
        for name in ready:
            roller.record_report(name, 2, True, query, roller.roll, now)
        return roller.may_begin(MEMBERS_3, now)

    assert not can_begin(9_000, *"bcd")
    assert can_begin(10_000, *"bcd")
    assert not roller.may_begin(MEMBERS_3, ZERO + 10_201 * MS), "answers expire"
    roller.record_loss("d", ZERO + 11_000 * MS)
    assert not can_begin(30_000, *"bc"), "without a, too few ready members would remain"


# ---- failing endpoints ----


def record_failures(trials: dict[str, EndpointTrial], uid: str, now: datetime) -> None:
    for trial in trials.values():
        for _ in range(FAILING_AFTER):
            trial.record_outcome(uid, False, now)


def exchange_reports(trials: dict[str, EndpointTrial], now: datetime) -> None:
    for name, trial in trials.items():
        for other in trials.values():
            if other is not trial:
                other.record_report(name, *trial.report(now))


def test_failing_endpoint_is_left_to_the_holder_until_it_serves_there() -> None:
    trials = {name: EndpointTrial(name) for name in MEMBERS_1}
    record_failures(trials, "box", ZERO)
    exchange_reports(trials, ZERO)
    changed = {name: trial.update("a", MEMBERS_1, 4, ZERO) for name, trial in trials.items()}
    assert changed == {"a": set(), "b": {"box"}, "c": {"box"}}
    assert trials["a"].held_back_since("box") is None and trials["b"].held_back_since("box") == ZERO
    trials["a"].record_outcome("box", True, ZERO + 500 * MS)
    exchange_reports(trials, ZERO + 500 * MS)
    assert (
        trials["b"].update("a", MEMBERS_1, 4, ZERO + 500 * MS) == {"box"}
        and trials["b"].held_back_since("box") is None
    )


@pytest.mark.parametrize(
    "why", ["nobody holds it", "holder is not alive", "few fail", "most are failing", "age", "start"]
)
def test_endpoint_is_not_held_back_without_a_reason(why: str) -> None:
    trials = {name: EndpointTrial(name) for name in MEMBERS_1}
    record_failures(trials, "box", ZERO)
    exchange_reports(trials, ZERO)
    b, listed, now, holder = trials["b"], 4, ZERO, "a"
    assert b.update("a", MEMBERS_1, 4, ZERO) == {"box"}
    match why:
        case "nobody holds it":
            holder = ""
        case "holder is not alive":
            b.forget("a")
        case "few fail":
            b = EndpointTrial("b")
            b.record_report("a", ("box",), ())
            b.record_report("c", (), ())
        case "most are failing":
            listed = 1
        case "age":
            now = ZERO + EXPIRY
        case _:
            assert b.record_restart("box")
    b.update(holder, MEMBERS_1, listed, now)
    assert b.held_back_since("box") is None


# ---- the watchdog ----

STALLED = """
import os, signal, socket, sys
from rookwood.duties.watchdog import Watchdog
act = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
watchdog = Watchdog()
if sys.argv[2] == "on":
    watchdog.guard(act)
watchdog.arm(0.3)
os.kill(os.getpid(), signal.SIGSTOP)  # after the check of its lease, before the act
try:
    act.sendall(b"late")
except OSError:
    pass
act.close()
"""


@pytest.mark.parametrize(("state", "expected"), [("on", b""), ("off", b"late")])
def test_holder_stopped_between_its_check_and_its_act_does_not_act(state: str, expected: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = str(server.getsockname()[1])
        process = subprocess.Popen([sys.executable, "-c", STALLED, port, state])
        connection, _ = server.accept()
        _, status = os.waitpid(process.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status)
        # The kernel's timer runs while the process is stopped; its signal then shows as pending.
        while int(pending_signals(process.pid), 16) & 1 << (signal.SIGALRM - 1) == 0:
            os.sched_yield()
        process.send_signal(signal.SIGCONT)
        connection.settimeout(20)
        received = b""
        while data := connection.recv(16):
            received += data
        connection.close()
        process.wait(20)
    assert received == expected


def pending_signals(pid: int) -> str:
    with open(f"/proc/{pid}/status") as lines:
        return next(line.split()[1] for line in lines if line.startswith("ShdPnd"))


@pytest.mark.parametrize("failure", ["reset", "watchdog", "garbage"])
def test_holder_announces_again_after_its_link_to_the_relay_broke(failure: str) -> None:
    async def run() -> None:
        clock, received, watchdog = Clock(), asyncio.Queue[Announce](), Watchdog()
        leases = LeaseManager("a", 1, Rule(("a",), 200 * MS), (DUTY,), clock.now() - timedelta(seconds=9), 1)

        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            splitter = Splitter(4096)
            while data := await reader.read(4096):
                for frame in splitter.feed(data):
                    assert isinstance(frame, Announce)
                    received.put_nowait(frame)
                    if failure == "reset" and received.qsize() == 2:
                        linger = struct.pack("ii", 1, 0)
                        writer.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                        writer.transport.abort()
                        return
                    response = encoded(Announced(frame.serial, True, frame.term))
                    writer.write(b"\0\0\0\1x" if failure == "garbage" and received.qsize() == 2 else response)

        server = await asyncio.start_server(relay, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        announcer = Announcer(leases, address, "here:1", clock, watchdog)
        task = asyncio.create_task(announcer.run())
        while received.qsize() < 12:
            leases.tick(clock.now())
            if failure == "watchdog" and received.qsize() == 3:
                os.kill(os.getpid(), signal.SIGALRM)
            assert not task.done()
            await asyncio.sleep(0.002)
        assert announcer.counts["broken"] >= 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        watchdog.close()
        server.close()

    asyncio.run(asyncio.wait_for(run(), 30))


def test_renewals_keep_the_list_rules() -> None:
    rule = Rule(tuple(MEMBERS_2), LEASE * MS, 0.01, 2)
    voter = Voter(ZERO, granted_request=VoteRequest(Token(1, "a", 1), 1, 1), granted_until=ZERO + LEASE * MS)
    assert lease.floor(voter, ZERO, rule) == 1
    renewed, vote = lease.answer_request(voter, "b", VoteRequest(Token(1, "a", 1), 2, 1), ZERO + MS, rule)
    assert vote and vote.is_granted and lease.floor(renewed, ZERO + MS, rule) == 1
    newer, vote = lease.answer_request(renewed, "b", VoteRequest(Token(1, "a", 1), 3, 2), ZERO + 2 * MS, rule)
    assert vote and vote.is_granted
    end = ZERO + MS + LEASE * MS  # of the previous vote, on which the holder may still rely
    assert [lease.floor(newer, at, rule) for at in (end - MS, end)] == [1, 2]
    resent, vote = lease.answer_request(newer, "b", VoteRequest(Token(1, "a", 1), 3, 2), ZERO + 9 * MS, rule)
    assert vote and vote.is_granted and resent == newer, (
        "a resent request gets the same vote and extends nothing"
    )
    expired_at = ZERO + 3 * LEASE * MS
    assert lease.floor(renewed, expired_at, rule) == 2
    _, vote = lease.answer_request(renewed, "b", VoteRequest(Token(1, "a", 1), 3, 1), expired_at, rule)
    assert vote and not vote.is_granted, "nobody becomes holder by the older list any more"
    assert DUTY
