"""Messages on the links between control machines and dispatchers; `frames` encodes them."""

from __future__ import annotations

from dataclasses import dataclass

from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.cluster.workers import WorkerRecord
from rookwood.clusterconfig.items import ItemChanges

PROTOCOL_RELEASE = 1
"""Of the protocol of these links. 0 is that of programs which do not tell it.

Fields are only ever added at the end of a message, and have a default here: a program of the release before
passes over them, and what it sends is read with the defaults. A new kind of message is sent to programs of a
release that knows it alone.
"""

RELEASE_WITH_RELAYED_FEED = 1  # from this on control machines pass on what dispatchers report, to one another


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a link, from the side that opened it.

    `subscribes`: it wants the feed of workers and work notices. Without that it hears statuses and answers.
    """

    identity: str
    tier: str
    zone: str
    release: int = 0
    subscribes: bool = True


@dataclass(frozen=True, slots=True, order=True)
class ControlMachine:
    """A control machine that dispatchers may subscribe to."""

    ip: str
    zone: str


@dataclass(frozen=True, slots=True)
class Status:
    """A control machine's view: who leads, and which configuration is committed. Also the heartbeat.

    `dispatchers` is how many there are in the whole system, `attached` how many subscribe to this machine.
    `roots` are the control machines that it is in touch with, itself among them.
    """

    identity: str
    epoch: int
    primary: str
    fresh: bool
    settled: bool
    config_epoch: int
    config_sequence: int
    dispatchers: int
    members: tuple[str, ...]
    release: int = 0
    attached: int = 0
    roots: tuple[ControlMachine, ...] = ()

    @property
    def position(self) -> ConfigurationPosition:
        """The position of the committed configuration."""
        return ConfigurationPosition(self.config_epoch, self.config_sequence)

    @property
    def claims_primary(self) -> bool:
        """Whether its sender says to be the primary; only a round of the sender can confirm that."""
        return self.fresh and self.primary == self.identity


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Asks for the newest committed configuration.

    With `confirm` the primary first has a majority acknowledge that it still is the primary. The base is the
    position of the configuration that the sender has, to which the answer may be told as changes.
    """

    sequence: int
    confirm: bool
    base_epoch: int = NO_CONFIGURATION.epoch
    base_sequence: int = NO_CONFIGURATION.sequence

    @property
    def base(self) -> ConfigurationPosition:
        """The position of the configuration that the sender has."""
        return ConfigurationPosition(self.base_epoch, self.base_sequence)


@dataclass(frozen=True, slots=True)
class ConfigurationBody:
    """A committed configuration under its position.

    `confirmed`: a majority acknowledged a round of the sender that began after it was asked, so no newer
    configuration had been acknowledged to an operator when it was asked.
    """

    epoch: int
    sequence: int
    source: bytes
    confirmed: bool

    @property
    def position(self) -> ConfigurationPosition:
        """The position of this configuration."""
        return ConfigurationPosition(self.epoch, self.sequence)


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """A committed configuration under its position, told by its changes since a base.

    It may be applied to any configuration from the base up to this one. `digest` is that of all items of
    this configuration; whoever gets another one by applying the changes asks for the whole.
    """

    epoch: int
    sequence: int
    base_epoch: int
    base_sequence: int
    changes: ItemChanges
    digest: int

    @property
    def position(self) -> ConfigurationPosition:
        """The position of this configuration."""
        return ConfigurationPosition(self.epoch, self.sequence)

    @property
    def base(self) -> ConfigurationPosition:
        """The position of the oldest configuration to which the changes may be applied."""
        return ConfigurationPosition(self.base_epoch, self.base_sequence)


@dataclass(frozen=True, slots=True)
class WorkerUpdates:
    """Records of workers that are new or changed; `complete` when these are all that are known.

    `ended` names workers that said lately that they ended, for a receiver that may have missed it.
    """

    records: tuple[WorkerRecord, ...]
    complete: bool
    ended: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """A worker ended (`deleted`) or fell silent."""

    worker: str
    deleted: bool


@dataclass(frozen=True, slots=True)
class PresenceAck:
    """A control machine has taken from another one that a worker drains, or that it ended (`deleted`)."""

    worker: str
    deleted: bool


@dataclass(frozen=True, slots=True)
class KeyDemand:
    """Demand for one model or adapter at one dispatcher."""

    service: str
    model: str
    adapter: str
    rate: float
    busy: float
    waiting: int
    oldest_wait: float


@dataclass(frozen=True, slots=True)
class WantedWeights:
    """A dispatcher's placement table wants these weights on this worker."""

    service: str
    worker: str
    model: str
    adapter: str


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A dispatcher's demand by key, and what its table wants.

    A `complete` report replaces what was told before; others only add to it.
    """

    identity: str
    keys: tuple[KeyDemand, ...]
    wanted: tuple[WantedWeights, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class CountedWeights:
    """So many dispatchers' placement tables want these weights on this worker."""

    service: str
    worker: str
    model: str
    adapter: str
    count: int


@dataclass(frozen=True, slots=True)
class DemandSummary:
    """The sum of what the dispatchers report that are attached to one control machine, for the primary.

    As with a report, a `complete` one replaces what was told before; others only add to it.
    """

    identity: str
    dispatchers: int
    keys: tuple[KeyDemand, ...]
    wanted: tuple[CountedWeights, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class WorkNotice:
    """A dispatcher sent a prompt to a worker: how long its prefill takes, and which parts are cached then.

    `parts` are hashes of the prompt's shared beginnings under the weights in use.
    """

    origin: str
    worker: str
    seconds: float
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WorkNotices:
    """Notices of several dispatchers, passed on together."""

    notices: tuple[WorkNotice, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keeps a link known to be alive, and tells by which configuration its sender serves.

    `sent_at` is the time by the sender's own clock, in seconds; the answer repeats it. `stalled` is for how
    many seconds in all the sender's process has stood still since its start.
    """

    identity: str
    config_epoch: int = NO_CONFIGURATION.epoch
    config_sequence: int = NO_CONFIGURATION.sequence
    sent_at: float = 0.0
    stalled: float = 0.0

    @property
    def position(self) -> ConfigurationPosition:
        """The position of the configuration in force at the sender."""
        return ConfigurationPosition(self.config_epoch, self.config_sequence)


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """What a control machine knew after it read a heartbeat: its newest committed position.

    `fresh`: it was in touch with the primary. `heartbeat_sent_at` is the heartbeat's `sent_at`: whatever this
    answer tells held later than that, however long the answer was on its way.
    """

    heartbeat_sent_at: float
    config_epoch: int
    config_sequence: int
    fresh: bool

    @property
    def position(self) -> ConfigurationPosition:
        """The position of the newest committed configuration."""
        return ConfigurationPosition(self.config_epoch, self.config_sequence)


Message = (
    Hello
    | Status
    | FetchConfiguration
    | ConfigurationBody
    | ConfigurationDelta
    | WorkerUpdates
    | WorkerGone
    | DemandReport
    | WorkNotices
    | Heartbeat
    | HeartbeatAnswer
    | PresenceAck
    | DemandSummary
)
