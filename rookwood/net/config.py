"""What this dispatcher is told: environment and JSON file, checked and given defaults in this one place."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from urllib.parse import quote

from rookwood import interface as api
from rookwood.net.destinations import Address, DestinationUpdate, address_of, destination_set_of
from rookwood.settings import InvalidSettingError, JsonReader, parse_settings


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the network side keeps to; the decisions have their own settings."""

    connect_timeout: timedelta
    idle: timedelta  # an endpoint closes a connection that stood idle this long
    drain_grace: timedelta
    max_open: int  # requests in hand
    retry_after: bool  # clients are told when to come back
    max_retry_after: timedelta
    sockets: int  # file descriptors of this process
    memory: int  # bytes that this process may take


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # where those who run the dispatcher call; None: nowhere
    handover: Path | None  # where a running process meets the next; None: nowhere
    seed: int
    bounds: Bounds
    settings: api.Settings
    known: DestinationUpdate
    peer_listen: Address | None = None  # where datagrams of other dispatchers arrive; None: nowhere
    peers: tuple[Address, ...] = ()  # every dispatcher's address, this one's included


def span(tree: JsonReader, path: str, default: int | None = None) -> timedelta:
    return timedelta(microseconds=tree.get(path, int, default))


def seed_of(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidSettingError("seed", f"not hexadecimal: {text!r}") from None


def handover_of(folder: str | None, name: str) -> Path | None:
    return Path(folder) / f"rookwood-{quote(name, safe='')}.sock" if folder else None


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Raises `InvalidSettingError`. Single variables go before the file, but not when it is read again: it
    may have changed since the start, and they cannot."""
    place = environ.get("PROXY_CONFIG")
    if not place:
        raise InvalidSettingError("PROXY_CONFIG", "missing")
    try:
        data = json.loads(Path(place).read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettingError("PROXY_CONFIG", f"cannot be read: {error}") from None
    if not isinstance(data, dict):
        raise InvalidSettingError("PROXY_CONFIG", "not a JSON object")
    tree = JsonReader(data)

    def own(variable: str, key: str) -> tuple[str, str]:
        found = None if again else environ.get(variable)
        return (found, variable) if found else (tree.get(key, str), key)

    calls = environ.get("PROXY_MGMT") or "mgmt" in data
    told = tree.subtree("settings")
    bounds = Bounds(
        connect_timeout=span(told, "bounds.connect-timeout", 150_000),
        idle=span(told, "bounds.conn-idle", 60_000_000),
        drain_grace=span(told, "rules.drain-grace", 1_000_000),
        max_open=told.get("bounds.max-open", int, 20_000),
        retry_after=told.get("bounds.retry-after", bool, True),
        max_retry_after=span(told, "bounds.max-retry-after", 2_000_000),
        sockets=tree.get("limits.sockets", int, 1024),
        memory=tree.get("limits.memory_mb", int, 192) << 20,
    )
    if bounds.sockets < 64:
        raise InvalidSettingError("limits.sockets", "under 64")
    for key in ("balancers", "tick", "bounds.attempts-cap"):  # the module takes none of these as 0
        if told.get(key, int) < 1:
            raise told.error(key, "under 1")
    try:
        settings = parse_settings(told)
    except InvalidSettingError:
        raise
    except ValueError as error:
        raise InvalidSettingError("settings", str(error).removeprefix("settings: ")) from None
    heard = settings.peers and "peer_listen" in data
    known = (
        tree.subtree("known")
        if "known" in data
        else JsonReader({"rev": 0, "all": True, "targets": []}, "known")
    )
    return Config(
        name=own("PROXY_NAME", "name")[0],
        listen=address_of(*own("PROXY_LISTEN", "listen")),
        discovery=address_of(*own("PROXY_DISCOVERY", "discovery")),
        mgmt=address_of(*own("PROXY_MGMT", "mgmt")) if calls else None,
        handover=handover_of(environ.get("TMPDIR"), own("PROXY_NAME", "name")[0]),
        seed=seed_of(tree.get("seed", str)),
        bounds=bounds,
        settings=settings,
        known=destination_set_of(known),
        peer_listen=address_of(tree.get("peer_listen", str), "peer_listen") if heard else None,
        peers=tuple(address_of(str(peer), "peers") for peer in tree.get("peers", list, [])) if heard else (),
    )
