"""Lists of members that change, rolls, sick endpoints, the watchdog; and what breaks without them."""

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
from rookwood.duties.board import Board
from rookwood.duties.change import Change, Roster, Word
from rookwood.duties.lease import Ask, Rule, Token, Vote, Voter
from rookwood.duties.roll import Roller
from rookwood.duties.trial import FORGET, SICK, Trial
from rookwood.duties.watchdog import Watchdog
from rookwood.gateway.frames import Announce, Announced, Splitter, encoded
from rookwood.net.clock import Clock
from rookwood.net.destinations import Address

from .town import DUTY, LEASE, Town

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
ONE, TWO, THREE = "abc", "abcd", "abcde"


# ---- lists ----


def two_lists_at_once(town: Town) -> None:
    """a and b stay by list 1 and do not hear the rest, which goes on to list 3 as far as it may."""
    town.all(1, ONE)
    town.run(4 * LEASE)
    town.cut = {(x, y) for x in "ab" for y in "cde"} | {(y, x) for x in "ab" for y in "cde"}
    town.wish("c", 2, TWO)
    town.start("d", 2, TWO)
    town.run(4 * LEASE)
    town.start("e", 3, THREE)
    for name in "cd":
        if town.sites[name].change.roster.number == 2:
            town.wish(name, 3, THREE)
    town.run(8 * LEASE)


def test_no_two_hold_by_lists_that_differ_by_two() -> None:
    town = Town()
    two_lists_at_once(town)
    assert town.most_holders == 1
    assert town.sites["c"].change.roster.number == 2, "a majority of list 2 has not taken it yet"
    town.cut.clear()
    for name in "ab":
        town.wish(name, 2, TWO)
    town.run(2 * LEASE)
    for name in "ab":
        town.wish(name, 3, THREE)
    town.held.clear()
    town.run(10 * LEASE)
    assert {s.change.roster.number for s in town.sites.values()} == {3}
    assert town.most_holders == 1 and sum(town.held.values()) > 6 * LEASE


def test_taking_lists_without_waiting_makes_two_holders(monkeypatch: pytest.MonkeyPatch) -> None:
    def at_once(self: Change, own_floor: int) -> Roster | None:
        if self.wish == self.roster:
            return None
        self.roster = self.wish
        return self.roster

    monkeypatch.setattr(Change, "due", at_once)
    monkeypatch.setattr(Change, "join", lambda self: setattr(self, "joined", True))
    town = Town()
    two_lists_at_once(town)
    assert town.most_holders == 2


def stale_asker(town: Town) -> None:
    """One goes by list 1 and hears a second alone, which went on; a third and two new ones hold by list 3."""
    town.all(1, ONE)
    town.run(4 * LEASE)
    third = next(iter(town.held))
    stale, second = (name for name in ONE if name != third)
    apart = [(stale, name) for name in third + "de"]
    town.cut = {pair for x, y in apart for pair in ((x, y), (y, x))}
    for name in (second, third):
        town.wish(name, 2, TWO)
    town.start("d", 2, TWO)
    town.run(4 * LEASE)
    town.start("e", 3, THREE)
    for name in (third, "d"):
        town.wish(name, 3, THREE)
    town.run(4 * LEASE)
    assert {town.sites[n].change.roster.number for n in third + "de"} == {3}
    town.cut |= {pair for y in third + "de" for pair in ((second, y), (y, second))}
    town.run(6 * LEASE)


def test_voter_grants_nothing_by_an_older_list(monkeypatch: pytest.MonkeyPatch) -> None:
    town = Town()
    stale_asker(town)
    assert town.most_holders == 1

    def forgiving(voter: Voter, me: str, ask: Ask, now: datetime, rule: Rule) -> tuple[Voter, Vote | None]:
        return asked(voter, me, Ask(ask.token, ask.number, rule.list), now, rule)

    asked = lease.asked
    monkeypatch.setattr(lease, "asked", forgiving)
    town = Town()
    stale_asker(town)
    assert town.most_holders == 2


def test_holder_goes_on_while_the_others_take_the_next_list() -> None:
    town = Town()
    town.all(1, ONE)
    town.run(4 * LEASE)
    holder = next(iter(town.held))
    town.held.clear()
    for name in [n for n in ONE if n != holder] + [holder]:
        town.wish(name, 2, TWO)
        town.run(LEASE // 4)
    town.start("d", 2, TWO)
    town.run(4 * LEASE)
    assert set(town.held) == {holder} and town.held[holder] >= 4 * LEASE


@pytest.mark.parametrize(
    ("number", "members", "told"),
    [
        (3, TWO, "does not follow"),
        (2, "abd", "differs from 1 by 2"),
        (1, TWO, "does not follow"),
        (2, ONE, ""),
    ],
)
def test_list_that_cannot_follow_is_named(number: int, members: str, told: str) -> None:
    why = Change("a", Roster(1, frozenset(ONE))).unfit(Roster(number, frozenset(members)))
    assert told in why and bool(told) == bool(why)


def test_one_that_has_started_waits_for_others_of_its_list() -> None:
    change = Change("c", Roster(3, frozenset(THREE)))
    change.heard("d", Word(3, -1))
    assert not change.join()
    change.heard("e", Word(3, -1))
    assert not change.join(), "three could be a majority of list 3 that meets none of list 1"
    change.heard("a", Word(2, 2))
    assert change.join()


@pytest.mark.parametrize("seed", range(8))
def test_who_lost_the_race_for_a_duty_hears_of_the_holder_and_is_quiet(seed: int) -> None:
    town = Town(seed, delay=5)
    for name in ONE:
        town.start(name, 1, ONE)
        town.run(town.rng.choice([0, 10, 20, 30]))
    town.run(6 * LEASE)
    terms = {name: site.board.term(DUTY) for name, site in town.sites.items()}
    town.run(10 * LEASE)
    assert {name: site.board.term(DUTY) for name, site in town.sites.items()} == terms
    assert len({site.board.holder(DUTY, town.at) for site in town.sites.values()}) == 1


@pytest.mark.parametrize("seed", [0, 5, 9, 24, 39])  # two ask at once; the third is dead
def test_votes_that_two_split_are_brought_together(seed: int) -> None:
    town = Town(seed, delay=40)
    town.all(1, ONE)
    town.run(6 * LEASE)
    [holder] = [name for name, site in town.sites.items() if site.board.token(DUTY, town.at)]
    del town.sites[holder]
    town.held.clear()
    town.run(17 * LEASE // 10)
    assert town.held


@pytest.mark.parametrize("seed", range(3))
def test_lost_messages_unseat_no_holder(seed: int) -> None:
    town = Town(seed, delay=20, loss=0.25)
    town.all(1, THREE)
    town.run(10 * LEASE)
    town.held.clear()
    town.run(150 * LEASE)
    assert len(town.held) == 1 and sum(town.held.values()) >= 149 * LEASE


@pytest.mark.parametrize("seed", range(4))
def test_released_duty_is_taken_with_the_first_question(seed: int) -> None:
    town = Town(seed, delay=10)
    town.all(1, THREE)
    town.run(6 * LEASE)
    [holder] = [name for name, site in town.sites.items() if site.board.token(DUTY, town.at)]
    town.letters(holder, town.sites[holder].board.leave(town.at))
    town.held.clear()
    town.run(LEASE // 5)
    assert town.held, "who asks must be above the term that it has voted for"


@pytest.mark.parametrize("seed", [4, 7, 15, 32, 107])
def test_one_that_asks_beside_the_new_holder_yields_and_does_not_outbid_it(seed: int) -> None:
    """The one before has ended and is mute, so the new holder needs the vote of whoever asked beside it."""
    town = Town(seed)
    town.all(1, ONE)
    town.run(4 * LEASE)
    [first] = [name for name, site in town.sites.items() if site.board.token(DUTY, town.at)]
    town.letters(first, town.sites[first].board.leave(town.at))
    town.run(60 + 10 * (seed % 12))
    town.start(first, 1, ONE)
    town.held.clear()
    town.run(8 * LEASE)
    assert len(town.held) == 1 and town.most_holders == 1
    assert max(site.board.term(DUTY) for site in town.sites.values()) <= 6  # 13 to 18 where it does not


# ---- rolls ----


def rolled(town: Town, names: str) -> bool:
    assert town.sites[names[0]].roller.begin(names) == ""
    for _ in range(200):
        town.run(LEASE)
        if not town.down and not any(site.roller.pending for site in town.sites.values()):
            return True
    return False


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [1, 2])
def test_roll_renews_everybody_and_never_takes_more_than_its_places(seed: int, count: int) -> None:
    town = Town(seed, delay=60, loss=0.05, count=count, drain=200 * (seed % 2))
    town.all(1, THREE)
    town.run(4 * LEASE)
    lives = {name: site.roller.life for name, site in town.sites.items()}
    assert rolled(town, THREE)
    assert all(town.sites[name].roller.life != life for name, life in lives.items())
    assert 1 <= town.most_down <= count and town.most_holders == 1


def test_roll_goes_on_when_who_began_it_dies_at_once() -> None:
    town = Town(3, count=1)
    town.all(1, THREE)
    town.run(4 * LEASE)
    first = town.sites["a"]
    assert first.roller.begin(THREE) == ""
    town.post("a", None, first.told(0, True, town.at))  # its last word
    town.back_at["a"] = town.now + 30 * LEASE  # away for long
    town.run(100 * LEASE)
    assert not any(site.roller.due for site in town.sites.values()) and town.most_down == 1
    assert all(site.roller.roll.number == 1 for site in town.sites.values())


def took_too_many(monkeypatch: pytest.MonkeyPatch, attribute: str, broken: object) -> bool:
    for seed in range(30):
        with monkeypatch.context() as patched:
            patched.setattr(Roller, attribute, broken)
            town = Town(seed, delay=60, loss=0.05, count=2, drain=0)
            town.all(1, THREE)
            town.run(4 * LEASE)
            rolled(town, THREE)
            if town.most_down > 2:
                return True
    return False


def test_roll_that_lets_each_place_take_all_takes_too_many(monkeypatch: pytest.MonkeyPatch) -> None:
    def generous(self: Roller, members: Iterable[str], now: datetime) -> bool:
        names = set(members)
        return self.due and not self.begun and bool(self._place) and len(self.waits_for(names, now)) < 3

    assert took_too_many(monkeypatch, "may", generous)


def test_who_has_not_recovered_its_memory_holds_a_roll_up() -> None:
    town = Town()
    town.all(1, ONE)
    town.run(4 * LEASE)
    town.sites["b"].remembers = lambda: False
    assert not town.sites["b"].told(0, True, town.at).ready and town.sites["a"].told(0, True, town.at).ready
    assert town.sites["a"].roller.begin(ONE) == ""
    town.run(20 * LEASE)
    assert not any(town.sites[name].roller.begun for name in "ac") and not town.back_at
    town.sites["b"].remembers = lambda: True
    town.run(40 * LEASE)
    assert not any(site.roller.pending for site in town.sites.values()) and town.most_down == 1


def test_place_is_used_once_whoever_had_it_before_is_known_to_be_down() -> None:
    roller = Roller("a", 1, 10_000 * MS, 200 * MS, places=2)
    for name in "bcde":
        roller.heard(name, 2, True, 0, roller.roll, ZERO)
    assert roller.begin(THREE) == ""
    roller.held(1, ZERO)

    def may(ms: int) -> bool:
        now = ZERO + ms * MS
        question = roller.question(now)
        for name in "bcde":
            roller.heard(name, 2, True, question, roller.roll, now)
        return roller.may(THREE, now)

    assert not may(0) and not may(599) and may(600)
    roller.held(0, ZERO + 700 * MS)
    roller.held(1, ZERO + 710 * MS)
    assert not may(1_300) and may(1_310), "it was let go of: another may have had it"


def test_roll_passes_over_one_that_is_down_for_long_only_while_a_majority_stays() -> None:
    roller = Roller("a", 1, 10_000 * MS, 200 * MS)
    for name in "bcd":
        roller.heard(name, 2, True, 0, roller.roll, ZERO)
    assert "never heard: e" in roller.begin(THREE)
    assert roller.begin(THREE, "e") == "" and roller.due
    roller.lost("e", ZERO)
    roller.held(1, ZERO)

    def may(ms: int, *ready: str) -> bool:
        now = ZERO + ms * MS
        question = roller.question(now)
        assert not roller.may(THREE, now), "nobody has answered"
        for name in ready:
            roller.heard(name, 2, True, question, roller.roll, now)
        return roller.may(THREE, now)

    assert not may(9_000, *"bcd")
    assert may(10_000, *"bcd")
    assert not roller.may(THREE, ZERO + 10_201 * MS), "answers grow old"
    roller.lost("d", ZERO + 11_000 * MS)
    assert not may(30_000, *"bc"), "without a, too few would be left"


# ---- sick endpoints ----


def failing(trials: dict[str, Trial], uid: str, now: datetime) -> None:
    for trial in trials.values():
        for _ in range(SICK):
            trial.ended(uid, False, now)


def spread(trials: dict[str, Trial], now: datetime) -> None:
    for name, trial in trials.items():
        for other in trials.values():
            if other is not trial:
                other.heard(name, *trial.word(now))


def test_sick_endpoint_is_left_to_the_holder_until_it_serves_there() -> None:
    trials = {name: Trial(name) for name in ONE}
    failing(trials, "box", ZERO)
    spread(trials, ZERO)
    changed = {name: trial.update("a", ONE, 4, ZERO) for name, trial in trials.items()}
    assert changed == {"a": set(), "b": {"box"}, "c": {"box"}}
    assert trials["a"].since("box") is None and trials["b"].since("box") == ZERO
    trials["a"].ended("box", True, ZERO + 500 * MS)
    spread(trials, ZERO + 500 * MS)
    assert trials["b"].update("a", ONE, 4, ZERO + 500 * MS) == {"box"} and trials["b"].since("box") is None


@pytest.mark.parametrize(
    "why", ["nobody holds it", "holder is silent", "few fail", "most are sick", "age", "start"]
)
def test_without_a_reason_nobody_is_held_back(why: str) -> None:
    trials = {name: Trial(name) for name in ONE}
    failing(trials, "box", ZERO)
    spread(trials, ZERO)
    b, listed, now, holder = trials["b"], 4, ZERO, "a"
    assert b.update("a", ONE, 4, ZERO) == {"box"}
    match why:
        case "nobody holds it":
            holder = ""
        case "holder is silent":
            b.lost("a")
        case "few fail":
            b = Trial("b")
            b.heard("a", ("box",), ())
            b.heard("c", (), ())
        case "most are sick":
            listed = 1
        case "age":
            now = ZERO + FORGET
        case _:
            assert b.started("box")
    b.update(holder, ONE, listed, now)
    assert b.since("box") is None


# ---- the watchdog ----

STALLED = """
import os, signal, socket, sys
from rookwood.duties.watchdog import Watchdog
act = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
dog = Watchdog()
if sys.argv[2] == "on":
    dog.guard(act)
dog.held_for(0.3)
os.kill(os.getpid(), signal.SIGSTOP)  # checked its lease; stopped before the act
try:
    act.sendall(b"late")
except OSError:
    pass
act.close()
"""


@pytest.mark.parametrize(("state", "arrives"), [("on", b""), ("off", b"late")])
def test_holder_stopped_between_its_check_and_its_act_does_not_act(state: str, arrives: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = str(server.getsockname()[1])
        process = subprocess.Popen([sys.executable, "-c", STALLED, port, state])
        connection, _ = server.accept()
        _, status = os.waitpid(process.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status)
        # The kernel's timer runs while it is stopped: pending once its signal shows in the process's status.
        while int(pending(process.pid), 16) & 1 << (signal.SIGALRM - 1) == 0:
            os.sched_yield()
        process.send_signal(signal.SIGCONT)
        connection.settimeout(20)
        got = b""
        while data := connection.recv(16):
            got += data
        connection.close()
        process.wait(20)
    assert got == arrives


def pending(pid: int) -> str:
    with open(f"/proc/{pid}/status") as lines:
        return next(line.split()[1] for line in lines if line.startswith("ShdPnd"))


@pytest.mark.parametrize("how", ["reset", "watchdog", "garbage"])
def test_holder_goes_on_saying_so_after_its_link_to_the_relay_broke(how: str) -> None:
    async def story() -> None:
        clock, came, watchdog = Clock(), asyncio.Queue[Announce](), Watchdog()
        board = Board("a", 1, Rule(("a",), 200 * MS), (DUTY,), clock.now() - timedelta(seconds=9), 1)

        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            splitter = Splitter(4096)
            while data := await reader.read(4096):
                for frame in splitter.feed(data):
                    assert isinstance(frame, Announce)
                    came.put_nowait(frame)
                    if how == "reset" and came.qsize() == 2:
                        linger = struct.pack("ii", 1, 0)
                        writer.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                        writer.transport.abort()
                        return
                    good = encoded(Announced(frame.serial, True, frame.term))
                    writer.write(b"\0\0\0\1x" if how == "garbage" and came.qsize() == 2 else good)

        server = await asyncio.start_server(relay, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        announcer = Announcer(board, address, "here:1", clock, watchdog)
        task = asyncio.create_task(announcer.run())
        while came.qsize() < 12:
            board.tick(clock.now())
            if how == "watchdog" and came.qsize() == 3:
                os.kill(os.getpid(), signal.SIGALRM)
            assert not task.done()
            await asyncio.sleep(0.002)
        assert announcer.counts["broken"] >= 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        watchdog.close()
        server.close()

    asyncio.run(asyncio.wait_for(story(), 30))


def test_rule_of_a_list_is_kept_in_renewals() -> None:
    rule = Rule(tuple(TWO), LEASE * MS, 0.01, 2)
    voter = Voter(ZERO, granted=Ask(Token(1, "a", 1), 1, 1), until=ZERO + LEASE * MS)
    assert lease.floor(voter, ZERO, rule) == 1
    again, vote = lease.asked(voter, "b", Ask(Token(1, "a", 1), 2, 1), ZERO + MS, rule)
    assert vote and vote.yes and lease.floor(again, ZERO + MS, rule) == 1
    newer, vote = lease.asked(again, "b", Ask(Token(1, "a", 1), 3, 2), ZERO + 2 * MS, rule)
    assert vote and vote.yes
    end = ZERO + MS + LEASE * MS  # of the vote before: the holder may still count on that one
    assert [lease.floor(newer, at, rule) for at in (end - MS, end)] == [1, 2]
    same, vote = lease.asked(newer, "b", Ask(Token(1, "a", 1), 3, 2), ZERO + 9 * MS, rule)
    assert vote and vote.yes and same == newer, "a reminder gets the vote again, and prolongs nothing"
    over = ZERO + 3 * LEASE * MS
    assert lease.floor(again, over, rule) == 2
    _, vote = lease.asked(again, "b", Ask(Token(1, "a", 1), 3, 1), over, rule)
    assert vote and not vote.yes, "by the older list nobody becomes holder any more"
    assert DUTY
