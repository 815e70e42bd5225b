"""A store in Redis, through redis-py: one script on the server, so each step is atomic and one round trip.

The script goes by its digest (EVALSHA) and is sent whole where the server does not know it. All keys of a
prefix share a hash tag, so that they lie in one slot of a cluster. Each call has a time limit. It is made a
second time only where a kept connection turns out to be closed: a claim finds itself again by its nonce.
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

from rookwood.ledger.life import Ask, Phase, Record, Said, Verdict
from rookwood.ledger.store import Reply, StoreError, Tier
from rookwood.ledger.watch import Mark, Member, Watch
from rookwood.net.clock import EPOCH

SCRIPT = files("rookwood.ledger").joinpath("script.lua").read_text()
DIGEST = hashlib.sha1(SCRIPT.encode(), usedforsecurity=False).hexdigest()
US = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Server:
    """Where the store is. `replicas`: how many must have a claim before it counts (WAIT), 0 for none."""

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
    return (moment - EPOCH) // US


def moment(text: bytes) -> datetime:
    return EPOCH + int(text) * US


class RedisStore:
    """Owns the connections to one server."""

    def __init__(self, server: Server, tier: Tier) -> None:
        self._server, self._tier = server, tier
        tag = f"{{{server.prefix}}}"
        self._mark, self._members, self._record = f"{tag}:mark", f"{tag}:members", f"{tag}:key:"
        more: dict[str, Any] = {"ssl": True, "ssl_ca_certs": server.authority} if server.authority else {}
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
            retry=Retry(NoBackoff(), 0),  # the caller knows what may be done again
            **more,
        )

    async def _run(self, step: str, seen: str, known: int, key: str = "", *more: object) -> Reply:
        keys = (self._mark, self._members, self._record + key)
        words = (*keys, step, seen, known, *more)
        task = asyncio.current_task()
        before = task.cancelling() if task else 0
        try:
            try:
                found = await self._asked(step, words)
            except client.ConnectionError:
                found = await self._asked(step, words)
        except (RedisError, OSError, TimeoutError) as error:
            raise StoreError(f"{self._server}: {type(error).__name__}: {error}") from None
        finally:
            # The client sends within `asyncio.wait_for`, which in Python 3.11 loses a cancellation that comes
            # while the bytes go out (cpython issue 37658). Whoever cancels waits for the end of it.
            if task and task.cancelling() > before:
                raise asyncio.CancelledError
        return reply_of(found)

    async def _asked(self, step: str, words: tuple[object, ...]) -> list[Any]:
        try:
            return await self._sent(step, "EVALSHA", DIGEST, words)
        except NoScriptError:
            return await self._sent(step, "EVAL", SCRIPT, words)

    async def _sent(self, step: str, command: str, script: str, words: tuple[object, ...]) -> list[Any]:
        wants, limit = self._server.replicas, int(self._server.timeout.total_seconds() * 800)
        if not wants or step not in ("claim", "settle", "begin", "restore"):
            found = await self._client.execute_command(command, script, 3, *words)  # type: ignore[no-untyped-call]
            return list(found)
        async with self._client.pipeline(transaction=False) as pipe:  # one round trip for both
            pipe.execute_command(command, script, 3, *words)
            pipe.execute_command("WAIT", wants, limit)
            found, have = await pipe.execute()
        if have < wants:
            raise OSError(f"{have} of {wants} replicas have it")
        return list(found)

    async def look(self) -> Reply:
        return await self._run("look", "", 0)

    async def begin(self, generation: str, known: int, seen: str, trusted: bool) -> Reply:
        return await self._run("begin", seen, known, "", generation, int(trusted))

    async def join(self, seen: Watch, member: Member, records: Mapping[str, Record]) -> Reply:
        told = (seen.generation, seen.count)
        for key, r in records.items():  # all of them stand before anybody vouches
            times = (micros(t) for t in (r.lease_until, r.last_end, r.kept_until))
            whole = (r.fingerprint, r.nonce, r.token, r.phase.value, *times, r.result)
            reply = await self._run("restore", *told, key, *whole)
            if not reply.done:
                return reply
        return await self._run("vouch", *told, "", member.name, micros(member.alive_since))

    async def claim(self, seen: Watch, ask: Ask) -> Reply:
        spans = (ask.lease // US, ask.runs // US, ask.kept // US)
        tier = (self._tier.size, self._tier.window // US)
        words = (ask.fingerprint, ask.nonce, *spans, *tier)
        return await self._run("claim", seen.generation, seen.count, ask.key, *words)

    async def renew(self, seen: Watch, key: str, token: int, lease: timedelta) -> Reply:
        return await self._run("renew", seen.generation, seen.count, key, token, lease // US)

    async def settle(self, seen: Watch, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return await self._run("settle", seen.generation, seen.count, key, token, phase.value, result)

    async def release(self, seen: Watch, key: str, token: int) -> Reply:
        return await self._run("release", seen.generation, seen.count, key, token)

    async def close(self) -> None:
        await self._client.aclose()


def reply_of(found: list[Any]) -> Reply:
    run_id, generation, of, count, began, trusted, now, done, verdict, token, wait, result = found
    mark = None
    if generation:
        mark = Mark(generation.decode(), of.decode(), int(count), moment(began), trusted == b"1")
    said = None
    if verdict:
        said = Said(Verdict(verdict.decode()), int(token), int(wait) * US, bytes(result))
    return Reply(run_id.decode(), mark, moment(now), said, bool(done))
