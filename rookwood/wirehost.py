"""Runs policies for a simulator over standard input and output.

Each batch of input is a ``FRAME`` line, lines of events and ``OVER_TO_YOU``. Each reply is lines of actions
and ``END``. Several dispatchers share the streams: ``FOR`` and ``ON_BEHALF`` name the one to which the
following lines belong. This module parses and writes lines and decides nothing.
"""

from __future__ import annotations

import json
import math
import sys
import traceback
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, NoReturn, TextIO, TypeVar

from rookwood import interface as api
from rookwood.hints import HintCodec, InvalidHintError
from rookwood.policy import Policy
from rookwood.settings import InvalidSettingError, JsonReader, parse_settings

E = TypeVar("E", bound=Enum)


class WireError(Exception):
    """Input breaks the wire protocol. The text names the line and the field."""


class Line:
    """A line of input, cut into fields. Errors name the line's number and the field."""

    __slots__ = ("number", "positions", "values")

    def __init__(self, number: int, text: str, positions: dict[str, int]) -> None:
        self.number = number
        self.positions = positions  # of each field in `values`
        remainder = 0 if "profile-data" in positions else 1  # JSON, the last field, may hold spaces
        self.values = text.split(" ", len(positions) + remainder)[1:]
        if len(self.values) != len(positions):
            short = len(self.values) < len(positions)
            field = list(positions)[len(self.values)] if short else "end"
            self.fail(field, f"expected {len(positions)} fields, found {len(self.values)}")

    def fail(self, field: str, reason: str) -> NoReturn:
        """Raise an error about a field."""
        raise WireError(f"line {self.number}, field {field}: {reason}")

    def text(self, field: str) -> str:
        """Return a field that must have a value."""
        value = self.values[self.positions[field]]
        if not value or value == "-":
            self.fail(field, "a value is required")
        return value

    def optional_text(self, field: str) -> str | None:
        """Return a field, or None if it is absent, which the wire writes as ``-``."""
        value = self.values[self.positions[field]]
        return None if value == "-" else value

    def finite_number(self, field: str) -> float:
        """Return a field that must be a finite number."""
        try:
            value = float(self.text(field))
        except ValueError:
            self.fail(field, f"not a number: {self.values[self.positions[field]]!r}")
        return value if math.isfinite(value) else self.fail(field, "not a finite number")

    def integer(self, field: str) -> int:
        """Return a field that must be an integer."""
        text = self.text(field)
        try:
            return int(text)
        except ValueError:
            self.fail(field, f"not a whole number: {text!r}")

    def flag(self, field: str) -> bool:
        """Return a field that must be 0 or 1."""
        if self.values[self.positions[field]] not in ("0", "1"):
            self.fail(field, f"not 0 or 1: {self.values[self.positions[field]]!r}")
        return self.values[self.positions[field]] == "1"

    def enum_value(self, field: str, choices: type[E]) -> E:
        """Return the enum member that a field names."""
        try:
            return choices(self.text(field))
        except ValueError:
            self.fail(field, f"unknown value {self.values[self.positions[field]]!r}")

    def load(self, field: str) -> dict[str, float] | None:
        """Return a load report, written as ``name:value`` pairs with commas between them, or None."""
        value = self.optional_text(field)
        if value is None:
            return None
        found: dict[str, float] = {}
        for pair in value.split(","):
            name, colon, number = pair.partition(":")
            try:
                found[name] = float(number)
            except ValueError:
                self.fail(field, f"not a name:value pair: {pair!r}")
            if not colon or not math.isfinite(found[name]):
                self.fail(field, f"not a name:value pair: {pair!r}")
        return found


# The fields of each message by its tag: their names in the protocol, and their positions.
FIELDS = {
    tag: {name: at for at, name in enumerate(names.split())}
    for tag, names in {
        "FRAME": "now",
        "FOR": "dispatcher",
        "HELLO": "seed profile-data",
        "BACKENDS_CHANGED": "how generation lines",
        "WORKER": "nominal block class-of-host worker health started-at region-part",
        "ASK": "handle ttl slots reconnect work-hint ram-units band write is-retry key party",
        "NOTE_FROM": "author payload",
        "ELAPSED": "label",
        "HINT_UPDATE": "handle n worker what value",
        "UNDER_WAY": "handle n worker latency",
        "ABANDONED": "handle",
        "CRASH_NOW": "",
        "REPORT_BACK": "handle info n latency done-flag worker ending usage",
        "SAMPLED": "worker ending latency usage",
        "OVER_TO_YOU": "",
    }.items()
}


def settings_of(line: Line) -> api.Settings:
    """Parse the settings of a HELLO line."""
    try:
        return parse_settings(JsonReader(json.loads(line.text("profile-data"))))
    except InvalidSettingError as error:
        line.fail(f"profile-data.{error.key}", error.reason)
    except json.JSONDecodeError as error:
        line.fail("profile-data", f"not JSON: {error}")


HEALTH = {health.value: health for health in api.Health}


def worker_of(line: Line) -> api.Worker:
    """Parse a WORKER line."""
    size, cell, kind, name, health, started, zone = line.values
    # Most lines of the input are of this kind, so the fast path takes all fields at once.
    try:
        is_valid = math.isfinite(float(size)) and name not in ("", "-")
        found = HEALTH[health], float(size), int(cell), None if started == "-" else int(started)
    except (ValueError, KeyError):
        is_valid = False
    if not is_valid:  # parse again field by field, to name the invalid one
        line.text("worker")
        found = (
            line.enum_value("health", api.Health),
            line.finite_number("nominal"),
            line.integer("block"),
            None if started == "-" else line.integer("started-at"),
        )
    kind, zone = ("" if kind == "-" else kind), ("" if zone == "-" else zone)
    return api.Worker(name, found[0], found[1], found[2], kind, zone, found[3])


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another dispatcher, to be decoded with the worker list of the one that receives it."""

    author: int
    payload: bytes


def event_of(tag: str, line: Line) -> api.Event | PeerMessage:
    """Parse a line that is one event."""
    if tag == "ASK":
        return api.Request(
            id=line.integer("handle"),
            job_class=line.text("band"),
            time_left=line.integer("ttl"),
            slots=line.finite_number("slots"),
            memory=None if line.optional_text("ram-units") is None else line.finite_number("ram-units"),
            work_hint=None if line.optional_text("work-hint") is None else line.integer("work-hint"),
            key=None if line.optional_text("key") is None else line.integer("key"),
            tenant=None if line.optional_text("party") in (None, "0") else line.text("party"),
            is_retry=line.optional_text("is-retry") is not None and line.flag("is-retry"),
        )
    if tag == "ELAPSED":
        return api.Timer(line.integer("label"))
    if tag == "HINT_UPDATE":
        return api.AttemptProgress(
            line.integer("handle"), line.integer("n"), line.text("worker"), line.integer("what") == 1
        )
    if tag == "UNDER_WAY":
        return api.AttemptProgress(line.integer("handle"), line.integer("n"), line.text("worker"), True, True)
    if tag == "ABANDONED":
        return api.RequestAbandoned(line.integer("handle"))
    if tag == "REPORT_BACK":
        return api.AttemptEnded(
            request=line.integer("handle"),
            attempt=line.integer("n"),
            worker=line.text("worker"),
            outcome=line.enum_value("ending", api.Outcome),
            latency=line.integer("latency"),
            request_done=line.flag("done-flag"),
            load=line.load("usage"),
        )
    if tag == "SAMPLED":
        return api.ProbeResult(
            line.text("worker"), line.enum_value("ending", api.Outcome), line.load("usage")
        )
    try:
        payload = bytes.fromhex(line.optional_text("payload") or "")
    except ValueError:
        line.fail("payload", "not hex digits")
    return PeerMessage(line.integer("author"), payload)


def format_action(action: api.Action, codec: HintCodec) -> str:
    """Return the line, or the lines, that an action is written as."""
    match action:
        case api.Send(request, worker, timeout):
            return f"TRANSMIT {request} {timeout or '-'} {worker}"
        case api.Reject(request, retry_after):
            return f"BUSY {request} {retry_after or '-'}"
        case api.Fail(request):
            return f"GIVE_UP {request}"
        case api.Cancel(request, attempt):
            return f"ABORT_ATTEMPT {request} {attempt}"
        case api.Probe(worker):
            return f"SOUND_OUT {worker}"
        case api.SendHints(to, hints):
            payload = codec.encode(hints).hex()
            return "\n".join(f"NOTIFY {peer} {payload}" for peer in to)
        case api.SetTimer(token, delay):
            return f"DEFER {token} {delay}"
        case api.Subscribe():
            return "LISTEN 1"
        case api.Log(text):
            return f"DEBUG {' '.join(text.split())}"


class Host:
    """Dispatchers by name, each with a policy and a hint codec of its own."""

    def __init__(self) -> None:
        self.policies: dict[str, Policy] = {}
        self.codecs: dict[str, HintCodec] = {}
        self.line_number = 0  # of the last line read

    def next_line(self, lines: Iterator[str], expected: str | None = None) -> tuple[str, Line] | None:
        """Read a line and its tag; None at the end of input, which is an error if a line is expected."""
        text = next(lines, None)
        if text is None:
            if expected is not None:
                raise WireError(f"line {self.line_number + 1}, field {expected}: input ends within a batch")
            return None
        self.line_number += 1
        text = text.rstrip("\r\n")
        tag = text.split(" ", 1)[0]
        if tag not in FIELDS:
            raise WireError(f"line {self.line_number}, field tag: unknown message {tag!r}")
        line = Line(self.line_number, text, FIELDS[tag])
        if expected == "FRAME" and tag != expected:
            line.fail("tag", f"expected FRAME, found {tag}")
        if expected == "WORKER" and tag != expected:
            line.fail("tag", f"expected WORKER, found {tag}")
        return tag, line

    def batch(self, lines: Iterator[str]) -> list[str] | None:
        """Read one batch and return the lines of the reply, or ``None`` at the end of input."""
        first = self.next_line(lines)
        if first is None:
            return None
        if first[0] != "FRAME":
            first[1].fail("tag", f"expected FRAME, found {first[0]}")
        now = first[1].integer("now")
        # The whole batch is parsed before any event is handled, so malformed input gets no partial reply.
        events: list[tuple[str, Line, Any]] = []
        name = ""
        while True:
            read = self.next_line(lines, "OVER_TO_YOU")
            assert read is not None
            tag, line = read
            if tag == "OVER_TO_YOU":
                break
            if tag in ("FRAME", "WORKER"):
                line.fail("tag", f"{tag} out of place")
            if tag == "FOR":
                name = line.text("dispatcher")
                continue
            if not name:
                line.fail("tag", f"{tag} before any FOR")
            events.append((name, line, self.parse_event(tag, line, lines)))
        return self.handle_events(now, events)

    def parse_event(self, tag: str, line: Line, lines: Iterator[str]) -> Any:
        """Parse an event, with the lines that follow it if it has any.

        HELLO gives a tuple of seed and settings, and CRASH_NOW its own tag.
        """
        if tag == "HELLO":
            return (line.integer("seed"), settings_of(line))
        if tag == "CRASH_NOW":
            return tag
        if tag == "BACKENDS_CHANGED":
            how = line.enum_value("how", api.WorkerListKind)
            line.integer("generation")
            workers = []
            for _ in range(line.integer("lines")):
                entry = self.next_line(lines, "WORKER")
                assert entry is not None
                workers.append(worker_of(entry[1]))
            return api.WorkersChanged(how, tuple(workers))
        return event_of(tag, line)

    def handle_events(self, now: int, events: list[tuple[str, Line, Any]]) -> list[str]:
        """Handle the events of a batch in order and return the lines of the reply."""
        reply: list[str] = []
        current = ""
        for name, line, event in events:
            actions: Iterable[api.Action] = ()
            if event == "CRASH_NOW":
                self.policies.pop(name, None)
                continue
            try:
                if isinstance(event, tuple):
                    self.policies[name], self.codecs[name] = Policy(event[1], event[0]), HintCodec()
                elif name not in self.policies:
                    line.fail("dispatcher", f"{name} has had no HELLO")
                else:
                    if isinstance(event, api.WorkersChanged):
                        is_full = event.kind in (api.WorkerListKind.FULL, api.WorkerListKind.CACHED)
                        self.codecs[name].add_workers((w.id for w in event.workers), is_full)
                    if isinstance(event, PeerMessage):
                        try:
                            event = api.HintsReceived(event.author, self.codecs[name].decode(event.payload))
                        except InvalidHintError:
                            continue
                    actions = self.policies[name].handle(now, event)
                out = [format_action(action, self.codecs[name]) for action in actions]
            except WireError:
                raise
            except Exception as error:  # a defect in the policy: FATAL ends the simulation
                traceback.print_exc(file=sys.stderr)
                out = [f"FATAL {type(error).__name__}: {' '.join(str(error).split())}"]
            if out and name != current:
                reply.append(f"ON_BEHALF {name}")
                current = name
            reply += out
        return reply


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the end of input."""
    host = Host()
    lines = iter(source.readline, "")
    while (reply := host.batch(lines)) is not None:
        sink.write("".join(f"{line}\n" for line in [*reply, "END"]))
        sink.flush()


def main() -> int:
    """Serve standard input and output. Returns 2 for malformed input."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"rookwood: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
