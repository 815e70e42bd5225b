"""Reads the operator file and the files it includes, and reports all faults with file, line and column."""

from __future__ import annotations

import difflib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from rookwood.conf.grammar import Line, LineError, Word, parse_line
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

MAX_INCLUDE_DEPTH = 8
MAX_LINES = 20_000  # in all files together


@dataclass(frozen=True, slots=True)
class Origin:
    """The position of a value, directive or section in the operator file or a file that it includes."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in the operator file, with what the file should hold there, if that is known."""

    origin: Origin
    directive: str
    reason: str
    expected: str = ""

    def __str__(self) -> str:
        at = f" {self.directive}:" if self.directive else ""
        return f"{self.origin}:{at} {self.reason}" + (f"; expected {self.expected}" if self.expected else "")


class OperatorFileError(ValueError):
    """The operator file is invalid. The message has one line for each fault."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = tuple(faults)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The loaded operator file, and the origin of each value by its dotted path; defaults have no origin."""

    operator: OperatorFile
    origins: dict[str, Origin]

    def rows(self) -> Iterator[tuple[str, str, str]]:
        """Yield path, value and origin of every setting, for `rookwood show`."""
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
                yield path, format_value(getattr(struct, name)), str(origin) if origin else "default"


def format_value(value: Any) -> str:
    """Format a value as it is written in the file."""
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
            return " ".join(format_value(item) for item in value) or "-"
        case None | "":
            return "-"
        case _ if hasattr(value, "total_seconds"):
            return f"{value.total_seconds() * 1000:g}ms"
    return str(value)


@dataclass(slots=True)
class _Block:
    """A section while it is read. The directives outside all sections form a block as well."""

    kind: str
    name: str
    section: Section
    origin: Origin
    values: dict[str, list[Any]] = field(default_factory=dict)
    path: str = ""


class _Reader:
    """Collects sections, values and faults of a file and of the files it includes."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.origins: dict[str, Origin] = {}
        self.top = _Block("", "", TOP, Origin("", 0))
        self.blocks: list[_Block] = []
        self._lines = itertools.count(1)

    def add_fault(self, origin: Origin, directive: str, reason: str, expected: str = "") -> None:
        self.faults.append(Fault(origin, directive, reason, expected))

    def read_file(self, path: Path, stack: tuple[Path, ...] = (), include: Origin | None = None) -> None:
        """Read a file. `stack` holds the files that include it, `include` the position of the directive."""
        include = include or Origin(str(path), 1)
        if path.resolve() in stack:
            return self.add_fault(include, "include", f"{path} includes itself")
        if len(stack) >= MAX_INCLUDE_DEPTH:
            return self.add_fault(
                include, "include", f"includes are nested over {MAX_INCLUDE_DEPTH} files deep"
            )
        try:
            lines = path.read_text(encoding="utf-8").splitlines()
        except (OSError, ValueError) as error:
            return self.add_fault(include, "include" if stack else "", f"{path} cannot be read: {error}")
        block = self.top
        for number, text in enumerate(lines, 1):
            origin = Origin(str(path), number)
            if next(self._lines) > MAX_LINES:
                return self.add_fault(origin, "", f"the files have over {MAX_LINES} lines in total")
            try:
                line = parse_line(text)
            except LineError as error:
                self.add_fault(Origin(str(path), number, error.column), "", error.reason)
                continue
            block = self._add_line(line, block, origin, path, (*stack, path.resolve()))
        if block is not self.top:
            self.add_fault(block.origin, block.kind, "the section has no closing '}'")
        return None

    def _add_line(
        self, line: Line, block: _Block, origin: Origin, path: Path, stack: tuple[Path, ...]
    ) -> _Block:
        if line.closes:
            if block is self.top:
                self.add_fault(origin, "", "'}' closes no section")
            return self.top
        if not line.words:
            return block
        keyword, *words = line.words
        origin = Origin(origin.file, origin.line, keyword.column)
        if line.opens:
            return self._open_section(keyword, words, block, origin)
        if keyword.text == "include" and block is self.top:
            if len(words) != 1:
                self.add_fault(origin, "include", "takes one path")
            else:
                self.read_file(path.parent / words[0].text, stack, origin)
            return block
        self._add_directive(keyword, words, block, origin)
        return block

    def _open_section(self, keyword: Word, words: list[Word], block: _Block, origin: Origin) -> _Block:
        if block is not self.top:
            self.add_fault(
                origin, keyword.text, f"a section inside {block.kind!r}, which has no closing '}}'"
            )
        section = SECTIONS.get(keyword.text)
        if section is None:
            self.add_fault(origin, keyword.text, "no such section", suggest(keyword.text, SECTIONS))
            return _Block(keyword.text, "?", Section({}), origin)  # its lines are skipped
        name = words[0].text if words else ""
        if section.named != bool(words) or len(words) > 1:
            expected = f"{keyword.text} NAME {{" if section.named else f"{keyword.text} {{"
            self.add_fault(origin, keyword.text, "wrong number of words", expected)
        first = next((b for b in self.blocks if (b.kind, b.name) == (keyword.text, name)), None)
        if first:
            self.add_fault(origin, keyword.text, f"is given twice, first at {first.origin}")
        path = f"{keyword.text}.{name}" if name else keyword.text
        self.blocks.append(_Block(keyword.text, name, section, origin, path=path))
        return self.blocks[-1]

    def _add_directive(self, keyword: Word, words: list[Word], block: _Block, origin: Origin) -> None:
        if block.name == "?":
            return None
        directives = block.section.directives
        directive = directives.get(keyword.text)
        if directive is None:
            where = f" in section {block.kind!r}" if block.kind else ""
            return self.add_fault(
                origin, keyword.text, f"no such directive{where}", suggest(keyword.text, directives)
            )
        path = f"{block.path}.{keyword.text}" if block.path else keyword.text
        if keyword.text in block.values and not directive.many:
            return self.add_fault(origin, keyword.text, f"is given twice, first at {self.origins[path]}")
        groups = max(1, len(words) // len(directive.parsers)) if directive.many else 1
        if len(words) != groups * len(directive.parsers):
            return self.add_fault(
                origin, keyword.text, f"takes {len(directive.parsers)} value(s)", directive.expected
            )
        self.origins.setdefault(path, origin)
        found = block.values.setdefault(keyword.text, [])
        step = len(directive.parsers)
        for at in range(0, len(words), step):
            self._parse_values(keyword, directive, words[at : at + step], found, origin)
        return None

    def _parse_values(
        self, keyword: Word, directive: Directive, words: list[Word], found: list[Any], origin: Origin
    ) -> None:
        values = []
        for parser, word in zip(directive.parsers, words, strict=True):
            try:
                values.append(parser(word.text))
            except ValueError as error:
                at = Origin(origin.file, origin.line, word.column)
                self.add_fault(at, keyword.text, str(error), directive.expected)
                return
        found.append(values[0] if len(values) == 1 else tuple(values))

    # ---- the typed values ----

    def build(self) -> OperatorFile:
        """Build the typed values of the file from its sections; after a fault all are defaults."""
        for block in (self.top, *self.blocks):
            for name, directive in block.section.directives.items():
                if directive.required and not block.values.get(name) and not self.faults:
                    self.add_fault(
                        block.origin, name, f"is missing in section {block.kind!r}", directive.expected
                    )
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
        """Check the rules that involve more than one directive, and that the password file exists."""
        gateway, store = operator.gateway, operator.store
        sections = {b.path: b.origin for b in self.blocks}
        if store and sum(map(bool, (store.redis, store.file, store.memory, store.peers))) != 1:
            self.add_fault(sections["store"], "store", "needs one of 'redis', 'file', 'memory' and 'peers'")
        if store and store.peers and not operator.duties:
            self.add_fault(
                sections["store"], "peers", "needs the section 'duties', for its members", "duties {"
            )
        if store and store.password_file and not store.password_file.is_file():
            at = self.origins["store.password-file"]
            self.add_fault(
                at, "password-file", f"{store.password_file} is not a file", "a path that can be read"
            )
        if store and store.timeout * 4 > store.lease:
            at = self.origins.get("store.timeout", sections["store"])
            self.add_fault(at, "timeout", "is over a quarter of 'lease': two slow responses would end it")
        if operator.duties:
            self._check_duties(operator.duties, gateway, sections["duties"])
        if operator.sites and not gateway:
            self.add_fault(self.blocks[0].origin, "site", "there is no section 'gateway'", "gateway {")
        if gateway is None:
            return
        here = sections["gateway"]
        if not operator.site:
            self.add_fault(here, "site", "this site has no name", "site NAME on a line outside all sections")
        for site in operator.sites:
            if site.name == operator.site:
                self.add_fault(
                    sections[f"site.{site.name}"], "site", "is the own site", "the name of another"
                )
        if gateway.leave >= gateway.enter:
            self.add_fault(self.origins.get("gateway.leave", here), "leave", "is not below 'enter'")
        if gateway.lend + gateway.reserve > 1:
            self.add_fault(
                self.origins.get("gateway.lend", here), "lend", "and 'reserve' are over 1 together"
            )
        if gateway.keepalive * 3 > gateway.lease:
            at = self.origins.get("gateway.keepalive", here)
            self.add_fault(at, "keepalive", "is over a third of 'lease': one lost message would end it")
        if gateway.max_frame < 2048:
            self.add_fault(self.origins.get("gateway.max-frame", here), "max-frame", "is under 2048 bytes")
        files = [gateway.certificate, gateway.key, gateway.authority]
        if gateway.plaintext:
            if any(files):
                self.add_fault(here, "plaintext", "excludes certificate, key and authority")
            addresses = [gateway.listen[0], *(p.host for s in operator.sites for p in s.peers)]
            if bad := [a for a in addresses if not a.startswith("127.") and a not in ("::1", "localhost")]:
                at = self.origins.get("gateway.plaintext", here)
                self.add_fault(at, "plaintext", f"is for loopback alone, not {bad[0]}")
        elif not all(files):
            self.add_fault(here, "certificate", "'certificate', 'key' and 'authority' are all needed")

    def _check_duties(self, duties: Duties, gateway: Gateway | None, here: Origin) -> None:
        if gateway is None:
            self.add_fault(here, "duties", "needs the section 'gateway', for its name and keys", "gateway {")
        names = [name for name, _ in duties.member]
        if len(set(names)) < len(names):
            self.add_fault(self.origins.get("duties.member", here), "member", "one is named twice")
        if bool(duties.relay) != bool(duties.address):
            self.add_fault(here, "relay", "'relay' and 'address' go together")
        if duties.drift >= 0.5:
            self.add_fault(self.origins.get("duties.drift", here), "drift", "is not below 0.5", "0.01")
        if duties.lease < timedelta(milliseconds=100):
            at = self.origins.get("duties.lease", here)
            self.add_fault(at, "lease", "is under 100ms: a busy machine could not keep it", "1s")
        if "duties.places" in self.origins and duties.places * 2 >= len(names):
            self.add_fault(
                self.origins["duties.places"], "places", "would leave no majority of the members", "1"
            )
        if gateway and gateway.plaintext:
            hosts = [duties.listen[0], *(host for _, (host, _) in duties.member)]
            if bad := [h for h in hosts if not h.startswith("127.") and h not in ("::1", "localhost")]:
                self.add_fault(here, "duties", f"'plaintext' is for loopback alone, not {bad[0]}")


def _fields(block: _Block) -> dict[str, Any]:
    directives = block.section.directives
    return {
        name.replace("-", "_"): tuple(values) if directives[name].many else values[0]
        for name, values in block.values.items()
    }


def suggest(word: str, known: dict[str, Any]) -> str:
    """Return the known word that is most like this one, or all of them."""
    close = difflib.get_close_matches(word, known, 1)
    return close[0] if close else f"one of {', '.join(sorted(known))}" if known else ""


def load(path: Path) -> OperatorSettings:
    """Read a file and the files it includes. Raises `OperatorFileError` with every fault found."""
    reader = _Reader()
    reader.read_file(path)
    operator = reader.build()
    if not reader.faults:
        reader.check(operator)
    if reader.faults:
        raise OperatorFileError(reader.faults)
    return OperatorSettings(operator, reader.origins)
