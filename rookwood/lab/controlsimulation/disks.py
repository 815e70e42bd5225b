"""The simulated disks: a write reaches the cache, then is synced, unless something comes between."""

from collections.abc import Callable

from rookwood.coordination.document import Member, Record
from rookwood.coordination.effects import Persist
from rookwood.lab.controlsimulation.processes import Processes
from rookwood.lab.controlsimulation.world import Disk, Machine, World

FULL_DISK_TAKES_WRITE = 0.5


class Disks:
    """Carries out the durable writes of processes."""

    def __init__(self, world: World, processes: Processes, cached: Callable[[Machine], None]) -> None:
        self._world = world
        self._processes = processes
        self._cached = cached

    def begin(self, machine: Machine, effect: Persist, begun: Callable[[], None]) -> None:
        """Begin a write; `begun` is called between scheduling its two ends."""
        disk, life = machine.disk, machine.life
        random, engine = self._world.random, self._world.engine
        begins = max(self._world.now, disk.stalled_until)
        duration = disk.sync_time * random.uniform(0.5, 1.5)

        def reach_cache() -> None:
            reaches = not disk.full or random.random() < FULL_DISK_TAKES_WRITE
            if machine.disk is disk and machine.life == life and reaches:
                disk.visible = effect.record
                self._cached(machine)

        def finish() -> None:
            if machine.disk is disk and machine.life == life and machine.replica is not None:
                self._finish(machine, disk, effect)

        engine.at(begins + duration * random.random(), reach_cache)
        begun()
        engine.at(begins + duration, finish)

    def _finish(self, machine: Machine, disk: Disk, effect: Persist) -> None:
        succeeded = not disk.full and disk.visible == effect.record
        if succeeded:
            disk.durable = effect.record
            if effect.record.initialised:
                machine.lost_storage = machine.lost_storage and not _is_admitted(machine, effect.record)
        stored = disk.visible
        self._processes.input(
            machine.ip,
            machine.life,
            lambda replica, now: replica.persisted(effect.ticket, stored, succeeded, now),
        )


def _is_admitted(machine: Machine, record: Record) -> bool:
    configuration = record.document.configuration
    return not configuration.outgoing and configuration.has_member(Member(machine.ip, record.token))
