"""The processes of the simulated machines: start, end, inputs and timers."""

from collections.abc import Callable
from random import Random

from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import Effect
from rookwood.coordination.replication import Replica
from rookwood.lab.controlsimulation.world import NO_SNAPSHOT, Disk, Machine, World

MIN_TICK = 0.05
SETTINGS_WRITTEN_AT = 1.0  # from then on a settings file names members of the moment
RANDOM_BITS = 62
POWER_LOSES_CACHE = 0.7
HEARS_CONNECTION_CLOSE = 0.8

Input = Callable[[Replica, float], list[Effect]]
EffectHandler = Callable[[Machine, list[Effect]], None]


def _holds_document(machine: Machine) -> bool:
    record = machine.disk.visible
    return record is not None and record.initialised


class Processes:
    """Starts and ends processes, and gives them their inputs."""

    def __init__(self, world: World, handle_effects: EffectHandler) -> None:
        self._world = world
        self._engine = world.engine
        self._handle_effects = handle_effects

    def start_all(self) -> None:
        """Add the first machines and the spares, and start them within moments."""
        world = self._world
        for ip in world.seeds:
            self._add_and_start(ip)
        for _ in range(world.plan.spares):
            self._add_and_start(world.new_address())

    def _add_and_start(self, ip: str) -> None:
        self._world.add_machine(ip, bootstrap=True)
        self._engine.at(self._world.random.uniform(0.0, 0.3), lambda: self.boot(ip))

    def boot(self, ip: str) -> None:
        """Start the process of a machine, unless it runs."""
        world = self._world
        machine = world.machines[ip]
        if machine.removed or machine.replica is not None:
            return
        machine.life += 1
        machine.incarnation = world.random.getrandbits(RANDOM_BITS)
        machine.snapshot = NO_SNAPSHOT
        machine.tick_at = float("inf")
        machine.replica = Replica(
            ip=ip,
            incarnation=machine.incarnation,
            seeds=self._seeds_of_moment(),
            tolerate=world.plan.tolerate,
            record=self._found_record(machine),
            random=Random(world.random.getrandbits(RANDOM_BITS)),
            now=world.clock(machine),
            timing=world.plan.timing,
        )
        self._engine.note(f"boot {ip}")
        self._tick(ip, machine.life)

    def boot_after(self, ip: str, delay: float) -> None:
        """Start the process of a machine after a delay, unless it runs by then."""
        self._engine.at(self._world.now + delay, lambda: self.boot(ip))

    def kill(self, ip: str, power: bool = False) -> None:
        """End the process of a machine, or take its power."""
        world = self._world
        machine = world.machines[ip]
        if machine.replica is not None and not power:
            self.tell_disconnected(ip)
        machine.replica = None
        machine.frozen_until = 0.0
        if power and world.random.random() < POWER_LOSES_CACHE:
            machine.disk.visible = machine.disk.durable
        if power:
            machine.disk.durable = machine.disk.visible
        self._engine.note(f"{'power loss' if power else 'kill'} {ip}")

    def wipe(self, ip: str) -> None:
        """End the process of a machine and empty its disk."""
        self.kill(ip)
        machine = self._world.machines[ip]
        machine.disk = Disk(sync_time=self._world.plan.sync_time)
        machine.bootstrap = False
        machine.lost_storage = True
        self._engine.note(f"wipe {ip}")

    def tell_disconnected(self, peer: str) -> None:
        """Let most machines see that a peer closed its connection."""
        for machine in self._world.present():
            if machine.ip != peer and self._world.random.random() < HEARS_CONNECTION_CLOSE:
                self._disconnect_later(machine, peer)

    def _disconnect_later(self, machine: Machine, peer: str) -> None:
        ip, life = machine.ip, machine.life
        self._engine.at(
            self._world.now + 0.001,
            lambda: self.input(ip, life, lambda replica, now: replica.disconnected(peer, now)),
        )

    def pause_repeatedly(self, ip: str) -> None:
        """Keep a process from running for a moment, again and again, as a busy machine does."""
        world = self._world
        if world.healed:
            return
        machine = world.machines[ip]
        machine.frozen_since = world.now
        machine.frozen_until = world.now + world.random.uniform(0.0, world.plan.longest_pause)
        runs_until = machine.frozen_until + world.random.uniform(0.0, world.plan.longest_pause)
        self._engine.at(runs_until, lambda: self.pause_repeatedly(ip))

    def input(self, ip: str, life: int, use: Input) -> None:
        """Give an input to one life of a process; a frozen one takes it when it goes on."""
        world = self._world
        machine = world.machines[ip]
        if machine.replica is None or machine.life != life:
            return
        if machine.frozen_until > world.now:
            self._engine.at(machine.frozen_until, lambda: self.input(ip, life, use))
            return
        self._handle_effects(machine, use(machine.replica, world.clock(machine)))
        self._schedule_tick(machine)

    def _tick(self, ip: str, life: int) -> None:
        machine = self._world.machines[ip]
        if machine.life == life:
            machine.tick_at = float("inf")
        self.input(ip, life, lambda replica, now: replica.tick(now))

    def _schedule_tick(self, machine: Machine) -> None:
        replica = machine.replica
        if replica is None:
            return
        wakeup = max(replica.next_wakeup() - machine.clock_offset, self._world.now + MIN_TICK)
        if wakeup < machine.tick_at:
            machine.tick_at = wakeup
            ip, life = machine.ip, machine.life
            self._engine.at(wakeup, lambda: self._tick(ip, life))

    def _seeds_of_moment(self) -> tuple[str, ...]:
        """Return the seeds that a settings file written now would hold."""
        world = self._world
        holding = [machine.ip for machine in world.present() if _holds_document(machine)]
        if world.now < SETTINGS_WRITTEN_AT or not holding:
            return world.seeds
        return tuple(world.random.sample(holding, min(3, len(holding))))

    def _found_record(self, machine: Machine) -> Record | None:
        found = machine.disk.visible
        if found is None and machine.bootstrap and machine.ip in self._world.seeds:
            members = tuple(Member(ip) for ip in self._world.seeds)
            return Record(0, 0, True, Document(Position(), Configuration(members), b""))
        return found
