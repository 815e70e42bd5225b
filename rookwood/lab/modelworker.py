"""An emulated model worker: serves requests, takes placement orders and registers itself, all over HTTP.

A `ModelWorker` runs inside the process of a test or an experiment and speaks the worker's side of the
protocol on a loopback socket. Whatever it ran, refused or was ordered to do is recorded for assertions, and
`inject` makes it misbehave in chosen ways. Times in the records are those of `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import json
import time
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from aiohttp import ClientError, ClientSession, ClientTimeout, web

HEARTBEAT_TIMEOUT_S = 1.0
HEARTBEAT_ANSWER_LIMIT = 4096  # bytes
HEARTBEAT_REDIRECTS = 2
REGISTRATION_RETRY_S = 0.05  # pause before the next round after every address failed
CANCELLATION_RETRY_S = 0.2
UNACKNOWLEDGED_DRAIN_S = 3.0
REPORT_HISTORY = 256  # states kept for lagging reports
ADAPTER_LOAD_S = 0.005
LOCAL_LOAD_FACTOR = 0.3  # of `load_s`, where the weights are on the worker's own disk
PLAIN_BODY_BYTES = 800
ERROR_BODY = b"the worker failed"
DEFAULT_TIME_LEFT_MS = 60_000
MAX_REQUEST_BYTES = 16 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.05

JsonObject = dict[str, object]


class ServiceState(StrEnum):
    """What a worker says of itself when it registers."""

    UP = "up"
    DRAINING = "draining"


class OrderOperation(StrEnum):
    """What a placement order asks for."""

    PLACE = "place"
    EVICT = "evict"


class RunOutcome(StrEnum):
    """How the run of a request ended."""

    RUNNING = "running"
    COMPLETE = "complete"
    CUT = "cut"  # by the worker
    ABANDONED = "abandoned"  # the caller closed the connection
    TIMED_OUT = "timed out"


class ViolationKind(StrEnum):
    """What the system must never do to a worker."""

    OVER_CAPACITY = "ordered to load more than it holds"
    SHARED_FENCE = "two owners share one fence"


@dataclass(frozen=True)
class WeightKey:
    """A model, or an adapter of it."""

    model: str
    adapter: str | None = None

    @classmethod
    def parse(cls, text: str) -> WeightKey:
        """Reads the value of an `X-Model` header."""
        model, _, adapter = text.partition("/")
        return cls(model, adapter or None)

    def __str__(self) -> str:
        return self.model if self.adapter is None else f"{self.model}/{self.adapter}"


@dataclass(frozen=True)
class ModelSpec:
    """A model that a service offers; its adapters are named a1, a2 and so on."""

    name: str
    size_mb: float = 100.0
    load_s: float = 0.05
    adapters: int = 0
    adapter_mb: float = 1.0

    @property
    def adapter_names(self) -> list[str]:
        """The names of all adapters."""
        return [f"a{number}" for number in range(1, self.adapters + 1)]


@dataclass(frozen=True)
class WorkerSettings:
    """How a worker presents itself, what it holds at most and how fast it works."""

    service: str
    zone: str = "z1"
    health_path: str = "/healthz"
    software_version: str = "v1"
    slots: int = 8
    queue_limit: int = 8
    catalogue: tuple[ModelSpec, ...] = ()  # empty for a service without models
    size_mb: float = 0.0
    adapter_slots: int = 0
    fenced: bool = True
    work_s: float = 0.005  # until the first byte of an answer
    event_interval_s: float = 0.005
    events: int = 5  # of a stream whose request names no number of tokens
    tokens_per_event: int = 5
    kv_capacity: int = 200_000
    heartbeat_interval_s: float = 0.2
    drain_s: float = 2.0
    report_lag_s: float = 0.1

    def model(self, name: str) -> ModelSpec | None:
        """The model of that name in the catalogue."""
        return next((spec for spec in self.catalogue if spec.name == name), None)


@dataclass
class WeightStore:
    """The store that all workers fetch weights from; remembers when each load began."""

    loads: list[float] = field(default_factory=list)

    def most_loads_within(self, window_s: float) -> int:
        """The largest number of loads that began within one span of that length."""
        return max((self._loads_from(start, window_s) for start in self.loads), default=0)

    def _loads_from(self, start: float, window_s: float) -> int:
        return sum(start <= load < start + window_s for load in self.loads)


@dataclass(frozen=True)
class CrashMidStream:
    """The worker crashes within the event after this one."""

    after_event: int = 1


@dataclass(frozen=True)
class CutAnswer:
    """The connection closes before the answer is whole; a stream gets this many events first."""

    after_event: int = 1


@dataclass(frozen=True)
class ExtraAnswer:
    """A second whole answer, of no request, follows the right one on the same connection."""

    try_id: str = "surplus"


@dataclass(frozen=True)
class Hang:
    """The request runs, but no byte of an answer is sent."""


@dataclass(frozen=True)
class Slow:
    """The first byte of the answer comes later."""

    delay_s: float


@dataclass(frozen=True)
class ServerError:
    """The request runs and fails with this status; the answer carries a seal."""

    status: int = 500


@dataclass(frozen=True)
class Full:
    """The request is refused as though all slots and the queue were taken."""


@dataclass(frozen=True)
class Pause:
    """A stream rests after this event until the test sets `resume`."""

    resume: asyncio.Event
    after_event: int = 1


Fault = CrashMidStream | CutAnswer | ExtraAnswer | Hang | Slow | ServerError | Full | Pause


@dataclass
class PlannedFault:
    """A fault that the next requests meet; with no number of times, all of them."""

    fault: Fault
    times: int | None


@dataclass(eq=False)
class Run:
    """A request that the worker began to work on."""

    try_id: str
    instance: str
    service: str
    number: int
    method: str
    path: str  # with the query, as it came
    host: str
    body_digest: str
    weights: WeightKey | None
    last_event_id: int
    started_at: float
    seal: str
    status: int = 200
    final_event_id: int = 0  # of a stream
    answer: bytearray = field(default_factory=bytearray)  # the part of the body that was sent
    outcome: RunOutcome = RunOutcome.RUNNING

    @property
    def label(self) -> str:
        """The name of this run in the data of its events."""
        return f"{self.instance}#{self.number}"


@dataclass(frozen=True)
class Refusal:
    """A request that the worker rejected without running it."""

    try_id: str
    status: int
    reason: str
    at: float


@dataclass(frozen=True)
class PlacementOrder:
    """An order to load or unload weights."""

    operation: OrderOperation
    weights: WeightKey
    owner: str
    fence: int
    expected_revision: int | None = None


@dataclass(frozen=True)
class OrderRecord:
    """An order as it came, and the status that answered it."""

    order: PlacementOrder
    status: int
    at: float


@dataclass(frozen=True)
class Violation:
    """A broken rule that the worker itself can notice."""

    kind: ViolationKind
    detail: str
    at: float


@dataclass
class WorkerRecords:
    """Everything a worker saw, in order of time."""

    runs: list[Run] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    probes: int = 0


def parse_order(document: object) -> PlacementOrder | None:
    """Reads the body of an order; None where an item is missing or of the wrong kind."""
    if not isinstance(document, dict) or document.get("op") not in list(OrderOperation):
        return None
    model, adapter = document.get("model"), document.get("lora")
    owner, fence, revision = document.get("owner"), document.get("fence"), document.get("if-revision")
    if not (isinstance(model, str) and isinstance(owner, str) and isinstance(fence, int)):
        return None
    if not isinstance(adapter, str | None) or not isinstance(revision, int | None):
        return None
    return PlacementOrder(OrderOperation(document["op"]), WeightKey(model, adapter), owner, fence, revision)


def body_digest(body: bytes) -> str:
    """The digest by which the body of a request is compared."""
    return hashlib.sha256(body).hexdigest()


def event_bytes(event_id: int, data: str) -> bytes:
    """One event of a stream."""
    return f"id: {event_id}\ndata: {data}\n\n".encode()


class Holdings:
    """The weights in a worker's memory, with their versions."""

    def __init__(self, settings: WorkerSettings) -> None:
        self._settings = settings
        self._adapters: dict[str, set[str]] = {}  # by model

    def holds(self, weights: WeightKey) -> bool:
        """Whether requests for these weights can be served."""
        adapters = self._adapters.get(weights.model)
        if adapters is None:
            return False
        return weights.adapter is None or weights.adapter in adapters

    def add(self, weights: WeightKey) -> None:
        """Adds a model, or an adapter to a model that is present."""
        adapters = self._adapters.setdefault(weights.model, set())
        if weights.adapter is not None:
            adapters.add(weights.adapter)

    def discard(self, weights: WeightKey) -> None:
        """Removes an adapter, or a model and all adapters of it."""
        if weights.adapter is None:
            self._adapters.pop(weights.model, None)
        else:
            self._adapters.get(weights.model, set()).discard(weights.adapter)

    def has_room_for(self, weights: WeightKey) -> bool:
        """Whether memory and adapter slots suffice for one more."""
        slots = self._used_slots() + (weights.adapter is not None)
        return self._used_mb() + self._size_of(weights) <= self._settings.size_mb and (
            slots <= self._settings.adapter_slots
        )

    def models(self) -> list[JsonObject]:
        """The holdings as reports and registrations show them."""
        return [
            {"name": model, "ver": 1, "loras": sorted(adapters)} for model, adapters in self._adapters.items()
        ]

    def _used_slots(self) -> int:
        return sum(len(adapters) for adapters in self._adapters.values())

    def _used_mb(self) -> float:
        models = sum(self._size_of(WeightKey(model)) for model in self._adapters)
        adapters = sum(
            self._size_of(WeightKey(model, adapter))
            for model, names in self._adapters.items()
            for adapter in names
        )
        return models + adapters

    def _size_of(self, weights: WeightKey) -> float:
        spec = self._settings.model(weights.model)
        if spec is None:
            return 0.0
        return spec.size_mb if weights.adapter is None else spec.adapter_mb


class SlotPool:
    """The places for requests that run at once, and a short queue for them."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self._queue_limit = queue_limit
        self._semaphore = asyncio.Semaphore(slots)

    @property
    def load(self) -> str:
        """The value of an `X-Load` header."""
        return f"{self.running},{self.waiting},{self.slots}"

    @property
    def full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self._semaphore.locked() and self.waiting >= self._queue_limit

    async def acquire(self, timeout_s: float) -> bool:
        """Takes a slot; False where none came free in time."""
        self.waiting += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._semaphore.acquire()
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def release(self) -> None:
        """Gives a slot back."""
        self.running -= 1
        self._semaphore.release()


class PlacementExecutor:
    """Takes placement orders, one at a time, and keeps the holdings that result.

    `on_change` is called whenever a report would read differently, `on_overload` once an order would exceed
    the memory or the adapter slots, at which a worker falls.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        instance: str,
        records: WorkerRecords,
        store: WeightStore,
        local_weights: set[str],
        on_change: Callable[[], None],
        on_overload: Callable[[], None],
    ) -> None:
        self.holdings = Holdings(settings)
        self.pending: PlacementOrder | None = None
        self.revision = 0
        self._settings = settings
        self._instance = instance
        self._records = records
        self._store = store
        self._local_weights = local_weights
        self._on_change = on_change
        self._on_overload = on_overload
        self._highest_fence = -1
        self._fence_owners: dict[int, str] = {}
        self._running: Counter[WeightKey] = Counter()
        self._run_ended = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    def take(self, body: bytes) -> HTTPStatus:
        """Takes an order in, begins it where nothing is against it, and returns the answer's status."""
        order = self._read(body)
        if order is None:
            return HTTPStatus.BAD_REQUEST
        status = self._judge(order)
        self._records.orders.append(OrderRecord(order, status, time.monotonic()))
        if status is HTTPStatus.ACCEPTED:
            self._begin(order)
        return status

    def concerns(self, weights: WeightKey) -> bool:
        """Whether the order under way touches requests for these weights."""
        return self.pending is not None and concerns(self.pending.weights, weights)

    @contextlib.asynccontextmanager
    async def in_use(self, weights: WeightKey) -> AsyncIterator[None]:
        """Keeps these weights from being unloaded for as long as it is entered."""
        self._running[weights] += 1
        try:
            yield
        finally:
            self._running[weights] -= 1
            async with self._run_ended:
                self._run_ended.notify_all()

    async def stop(self) -> None:
        """Drops the order under way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _read(self, body: bytes) -> PlacementOrder | None:
        try:
            order = parse_order(json.loads(body))
        except ValueError:
            return None
        return order if order is not None and self._is_offered(order.weights) else None

    def _is_offered(self, weights: WeightKey) -> bool:
        spec = self._settings.model(weights.model)
        return spec is not None and (weights.adapter is None or weights.adapter in spec.adapter_names)

    def _judge(self, order: PlacementOrder) -> HTTPStatus:
        self._note_fence_owner(order)
        if self._settings.fenced and order.fence < self._highest_fence:
            return HTTPStatus.PRECONDITION_FAILED
        self._highest_fence = max(self._highest_fence, order.fence)
        if self.pending is not None:
            return HTTPStatus.CONFLICT
        if order.expected_revision is not None and order.expected_revision != self.revision:
            return HTTPStatus.CONFLICT
        if self.holdings.holds(order.weights) is (order.operation is OrderOperation.PLACE):
            return HTTPStatus.OK
        if order.weights.adapter is not None and not self.holdings.holds(WeightKey(order.weights.model)):
            return HTTPStatus.MISDIRECTED_REQUEST
        return HTTPStatus.ACCEPTED

    def _note_fence_owner(self, order: PlacementOrder) -> None:
        owner = self._fence_owners.setdefault(order.fence, order.owner)
        if owner != order.owner:
            detail = f"{owner} and {order.owner} both sent {order.fence}"
            self._note_violation(ViolationKind.SHARED_FENCE, detail)

    def _note_violation(self, kind: ViolationKind, detail: str) -> None:
        self._records.violations.append(Violation(kind, f"{self._instance}: {detail}", time.monotonic()))

    def _begin(self, order: PlacementOrder) -> None:
        if order.operation is OrderOperation.PLACE and not self.holdings.has_room_for(order.weights):
            detail = f"{order.weights} beside {self.holdings.models()}"
            self._note_violation(ViolationKind.OVER_CAPACITY, detail)
            self._on_overload()
            return
        self.pending = order
        self.revision += 1
        self._on_change()
        self._task = asyncio.get_running_loop().create_task(self._carry_out(order))

    async def _carry_out(self, order: PlacementOrder) -> None:
        if order.operation is OrderOperation.PLACE:
            await asyncio.sleep(self._load_time(order.weights))
            self.holdings.add(order.weights)
        else:
            async with self._run_ended:
                await self._run_ended.wait_for(lambda: not self._has_runs_of(order.weights))
            self.holdings.discard(order.weights)
        self.pending = None
        self._on_change()

    def _load_time(self, weights: WeightKey) -> float:
        if weights.adapter is not None:
            return ADAPTER_LOAD_S
        spec = self._settings.model(weights.model)
        assert spec is not None, "orders for models outside the catalogue are refused"
        if weights.model in self._local_weights:
            return spec.load_s * LOCAL_LOAD_FACTOR
        self._local_weights.add(weights.model)
        self._store.loads.append(time.monotonic())
        return spec.load_s

    def _has_runs_of(self, weights: WeightKey) -> bool:
        return any(count > 0 and concerns(weights, running) for running, count in self._running.items())


class Registrar:
    """Sends a worker's registrations to the control plane, one address after the other until one answers."""

    def __init__(self, instance: str, control_addresses: Sequence[str]) -> None:
        self.control_addresses = list(control_addresses)
        self.acknowledged_by: str | None = None  # the address that acknowledged last
        self._instance = instance
        self._next = 0
        self._heartbeat_url: str | None = None
        self._session = ClientSession(timeout=ClientTimeout(total=HEARTBEAT_TIMEOUT_S))

    async def register(self, registration: JsonObject) -> bool:
        """One heartbeat; True once it is acknowledged."""
        return await self._send_to_any("PUT", registration)

    async def deregister(self) -> bool:
        """Says that the worker is gone."""
        return await self._send_to_any("DELETE", None)

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def _send_to_any(self, method: str, body: JsonObject | None) -> bool:
        if self._heartbeat_url is not None:
            if await self._send(method, self._heartbeat_url, body):
                return True
            self._heartbeat_url = None
        for _ in range(len(self.control_addresses)):
            address = self.control_addresses[self._next % len(self.control_addresses)]
            if await self._send(method, address, body):
                return True
            self._next += 1
        return False

    async def _send(self, method: str, address: str, body: JsonObject | None) -> bool:
        try:
            async with self._session.request(
                method, self._url(address), json=body, max_redirects=HEARTBEAT_REDIRECTS + 1
            ) as response:
                answer = await response.content.read(HEARTBEAT_ANSWER_LIMIT + 1)
                while chunk := await response.content.read(HEARTBEAT_ANSWER_LIMIT + 1):
                    answer += chunk
        except (ClientError, OSError, TimeoutError):
            return False
        if response.status // 100 != 2 or len(answer) > HEARTBEAT_ANSWER_LIMIT:
            return False
        self.acknowledged_by = address
        self._take_heartbeat_url(answer)
        return True

    def _url(self, address: str) -> str:
        path = f"/workers/{self._instance}"
        base = address if "://" in address else f"http://{address}"
        return base if base.endswith(path) else base.rstrip("/") + path

    def _take_heartbeat_url(self, answer: bytes) -> None:
        with contextlib.suppress(ValueError):
            document = json.loads(answer)
            if isinstance(document, dict) and isinstance(document.get("beat-url"), str):
                self._heartbeat_url = document["beat-url"] or None


@dataclass(frozen=True)
class TimedReport:
    """The state of a worker at one moment."""

    at: float
    document: JsonObject


async def cancel_until_ended(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks until they ended.

    A cancellation that meets a time limit in the same moment can be lost; waiting for a task that was
    cancelled only once could then last for ever.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCELLATION_RETRY_S)


class ModelWorker:
    """One incarnation of a worker. `start` it, and `stop`, `crash` or `drain` it at the end."""

    _incarnations = itertools.count(1)

    def __init__(
        self,
        settings: WorkerSettings,
        control_addresses: Sequence[str] = (),
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        held: Iterable[str] = (),
        store: WeightStore | None = None,
        local_weights: set[str] | None = None,
    ) -> None:
        """`held`: names as in `X-Model`. `local_weights`: models on the disk, kept over restarts."""
        self.settings = settings
        self.instance = f"i-{next(self._incarnations):08x}"
        self.records = WorkerRecords()
        self.store = store or WeightStore()
        self.local_weights = set() if local_weights is None else local_weights
        self.state = ServiceState.UP
        self.drain_acknowledged_at: float | None = None
        self.deregistration_acknowledged = False
        self.registered = asyncio.Event()
        self.ended = asyncio.Event()
        self.slots = SlotPool(settings.slots, settings.queue_limit)
        self.placement = PlacementExecutor(
            settings,
            self.instance,
            self.records,
            self.store,
            self.local_weights,
            on_change=self._note_state,
            on_overload=lambda: self._spawn(self.crash()),
        )
        for name in held:
            weights = WeightKey.parse(name)
            self.holdings.add(weights)
            self.local_weights.add(weights.model)
        self._host, self._port = host, port
        self._control_addresses = list(control_addresses)
        self._registrar: Registrar | None = None
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._faults: deque[PlannedFault] = deque()
        self._heartbeat_number = 0
        self._left_ms: int | None = None
        self._reports: deque[TimedReport] = deque(maxlen=REPORT_HISTORY)

    @property
    def holdings(self) -> Holdings:
        """The weights in its memory."""
        return self.placement.holdings

    @property
    def address(self) -> str:
        """Where it listens, as HOST:PORT."""
        return f"{self._host}:{self._port}"

    @property
    def control_addresses(self) -> list[str]:
        """The addresses that it registers at, in the order of trying; may be changed in place."""
        return self._control_addresses if self._registrar is None else self._registrar.control_addresses

    async def start(self) -> None:
        """Listens, and begins to register itself where it has control addresses."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_get(self.settings.health_path, self._answer_health)
        app.router.add_get("/report", self._answer_report)
        app.router.add_post("/order", self._answer_order)
        app.router.add_route("*", "/{path:.*}", self._answer_request)
        self._runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]
        self._note_state()
        if self._control_addresses:
            self._registrar = Registrar(self.instance, self._control_addresses)
            self._spawn(self._send_heartbeats(self._registrar))

    def inject(self, fault: Fault, times: int | None = 1) -> None:
        """The next requests meet this fault, after those injected before it."""
        self.plan(PlannedFault(fault, times))

    def plan(self, planned: PlannedFault) -> None:
        """As `inject`, for a fault that several workers may share."""
        self._faults.append(planned)

    def clear_faults(self) -> None:
        """No further request meets a fault."""
        self._faults.clear()

    async def stop(self) -> None:
        """Ends at once without a word to the control plane; open connections are closed."""
        await self.crash()

    async def crash(self) -> None:
        """Resets all connections, stops listening and forgets what it held."""
        if self.ended.is_set():
            return
        self.ended.set()
        runner, self._runner = self._runner, None
        if runner is not None:
            await self._close_sockets(runner)
        await self.placement.stop()
        await self._cancel_tasks()
        if self._registrar is not None:
            await self._registrar.close()

    async def drain(self, linger_s: float = 0.0, left_ms: int | None = None) -> None:
        """The planned end: says `draining`, serves on, deregisters and ends.

        With `left_ms`, the end comes after that time whatever still runs. Without an acknowledgement the
        worker ends as well, some seconds later.
        """
        self._left_ms = left_ms
        self.state = ServiceState.DRAINING
        acknowledged = await self._announce_drain()
        serve_on_s = self.settings.drain_s + linger_s
        if left_ms is not None:
            serve_on_s = left_ms / 1000
        if acknowledged:
            await asyncio.sleep(serve_on_s)
        if self._registrar is not None:
            self.deregistration_acknowledged = await self._registrar.deregister()
        await self.crash()

    def runs_after_drain(self, bound_s: float) -> list[Run]:
        """The runs that began more than so long after the draining was acknowledged."""
        if self.drain_acknowledged_at is None:
            return []
        latest = self.drain_acknowledged_at + bound_s
        return [run for run in self.records.runs if run.started_at > latest]

    async def _close_sockets(self, runner: web.AppRunner) -> None:
        for site in list(runner.sites):
            await site.stop()
        server = runner.server
        connections = [] if server is None else server.connections
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_tasks(self) -> None:
        others = [task for task in self._tasks if task is not asyncio.current_task()]
        await cancel_until_ended(others)

    # Registration

    async def _send_heartbeats(self, registrar: Registrar) -> None:
        while True:
            acknowledged = await registrar.register(self._registration())
            if acknowledged:
                self.registered.set()
            await asyncio.sleep(self.settings.heartbeat_interval_s if acknowledged else REGISTRATION_RETRY_S)

    async def _announce_drain(self) -> bool:
        if self._registrar is None:
            return False
        give_up_at = time.monotonic() + UNACKNOWLEDGED_DRAIN_S
        while time.monotonic() < give_up_at:
            if await self._registrar.register(self._registration()):
                self.drain_acknowledged_at = time.monotonic()
                return True
            await asyncio.sleep(REGISTRATION_RETRY_S)
        return False

    def _registration(self) -> JsonObject:
        self._heartbeat_number += 1
        document: JsonObject = {
            "svc": self.settings.service,
            "addr": self.address,
            "az": self.settings.zone,
            "ver": self.settings.software_version,
            "slots": self.settings.slots,
            "state": self.state.value,
            "cold-ms": 0,
            "phase": "both",
            "models": self.holdings.models(),
            "seq": self._heartbeat_number,
        }
        if self._left_ms is not None:
            document["left-ms"] = self._left_ms
        return document

    # Reports and health

    def _note_state(self) -> None:
        document: JsonObject = {
            "phase": "both",
            "models": self.holdings.models(),
            "busy": self.placement.pending is not None,
            "seq": self.placement.revision,
            "queued": self.slots.waiting,
            "active": self.slots.running,
            "kv-used": 0,
            "kv-max": self.settings.kv_capacity,
            "serving": 0,
        }
        self._reports.append(TimedReport(time.monotonic(), document))

    async def _answer_report(self, request: web.Request) -> web.StreamResponse:
        self.records.probes += 1
        latest = time.monotonic() - self.settings.report_lag_s
        known = [report for report in self._reports if report.at <= latest] or [self._reports[0]]
        return web.json_response(known[-1].document)

    async def _answer_health(self, request: web.Request) -> web.StreamResponse:
        self.records.probes += 1
        if not await self.slots.acquire(HEARTBEAT_TIMEOUT_S):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=self._own_headers())
        try:
            status = HTTPStatus.OK if self.state is ServiceState.UP else HTTPStatus.SERVICE_UNAVAILABLE
            return web.Response(status=status, headers=self._own_headers())
        finally:
            self.slots.release()

    def _own_headers(self) -> dict[str, str]:
        return {"X-Instance": self.instance, "X-Load": self.slots.load}

    async def _answer_order(self, request: web.Request) -> web.StreamResponse:
        if self._is_for_another_instance(request):
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST, headers=self._own_headers())
        status = self.placement.take(await request.read())
        return web.Response(status=status)

    # Requests

    async def _answer_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        deadline = time.monotonic() + time_left_s(request)
        refused = self._refusal_of(request)
        if refused is not None:
            return self._refuse(request, refused)
        fault = self._take_fault()
        if isinstance(fault, Full) or self.slots.full:
            return self._refuse(request, Refused(HTTPStatus.SERVICE_UNAVAILABLE, "full"))
        if not await self.slots.acquire(deadline - time.monotonic()):
            return self._refuse(
                request, Refused(HTTPStatus.SERVICE_UNAVAILABLE, "deadline passed in the queue")
            )
        try:
            refused = self._refusal_of(request)
            if refused is not None:
                return self._refuse(request, refused)
            return await self._run(request, body, deadline, fault)
        finally:
            self.slots.release()
            self._note_state()

    async def _run(
        self, request: web.Request, body: bytes, deadline: float, fault: Fault | None
    ) -> web.StreamResponse:
        run = self._begin_run(request, body)
        try:
            async with self.placement.in_use(run.weights or WeightKey("")):
                return await self._run_until(deadline, request, run, fault)
        finally:
            if run.outcome is RunOutcome.RUNNING:
                run.outcome = RunOutcome.ABANDONED

    def _take_fault(self) -> Fault | None:
        while self._faults and self._faults[0].times == 0:
            self._faults.popleft()
        if not self._faults:
            return None
        planned = self._faults[0]
        if planned.times is not None:
            planned.times -= 1
        return planned.fault

    def _refusal_of(self, request: web.Request) -> Refused | None:
        if self._is_for_another_instance(request):
            return Refused(HTTPStatus.MISDIRECTED_REQUEST, "another instance is wanted")
        if "X-Try-Id" not in request.headers:
            return Refused(HTTPStatus.BAD_REQUEST, "no X-Try-Id")
        if not self.settings.catalogue:
            return None
        weights = WeightKey.parse(request.headers.get("X-Model", ""))
        if self.placement.concerns(weights):
            return Refused(HTTPStatus.SERVICE_UNAVAILABLE, "an order for these weights is under way")
        if not self.holdings.holds(weights):
            return Refused(HTTPStatus.MISDIRECTED_REQUEST, f"{weights} is not present")
        return None

    def _is_for_another_instance(self, request: web.Request) -> bool:
        return request.headers.get("X-Want-Instance", self.instance) != self.instance

    def _refuse(self, request: web.Request, refused: Refused) -> web.Response:
        try_id = request.headers.get("X-Try-Id", "")
        self.records.refusals.append(Refusal(try_id, refused.status, refused.reason, time.monotonic()))
        headers = {**self._own_headers(), "X-Not-Run": "1"}
        if try_id:
            headers["X-Try-Id"] = try_id
        return web.Response(status=refused.status, headers=headers, text=refused.reason)

    def _begin_run(self, request: web.Request, body: bytes) -> Run:
        number = len(self.records.runs) + 1
        model = request.headers.get("X-Model")
        run = Run(
            try_id=request.headers["X-Try-Id"],
            instance=self.instance,
            service=self.settings.service,
            number=number,
            method=request.method,
            path=request.raw_path,
            host=request.headers.get("Host", ""),
            body_digest=body_digest(body),
            weights=None if model is None else WeightKey.parse(model),
            last_event_id=int(request.headers.get("Last-Event-Id", "0")),
            started_at=time.monotonic(),
            seal=f"{self.instance}.{number}.{body_digest(body)[:8]}",
        )
        self.records.runs.append(run)
        self._note_state()
        return run

    async def _run_until(
        self, deadline: float, request: web.Request, run: Run, fault: Fault | None
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._answer_headers(run))
        if self.state is ServiceState.DRAINING:
            response.force_close()
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                if isinstance(fault, ServerError):
                    await self._send_error(request, response, run, fault)
                elif self.settings.catalogue:
                    await self._send_stream(request, response, run, fault)
                else:
                    await self._send_plain(request, response, run, fault)
        except TimeoutError:
            run.outcome = RunOutcome.TIMED_OUT
            if not response.prepared:
                run.status = HTTPStatus.GATEWAY_TIMEOUT
                return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT, headers=self._answer_headers(run))
            close_connection(request)
        except AnswerCutError:
            run.outcome = RunOutcome.CUT
            close_connection(request)
        else:
            run.outcome = RunOutcome.COMPLETE
            if isinstance(fault, ExtraAnswer):
                send_extra_answer(request, fault)
        return response

    def _answer_headers(self, run: Run) -> dict[str, str]:
        headers = {"X-Try-Id": run.try_id, "X-Seal": run.seal, "X-Load": self.slots.load}
        if self.settings.catalogue:
            headers["Versions"] = "1"
        return headers

    async def _send_error(
        self, request: web.Request, response: web.StreamResponse, run: Run, fault: ServerError
    ) -> None:
        run.status = fault.status
        response.set_status(fault.status)
        response.content_length = len(ERROR_BODY)
        await response.prepare(request)
        await write(response, run, ERROR_BODY)
        await response.write_eof()

    async def _send_plain(
        self, request: web.Request, response: web.StreamResponse, run: Run, fault: Fault | None
    ) -> None:
        await self._work(fault)
        body = (run.seal.encode() * PLAIN_BODY_BYTES)[:PLAIN_BODY_BYTES]
        response.content_length = len(body)
        await response.prepare(request)
        half = len(body) // 2
        await write(response, run, body[:half])
        if isinstance(fault, CutAnswer):
            raise AnswerCutError
        if isinstance(fault, CrashMidStream):
            await self._crash_within_request()
        await write(response, run, body[half:])
        await response.write_eof()

    async def _send_stream(
        self, request: web.Request, response: web.StreamResponse, run: Run, fault: Fault | None
    ) -> None:
        await self._work(fault)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        run.final_event_id = self._last_event_of(request)
        for event_id in range(run.last_event_id + 1, run.final_event_id + 1):
            event = event_bytes(event_id, run.label)
            await self._meet_fault_within_stream(response, run, event_id, fault)
            await write(response, run, event)
            await asyncio.sleep(self.settings.event_interval_s)
        await response.write_eof()

    async def _work(self, fault: Fault | None) -> None:
        if isinstance(fault, Hang):
            await asyncio.Event().wait()
        if isinstance(fault, Slow):
            await asyncio.sleep(fault.delay_s)
        await asyncio.sleep(self.settings.work_s)

    def _last_event_of(self, request: web.Request) -> int:
        tokens = request.headers.get("X-Tokens")
        if tokens is None:
            return self.settings.events
        generated = int(tokens.partition(",")[2])
        return max(1, -(-generated // self.settings.tokens_per_event))

    async def _meet_fault_within_stream(
        self, response: web.StreamResponse, run: Run, event_id: int, fault: Fault | None
    ) -> None:
        """Called before each event."""
        match fault:
            case Pause() if event_id == fault.after_event + 1:
                await fault.resume.wait()
            case CutAnswer() if event_id == fault.after_event + 1:
                await write(response, run, half_of(event_bytes(event_id, run.label)))
                raise AnswerCutError
            case CrashMidStream() if event_id == fault.after_event + 1:
                await write(response, run, half_of(event_bytes(event_id, run.label)))
                await self._crash_within_request()
            case _:
                pass

    async def _crash_within_request(self) -> None:
        self._spawn(self.crash())
        await asyncio.Event().wait()


@dataclass(frozen=True)
class Refused:
    """Why a request is rejected."""

    status: HTTPStatus
    reason: str


class AnswerCutError(Exception):
    """The answer ends here, before it is whole."""


def inject_into_any(workers: Iterable[ModelWorker], fault: Fault, times: int = 1) -> None:
    """The next requests meet this fault, whichever of these workers they come to."""
    planned = PlannedFault(fault, times)
    for worker in workers:
        worker.plan(planned)


def concerns(ordered: WeightKey, asked: WeightKey) -> bool:
    """Whether an order for the first touches a request for the second."""
    return ordered.model == asked.model and ordered.adapter in (None, asked.adapter)


def time_left_s(request: web.Request) -> float:
    """How long the caller waits for an answer."""
    return float(request.headers.get("X-Time-Left", DEFAULT_TIME_LEFT_MS)) / 1000


def half_of(event: bytes) -> bytes:
    """The first half of an event, as a worker that dies may send it."""
    return event[: len(event) // 2]


async def write(response: web.StreamResponse, run: Run, data: bytes) -> None:
    """Sends a part of an answer and records it."""
    run.answer += data
    await response.write(data)


def close_connection(request: web.Request) -> None:
    """Closes the connection of a request without ending its answer."""
    if request.transport is not None:
        request.transport.close()


def send_extra_answer(request: web.Request, fault: ExtraAnswer) -> None:
    """Sends a whole answer that nobody asked for."""
    body = b"surplus"
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Try-Id: {fault.try_id}\r\n"
        "X-Seal: surplus\r\n"
        f"Content-Length: {len(body)}\r\n"
        "\r\n"
    )
    transport = request.transport
    if isinstance(transport, asyncio.WriteTransport):
        transport.write(head.encode() + body)
