"""A whole system on loopback addresses: both programs' processes, workers, an operator and clients.

A `SystemStage` starts `rookwood_controlplane.py` and `rookwood_dataplane.py` as they are deployed, each
machine on a loopback address of its own with the same ports, a settings file and, for the control plane, a
data directory. Emulated workers run inside the calling process. An `Operator` and a `Client` call the system
from outside, and `broken_rules` judges what clients and workers saw. Times are those of `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import itertools
import shutil
import tempfile
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from rookwood.cluster.control_status import STATUS_PATH, ControlRole, ControlStatusError, MachineStatus
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import WeightStore
from rookwood.lab.emulatedworker.worker import ModelWorker
from rookwood.lab.stages import Stage
from rookwood.lab.systemstage.client import Client
from rookwood.lab.systemstage.configuration import Configuration, ServiceSpec
from rookwood.lab.systemstage.feed_relay import FeedRelays
from rookwood.lab.systemstage.judge import Judge, Rule, RuleBreak
from rookwood.lab.systemstage.machines import (
    MachineLimits,
    MachineSettings,
    ProcessRole,
    SystemProcess,
    Timing,
)
from rookwood.lab.systemstage.network import choose_network
from rookwood.lab.systemstage.operator import OPERATOR_TIMEOUT_S, Operator, OperatorAnswer
from rookwood.lab.systemstage.waiting import PATIENCE_S, POLL_INTERVAL_S, StageError, eventually

ZONES = ("z1", "z2", "z3")
SEEDS = 3
LOG_TAIL_LINES = 60
INVARIANT_RECORD = "invariant violated"  # as `rookwood.cluster.invariants` logs it
LOAD_WINDOW_S = 5.0
LOAD_FACTOR = 1.1
EXTRA_LOADS = 3
DEFAULT_TIMING = Timing()
DEFAULT_LIMITS = MachineLimits()


class SystemStage(Stage):
    """A system with its workers, an operator and a client; an asynchronous context manager.

    At the end, whatever the processes wrote last is printed: test runners show it with failing tests.
    """

    def __init__(
        self,
        control_planes: int = 3,
        data_planes: int = 2,
        timing: Timing = DEFAULT_TIMING,
        feed_rate: float | None = None,
        limits: MachineLimits = DEFAULT_LIMITS,
    ) -> None:
        """`feed_rate`: where given, the feeds of each data plane come over a link of so many bytes/s."""
        self.timing = timing
        self._limits = limits
        self._tolerated_machines = (control_planes - 1) // 2
        self.workers: list[ModelWorker] = []
        self.store = WeightStore()
        self._replaced: list[SystemProcess] = []
        self._directory = Path(tempfile.mkdtemp(prefix="rookwood-stage-"))
        self._network = choose_network()
        self._hosts = itertools.count(1)
        control_hosts = [self._next_ip() for _ in range(control_planes)]
        seeds = tuple(f"{ip}:{self._network.ports.control}" for ip in control_hosts[:SEEDS])
        self.control_planes = [
            self._machine(ProcessRole.CONTROL_PLANE, number, ip, seeds)
            for number, ip in enumerate(control_hosts)
        ]
        self.feed_relays: list[FeedRelays] = []  # in the order of the data planes, where there are any
        self.data_planes = [
            self._machine(
                ProcessRole.DATA_PLANE,
                number,
                self._next_ip(),
                seeds if feed_rate is None else self._add_feed_relays(control_hosts, feed_rate),
            )
            for number in range(data_planes)
        ]
        self.operator = Operator(self.control_addresses)
        self.client = Client()

    @property
    def processes(self) -> list[SystemProcess]:
        """All machines of the system."""
        return [*self.control_planes, *self.data_planes]

    @property
    def control_addresses(self) -> list[str]:
        """Where workers and the operator call."""
        return [machine.control_address for machine in self.control_planes]

    async def start(self) -> None:
        """Start all processes; workers are added later."""
        await asyncio.gather(*(relays.start() for relays in self.feed_relays))
        await asyncio.gather(*(machine.start() for machine in self.processes))

    async def stop(self) -> None:
        """End all processes and workers, and print what the processes wrote last."""
        await self.client.close()
        await self.operator.close()
        await asyncio.gather(*(worker.stop() for worker in self.workers))
        await asyncio.gather(*(machine.kill() for machine in self.processes if machine.running))
        await asyncio.gather(*(relays.stop() for relays in self.feed_relays))
        self._print_logs()
        shutil.rmtree(self._directory)

    async def add_worker(
        self,
        service: ServiceSpec,
        held: Iterable[str] = (),
        *,
        settings: WorkerSettings | None = None,
        host: str | None = None,
        port: int = 0,
        registers: bool = True,
    ) -> ModelWorker:
        """Starts a worker; it registers itself from now on, unless told otherwise."""
        timing = replace(
            settings or service.worker_settings(),
            heartbeat_interval_s=self.timing.heartbeat_ms / 1000,
            drain_s=self.timing.drain_ms / 1000,
        )
        worker = ModelWorker(
            timing,
            self.control_addresses if registers else (),
            host=host or self._next_ip(),
            port=port,
            held=held,
            store=self.store,
        )
        await worker.start()
        self.workers.append(worker)
        return worker

    async def begin_day(
        self, configuration: Configuration, held: Sequence[Sequence[str]] = (("alpha",), ("alpha",))
    ) -> list[ModelWorker]:
        """Has the configuration taken, and starts workers: one for each item of `held`, and one for pages.

        Returns the workers with models once every data plane is ready.
        """
        engine = configuration.service("engine")
        workers = [await self.add_worker(engine, names) for names in held]
        await self.add_worker(configuration.service("pages"))
        await self.configure(configuration)
        await self.wait_for_workers()
        await self.wait_until_ready()
        return workers

    async def replace_control_plane(self, machine: SystemProcess) -> SystemProcess:
        """Takes a control plane away for good and starts an empty one at another address.

        The seeds of the new one, as of all processes before, still name the machine that is gone.
        """
        await machine.kill()
        number = len(self._replaced) + len(self.control_planes)
        self._replaced.append(machine)
        successor = self._machine(
            ProcessRole.CONTROL_PLANE, number, self._next_ip(), machine.settings.seeds, bootstrap=False
        )
        self.control_planes[self.control_planes.index(machine)] = successor
        self.operator.addresses = self.control_addresses
        for worker in self.workers:
            worker.control_addresses[:] = self.control_addresses
        await successor.start()
        return successor

    async def wait_for_workers(self, *workers: ModelWorker, within_s: float = PATIENCE_S) -> None:
        """Waits until the control plane has acknowledged these workers, or all."""
        for worker in workers or self.workers:
            await eventually(worker.registered.is_set, f"{worker.instance} is registered", within_s)

    async def configure(self, configuration: Configuration, base: int = 0) -> OperatorAnswer:
        """Sends a configuration that must be taken."""
        answer = await self.operator.put(configuration, base)
        if answer.status != HTTPStatus.OK:
            raise StageError(f"version {configuration.version} got {answer.status}: {answer.body!r}")
        return answer

    async def wait_until_ready(self, *data_planes: SystemProcess, within_s: float = PATIENCE_S) -> None:
        """Waits until these data planes, or all, call themselves ready."""
        async with ClientSession(timeout=ClientTimeout(total=OPERATOR_TIMEOUT_S)) as session:
            for machine in data_planes or self.data_planes:
                await eventually(partial(is_ready, session, machine), f"{machine.name} is ready", within_s)

    async def is_ready(self, machine: SystemProcess) -> bool:
        """Whether a data plane calls itself ready."""
        async with ClientSession(timeout=ClientTimeout(total=OPERATOR_TIMEOUT_S)) as session:
            return await is_ready(session, machine)

    async def listens(self, machine: SystemProcess) -> bool:
        """Whether a control plane answers the operator at all."""
        return await self.operator.attempt(machine.control_address, "GET", None, None) is not None

    async def answers_as(self, machine: SystemProcess, configuration: Configuration) -> bool:
        """Whether this control plane, or one that it names, gives this configuration."""
        answer = await self.operator.attempt(machine.control_address, "GET", None, None)
        if answer is None or answer.status != HTTPStatus.OK:
            return False
        return answer.json() == configuration.document()

    async def takes_part(self, machine: SystemProcess, configuration: Configuration) -> bool:
        """Whether this control plane holds this configuration itself, as a member beside all that run."""
        status = await self._status(machine)
        if status is None or not status.holds_copy or status.role is ControlRole.UNATTACHED:
            return False
        members = {machine.settings.ip for machine in self.control_planes}
        is_complete = set(status.members) == members and not status.changes_members
        is_settled = is_complete and status.stored == status.committed
        return is_settled and status.version == configuration.version

    async def _status(self, machine: SystemProcess) -> MachineStatus | None:
        url = f"http://{machine.control_address}{STATUS_PATH}"
        try:
            async with (
                ClientSession(timeout=ClientTimeout(total=OPERATOR_TIMEOUT_S)) as session,
                session.get(url) as response,
            ):
                return MachineStatus.from_json(await response.json())
        except (ClientError, OSError, TimeoutError, ControlStatusError):
            return None

    async def wait_for_control_planes(
        self, configuration: Configuration, within_s: float = PATIENCE_S
    ) -> None:
        """Waits until every control plane takes part and gives this configuration."""
        for machine in self.control_planes:
            await eventually(
                partial(self.takes_part, machine, configuration), f"{machine.name} takes part", within_s
            )

    async def find_primary(self, within_s: float = PATIENCE_S) -> SystemProcess:
        """The control plane that itself answers GET /config, without sending the caller elsewhere."""
        give_up_at = time.monotonic() + within_s
        async with ClientSession(timeout=ClientTimeout(total=OPERATOR_TIMEOUT_S)) as session:
            while time.monotonic() < give_up_at:
                for machine in self.control_planes:
                    if machine.running and await is_primary(session, machine):
                        return machine
                await asyncio.sleep(POLL_INTERVAL_S)
        raise StageError(f"no primary within {within_s} s")

    def broken_rules(self, loads_per_s: float | None = None) -> list[RuleBreak]:
        """The rules that were broken until now."""
        breaks = Judge(self.client.answers, self.workers, self.timing).broken_rules()
        if loads_per_s is not None:
            breaks += self._judge_loads(loads_per_s)
        return breaks

    def violated_invariants(self) -> list[str]:
        """What the processes themselves logged of invariants that did not hold."""
        return [
            f"{machine.name}: {line}"
            for machine in [*self._replaced, *self.processes]
            for line in machine.log().splitlines()
            if INVARIANT_RECORD in line
        ]

    def _judge_loads(self, loads_per_s: float) -> list[RuleBreak]:
        allowed = loads_per_s * LOAD_WINDOW_S * LOAD_FACTOR + EXTRA_LOADS
        most = self.store.most_loads_within(LOAD_WINDOW_S)
        if most <= allowed:
            return []
        return [RuleBreak(Rule.CEILING, f"{most} loads began within {LOAD_WINDOW_S} s")]

    def _add_feed_relays(self, control_ips: Sequence[str], rate: float) -> tuple[str, ...]:
        """Puts relays before all control planes for the next data plane; returns its seeds."""
        relay_ips = {control_ip: self._next_ip() for control_ip in control_ips}
        feed_port = self._network.ports.feed
        self.feed_relays.append(FeedRelays(relay_ips, feed_port, rate))
        return tuple(f"{ip}:{self._network.ports.control}" for ip in list(relay_ips.values())[:SEEDS])

    def _next_ip(self) -> str:
        return self._network.ip(next(self._hosts))

    def _machine(
        self, role: ProcessRole, number: int, ip: str, seeds: tuple[str, ...], bootstrap: bool = True
    ) -> SystemProcess:
        name = f"{role.short_name}-{number + 1}"
        data_directory = None
        if role is ProcessRole.CONTROL_PLANE:
            data_directory = self._directory / f"{name}.data"
            data_directory.mkdir()
        settings = MachineSettings(
            name=name,
            role=role,
            ip=ip,
            zone=ZONES[number % len(ZONES)],
            zones=ZONES,
            ports=self._network.ports,
            seeds=seeds,
            bootstrap=bootstrap,
            data_directory=data_directory,
            tolerated_machines=self._tolerated_machines,
            timing=self.timing,
            limits=self._limits,
        )
        return SystemProcess(settings, self._directory)

    def _print_logs(self) -> None:
        for machine in [*self._replaced, *self.processes]:
            tail = machine.log().splitlines()[-LOG_TAIL_LINES:]
            print(f"--- {machine.name} ({machine.settings.ip}), exit status {machine.exit_status}")
            print("\n".join(tail))


async def is_ready(session: ClientSession, machine: SystemProcess) -> bool:
    """Whether a data plane calls itself ready."""
    try:
        async with session.get(machine.ready_url) as response:
            return response.status == HTTPStatus.OK
    except (ClientError, OSError, TimeoutError):
        return False


async def is_primary(session: ClientSession, machine: SystemProcess) -> bool:
    """Whether a control plane answers for the configuration itself."""
    try:
        url = f"http://{machine.control_address}/config"
        async with session.get(url, allow_redirects=False) as response:
            return response.status in (HTTPStatus.OK, HTTPStatus.NOT_FOUND)
    except (ClientError, OSError, TimeoutError):
        return False
