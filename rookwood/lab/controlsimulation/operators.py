"""Simulated operators: they change and read the configuration at any machine, and send again what was not
answered, as the product's interface has it (`rookwood.controlplane.operator_api`)."""

from dataclasses import dataclass
from random import Random

from rookwood.coordination.outcomes import Following, Primary
from rookwood.lab.controlsimulation.calls import Call, Calls, Operation
from rookwood.lab.controlsimulation.changes import make_change, read_payload
from rookwood.lab.controlsimulation.steps import SEED_BITS, OperationStep
from rookwood.lab.controlsimulation.world import Machine, World

FIRST_OPERATION_AT = 1.0
READS = 0.25
ASKS_PRIMARY = 0.5
KNOWS_NEWEST = 0.8
SENDS_AGAIN = 0.9
ANSWER_LOST = 0.1
MAX_ATTEMPTS = 4
SHORTEST_PATIENCE, LONGEST_PATIENCE = 0.3, 3.5
SHORTEST_PAUSE, LONGEST_PAUSE = 0.02, 0.4
ATTACH_PATIENCE = 0.7
ATTACH_POLL = 0.05
MAX_REDIRECTS = 4
REDIRECT_TIME = 0.004


@dataclass
class Attempt:
    """One request of an operation, at one machine and where that one refers it to."""

    operation: Operation
    began: float
    redirects: int = 0
    over: bool = False


class Operators:
    """Begins operations, one after another, whether or not earlier ones were answered."""

    def __init__(self, seed: int, world: World, calls: Calls) -> None:
        self._random = Random(f"{seed} operators")
        self._world = world
        self._engine = world.engine
        self._calls = calls
        self._last_number = 0

    def start(self) -> None:
        """Begin to make operations."""
        self._engine.at(FIRST_OPERATION_AT, self._begin_next)

    def _begin_next(self) -> None:
        now = self._world.now
        self._engine.at(
            now + self._random.uniform(0.2, 1.8) * self._world.plan.operator_pause, self._begin_next
        )
        self._last_number += 1
        self.play(OperationStep(now, self._last_number, self._random.getrandbits(SEED_BITS)))

    def play(self, step: OperationStep) -> None:
        """Begin an operation."""
        self._world.steps.append(step)
        random = Random(step.seed)
        reads = random.random() < READS
        change = None if reads else make_change(step.number, self._some_version(random))
        self._send(Operation(step.number, change, random))

    def _some_version(self, random: Random) -> int:
        if self._world.committed and random.random() < KNOWS_NEWEST:
            return read_payload(self._world.newest_committed().payload).version
        machine = random.choice(self._world.present())
        return read_payload(machine.snapshot.payload).version

    # Attempts

    def _send(self, operation: Operation) -> None:
        running = [machine for machine in self._world.present() if machine.replica is not None]
        if operation.finished or not running:
            return
        operation.attempts += 1
        self._world.report.sent_again += operation.attempts > 1
        operation.open_requests += 1
        attempt = Attempt(operation, self._world.now)
        patience = operation.random.uniform(SHORTEST_PATIENCE, LONGEST_PATIENCE)
        self._engine.at(self._world.now + patience, lambda: self._send_again(attempt))
        machine = self._choose(operation.random, running)
        self._ask(attempt, machine, machine.life)

    def _choose(self, random: Random, running: list[Machine]) -> Machine:
        primaries = self._world.primaries()
        if primaries and random.random() < ASKS_PRIMARY:
            return random.choice(primaries)
        return random.choice(running)

    def _send_again(self, attempt: Attempt) -> None:
        """Send the operation again, through whatever machine, as this attempt has no clear answer."""
        operation = attempt.operation
        if attempt.over or operation.finished:
            return
        attempt.over = True
        if operation.attempts >= MAX_ATTEMPTS or operation.random.random() >= SENDS_AGAIN:
            operation.finished = True
            self._calls.check_done_nothing(operation)
            return
        pause = operation.random.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)
        self._engine.at(self._world.now + pause, lambda: self._send(operation))

    def _on_answered(self, attempt: Attempt, is_clear: bool) -> None:
        operation = attempt.operation
        is_lost = operation.change is not None and operation.random.random() < ANSWER_LOST
        if not is_clear or is_lost:
            self._send_again(attempt)
            return
        attempt.over = True
        operation.finished = True

    # The interface of one machine

    def _ask(self, attempt: Attempt, machine: Machine, life: int) -> None:
        """Let a machine take a request: as primary, by a redirection, or by waiting for a primary."""
        replica = machine.replica
        if replica is None or machine.life != life:
            self._end_without_call(attempt)
            return
        if machine.frozen_until > self._world.now:
            self._engine.at(machine.frozen_until, lambda: self._ask(attempt, machine, life))
            return
        role = replica.role(self._world.clock(machine))
        if isinstance(role, Primary):
            call = Call(attempt.operation, lambda is_clear: self._on_answered(attempt, is_clear))
            attempt.operation.open_requests -= 1
            self._calls.begin(machine, call)
        elif isinstance(role, Following) and role.in_contact:
            self._redirect(attempt, role.primary)
        elif self._world.now > attempt.began + ATTACH_PATIENCE:
            self._end_without_call(attempt)
        else:
            self._engine.at(self._world.now + ATTACH_POLL, lambda: self._ask(attempt, machine, life))

    def _end_without_call(self, attempt: Attempt) -> None:
        operation = attempt.operation
        operation.open_requests -= 1
        self._send_again(attempt)
        self._calls.check_done_nothing(operation)

    def _redirect(self, attempt: Attempt, primary: str) -> None:
        attempt.redirects += 1
        machine = self._world.machines.get(primary)
        if attempt.redirects > MAX_REDIRECTS or machine is None or machine.removed:
            self._end_without_call(attempt)
            return
        life = machine.life
        self._engine.at(self._world.now + REDIRECT_TIME, lambda: self._ask(attempt, machine, life))
