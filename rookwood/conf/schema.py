"""What the operator's file may say: every section, directive, type and default, in this one place."""

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

    name: str  # as its certificate says
    host: str
    port: int


class Site(Struct, frozen=True):
    """Another site, to which jobs may cross."""

    name: str
    peers: tuple[Peer, ...] = ()
    zones: tuple[str, ...] = ()  # discovery's names for the places of its endpoints; empty: the site's name


class Gateway(Struct, frozen=True):
    """This dispatcher's own side of all links."""

    listen: tuple[str, int]
    name: str = ""  # empty: the dispatcher's name
    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None
    allow: tuple[str, ...] = ()  # names of peers; empty: those of the `site` sections
    plaintext: bool = False
    lend: float = 0.8  # of the site's slots, for guests at most
    reserve: float = 0.1  # of the site's slots, kept free of guests for own traffic
    price: float = 0.13  # of a mean job's worth, for each crossing
    enter: float = 0.95  # pressure at home from which jobs cross
    leave: float = 0.85  # and below which they stop
    max_jobs: int = 256  # out at one peer, and taken from one
    max_bytes: int = 8 << 20  # in hand for one peer
    max_frame: int = 256 << 10
    lease: timedelta = timedelta(seconds=1)
    keepalive: timedelta = timedelta(milliseconds=100)
    retransmit: timedelta = timedelta(milliseconds=40)
    connect_timeout: timedelta = timedelta(milliseconds=500)
    reconnect: timedelta = timedelta(milliseconds=200)


class Store(Struct, frozen=True):
    """Where keyed unsafe jobs are claimed. One of `redis`, `file`, `memory` and `peers`."""

    redis: tuple[str, int] | None = None
    file: Path | None = None
    memory: bool = False
    peers: bool = False  # on the dispatchers of the site, over the links of `duties`
    user: str = ""
    password_file: Path | None = None
    authority: Path | None = None  # with it, TLS
    prefix: str = "rookwood"
    timeout: timedelta = timedelta(milliseconds=250)
    replicas: int = 0  # that must have a claim before it counts
    tier: int = 0  # dispatchers that share the store; 0: those of the platform's settings
    lease: timedelta = timedelta(seconds=2)
    keep: timedelta = timedelta(minutes=10)
    retry_window: timedelta = timedelta(seconds=30)


class Duties(Struct, frozen=True):
    """Duties that one dispatcher of the site holds at a time, by a lease from a majority of the members."""

    listen: tuple[str, int]
    member: tuple[tuple[str, tuple[str, int]], ...]  # every dispatcher that votes, this one among them
    lease: timedelta = timedelta(seconds=1)
    drift: float = 0.01  # how much faster one machine's clock may run than another's
    relay: tuple[str, int] | None = None  # what moves the service address; None: nobody holds that duty
    address: tuple[str, int] | None = None  # what is told to it
    list: int = 1  # the number of this list of members: one more at each change
    places: int = 1  # dispatchers that may be down at once by a roll
    patience: timedelta = timedelta(seconds=30)  # after which a roll goes on without one that is down
    lending: bool = True  # one dispatcher alone lends what is spare to other sites
    trial: bool = True  # one alone tries an endpoint that fails for all


class OperatorFile(Struct, frozen=True):
    """The whole file."""

    site: str = ""
    log_format: str = "plain"
    log_level: str = "info"
    gateway: Gateway | None = None
    store: Store | None = None
    duties: Duties | None = None
    sites: tuple[Site, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class Directive:
    """`keyword value ...`: one parser a value; `many`: it may come again, or with more values."""

    parsers: tuple[Parser, ...]
    right: str  # what would be right, for error messages and the documentation
    many: bool = False
    required: bool = False


@dataclass(frozen=True, slots=True)
class Section:
    directives: dict[str, Directive]
    named: bool = False
    many: bool = False
    build: Callable[..., Any] | None = None


def _one(parser: Parser, right: str, **more: bool) -> Directive:
    return Directive((parser,), right, **more)


SPAN, SHARE, NUMBER = "a duration such as 250ms", "a share from 0 to 1", "a number such as 0.9"

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
        "lease": _one(units.duration, SPAN),
        "keepalive": _one(units.duration, SPAN),
        "retransmit": _one(units.duration, SPAN),
        "connect-timeout": _one(units.duration, SPAN),
        "reconnect": _one(units.duration, SPAN),
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
        "timeout": _one(units.duration, SPAN),
        "replicas": _one(units.count, "a whole number from 1"),
        "tier": _one(units.count, "a whole number from 1"),
        "lease": _one(units.duration, SPAN),
        "keep": _one(units.duration, SPAN),
        "retry-window": _one(units.duration, SPAN),
    },
    build=Store,
)
DUTIES = Section(
    {
        "listen": _one(units.address, "host:port", required=True),
        "member": Directive((units.name, units.address), "a name and host:port", many=True, required=True),
        "lease": _one(units.duration, SPAN),
        "drift": _one(units.share, SHARE),
        "relay": _one(units.address, "host:port"),
        "address": _one(units.address, "host:port"),
        "list": _one(units.count, "a whole number from 1"),
        "places": _one(units.count, "a whole number from 1"),
        "patience": _one(units.duration, SPAN),
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
