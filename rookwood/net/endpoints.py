"""Connections to endpoints: kept, one request at a time on each, and what an attempt came to."""

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

RESPONSE_END_TIMEOUT = timedelta(seconds=1)  # for what follows an answer's last line
PROBE_TIMEOUT = timedelta(milliseconds=200)
SWEEP_INTERVAL = timedelta(seconds=1)
IDLE_FRACTION = 0.75  # of the time after which an endpoint closes: later, a request could cross that
MAX_LINE = 4 * MAX_BODY
LAST_BYTE_DELAY = timedelta(milliseconds=5)  # a round trip: so long the last byte of a request is held back
MAX_IDLE_PER_ENDPOINT = 16  # idle connections to one endpoint
AGE_STEP, HISTORY_DECAY = timedelta(milliseconds=25), timedelta(seconds=20)  # least span told apart; decay
MAX_BREAK_RATE, PRIOR_USES = (
    0.02,
    5.0,
)  # part of broken connections that costs as much as new ones; uses taken as good
INVALID_REQUEST_STATUSES = frozenset(
    {400, 404, 405, 411, 413, 414, 431}
)  # the request's fault, at every endpoint alike


class Stage(Enum):
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
    """One line of an endpoint's answer."""

    request_id: str
    stage: Stage
    result: str
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """What goes to an endpoint, the same at each attempt but for the time left."""

    request_id: str
    target: bytes
    host: str
    content_type: str | None
    body: bytes
    idempotency_keys: tuple[
        bytes, ...
    ] = ()  # every `Idempotency-Key` as it came: endpoints drop repeats by it


@dataclass(frozen=True, slots=True)
class AttemptResult:
    outcome: AttemptOutcome
    body: bytes = b""
    load: LoadReport | None = None  # told with the end of the attempt


@dataclass(frozen=True, slots=True)
class ProbeResult:
    outcome: AttemptOutcome
    load: LoadReport | None = None


class ConnectFailedError(Exception):
    """No connection came up, so nothing was sent."""


class ConnectionLimitError(Exception):
    """This program has no connection to spare."""


def parse_response_line(line: bytes) -> ResponseLine:
    try:
        tree = JsonReader(json.loads(line))
    except (ValueError, RecursionError) as error:
        raise InvalidSettingError("line", f"not JSON: {error}") from None
    stage = tree.enum_value("state", Stage)
    result = tree.get("result", str, None if stage is Stage.DONE else "")
    load = load_or_none(build_load_report, tree.data.get("load")) if stage in FINAL_STAGES else None
    return ResponseLine(tree.get("id", str), stage, result, load)


T = TypeVar("T")


def load_or_none(read: Callable[[T], LoadReport], told: T | None) -> LoadReport | None:
    """Beside an answer, which stands whatever is said of load."""
    try:
        return None if told is None else read(told)
    except InvalidSettingError as error:
        log.info("load told with an answer is left out: %s", error)
        return None


def parse_load_report(body: bytes) -> LoadReport:
    """Either form that endpoints use: an object, or name=value pairs as in a header."""
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
    """Of names with numbers. Raises `InvalidSettingError`."""
    try:
        figures = tuple((str(name), float(value)) for name, value in pairs.items())
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidSettingError("load", f"not a report: {error}") from None
    if not all(map(math.isfinite, (value for _, value in figures))):
        raise InvalidSettingError("load", "not a finite number")
    return LoadReport(figures)


def encode_request(stream: HttpStream, request: WorkerRequest, left: timedelta) -> bytes:
    headers = [
        (b"Host", request.host.encode()),
        (b"Request-Id", request.request_id.encode()),
        (b"Request-Timeout", b"%.3f" % max(0.0, left.total_seconds())),
        (b"Content-Length", b"%d" % len(request.body)),
    ]
    if request.content_type is not None:
        headers.append((b"Content-Type", request.content_type.encode()))
    headers += [(b"Idempotency-Key", key) for key in request.idempotency_keys]
    head = h11.Request(method="POST", target=request.target, headers=headers)
    return stream.encode(head, h11.Data(data=request.body), h11.EndOfMessage())


@dataclass(slots=True, eq=False)
class Connection:
    address: str
    stream: HttpStream
    is_response_complete: bool = (
        False  # the end of the attempt is known; only the framing may be still to come
    )
    idle_since: datetime | None = field(default=None)
    idle_time: timedelta | None = None  # how long it had stood idle when it was taken; None: it is new
    has_response_begun: bool = False  # the endpoint has begun to answer on it


class ReuseHistory:
    """How kept connections fared lately, by how long they had stood idle.

    Something on the way may drop idle connections without a word, and what is then written to one ends as
    a reset. For what may never run twice that is the end, while a new connection costs little. The others
    go on using kept ones, and so show when these hold again."""

    def __init__(self) -> None:
        self._counts: dict[int, tuple[float, float, datetime]] = {}  # used, broken, until when

    def _decayed_counts(self, step: int, now: datetime) -> tuple[float, float]:
        used, broken, since = self._counts.get(step, (0.0, 0.0, now))
        part = math.exp((since - now) / HISTORY_DECAY)
        return used * part, broken * part

    def record_use(self, age: timedelta, broke: bool, now: datetime) -> None:
        step = int(age / AGE_STEP).bit_length()
        used, broken = self._decayed_counts(step, now)
        self._counts[step] = (used + 1, broken + broke, now)

    def is_risky(self, age: timedelta, now: datetime) -> bool:
        """Longer idle is no safer: the worst of all shorter spans counts."""
        counts = [self._decayed_counts(step, now) for step in range(int(age / AGE_STEP).bit_length() + 1)]
        return any(broken > MAX_BREAK_RATE * (used + PRIOR_USES) for used, broken in counts)


class EndpointPool:
    """Owns every connection to an endpoint, from `_connect` to `_close`."""

    def __init__(self, clock: Clock, connect_timeout: timedelta, idle: timedelta, most: int) -> None:
        self._clock, self._connect_timeout = clock, connect_timeout
        self._idle_limit, self.max_connections = idle * IDLE_FRACTION, most
        self._idle: dict[str, list[Connection]] = {}  # by address, most recently used last
        self._connection_count = 0  # open or coming up
        self._finishing: set[asyncio.Task[None]] = set()
        self._history = ReuseHistory()

    async def attempt(
        self,
        request: WorkerRequest,
        address: str,
        until: datetime,
        still_wanted: Callable[[], bool],
        sign: Callable[[Stage], None],
        written: Callable[[], None],
        repeatable: bool,
        leaving: Callable[[], bool] = lambda: True,
    ) -> AttemptResult:
        """`leaving` is asked right before the last byte goes out, `written` told after it."""
        sent, leased = False, list[Connection]()
        try:
            async with asyncio.timeout(self._clock.seconds_until(until)):
                while True:
                    async with self._lease(address, careful=not repeatable) as connection:
                        leased = [connection]
                        if not still_wanted():
                            return AttemptResult(AttemptOutcome.NOT_SENT)
                        data = encode_request(connection.stream, request, until - self._clock.now())
                        try:
                            early = await self._send_all_but_last_byte(connection.stream, data[:-1])
                        except (OSError, NotWrittenError):
                            # It cannot have run. An old connection tells nothing of the endpoint.
                            if connection.idle_time is None:
                                return AttemptResult(AttemptOutcome.CONNECT_FAILED)
                            await self._record_break(connection)
                            continue
                        if early and connection.idle_time is not None:
                            continue  # a late word on the request before: it would be taken for an answer
                        if not leaving():
                            return AttemptResult(AttemptOutcome.NOT_SENT)
                        sent = True  # from here on a break may come after the last byte
                        try:
                            await connection.stream.write(data[-1:])
                        except NotWrittenError:
                            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
                        written()
                        result = await self._read_response(connection, request.request_id, sign)
                        connection.is_response_complete = True
                        return result
        except ConnectionLimitError:
            return AttemptResult(
                AttemptOutcome.NOT_SENT
            )  # the lack is here: the endpoint has nothing to do with it
        except ConnectFailedError as error:
            log.info("no connection to %s: %s", address, error)
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        except TimeoutError:
            if sent and not leased[0].has_response_begun:
                await self._close_idle(address)  # silent: no other kept connection there is better
            return AttemptResult(AttemptOutcome.TIMED_OUT if sent else AttemptOutcome.CONNECT_FAILED)
        except (OSError, h11.RemoteProtocolError) as error:
            log.info("%s broke off: %s", address, error)
            if leased[0].has_response_begun or leased[0].idle_time is None:
                return AttemptResult(AttemptOutcome.RESET)
            await self._record_break(leased[0])
            return AttemptResult(AttemptOutcome.STALE_CONNECTION)
        except InvalidSettingError as error:  # the endpoint has taken the request, whatever it says of it
            log.warning("%s sent a bad line: %s", address, error)
            return AttemptResult(AttemptOutcome.RESET)

    async def _send_all_but_last_byte(self, stream: HttpStream, data: bytes) -> bool:
        """All but the last byte: a connection that is dead on the other side shows it now, while it is
        certain that the request has not run. True: something came on it meanwhile."""
        await stream.write(data)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_BYTE_DELAY.total_seconds()):
                if not await stream.read_once():
                    raise ConnectionResetError("closed before the request had gone out")
                return True
        return False

    async def _read_response(
        self, connection: Connection, request_id: str, sign: Callable[[Stage], None]
    ) -> AttemptResult:
        stream = connection.stream
        while isinstance(event := await stream.next_event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("closed before an answer")
        self._record_good_use(connection)
        if event.status_code != 200:
            headers = dict(event.headers)
            load = load_or_none(parse_load_report, headers.get(b"server-load"))
            if event.status_code in (503, 504) and headers.get(b"not-started") == b"1":
                return AttemptResult(AttemptOutcome.REJECTED, load=load)
            log.info("an endpoint answered %d", event.status_code)
            return AttemptResult(
                AttemptOutcome.INVALID_REQUEST
                if event.status_code in INVALID_REQUEST_STATUSES
                else AttemptOutcome.ERROR,
                load=load,
            )
        rest, ended = b"", False
        while not ended and isinstance(event := await stream.next_event(), h11.Data | h11.EndOfMessage):
            ended = isinstance(event, h11.EndOfMessage)
            data = bytes(event.data) if isinstance(event, h11.Data) else b"\n"  # it ends the last line
            *lines, rest = (rest + data).split(b"\n")
            for line in filter(None, map(bytes.strip, lines)):
                message = parse_response_line(line)
                if message.request_id != request_id:
                    raise InvalidSettingError("id", f"of another request: {message.request_id!r}")
                if message.stage in FINAL_STAGES:
                    return AttemptResult(FINAL_STAGES[message.stage], message.result.encode(), message.load)
                sign(message.stage)
            if len(rest) > MAX_LINE:
                raise InvalidSettingError("line", "without an end")
        raise ConnectionResetError("ended before the last line")

    async def probe(self, address: str) -> ProbeResult:
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
        head = h11.Request(method="GET", target="/-/load", headers=[("Host", connection.address)])
        await stream.write(stream.encode(head, h11.EndOfMessage()))
        answer = await stream.next_event()
        if not isinstance(answer, h11.Response):
            raise ConnectionResetError("closed before an answer")
        self._record_good_use(connection)
        body = await stream.read_body()
        connection.is_response_complete = True
        if answer.status_code != 200:
            return ProbeResult(AttemptOutcome.ERROR)
        return ProbeResult(AttemptOutcome.SERVED, parse_load_report(body) if body else None)

    # ---- connections ----

    @contextlib.asynccontextmanager
    async def _lease(self, address: str, careful: bool = False) -> AsyncIterator[Connection]:
        connection = await self._take_idle(address, careful) or await self._connect(address)
        try:
            yield connection
        finally:
            await self._release(connection)

    async def _take_idle(self, address: str, careful: bool = False) -> Connection | None:
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
        connection.has_response_begun = True
        if connection.idle_time is not None:
            self._history.record_use(connection.idle_time, False, self._clock.now())

    async def _record_break(self, connection: Connection) -> None:
        """A kept connection was dead: so may be those to that endpoint that stood idle no shorter."""
        assert connection.idle_time is not None
        self._history.record_use(connection.idle_time, True, self._clock.now())
        await self._close_idle(connection.address, connection.idle_time)

    async def _close_idle(self, address: str, least: timedelta = timedelta(0)) -> None:
        kept = self._idle.get(address, [])
        doomed = [c for c in kept if self._idle_time(c) >= least]
        kept[:] = [c for c in kept if c not in doomed]
        for connection in doomed:
            await self._close(connection)

    def _is_reusable(self, connection: Connection) -> bool:
        return connection.stream.is_idle() and self._idle_time(connection) < self._idle_limit

    async def _connect(self, address: str) -> Connection:
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
            if isinstance(error, OSError | ValueError):  # TimeoutError is one
                raise ConnectFailedError(str(error) or type(error).__name__) from error
            raise
        return Connection(address, HttpStream(h11.Connection(h11.CLIENT), reader, writer))

    async def _close_oldest_idle(self) -> bool:
        idle = [c for kept in self._idle.values() for c in kept]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.idle_since or self._clock.now())
        self._idle[oldest.address].remove(oldest)
        await self._close(oldest)
        return True

    async def _release(self, connection: Connection) -> None:
        """The one place where a leased connection goes: kept, settled first, or closed."""
        if not connection.is_response_complete:
            # Whatever may still come on it belongs to this attempt, which is over.
            return await self._close(connection)
        if self._read_to_end(connection):
            return await self._return_to_pool(connection)
        task = asyncio.create_task(self._finish_response(connection))
        self._finishing.add(task)
        return task.add_done_callback(self._finishing.discard)

    def _read_to_end(self, connection: Connection) -> bool:
        http = connection.stream.http
        with contextlib.suppress(h11.RemoteProtocolError):
            while isinstance(http.next_event(), h11.Data):
                pass
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _finish_response(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(RESPONSE_END_TIMEOUT.total_seconds()):
                while not self._read_to_end(connection) and await connection.stream.read_once():
                    pass
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            await (self._return_to_pool if self._read_to_end(connection) else self._close)(connection)

    async def _return_to_pool(self, connection: Connection) -> None:
        connection.stream.http.start_next_cycle()
        connection.is_response_complete, connection.idle_since = False, self._clock.now()
        if not connection.stream.is_idle():
            return await self._close(connection)
        kept = self._idle.setdefault(connection.address, [])
        kept.append(connection)
        if len(kept) > MAX_IDLE_PER_ENDPOINT:
            await self._close(kept.pop(0))
        return None

    async def _close(self, connection: Connection) -> None:
        self._connection_count -= 1
        await connection.stream.close()

    async def sweep(self) -> None:
        """Runs as one task: idle connections that ended or grew old give their descriptors back."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            while self._connection_count > self.max_connections and await self._close_oldest_idle():
                pass
            for kept in list(self._idle.values()):
                stale = [c for c in kept if not self._is_reusable(c)]
                kept[:] = [c for c in kept if c not in stale]  # in place: `_idle_one` may hold this list
                for connection in stale:
                    await self._close(connection)

    async def close(self) -> None:
        for task in list(self._finishing):
            task.cancel()
        await asyncio.gather(*self._finishing, return_exceptions=True)
        for kept in self._idle.values():
            while kept:
                await self._close(kept.pop())
