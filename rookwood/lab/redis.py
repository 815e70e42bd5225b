"""A stand-in Redis on asyncio: RESP2 and RESP3, the commands that the ledger uses, Lua scripts, and faults.

Enough for an unmodified redis-py client, and no more. Scripts run in Lua 5.1 (lupa), the version that Redis
has, against the same commands. `Faults` makes it slow, silent or wrong, `restart` empty or older than it was.
Source: redis.io/docs/latest/develop/reference/protocol-spec, RESP3 specification.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
import secrets
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lupa import lua51

from rookwood.lab.net import Server

KEPT_WRITES = 5000  # so far it can be taken back
MAX_BULK = 1 << 20
Value = bytes | dict[bytes, bytes]
Reply = Any  # int, bytes, Simple, None, list, dict, RedisError


class Simple(bytes):
    """A status, sent as a simple string."""


class Push(list[Any]):
    """Out of band in RESP3, an array in RESP2."""


class RedisError(Exception):
    """An error reply; its text begins with the code."""


class ProtocolError(Exception):
    """What came is no command: the connection is closed."""


@dataclass(slots=True)
class Faults:
    """Changed while the stand-in runs."""

    delay: float = 0.0  # seconds before each reply
    frozen: bool = False  # commands are read and nothing is answered
    error: str = ""  # each command fails with it: "READONLY ...", "LOADING ...", "MOVED ...", "OOM ..."
    lose_replies: bool = False  # commands are carried out, and the connection ends before the reply
    replicas: int = 0  # that answer WAIT


def encoded(value: Reply, version: int) -> bytes:
    """One reply, in RESP2 or RESP3."""
    match value:
        case None:
            return b"_\r\n" if version == 3 else b"$-1\r\n"
        case RedisError():
            return b"-%s\r\n" % str(value).encode()
        case bool() | int():
            return b":%d\r\n" % value
        case Simple():
            return b"+%s\r\n" % bytes(value)
        case bytes():
            return b"$%d\r\n%s\r\n" % (len(value), value)
        case dict():
            pairs = b"".join(encoded(item, version) for pair in value.items() for item in pair)
            return (b"%%%d\r\n" % len(value) if version == 3 else b"*%d\r\n" % (2 * len(value))) + pairs
        case list():
            mark = b">" if version == 3 and isinstance(value, Push) else b"*"
            return mark + b"%d\r\n" % len(value) + b"".join(encoded(item, version) for item in value)
    raise TypeError(f"no reply: {value!r}")


async def command_of(reader: asyncio.StreamReader) -> list[bytes]:
    """An array of bulk strings, as clients send commands. Raises `ProtocolError`."""
    head = await reader.readuntil(b"\r\n")
    try:
        if head[:1] != b"*" or not 1 <= (count := int(head[1:])) <= 10_000:
            raise ProtocolError("no array of 1 to 10000 words")
        words = []
        for _ in range(count):
            head = await reader.readuntil(b"\r\n")
            if head[:1] != b"$" or not 0 <= (size := int(head[1:])) <= MAX_BULK:
                raise ProtocolError("no bulk string, or one too long")
            words.append((await reader.readexactly(size + 2))[:-2])
    except ValueError:
        raise ProtocolError("a length that is no number") from None
    return words


@dataclass(slots=True, eq=False)
class Session:
    writer: asyncio.StreamWriter
    version: int = 2
    known: bool = False  # has shown the password
    queue: list[list[bytes]] | None = None  # within MULTI
    channels: set[bytes] = field(default_factory=set)


class StandIn:
    def __init__(self, password: str = "", now: Callable[[], float] = time.time) -> None:
        self._now = now  # seconds of Unix time
        self.server = Server(self._connection)
        self.faults, self.run_id = Faults(), secrets.token_hex(20)
        self.commands: dict[str, int] = {}
        self._password = password.encode()
        self._data: dict[bytes, Value] = {}
        self._ends: dict[bytes, int] = {}  # milliseconds of Unix time
        self._undo: deque[tuple[bytes, Value | None, int | None]] = deque(maxlen=KEPT_WRITES)
        self._sessions: set[Session] = set()
        self._scripts: dict[str, Any] = {}
        self._thawed = asyncio.Event()
        self._lua = lua51.LuaRuntime(encoding=None, unpack_returned_tuples=True)
        library = {b"call": self._from_lua, b"error_reply": _raise}
        self._lua.globals()[b"redis"] = self._lua.table_from(library)

    # ---- faults ----

    def drop(self) -> None:
        """Every connection ends, as when the process dies."""
        for session in list(self._sessions):
            session.writer.transport.abort()

    def restart(self, empty: bool = False, lost_writes: int = 0) -> None:
        """Another process: a new run id, connections gone; empty, or without the last so many writes."""
        if empty:
            self._data, self._ends = {}, {}
            self._undo.clear()
        for _ in range(min(lost_writes, len(self._undo))):
            key, old, end = self._undo.pop()
            if old is None:
                self._data.pop(key, None)
            else:
                self._data[key] = old
            self._ends.pop(key, None)
            if end is not None:
                self._ends[key] = end
        self.run_id = secrets.token_hex(20)
        self._scripts.clear()
        self.drop()

    def freeze(self) -> None:
        self.faults.frozen = True
        self._thawed.clear()

    def thaw(self) -> None:
        self.faults.frozen = False
        self._thawed.set()

    @property
    def writes(self) -> int:
        return len(self._undo)

    # ---- connections ----

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session(writer, known=not self._password)
        self._sessions.add(session)
        try:
            while True:
                words = await command_of(reader)
                if self.faults.frozen:
                    await self._thawed.wait()
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                reply = self._answer(session, words)
                if self.faults.lose_replies and words[0].upper() in (b"EVAL", b"EVALSHA"):
                    writer.transport.abort()
                    return
                writer.write(encoded(reply, session.version))
                await writer.drain()
        except ProtocolError as error:
            writer.write(encoded(RedisError(f"ERR Protocol error: {error}"), 2))
        finally:
            self._sessions.discard(session)

    def _answer(self, session: Session, words: list[bytes]) -> Reply:
        name = words[0].upper().decode("ascii", "replace")
        self.commands[name] = self.commands.get(name, 0) + 1
        try:
            if name in ("HELLO", "AUTH"):
                return self._greeting(session, name, words[1:])
            if not session.known:
                raise RedisError("NOAUTH Authentication required.")
            if self.faults.error and name not in ("CLIENT", "PING", "INFO"):
                raise RedisError(self.faults.error)
            return self._queued(session, name, words)
        except RedisError as error:
            return error

    def _greeting(self, session: Session, name: str, words: list[bytes]) -> Reply:
        if name == "AUTH":
            return self._auth(session, words[-1])
        if words and words[0] not in (b"2", b"3"):
            raise RedisError("NOPROTO unsupported protocol version")
        if len(words) >= 4 and words[1].upper() == b"AUTH":
            self._auth(session, words[3])
        if not session.known:
            raise RedisError("NOAUTH HELLO must be called with the client already authenticated")
        session.version = int(words[0]) if words else session.version
        return {b"server": b"redis", b"version": b"7.2.0", b"proto": session.version, b"mode": b"standalone"}

    def _auth(self, session: Session, password: bytes) -> Reply:
        if password != self._password:
            raise RedisError("WRONGPASS invalid username-password pair or user is disabled.")
        session.known = True
        return Simple(b"OK")

    def _queued(self, session: Session, name: str, words: list[bytes]) -> Reply:
        if name == "MULTI":
            session.queue = []
            return Simple(b"OK")
        if name == "DISCARD":
            session.queue = None
            return Simple(b"OK")
        if name == "EXEC":
            queue, session.queue = session.queue or [], None
            return [self._answer(session, queued) for queued in queue]
        if session.queue is not None:
            session.queue.append(words)
            return Simple(b"QUEUED")
        if name in ("SUBSCRIBE", "UNSUBSCRIBE"):
            return self._subscription(session, name, words[1:])
        return self._call(words)

    def _subscription(self, session: Session, name: str, channels: list[bytes]) -> Reply:
        reply: list[Reply] = []
        for channel in channels:
            (session.channels.add if name == "SUBSCRIBE" else session.channels.discard)(channel)
            reply = Push([name.lower().encode(), channel, len(session.channels)])
        return reply

    # ---- commands ----

    def _call(self, words: list[bytes]) -> Reply:
        name = words[0].upper().decode("ascii", "replace")
        command: Callable[..., Reply] | None = getattr(self, f"_do_{name.lower()}", None)
        if command is None:
            raise RedisError(f"ERR unknown command '{name}'")
        try:
            return command(*words[1:])
        except TypeError:
            raise RedisError(f"ERR wrong number of arguments for '{name.lower()}' command") from None
        except ValueError:
            raise RedisError("ERR value is not an integer or out of range") from None

    def _get(self, key: bytes, kind: type) -> Any:
        end = self._ends.get(key)
        if end is not None and self._now() * 1000 >= end:
            del self._data[key], self._ends[key]
        value = self._data.get(key)
        if value is not None and not isinstance(value, kind):
            raise RedisError("WRONGTYPE Operation against a key holding the wrong kind of value")
        return value

    def _writes(self, key: bytes) -> None:
        self._undo.append((key, copy.copy(self._data.get(key)), self._ends.get(key)))

    def _do_ping(self, word: bytes | None = None) -> Reply:
        return word or Simple(b"PONG")

    def _do_echo(self, word: bytes) -> Reply:
        return word

    def _do_select(self, _: bytes) -> Reply:
        return Simple(b"OK")

    def _do_client(self, *_: bytes) -> Reply:
        return Simple(b"OK")

    def _do_info(self, *_: bytes) -> Reply:
        lines = (
            "# Server",
            "redis_version:7.2.0",
            f"run_id:{self.run_id}",
            "# Replication",
            "role:master",
            "",
        )
        return "\r\n".join(lines).encode()

    def _do_time(self) -> Reply:
        now = int(self._now() * 1_000_000)
        return [b"%d" % (now // 1_000_000), b"%d" % (now % 1_000_000)]

    def _do_wait(self, wanted: bytes, _: bytes) -> Reply:
        return self.faults.replicas

    def _do_get(self, key: bytes) -> Reply:
        return self._get(key, bytes)

    def _do_set(self, key: bytes, value: bytes) -> Reply:
        self._writes(key)
        self._data[key] = value
        self._ends.pop(key, None)
        return Simple(b"OK")

    def _do_incr(self, key: bytes) -> Reply:
        return self._do_incrby(key, b"1")

    def _do_incrby(self, key: bytes, by: bytes) -> Reply:
        value = int(self._get(key, bytes) or 0) + int(by)
        self._do_set(key, b"%d" % value)
        return value

    def _do_exists(self, *keys: bytes) -> Reply:
        return sum(self._get(key, object) is not None for key in keys)

    def _do_del(self, *keys: bytes) -> Reply:
        found = [key for key in keys if self._get(key, object) is not None]
        for key in found:
            self._writes(key)
            del self._data[key]
            self._ends.pop(key, None)
        return len(found)

    def _do_flushall(self, *_: bytes) -> Reply:
        self._data, self._ends = {}, {}
        return Simple(b"OK")

    def _do_pexpireat(self, key: bytes, end: bytes) -> Reply:
        if self._get(key, object) is None:
            return 0
        self._writes(key)
        self._ends[key] = int(end)
        return 1

    def _do_pttl(self, key: bytes) -> Reply:
        if self._get(key, object) is None:
            return -2
        return max(0, self._ends[key] - int(self._now() * 1000)) if key in self._ends else -1

    def _do_hset(self, key: bytes, *pairs: bytes) -> Reply:
        if not pairs or len(pairs) % 2:
            raise TypeError
        value: dict[bytes, bytes] = dict(self._get(key, dict) or {})
        self._writes(key)
        added = sum(name not in value for name in pairs[::2])
        value |= dict(zip(pairs[::2], pairs[1::2], strict=True))
        self._data[key] = value
        return added

    def _do_hget(self, key: bytes, name: bytes) -> Reply:
        return (self._get(key, dict) or {}).get(name)

    def _do_hmget(self, key: bytes, *names: bytes) -> Reply:
        value = self._get(key, dict) or {}
        return [value.get(name) for name in names]

    def _do_hgetall(self, key: bytes) -> Reply:
        return dict(self._get(key, dict) or {})

    def _do_hvals(self, key: bytes) -> Reply:
        return list((self._get(key, dict) or {}).values())

    def _do_publish(self, channel: bytes, message: bytes) -> Reply:
        told = [session for session in self._sessions if channel in session.channels]
        for session in told:
            session.writer.write(encoded(Push([b"message", channel, message]), session.version))
        return len(told)

    # ---- scripts ----

    def _do_script(self, what: bytes, *words: bytes) -> Reply:
        match what.upper():
            case b"LOAD":
                return self._loaded(words[0]).encode()
            case b"EXISTS":
                return [int(word.decode() in self._scripts) for word in words]
            case b"FLUSH":
                self._scripts.clear()
                return Simple(b"OK")
        raise RedisError("ERR unknown subcommand")

    def _loaded(self, text: bytes) -> str:
        digest = hashlib.sha1(text, usedforsecurity=False).hexdigest()
        if digest not in self._scripts:
            try:
                self._scripts[digest] = self._lua.eval(b"function(KEYS, ARGV) " + text + b"\nend")
            except lua51.LuaError as error:
                raise RedisError(f"ERR Error compiling script: {error}") from None
        return digest

    def _do_eval(self, text: bytes, count: bytes, *words: bytes) -> Reply:
        return self._do_evalsha(self._loaded(text).encode(), count, *words)

    def _do_evalsha(self, digest: bytes, count: bytes, *words: bytes) -> Reply:
        script = self._scripts.get(digest.decode().lower())
        if script is None:
            raise RedisError("NOSCRIPT No matching script. Please use EVAL.")
        keys = int(count)
        try:
            found = script(self._lua.table_from(words[:keys]), self._lua.table_from(words[keys:]))
        except lua51.LuaError as error:
            raise RedisError(f"ERR Error running script: {error}") from None
        return self._out_of_lua(found)

    def _from_lua(self, *words: Any) -> Any:
        command = [word if isinstance(word, bytes) else b"%d" % word for word in words]
        return self._into_lua(self._call(command))

    def _into_lua(self, value: Reply) -> Any:
        match value:
            case None:
                return False  # as Redis does: a missing value is false in Lua
            case Simple():
                return self._lua.table_from({b"ok": bytes(value)})
            case dict():
                return self._lua.table_from([item for pair in value.items() for item in pair])
            case list():
                return self._lua.table_from([self._into_lua(item) for item in value])
        return value

    def _out_of_lua(self, value: Any) -> Reply:
        match value:
            case None | False:
                return None
            case True:
                return 1
            case float():
                return int(value)
            case int() | bytes():
                return value
        if lua51.lua_type(value) == "table":
            if value[b"ok"] is not None:
                return Simple(value[b"ok"])
            found, n = [], 1
            while (item := value[n]) is not None:
                found.append(self._out_of_lua(item))
                n += 1
            return found
        raise RedisError("ERR a script returned what is no reply")


def _raise(text: bytes) -> None:
    raise RedisError(text.decode())
