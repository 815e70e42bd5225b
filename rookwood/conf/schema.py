"""The schema of the operator file: every section and directive with its type and default."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from msgspec import Struct, field

from rookwood.conf import units

Parser = Callable[[str], Any]


class Peer(Struct, frozen=True):
    """A gateway of another site."""

    name: str  # as in its certificate
    host: str
    port: int


class Site(Struct, frozen=True):
    """Another site, to which requests may be forwarded."""

    name: str
    peers: tuple[Peer, ...] = ()
    zones: tuple[str, ...] = ()  # zones of its workers, as discovery names them; empty: the site's name


class Gateway(Struct, frozen=True):
    """This dispatcher's side of the links to other sites."""

    listen: tuple[str, int]
    name: str = ""  # empty: the dispatcher's name
    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None
    allow: tuple[str, ...] = ()  # names of peers that may connect; empty: those of the `site` sections
    plaintext: bool = False
    lend: float = 0.8  # largest share of the site's slots that serves requests of other sites
    reserve: float = 0.1  # share of the site's slots that is kept free for its own requests
    price: float = 0.13  # price of forwarding a request, relative to the mean worth of a request
    enter: float = 0.95  # load of the own site, relative to its slots, from which requests are forwarded
    leave: float = 0.85  # load below which forwarding stops
    max_jobs: int = 256  # jobs open at once that are forwarded to one peer, and that are accepted from one
    max_bytes: int = 8 << 20  # bytes buffered for one peer
    max_frame: int = 256 << 10  # bytes
    lease: timedelta = timedelta(seconds=1)
    keepalive: timedelta = timedelta(milliseconds=100)
    retransmit: timedelta = timedelta(milliseconds=40)
    connect_timeout: timedelta = timedelta(milliseconds=500)
    reconnect: timedelta = timedelta(milliseconds=200)


class Store(Struct, frozen=True):
    """The store in which unsafe keyed requests are claimed: `redis`, `file`, `memory` or `peers`."""

    redis: tuple[str, int] | None = None
    file: Path | None = None
    memory: bool = False
    peers: bool = False  # replicated by the site's dispatchers over the links of `duties`
    user: str = ""
    password_file: Path | None = None
    authority: Path | None = None  # if set, the connection uses TLS
    prefix: str = "rookwood"
    timeout: timedelta = timedelta(milliseconds=250)
    replicas: int = 0  # number that must have a claim before it counts
    tier: int = 0  # number of dispatchers that share the store; 0: as in the platform's settings
    lease: timedelta = timedelta(seconds=2)
    keep: timedelta = timedelta(minutes=10)
    retry_window: timedelta = timedelta(seconds=30)


class Duties(Struct, frozen=True):
    """Duties that one dispatcher of a site holds at a time, by a lease from a majority of members."""

    listen: tuple[str, int]
    member: tuple[tuple[str, tuple[str, int]], ...]  # every voting dispatcher, this one included
    lease: timedelta = timedelta(seconds=1)
    drift: float = 0.01  # by which share one machine's clock may run faster than another's
    relay: tuple[str, int] | None = None  # moves the service address; None: no dispatcher has this duty
    address: tuple[str, int] | None = None  # the address that the relay is given
    list: int = 1  # number of this list of members, raised by one at each change
    places: int = 1  # dispatchers that a rolling restart may have down at once
    patience: timedelta = timedelta(seconds=30)  # how long a rolling restart waits for a member that is down
    lending: bool = True  # a single dispatcher offers spare slots to other sites
    trial: bool = True  # a single dispatcher tries an endpoint that has failed for all


class OperatorFile(Struct, frozen=True):
    """The values of the whole operator file."""

    site: str = ""
    log_format: str = "plain"
    log_level: str = "info"
    gateway: Gateway | None = None
    store: Store | None = None
    duties: Duties | None = None
    sites: tuple[Site, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class Directive:
    """A line of a keyword and its values, with one parser for each value."""

    parsers: tuple[Parser, ...]
    expected: str  # describes a valid value, for error messages and the documentation
    many: bool = False  # may be repeated, or have several groups of values
    required: bool = False


@dataclass(frozen=True, slots=True)
class Section:
    """Directives in braces: `keyword { ... }` or, if the section is named, `keyword NAME { ... }`."""

    directives: dict[str, Directive]
    named: bool = False
    many: bool = False
    build: Callable[..., Any] | None = None


def _one(parser: Parser, expected: str, **more: bool) -> Directive:
    return Directive((parser,), expected, **more)


DURATION = "a duration such as 250ms"
SHARE = "a share from 0 to 1"
NUMBER = "a number such as 0.9"

GATEWAY = Section(
    {
        "listen": _one(units.address, "host:port", required=True),
        "name": _one(units.name, "a name"),
        "certificate": _one(units.path, "a path of a PEM file"),
        "key": _one(units.path, "a path of a PEM file"),
        "authority": _one(units.path, "a path of a PEM file"),
        "allow": _one(units.name, "names of peers", many=True),
        "plaintext": _one(units.switch, "yes or no"),
        "lend": _one(units.share, SHARE),
        "reserve": _one(units.share, SHARE),
        "price": _one(units.ratio, NUMBER),
        "enter": _one(units.ratio, NUMBER),
        "leave": _one(units.ratio, NUMBER),
        "max-jobs": _one(units.count, "a whole number from 1"),
        "max-bytes": _one(units.size, "a size such as 8MB"),
        "max-frame": _one(units.size, "a size such as 256KiB"),
        "lease": _one(units.duration, DURATION),
        "keepalive": _one(units.duration, DURATION),
        "retransmit": _one(units.duration, DURATION),
        "connect-timeout": _one(units.duration, DURATION),
        "reconnect": _one(units.duration, DURATION),
    },
    build=Gateway,
)
SITE = Section(
    {
        "peer": Directive((units.name, units.address), "a name and host:port", many=True, required=True),
        "zone": _one(units.name, "discovery's names of places", many=True),
    },
    named=True,
    many=True,
    build=Site,
)
STORE = Section(
    {
        "redis": _one(units.address, "host:port"),
        "file": _one(units.path, "a path"),
        "memory": _one(units.switch, "yes or no"),
        "peers": _one(units.switch, "yes or no"),
        "user": _one(units.name, "a name"),
        "password-file": _one(units.path, "a path"),
        "authority": _one(units.path, "a path of a PEM file"),
        "prefix": _one(units.name, "a name"),
        "timeout": _one(units.duration, DURATION),
        "replicas": _one(units.count, "a whole number from 1"),
        "tier": _one(units.count, "a whole number from 1"),
        "lease": _one(units.duration, DURATION),
        "keep": _one(units.duration, DURATION),
        "retry-window": _one(units.duration, DURATION),
    },
    build=Store,
)
DUTIES = Section(
    {
        "listen": _one(units.address, "host:port", required=True),
        "member": Directive((units.name, units.address), "a name and host:port", many=True, required=True),
        "lease": _one(units.duration, DURATION),
        "drift": _one(units.share, SHARE),
        "relay": _one(units.address, "host:port"),
        "address": _one(units.address, "host:port"),
        "list": _one(units.count, "a whole number from 1"),
        "places": _one(units.count, "a whole number from 1"),
        "patience": _one(units.duration, DURATION),
        "lending": _one(units.switch, "yes or no"),
        "trial": _one(units.switch, "yes or no"),
    },
    build=Duties,
)
TOP = Section(
    {
        "site": _one(units.name, "the name of the own site"),
        "log-format": _one(units.one_of("plain", "console", "json"), "plain, console or json"),
        "log-level": _one(units.one_of("debug", "info", "warning", "error"), "debug, info, warning or error"),
    }
)
SECTIONS = {"gateway": GATEWAY, "site": SITE, "store": STORE, "duties": DUTIES}
