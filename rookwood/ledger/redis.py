"""A store in Redis, through redis-py. Each step is one run of a server-side script: atomic, one round trip.

The script is called by its digest (EVALSHA) and sent in full where the server does not know it. All keys of a
prefix share a hash tag, so that they lie in one slot of a cluster. Each call has a time limit. A call is
repeated, once, only on a connection error, such as a pooled connection that the server has closed. That is
safe since a repeated claim finds itself by its nonce.
Source: redis.io/docs/latest/develop/programmability/eval-intro, RESP3 specification.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from importlib.resources import files
from typing import Any

import redis.asyncio as client
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import NoScriptError, RedisError

from rookwood.ledger.life import ClaimRequest, ClaimResult, Phase, Record, Verdict
from rookwood.ledger.store import Reply, StoreError, TrustPolicy
from rookwood.ledger.watch import KnownHistory, Mark, Member
from rookwood.net.clock import EPOCH

SCRIPT = files("rookwood.ledger").joinpath("script.lua").read_text()
DIGEST = hashlib.sha1(SCRIPT.encode(), usedforsecurity=False).hexdigest()
MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Server:
    """Address and options of the Redis server.

    `replicas` is the number of replicas that must acknowledge a write before it counts (WAIT), 0 for none.
    """

    host: str
    port: int
    username: str | None = None
    password: str | None = None
    prefix: str = "rookwood"
    timeout: timedelta = timedelta(milliseconds=250)
    replicas: int = 0
    connections: int = 32
    authority: str | None = None  # a PEM file; with it, TLS

    def __str__(self) -> str:
        return f"redis {self.host}:{self.port}"


def micros(moment: datetime) -> int:
    return (moment - EPOCH) // MICROSECOND


def moment(text: bytes) -> datetime:
    return EPOCH + int(text) * MICROSECOND


class RedisStore:
    """A `Store` in Redis. Owns the connections to one server."""

    def __init__(self, server: Server, trust: TrustPolicy) -> None:
        self._server, self._trust = server, trust
        tag = f"{{{server.prefix}}}"
        self._mark, self._members, self._record = f"{tag}:mark", f"{tag}:members", f"{tag}:key:"
        step_arguments: dict[str, Any] = (
            {"ssl": True, "ssl_ca_certs": server.authority} if server.authority else {}
        )
        seconds = server.timeout.total_seconds()
        self._client = client.Redis(
            host=server.host,
            port=server.port,
            username=server.username,
            password=server.password,
            protocol=3,
            socket_timeout=seconds,
            socket_connect_timeout=seconds,
            max_connections=server.connections,
            retry=Retry(NoBackoff(), 0),  # only `_run` knows what may be repeated
            **step_arguments,
        )

    async def _run(
        self, step: str, generation: str, count: int, key: str = "", *step_arguments: object
    ) -> Reply:
        keys = (self._mark, self._members, self._record + key)
        arguments = (*keys, step, generation, count, *step_arguments)
        task = asyncio.current_task()
        before = task.cancelling() if task else 0
        try:
            try:
                found = await self._evaluate(step, arguments)
            except client.ConnectionError:
                found = await self._evaluate(step, arguments)
        except (RedisError, OSError, TimeoutError) as error:
            raise StoreError(f"{self._server}: {type(error).__name__}: {error}") from None
        finally:
            # The client sends within `asyncio.wait_for`, which in Python 3.11 loses a cancellation that
            # arrives while the bytes are sent (cpython issue 37658). The canceller would then wait until the
            # task ends by itself.
            if task and task.cancelling() > before:
                raise asyncio.CancelledError
        return reply_of(found)

    async def _evaluate(self, step: str, arguments: tuple[object, ...]) -> list[Any]:
        try:
            return await self._send_script(step, "EVALSHA", DIGEST, arguments)
        except NoScriptError:
            return await self._send_script(step, "EVAL", SCRIPT, arguments)

    async def _send_script(
        self, step: str, command: str, script: str, arguments: tuple[object, ...]
    ) -> list[Any]:
        required, limit = self._server.replicas, int(self._server.timeout.total_seconds() * 800)
        if not required or step not in ("claim", "settle", "begin", "restore"):
            found = await self._client.execute_command(command, script, 3, *arguments)  # type: ignore[no-untyped-call]
            return list(found)
        async with self._client.pipeline(transaction=False) as pipe:  # one round trip for both
            pipe.execute_command(command, script, 3, *arguments)
            pipe.execute_command("WAIT", required, limit)
            found, acknowledged = await pipe.execute()
        if acknowledged < required:
            raise OSError(f"{acknowledged} of {required} replicas have acknowledged the write")
        return list(found)

    async def read_history(self) -> Reply:
        return await self._run("look", "", 0)

    async def begin_history(
        self, generation: str, highest_token: int, expected_generation: str, trusted: bool
    ) -> Reply:
        return await self._run("begin", expected_generation, highest_token, "", generation, int(trusted))

    async def join_history(
        self, history: KnownHistory, member: Member, records: Mapping[str, Record]
    ) -> Reply:
        known = (history.generation, history.count)
        for key, r in records.items():  # all are restored before this member vouches
            times = (micros(t) for t in (r.lease_until, r.last_end, r.kept_until))
            fields = (r.fingerprint, r.nonce, r.token, r.phase.value, *times, r.result)
            reply = await self._run("restore", *known, key, *fields)
            if not reply.done:
                return reply
        return await self._run("vouch", *known, "", member.name, micros(member.alive_since))

    async def claim(self, history: KnownHistory, claim_request: ClaimRequest) -> Reply:
        spans = (
            claim_request.lease // MICROSECOND,
            claim_request.runs // MICROSECOND,
            claim_request.kept // MICROSECOND,
        )
        trust = (self._trust.size, self._trust.window // MICROSECOND)
        arguments = (claim_request.fingerprint, claim_request.nonce, *spans, *trust)
        return await self._run("claim", history.generation, history.count, claim_request.key, *arguments)

    async def renew(self, history: KnownHistory, key: str, token: int, lease: timedelta) -> Reply:
        return await self._run("renew", history.generation, history.count, key, token, lease // MICROSECOND)

    async def settle(self, history: KnownHistory, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return await self._run("settle", history.generation, history.count, key, token, phase.value, result)

    async def release(self, history: KnownHistory, key: str, token: int) -> Reply:
        return await self._run("release", history.generation, history.count, key, token)

    async def close(self) -> None:
        await self._client.aclose()


def reply_of(found: list[Any]) -> Reply:
    """Decodes the array that the script returns."""
    run_id, generation, mark_run_id, count, began, trusted, now, done, verdict, token, wait, result = found
    mark = None
    if generation:
        mark = Mark(generation.decode(), mark_run_id.decode(), int(count), moment(began), trusted == b"1")
    said = None
    if verdict:
        said = ClaimResult(Verdict(verdict.decode()), int(token), int(wait) * MICROSECOND, bytes(result))
    return Reply(run_id.decode(), mark, moment(now), said, bool(done))
