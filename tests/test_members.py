"""Who lives: SWIM with Lifeguard in simulated time, and what each of its parts is for."""

from __future__ import annotations

from datetime import timedelta

import pytest

from rookwood.gateway.frames import Splitter, encoded
from rookwood.lab.detectors import PERIOD, Play, Swim, at
from rookwood.members import wire
from rookwood.members.swim import Ack, Change, Members, News, Pace, Probe, Standing

PACE = Pace(timedelta(milliseconds=PERIOD))


def play(count: int = 5, seed: int = 1, loss: float = 0.0) -> Play:
    made = Play("swim", count, seed, loss)
    made.run(20 * PERIOD)
    return made


def members_of(made: Play, name: str) -> Members:
    node = made.nodes[name]
    assert isinstance(node, Swim)
    return node.members


def words(made: Play, about: str) -> set[str]:
    return {members_of(made, n).status_text(about) for n in made.names if n != about and n not in made.killed}


@pytest.mark.parametrize("count", [3, 5, 30])
def test_death_is_known_to_all_and_nobody_else_is_taken_for_dead(count: int) -> None:
    made = play(count)
    made.killed.add("m1")
    made.run(40 * PERIOD, lambda: made.holders("m1") == count - 1)
    assert made.holders("m1") == count - 1 and made.false == 0
    assert len(members_of(made, "m0").alive) == count - 1


@pytest.mark.parametrize("seed", range(4))
def test_pair_that_is_cut_apart_is_told_from_a_death(seed: int) -> None:
    made = play(seed=seed)
    made.cut.add(frozenset(("m0", "m1")))
    made.run(60 * PERIOD)
    assert made.false == 0 and members_of(made, "m0").status_text("m1") == "cut"
    made.cut.clear()
    made.run(40 * PERIOD)
    assert members_of(made, "m0").status_text("m1") == "alive"


def test_member_that_stood_still_comes_back_alive_and_blames_nobody() -> None:
    made = play()
    made.halted["m2"] = made.now + 60 * PERIOD
    made.run(50 * PERIOD)
    assert words(made, "m2") == {"dead"}
    made.run(60 * PERIOD)
    assert words(made, "m2") == {"alive"} and members_of(made, "m2").alive == set(made.names)
    assert made.false == 4  # each took it for dead once; it took nobody


def test_short_halts_and_loss_cost_no_life() -> None:
    made = play(8, loss=0.05)
    for n in range(8):
        made.halted[f"m{n}"] = made.now + 3 * PERIOD
        made.run(15 * PERIOD)
    assert made.false == 0


def test_restart_with_everything_forgotten_goes_above_what_is_said_of_it() -> None:
    made = play()
    made.killed.add("m1")
    made.run(40 * PERIOD, lambda: made.holders("m1") == 4)
    made.nodes["m1"] = Swim("m1", made.names, made.now, seed=77)
    made.killed.clear()
    made.run(40 * PERIOD)
    assert words(made, "m1") == {"alive"}
    turns = {
        news.revision for n in ("m0", "m2") for news, _ in members_of(made, n).rows() if news.name == "m1"
    }
    assert turns == {members_of(made, "m1").me.revision} and turns != {0}
    lives = {
        news.incarnation for n in ("m0", "m2") for news, _ in members_of(made, n).rows() if news.name == "m1"
    }
    assert lives == {78}


def test_restart_that_nobody_noticed_is_known_by_its_new_life() -> None:
    made = play()
    for seed in (60, 50):  # a life that counts for more at the same turn, then one that counts for less
        made.nodes["m1"] = Swim("m1", made.names, made.now, seed=seed)
        made.run(40 * PERIOD)
        for name in ("m0", "m2", "m3", "m4"):
            lives = [news.incarnation for news, _ in members_of(made, name).rows() if news.name == "m1"]
            assert lives == [seed + 1]


def test_halves_that_were_cut_apart_find_one_another_again() -> None:
    made = play(6)
    for a in ("m0", "m1", "m2"):
        made.cut |= {frozenset((a, b)) for b in ("m3", "m4", "m5")}
    made.run(60 * PERIOD)
    assert members_of(made, "m0").alive == {"m0", "m1", "m2"}
    made.cut.clear()
    made.run(80 * PERIOD)
    assert all(members_of(made, n).alive == set(made.names) for n in made.names)


def test_who_leaves_is_left_at_once_and_not_dead() -> None:
    made = play()
    made._post("m3", members_of(made, "m3").leave())
    made.run(2 * PERIOD)
    assert words(made, "m3") == {"left"}


def test_refused_connection_starts_suspicion_that_a_word_ends() -> None:
    one = Members(News("a", 1, 0, Standing.ALIVE), ["b", "c"], PACE, at(0), 1)
    one.connection_refused("b", at(10))
    assert one.status_text("b") == "suspected" and one.alive == {"a", "b", "c"}
    assert one.changes == [Change("b", Standing.SUSPECTED, "no acknowledgement, says a")]
    [(_, reply)] = one.receive("b", Probe(1, "a", (News("b", 5, 0, Standing.ALIVE),)), at(20))
    assert any(n.name == "b" and n.standing is Standing.SUSPECTED for n in reply.news), (
        "so that it may object"
    )
    one.receive("b", Ack(9, "b", (News("b", 5, 1, Standing.ALIVE),)), at(30))
    assert one.status_text("b") == "alive"


def test_suspicion_does_not_run_out_while_this_one_stands_still() -> None:
    one = Members(News("a", 1, 0, Standing.ALIVE), ["b", "c"], PACE, at(0), 1)
    one.tick(at(10))
    one.connection_refused("b", at(20))
    one.tick(at(100 * PERIOD))
    assert one.status_text("b") == "suspected" and one.health > 0
    for ms in range(100 * PERIOD, 200 * PERIOD, 20):
        one.tick(at(ms))
    assert one.status_text("b") == "dead"


def test_strangers_and_odd_words_are_nothing() -> None:
    one = Members(News("a", 1, 0, Standing.ALIVE), ["b"], PACE, at(0), 1)
    assert one.receive("x", Probe(1, "a"), at(1)) == [] and one.receive("b", Probe(1, "x"), at(1)) == []
    assert one.receive("b", Ack(7, "b", (News("x", 1, 9, Standing.DEAD),)), at(1)) == []
    assert one.alive == {"a", "b"} and one.status_text("x") == "unknown"
    frame = wire.frame_of(Probe(3, "b", (News("a", 1, 2, Standing.LEFT, "z", "c"),)))
    [back] = Splitter(4096).feed(encoded(frame))
    assert wire.message_of_frame(back) == Probe(3, "b", (News("a", 1, 2, Standing.LEFT, "z", "c"),))


def test_more_that_suspect_shorten_the_wait() -> None:
    def until_dead(suspects: int) -> int:
        one = Members(News("a", 1, 0, Standing.ALIVE), [f"m{n}" for n in range(9)], PACE, at(0), 1)
        for n in range(1, suspects + 1):
            news = News("m0", 0, 0, Standing.SUSPECTED, by=f"m{n}")
            one.receive(f"m{n}", Ack(99, f"m{n}", (news,)), at(n))
        for ms in range(0, 40 * PERIOD, 20):
            one.tick(at(ms))
            if one.status_text("m0") == "dead":
                return ms
        return 0

    assert 0 < until_dead(3) < until_dead(1)


@pytest.mark.parametrize("pace", [{"period": timedelta(0)}, {"direct": 1.0}, {"least": 6.0}])
def test_unsound_pace_is_named(pace: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="pace"):
        Pace(**({"period": timedelta(seconds=1)} | pace))  # type: ignore[arg-type]
