"""The simulator's wire on standard input and output: parsing and writing, no decision.

Each batch in is a ``FRAME`` line, events and ``OVER_TO_YOU``; each reply is actions and ``END``.
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
    """Input that is not the wire; the text names the line and the field."""


class Line:
    """One line cut into fields, so that every complaint can name where it stands."""

    __slots__ = ("number", "place", "values")

    def __init__(self, number: int, text: str, place: dict[str, int]) -> None:
        self.number, self.place = number, place
        spare = 0 if "profile-data" in place else 1  # only JSON may hold spaces
        self.values = text.split(" ", len(place) + spare)[1:]
        if len(self.values) != len(place):
            short = len(self.values) < len(place)
            field = list(place)[len(self.values)] if short else "end"
            self.bad(field, f"expected {len(place)} fields, found {len(self.values)}")

    def bad(self, field: str, why: str) -> NoReturn:
        raise WireError(f"line {self.number}, field {field}: {why}")

    def text(self, field: str) -> str:
        value = self.values[self.place[field]]
        if not value or value == "-":
            self.bad(field, "a value is required")
        return value

    def opt(self, field: str) -> str | None:
        value = self.values[self.place[field]]
        return None if value == "-" else value

    def number_of(self, field: str) -> float:
        try:
            value = float(self.text(field))
        except ValueError:
            self.bad(field, f"not a number: {self.values[self.place[field]]!r}")
        return value if math.isfinite(value) else self.bad(field, "not a finite number")

    def whole(self, field: str) -> int:
        text = self.text(field)
        try:
            return int(text)
        except ValueError:
            self.bad(field, f"not a whole number: {text!r}")

    def flag(self, field: str) -> bool:
        if self.values[self.place[field]] not in ("0", "1"):
            self.bad(field, f"not 0 or 1: {self.values[self.place[field]]!r}")
        return self.values[self.place[field]] == "1"

    def one_of(self, field: str, choices: type[E]) -> E:
        try:
            return choices(self.text(field))
        except ValueError:
            self.bad(field, f"unknown value {self.values[self.place[field]]!r}")

    def load(self, field: str) -> dict[str, float] | None:
        value = self.opt(field)
        if value is None:
            return None
        found: dict[str, float] = {}
        for pair in value.split(","):
            name, colon, figure = pair.partition(":")
            try:
                found[name] = float(figure)
            except ValueError:
                self.bad(field, f"not a name:value pair: {pair!r}")
            if not colon or not math.isfinite(found[name]):
                self.bad(field, f"not a name:value pair: {pair!r}")
        return found


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


def settings_in(line: Line) -> api.Settings:
    try:
        return parse_settings(JsonReader(json.loads(line.text("profile-data"))))
    except InvalidSettingError as fault:
        line.bad(f"profile-data.{fault.key}", fault.reason)
    except json.JSONDecodeError as error:
        line.bad("profile-data", f"not JSON: {error}")


HEALTH = {health.value: health for health in api.Health}


def worker_of(line: Line) -> api.Worker:
    size, cell, kind, name, health, started, zone = line.values
    try:  # most lines are these: one a worker and a list, so the straight way is taken first
        fine = math.isfinite(float(size)) and name not in ("", "-")
        found = HEALTH[health], float(size), int(cell), None if started == "-" else int(started)
    except (ValueError, KeyError):
        fine = False
    if not fine:  # name the field
        line.text("worker")
        found = (
            line.one_of("health", api.Health),
            line.number_of("nominal"),
            line.whole("block"),
            None if started == "-" else line.whole("started-at"),
        )
    kind, zone = ("" if kind == "-" else kind), ("" if zone == "-" else zone)
    return api.Worker(name, found[0], found[1], found[2], kind, zone, found[3])


@dataclass(frozen=True, slots=True)
class Said:
    """A message of another instance, still to be decoded by the list of the one that gets it."""

    author: int
    payload: bytes


def event_of(tag: str, line: Line) -> api.Event | Said:
    if tag == "ASK":
        return api.Request(
            id=line.whole("handle"),
            job_class=line.text("band"),
            time_left=line.whole("ttl"),
            slots=line.number_of("slots"),
            memory=None if line.opt("ram-units") is None else line.number_of("ram-units"),
            work_hint=None if line.opt("work-hint") is None else line.whole("work-hint"),
            key=None if line.opt("key") is None else line.whole("key"),
            tenant=None if line.opt("party") in (None, "0") else line.text("party"),
            is_retry=line.opt("is-retry") is not None and line.flag("is-retry"),
        )
    if tag == "ELAPSED":
        return api.Timer(line.whole("label"))
    if tag == "HINT_UPDATE":
        return api.AttemptProgress(
            line.whole("handle"), line.whole("n"), line.text("worker"), line.whole("what") == 1
        )
    if tag == "UNDER_WAY":
        return api.AttemptProgress(line.whole("handle"), line.whole("n"), line.text("worker"), True, True)
    if tag == "ABANDONED":
        return api.RequestAbandoned(line.whole("handle"))
    if tag == "REPORT_BACK":
        return api.AttemptEnded(
            request=line.whole("handle"),
            attempt=line.whole("n"),
            worker=line.text("worker"),
            ending=line.one_of("ending", api.Outcome),
            latency=line.whole("latency"),
            done=line.flag("done-flag"),
            load=line.load("usage"),
        )
    if tag == "SAMPLED":
        return api.ProbeResult(line.text("worker"), line.one_of("ending", api.Outcome), line.load("usage"))
    try:
        payload = bytes.fromhex(line.opt("payload") or "")
    except ValueError:
        line.bad("payload", "not hex digits")
    return Said(line.whole("author"), payload)


def written(action: api.Action, codec: HintCodec) -> str:
    """The wire's line for an action."""
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
    """Instances by name, each with a ``Policy`` of its own."""

    def __init__(self) -> None:
        self.policies: dict[str, Policy] = {}
        self.codecs: dict[str, HintCodec] = {}
        self.number = 0

    def next_line(self, lines: Iterator[str], wanted: str | None = None) -> tuple[str, Line] | None:
        text = next(lines, None)
        if text is None:
            if wanted is not None:
                raise WireError(f"line {self.number + 1}, field {wanted}: input ends within a batch")
            return None
        self.number += 1
        text = text.rstrip("\r\n")
        tag = text.split(" ", 1)[0]
        if tag not in FIELDS:
            raise WireError(f"line {self.number}, field tag: unknown message {tag!r}")
        line = Line(self.number, text, FIELDS[tag])
        if wanted == "FRAME" and tag != wanted:
            line.bad("tag", f"expected FRAME, found {tag}")
        if wanted == "WORKER" and tag != wanted:
            line.bad("tag", f"expected WORKER, found {tag}")
        return tag, line

    def batch(self, lines: Iterator[str]) -> list[str] | None:
        """Read one batch and return the reply's lines, or ``None`` at the end of input."""
        first = self.next_line(lines)
        if first is None:
            return None
        if first[0] != "FRAME":
            first[1].bad("tag", f"expected FRAME, found {first[0]}")
        now = first[1].whole("now")
        # The whole batch is parsed before anything acts: malformed input gets no half reply.
        events: list[tuple[str, Line, Any]] = []
        name = ""
        while True:
            read = self.next_line(lines, "OVER_TO_YOU")
            assert read is not None
            tag, line = read
            if tag == "OVER_TO_YOU":
                break
            if tag in ("FRAME", "WORKER"):
                line.bad("tag", f"{tag} out of place")
            if tag == "FOR":
                name = line.text("dispatcher")
                continue
            if not name:
                line.bad("tag", f"{tag} before any FOR")
            events.append((name, line, self.parsed(tag, line, lines)))
        return self.acted(now, events)

    def parsed(self, tag: str, line: Line, lines: Iterator[str]) -> Any:
        if tag == "HELLO":
            return (line.whole("seed"), settings_in(line))
        if tag == "CRASH_NOW":
            return tag
        if tag == "BACKENDS_CHANGED":
            how = line.one_of("how", api.WorkerListKind)
            line.whole("generation")
            workers = []
            for _ in range(line.whole("lines")):
                entry = self.next_line(lines, "WORKER")
                assert entry is not None
                workers.append(worker_of(entry[1]))
            return api.WorkersChanged(how, tuple(workers))
        return event_of(tag, line)

    def acted(self, now: int, events: list[tuple[str, Line, Any]]) -> list[str]:
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
                    line.bad("dispatcher", f"{name} has had no HELLO")
                else:
                    if isinstance(event, api.WorkersChanged):
                        whole = event.how in (api.WorkerListKind.FULL, api.WorkerListKind.CACHED)
                        self.codecs[name].add_workers((w.id for w in event.workers), whole)
                    if isinstance(event, Said):
                        try:
                            event = api.HintsReceived(event.author, self.codecs[name].decode(event.payload))
                        except InvalidHintError:
                            continue
                    actions = self.policies[name].handle(now, event)
                out = [written(action, self.codecs[name]) for action in actions]
            except WireError:
                raise
            except Exception as error:  # a defect of the policy ends the run, with its text
                traceback.print_exc(file=sys.stderr)
                out = [f"FATAL {type(error).__name__}: {' '.join(str(error).split())}"]
            if out and name != current:
                reply.append(f"ON_BEHALF {name}")
                current = name
            reply += out
        return reply


def serve(source: TextIO, sink: TextIO) -> None:
    host = Host()
    lines = iter(source.readline, "")
    while (reply := host.batch(lines)) is not None:
        sink.write("".join(f"{line}\n" for line in [*reply, "END"]))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"rookwood: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
