"""Reads the operator's file and what it includes; tells every fault at once, by file, line and column."""

from __future__ import annotations

import difflib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from rookwood.conf.grammar import Line, LineError, Word, line_of
from rookwood.conf.schema import (
    SECTIONS,
    TOP,
    Directive,
    Duties,
    Gateway,
    OperatorFile,
    Peer,
    Section,
    Site,
    Store,
)

MAX_DEPTH = 8  # of includes
MAX_LINES = 20_000  # of all files together


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a value came from."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Fault:
    origin: Origin
    directive: str
    why: str
    right: str = ""

    def __str__(self) -> str:
        at = f" {self.directive}:" if self.directive else ""
        return f"{self.origin}:{at} {self.why}" + (f"; right would be {self.right}" if self.right else "")


class OperatorFileError(ValueError):
    """All faults of a file; the text holds one a line."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = tuple(faults)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """What is in force, and where each value came from: by dotted path; what is missing is a default."""

    operator: OperatorFile
    origins: dict[str, Origin]

    def rows(self) -> Iterator[tuple[str, str, str]]:
        """Path, value and origin of every setting, for `rookwood show`."""
        operator = self.operator
        yield from self._rows("", operator, skip=("gateway", "sites", "store", "duties"))
        if operator.gateway:
            yield from self._rows("gateway.", operator.gateway)
        if operator.store:
            yield from self._rows("store.", operator.store)
        if operator.duties:
            yield from self._rows("duties.", operator.duties)
        for site in operator.sites:
            yield from self._rows(f"site.{site.name}.", site, skip=("name",))

    def _rows(self, prefix: str, struct: msgspec.Struct, skip: tuple[str, ...] = ()) -> Iterator[Any]:
        for name in struct.__struct_fields__:
            if name not in skip:
                path = prefix + name.replace("_", "-").removesuffix("s" if name in ("peers", "zones") else "")
                origin = self.origins.get(path)
                yield path, shown(getattr(struct, name)), str(origin) if origin else "default"


def shown(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case Peer():
            return f"{value.name} {value.host}:{value.port}"
        case (str() as host, int() as port):
            return f"{host}:{port}"
        case (str() as name, (str() as host, int() as port)):
            return f"{name} {host}:{port}"
        case tuple():
            return " ".join(shown(item) for item in value) or "-"
        case None | "":
            return "-"
        case _ if hasattr(value, "total_seconds"):
            return f"{value.total_seconds() * 1000:g}ms"
    return str(value)


@dataclass(slots=True)
class _Block:
    """A section while it is read; the top is one."""

    kind: str
    name: str
    section: Section
    origin: Origin
    values: dict[str, list[Any]] = field(default_factory=dict)
    path: str = ""


class _Reader:
    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.origins: dict[str, Origin] = {}
        self.top = _Block("", "", TOP, Origin("", 0))
        self.blocks: list[_Block] = []
        self._lines = itertools.count(1)

    def fault(self, origin: Origin, directive: str, why: str, right: str = "") -> None:
        self.faults.append(Fault(origin, directive, why, right))

    def file(self, place: Path, stack: tuple[Path, ...] = (), asked: Origin | None = None) -> None:
        asked = asked or Origin(str(place), 1)
        if place.resolve() in stack:
            return self.fault(asked, "include", f"{place} includes itself")
        if len(stack) >= MAX_DEPTH:
            return self.fault(asked, "include", f"over {MAX_DEPTH} files deep")
        try:
            lines = place.read_text(encoding="utf-8").splitlines()
        except (OSError, ValueError) as error:
            return self.fault(asked, "include" if stack else "", f"{place} cannot be read: {error}")
        block = self.top
        for number, text in enumerate(lines, 1):
            origin = Origin(str(place), number)
            if next(self._lines) > MAX_LINES:
                return self.fault(origin, "", f"over {MAX_LINES} lines in all")
            try:
                line = line_of(text)
            except LineError as error:
                self.fault(Origin(str(place), number, error.column), "", error.why)
                continue
            block = self._line(line, block, origin, place, (*stack, place.resolve()))
        if block is not self.top:
            self.fault(block.origin, block.kind, "the section has no closing '}'")
        return None

    def _line(
        self, line: Line, block: _Block, origin: Origin, place: Path, stack: tuple[Path, ...]
    ) -> _Block:
        if line.closes:
            if block is self.top:
                self.fault(origin, "", "'}' closes no section")
            return self.top
        if not line.words:
            return block
        keyword, *words = line.words
        origin = Origin(origin.file, origin.line, keyword.column)
        if line.opens:
            return self._open(keyword, words, block, origin)
        if keyword.text == "include" and block is self.top:
            if len(words) != 1:
                self.fault(origin, "include", "takes one path")
            else:
                self.file(place.parent / words[0].text, stack, origin)
            return block
        self._directive(keyword, words, block, origin)
        return block

    def _open(self, keyword: Word, words: list[Word], block: _Block, origin: Origin) -> _Block:
        if block is not self.top:
            self.fault(origin, keyword.text, f"a section inside {block.kind!r}; that one has no closing '}}'")
        section = SECTIONS.get(keyword.text)
        if section is None:
            self.fault(origin, keyword.text, "no such section", near(keyword.text, SECTIONS))
            return _Block(keyword.text, "?", Section({}), origin)  # its lines are passed over
        name = words[0].text if words else ""
        if section.named != bool(words) or len(words) > 1:
            right = f"{keyword.text} NAME {{" if section.named else f"{keyword.text} {{"
            self.fault(origin, keyword.text, "wrong number of words", right)
        before = next((b for b in self.blocks if (b.kind, b.name) == (keyword.text, name)), None)
        if before:
            self.fault(origin, keyword.text, f"is here for the second time, first at {before.origin}")
        path = f"{keyword.text}.{name}" if name else keyword.text
        self.blocks.append(_Block(keyword.text, name, section, origin, path=path))
        return self.blocks[-1]

    def _directive(self, keyword: Word, words: list[Word], block: _Block, origin: Origin) -> None:
        if block.name == "?":
            return None
        known = block.section.directives
        directive = known.get(keyword.text)
        if directive is None:
            where = f" in section {block.kind!r}" if block.kind else ""
            return self.fault(origin, keyword.text, f"no such directive{where}", near(keyword.text, known))
        path = f"{block.path}.{keyword.text}" if block.path else keyword.text
        if keyword.text in block.values and not directive.many:
            return self.fault(
                origin, keyword.text, f"is here for the second time, first at {self.origins[path]}"
            )
        rounds = max(1, len(words) // len(directive.parsers)) if directive.many else 1
        if len(words) != rounds * len(directive.parsers):
            return self.fault(
                origin, keyword.text, f"takes {len(directive.parsers)} value(s)", directive.right
            )
        self.origins.setdefault(path, origin)
        found = block.values.setdefault(keyword.text, [])
        step = len(directive.parsers)
        for at in range(0, len(words), step):
            self._values(keyword, directive, words[at : at + step], found, origin)
        return None

    def _values(
        self, keyword: Word, directive: Directive, words: list[Word], found: list[Any], origin: Origin
    ) -> None:
        values = []
        for parser, word in zip(directive.parsers, words, strict=True):
            try:
                values.append(parser(word.text))
            except ValueError as error:
                at = Origin(origin.file, origin.line, word.column)
                self.fault(at, keyword.text, str(error), directive.right)
                return
        found.append(values[0] if len(values) == 1 else tuple(values))

    # ---- from blocks to the typed whole ----

    def built(self) -> OperatorFile:
        for block in (self.top, *self.blocks):
            for name, directive in block.section.directives.items():
                if directive.required and not block.values.get(name) and not self.faults:
                    self.fault(block.origin, name, f"is missing in section {block.kind!r}", directive.right)
        if self.faults:
            return OperatorFile()
        gateway = next((Gateway(**_fields(b)) for b in self.blocks if b.kind == "gateway"), None)
        sites = tuple(
            Site(
                name=b.name,
                peers=tuple(Peer(name, *address) for name, address in b.values["peer"]),
                zones=tuple(b.values.get("zone", ())),
            )
            for b in self.blocks
            if b.kind == "site"
        )
        store = next((Store(**_fields(b)) for b in self.blocks if b.kind == "store"), None)
        duties = next((Duties(**_fields(b)) for b in self.blocks if b.kind == "duties"), None)
        top = _fields(self.top)
        return OperatorFile(gateway=gateway, store=store, duties=duties, sites=sites, **top)

    def check(self, operator: OperatorFile) -> None:
        """What no single directive can tell."""
        gateway, store = operator.gateway, operator.store
        place = {b.path: b.origin for b in self.blocks}
        if store and sum(map(bool, (store.redis, store.file, store.memory, store.peers))) != 1:
            self.fault(place["store"], "store", "needs one of 'redis', 'file', 'memory' and 'peers'")
        if store and store.peers and not operator.duties:
            self.fault(place["store"], "peers", "needs the section 'duties', for its members", "duties {")
        if store and store.password_file and not store.password_file.is_file():
            at = self.origins["store.password-file"]
            self.fault(at, "password-file", f"{store.password_file} is no file", "a path that can be read")
        if store and store.timeout * 4 > store.lease:
            at = self.origins.get("store.timeout", place["store"])
            self.fault(at, "timeout", "is over a quarter of 'lease': two slow answers would end it")
        if operator.duties:
            self._check_duties(operator.duties, gateway, place["duties"])
        if operator.sites and not gateway:
            self.fault(self.blocks[0].origin, "site", "there is no section 'gateway'", "gateway {")
        if gateway is None:
            return
        here = place["gateway"]
        if not operator.site:
            self.fault(here, "site", "the own site has no name", "site NAME on a line outside all sections")
        for site in operator.sites:
            if site.name == operator.site:
                self.fault(place[f"site.{site.name}"], "site", "is the own site", "the name of another")
        if gateway.leave >= gateway.enter:
            self.fault(self.origins.get("gateway.leave", here), "leave", "is not below 'enter'")
        if gateway.lend + gateway.reserve > 1:
            self.fault(self.origins.get("gateway.lend", here), "lend", "and 'reserve' are over 1 together")
        if gateway.keepalive * 3 > gateway.lease:
            at = self.origins.get("gateway.keepalive", here)
            self.fault(at, "keepalive", "is over a third of 'lease': one lost message would end it")
        if gateway.max_frame < 2048:
            self.fault(self.origins.get("gateway.max-frame", here), "max-frame", "is under 2048 bytes")
        files = [gateway.certificate, gateway.key, gateway.authority]
        if gateway.plaintext:
            if any(files):
                self.fault(here, "plaintext", "excludes certificate, key and authority")
            addresses = [gateway.listen[0], *(p.host for s in operator.sites for p in s.peers)]
            if bad := [a for a in addresses if not a.startswith("127.") and a not in ("::1", "localhost")]:
                at = self.origins.get("gateway.plaintext", here)
                self.fault(at, "plaintext", f"is for loopback alone, not {bad[0]}")
        elif not all(files):
            self.fault(here, "certificate", "'certificate', 'key' and 'authority' are all needed")

    def _check_duties(self, duties: Duties, gateway: Gateway | None, here: Origin) -> None:
        if gateway is None:
            self.fault(here, "duties", "needs the section 'gateway', for its name and keys", "gateway {")
        names = [name for name, _ in duties.member]
        if len(set(names)) < len(names):
            self.fault(self.origins.get("duties.member", here), "member", "one is named twice")
        if bool(duties.relay) != bool(duties.address):
            self.fault(here, "relay", "'relay' and 'address' go together")
        if duties.drift >= 0.5:
            self.fault(self.origins.get("duties.drift", here), "drift", "is not below 0.5", "0.01")
        if duties.lease < timedelta(milliseconds=100):
            at = self.origins.get("duties.lease", here)
            self.fault(at, "lease", "is under 100ms: a busy machine could not keep it", "1s")
        if "duties.places" in self.origins and duties.places * 2 >= len(names):
            self.fault(self.origins["duties.places"], "places", "would leave no majority of the members", "1")
        if gateway and gateway.plaintext:
            hosts = [duties.listen[0], *(host for _, (host, _) in duties.member)]
            if bad := [h for h in hosts if not h.startswith("127.") and h not in ("::1", "localhost")]:
                self.fault(here, "duties", f"'plaintext' is for loopback alone, not {bad[0]}")


def _fields(block: _Block) -> dict[str, Any]:
    directives = block.section.directives
    return {
        name.replace("-", "_"): tuple(values) if directives[name].many else values[0]
        for name, values in block.values.items()
    }


def near(word: str, known: dict[str, Any]) -> str:
    close = difflib.get_close_matches(word, known, 1)
    return close[0] if close else f"one of {', '.join(sorted(known))}" if known else ""


def load(place: Path) -> OperatorSettings:
    """Reads `place` and what it includes. Raises `OperatorFileError` with every fault found."""
    reader = _Reader()
    reader.file(place)
    operator = reader.built()
    if not reader.faults:
        reader.check(operator)
    if reader.faults:
        raise OperatorFileError(reader.faults)
    return OperatorSettings(operator, reader.origins)
