"""Brings troubles upon a running stage, ends them, and keeps when each data plane was untroubled."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from rookwood.lab.soak.changes import ChangeSender
from rookwood.lab.soak.schedule import CONTROL_KINDS, KILL_ALL_KINDS, Trouble, TroubleKind
from rookwood.lab.systemstage.feed_relay import Direction, FeedRelay, FeedRelays
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage

SLOW_RATE = 20_000.0  # bytes/s
DELAY_S = 0.3


class DataPlaneHealth:
    """How many troubles a data plane or its links have, when the last one ended, and how often it started."""

    def __init__(self) -> None:
        self.troubles = 0
        self.life = 1
        self._sound_since = time.monotonic()

    def begin(self) -> None:
        """A trouble begins."""
        self.troubles += 1

    def end(self) -> None:
        """A trouble is over."""
        self.troubles -= 1
        self._sound_since = time.monotonic()

    @property
    def sound_since(self) -> float | None:
        """Since when it has had no trouble; None while it has one."""
        return None if self.troubles else self._sound_since


class TroubleMaker:
    """Plays a schedule on a stage."""

    def __init__(self, stage: SystemStage, sender: ChangeSender, feed_rate: float) -> None:
        self._stage = stage
        self._sender = sender
        self._feed_rate = feed_rate
        self._controls_away = 0
        self._controls_spared = (len(stage.control_planes) - 1) // 2  # so many may be away at once
        self.health = [DataPlaneHealth() for _ in stage.data_planes]

    async def play(self, schedule: Sequence[Trouble]) -> None:
        """Plays all troubles at their times; returns when the last one is over."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for trouble in schedule:
                group.create_task(self._play(trouble, began))

    async def _play(self, trouble: Trouble, began: float) -> None:
        await asyncio.sleep(began + trouble.at - time.monotonic())
        self._note_begin(trouble)
        await self._begin(trouble)
        await asyncio.sleep(trouble.seconds)
        await self._end(trouble)
        self._note_end(trouble)

    def _note_begin(self, trouble: Trouble) -> None:
        for health in self._disturbed(trouble):
            health.begin()
        self._controls_away += trouble.kind in CONTROL_KINDS

    def _note_end(self, trouble: Trouble) -> None:
        self._controls_away -= trouble.kind in CONTROL_KINDS
        for health in self._disturbed(trouble):
            health.end()

    def _disturbed(self, trouble: Trouble) -> list[DataPlaneHealth]:
        """The data planes that a trouble disturbs beyond what is there: all where it takes the majority."""
        if trouble.kind in KILL_ALL_KINDS:
            return self.health
        if trouble.kind in CONTROL_KINDS:
            return self.health if self._controls_away == self._controls_spared else []
        return [] if trouble.data is None else [self.health[trouble.data]]

    async def _begin(self, trouble: Trouble) -> None:
        match trouble.kind:
            case TroubleKind.KILL_CONTROL | TroubleKind.KILL_DATA:
                await self._machine(trouble).kill()
            case TroubleKind.KILL_ALL:
                await self._kill_all()
            case TroubleKind.KILL_ALL_AND_WIPE:
                await self._kill_all()
                self._machine(trouble).wipe()
            case TroubleKind.PAUSE_CONTROL | TroubleKind.PAUSE_DATA:
                self._machine(trouble).freeze()
            case TroubleKind.CUT:
                self._feed(trouble).cut()
            case TroubleKind.CUT_UP:
                self._feed(trouble).cut(Direction.UP)
            case TroubleKind.CUT_DOWN:
                self._feed(trouble).cut(Direction.DOWN)
            case TroubleKind.RESET:
                self._feed(trouble).reset()
            case TroubleKind.DELAY:
                self._feed(trouble).delay(DELAY_S)
            case TroubleKind.SLOW:
                self._relays(trouble).set_rate(SLOW_RATE)
            case TroubleKind.LOST_ANSWERS:
                self._sender.answers_lost = True

    async def _end(self, trouble: Trouble) -> None:
        match trouble.kind:
            case TroubleKind.KILL_CONTROL:
                await start_unless_running(self._machine(trouble))
            case TroubleKind.KILL_DATA:
                assert trouble.data is not None
                self.health[trouble.data].life += 1
                await start_unless_running(self._machine(trouble))
            case TroubleKind.KILL_ALL | TroubleKind.KILL_ALL_AND_WIPE:
                await self._start_all()
            case TroubleKind.PAUSE_CONTROL | TroubleKind.PAUSE_DATA:
                self._machine(trouble).thaw()
            case TroubleKind.SLOW:
                self._relays(trouble).set_rate(self._feed_rate)
            case TroubleKind.LOST_ANSWERS:
                self._sender.answers_lost = False
            case _:
                self._feed(trouble).heal()

    async def _kill_all(self) -> None:
        await asyncio.gather(*(machine.kill() for machine in self._stage.processes))

    async def _start_all(self) -> None:
        for health in self.health:
            health.life += 1
        await asyncio.gather(*(start_unless_running(machine) for machine in self._stage.processes))

    def _machine(self, trouble: Trouble) -> SystemProcess:
        if trouble.control is not None:
            return self._stage.control_planes[trouble.control]
        assert trouble.data is not None
        return self._stage.data_planes[trouble.data]

    def _relays(self, trouble: Trouble) -> FeedRelays:
        assert trouble.data is not None
        return self._stage.feed_relays[trouble.data]

    def _feed(self, trouble: Trouble) -> FeedRelay:
        assert trouble.control is not None
        return self._relays(trouble).relays[trouble.control]


async def start_unless_running(machine: SystemProcess) -> None:
    """Start a machine's process, unless the end of another trouble has done so."""
    if not machine.running:
        await machine.start()
