"""Events that a dispatcher passes to ``rookwood.policy.Policy``, actions that it gets back, and settings.

Times are integer microseconds on one clock that never runs back. An optional value that is absent is
``None``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """Whether a request of a class may be sent again once an attempt may have run.

    SAFE: always. KEYED: while workers drop duplicates by the request's key. UNSAFE: never.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which workers drop duplicates of a keyed request that one of them has run.

    ALL: every worker. ZONE, CELL: the workers of the same zone or cell.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    """The state of a worker, as discovery lists it."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


class WorkerListKind(Enum):
    """What a worker list is: changes, the full list, the list saved before a restart, or a failed call."""

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
"""Outcomes that prove that the attempt had no effect."""


# ---- settings ----


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of requests, with what a response is worth and when it may be sent again."""

    name: str
    aim: int  # a response within aim + stretch * service time is in time
    give_up: int  # time after which clients stop waiting
    worth: float  # of a response in time
    repeat: RetrySafety
    group: DeduplicationScope = DeduplicationScope.ALL
    window: int = 0  # how long workers drop duplicates of a keyed request
    stretch: float = 0.0
    kind: str | None = None  # the only kind of worker that runs it
    sequential: bool = False  # requests with one key run one at a time, in order of arrival


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the rate of requests up to which they have their full worth."""

    name: str
    allowance_per_s: float  # at all dispatchers together


@dataclass(frozen=True, slots=True)
class Settings:
    """What a policy needs to know of its deployment."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1
    me: int = 0  # the number of this dispatcher, from 0
    zone: str = ""
    tick: int = 1000  # resolution of the clock and of timers
    subscribe: bool = False  # discovery sends lists only after a Subscribe
    max_attempts: int = 3
    worth_by_work: bool = False  # the worth of a class counts for each unit of work, not for each request
    over_share_worth: float = 1.0  # factor on the worth of requests above a tenant's allowance
    worst_class: float = 0.0  # weight of the class served worst, as a multiple of all classes together
    crossing: float = 1.0  # price of sending to another zone, in requests; if high, the own zone comes first
    tells_start: bool = False  # workers report the start of a job
    cold_share: float = 1.0  # least part of its capacity with which a worker starts
    warm_up: int = 0  # time until a started worker has its full capacity
    fall_multiple: float = 1.0  # a worker fails if sent more than this multiple of its capacity in the window
    fall_window: int = 1_000_000
    order_settle: int = 0  # a sequential key pauses this long after an attempt that may still run
    cancel: bool = False  # Cancel is permitted
    marks_retry: bool = False  # clients mark their retries
    probes: bool = False  # Probe is permitted, and workers respond with load reports
    peers: bool = False  # SendHints is permitted, and the others get HintsReceived

    def __post_init__(self) -> None:
        """Reject a setting out of its range at the start, before it leads to wrong decisions."""
        names = [c.name for c in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("settings: two classes have one name")
        for count in ("dispatchers", "tick", "max_attempts"):
            if getattr(self, count) < 1:
                raise ValueError(f"settings: {count} must be 1 or more")
        if not 0 <= self.me < self.dispatchers:
            raise ValueError("settings: me is not the number of a dispatcher")
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
                raise ValueError(f"settings: {name} is not between 0 and 1")


# ---- state that can be read at any time ----


@dataclass(frozen=True, slots=True)
class ClusterHealth:
    """How many workers are listed, and how many of them the policy avoids."""

    listed: int
    avoided: int  # workers that get no requests or hardly any


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """How full the workers are, as far as the policy knows; for an extension that may forward requests."""

    slots: float  # of the serving workers, weighted by warm-up and trust
    used_slots: float  # slots of running and queued jobs there, of this dispatcher and others
    held_slots: float  # slots that the requests held here need
    mean_service_s: Mapping[str, float]  # by class


# ---- between dispatchers ----


class HintKind(Enum):
    """What a hint says about a worker. The values are sent to other dispatchers."""

    SENT = 1  # a job was sent there
    ENDED = 2  # a job sent there has ended
    FAILED = 3  # a job sent there has ended by the worker's fault
    SUSPECT = 4  # the worker is unresponsive
    LOAD_QUERY = 5  # requests a LOAD_REPORT about the worker
    LOAD_REPORT = 6  # the worker's load without the jobs of the dispatcher that queried it


@dataclass(frozen=True, slots=True)
class Hint:
    """What one dispatcher sends another about a worker's load or faults.

    It may arrive late, twice or never. It can make a dispatcher more careful, and no rule depends on it.
    """

    worker: str
    kind: HintKind
    slots: float = 0.0
    fault_rate: float = 0.0  # fraction of its recent jobs that ended by its fault; sent with LOAD_REPORT


# ---- events ----


@dataclass(frozen=True, slots=True)
class Worker:
    """An entry of the worker list."""

    id: str
    health: Health = Health.SERVING
    size: float = 1.0  # no unit; compare with other workers
    cell: int = 0
    kind: str = ""
    zone: str = ""
    started_at: int | None = None


@dataclass(frozen=True, slots=True)
class WorkersChanged:
    """Discovery sent a worker list, or lost its connection."""

    kind: WorkerListKind
    workers: tuple[Worker, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client sent a request."""

    id: int
    job_class: str
    time_left: int  # until the client stops waiting
    slots: float = 1.0
    memory: float | None = None
    work_hint: int | None = None  # service time, estimated by the client
    key: int | None = None
    tenant: str | None = None
    is_retry: bool = False  # set only where clients mark their retries


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by SetTimer has elapsed."""

    token: int


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """An attempt showed a sign of life: its job started, made progress, or began to stream its response."""

    request: int
    attempt: int
    worker: str
    started: bool
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client stopped waiting for a request."""

    request: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has an outcome."""

    request: int
    attempt: int
    worker: str
    outcome: Outcome
    latency: int
    request_done: bool  # the client has its final response
    load: Mapping[str, float] | None = None  # outstanding, backlog, x0 (free slots); others are ignored


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The outcome of a Probe."""

    worker: str
    outcome: Outcome
    load: Mapping[str, float] | None = None  # as in AttemptEnded


@dataclass(frozen=True, slots=True)
class HintsReceived:
    """Another dispatcher sent hints."""

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
    """Send an attempt of a request to a worker."""

    request: int
    worker: str
    timeout: int = 0  # 0: until the client stops waiting


@dataclass(frozen=True, slots=True)
class Reject:
    """Final response: the request is rejected without having run, and a retry by the client does no harm."""

    request: int
    retry_after: int = 0  # how long the client should wait before a retry; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Final response that promises nothing about the request's effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an open attempt; its request may have ended already."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class SendHints:
    """Send hints to these dispatchers, by their numbers."""

    to: tuple[int, ...]
    hints: tuple[Hint, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a Timer event after a delay."""

    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request worker lists from discovery."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Reject | Fail | Cancel | Probe | SendHints | SetTimer | Subscribe | Log
