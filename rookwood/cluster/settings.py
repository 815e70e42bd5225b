"""Settings of one process, read from the file that ROOKWOOD_NODE_FILE names."""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from rookwood.memory_budget import DEFAULT_MEMORY_MEGABYTES

logger = logging.getLogger("rookwood")

SETTINGS_VARIABLE = "ROOKWOOD_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/rookwood/local.json"
MILLISECONDS_PER_SECOND = 1000.0


class SettingsError(Exception):
    """The settings file is missing or invalid; the text names the file and, if one is missing, the key."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and TCP port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `ip:port`."""
        ip, _, port = text.rpartition(":")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and budgets of the deployment; times are in seconds.

    `apply` is the time within which a committed configuration must be in force, `grace` the time from the
    signal to stop until the process is killed, and `lease` the time within which two primaries must not both
    issue load orders. `retry_ratio`, `retry_window` and `retry_slack` define the retry budget; `load_window`
    and `load_rate_tolerance` limit the rate of model loads. `fenced` says that workers check the fencing
    tokens of load orders. `acknowledge`, `drain` and `synchronise` are parsed but not used.
    """

    acknowledge: float = 4.0
    drain: float = 2.0
    grace: float = 8.0
    apply: float = 2.0
    lease: float = 3.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0
    load_window: float = 5.0
    load_rate_tolerance: float = 1.1
    synchronise: float = 4.0
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one process; sizes and times have their unit in the name or are in seconds."""

    hostname: str
    ip: str
    zone: str
    listen: Mapping[str, Address]
    internal_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    tolerated_machine_failures: int
    data_directory: str | None
    disk_megabytes: int
    memory_megabytes: int
    descriptors: int
    heartbeat_interval: float
    bounds: Bounds

    @property
    def replication_port(self) -> int:
        """The port on which control machines replicate to each other."""
        return self.internal_ports[0]

    @property
    def feed_port(self) -> int:
        """The port on which control machines serve feeds."""
        return self.internal_ports[0] + 1

    @property
    def relay_port(self) -> int:
        """The port on which dispatchers relay updates to each other."""
        return self.internal_ports[0] + 2


def settings_path() -> str:
    """The path of the settings file of this process."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def load_settings(path: str) -> NodeSettings:
    """Read and parse the settings file; raises SettingsError."""
    try:
        with open(path, "rb") as file:
            document = json.load(file)
        return parse_settings(document)
    except KeyError as error:
        raise SettingsError(f"{path}: key {error.args[0]!r} is missing") from error
    except (OSError, ValueError, TypeError, AttributeError) as error:
        raise SettingsError(f"{path}: {error}") from error


class SettingsFile:
    """The settings file of a running process, which may change with or without a signal."""

    def __init__(self, path: str, settings: NodeSettings) -> None:
        self._path = path
        self._changed_at = _modification_time(path)
        self.settings = settings

    def refresh(self) -> bool:
        """Read the file again if it changed, and return whether new settings are in force.

        An invalid file leaves the old settings in force.
        """
        changed_at = _modification_time(self._path)
        if changed_at == self._changed_at:
            return False
        self._changed_at = changed_at
        try:
            self.settings = load_settings(self._path)
        except SettingsError as error:
            logger.warning("changed settings are invalid, keeping the old ones", extra={"reason": str(error)})
            return False
        logger.info("changed settings are in force")
        return True


def _modification_time(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


def parse_settings(document: Mapping[str, Any]) -> NodeSettings:
    """Build the settings from the parsed JSON document; unknown keys are ignored."""
    limits = document.get("limits") or {}
    first_port, last_port = document["port-range"]
    return NodeSettings(
        hostname=str(document["hostname"]),
        ip=str(document["ip"]),
        zone=str(document.get("az", "")),
        listen={name: Address.parse(text) for name, text in document["listen"].items()},
        internal_ports=(int(first_port), int(last_port)),
        seeds=tuple(Address.parse(text) for text in document["seeds"]),
        bootstrap=bool(document.get("bootstrap", False)),
        tolerated_machine_failures=int((document.get("tolerate") or {}).get("boxes", 0)),
        data_directory=document.get("datadir"),
        disk_megabytes=int(limits.get("disk-mb", 0)),
        memory_megabytes=int(limits.get("ram-mb", DEFAULT_MEMORY_MEGABYTES)),
        descriptors=int(limits.get("nofile", 1024)),
        heartbeat_interval=float(document.get("beat-ms", 1200)) / MILLISECONDS_PER_SECOND,
        bounds=parse_bounds(document.get("bounds") or {}),
    )


def parse_bounds(document: Mapping[str, Any]) -> Bounds:
    """Build the bounds; absent keys keep their defaults."""
    default = Bounds()

    def seconds(key: str, default_value: float) -> float:
        return float(document[key]) / MILLISECONDS_PER_SECOND if key in document else default_value

    def number(key: str, default_value: float) -> float:
        return float(document.get(key, default_value))

    return Bounds(
        acknowledge=seconds("ack-ms", default.acknowledge),
        drain=seconds("drain-ms", default.drain),
        grace=number("grace-s", default.grace),
        apply=seconds("apply-ms", default.apply),
        lease=seconds("lease-ms", default.lease),
        retry_ratio=number("retry-ratio", default.retry_ratio),
        retry_window=number("retry-window-s", default.retry_window),
        retry_slack=number("retry-slack", default.retry_slack),
        load_window=number("cap-win-s", default.load_window),
        load_rate_tolerance=number("cap-over", default.load_rate_tolerance),
        synchronise=number("sync-s", default.synchronise),
        fenced=bool(document.get("fenced", default.fenced)),
    )
