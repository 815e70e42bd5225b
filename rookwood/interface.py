"""Everything that passes between a dispatcher and ``rookwood.policy.Policy``: types alone.

Times are integer microseconds on one clock that only advances. An optional value that is
absent is ``None``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """How far a request of a class may be sent again once an attempt may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which workers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


class WorkerListKind(Enum):
    """What a worker list is: changes, the whole list, the list kept from before, or a failed call."""

    CHANGES = "incr"
    FULL = "total"
    CACHED = "warm_copy"
    LOST = "lost"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "Ok"
    FAILED = "Failed"
    QUEUE_FULL = "QueueFull"
    TIMED_OUT = "TimedOut"
    CONNECT_FAILED = "ConnectError"
    RESET = "ResetByPeer"
    CANCELLED = "Canceled"
    IGNORED = "Ignored"


NEVER_RAN = frozenset({Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.IGNORED})
"""Endings that prove the attempt had no effect."""


# ---- settings ----


@dataclass(frozen=True, slots=True)
class JobClass:
    name: str
    aim: int  # an answer within aim + stretch x work is in time
    give_up: int
    worth: float
    repeat: RetrySafety
    group: DeduplicationScope = DeduplicationScope.ALL
    window: int = 0  # how long repeats of a keyed request are dropped
    stretch: float = 0.0
    kind: str | None = None  # the only kind of machine that runs it
    sequential: bool = False  # requests with one key run one at a time, in order of arrival


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    allowance_per_s: float  # over all dispatchers


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1
    me: int = 0  # number of this one among them
    zone: str = ""
    tick: int = 1000
    subscribe: bool = False  # discovery speaks only after a Subscribe
    max_attempts: int = 3
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    worst_class: float = 0.0  # what the class served worst counts for, as a multiple of all together
    crossing: float = 1.0  # price of a request that crosses zones, as a part of a request; unsaid, it is dear
    tells_start: bool = False
    cold_share: float = 1.0  # part of its capacity that a worker starts with, at least
    warm_up: int = 0
    fall_multiple: float = 1.0
    fall_window: int = 1_000_000
    order_settle: int = 0  # a sequential key rests this long after an attempt that may still run
    cancel: bool = False  # Cancel is permitted
    marks_retry: bool = False  # clients mark their repeats
    probes: bool = False  # Probe is permitted, and brings load reports
    peers: bool = False  # SendHints is permitted, and brings `HintsReceived` to the others

    def __post_init__(self) -> None:
        """A setting out of its range is an error at the start, not a wrong decision at night."""
        names = [c.name for c in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("settings: two classes have one name")
        for count in ("dispatchers", "tick", "max_attempts"):
            if getattr(self, count) < 1:
                raise ValueError(f"settings: {count} must be 1 or more")
        if not 0 <= self.me < self.dispatchers:
            raise ValueError("settings: me is no number of a dispatcher")
        amounts: dict[str, float] = {"worst_class": self.worst_class, "crossing": self.crossing}
        amounts |= {"warm_up": self.warm_up, "order_settle": self.order_settle}
        amounts |= {"fall_window": self.fall_window, "fall_multiple": self.fall_multiple}
        for c in self.classes:
            amounts |= {f"{c.name}.aim": c.aim, f"{c.name}.give_up": c.give_up, f"{c.name}.window": c.window}
            amounts |= {f"{c.name}.worth": c.worth, f"{c.name}.stretch": c.stretch}
        amounts |= {f"{t.name}.allowance_per_s": t.allowance_per_s for t in self.tenants}
        for name, value in amounts.items():
            if value < 0:
                raise ValueError(f"settings: {name} is negative")
        for name, part in {"cold_share": self.cold_share, "over_share_worth": self.over_share_worth}.items():
            if not 0 <= part <= 1:
                raise ValueError(f"settings: {name} is no fraction")


# ---- what may be asked at any time ----


@dataclass(frozen=True, slots=True)
class ClusterHealth:
    """How the decisions see the list."""

    listed: int
    avoided: int  # of these: jobs do not go there now, or hardly


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """How full the workers are, by what is known here; for a front that may pass requests on."""

    slots: float  # of the workers that take jobs, by warmth and trust
    used_slots: float  # slots taken there, and waited for in their queues: own attempts and others'
    held_slots: float  # slots that requests held here would take
    mean_service_s: Mapping[str, float]  # seconds that a job of a class runs, on the mean


# ---- between dispatchers ----


class Word(Enum):
    """What one dispatcher tells another of a worker."""

    SENT = 1  # a job went there
    ENDED = 2  # and is over
    BAD = 3  # and is over, by the worker's fault
    SICK = 4  # it is silent, or answers no probe
    ASK = 5  # how full is it?
    LOAD = 6  # so full, but for the jobs of who asked


@dataclass(frozen=True, slots=True)
class Hint:
    """May come late, twice, or never; it can make a dispatcher more careful and breaks no rule."""

    worker: str
    word: Word
    slots: float = 0.0
    faults: float = 0.0  # part of its jobs that lately ended by its fault; told with `LOAD`


# ---- events ----


@dataclass(frozen=True, slots=True)
class Worker:
    id: str
    health: Health = Health.SERVING
    size: float = 1.0  # no unit; compare with other workers
    cell: int = 0
    kind: str = ""
    zone: str = ""
    started_at: int | None = None


@dataclass(frozen=True, slots=True)
class WorkersChanged:
    how: WorkerListKind
    workers: tuple[Worker, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    job_class: str
    time_left: int
    slots: float = 1.0
    memory: float | None = None
    work_hint: int | None = None
    key: int | None = None
    tenant: str | None = None
    is_retry: bool = False  # told only where clients mark their repeats


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """A sign of life of an attempt: its job started, made progress, or its stream began."""

    request: int
    attempt: int
    worker: str
    started: bool
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    request: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int
    worker: str
    ending: Outcome
    latency: int
    done: bool
    load: Mapping[str, float] | None = None  # outstanding, backlog, x0 (free slots); others ignored


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What came of one Probe."""

    worker: str
    ending: Outcome
    load: Mapping[str, float] | None = None  # as in Outcome


@dataclass(frozen=True, slots=True)
class HintsReceived:
    """Another dispatcher said this."""

    sender: int
    hints: tuple[Hint, ...]


Event = (
    WorkersChanged
    | Request
    | Timer
    | AttemptProgress
    | RequestAbandoned
    | AttemptEnded
    | ProbeResult
    | HintsReceived
)


# ---- actions ----


@dataclass(frozen=True, slots=True)
class Send:
    request: int
    worker: str
    timeout: int = 0  # 0: until the client stops waiting


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: a new try does no harm."""

    request: int
    retry_after: int = 0  # advice: how long to keep away; 0: none


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing about the effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up on an attempt that is out, also after the request's end."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker for its load report."""

    worker: str


@dataclass(frozen=True, slots=True)
class SendHints:
    """To these dispatchers, by their numbers."""

    to: tuple[int, ...]
    hints: tuple[Hint, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Reject | Fail | Cancel | Probe | SendHints | SetTimer | Subscribe | Log
