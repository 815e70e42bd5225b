"""What a dispatcher remembers: types alone, read and changed by policy.py and load_exchange.py only."""

import math
from dataclasses import dataclass, field

from rookwood import interface as api
from rookwood.interface import Outcome

Row = tuple[str, int, int]  # kind the job is bound to ("": none), slot group, key (-1: none)
Lane = tuple[str, float, int]  # held requests wait by class, fairness and slot group
Fleet = dict[str, tuple[float, str, float]]  # capacity, kind and slots of workers, in the shared order
Table = dict[Row, list[tuple[str, float]]]  # row -> workers with their phi


@dataclass(slots=True)
class Attempt:
    worker: api.Worker
    sent: int
    started: int | None = None
    ending: Outcome | None = None  # while it is out

    @property
    def may_have_run(self) -> bool:
        return self.ending not in api.NEVER_RAN

    def ran(self, now: int) -> int:
        return now - (self.started or self.sent)


@dataclass(slots=True)
class Job:
    request: api.Request
    cls: api.JobClass
    row: Row
    lane: Lane
    need: float  # slots, or memory units if these are more
    service: float  # expected, on a worker of mean speed
    weight: float  # slot-time it is expected to take, on the mean
    value: float  # what an answer in time is worth
    luck: float  # one throw for the whole request: a worker trusted less than this does not get it
    shed_at: int = 0  # started later than this it would come too late
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    looks: int = 0  # times that load was asked for, for its sake
    not_on: str = ""  # the worker that failed it last


@dataclass(slots=True)
class State:  # what this dispatcher knows of a worker
    info: api.Worker
    points: list[tuple[int, str]]  # on the ring
    last_sign: int  # when it last showed life
    slowness: float = 1.0  # time that a job takes, by size and slots, over the fleet's mean
    faults: float = 0.0  # part of the own jobs that lately ended by its fault
    told_faults: float = 0.0  # and of the jobs of others, as far as told
    trust: float = 1.0  # what silence, time-outs and failed probes leave of that, by own evidence
    used_slots: float = 0.0  # slots of own attempts out
    others: float = 0.0  # slots that other dispatchers held, as last told or reported
    asked: int | None = None  # the dispatcher that was asked for that
    keepers: tuple[int, ...] = ()  # the dispatchers that hear of jobs here
    told: list[tuple[int, int, float]] = field(default_factory=list)  # others' jobs: until, whose, slots
    report_at: int = 0
    probe_at: int = 0
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)  # own attempts, oldest first
    credit: float = math.inf  # slot-time that may be sent while it is cold
    credit_at: int = 0

    @property
    def up(self) -> bool:
        return self.info.health is api.Health.SERVING

    def free(self, need: float) -> None:
        self.used_slots = max(0.0, self.used_slots - need)
