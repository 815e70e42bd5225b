"""The simulated network: delay, loss, doubling and cuts."""

from collections.abc import Iterable

from rookwood.coordination.codec import decode_message, encode_message
from rookwood.coordination.messages import Message
from rookwood.coordination.transport import SILENCE_LIMIT
from rookwood.lab.controlsimulation.processes import Processes
from rookwood.lab.controlsimulation.world import Machine, World

SHORTEST_DELAY = 0.0005
LOSSY_DELAY = 0.3
LOSSY_DELAYED = 0.3
LOST, LOST_WHILE_LOSSY = 0.002, 0.25
DOUBLED, DOUBLED_WHILE_LOSSY = 0.01, 0.1


class Network:
    """Carries messages between processes."""

    def __init__(self, world: World, processes: Processes) -> None:
        self._world = world
        self._processes = processes
        self._cut_until: dict[tuple[str, str], float] = {}
        self._lossy_until = 0.0

    def cut(self, sender: str, receiver: str, until: float) -> None:
        """Lose what one machine sends to another, until a moment."""
        self._cut_until[(sender, receiver)] = until

    def cut_both_ways(self, first: str, second: str, until: float) -> None:
        """Lose what two machines send to each other, until a moment."""
        self.cut(first, second, until)
        self.cut(second, first, until)

    def cut_between(self, first: Iterable[str], second: Iterable[str], span: float) -> None:
        """Cut two groups of machines off from each other for a span."""
        first, second = list(first), list(second)
        for one in first:
            for other in second:
                self.cut_both_ways(one, other, self._world.now + span)
        self._world.engine.note(f"cut between {first} and {second}")

    def mend_cuts(self) -> None:
        """End all cuts."""
        self._cut_until.clear()

    def lose_messages(self, until: float) -> None:
        """Lose, delay and double many messages until a moment."""
        self._lossy_until = until

    def send(self, machine: Machine, to: str, message: Message) -> None:
        """Send a message of the life of a process."""
        random = self._world.random
        lossy = self._world.now < self._lossy_until
        if random.random() < (LOST_WHILE_LOSSY if lossy else LOST):
            return
        if self._is_cut(machine.ip, to) or to not in self._world.machines:
            return
        if self._world.plan.encode:
            message = decode_message(encode_message(message))
        copies = 2 if random.random() < (DOUBLED_WHILE_LOSSY if lossy else DOUBLED) else 1
        for _ in range(copies):
            late = lossy and random.random() < LOSSY_DELAYED
            longest = LOSSY_DELAY if late else self._world.plan.longest_delay
            self._deliver_after(random.uniform(SHORTEST_DELAY, longest), machine, to, message)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return self._cut_until.get((sender, receiver), 0.0) > self._world.now

    def _has_left(self, receiver: Machine) -> bool:
        """Tell whether senders have ended their links to a machine, which has stood still for too long.

        What they sent before waits for it, and is read when it goes on.
        """
        stands_still = receiver.frozen_until > self._world.now
        return stands_still and self._world.now - receiver.frozen_since > SILENCE_LIMIT

    def _deliver_after(self, delay: float, machine: Machine, to: str, message: Message) -> None:
        sender, incarnation = machine.ip, machine.incarnation

        def deliver() -> None:
            if self._is_cut(sender, to) or self._has_left(self._world.machines[to]):
                return
            self._processes.input(
                to,
                self._world.machines[to].life,
                lambda replica, now: replica.receive(sender, incarnation, message, now),
            )

        self._world.engine.at(self._world.now + delay, deliver)
