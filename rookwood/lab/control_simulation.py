"""Deterministic simulation of a control group: clock, network, disks and faults, all from one seed.

The replicas are the real ones of `rookwood.coordination`; only their surroundings are simulated. The
history of the operators' calls and every document seen as committed are checked on the way.
"""

import heapq
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from rookwood.coordination.codec import decode_message, encode_message
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, RoleChanged, Send
from rookwood.coordination.messages import Message, Promise, WriteAck
from rookwood.coordination.outcomes import (
    Committed,
    Confirmed,
    ConfirmOutcome,
    Declined,
    NotPrimary,
    Primary,
    ProposeOutcome,
    Snapshot,
)
from rookwood.coordination.replication import Replica
from rookwood.coordination.timing import Timing

MIN_TICK = 0.05
SEPARATOR = b","
CALL_LIMIT = 3.0
LONG_LEASE = Timing(lease=3.0, primary_silence=0.4, replace_after=0.8)
NO_FAVOUR = Timing(favour=0.0, pre_vote_favour=0.0)
MAX_TRIGGERED_FAULTS = 6
SHORTEST_DELAY = 0.0005
LOSSY_DELAY = 0.3


class InvariantError(Exception):
    """A promise of the protocol was broken; the text says which."""


class Fault(Enum):
    """Kinds of trouble."""

    KILL = auto()
    KILL_ALL = auto()
    POWER_ALL = auto()
    FREEZE = auto()
    CUT = auto()
    CUT_PAIR = auto()
    PARTITION = auto()
    LOSS = auto()
    DISK_SLOW = auto()
    DISK_STALL = auto()
    DISK_FULL = auto()
    WIPE = auto()
    REPLACE = auto()
    TRANSFER = auto()
    SIDES_CHANGED = auto()


@dataclass(frozen=True)
class Plan:
    """What one simulated history contains."""

    members: int = 3
    tolerate: int = 1
    spares: int = 0
    troubled: float = 6.0
    calm: float = 7.0
    faults: int = 8
    kinds: tuple[Fault, ...] = tuple(Fault)
    triggered: float = 0.0
    promise_loss_weight: float = 0.3
    unsynced_copy_weight: float = 0.0
    longest: float = 4.0
    sync_time: float = 0.004
    longest_delay: float = 0.003
    longest_pause: float = 0.0
    operator_pause: float = 0.15
    timing: Timing = Timing()
    encode: bool = False


def plan_of(seed: int) -> Plan:
    """Return the plan that belongs to a seed."""
    random = Random(seed * 7919 + 1)
    members = random.choice((3, 3, 3, 3, 5))
    kinds = random.sample(tuple(Fault), random.choice((2, 4, 6, len(Fault))))
    return Plan(
        members=members,
        tolerate=members // 2,
        spares=random.choice((0, 0, 1, 2)),
        faults=random.randint(2, 10),
        kinds=tuple(kinds),
        triggered=random.choice((0.0, 0.02, 0.05)),
        sync_time=random.choice((0.002, 0.005, 0.03)),
        operator_pause=random.choice((0.03, 0.1, 0.2)),
        timing=random.choice((Timing(), Timing(), LONG_LEASE, NO_FAVOUR)),
        encode=random.random() < 0.1,
    )


@dataclass
class Disk:
    """A disk with a cache: `visible` survives a killed process, only `durable` a loss of power."""

    sync_time: float
    durable: Record | None = None
    visible: Record | None = None
    full: bool = False
    stalled_until: float = 0.0


@dataclass
class Machine:
    """One simulated machine and the life of its process."""

    ip: str
    clock_offset: float
    disk: Disk
    replica: Replica | None = None
    life: int = 0
    incarnation: int = 0
    bootstrap: bool = True
    removed: bool = False
    lost_storage: bool = False
    frozen_until: float = 0.0
    tick_at: float = float("inf")
    snapshot: Snapshot = Snapshot(0, 0, b"")


@dataclass
class Call:
    """A call of an operator."""

    started_at: float
    acknowledged_before: int
    label: bytes | None


@dataclass
class Report:
    """What happened in one simulated history."""

    committed: int = 0
    declined: int = 0
    uncertain: int = 0
    confirmed: int = 0
    primaries: int = 0
    highest_epoch: int = 0
    events: int = 0
    digest: int = 0


def _holds_document(machine: Machine) -> bool:
    record = machine.disk.visible
    return record is not None and record.initialised


class Simulation:
    """One history, decided by its seed."""

    def __init__(self, seed: int, plan: Plan | None = None) -> None:
        self.plan = plan or plan_of(seed)
        self.random = Random(seed)
        self.now = 0.0
        self.report = Report()
        self.machines: dict[str, Machine] = {}
        self.trace: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._cut_pairs: dict[tuple[str, str], float] = {}
        self._loss_until = 0.0
        self._calls: dict[int, Call] = {}
        self._last_ticket = 0
        self._acknowledged: list[bytes] = []
        self._forbidden: set[bytes] = set()
        self._committed: dict[int, Snapshot] = {}
        self._primaries: dict[int, tuple[str, int]] = {}
        self._last_address = 0
        self._healed = False
        self._triggered = 0
        self._seeds = tuple(self._new_address() for _ in range(self.plan.members))

    def run(self) -> Report:
        """Play the history; raises `InvariantError` where a promise is broken."""
        self._start_machines()
        end_of_trouble = 1.5 + self.plan.troubled
        for _ in range(self.plan.faults):
            self.at(self.random.uniform(1.0, end_of_trouble), self._fault)
        self.at(1.0, self._operator)
        if self.plan.longest_pause:
            for ip in self._seeds:
                self._pause(ip)
        self._run_until(end_of_trouble)
        self._heal()
        self._run_until(end_of_trouble + self.plan.calm)
        self._check_end()
        return self.report

    # Events

    def at(self, moment: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._sequence += 1
        heapq.heappush(self._events, (moment, self._sequence, action))

    def _run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            self.report.events += 1
            action()
        self.now = end

    def _note(self, text: str) -> None:
        line = f"{self.now:.4f} {text}"
        self.trace.append(line)
        self.report.digest = zlib.crc32(line.encode(), self.report.digest)

    # Machines

    def _start_machines(self) -> None:
        for ip in self._seeds:
            self._add_machine(ip, bootstrap=True)
            self.at(self.random.uniform(0.0, 0.3), lambda ip=ip: self._boot(ip))  # type: ignore[misc]
        for _ in range(self.plan.spares):
            ip = self._new_address()
            self._add_machine(ip, bootstrap=True)
            self.at(self.random.uniform(0.0, 0.3), lambda ip=ip: self._boot(ip))  # type: ignore[misc]

    def _new_address(self) -> str:
        self._last_address += 1
        return f"10.0.0.{self._last_address}"

    def _add_machine(self, ip: str, bootstrap: bool) -> None:
        disk = Disk(sync_time=self.plan.sync_time)
        self.machines[ip] = Machine(ip, self.random.uniform(0.0, 1000.0), disk, bootstrap=bootstrap)

    def _boot(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.removed or machine.replica is not None:
            return
        machine.life += 1
        machine.incarnation = self.random.getrandbits(62)
        machine.snapshot = Snapshot(0, 0, b"")
        machine.tick_at = float("inf")
        machine.replica = Replica(
            ip=ip,
            incarnation=machine.incarnation,
            seeds=self._seeds_of_moment(),
            tolerate=self.plan.tolerate,
            record=self._found_record(machine),
            random=Random(self.random.getrandbits(62)),
            now=self._clock(machine),
            timing=self.plan.timing,
        )
        self._note(f"boot {ip}")
        self._tick(ip, machine.life)

    def _seeds_of_moment(self) -> tuple[str, ...]:
        """Return the seeds that a settings file written now would hold."""
        holding = [machine.ip for machine in self._running() if _holds_document(machine)]
        if self.now < 1.0 or not holding:
            return self._seeds
        return tuple(self.random.sample(holding, min(3, len(holding))))

    def _found_record(self, machine: Machine) -> Record | None:
        found = machine.disk.visible
        if found is None and machine.bootstrap and machine.ip in self._seeds:
            members = tuple(Member(ip) for ip in self._seeds)
            return Record(0, 0, True, Document(Position(), Configuration(members), b""))
        return found

    def _clock(self, machine: Machine) -> float:
        return self.now + machine.clock_offset

    def _kill(self, ip: str, power: bool = False) -> None:
        machine = self.machines[ip]
        if machine.replica is not None and not power:
            self._tell_disconnected(ip)
        machine.replica = None
        machine.frozen_until = 0.0
        if power and self.random.random() < 0.7:
            machine.disk.visible = machine.disk.durable
        if power:
            machine.disk.durable = machine.disk.visible
        self._note(f"{'power loss' if power else 'kill'} {ip}")

    def _tell_disconnected(self, peer: str) -> None:
        for machine in self._running():
            if machine.ip != peer and self.random.random() < 0.8:
                self._disconnect_later(machine, peer)

    def _disconnect_later(self, machine: Machine, peer: str) -> None:
        ip, life = machine.ip, machine.life
        self.at(
            self.now + 0.001,
            lambda: self._input(ip, life, lambda replica, now: replica.disconnected(peer, now)),
        )

    def _wipe(self, ip: str) -> None:
        self._kill(ip)
        machine = self.machines[ip]
        machine.disk = Disk(sync_time=self.plan.sync_time)
        machine.bootstrap = False
        machine.lost_storage = True
        self._note(f"wipe {ip}")

    def _input(self, ip: str, life: int, use: Callable[[Replica, float], list[Effect]]) -> None:
        machine = self.machines[ip]
        if machine.replica is None or machine.life != life:
            return
        if machine.frozen_until > self.now:
            self.at(machine.frozen_until, lambda: self._input(ip, life, use))
            return
        self._apply(machine, use(machine.replica, self._clock(machine)))

    def _tick(self, ip: str, life: int) -> None:
        machine = self.machines[ip]
        if machine.life == life:
            machine.tick_at = float("inf")
        self._input(ip, life, lambda replica, now: replica.tick(now))

    def _schedule_tick(self, machine: Machine) -> None:
        replica = machine.replica
        if replica is None:
            return
        wakeup = max(replica.next_wakeup() - machine.clock_offset, self.now + MIN_TICK)
        if wakeup < machine.tick_at:
            machine.tick_at = wakeup
            ip, life = machine.ip, machine.life
            self.at(wakeup, lambda: self._tick(ip, life))

    # Effects

    def _apply(self, machine: Machine, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(machine, effect.to, effect.message)
                case Persist():
                    self._persist(machine, effect)
                case Resolve():
                    self._resolve(effect.ticket, effect.outcome)
                case CommitApplied():
                    self._on_commit(machine, effect.snapshot)
                case RoleChanged():
                    self._on_role(machine, effect)
        self._schedule_tick(machine)

    def _send(self, machine: Machine, to: str, message: Message) -> None:
        lossy = self.now < self._loss_until
        if isinstance(message, Promise):
            self._trigger(self.plan.promise_loss_weight, lambda: self._fault_power_loss(machine))
        if isinstance(message, WriteAck):
            self._trigger(0.3, lambda: self._fault_power_loss(machine))
        if self.random.random() < (0.25 if lossy else 0.002):
            return
        if self._cut_pairs.get((machine.ip, to), 0.0) > self.now or to not in self.machines:
            return
        if self.plan.encode:
            message = decode_message(encode_message(message))
        copies = 2 if self.random.random() < (0.1 if lossy else 0.01) else 1
        for _ in range(copies):
            longest = LOSSY_DELAY if lossy and self.random.random() < 0.3 else self.plan.longest_delay
            delay = self.random.uniform(SHORTEST_DELAY, longest)
            self._deliver_after(delay, machine, to, message)

    def _deliver_after(self, delay: float, machine: Machine, to: str, message: Message) -> None:
        sender, incarnation = machine.ip, machine.incarnation

        def deliver() -> None:
            if self._cut_pairs.get((sender, to), 0.0) > self.now:
                return
            receiver = self.machines[to]
            self._input(
                to,
                receiver.life,
                lambda replica, now: replica.receive(sender, incarnation, message, now),
            )

        self.at(self.now + delay, deliver)

    def _persist(self, machine: Machine, effect: Persist) -> None:
        disk, life = machine.disk, machine.life
        begins = max(self.now, disk.stalled_until)
        duration = disk.sync_time * self.random.uniform(0.5, 1.5)

        def reach_cache() -> None:
            reaches = not disk.full or self.random.random() < 0.5
            if machine.disk is disk and machine.life == life and reaches:
                disk.visible = effect.record
                if self.plan.unsynced_copy_weight and not self._is_primary(machine):
                    fault = lambda: self._fault_lose_unsynced_copy(machine)  # noqa: E731
                    self._trigger(self.plan.unsynced_copy_weight, fault, latest=0.0)

        def finish() -> None:
            if machine.disk is disk and machine.life == life and machine.replica is not None:
                self._finish_write(machine, disk, effect)

        self.at(begins + duration * self.random.random(), reach_cache)
        self._trigger(0.05, self._fault_power_loss_after_kill)
        if effect.record.document.configuration.outgoing:
            self._trigger(4.0, self._fault_cut_pair)
            self._trigger(4.0, self._fault_kill)
        self.at(begins + duration, finish)

    def _finish_write(self, machine: Machine, disk: Disk, effect: Persist) -> None:
        succeeded = not disk.full and disk.visible == effect.record
        if succeeded:
            disk.durable = effect.record
            if effect.record.initialised:
                machine.lost_storage = machine.lost_storage and not self._is_admitted(machine, effect.record)
        stored = disk.visible
        self._input(
            machine.ip,
            machine.life,
            lambda replica, now: replica.persisted(effect.ticket, stored, succeeded, now),
        )

    def _is_admitted(self, machine: Machine, record: Record) -> bool:
        configuration = record.document.configuration
        return not configuration.outgoing and configuration.admits(Member(machine.ip, record.token))

    # Faults

    def _fault(self) -> None:
        if self._healed:
            return
        faults: dict[Fault, Callable[[], None]] = {
            Fault.KILL: self._fault_kill,
            Fault.KILL_ALL: self._fault_kill_all,
            Fault.POWER_ALL: self._fault_power_all,
            Fault.FREEZE: self._fault_freeze,
            Fault.CUT: self._fault_cut,
            Fault.CUT_PAIR: self._fault_cut_pair,
            Fault.PARTITION: self._fault_partition,
            Fault.LOSS: self._fault_loss,
            Fault.DISK_SLOW: self._fault_disk_slow,
            Fault.DISK_STALL: self._fault_disk_stall,
            Fault.DISK_FULL: self._fault_disk_full,
            Fault.WIPE: self._fault_wipe,
            Fault.REPLACE: self._fault_replace,
            Fault.TRANSFER: self._fault_transfer,
            Fault.SIDES_CHANGED: self._fault_sides_changed,
        }
        faults[self.random.choice(self.plan.kinds)]()

    def _trigger(self, weight: float, fault: Callable[[], None], latest: float = 0.02) -> None:
        """Start a fault within milliseconds of an event that is worth it."""
        if self._healed or self._triggered >= MAX_TRIGGERED_FAULTS:
            return
        if self.random.random() < self.plan.triggered * weight:
            self._triggered += 1
            self.at(self.now + self.random.uniform(0.0, latest), fault)

    def _running(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if not machine.removed]

    def _victim(self) -> Machine:
        primaries = [machine for machine in self._running() if self._is_primary(machine)]
        if primaries and self.random.random() < 0.5:
            return self.random.choice(primaries)
        return self.random.choice(self._running())

    def _is_primary(self, machine: Machine) -> bool:
        replica = machine.replica
        return replica is not None and isinstance(replica.role(self._clock(machine)), Primary)

    def _boot_later(self, ip: str, latest: float) -> None:
        self.at(self.now + self.random.uniform(0.05, latest), lambda: self._boot(ip))

    def _fault_kill(self) -> None:
        if self._healed:
            return
        victim = self._victim()
        self._kill(victim.ip, power=self.random.random() < 0.4)
        self._boot_later(victim.ip, 3.0)

    def _pause(self, ip: str) -> None:
        """Keep a process from running for a moment, again and again, as a busy machine does."""
        if self._healed:
            return
        machine = self.machines[ip]
        machine.frozen_until = self.now + self.random.uniform(0.0, self.plan.longest_pause)
        runs_until = machine.frozen_until + self.random.uniform(0.0, self.plan.longest_pause)
        self.at(runs_until, lambda: self._pause(ip))

    def _fault_kill_all(self) -> None:
        for machine in self._running():
            self._kill(machine.ip)
            self._boot_later(machine.ip, 1.0)

    def _fault_power_all(self) -> None:
        if self._healed:
            return
        wiped = self._victim() if self.random.random() < 0.5 and self._may_lose_storage() else None
        for machine in self._running():
            if machine is wiped:
                self._wipe(machine.ip)
            else:
                self._kill(machine.ip, power=True)
            self._boot_later(machine.ip, 1.0)

    def _fault_power_loss(self, victim: Machine) -> None:
        if self._healed or victim.removed:
            return
        self._kill(victim.ip, power=True)
        self._boot_later(victim.ip, 0.2)

    def _fault_lose_unsynced_copy(self, victim: Machine) -> None:
        """Kill a backup before its sync, let it come back, then take its power and cut the primary off."""
        primaries = [machine.ip for machine in self._running() if self._is_primary(machine)]
        if self._healed or victim.removed or not primaries:
            return
        others = [ip for ip in self.machines if ip not in (victim.ip, primaries[0])]
        self._cut_between(primaries, others, 3.0)
        self._kill(victim.ip)
        self.at(self.now + 0.005, lambda: self._boot(victim.ip))

        def lose() -> None:
            if not self._healed:
                self._cut_between(primaries, [victim.ip], 3.0)
                self._fault_power_loss(victim)

        self.at(self.now + 0.3, lose)

    def _cut_between(self, first: list[str], second: list[str], span: float) -> None:
        for one in first:
            for other in second:
                self._cut_pairs[(one, other)] = self.now + span
                self._cut_pairs[(other, one)] = self.now + span
        self._note(f"cut between {first} and {second}")

    def _fault_sides_changed(self) -> None:
        """Cut the primary off until another is elected; then empty a voter that only the first reaches."""
        primaries = [machine.ip for machine in self._running() if self._is_primary(machine)]
        if not primaries:
            return
        first = primaries[0]
        others = [ip for ip in self.machines if ip != first]
        self._cut_between([first], others, self.plan.longest)

        def change_sides() -> None:
            seconds = [ip for ip in others if self._is_primary(self.machines[ip])]
            voters = [ip for ip in others if ip not in seconds]
            if self._healed or not seconds or not voters or not self._may_lose_storage():
                return
            victim = self.random.choice(voters)
            if self.machines[victim].removed:
                return
            self._cut_pairs.clear()
            self._cut_between(seconds, list(self.machines), self.plan.longest)
            self._wipe(victim)
            self.at(self.now + 0.005, lambda: self._boot(victim))

        self.at(self.now + self.random.uniform(0.8, 2.0), change_sides)

    def _fault_power_loss_after_kill(self) -> None:
        if self._healed:
            return
        for machine in self._running():
            self._kill(machine.ip)
            self.at(self.now + 0.02, lambda ip=machine.ip: self._boot(ip))  # type: ignore[misc]
        self.at(self.now + self.random.uniform(0.4, 0.9), self._fault_power_all)

    def _fault_freeze(self) -> None:
        victim = self._victim()
        victim.frozen_until = self.now + self.random.uniform(0.3, self.plan.longest)
        self._note(f"freeze {victim.ip}")

    def _fault_cut(self) -> None:
        victim = self._victim()
        until = self.now + self.random.uniform(0.5, self.plan.longest)
        one_way = self.random.random() < 0.2
        for ip in self.machines:
            self._cut_pairs[(ip, victim.ip)] = until
            if not one_way:
                self._cut_pairs[(victim.ip, ip)] = until
        self._note(f"cut {victim.ip}")

    def _fault_cut_pair(self) -> None:
        if self._healed:
            return
        first, second = self._victim().ip, self._victim().ip
        until = self.now + self.random.uniform(0.5, self.plan.longest)
        self._cut_pairs[(first, second)] = until
        self._cut_pairs[(second, first)] = until
        self._note(f"cut {first} {second}")

    def _fault_partition(self) -> None:
        side = {ip for ip in self.machines if self.random.random() < 0.5}
        until = self.now + self.random.uniform(0.5, self.plan.longest)
        for first in side:
            for second in self.machines.keys() - side:
                self._cut_pairs[(first, second)] = until
                self._cut_pairs[(second, first)] = until
        self._note(f"partition {sorted(side)}")

    def _fault_loss(self) -> None:
        self._loss_until = self.now + self.random.uniform(0.5, 3.0)
        self._tell_disconnected(self._victim().ip)
        self._note("loss")

    def _fault_disk_slow(self) -> None:
        disk = self._victim().disk
        disk.sync_time = self.random.uniform(0.05, 0.6)
        self.at(
            self.now + self.random.uniform(1.0, 4.0), lambda: setattr(disk, "sync_time", self.plan.sync_time)
        )
        self._note("disk slow")

    def _fault_disk_stall(self) -> None:
        victim = self._victim()
        victim.disk.stalled_until = self.now + self.random.uniform(0.5, 4.0)
        self._note(f"disk stall {victim.ip}")

    def _fault_disk_full(self) -> None:
        victim = self._victim()
        disk = victim.disk
        disk.full = True
        self.at(self.now + self.random.uniform(0.5, 4.0), lambda: setattr(disk, "full", False))
        self._note(f"disk full {victim.ip}")

    def _fault_wipe(self) -> None:
        if self._may_lose_storage():
            victim = self._victim()
            self._wipe(victim.ip)
            self._boot_later(victim.ip, 2.0)

    def _fault_replace(self) -> None:
        if not self._may_lose_storage():
            return
        victim = self._victim()
        self._kill(victim.ip)
        victim.removed = True
        ip = self._new_address()
        self._add_machine(ip, bootstrap=False)
        self.machines[ip].lost_storage = True
        self._boot_later(ip, 1.5)
        self._note(f"replace {victim.ip} by {ip}")

    def _fault_transfer(self) -> None:
        for machine in self._running():
            if self._is_primary(machine):
                self._note(f"transfer {machine.ip}")
                self._input(machine.ip, machine.life, lambda replica, now: replica.transfer(now))
                ip = machine.ip
                self.at(self.now + 0.2, lambda ip=ip: self._restart(ip))  # type: ignore[misc]

    def _restart(self, ip: str) -> None:
        if not self.machines[ip].removed:
            self._kill(ip)
            self._boot_later(ip, 1.0)

    def _may_lose_storage(self) -> bool:
        lost = {
            ip
            for ip in self._configured_addresses()
            if self.machines[ip].removed or self.machines[ip].lost_storage
        }
        return len(lost) < self.plan.tolerate

    def _configured_addresses(self) -> set[str]:
        addresses = set(self._seeds) if not self._committed else set()
        for machine in self._running():
            if machine.disk.visible is not None:
                addresses.update(machine.disk.visible.document.configuration.everyone())
        return addresses

    def _heal(self) -> None:
        self._note("heal")
        self._healed = True
        self._cut_pairs.clear()
        self._loss_until = 0.0
        for machine in self._running():
            machine.disk.full = False
            machine.disk.sync_time = self.plan.sync_time
            machine.disk.stalled_until = 0.0
            machine.frozen_until = min(machine.frozen_until, self.now + 0.5)
            if machine.replica is None:
                self._boot_later(machine.ip, 1.0)

    # Operators

    def _operator(self) -> None:
        self.at(self.now + self.random.uniform(0.2, 1.8) * self.plan.operator_pause, self._operator)
        machines = [machine for machine in self._running() if machine.replica is not None]
        primaries = [machine for machine in machines if self._is_primary(machine)]
        if not machines:
            return
        choice = primaries if primaries and self.random.random() < 0.9 else machines
        machine = self.random.choice(choice)
        if self.random.random() < 0.25:
            self._confirm(machine)
        else:
            self._propose(machine)

    def _begin_call(self, label: bytes | None) -> int:
        self._last_ticket += 1
        self._calls[self._last_ticket] = Call(self.now, len(self._acknowledged), label)
        return self._last_ticket

    def _propose(self, machine: Machine) -> None:
        base = self._some_base()
        ticket = self._begin_call(b"%d" % (self._last_ticket + 1))
        label = self._calls[ticket].label
        assert label is not None

        def change(payload: bytes) -> bytes | Declined:
            if payload != base:
                return Declined(payload)
            return payload + label + SEPARATOR

        self._input(machine.ip, machine.life, lambda replica, now: replica.propose(ticket, change, now))
        self._limit_call(machine, ticket)

    def _confirm(self, machine: Machine) -> None:
        ticket = self._begin_call(None)
        self._input(machine.ip, machine.life, lambda replica, now: replica.confirm(ticket, now))
        self._limit_call(machine, ticket)

    def _limit_call(self, machine: Machine, ticket: int) -> None:
        ip, life = machine.ip, machine.life

        def end() -> None:
            if ticket in self._calls:
                del self._calls[ticket]
                self._input(ip, life, lambda replica, now: replica.abandon(ticket, now))

        self.at(self.now + CALL_LIMIT, end)

    def _some_base(self) -> bytes:
        if self._committed and self.random.random() < 0.8:
            return self._committed[max(self._committed)].payload
        snapshots = [machine.snapshot.payload for machine in self._running()]
        return self.random.choice(snapshots)

    def _resolve(self, ticket: int, outcome: ProposeOutcome | ConfirmOutcome) -> None:
        call = self._calls.pop(ticket, None)
        if call is None:
            return
        self._note(f"call {ticket} {type(outcome).__name__}")
        match outcome:
            case Committed():
                self.report.committed += 1
                assert call.label is not None
                self._check_contains_acknowledged(outcome.snapshot.payload, call)
                self._acknowledged.append(call.label)
                self._trigger(0.5, self._fault)
            case Declined():
                self.report.declined += 1
                assert isinstance(outcome.answer, bytes)
                self._check_contains_acknowledged(outcome.answer, call)
                self._forbid(call)
            case Confirmed():
                self.report.confirmed += 1
                self._check_contains_acknowledged(outcome.snapshot.payload, call)
            case NotPrimary():
                self._forbid(call)
            case _:
                self.report.uncertain += 1

    # Invariants

    def _forbid(self, call: Call) -> None:
        if call.label is None:
            return
        self._forbidden.add(call.label)
        newest = self._committed[max(self._committed)].payload if self._committed else b""
        self._check_not_forbidden(newest)

    def _check_not_forbidden(self, payload: bytes) -> None:
        if not self._forbidden.isdisjoint(payload.split(SEPARATOR)):
            self._fail("a refused change is in force")

    def _check_contains_acknowledged(self, payload: bytes, call: Call) -> None:
        present = set(payload.split(SEPARATOR))
        missing = [label for label in self._acknowledged[: call.acknowledged_before] if label not in present]
        if missing:
            self._fail(f"an answer lacks acknowledged changes {missing}")

    def _on_commit(self, machine: Machine, snapshot: Snapshot) -> None:
        previous = machine.snapshot
        if (snapshot.epoch, snapshot.sequence) <= (previous.epoch, previous.sequence):
            self._fail(f"{machine.ip} went back from {previous} to {snapshot}")
        machine.snapshot = snapshot
        known = self._committed.get(snapshot.sequence)
        if known is not None:
            if known != snapshot:
                self._fail(f"two documents committed at sequence {snapshot.sequence}: {known}, {snapshot}")
            return
        self._note(f"commit {machine.ip} {snapshot.epoch}.{snapshot.sequence}")
        self._committed[snapshot.sequence] = snapshot
        self._check_order(snapshot)
        self._check_not_forbidden(snapshot.payload)

    def _check_order(self, snapshot: Snapshot) -> None:
        earlier = [number for number in self._committed if number < snapshot.sequence]
        later = [number for number in self._committed if number > snapshot.sequence]
        if earlier:
            self._check_extends(self._committed[max(earlier)], snapshot)
        if later:
            self._check_extends(snapshot, self._committed[min(later)])

    def _check_extends(self, first: Snapshot, second: Snapshot) -> None:
        if not second.payload.startswith(first.payload):
            self._fail(f"history forked between {first} and {second}")

    def _on_role(self, machine: Machine, effect: RoleChanged) -> None:
        self._note(f"role {machine.ip} {type(effect.role).__name__}")
        if not isinstance(effect.role, Primary):
            return
        holder = (machine.ip, machine.incarnation)
        if self._primaries.setdefault(effect.role.epoch, holder) != holder:
            self._fail(f"epoch {effect.role.epoch} has two primaries")
        self.report.primaries = len(self._primaries)
        self.report.highest_epoch = max(self._primaries)
        self._trigger(4.0, self._fault)

    def _check_end(self) -> None:
        newest = self._committed[max(self._committed)] if self._committed else Snapshot(0, 0, b"")
        present = set(newest.payload.split(SEPARATOR))
        missing = [label for label in self._acknowledged if label not in present]
        if missing:
            self._fail(f"acknowledged changes {missing} are lost")
        primaries = [machine for machine in self._running() if self._is_primary(machine)]
        if len(primaries) != 1:
            self._fail(f"{len(primaries)} primaries after the calm")
        self._check_members(primaries[0])

    def _check_members(self, primary: Machine) -> None:
        assert primary.replica is not None
        behind = []
        for ip in primary.replica.members():
            machine = self.machines[ip]
            if machine.removed or machine.snapshot.sequence + 3 < primary.snapshot.sequence:
                behind.append(ip)
        if behind:
            self._fail(f"members {behind} did not catch up")

    def _fail(self, why: str) -> None:
        self._note(why)
        raise InvariantError(why)
