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
from rookwood.net.http1 import MAX_BODY, NotWrittenError, TooLargeError, Wire
from rookwood.net.policy_driver import AttemptOutcome, LoadReport
from rookwood.settings import InvalidSettingError, JsonReader

log = logging.getLogger(__name__)

SETTLE_LIMIT = timedelta(seconds=1)  # for what follows an answer's last line
PROBE_LIMIT = timedelta(milliseconds=200)
SWEEP = timedelta(seconds=1)
IDLE_PART = 0.75  # of the time after which an endpoint closes: later, a request could cross that
MAX_LINE = 4 * MAX_BODY
HOLD = timedelta(milliseconds=5)  # a round trip: so long the last byte of a request is held back
KEPT = 16  # idle connections to one endpoint
AGE_STEP, MEMORY = timedelta(milliseconds=25), timedelta(seconds=20)  # least span told apart; decay
RISK, PRIOR = 0.02, 5.0  # part of broken connections that costs as much as new ones; uses taken as good
UNFIT = frozenset({400, 404, 405, 411, 413, 414, 431})  # the request's fault, at every endpoint alike


class Stage(Enum):
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


LAST = {
    Stage.DONE: AttemptOutcome.SERVED,
    Stage.FAILED: AttemptOutcome.ERROR,
    Stage.RETURNED: AttemptOutcome.TURNED_AWAY,
    Stage.LOST: AttemptOutcome.RESET,
}


@dataclass(frozen=True, slots=True)
class Message:
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
class Result:
    end: AttemptOutcome
    body: bytes = b""
    load: LoadReport | None = None  # told with the end of the attempt


@dataclass(frozen=True, slots=True)
class Probed:
    end: AttemptOutcome
    load: LoadReport | None = None


class CannotConnectError(Exception):
    """No connection came up, so nothing was sent."""


class NoRoomError(Exception):
    """This program has no connection to spare."""


def message_of(line: bytes) -> Message:
    try:
        tree = JsonReader(json.loads(line))
    except (ValueError, RecursionError) as error:
        raise InvalidSettingError("line", f"not JSON: {error}") from None
    stage = tree.enum_value("state", Stage)
    result = tree.get("result", str, None if stage is Stage.DONE else "")
    load = told_load(report_of, tree.data.get("load")) if stage in LAST else None
    return Message(tree.get("id", str), stage, result, load)


T = TypeVar("T")


def told_load(read: Callable[[T], LoadReport], told: T | None) -> LoadReport | None:
    """Beside an answer, which stands whatever is said of load."""
    try:
        return None if told is None else read(told)
    except InvalidSettingError as error:
        log.info("load told with an answer is left out: %s", error)
        return None


def load_report_of(body: bytes) -> LoadReport:
    """Either form that endpoints use: an object, or name=value pairs as in a header."""
    text = body.decode("utf-8", "replace").strip()
    try:
        if text.startswith("{"):
            pairs = json.loads(text)
        else:
            pairs = dict(pair.strip().split("=", 1) for pair in text.split(",") if pair.strip())
    except (ValueError, RecursionError) as error:
        raise InvalidSettingError("load", f"not a report: {error}") from None
    return report_of(pairs)


def report_of(pairs: Any) -> LoadReport:
    """Of names with numbers. Raises `InvalidSettingError`."""
    try:
        figures = tuple((str(name), float(value)) for name, value in pairs.items())
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidSettingError("load", f"not a report: {error}") from None
    if not all(map(math.isfinite, (value for _, value in figures))):
        raise InvalidSettingError("load", "not a finite number")
    return LoadReport(figures)


def encoded(wire: Wire, request: WorkerRequest, left: timedelta) -> bytes:
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
    return wire.encode(head, h11.Data(data=request.body), h11.EndOfMessage())


@dataclass(slots=True, eq=False)
class Connection:
    address: str
    wire: Wire
    answered: bool = False  # the end of the attempt is known; only the framing may be still to come
    idle_since: datetime | None = field(default=None)
    age: timedelta | None = None  # how long it had stood idle when it was taken; None: it is new
    heard: bool = False  # the endpoint has begun to answer on it


class History:
    """How kept connections fared lately, by how long they had stood idle.

    Something on the way may drop idle connections without a word, and what is then written to one ends as
    a reset. For what may never run twice that is the end, while a new connection costs little. The others
    go on using kept ones, and so show when these hold again."""

    def __init__(self) -> None:
        self._counts: dict[int, tuple[float, float, datetime]] = {}  # used, broken, until when

    def _at(self, step: int, now: datetime) -> tuple[float, float]:
        used, broken, since = self._counts.get(step, (0.0, 0.0, now))
        part = math.exp((since - now) / MEMORY)
        return used * part, broken * part

    def add(self, age: timedelta, broke: bool, now: datetime) -> None:
        step = int(age / AGE_STEP).bit_length()
        used, broken = self._at(step, now)
        self._counts[step] = (used + 1, broken + broke, now)

    def risky(self, age: timedelta, now: datetime) -> bool:
        """Longer idle is no safer: the worst of all shorter spans counts."""
        counts = [self._at(step, now) for step in range(int(age / AGE_STEP).bit_length() + 1)]
        return any(broken > RISK * (used + PRIOR) for used, broken in counts)


class Endpoints:
    """Owns every connection to an endpoint, from `_connect` to `_close`."""

    def __init__(self, clock: Clock, connect_timeout: timedelta, idle: timedelta, most: int) -> None:
        self._clock, self._connect_timeout = clock, connect_timeout
        self._idle_limit, self.most = idle * IDLE_PART, most
        self._idle: dict[str, list[Connection]] = {}  # by address, most recently used last
        self._count = 0  # open or coming up
        self._settling: set[asyncio.Task[None]] = set()
        self._history = History()

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
    ) -> Result:
        """`leaving` is asked right before the last byte goes out, `written` told after it."""
        sent, leased = False, list[Connection]()
        try:
            async with asyncio.timeout(self._clock.seconds_to(until)):
                while True:
                    async with self._lease(address, careful=not repeatable) as connection:
                        leased = [connection]
                        if not still_wanted():
                            return Result(AttemptOutcome.NEVER_SENT)
                        data = encoded(connection.wire, request, until - self._clock.now())
                        try:
                            early = await self._begin(connection.wire, data[:-1])
                        except (OSError, NotWrittenError):
                            # It cannot have run. An old connection tells nothing of the endpoint.
                            if connection.age is None:
                                return Result(AttemptOutcome.CONNECT_FAILED)
                            await self._broke(connection)
                            continue
                        if early and connection.age is not None:
                            continue  # a late word on the request before: it would be taken for an answer
                        if not leaving():
                            return Result(AttemptOutcome.NEVER_SENT)
                        sent = True  # from here on a break may come after the last byte
                        try:
                            await connection.wire.write(data[-1:])
                        except NotWrittenError:
                            return Result(AttemptOutcome.CONNECT_FAILED)
                        written()
                        result = await self._answer(connection, request.request_id, sign)
                        connection.answered = True
                        return result
        except NoRoomError:
            return Result(
                AttemptOutcome.NEVER_SENT
            )  # the lack is here: the endpoint has nothing to do with it
        except CannotConnectError as error:
            log.info("no connection to %s: %s", address, error)
            return Result(AttemptOutcome.CONNECT_FAILED)
        except TimeoutError:
            if sent and not leased[0].heard:
                await self._forget(address)  # silent: no other kept connection there is better
            return Result(AttemptOutcome.TIMED_OUT if sent else AttemptOutcome.CONNECT_FAILED)
        except (OSError, h11.RemoteProtocolError) as error:
            log.info("%s broke off: %s", address, error)
            if leased[0].heard or leased[0].age is None:
                return Result(AttemptOutcome.RESET)
            await self._broke(leased[0])
            return Result(AttemptOutcome.STALE)
        except InvalidSettingError as error:  # the endpoint has taken the request, whatever it says of it
            log.warning("%s sent a bad line: %s", address, error)
            return Result(AttemptOutcome.RESET)

    async def _begin(self, wire: Wire, data: bytes) -> bool:
        """All but the last byte: a connection that is dead on the other side shows it now, while it is
        certain that the request has not run. True: something came on it meanwhile."""
        await wire.write(data)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HOLD.total_seconds()):
                if not await wire.fill():
                    raise ConnectionResetError("closed before the request had gone out")
                return True
        return False

    async def _answer(self, connection: Connection, request_id: str, sign: Callable[[Stage], None]) -> Result:
        wire = connection.wire
        while isinstance(event := await wire.event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("closed before an answer")
        self._fared_well(connection)
        if event.status_code != 200:
            headers = dict(event.headers)
            load = told_load(load_report_of, headers.get(b"server-load"))
            if event.status_code in (503, 504) and headers.get(b"not-started") == b"1":
                return Result(AttemptOutcome.TURNED_AWAY, load=load)
            log.info("an endpoint answered %d", event.status_code)
            return Result(
                AttemptOutcome.UNFIT if event.status_code in UNFIT else AttemptOutcome.ERROR, load=load
            )
        rest, ended = b"", False
        while not ended and isinstance(event := await wire.event(), h11.Data | h11.EndOfMessage):
            ended = isinstance(event, h11.EndOfMessage)
            data = bytes(event.data) if isinstance(event, h11.Data) else b"\n"  # it ends the last line
            *lines, rest = (rest + data).split(b"\n")
            for line in filter(None, map(bytes.strip, lines)):
                message = message_of(line)
                if message.request_id != request_id:
                    raise InvalidSettingError("id", f"of another request: {message.request_id!r}")
                if message.stage in LAST:
                    return Result(LAST[message.stage], message.result.encode(), message.load)
                sign(message.stage)
            if len(rest) > MAX_LINE:
                raise InvalidSettingError("line", "without an end")
        raise ConnectionResetError("ended before the last line")

    async def probe(self, address: str) -> Probed:
        try:
            async with asyncio.timeout(PROBE_LIMIT.total_seconds()):
                while True:
                    async with self._lease(address) as connection:
                        try:
                            return await self._probe(connection)
                        except (ConnectionError, NotWrittenError):
                            if connection.age is None or connection.heard:
                                raise
                            await self._broke(connection)
        except NoRoomError:
            return Probed(AttemptOutcome.NEVER_SENT)
        except (CannotConnectError, NotWrittenError):
            return Probed(AttemptOutcome.CONNECT_FAILED)
        except TimeoutError:
            await self._forget(address)
            return Probed(AttemptOutcome.TIMED_OUT)
        except (OSError, h11.RemoteProtocolError, TooLargeError, InvalidSettingError) as error:
            log.info("a probe of %s failed: %s", address, error)
            return Probed(AttemptOutcome.RESET)

    async def _probe(self, connection: Connection) -> Probed:
        wire = connection.wire
        head = h11.Request(method="GET", target="/-/load", headers=[("Host", connection.address)])
        await wire.write(wire.encode(head, h11.EndOfMessage()))
        answer = await wire.event()
        if not isinstance(answer, h11.Response):
            raise ConnectionResetError("closed before an answer")
        self._fared_well(connection)
        body = await wire.body()
        connection.answered = True
        if answer.status_code != 200:
            return Probed(AttemptOutcome.ERROR)
        return Probed(AttemptOutcome.SERVED, load_report_of(body) if body else None)

    # ---- connections ----

    @contextlib.asynccontextmanager
    async def _lease(self, address: str, careful: bool = False) -> AsyncIterator[Connection]:
        connection = await self._idle_one(address, careful) or await self._connect(address)
        try:
            yield connection
        finally:
            await self._give_back(connection)

    async def _idle_one(self, address: str, careful: bool = False) -> Connection | None:
        idle = self._idle.get(address, [])
        while idle and not (careful and self._history.risky(self._age(idle[-1]), self._clock.now())):
            connection = idle.pop()
            if self._fresh(connection):
                connection.age, connection.heard = self._age(connection), False
                return connection
            await self._close(connection)
        return None

    def _age(self, connection: Connection) -> timedelta:
        assert connection.idle_since
        return self._clock.now() - connection.idle_since

    def _fared_well(self, connection: Connection) -> None:
        connection.heard = True
        if connection.age is not None:
            self._history.add(connection.age, False, self._clock.now())

    async def _broke(self, connection: Connection) -> None:
        """A kept connection was dead: so may be those to that endpoint that stood idle no shorter."""
        assert connection.age is not None
        self._history.add(connection.age, True, self._clock.now())
        await self._forget(connection.address, connection.age)

    async def _forget(self, address: str, least: timedelta = timedelta(0)) -> None:
        kept = self._idle.get(address, [])
        doomed = [c for c in kept if self._age(c) >= least]
        kept[:] = [c for c in kept if c not in doomed]
        for connection in doomed:
            await self._close(connection)

    def _fresh(self, connection: Connection) -> bool:
        return connection.wire.quiet() and self._age(connection) < self._idle_limit

    async def _connect(self, address: str) -> Connection:
        if self._count >= self.most and not await self._make_room():
            raise NoRoomError("all connections are in use")
        host, _, port = address.rpartition(":")
        self._count += 1
        try:
            async with asyncio.timeout(self._connect_timeout.total_seconds()):
                reader, writer = await asyncio.open_connection(host, int(port))
        except BaseException as error:
            self._count -= 1
            if isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE):
                raise NoRoomError("no descriptor is left") from error
            if isinstance(error, OSError | ValueError):  # TimeoutError is one
                raise CannotConnectError(str(error) or type(error).__name__) from error
            raise
        return Connection(address, Wire(h11.Connection(h11.CLIENT), reader, writer))

    async def _make_room(self) -> bool:
        idle = [c for kept in self._idle.values() for c in kept]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.idle_since or self._clock.now())
        self._idle[oldest.address].remove(oldest)
        await self._close(oldest)
        return True

    async def _give_back(self, connection: Connection) -> None:
        """The one place where a leased connection goes: kept, settled first, or closed."""
        if not connection.answered:
            # Whatever may still come on it belongs to this attempt, which is over.
            return await self._close(connection)
        if self._ended(connection):
            return await self._keep(connection)
        task = asyncio.create_task(self._settle(connection))
        self._settling.add(task)
        return task.add_done_callback(self._settling.discard)

    def _ended(self, connection: Connection) -> bool:
        http = connection.wire.http
        with contextlib.suppress(h11.RemoteProtocolError):
            while isinstance(http.next_event(), h11.Data):
                pass
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _settle(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(SETTLE_LIMIT.total_seconds()):
                while not self._ended(connection) and await connection.wire.fill():
                    pass
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            await (self._keep if self._ended(connection) else self._close)(connection)

    async def _keep(self, connection: Connection) -> None:
        connection.wire.http.start_next_cycle()
        connection.answered, connection.idle_since = False, self._clock.now()
        if not connection.wire.quiet():
            return await self._close(connection)
        kept = self._idle.setdefault(connection.address, [])
        kept.append(connection)
        if len(kept) > KEPT:
            await self._close(kept.pop(0))
        return None

    async def _close(self, connection: Connection) -> None:
        self._count -= 1
        await connection.wire.close()

    async def sweep(self) -> None:
        """Runs as one task: idle connections that ended or grew old give their descriptors back."""
        while True:
            await asyncio.sleep(SWEEP.total_seconds())
            while self._count > self.most and await self._make_room():
                pass
            for kept in list(self._idle.values()):
                stale = [c for c in kept if not self._fresh(c)]
                kept[:] = [c for c in kept if c not in stale]  # in place: `_idle_one` may hold this list
                for connection in stale:
                    await self._close(connection)

    async def close(self) -> None:
        for task in list(self._settling):
            task.cancel()
        await asyncio.gather(*self._settling, return_exceptions=True)
        for kept in self._idle.values():
            while kept:
                await self._close(kept.pop())
