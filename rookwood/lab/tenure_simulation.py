"""Holders of load orders in simulated time: elections, one-way cuts, freezes, kills, and late orders.

The replication group is reduced to what matters here: an epoch has one primary, a primary believes in itself
for the lease after its last confirmed round, and a successor needs a second machine. The decision when a
primary may order is the real one (`rookwood.controlplane.tenure.Tenure`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from rookwood.controlplane.tenure import Tenure
from rookwood.controlplane.worker_client import CALL_LIMIT
from rookwood.coordination.timing import Timing

STEP = 0.05
DURATION = 40.0
LEASE = 3.0
CONTACT = 3.0
THAW = 0.3
LINK_SILENCE = 1.4
MACHINES = 3
FAULT_CHANCE = 0.02  # a step
ORDER_CHANCE = 0.3
NEVER = -1e9


@dataclass(frozen=True, slots=True)
class SentOrder:
    """An order as the worker sees it."""

    at: float
    sender: int
    epoch: int
    in_touch: frozenset[int]  # the machines without trouble within the contact time, when it came


@dataclass(slots=True)
class Machine:
    """A control machine."""

    tenure: Tenure
    promised: int = 1
    heard: float = 0.0
    patience: float = 0.8
    frozen_until: float = NEVER
    troubled_at: float = NEVER
    thawed_at: float = NEVER
    epoch: int = 0
    since: float = 0.0
    confirmed_at: float = NEVER
    silent_since: dict[int, float] = field(default_factory=dict)

    def believes(self, now: float) -> bool:
        """Whether it takes itself for the primary."""
        return self.epoch > 0 and now - self.confirmed_at <= Timing.lease


class TenureSimulation:
    """One seed's run."""

    def __init__(self, seed: int, fenced: bool, make_tenure: Callable[[str, float, bool], Tenure]) -> None:
        self._random = Random(seed)
        self._fenced = fenced
        self.machines = [Machine(make_tenure(str(n), LEASE, fenced)) for n in range(MACHINES)]
        self._cuts: dict[tuple[int, int], float] = {}
        self._pending: list[SentOrder] = []
        self.orders: list[SentOrder] = []
        self._now = 0.0
        for number, machine in enumerate(self.machines):
            for peer in range(MACHINES):
                if peer != number:
                    machine.tenure.link_opened(str(peer))
        self._lead(0, 1)

    def run(self) -> None:
        """Play the whole duration."""
        while self._now < DURATION:
            self._now += STEP
            self._inject_faults()
            for number in range(MACHINES):
                if not self._frozen(number):
                    self._act(number)
            self._watch_links()
            self._deliver()

    def broken(self) -> str | None:
        """The first break of the rule for holders, if any.

        Each change of holder counts as a turn; where workers check fences, if both are in touch all the time.
        """
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            both = {before.sender, after.sender}
            counts = not self._fenced or both <= before.in_touch & after.in_touch
            if counts and before.sender != after.sender and after.at - before.at < LEASE:
                return f"{before} and {after} within the lease"
            if after.epoch < before.epoch and not self._fenced:
                return f"{after} under an older fence than {before}"
        return None

    def _inject_faults(self) -> None:
        if self._random.random() > FAULT_CHANCE:
            return
        victim = self._random.randrange(MACHINES)
        until = self._now + self._random.uniform(0.3, 6.0)
        kind = self._random.choice(("freeze", "cut", "one_way_out", "one_way_in", "kill", "reset", "depose"))
        if kind == "depose":
            self._depose(victim)
            return
        others = [number for number in range(MACHINES) if number != victim]
        self.machines[victim].troubled_at = self._now
        if kind == "freeze":
            self.machines[victim].frozen_until = until
        elif kind == "kill":
            self._kill(victim)
        elif kind == "reset":
            self._reset(victim)
        for other in others:
            if kind in ("cut", "one_way_out"):
                self._cuts[victim, other] = until
            if kind in ("cut", "one_way_in"):
                self._cuts[other, victim] = until

    def _depose(self, successor: int) -> None:
        """A machine is elected though the primary is well: a transfer, or a second candidate."""
        reached = [n for n in range(MACHINES) if self._passes(successor, n) and self._passes(n, successor)]
        if len(reached) < MACHINES or self._frozen(successor) or self.machines[successor].epoch:
            return
        epoch = max(machine.promised for machine in self.machines) + 1
        for machine in self.machines:
            machine.promised, machine.epoch, machine.heard = epoch, 0, self._now
        self._lead(successor, epoch)

    def _kill(self, victim: int) -> None:
        """The process ends and is back at once; it knows nothing of earlier holders."""
        machine = self.machines[victim]
        machine.epoch = 0
        machine.heard = self._now
        machine.tenure = type(machine.tenure)(str(victim), LEASE, self._fenced)
        self._pending = [order for order in self._pending if order.sender != victim]
        self._reset(victim)

    def _reset(self, victim: int) -> None:
        for number, machine in enumerate(self.machines):
            if number != victim:
                for one, other in ((machine, victim), (self.machines[victim], number)):
                    one.tenure.link_closed(str(other), self._now)
                    one.tenure.link_opened(str(other))

    def _frozen(self, number: int) -> bool:
        machine = self.machines[number]
        if machine.frozen_until > self._now:
            machine.troubled_at = self._now
            return True
        if machine.frozen_until != NEVER:
            machine.frozen_until = NEVER
            machine.thawed_at = self._now
        return False

    def _passes(self, sender: int, receiver: int) -> bool:
        if self._cuts.get((sender, receiver), NEVER) > self._now:
            self.machines[sender].troubled_at = self.machines[receiver].troubled_at = self._now
            return False
        return self.machines[receiver].frozen_until <= self._now

    def _act(self, number: int) -> None:
        machine = self.machines[number]
        if machine.believes(self._now):
            self._beat(number)
        else:
            machine.epoch = 0
            if self._now - machine.heard > machine.patience:
                self._stand(number)
        if machine.believes(self._now) and machine.tenure.may_issue_orders(
            machine.epoch, machine.since, self._now
        ):
            self._order(number)

    def _beat(self, number: int) -> None:
        machine = self.machines[number]
        for other, peer in enumerate(self.machines):
            if other == number or not self._passes(number, other):
                continue
            if peer.promised <= machine.epoch:
                peer.promised = machine.epoch
                peer.heard = self._now
                if peer.epoch < machine.epoch:
                    peer.epoch = 0
                peer.tenure.record_primary(str(number), machine.epoch, self._now)
                if self._passes(other, number):
                    machine.confirmed_at = self._now
            elif self._passes(other, number):
                machine.epoch = 0
                machine.heard = self._now
                return

    def _stand(self, number: int) -> None:
        machine = self.machines[number]
        machine.heard = self._now
        machine.patience = 0.7 + self._random.random() * 0.4
        for other, peer in enumerate(self.machines):
            if other == number or not (self._passes(number, other) and self._passes(other, number)):
                continue
            if peer.believes(self._now) or self._now - peer.heard < Timing.primary_silence:
                continue
            epoch = max(machine.promised, peer.promised) + 1
            peer.promised = epoch
            peer.heard = self._now
            self._lead(number, epoch)
            return

    def _lead(self, number: int, epoch: int) -> None:
        machine = self.machines[number]
        machine.promised = machine.epoch = epoch
        machine.since = machine.confirmed_at = self._now
        machine.tenure.record_primary(str(number), epoch, self._now)

    def _order(self, number: int) -> None:
        if self._random.random() > ORDER_CHANCE:
            return
        machine = self.machines[number]
        late = self._random.choice((0.0, CALL_LIMIT / 2, CALL_LIMIT))
        self._pending.append(SentOrder(self._now + late, number, machine.epoch, frozenset()))

    def _watch_links(self) -> None:
        for number, machine in enumerate(self.machines):
            if machine.frozen_until > self._now:
                continue
            for peer in range(MACHINES):
                if peer == number:
                    continue
                if self._passes(peer, number) and self._passes(number, peer):
                    if machine.silent_since.pop(peer, None) is not None:
                        machine.tenure.link_opened(str(peer))
                elif self._now - machine.silent_since.setdefault(peer, self._now) > LINK_SILENCE:
                    machine.tenure.link_closed(str(peer), self._now)

    def _deliver(self) -> None:
        waiting = []
        for order in self._pending:
            sender = self.machines[order.sender]
            if order.at > self._now or sender.frozen_until > self._now:
                waiting.append(order)
            elif self._now - sender.thawed_at > THAW + STEP or order.at > sender.thawed_at:
                self.orders.append(SentOrder(self._now, order.sender, order.epoch, self._in_touch()))
        self._pending = waiting

    def _in_touch(self) -> frozenset[int]:
        calm = (n for n, machine in enumerate(self.machines) if self._now - machine.troubled_at > CONTACT)
        return frozenset(calm)
