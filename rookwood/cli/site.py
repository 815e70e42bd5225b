"""What the dispatchers of a site know of one another, asked over their second addresses, as text."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Sequence
from typing import Any

import click

from rookwood.cli.exit_codes import BROKEN, FAILED
from rookwood.cli.http_call import call_http

LIMIT = 2.0  # seconds for a call


def called(place: str, path: str, method: str = "GET") -> tuple[int, bytes]:
    """Raises OSError where nobody answers in time."""
    answer = call_http(place, path, method, LIMIT)
    return answer.status, answer.body


def _asked(places: Sequence[str], path: str) -> Iterator[tuple[str, dict[str, Any] | str]]:
    """Each place with what it tells, or why it does not."""
    for place in places:
        try:
            status, body = called(place, path)
            yield place, json.loads(body) if status == 200 else f"has no duties: status {status}"
        except (OSError, ValueError) as error:
            yield place, str(error) or type(error).__name__


def table(rows: Sequence[Sequence[object]]) -> str:
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[n]) for row in texts) for n in range(len(texts[0]))]
    lines = ("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in texts)
    return "\n".join(line.rstrip() for line in lines)


def span(ms: float | None) -> str:
    if ms is None:
        return "-"
    return f"{ms:.0f}ms" if ms < 1000 else f"{ms / 1000:.1f}s" if ms < 600_000 else f"{ms / 60_000:.0f}min"


def _again(watch: float, show: Any) -> int:
    while True:
        code: int = show()
        if watch <= 0:
            return code
        time.sleep(watch)
        click.clear()


def duties(places: Sequence[str], watch: float) -> int:
    return _again(watch, lambda: _duties(places))


def _duties(places: Sequence[str]) -> int:
    told, code = dict[str, dict[str, Any]](), 0
    for place, answer in _asked(places, "/ops/duties"):
        if isinstance(answer, str):
            click.echo(f"{place}: {answer}", err=True)
            code = FAILED
        else:
            told[answer["me"]] = answer
    if not told:
        return FAILED
    rows: list[Sequence[object]] = [("DUTY", "HOLDER", "TERM", "SINCE", "LEFT", "DISAGREE")]
    names = dict.fromkeys(row["duty"] for answer in told.values() for row in answer["duties"])
    for name in names:
        views = {me: row for me, a in told.items() for row in a["duties"] if row["duty"] == name}
        here = sorted(me for me, row in views.items() if row["here"])
        if len(here) > 1:
            code = BROKEN
        # The holder's own word counts for more than a vote; without it, the highest term's.
        best = views[here[0]] if here else max(views.values(), key=lambda row: row["term"])
        others = sorted(
            f"{me}:{row['holder'] or 'nobody'}"
            for me, row in views.items()
            if row["holder"] != best["holder"]
        )
        holder = " and ".join(here) if here else best["holder"] or "nobody"
        rows.append(
            (
                name,
                holder,
                best["term"],
                span(best["since_ms"]),
                span(best["left_ms"]),
                " ".join(others) or "-",
            )
        )
    click.echo(table(rows))
    for me, answer in sorted(told.items()):
        if not answer["votes"]:
            click.echo(f"{me} does not vote yet: it has just started, or waits for others of its list")
        if answer["wished"] != answer["list"]:
            waits = " ".join(answer["awaits"]) or "nobody"
            click.echo(
                f"{me} goes by list {answer['list']} and wishes for {answer['wished']}; it awaits {waits}"
            )
        if answer["held_back"]:
            click.echo(f"{me} leaves to the holder of trial: {' '.join(answer['held_back'])}")
    roll = max((answer["roll"] for answer in told.values()), key=lambda roll: int(roll["number"]))
    if roll["pending"]:
        click.echo(f"roll {roll['number']}: to come {' '.join(roll['pending'])}")
        for me, answer in sorted(told.items()):
            if answer["roll"]["waits_for"]:
                click.echo(f"{me} has a place and waits for {' '.join(answer['roll']['waits_for'])}")
    return code


def members(places: Sequence[str], watch: float) -> int:
    return _again(watch, lambda: _members(places))


def _members(places: Sequence[str]) -> int:
    rows: list[Sequence[object]] = [("ASKED", "MEMBER", "STANDING", "SINCE", "ZONE", "LIFE", "TURN")]
    code = 0
    for place, answer in _asked(places, "/ops/members"):
        if isinstance(answer, str):
            click.echo(f"{place}: {answer}", err=True)
            code = FAILED
            continue
        for row in answer["members"]:
            since = span(row["since_ms"])
            life = f"{row['life']:x}"[:8] if row["life"] else "-"
            rows.append(
                (answer["me"], row["name"], row["standing"], since, row["zone"] or "-", life, row["turn"])
            )
    if len(rows) > 1:
        click.echo(table(rows))
    return code


def replicas(places: Sequence[str], watch: float) -> int:
    return _again(watch, lambda: _replicas(places))


def _copies(places: Sequence[str]) -> tuple[list[dict[str, Any]], int]:
    found, code = list[dict[str, Any]](), 0
    for place, answer in _asked(places, "/ops/replicas"):
        if isinstance(answer, str):
            click.echo(f"{place}: {answer.replace('duties', 'store on its peers')}", err=True)
            code = FAILED
        else:
            found.append(answer)
    return found, code


def _replicas(places: Sequence[str]) -> int:
    found, code = _copies(places)
    head = ("MEMBER", "COUNTS", "LEADER", "TERM", "REGISTERS", "PENDING", "DIFFER", "DIGEST", "BEGUN")
    rows: list[Sequence[object]] = [head]
    for a in found:
        leader = f"{a['leader']}{' (here)' if a['leads'] else ''}" or "-"
        counts = "yes" if a["whole"] else "not yet"
        behind = "-" if a["leads"] else a["behind"]
        row = (a["me"], counts, leader, a["term"], a["registers"], a["pending"], behind, a["digest"])
        rows.append((*row, a["begun"]))
    if found:
        click.echo(table(rows))
    return max(code, _unexplained(found))


def _unexplained(found: Sequence[dict[str, Any]]) -> int:
    for a in found:
        for one in a["unexplained"]:
            both = " and ".join(value[:40] for value in one["values"])
            click.echo(f"{a['me']}: {one['key']} at {one['stamp']} has two values: {both}", err=True)
    return BROKEN if any(a["unexplained"] for a in found) else 0


def verify(places: Sequence[str], seconds: float) -> int:
    """Each member must find itself equal to the leader at a look that comes after the question."""
    first, code = _copies(places)
    if code or not first:
        return FAILED
    before = {a["me"]: a["compared"] for a in first}
    until = time.monotonic() + seconds
    while True:
        found, code = _copies(places)
        late = [a for a in found if not a["leads"] and not (a["compared"] > before.get(a["me"], 0))]
        differ = [a for a in found if not a["leads"] and a["behind"]]
        unsound = [a for a in found if not a["whole"]]
        leaders = sum(a["leads"] for a in found)
        if code or (leaders == 1 and not (late or differ or unsound)) or time.monotonic() > until:
            break
        time.sleep(0.2)
    for a in unsound:
        click.echo(f"{a['me']} does not count: it has not recovered yet", err=True)
    for a in differ:
        click.echo(f"{a['me']} differs from {a['leader']} in {a['behind']} of 256 buckets", err=True)
    for a in (a for a in late if a not in unsound):
        click.echo(f"{a['me']} has not heard what the leader has", err=True)
    if leaders != 1:
        click.echo(f"{leaders or 'none'} of those asked lead", err=True)
    worst = _unexplained(found)
    if not worst and (code or late or differ or unsound or leaders != 1):
        return code or FAILED
    if not worst:
        click.echo(f"{len(found)} members have the same {found[0]['registers']} registers")
    return worst


def release(places: Sequence[str], name: str) -> int:
    """Whoever of them holds it."""
    told = "nobody was asked"
    for place in places:
        try:
            status, body = called(place, f"/ops/duties/{name}/release", "POST")
        except OSError as error:
            told = f"{place}: {error}"
            continue
        if status == 200:
            click.echo(body.decode().strip())
            return 0
        told = f"{place}: {body.decode().strip()}"
    click.echo(told, err=True)
    return FAILED


def post(places: Sequence[str], path: str) -> int:
    """The first that answers does it."""
    for place in places:
        try:
            status, body = called(place, path, "POST")
        except OSError as error:
            click.echo(f"{place}: {error}", err=True)
            continue
        click.echo(f"{place}: {body.decode().strip()}", err=status != 200)
        return 0 if status == 200 else FAILED
    return FAILED
