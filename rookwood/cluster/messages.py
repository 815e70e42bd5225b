"""The messages on the links between control machines and dispatchers; `frames` encodes them.

Class and field names are those on the wire, except where `frames` converts them.
"""

from __future__ import annotations

from dataclasses import dataclass

from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.cluster.workers import PresenceChange, WorkerRecord
from rookwood.clusterconfig.items import ItemChanges

PROTOCOL_RELEASE = 2
"""The release of the link protocol. Programs that do not send a release have release 0.

New fields are only added at the end of a message and have a default here: a program of the previous release
ignores them, and its messages are read with the defaults. A new message type is only sent to programs of a
release that knows it.
"""

# The first release whose control machines relay to one another what dispatchers report.
RELEASE_WITH_RELAYED_FEED = 1

# The first release whose control machines store drains and deregistrations before they acknowledge them.
RELEASE_WITH_STORED_PRESENCE = 2


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, from the side that opened it.

    `subscribes` requests the feed of workers and work notices. Without it the link carries only statuses and
    responses. `tier` is "core" for a control machine and "edge" for a dispatcher.
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
    """A control machine's view of the group and of the configuration; also serves as its heartbeat.

    `epoch` and `primary` name the primary, `fresh` says that the sender is in contact with it, and `settled`
    that the sender has run long enough to know the workers. `config_epoch` and `config_sequence` are the
    position of the committed configuration. `dispatchers` counts the dispatchers of the whole system,
    `attached` those that subscribe to the sender. `roots` are the members in contact with the sender,
    including itself.
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
        """Whether the sender claims to be the primary; only a quorum round of the sender can confirm that."""
        return self.fresh and self.primary == self.identity


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Requests the newest committed configuration.

    With `confirm` the primary first has a majority acknowledge that it still is the primary. The base is the
    position of the configuration in force at the sender, against which the response may be a delta, or
    `NO_CONFIGURATION` to request a full configuration. `sequence` is that of the announced position.
    """

    sequence: int
    confirm: bool
    base_epoch: int = NO_CONFIGURATION.epoch
    base_sequence: int = NO_CONFIGURATION.sequence

    @property
    def base(self) -> ConfigurationPosition:
        """The position against which the response may be a delta."""
        return ConfigurationPosition(self.base_epoch, self.base_sequence)


@dataclass(frozen=True, slots=True)
class ConfigurationBody:
    """A full committed configuration and its position.

    `confirmed`: a majority acknowledged a quorum round that the sender began after the fetch request, so no
    newer configuration had been acknowledged to an operator at the time of the request.
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
    """A committed configuration and its position, as changes since a base.

    It may be applied to any configuration between the base and this one. `digest` covers all items of this
    configuration; a receiver that computes another digest fetches the full configuration.
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
    """Records of new or changed workers; `complete` if these are all workers that the sender knows.

    `ended` names workers that deregistered, and `draining` workers that drain, for a receiver that may have
    missed it or has lost it with its disk. They need not be among the records.
    """

    records: tuple[WorkerRecord, ...]
    complete: bool
    ended: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """A worker deregistered (`deleted`) or its heartbeats timed out."""

    worker: str
    deleted: bool


@dataclass(frozen=True, slots=True)
class PresenceAck:
    """A control machine acknowledges to another one that a worker drains or has deregistered (`deleted`).

    `stored`: the change is synced on the sender's disk. Without it, the sender only has it in memory.
    """

    worker: str
    deleted: bool
    stored: bool = False

    @property
    def change(self) -> PresenceChange:
        """The change that is acknowledged."""
        return PresenceChange(self.worker, self.deleted)


@dataclass(frozen=True, slots=True)
class KeyDemand:
    """Demand for one model or adapter at one dispatcher, or summed over several."""

    service: str
    model: str
    adapter: str
    rate: float
    busy: float
    waiting: int
    oldest_wait: float


@dataclass(frozen=True, slots=True)
class WantedWeights:
    """A dispatcher's placement table assigns these weights to this worker."""

    service: str
    worker: str
    model: str
    adapter: str


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A dispatcher's demand by key, and the weights that its placement table assigns to workers.

    A `complete` report replaces the earlier ones of its dispatcher; any other report only updates its keys.
    """

    identity: str
    keys: tuple[KeyDemand, ...]
    wanted: tuple[WantedWeights, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class CountedWeights:
    """How many dispatchers' placement tables assign these weights to this worker."""

    service: str
    worker: str
    model: str
    adapter: str
    count: int


@dataclass(frozen=True, slots=True)
class DemandSummary:
    """The summed reports of the dispatchers that subscribe to one control machine, sent to the primary.

    As with reports, a `complete` summary replaces the earlier ones; any other only updates its keys.
    """

    identity: str
    dispatchers: int
    keys: tuple[KeyDemand, ...]
    wanted: tuple[CountedWeights, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class WorkNotice:
    """A dispatcher sent a prompt to a worker: the prefill time, and the prefixes that are cached afterwards.

    `origin` is the dispatcher, `seconds` the prefill time, and `parts` are hashes of the prompt's prefixes
    under the weights in use.
    """

    origin: str
    worker: str
    seconds: float
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WorkNotices:
    """Notices of several dispatchers, relayed together."""

    notices: tuple[WorkNotice, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that a link is alive, and reports the position of the configuration in force at the sender.

    `sent_at` is the time by the sender's own clock, in seconds; the answer repeats it. `stalled` is for how
    many seconds in total the sender's process has been stalled since its start.
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
    """A control machine's answer to a heartbeat, with its newest committed position.

    `fresh`: it was in contact with the primary. `heartbeat_sent_at` repeats the heartbeat's `sent_at`: the
    contents of the answer were valid at some time after that, however long the answer was in transit.
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
