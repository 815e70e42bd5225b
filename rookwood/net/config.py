"""Configuration of a dispatcher: reads the environment and the JSON file, checks them, applies defaults."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from urllib.parse import quote

from rookwood import interface as api
from rookwood.net.destinations import Address, DestinationUpdate, parse_address, parse_destination_update
from rookwood.settings import InvalidSettingError, JsonReader, parse_settings


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits and timeouts of the network side; the policy has its own settings."""

    connect_timeout: timedelta
    idle: timedelta  # a worker closes a connection that was idle for this long
    drain_grace: timedelta
    max_open: int  # requests that may be open at once
    retry_after: bool  # whether responses to rejected requests carry Retry-After
    max_retry_after: timedelta
    sockets: int  # file descriptors that this process may open
    memory: int  # bytes of memory that this process may use


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of one dispatcher."""

    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # management address; None: there is none
    handover: Path | None  # Unix socket over which a process hands over to the next; None: no handover
    seed: int
    bounds: Bounds
    settings: api.Settings
    known: DestinationUpdate  # the cached list, in force until discovery sends a newer one
    peer_listen: Address | None = None  # receives datagrams of other dispatchers; None: no hints
    peers: tuple[Address, ...] = ()  # addresses of all dispatchers, this one included


def duration(tree: JsonReader, path: str, default: int | None = None) -> timedelta:
    """Read a duration given in microseconds."""
    return timedelta(microseconds=tree.get(path, int, default))


def parse_seed(text: str) -> int:
    """Parse the hexadecimal seed of the policy."""
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidSettingError("seed", f"not hexadecimal: {text!r}") from None


def handover_socket_path(folder: str | None, name: str) -> Path | None:
    """Return the path of a dispatcher's handover socket; None without a folder."""
    return Path(folder) / f"rookwood-{quote(name, safe='')}.sock" if folder else None


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Read the configuration; raises `InvalidSettingError`.

    Environment variables override the file, except when it is read again: the file may have changed since
    the start, while the environment of a running process cannot change.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise InvalidSettingError("PROXY_CONFIG", "missing")
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettingError("PROXY_CONFIG", f"cannot be read: {error}") from None
    if not isinstance(data, dict):
        raise InvalidSettingError("PROXY_CONFIG", "not a JSON object")
    tree = JsonReader(data)

    def overridable(variable: str, key: str) -> tuple[str, str]:
        """Return a value and the name under which it was found."""
        value = None if again else environ.get(variable)
        return (value, variable) if value else (tree.get(key, str), key)

    has_management = environ.get("PROXY_MGMT") or "mgmt" in data
    options = tree.subtree("settings")
    bounds = Bounds(
        connect_timeout=duration(options, "bounds.connect-timeout", 150_000),
        idle=duration(options, "bounds.conn-idle", 60_000_000),
        drain_grace=duration(options, "rules.drain-grace", 1_000_000),
        max_open=options.get("bounds.max-open", int, 20_000),
        retry_after=options.get("bounds.retry-after", bool, True),
        max_retry_after=duration(options, "bounds.max-retry-after", 2_000_000),
        sockets=tree.get("limits.sockets", int, 1024),
        memory=tree.get("limits.memory_mb", int, 192) << 20,
    )
    if bounds.sockets < 64:
        raise InvalidSettingError("limits.sockets", "under 64")
    for key in ("balancers", "tick", "bounds.attempts-cap"):  # the policy does not accept 0 for these
        if options.get(key, int) < 1:
            raise options.error(key, "under 1")
    try:
        settings = parse_settings(options)
    except InvalidSettingError:
        raise
    except ValueError as error:
        raise InvalidSettingError("settings", str(error).removeprefix("settings: ")) from None
    has_peers = settings.peers and "peer_listen" in data
    known = (
        tree.subtree("known")
        if "known" in data
        else JsonReader({"rev": 0, "all": True, "targets": []}, "known")
    )
    return Config(
        name=overridable("PROXY_NAME", "name")[0],
        listen=parse_address(*overridable("PROXY_LISTEN", "listen")),
        discovery=parse_address(*overridable("PROXY_DISCOVERY", "discovery")),
        mgmt=parse_address(*overridable("PROXY_MGMT", "mgmt")) if has_management else None,
        handover=handover_socket_path(environ.get("TMPDIR"), overridable("PROXY_NAME", "name")[0]),
        seed=parse_seed(tree.get("seed", str)),
        bounds=bounds,
        settings=settings,
        known=parse_destination_update(known),
        peer_listen=parse_address(tree.get("peer_listen", str), "peer_listen") if has_peers else None,
        peers=tuple(parse_address(str(peer), "peers") for peer in tree.get("peers", list, []))
        if has_peers
        else (),
    )
