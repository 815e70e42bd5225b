"""An emulated model worker: serves requests, takes placement orders and registers itself, all over HTTP.

A `ModelWorker` runs inside the process of a test or an experiment and speaks the worker's side of the
protocol on a loopback socket. Whatever it ran, refused or was ordered to do is recorded for assertions, and
`inject` makes it misbehave in chosen ways. Times in the records are those of `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Coroutine, Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from rookwood.lab.emulatedworker.answers import (
    AnswerCutError,
    Refused,
    body_digest,
    close_connection,
    event_bytes,
    half_of,
    send_extra_answer,
    time_left_s,
    urgency_of,
    write,
)
from rookwood.lab.emulatedworker.execution import PlacementExecutor
from rookwood.lab.emulatedworker.faults import (
    CrashMidStream,
    CutAnswer,
    ExtraAnswer,
    Fault,
    Full,
    Hang,
    Pause,
    PlannedFault,
    ServerError,
    Slow,
)
from rookwood.lab.emulatedworker.holdings import Holdings
from rookwood.lab.emulatedworker.records import Refusal, Run, RunOutcome, WorkerRecords
from rookwood.lab.emulatedworker.registration import HEARTBEAT_TIMEOUT_S, Registrar, ServiceState
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.slots import SlotPool
from rookwood.lab.emulatedworker.weights import JsonObject, WeightKey, WeightStore

REGISTRATION_RETRY_S = 0.05  # pause before the next round after every address failed
CANCELLATION_RETRY_S = 0.2
UNACKNOWLEDGED_DRAIN_S = 3.0
REPORT_HISTORY = 256  # states kept for lagging reports
ERROR_BODY = b"the worker failed"
MAX_REQUEST_BYTES = 16 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.05


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

    def heartbeat_before_leaving(self) -> JsonObject:
        """A heartbeat that says `up`, to arrive late, after all that the worker sends from now on."""
        return {**self._registration(), "state": ServiceState.UP.value}

    async def say_goodbye(self) -> bool:
        """Deregisters without having said `draining`, and serves on; True once that is acknowledged."""
        if self._registrar is None or not await self._registrar.deregister():
            return False
        self.deregistration_acknowledged = True
        self.drain_acknowledged_at = time.monotonic()
        return True

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
        if not await self.slots.acquire(deadline - time.monotonic(), urgency_of(request)):
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
        size = self.settings.plain_body_bytes
        body = (run.seal.encode() * size)[:size]
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
            event = event_bytes(event_id, run.label + "x" * self.settings.event_padding_bytes)
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


def inject_into_any(workers: Iterable[ModelWorker], fault: Fault, times: int = 1) -> None:
    """The next requests meet this fault, whichever of these workers they come to."""
    planned = PlannedFault(fault, times)
    for worker in workers:
        worker.plan(planned)
