"""What a simulated history contains: sizes, kinds of faults, speeds."""

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from rookwood.coordination.timing import Timing

LONG_LEASE = Timing(lease=3.0, primary_silence=0.4, replace_after=0.8)
NO_FAVOUR = Timing(favour=0.0, pre_vote_favour=0.0)


class Fault(Enum):
    """Kinds of faults."""

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


class TriggeredFault(Enum):
    """Kinds of faults that only strike right after an event that makes them worth it."""

    POWER_LOSS = auto()
    UNSYNCED_COPY_LOST = auto()
    KILL_ALL_THEN_POWER_LOSS = auto()


AnyFault = Fault | TriggeredFault


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
