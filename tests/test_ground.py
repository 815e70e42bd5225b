"""Duties among real processes of the program, with faults between them: orders and counts are asserted."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from rookwood.cli import site
from rookwood.conf import OperatorFileError, load
from rookwood.lab.ground import Ground, Witness
from rookwood.lab.nodes import LISTEN, answered, tried

LIMIT = 30.0  # seconds until a step is called hung


@contextlib.asynccontextmanager
async def ground(
    count: int = 3, lease_ms: int = 1500, boxes: int = 0, listed: int = 0, store: str = ""
) -> AsyncIterator[tuple[Ground, Witness]]:
    """A lease is far longer than a busy machine halts a process. `listed`: members at first, if not all."""
    made = Ground(count, seed=1, lease_ms=lease_ms, boxes=boxes)
    made.listed, made.store = made.names[: listed or count], store
    try:
        await made.start()
        await made.witness.next_holder("", LIMIT)
        yield made, made.witness
        assert (made.witness.stale(), made.witness.overlaps()) == (0, 0)
    finally:
        await made.close()


def test_duty_is_handed_on_when_its_holder_is_killed_stopped_cut_off_or_ended() -> None:
    async def story() -> None:
        async with ground() as (g, w):
            for trouble in ("kill", "stop", "one-way", "cut", "term"):
                first, others = w.holder, [name for name in g.names if name != w.holder]
                if trouble == "kill":
                    g.kill(first)
                elif trouble == "stop":
                    g.stop(first)
                elif trouble == "term":
                    g.signal(first, signal.SIGTERM)
                elif trouble == "cut":
                    g.cut(g.both_ways(first))
                else:
                    g.cut([(first, other) for other in others])
                second = await w.next_holder(first, LIMIT)
                assert second in others
                if trouble == "stop":  # what it was about to do is not accepted any more
                    g.go_on(first)
                if trouble in ("kill", "term"):
                    await g.again(first)
                g.heal()
                await g.serves(second, acts=8)  # whoever comes back does not unseat it
            assert len(w.gaps()) == 5

    asyncio.run(asyncio.wait_for(story(), 5 * LIMIT))


def test_two_that_do_not_hear_one_another_do_not_unseat_the_holder() -> None:
    async def story() -> None:
        async with ground() as (g, w):
            first = w.holder
            one, two = (name for name in g.names if name != first)
            for pair in ((one, two), (two, one), (first, one), (one, first)):  # in turn: partial cuts
                g.heal()
                g.cut([pair, pair[::-1]])
                await g.serves(first, acts=12)
            assert w.gaps() == []

    asyncio.run(asyncio.wait_for(story(), 3 * LIMIT))


def test_minority_holds_nothing_and_a_majority_that_returns_does() -> None:
    async def story() -> None:
        async with ground() as (g, w):
            first = w.holder
            gone = [name for name in g.names if name != first]
            for name in gone:
                g.kill(name)
            while (await g.figures(first))["duties.address.held"]:  # ends with its lease
                await asyncio.sleep(0.02)
            done = len(w.acts)
            await g.again(gone[0])  # mute at first: it has forgotten what it granted
            holder = await w.next_holder("", LIMIT)
            assert holder in (first, gone[0]) and len(w.acts) > done

    asyncio.run(asyncio.wait_for(story(), 3 * LIMIT))


async def until(true: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(LIMIT):
        while not await true():
            await asyncio.sleep(0.02)


async def figure(g: Ground, name: str, key: str) -> float:
    """-1 of a process that is not there."""
    with contextlib.suppress(OSError, TimeoutError, IndexError, KeyError):
        return (await g.figures(name))[key]
    return -1.0


def test_roll_renews_each_process_one_at_a_time_though_who_began_it_is_killed() -> None:
    async def story() -> None:
        async with ground(lease_ms=700) as (g, w):
            pids = {name: g.nodes[name].process for name in g.names}
            await until(lambda: all_vote(g))
            status, told = await g.call("m0", "/ops/roll/start", "POST")
            assert (status, told) == (200, "roll 1: m0 m1 m2\n")
            g.kill("m0")
            ended = list[str]()

            async def all_renewed() -> bool:
                for name in g.names:
                    process = g.nodes[name].process
                    assert process
                    if process.poll() is not None:  # as whoever runs it would
                        ended.append(name)
                        g.nodes[name].start(g.log)
                down = [name for name in g.names if await figure(g, name, "duties.list") < 0]
                assert len(down) <= 1, f"{down} are down at once"
                return all(g.nodes[n].process is not pids[n] for n in g.names) and not down

            async with asyncio.timeout(4 * LIMIT):
                while not await all_renewed():
                    await asyncio.sleep(0.02)
            assert sorted(ended) == ["m0", "m1", "m2"] and ended[0] == "m0"
            await until(lambda: nobody_is_to_come(g))
            await w.next_holder("", LIMIT)

    asyncio.run(asyncio.wait_for(story(), 6 * LIMIT))


async def nobody_is_to_come(g: Ground) -> bool:
    return [await figure(g, name, "duties.roll_pending") for name in g.names] == [0.0] * len(g.names)


async def all_vote(g: Ground) -> bool:
    told = [json.loads((await g.call(name, "/ops/duties"))[1]) for name in g.listed]
    return all(one["votes"] for one in told)


def test_list_changes_by_one_at_sighup_and_a_jump_is_refused() -> None:
    async def story() -> None:
        async with ground(4, listed=3) as (g, w):
            first = w.holder

            async def change(number: int, listed: list[str]) -> None:
                g.list, g.listed = number, listed
                for name in g.names:
                    g.configure(name)
                for name in g.names:
                    g.signal(name, signal.SIGHUP)

            await change(2, g.names)
            g.nodes["m3"].start(g.log)
            await until(lambda: lists(g, g.names, 2))
            await g.serves(first, acts=8)  # a change of the list moves no duty
            await change(4, g.names)
            await until(lambda: logged(g, "list 4 does not follow list 2"))
            assert await lists(g, g.names, 2)
            out = next(name for name in g.names if name != first)
            await change(3, [name for name in g.names if name != out])
            await until(lambda: lists(g, g.listed, 3))
            g.kill(out)
            g.kill(first)  # two of the three that are left are a majority; two of four were none
            assert await w.next_holder(first, LIMIT) in g.listed

    asyncio.run(asyncio.wait_for(story(), 5 * LIMIT))


async def lists(g: Ground, names: list[str], number: int) -> bool:
    return {await figure(g, name, "duties.list") for name in names} == {number}


async def logged(g: Ground, text: str) -> bool:
    return text in g.log.read_text()


def test_endpoint_that_fails_for_all_meets_the_jobs_of_one_until_it_serves() -> None:
    async def story() -> None:
        async with ground(boxes=3) as (g, _):
            sick, serial = g.boxes[0], itertools.count()
            sick.fails = True

            async def page(name: str) -> None:
                n = next(serial)
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await tried(
                        g.nodes[name].host, LISTEN, "page-render", f"{name}-{n}", f'"{n}"', 0.001, 1.0
                    )

            async def held_back(count: int) -> bool:
                await asyncio.gather(*(page(name) for name in g.names for _ in range(4)))
                found = [await figure(g, name, "duties.endpoints_held_back") for name in g.names]
                return found.count(1.0) == count

            await until(lambda: held_back(2))
            told = {name: json.loads((await g.call(name, "/ops/duties"))[1]) for name in g.names}
            holder = next(d["holder"] for d in told["m0"]["duties"] if d["duty"] == "trial")
            assert not told[holder]["held_back"]
            others = [name for name in g.names if name != holder]
            before = {name: sick.came[name] for name in g.names}  # 0 for one that never tried it
            for _ in range(40):
                await held_back(2)
            # Its stand may have ended for a moment, by age alone; not within a play of this length.
            assert [sick.came[name] for name in others] == [before[name] for name in others]
            assert sick.came[holder] >= before[holder]
            sick.fails = False
            await until(lambda: held_back(0))
            assert g.ledger.at_once == 0

    asyncio.run(asyncio.wait_for(story(), 4 * LIMIT))


def test_command_line_tells_holders_and_members_and_releases_a_duty(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def story() -> None:
        async with ground() as (g, w):
            places = [f"{node.host}:{node.mgmt}" for node in g.nodes.values()]
            first = w.holder
            assert await asyncio.to_thread(site.duties, places, 0.0) == 0
            rows = [line.split() for line in capsys.readouterr().out.splitlines()]
            assert rows[0][:2] == ["DUTY", "HOLDER"] and ["address", first] in [row[:2] for row in rows]
            await until(lambda: all_alive(g))
            assert await asyncio.to_thread(site.members, places, 0.0) == 0
            assert capsys.readouterr().out.count(" alive ") == 9
            assert await asyncio.to_thread(site.release, places, "address") == 0
            second = await w.next_holder(first, LIMIT)
            await g.serves(second, acts=8)
            lone = [places[g.names.index(first)]]
            assert await asyncio.to_thread(site.release, lone, "address") == 1
            assert f"address is held by {second}" in capsys.readouterr().err
            g.kill(first)
            assert await asyncio.to_thread(site.duties, places, 0.0) == 1
            assert lone[0] in capsys.readouterr().err

    asyncio.run(asyncio.wait_for(story(), 4 * LIMIT))


def test_kept_result_outlives_the_leader_of_its_copies_and_who_returns_has_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def story() -> None:
        async with ground(boxes=1, store="peers yes\nlease 2s\nretry-window 1s") as (g, _):
            places = [f"{node.host}:{node.mgmt}" for node in g.nodes.values()]
            found, leader, tries = (0, dict[str, str](), ""), "", itertools.count()

            async def unlocked(name: str, job: str) -> bool:
                """Amid a new beginning or a change of leader it is refused, and asked for again."""
                nonlocal found
                words = (f"{job}.{next(tries)}", f'"{job}"', 0.01, 1.0)
                found = await answered(g.nodes[name].host, LISTEN, "chapter-unlock", *words)
                return found[0] == 200

            async def leading() -> bool:
                nonlocal leader
                for name in g.names:
                    if await figure(g, name, "replicas.leads") == 1:
                        leader = name
                return bool(leader)

            await until(lambda: unlocked(g.names[0], "one"))
            first = found[2]
            await until(leading)
            others = [name for name in g.names if name != leader]
            g.kill(leader)
            for name in others:
                await until(lambda name=name: unlocked(name, "one"))  # type: ignore[misc]
                assert found[2] == first and found[1]["idempotency-replayed"] == "true"
            assert g.ledger.runs["one"] == 1
            assert await asyncio.to_thread(site.verify, places, 0.0) == 1
            gone = leader
            await g.again(gone)
            await until(lambda: whole(g, gone))
            assert await asyncio.to_thread(site.verify, places, LIMIT) == 0
            assert "3 members have the same" in capsys.readouterr().out
            assert await asyncio.to_thread(site.replicas, places, 0.0) == 0
            rows = [line.split() for line in capsys.readouterr().out.splitlines()]
            assert [row[1] for row in rows] == ["COUNTS", "yes", "yes", "yes"]

    asyncio.run(asyncio.wait_for(story(), 5 * LIMIT))


async def whole(g: Ground, name: str) -> bool:
    return await figure(g, name, "replicas.whole") == 1


def test_holder_that_drains_or_is_upgraded_hands_its_duty_on_and_comes_back() -> None:
    async def story() -> None:
        async with ground() as (g, w):
            first = w.holder
            assert (await g.call(first, "/ops/drain/start", "POST"))[0] == 200
            second = await w.next_holder(first, LIMIT)
            assert (await g.call(first, "/ops/drain/stop", "POST"))[0] == 200
            await g.serves(second, acts=8)
            old = json.loads((await g.call(second, "/ops/members"))[1])["members"][0]["life"]
            await g.upgrade(second)
            third = await w.next_holder(second, LIMIT) if w.holder == second else w.holder
            await g.serves(third, acts=8)
            told = json.loads((await g.call(second, "/ops/members"))[1])
            assert told["me"] == second and told["members"][0]["life"] != old
            await until(lambda: all_alive(g))
            await until(lambda: all_vote(g))
            await until(lambda: lives_agree(g))
            g.kill(third)  # the new process votes: without it there would be no majority
            assert await w.next_holder(third, LIMIT) != third

    asyncio.run(asyncio.wait_for(story(), 5 * LIMIT))


async def lives_agree(g: Ground) -> bool:
    told = [json.loads((await g.call(name, "/ops/members"))[1])["members"] for name in g.names]
    own = {rows[0]["name"]: rows[0]["life"] for rows in told}
    return all({row["name"]: row["life"] for row in rows} == own for rows in told)


async def all_alive(g: Ground) -> bool:
    told = [json.loads((await g.call(name, "/ops/members"))[1]) for name in g.names]
    return all(row["standing"] == "alive" and row["life"] for one in told for row in one["members"])


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ("listen 127.0.0.1:1", "'member'|member"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nmember a 127.0.0.1:2", "named twice"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nrelay 127.0.0.1:2", "go together"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nlease 20ms", "under 100ms"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\ndrift 60%", "below 0.5"),
        ("listen 127.0.0.1:1\nmember a 10.0.0.1:1", "for loopback alone"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nmember b 127.0.0.1:2\nplaces 1", "no majority"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nlist 0", "list"),
    ],
)
def test_fault_of_the_section_is_named(tmp_path: Path, lines: str, told: str) -> None:
    place = tmp_path / "rookwood.conf"
    gateway = "site here\ngateway {\nlisten 127.0.0.1:0\nplaintext yes\n}\n"
    place.write_text(f"{gateway}duties {{\n{lines}\n}}\n")
    with pytest.raises(OperatorFileError, match=told):
        load(place)
