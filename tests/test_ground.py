"""Duties among real processes of the program, with faults between them: orders and counts are asserted."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from rookwood.conf import ConfError, load
from rookwood.lab.ground import Ground, Witness

LIMIT = 30.0  # seconds until a step is called hung


@contextlib.asynccontextmanager
async def ground(count: int = 3) -> AsyncIterator[tuple[Ground, Witness]]:
    made = Ground(count, seed=1, lease_ms=1500)  # far longer than a busy machine halts a process
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


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ("listen 127.0.0.1:1", "'member'|member"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nmember a 127.0.0.1:2", "named twice"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nrelay 127.0.0.1:2", "go together"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\nlease 20ms", "under 100ms"),
        ("listen 127.0.0.1:1\nmember a 127.0.0.1:1\ndrift 60%", "below 0.5"),
        ("listen 127.0.0.1:1\nmember a 10.0.0.1:1", "for loopback alone"),
    ],
)
def test_fault_of_the_section_is_named(tmp_path: Path, lines: str, told: str) -> None:
    place = tmp_path / "rookwood.conf"
    gateway = "site here\ngateway {\nlisten 127.0.0.1:0\nplaintext yes\n}\n"
    place.write_text(f"{gateway}duties {{\n{lines}\n}}\n")
    with pytest.raises(ConfError, match=told):
        load(place)
