"""The data that a dispatcher's policy keeps. It makes no decisions.

Only policy.py, load_exchange.py and memory.py change it. Times are in microseconds unless said otherwise.
"""

import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rookwood import interface as api
from rookwood.interface import Outcome

Row = tuple[str, int, int]
"""A row of the placement table: worker kind that the class is bound to ("" if none), slot group, key (-1 if
none). A slot group is the number of slots of a request, rounded up to a power of two."""

HoldQueue = tuple[str, float, int]
"""Identifies a queue of held requests: class, tenant's worth factor and slot group."""

Fleet = dict[str, tuple[float, str, float]]
"""Capacity, kind and slots of each worker by id, in an order that all dispatchers share."""

Table = dict[Row, list[tuple[str, float]]]
"""The placement table: for each row its workers, each with the fraction phi of the row's requests."""


@dataclass(slots=True)
class Attempt:
    """One sending of a request to a worker."""

    worker: api.Worker
    sent_at: int
    started_at: int | None = None
    outcome: Outcome | None = None  # None until the attempt ends

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have had an effect, or may still have one."""
        return self.outcome not in api.NEVER_RAN

    def run_time(self, now: int) -> int:
        """Return the time since the job started or, if no start was reported, since it was sent."""
        return now - (self.started_at or self.sent_at)


@dataclass(slots=True)
class Job:
    """A request without a final response, and its attempts."""

    request: api.Request
    cls: api.JobClass
    row: Row
    queue: HoldQueue
    need: float  # slots, or memory units if these are more
    service: float  # typical service time on a worker of mean speed
    slot_time: float  # slots times the mean service time, long tails included
    worth: float  # of a response in time
    cutoff: float  # drawn once from [0, 1): workers of less health than this do not get the request
    shed_at: int = 0  # a job that starts later than this ends too late
    attempts: list[Attempt] = field(default_factory=list)
    is_held: bool = False
    queries: int = 0  # times that the load of workers was queried to place this request
    failed_on: str = ""  # the worker of the last failed attempt


@dataclass(slots=True)
class WorkerState:
    """What this dispatcher knows of a worker."""

    info: api.Worker
    ring_points: list[tuple[int, str]]
    alive_at: int  # when it last gave a sign of life
    slowness: float = 1.0  # time that a job takes here, by size and slots, relative to the fleet's mean
    fault_rate: float = 0.0  # fraction of this dispatcher's recent attempts that ended by the worker's fault
    peer_fault_rate: float = 0.0  # the same for the attempts of other dispatchers, from their hints
    trust: float = 1.0  # from 0 to 1; lowered by silence, timeouts and failed probes seen by this dispatcher
    used_slots: float = 0.0  # slots of this dispatcher's open attempts
    others_slots: float = 0.0  # slots that other dispatchers use, as last reported by a hint or a probe
    queried_peer: int | None = None  # the dispatcher whose reply about this worker's load is awaited
    trackers: tuple[int, ...] = ()  # the dispatchers that receive hints of every job here
    tracked_jobs: list[tuple[int, int, float]] = field(default_factory=list)  # others': expiry, sender, slots
    reported_at: int = 0  # when others_slots was last reported
    probed_at: int = 0
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)  # own ones, oldest first
    credit: float = math.inf  # slot-time that this dispatcher may send while the worker is cold
    credit_at: int = 0  # when the credit was last updated

    @property
    def is_serving(self) -> bool:
        """Whether discovery lists the worker as serving, neither draining nor deleted."""
        return self.info.health is api.Health.SERVING

    def release(self, slots: float) -> None:
        """Free slots of an attempt that has ended."""
        self.used_slots = max(0.0, self.used_slots - slots)

    def to_record(self, others: float, tracked_jobs: list[tuple[int, int, float]]) -> dict[str, Any]:
        """Return the part of this state that outlives the process, under the keys of the stored document."""
        return {
            "started_at": self.info.started_at,
            "seen": [
                self.trust,
                self.fault_rate,
                self.slowness,
                self.alive_at,
                self.reported_at,
                self.probed_at,
            ],
            "others": others,
            "told": tracked_jobs,
            # The budget of a cold worker is carried over, or two processes in a row would spend it twice.
            "credit": [self.credit, self.credit_at] if self.credit_at else None,
        }

    def restore(self, record: dict[str, Any], now: int) -> None:
        """Take over a record of `to_record`; times of the old process that lie ahead are cut to `now`."""
        self.trust, self.fault_rate, self.slowness, *times = record["seen"]
        self.alive_at, self.reported_at, self.probed_at = (min(now, time) for time in times)
        self.others_slots = record["others"]
        self.tracked_jobs = [(until, sender, slots) for until, sender, slots in record["told"]]
        if record["credit"]:
            self.credit, self.credit_at = record["credit"][0], min(now, record["credit"][1])


class PolicyState:
    """The attributes of a policy. Those in the STORED tables below outlive the process."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.conf = settings
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.now = -1  # time of the last event; -1 before the first
        self.stalled = False  # the earliest timer was overdue at the last event: this process stood still
        self.step_at = 0  # time of the last placement step

        # Service times are learned as factors of a prior: the request's hint or half of its class's aim.
        self.served = dict.fromkeys(self.classes, 0)  # successful attempts by class
        self.log_factor = dict.fromkeys(self.classes, 0.0)  # mean of log(service time / prior)
        self.tails = dict.fromkeys(self.classes, 1.0)  # mean of service time / (prior * exp(log_factor))
        # Mean service time of a job, and mean slot-time: its slots times its service time.
        self.job_time = self.slot_time = float(max((c.aim for c in settings.classes), default=1))

        # Requests.
        self.jobs: dict[int, Job] = {}  # by request id
        self.held_jobs: dict[HoldQueue, list[Job]] = defaultdict(list)  # held requests, newest last
        self.key_queues: dict[int, deque[Job]] = {}  # requests of sequential classes by key, oldest first
        self.paused_until: dict[int, int] = {}  # by sequential key: it starts nothing before this time
        self.pending: dict[tuple[int, int], Job] = {}  # by (request, attempt): attempts without an outcome
        self.used_slots = 0.0  # slots of this dispatcher's open attempts
        # Worth that requests would earn by a response in time, and worth earned, by class; both decay.
        self.offered = dict.fromkeys(self.classes, 0.0)
        self.won = dict.fromkeys(self.classes, 0.0)
        # By class and, where clients mark their retries, tenant: how long clients wait in all, counted from
        # the first try, and the recent fraction of requests that bring all of this time, so are first tries.
        self.waits: dict[tuple[str, str | None], int] = {}
        self.firsts: dict[tuple[str, str | None], float] = {}
        # A leaky bucket for each tenant: requests per second, level, time of the last request.
        self.tenant_buckets = {
            t.name: (t.allowance_per_s / settings.dispatchers, 0.0, 0) for t in settings.tenants
        }

        # Workers.
        self.workers: dict[str, WorkerState] = {}
        self.sizes: dict[str, float] = {}  # by kind: the largest size listed, which is that of an idle worker
        self.total_size = 0.0  # of all workers
        self.ring: list[tuple[int, str]] = []  # consistent-hash ring, the same at every dispatcher
        self.cold: list[WorkerState] = []  # workers in their slow start that have credit left
        self.ejecting = True  # whether workers of low health get fewer requests

        # Demand and placement.
        self.slot_seconds: dict[Row, float] = defaultdict(float)  # requested since the last placement step
        self.demand: dict[Row, tuple[float, float]] = {}  # level and trend, in slots
        self.table: Table = {}
        self.request_count = 0.0  # decayed at each step

        # A heap of scheduled calls: time, serial number, function and argument.
        self.calls: list[tuple[int, int, Callable[..., None], object]] = []
        self.serial = itertools.count()
        self.timers: list[int] = []  # a heap of the times for which timers are set
        self.actions: list[api.Action] = []  # to be returned by `handle`


# Stored attributes of PolicyState: the key in the stored document, and the attribute's name.
STORED_SCALARS = {
    "job_time": "job_time",
    "weight": "slot_time",
    "seen": "request_count",
    "retries": "retry_tokens",
    "eject": "ejecting",
}
STORED_BY_CLASS = {
    "answers": "served",
    "typical": "log_factor",
    "mean": "tails",
    "asked": "offered",
    "won": "won",
}
STORED_BY_TUPLE = {  # their keys are tuples, stored as lists
    "whole": "waits",
    "firsts": "firsts",
    "demand": "demand",
    "table": "table",
}
