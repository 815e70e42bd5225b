"""Connections to workers, which are kept for reuse, and the attempts and probes that they carry."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import math
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import Any, TypeVar

import h11

from rookwood.net.clock import Clock
from rookwood.net.http1 import MAX_BODY, HttpStream, NotWrittenError, TooLargeError
from rookwood.net.policy_driver import AttemptOutcome, LoadReport
from rookwood.settings import InvalidSettingError, JsonReader

log = logging.getLogger(__name__)

RESPONSE_END_TIMEOUT = timedelta(seconds=1)  # for what follows the last line of a response
PROBE_TIMEOUT = timedelta(milliseconds=200)
SWEEP_INTERVAL = timedelta(seconds=1)
IDLE_FRACTION = 0.75  # of a worker's idle timeout; after that, a request could cross with its close
MAX_LINE = 4 * MAX_BODY
MAX_RESPONSE = 16 * MAX_BODY  # bytes, whatever they are, that follow a request or a line of progress
LAST_BYTE_DELAY = timedelta(
    milliseconds=5
)  # a round trip, after which the reset of a dead connection has arrived
MAX_IDLE_PER_ENDPOINT = 16
# The step in which idle times are distinguished, and the time constant with which records lose their weight.
IDLE_TIME_STEP, HISTORY_DECAY = timedelta(milliseconds=25), timedelta(seconds=20)
# The rate of broken connections above which reuse costs more than new connections, and the number of good
# uses that is assumed before any are recorded.
MAX_BREAK_RATE, PRIOR_USES = 0.02, 5.0
# These statuses mean that the request itself is at fault, whichever worker it is sent to.
INVALID_REQUEST_STATUSES = frozenset({400, 404, 405, 411, 413, 414, 431})


class Stage(Enum):
    """State of a request at a worker, by its name on the wire."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


FINAL_STAGES = {
    Stage.DONE: AttemptOutcome.SERVED,
    Stage.FAILED: AttemptOutcome.ERROR,
    Stage.RETURNED: AttemptOutcome.REJECTED,
    Stage.LOST: AttemptOutcome.RESET,
}


@dataclass(frozen=True, slots=True)
class ResponseLine:
    """One line of a worker's response."""

    request_id: str
    stage: Stage
    result: str
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request as it is sent to a worker; between attempts only its timeout changes."""

    request_id: str
    target: bytes
    host: str
    content_type: str | None
    body: bytes
    # Every `Idempotency-Key` header as received; workers deduplicate requests by it.
    idempotency_keys: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended."""

    outcome: AttemptOutcome
    body: bytes = b""
    load: LoadReport | None = None  # reported with the end of the attempt


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """How a probe ended, and the load that the worker reported."""

    outcome: AttemptOutcome
    load: LoadReport | None = None


class ConnectFailedError(Exception):
    """No connection could be opened, so nothing was sent."""


class ConnectionLimitError(Exception):
    """This process may not open another connection."""


def parse_response_line(line: bytes) -> ResponseLine:
    """Parse a line of a response; raises `InvalidSettingError`."""
    try:
        tree = JsonReader(json.loads(line))
    except (ValueError, RecursionError) as error:
        raise InvalidSettingError("line", f"not JSON: {error}") from None
    stage = tree.enum_value("state", Stage)
    result = tree.get("result", str, None if stage is Stage.DONE else "")
    load = load_or_none(build_load_report, tree.data.get("load")) if stage in FINAL_STAGES else None
    return ResponseLine(tree.get("id", str), stage, result, load)


T = TypeVar("T")


def load_or_none(parse: Callable[[T], LoadReport], value: T | None) -> LoadReport | None:
    """Parse the load reported with a response; an invalid report is ignored, since the response is valid."""
    try:
        return None if value is None else parse(value)
    except InvalidSettingError as error:
        log.info("the load reported with a response is ignored: %s", error)
        return None


def parse_load_report(body: bytes) -> LoadReport:
    """Parse either form that workers use: a JSON object, or name=value pairs as in a header."""
    text = body.decode("utf-8", "replace").strip()
    try:
        if text.startswith("{"):
            pairs = json.loads(text)
        else:
            pairs = dict(pair.strip().split("=", 1) for pair in text.split(",") if pair.strip())
    except (ValueError, RecursionError) as error:
        raise InvalidSettingError("load", f"not a report: {error}") from None
    return build_load_report(pairs)


def build_load_report(pairs: Any) -> LoadReport:
    """Build a report from a mapping of names to numbers; raises `InvalidSettingError`."""
    try:
        values = tuple((str(name), float(value)) for name, value in pairs.items())
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidSettingError("load", f"not a report: {error}") from None
    if not all(map(math.isfinite, (value for _, value in values))):
        raise InvalidSettingError("load", "not a finite number")
    return LoadReport(values)


def encode_request(stream: HttpStream, request: WorkerRequest, time_left: timedelta) -> bytes:
    """Encode a request to a worker."""
    headers = [
        (b"Host", request.host.encode()),
        (b"Request-Id", request.request_id.encode()),
        (b"Request-Timeout", b"%.3f" % max(0.0, time_left.total_seconds())),
        (b"Content-Length", b"%d" % len(request.body)),
    ]
    if request.content_type is not None:
        headers.append((b"Content-Type", request.content_type.encode()))
    headers += [(b"Idempotency-Key", key) for key in request.idempotency_keys]
    head = h11.Request(method="POST", target=request.target, headers=headers)
    return stream.encode(head, h11.Data(data=request.body), h11.EndOfMessage())


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a worker, in use or idle."""

    address: str
    stream: HttpStream
    is_response_complete: bool = False  # the outcome is known; only the end of the framing may be missing
    idle_since: datetime | None = field(default=None)
    idle_time: timedelta | None = None  # how long it was idle before its current use; None if it is new
    has_response_begun: bool = False


class ReuseHistory:
    """How many reused connections broke lately, by the time for which they had been idle.

    A device on the path may drop idle connections without notice; a request written to one then ends as a
    reset. A request that must not run twice fails by that, while a new connection costs little, so such
    requests avoid reuse while it is risky. Other requests go on to reuse connections, and their results show
    when reuse is safe again.
    """

    def __init__(self) -> None:
        # Uses and breaks, with the time up to which they are decayed, by the logarithm of the idle time.
        self._counts: dict[int, tuple[float, float, datetime]] = {}

    def _decayed_counts(self, step: int, now: datetime) -> tuple[float, float]:
        used, broken, updated_at = self._counts.get(step, (0.0, 0.0, now))
        decay = math.exp((updated_at - now) / HISTORY_DECAY)
        return used * decay, broken * decay

    def record_use(self, idle_time: timedelta, broke: bool, now: datetime) -> None:
        """Record a use of a connection that had been idle for so long."""
        step = int(idle_time / IDLE_TIME_STEP).bit_length()
        used, broken = self._decayed_counts(step, now)
        self._counts[step] = (used + 1, broken + broke, now)

    def is_risky(self, idle_time: timedelta, now: datetime) -> bool:
        """Whether connections break too often after this idle time or after any shorter one."""
        counts = [
            self._decayed_counts(step, now)
            for step in range(int(idle_time / IDLE_TIME_STEP).bit_length() + 1)
        ]
        return any(broken > MAX_BREAK_RATE * (used + PRIOR_USES) for used, broken in counts)


class EndpointPool:
    """Owns every connection to a worker, from `_connect` to `_close`.

    A connection carries one request at a time, and is reused while it is idle and not too old.
    """

    def __init__(
        self, clock: Clock, connect_timeout: timedelta, idle_timeout: timedelta, max_connections: int
    ) -> None:
        self._clock, self._connect_timeout = clock, connect_timeout
        self._idle_limit, self.max_connections = idle_timeout * IDLE_FRACTION, max_connections
        self._idle: dict[str, list[Connection]] = {}  # by address, most recently used last
        self._connection_count = 0  # open or being opened
        self._finishing: set[asyncio.Task[None]] = set()  # read the ends of responses
        self._history = ReuseHistory()

    async def attempt(
        self,
        request: WorkerRequest,
        address: str,
        deadline: datetime,
        should_send: Callable[[], bool],
        on_progress: Callable[[Stage], None],
        on_sent: Callable[[], None],
        is_retry_safe: bool,
        allow_last_byte: Callable[[], bool] = lambda: True,
    ) -> AttemptResult:
        """Send a request to a worker and return how that ended.

        `should_send` is called right before the first byte is sent, `allow_last_byte` right before the last
        one and `on_sent` after it; the attempt ends if one of the first two returns False. A request that is
        not `is_retry_safe` is sent on a reused connection only if that is not risky.
        """
        sent, leased = False, list[Connection]()
        try:
            async with asyncio.timeout(self._clock.seconds_until(deadline)):
                while True:
                    async with self._lease(address, careful=not is_retry_safe) as connection:
                        leased = [connection]
                        connection.stream.limit_reads(MAX_RESPONSE)
                        if not should_send():
                            return AttemptResult(AttemptOutcome.NOT_SENT)
                        data = encode_request(connection.stream, request, deadline - self._clock.now())
                        try:
                            received_early = await self._send_all_but_last_byte(connection.stream, data[:-1])
                        except (OSError, NotWrittenError):
                            # The request cannot have run. A broken reused connection says nothing about the
                            # worker, so the request is sent again on another one.
                            if connection.idle_time is None:
                                return AttemptResult(AttemptOutcome.CONNECT_FAILED)
                            await self._record_break(connection)
                            continue
                        if received_early and connection.idle_time is not None:
                            continue  # a late response to the previous request, not to this one
                        if not allow_last_byte():
                            return AttemptResult(AttemptOutcome.NOT_SENT)
                        sent = True  # from here on the connection may break after the last byte was sent
                        try:
                            await connection.stream.write(data[-1:])
                        except NotWrittenError:
                            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
                        on_sent()
                        result = await self._read_response(connection, request.request_id, on_progress)
                        connection.is_response_complete = True
                        return result
        except ConnectionLimitError:
            return AttemptResult(AttemptOutcome.NOT_SENT)  # the limit is this process's, not the worker's
        except ConnectFailedError as error:
            log.info("no connection to %s: %s", address, error)
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        except TimeoutError:
            if sent and not leased[0].has_response_begun:
                await self._close_idle(address)  # the worker did not respond; do not reuse its connections
            return AttemptResult(AttemptOutcome.TIMED_OUT if sent else AttemptOutcome.CONNECT_FAILED)
        except (OSError, h11.RemoteProtocolError) as error:
            log.info("the connection to %s broke: %s", address, error)
            if leased[0].has_response_begun or leased[0].idle_time is None:
                return AttemptResult(AttemptOutcome.RESET)
            await self._record_break(leased[0])
            return AttemptResult(AttemptOutcome.STALE_CONNECTION)
        except (InvalidSettingError, TooLargeError) as error:  # the request may have run
            log.warning("%s sent an invalid response: %s", address, error)
            return AttemptResult(AttemptOutcome.RESET)

    async def _send_all_but_last_byte(self, stream: HttpStream, data: bytes) -> bool:
        """Send all but the last byte of a request, then wait shortly; return whether data arrived meanwhile.

        A connection that is dead on the other side breaks now, when the request certainly has not run.
        """
        await stream.write(data)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_BYTE_DELAY.total_seconds()):
                if not await stream.read_once():
                    raise ConnectionResetError("closed before the request was sent")
                return True
        return False

    async def _read_response(
        self, connection: Connection, request_id: str, on_progress: Callable[[Stage], None]
    ) -> AttemptResult:
        """Read the response of an attempt up to the line that decides its outcome."""
        stream = connection.stream
        while isinstance(event := await stream.next_event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("closed before a response")
        self._record_good_use(connection)
        if event.status_code != 200:
            headers = dict(event.headers)
            load = load_or_none(parse_load_report, headers.get(b"server-load"))
            if event.status_code in (503, 504) and headers.get(b"not-started") == b"1":
                return AttemptResult(AttemptOutcome.REJECTED, load=load)
            log.info("a worker responded with status %d", event.status_code)
            return AttemptResult(
                AttemptOutcome.INVALID_REQUEST
                if event.status_code in INVALID_REQUEST_STATUSES
                else AttemptOutcome.ERROR,
                load=load,
            )
        rest, ended = b"", False
        while not ended and isinstance(event := await stream.next_event(), h11.Data | h11.EndOfMessage):
            ended = isinstance(event, h11.EndOfMessage)
            data = bytes(event.data) if isinstance(event, h11.Data) else b"\n"  # the end ends the last line
            *lines, rest = (rest + data).split(b"\n")
            for line in filter(None, map(bytes.strip, lines)):
                message = parse_response_line(line)
                if message.request_id != request_id:
                    raise InvalidSettingError("id", f"of another request: {message.request_id!r}")
                if message.stage in FINAL_STAGES:
                    return AttemptResult(FINAL_STAGES[message.stage], message.result.encode(), message.load)
                on_progress(message.stage)
                stream.limit_reads(MAX_RESPONSE)  # the job runs, so its deadline is the limit
            if len(rest) > MAX_LINE:
                raise InvalidSettingError("line", "over the size limit")
        raise ConnectionResetError("the response ended before its last line")

    async def probe(self, address: str) -> ProbeResult:
        """Request a load report from a worker."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
                while True:
                    async with self._lease(address) as connection:
                        try:
                            return await self._probe(connection)
                        except (ConnectionError, NotWrittenError):
                            if connection.idle_time is None or connection.has_response_begun:
                                raise
                            await self._record_break(connection)
        except ConnectionLimitError:
            return ProbeResult(AttemptOutcome.NOT_SENT)
        except (ConnectFailedError, NotWrittenError):
            return ProbeResult(AttemptOutcome.CONNECT_FAILED)
        except TimeoutError:
            await self._close_idle(address)
            return ProbeResult(AttemptOutcome.TIMED_OUT)
        except (OSError, h11.RemoteProtocolError, TooLargeError, InvalidSettingError) as error:
            log.info("a probe of %s failed: %s", address, error)
            return ProbeResult(AttemptOutcome.RESET)

    async def _probe(self, connection: Connection) -> ProbeResult:
        stream = connection.stream
        stream.limit_reads(MAX_RESPONSE)
        head = h11.Request(method="GET", target="/-/load", headers=[("Host", connection.address)])
        await stream.write(stream.encode(head, h11.EndOfMessage()))
        response = await stream.next_event()
        if not isinstance(response, h11.Response):
            raise ConnectionResetError("closed before a response")
        self._record_good_use(connection)
        body = await stream.read_body()
        connection.is_response_complete = True
        if response.status_code != 200:
            return ProbeResult(AttemptOutcome.ERROR)
        return ProbeResult(AttemptOutcome.SERVED, parse_load_report(body) if body else None)

    # ---- connections ----

    @contextlib.asynccontextmanager
    async def _lease(self, address: str, careful: bool = False) -> AsyncIterator[Connection]:
        """Take a connection for one request; if `careful`, a reused one only if that is not risky."""
        connection = await self._take_idle(address, careful) or await self._connect(address)
        try:
            yield connection
        finally:
            await self._release(connection)

    async def _take_idle(self, address: str, careful: bool = False) -> Connection | None:
        """Take the most recently used idle connection that may be reused."""
        idle = self._idle.get(address, [])
        while idle and not (careful and self._history.is_risky(self._idle_time(idle[-1]), self._clock.now())):
            connection = idle.pop()
            if self._is_reusable(connection):
                connection.idle_time, connection.has_response_begun = self._idle_time(connection), False
                return connection
            await self._close(connection)
        return None

    def _idle_time(self, connection: Connection) -> timedelta:
        assert connection.idle_since
        return self._clock.now() - connection.idle_since

    def _record_good_use(self, connection: Connection) -> None:
        """Record that a response has begun on the connection."""
        connection.has_response_begun = True
        if connection.idle_time is not None:
            self._history.record_use(connection.idle_time, False, self._clock.now())

    async def _record_break(self, connection: Connection) -> None:
        """Record that a reused connection was dead, and close those idle for as long or longer."""
        assert connection.idle_time is not None
        self._history.record_use(connection.idle_time, True, self._clock.now())
        await self._close_idle(connection.address, connection.idle_time)

    async def _close_idle(self, address: str, min_idle_time: timedelta = timedelta(0)) -> None:
        idle = self._idle.get(address, [])
        closing = [c for c in idle if self._idle_time(c) >= min_idle_time]
        idle[:] = [c for c in idle if c not in closing]
        for connection in closing:
            await self._close(connection)

    def _is_reusable(self, connection: Connection) -> bool:
        return connection.stream.is_idle() and self._idle_time(connection) < self._idle_limit

    async def _connect(self, address: str) -> Connection:
        """Open a connection; raises `ConnectFailedError` or `ConnectionLimitError`."""
        if self._connection_count >= self.max_connections and not await self._close_oldest_idle():
            raise ConnectionLimitError("all connections are in use")
        host, _, port = address.rpartition(":")
        self._connection_count += 1
        try:
            async with asyncio.timeout(self._connect_timeout.total_seconds()):
                reader, writer = await asyncio.open_connection(host, int(port))
        except BaseException as error:
            self._connection_count -= 1
            if isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE):
                raise ConnectionLimitError("no descriptor is left") from error
            if isinstance(error, OSError | ValueError):  # TimeoutError is an OSError
                raise ConnectFailedError(str(error) or type(error).__name__) from error
            raise
        return Connection(address, HttpStream(h11.Connection(h11.CLIENT), reader, writer))

    async def _close_oldest_idle(self) -> bool:
        """Close the connection that was idle for longest; return False if none is idle."""
        idle = [c for connections in self._idle.values() for c in connections]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.idle_since or self._clock.now())
        self._idle[oldest.address].remove(oldest)
        await self._close(oldest)
        return True

    async def _release(self, connection: Connection) -> None:
        """End a lease: return the connection to the pool, after the end of the response, or close it."""
        if not connection.is_response_complete:
            # Data that still arrives would belong to an attempt that has ended.
            return await self._close(connection)
        if self._read_to_end(connection):
            return await self._return_to_pool(connection)
        task = asyncio.create_task(self._finish_response(connection))
        self._finishing.add(task)
        return task.add_done_callback(self._finishing.discard)

    def _read_to_end(self, connection: Connection) -> bool:
        """Skip the rest of the response as far as it was received; return whether it is complete."""
        http = connection.stream.http
        with contextlib.suppress(h11.RemoteProtocolError):
            while isinstance(http.next_event(), h11.Data):
                pass
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    def _is_broken_or_read(self, connection: Connection) -> bool:
        """Whether nothing more is to be read of the response: it is complete, or no HTTP."""
        return self._read_to_end(connection) or connection.stream.http.their_state is h11.ERROR

    async def _finish_response(self, connection: Connection) -> None:
        """Read to the end of the response, then return the connection to the pool; close it on failure."""
        try:
            async with asyncio.timeout(RESPONSE_END_TIMEOUT.total_seconds()):
                while not self._is_broken_or_read(connection) and await connection.stream.read_once():
                    pass
        except (OSError, TooLargeError):
            pass
        finally:
            await (self._return_to_pool if self._read_to_end(connection) else self._close)(connection)

    async def _return_to_pool(self, connection: Connection) -> None:
        """Keep the connection for reuse, unless something has arrived on it."""
        connection.stream.http.start_next_cycle()
        connection.is_response_complete, connection.idle_since = False, self._clock.now()
        if not connection.stream.is_idle():
            return await self._close(connection)
        idle = self._idle.setdefault(connection.address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            await self._close(idle.pop(0))
        return None

    async def _close(self, connection: Connection) -> None:
        self._connection_count -= 1
        await connection.stream.close()

    async def sweep(self) -> None:
        """Close idle connections that may not be reused or are over the limit, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            while self._connection_count > self.max_connections and await self._close_oldest_idle():
                pass
            for idle in list(self._idle.values()):
                stale = [c for c in idle if not self._is_reusable(c)]
                idle[:] = [c for c in idle if c not in stale]  # in place, as `_take_idle` may use the list
                for connection in stale:
                    await self._close(connection)

    async def close(self) -> None:
        """Close all connections."""
        for task in list(self._finishing):
            task.cancel()
        await asyncio.gather(*self._finishing, return_exceptions=True)
        for idle in self._idle.values():
            while idle:
                await self._close(idle.pop())
