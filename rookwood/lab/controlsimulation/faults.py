"""What each kind of fault does to the simulated machines and their network."""

from collections.abc import Callable
from random import Random

from rookwood.coordination.document import Configuration, Document, Member
from rookwood.lab.controlsimulation.network import Network
from rookwood.lab.controlsimulation.plan import AnyFault, Fault, TriggeredFault
from rookwood.lab.controlsimulation.processes import Processes
from rookwood.lab.controlsimulation.world import Disk, Machine, World

EARLIEST_RESTART = 0.05
RESTART_AT_ONCE = 0.005

Action = Callable[[Random], None]
TargetedAction = Callable[[Machine], None]


class Faults:
    """Carries out faults; what is drawn for one comes from the generator that it is given."""

    def __init__(self, world: World, processes: Processes, network: Network) -> None:
        self._world = world
        self._engine = world.engine
        self._processes = processes
        self._network = network
        self._actions: dict[AnyFault, Action] = {
            Fault.KILL: self._kill,
            Fault.KILL_ALL: self._kill_all,
            Fault.POWER_ALL: self._power_all,
            Fault.FREEZE: self._freeze,
            Fault.CUT: self._cut,
            Fault.CUT_PAIR: self._cut_pair,
            Fault.PARTITION: self._partition,
            Fault.LOSS: self._loss,
            Fault.DISK_SLOW: self._disk_slow,
            Fault.DISK_STALL: self._disk_stall,
            Fault.DISK_FULL: self._disk_full,
            Fault.WIPE: self._wipe,
            Fault.REPLACE: self._replace,
            Fault.TRANSFER: self._transfer,
            Fault.SIDES_CHANGED: self._sides_changed,
            TriggeredFault.KILL_ALL_THEN_POWER_LOSS: self._kill_all_then_power_loss,
        }
        self._targeted: dict[AnyFault, Callable[[Random, Machine], None]] = {
            TriggeredFault.POWER_LOSS: self._power_loss,
            TriggeredFault.UNSYNCED_COPY_LOST: self._lose_unsynced_copy,
        }

    def strike(self, kind: AnyFault, target: str | None, random: Random) -> None:
        """Carry out one fault."""
        if target is None:
            self._actions[kind](random)
        else:
            self._targeted[kind](random, self._world.machines[target])

    def _victim(self, random: Random) -> Machine:
        primaries = self._world.primaries()
        if primaries and random.random() < 0.5:
            return random.choice(primaries)
        return random.choice(self._world.present())

    def _until(self, random: Random, shortest: float) -> float:
        return self._world.now + random.uniform(shortest, self._world.plan.longest)

    def _boot_within(self, random: Random, ip: str, latest: float) -> None:
        self._processes.boot_after(ip, random.uniform(EARLIEST_RESTART, latest))

    # Processes and power

    def _kill(self, random: Random) -> None:
        victim = self._victim(random)
        self._processes.kill(victim.ip, power=random.random() < 0.4)
        self._boot_within(random, victim.ip, 3.0)

    def _kill_all(self, random: Random) -> None:
        for machine in self._world.present():
            self._processes.kill(machine.ip)
            self._boot_within(random, machine.ip, 1.0)

    def _power_all(self, random: Random) -> None:
        if self._world.healed:
            return
        wiped = self._victim(random) if random.random() < 0.5 and self._may_lose_storage() else None
        for machine in self._world.present():
            if machine is wiped:
                self._processes.wipe(machine.ip)
            else:
                self._processes.kill(machine.ip, power=True)
            self._boot_within(random, machine.ip, 1.0)

    def _power_loss(self, random: Random, victim: Machine) -> None:
        if self._world.healed or victim.removed:
            return
        self._processes.kill(victim.ip, power=True)
        self._boot_within(random, victim.ip, 0.2)

    def _kill_all_then_power_loss(self, random: Random) -> None:
        for machine in self._world.present():
            self._processes.kill(machine.ip)
            self._processes.boot_after(machine.ip, 0.02)
        self._engine.at(self._world.now + random.uniform(0.4, 0.9), lambda: self._power_all(random))

    def _freeze(self, random: Random) -> None:
        victim = self._victim(random)
        victim.frozen_since = self._world.now
        victim.frozen_until = self._until(random, 0.3)
        self._engine.note(f"freeze {victim.ip}")

    def _transfer(self, random: Random) -> None:
        for machine in self._world.present():
            if self._world.is_primary(machine):
                self._engine.note(f"transfer {machine.ip}")
                self._processes.input(machine.ip, machine.life, lambda replica, now: replica.transfer(now))
                self._restart_after_transfer(random, machine.ip)

    def _restart_after_transfer(self, random: Random, ip: str) -> None:
        def restart() -> None:
            if not self._world.machines[ip].removed:
                self._processes.kill(ip)
                self._boot_within(random, ip, 1.0)

        self._engine.at(self._world.now + 0.2, restart)

    # Storage

    def _lose_unsynced_copy(self, random: Random, victim: Machine) -> None:
        """Kill a backup before its sync, let it come back, then take its power and cut the primary off."""
        primaries = [machine.ip for machine in self._world.primaries()]
        if victim.removed or not primaries:
            return
        others = [ip for ip in self._world.machines if ip not in (victim.ip, primaries[0])]
        self._network.cut_between(primaries, others, 3.0)
        self._processes.kill(victim.ip)
        self._processes.boot_after(victim.ip, RESTART_AT_ONCE)

        def lose() -> None:
            if not self._world.healed:
                self._network.cut_between(primaries, [victim.ip], 3.0)
                self._power_loss(random, victim)

        self._engine.at(self._world.now + 0.3, lose)

    def _wipe(self, random: Random) -> None:
        if self._may_lose_storage():
            victim = self._victim(random)
            self._processes.wipe(victim.ip)
            self._boot_within(random, victim.ip, 2.0)

    def _replace(self, random: Random) -> None:
        if not self._may_lose_storage():
            return
        victim = self._victim(random)
        self._processes.kill(victim.ip)
        victim.removed = True
        ip = self._world.new_address()
        self._world.add_machine(ip, bootstrap=False).lost_storage = True
        self._boot_within(random, ip, 1.5)
        self._engine.note(f"replace {victim.ip} by {ip}")

    def _may_lose_storage(self) -> bool:
        """Tell whether a further storage may be lost: what the plan tolerates, and the members bear.

        A group that has not grown to `2 * tolerate + 1` members yet bears the loss of less than half of them.
        """
        if self._count_lost(self._configured_addresses()) >= self._world.plan.tolerate:
            return False
        newest = self._newest_configuration()
        sets = [members for members in (newest.members, newest.outgoing) if members]
        return all(
            self._count_lost({member.ip for member in members}) < (len(members) - 1) // 2 for members in sets
        )

    def _count_lost(self, addresses: set[str]) -> int:
        machines = self._world.machines
        return sum(machines[ip].removed or machines[ip].lost_storage for ip in addresses)

    def _newest_configuration(self) -> Configuration:
        """Return the members that the newest document names; the first ones while there is none."""
        visible = [machine.disk.visible for machine in self._world.machines.values()]
        documents = [record.document for record in visible if record is not None]
        newest = max(documents, key=lambda document: document.position, default=Document())
        first = Configuration(tuple(Member(ip) for ip in self._world.seeds))
        return newest.configuration if newest.configuration.members else first

    def _configured_addresses(self) -> set[str]:
        addresses = set(self._world.seeds) if not self._world.committed else set()
        for machine in self._world.present():
            if machine.disk.visible is not None:
                addresses.update(machine.disk.visible.document.configuration.all_addresses())
        return addresses

    # Network

    def _cut(self, random: Random) -> None:
        victim = self._victim(random)
        until = self._until(random, 0.5)
        one_way = random.random() < 0.2
        for ip in self._world.machines:
            self._network.cut(ip, victim.ip, until)
            if not one_way:
                self._network.cut(victim.ip, ip, until)
        self._engine.note(f"cut {victim.ip}")

    def _cut_pair(self, random: Random) -> None:
        first, second = self._victim(random).ip, self._victim(random).ip
        self._network.cut_both_ways(first, second, self._until(random, 0.5))
        self._engine.note(f"cut {first} {second}")

    def _partition(self, random: Random) -> None:
        side = {ip for ip in self._world.machines if random.random() < 0.5}
        until = self._until(random, 0.5)
        for first in side:
            for second in self._world.machines.keys() - side:
                self._network.cut_both_ways(first, second, until)
        self._engine.note(f"partition {sorted(side)}")

    def _loss(self, random: Random) -> None:
        self._network.lose_messages(self._world.now + random.uniform(0.5, 3.0))
        self._processes.tell_disconnected(self._victim(random).ip)
        self._engine.note("loss")

    def _sides_changed(self, random: Random) -> None:
        """Cut the primary off until another is elected; then empty a voter that only the first reaches."""
        primaries = self._world.primaries()
        if not primaries:
            return
        first = primaries[0].ip
        others = [ip for ip in self._world.machines if ip != first]
        self._network.cut_between([first], others, self._world.plan.longest)
        moment = self._world.now + random.uniform(0.8, 2.0)
        self._engine.at(moment, lambda: self._change_sides(random, others))

    def _change_sides(self, random: Random, others: list[str]) -> None:
        machines = self._world.machines
        seconds = [ip for ip in others if self._world.is_primary(machines[ip])]
        voters = [ip for ip in others if ip not in seconds]
        if self._world.healed or not seconds or not voters or not self._may_lose_storage():
            return
        victim = random.choice(voters)
        if machines[victim].removed:
            return
        self._network.mend_cuts()
        self._network.cut_between(seconds, list(machines), self._world.plan.longest)
        self._processes.wipe(victim)
        self._processes.boot_after(victim, RESTART_AT_ONCE)

    # Disks

    def _disk_slow(self, random: Random) -> None:
        disk = self._victim(random).disk
        disk.sync_time = random.uniform(0.05, 0.6)

        def recover() -> None:
            disk.sync_time = self._world.plan.sync_time

        self._engine.at(self._world.now + random.uniform(1.0, 4.0), recover)
        self._engine.note("disk slow")

    def _disk_stall(self, random: Random) -> None:
        victim = self._victim(random)
        victim.disk.stalled_until = self._world.now + random.uniform(0.5, 4.0)
        self._engine.note(f"disk stall {victim.ip}")

    def _disk_full(self, random: Random) -> None:
        victim = self._victim(random)
        disk: Disk = victim.disk
        disk.full = True

        def make_room() -> None:
            disk.full = False

        self._engine.at(self._world.now + random.uniform(0.5, 4.0), make_room)
        self._engine.note(f"disk full {victim.ip}")
