"""A client of the data plane, with the answers that it saw."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout, StreamReader, TCPConnector
from yarl import URL

from rookwood.lab.emulatedworker.answers import body_digest
from rookwood.lab.systemstage.configuration import RouteKind, RouteSpec
from rookwood.lab.systemstage.events import EventParser, StreamEvent
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.operator import JSON_TYPE
from rookwood.lab.systemstage.waiting import PATIENCE_S, POLL_INTERVAL_S, StageError

MUTATING_BODY = b'{"pages":[1,2,3]}'
STREAM_BODY = b'{"prompt":"panel 4"}'
TOKENS_PER_EVENT = 5


@dataclass
class ClientAnswer:
    """What a client saw of the answer to one try."""

    try_id: str
    route: RouteSpec
    sent_path: str
    sent_body_digest: str
    last_event_id: int = 0
    status: int = 0  # where no head came
    seal: str | None = None
    answered_try_id: str | None = None
    retry_after_s: float | None = None
    body: bytearray = field(default_factory=bytearray)
    events: list[StreamEvent] = field(default_factory=list)
    complete: bool = False
    failure: str = ""
    elapsed_s: float = 0.0

    def take_head(self, response: ClientResponse) -> None:
        """Notes the status and the headers."""
        self.status = response.status
        self.seal = response.headers.get("X-Seal")
        self.answered_try_id = response.headers.get("X-Try-Id")
        retry_after = response.headers.get("Retry-After")
        self.retry_after_s = None if retry_after is None else float(retry_after)

    @property
    def is_stream(self) -> bool:
        """Whether the body is a series of events."""
        return self.status == HTTPStatus.OK and self.route.kind is RouteKind.STREAM

    @property
    def event_ids(self) -> list[int]:
        """The ids of its events, in the order in which they came."""
        return [event.event_id for event in self.events]

    @property
    def served(self) -> bool:
        """Whether a whole success came."""
        return self.status == HTTPStatus.OK and self.complete


@dataclass(frozen=True)
class TryOptions:
    """How long a client waits, where a stream goes on, and how many events it asks for."""

    time_left_ms: int = 8_000
    last_event_id: int = 0
    events: int = 5
    path_end: str = "2f"  # what follows the prefix of the route, sent as it is
    chunked: bool = False  # whether the body comes without a length


DEFAULT_OPTIONS = TryOptions()


class OpenStream:
    """An answer that a test reads piece by piece."""

    def __init__(self, content: StreamReader | None, answer: ClientAnswer) -> None:
        self.answer = answer
        self._content = content
        self._parser = EventParser()
        self._events_given = 0  # to the caller of `read_event`

    async def read_event(self) -> StreamEvent | None:
        """The next event; None at the end of the answer, whole or not."""
        while len(self.answer.events) == self._events_given:
            if not await self._read_some():
                return None
        self._events_given += 1
        return self.answer.events[self._events_given - 1]

    async def read_to_end(self) -> ClientAnswer:
        """Reads whatever is left."""
        while await self._read_some():
            pass
        return self.answer

    async def _read_some(self) -> bool:
        if self._content is None:
            return False
        try:
            data = await self._content.readany()
        except (ClientError, OSError, TimeoutError) as error:
            self.answer.failure = repr(error)
            return False
        if not data:
            self.answer.complete = not self._parser.rest
            return False
        self.answer.body += data
        if self.answer.is_stream:
            self.answer.events += self._parser.feed(data)
        return True


class Client:
    """Sends requests to data planes; every try gets an id of its own, and every answer is kept."""

    def __init__(self) -> None:
        self.answers: list[ClientAnswer] = []
        self._session = ClientSession(auto_decompress=False, connector=TCPConnector(limit=0))

    async def send(
        self,
        data_plane: SystemProcess,
        route: RouteSpec,
        model: str | None = None,
        options: TryOptions = DEFAULT_OPTIONS,
    ) -> ClientAnswer:
        """Sends one try and reads its answer to the end."""
        async with self.open(data_plane, route, model, options) as stream:
            return await stream.read_to_end()

    async def send_until_served(
        self,
        data_plane: SystemProcess,
        route: RouteSpec,
        model: str | None = None,
        within_s: float = PATIENCE_S,
    ) -> ClientAnswer:
        """Tries anew after every answer that is no success, as soon as its Retry-After allows."""
        give_up_at = time.monotonic() + within_s
        while True:
            answer = await self.send(data_plane, route, model)
            if answer.served:
                return answer
            if time.monotonic() > give_up_at:
                raise StageError(f"not served within {within_s} s; the last answer: {answer}")
            await asyncio.sleep(answer.retry_after_s or POLL_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def open(
        self,
        data_plane: SystemProcess,
        route: RouteSpec,
        model: str | None = None,
        options: TryOptions = DEFAULT_OPTIONS,
    ) -> AsyncIterator[OpenStream]:
        """Sends one try and gives its answer while it comes."""
        body = STREAM_BODY if route.kind is RouteKind.STREAM else MUTATING_BODY
        answer = ClientAnswer(
            try_id=secrets.token_hex(8),
            route=route,
            sent_path=route.prefix + options.path_end,
            sent_body_digest=body_digest(body),
            last_event_id=options.last_event_id,
        )
        self.answers.append(answer)
        started_at = time.monotonic()
        response = await self._begin(data_plane, answer, body, model, options)
        try:
            yield OpenStream(None if response is None else response.content, answer)
        finally:
            answer.elapsed_s = time.monotonic() - started_at
            if response is not None:
                response.close()

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def _begin(
        self,
        data_plane: SystemProcess,
        answer: ClientAnswer,
        body: bytes,
        model: str | None,
        options: TryOptions,
    ) -> ClientResponse | None:
        url = URL(f"http://{data_plane.edge_address}{answer.sent_path}", encoded=True)
        data = in_chunks(body) if options.chunked else body
        timeout = ClientTimeout(total=options.time_left_ms / 1000 + 1.0)
        headers = request_headers(answer, model, options)
        try:
            response = await self._session.post(
                url, data=data, headers=headers, timeout=timeout, allow_redirects=False
            )
        except (ClientError, OSError, TimeoutError) as error:
            answer.failure = repr(error)
            return None
        answer.take_head(response)
        return response


async def in_chunks(body: bytes) -> AsyncIterator[bytes]:
    """The body in two parts, for a request without a length."""
    half = len(body) // 2
    yield body[:half]
    yield body[half:]


def request_headers(answer: ClientAnswer, model: str | None, options: TryOptions) -> dict[str, str]:
    """The headers of a try."""
    headers = {
        "Host": answer.route.host,
        "X-Try-Id": answer.try_id,
        "X-Time-Left": str(options.time_left_ms),
        "Accept-Encoding": "identity",
        "Content-Type": JSON_TYPE,
    }
    if model is not None:
        headers["X-Model"] = model
        headers["X-Tokens"] = f"100,{TOKENS_PER_EVENT * options.events}"
        headers["X-Prompt-Prefix"] = "5c1e07a2:100"
    if options.last_event_id:
        headers["Last-Event-Id"] = str(options.last_event_id)
    return headers
