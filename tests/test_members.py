"""Membership by SWIM with Lifeguard in simulated time: one test for the purpose of each part."""

from __future__ import annotations

from datetime import timedelta

import pytest

from rookwood.gateway.frames import Splitter, encoded
from rookwood.lab.detectors import PERIOD, Play, Swim, at
from rookwood.members import wire
from rookwood.members.swim import Ack, Change, Members, News, Pace, Probe, Standing

PACE = Pace(timedelta(milliseconds=PERIOD))


def simulated(count: int = 5, seed: int = 1, loss: float = 0.0) -> Play:
    simulation = Play("swim", count, seed, loss)
    simulation.run(20 * PERIOD)
    return simulation


def members_of(simulation: Play, name: str) -> Members:
    node = simulation.nodes[name]
    assert isinstance(node, Swim)
    return node.members


def status_texts(simulation: Play, about: str) -> set[str]:
    return {
        members_of(simulation, n).status_text(about)
        for n in simulation.names
        if n != about and n not in simulation.killed
    }


@pytest.mark.parametrize("count", [3, 5, 30])
def test_all_members_learn_of_a_death_and_declare_no_other_member_dead(count: int) -> None:
    simulation = simulated(count)
    simulation.killed.add("m1")
    simulation.run(40 * PERIOD, lambda: simulation.holders("m1") == count - 1)
    assert simulation.holders("m1") == count - 1 and simulation.false == 0
    assert len(members_of(simulation, "m0").alive) == count - 1


@pytest.mark.parametrize("seed", range(4))
def test_broken_path_between_two_members_is_not_taken_for_a_death(seed: int) -> None:
    simulation = simulated(seed=seed)
    simulation.cut.add(frozenset(("m0", "m1")))
    simulation.run(60 * PERIOD)
    assert simulation.false == 0 and members_of(simulation, "m0").status_text("m1") == "cut"
    simulation.cut.clear()
    simulation.run(40 * PERIOD)
    assert members_of(simulation, "m0").status_text("m1") == "alive"


def test_stalled_member_becomes_alive_again_and_declares_no_other_dead() -> None:
    simulation = simulated()
    simulation.halted["m2"] = simulation.now + 60 * PERIOD
    simulation.run(50 * PERIOD)
    assert status_texts(simulation, "m2") == {"dead"}
    simulation.run(60 * PERIOD)
    assert status_texts(simulation, "m2") == {"alive"} and members_of(simulation, "m2").alive == set(
        simulation.names
    )
    assert simulation.false == 4  # each of the others declared it dead once; it declared none of them dead


def test_short_stalls_and_message_loss_cause_no_false_death() -> None:
    simulation = simulated(8, loss=0.05)
    for n in range(8):
        simulation.halted[f"m{n}"] = simulation.now + 3 * PERIOD
        simulation.run(15 * PERIOD)
    assert simulation.false == 0


def test_member_restarted_after_its_death_raises_its_revision_and_is_alive() -> None:
    simulation = simulated()
    simulation.killed.add("m1")
    simulation.run(40 * PERIOD, lambda: simulation.holders("m1") == 4)
    simulation.nodes["m1"] = Swim("m1", simulation.names, simulation.now, seed=77)
    simulation.killed.clear()
    simulation.run(40 * PERIOD)
    assert status_texts(simulation, "m1") == {"alive"}
    revisions = {
        news.revision
        for n in ("m0", "m2")
        for news, _ in members_of(simulation, n).rows()
        if news.name == "m1"
    }
    assert revisions == {members_of(simulation, "m1").me.revision} and revisions != {0}
    incarnations = {
        news.incarnation
        for n in ("m0", "m2")
        for news, _ in members_of(simulation, n).rows()
        if news.name == "m1"
    }
    assert incarnations == {78}


def test_unnoticed_restart_is_known_by_its_new_incarnation() -> None:
    simulation = simulated()
    # An incarnation with a higher rank at the same revision, then one with a lower rank.
    for seed in (60, 50):
        simulation.nodes["m1"] = Swim("m1", simulation.names, simulation.now, seed=seed)
        simulation.run(40 * PERIOD)
        for name in ("m0", "m2", "m3", "m4"):
            incarnations = [
                news.incarnation for news, _ in members_of(simulation, name).rows() if news.name == "m1"
            ]
            assert incarnations == [seed + 1]


def test_halves_of_a_partition_find_each_other_again() -> None:
    simulation = simulated(6)
    for a in ("m0", "m1", "m2"):
        simulation.cut |= {frozenset((a, b)) for b in ("m3", "m4", "m5")}
    simulation.run(60 * PERIOD)
    assert members_of(simulation, "m0").alive == {"m0", "m1", "m2"}
    simulation.cut.clear()
    simulation.run(80 * PERIOD)
    assert all(members_of(simulation, n).alive == set(simulation.names) for n in simulation.names)


def test_leaving_member_is_known_as_left_rather_than_dead() -> None:
    simulation = simulated()
    simulation._post("m3", members_of(simulation, "m3").leave())
    simulation.run(2 * PERIOD)
    assert status_texts(simulation, "m3") == {"left"}


def test_refused_connection_starts_a_suspicion_that_news_refutes() -> None:
    members = Members(News("a", 1, 0, Standing.ALIVE), ["b", "c"], PACE, at(0), 1)
    members.connection_refused("b", at(10))
    assert members.status_text("b") == "suspected" and members.alive == {"a", "b", "c"}
    assert members.changes == [Change("b", Standing.SUSPECTED, "suspected by a")]
    [(_, response)] = members.receive("b", Probe(1, "a", (News("b", 5, 0, Standing.ALIVE),)), at(20))
    assert any(n.name == "b" and n.standing is Standing.SUSPECTED for n in response.news), (
        "b must learn of its suspicion to refute it"
    )
    members.receive("b", Ack(9, "b", (News("b", 5, 1, Standing.ALIVE),)), at(30))
    assert members.status_text("b") == "alive"


def test_suspicion_does_not_expire_while_this_process_is_stalled() -> None:
    members = Members(News("a", 1, 0, Standing.ALIVE), ["b", "c"], PACE, at(0), 1)
    members.tick(at(10))
    members.connection_refused("b", at(20))
    members.tick(at(100 * PERIOD))
    assert members.status_text("b") == "suspected" and members.health > 0
    for ms in range(100 * PERIOD, 200 * PERIOD, 20):
        members.tick(at(ms))
    assert members.status_text("b") == "dead"


def test_unknown_senders_and_members_are_ignored() -> None:
    members = Members(News("a", 1, 0, Standing.ALIVE), ["b"], PACE, at(0), 1)
    assert (
        members.receive("x", Probe(1, "a"), at(1)) == [] and members.receive("b", Probe(1, "x"), at(1)) == []
    )
    assert members.receive("b", Ack(7, "b", (News("x", 1, 9, Standing.DEAD),)), at(1)) == []
    assert members.alive == {"a", "b"} and members.status_text("x") == "unknown"
    frame = wire.frame_of(Probe(3, "b", (News("a", 1, 2, Standing.LEFT, "z", "c"),)))
    [decoded] = Splitter(4096).feed(encoded(frame))
    assert wire.message_of_frame(decoded) == Probe(3, "b", (News("a", 1, 2, Standing.LEFT, "z", "c"),))


def test_more_suspecting_members_shorten_the_suspicion() -> None:
    def until_dead(suspects: int) -> int:
        members = Members(News("a", 1, 0, Standing.ALIVE), [f"m{n}" for n in range(9)], PACE, at(0), 1)
        for n in range(1, suspects + 1):
            news = News("m0", 0, 0, Standing.SUSPECTED, by=f"m{n}")
            members.receive(f"m{n}", Ack(99, f"m{n}", (news,)), at(n))
        for ms in range(0, 40 * PERIOD, 20):
            members.tick(at(ms))
            if members.status_text("m0") == "dead":
                return ms
        return 0

    assert 0 < until_dead(3) < until_dead(1)


@pytest.mark.parametrize("pace", [{"period": timedelta(0)}, {"direct": 1.0}, {"least": 6.0}])
def test_invalid_pace_raises_an_error(pace: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="pace"):
        Pace(**({"period": timedelta(seconds=1)} | pace))  # type: ignore[arg-type]
