"""Commands that read settings and run nothing: `check` and `show`."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from rookwood.cli.exit_codes import CODES, FAULTY

if TYPE_CHECKING:  # the commands import only what they use
    from rookwood.conf import OperatorSettings
    from rookwood.net.config import Config

SETTINGS_SHOWN = (
    *("dispatchers", "me", "zone", "subscribe", "max_attempts", "worth_by_work", "worst_class", "crossing"),
    *("over_share_worth", "tells_start", "cold_share", "warm_up", "fall_multiple", "fall_window", "cancel"),
    *("marks_retry", "probes", "peers", "tick"),
)
BOUNDS_SHOWN = ("connect_timeout", "idle", "drain_grace", "max_open", "max_retry_after", "sockets")
FILE = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))


def load_operator_file(file: Path) -> OperatorSettings:
    """The operator's settings; ends the command with every fault if there is one."""
    from rookwood.conf import OperatorFileError, load

    try:
        return load(file)
    except OperatorFileError as error:
        click.echo(str(error), err=True)
        sys.exit(FAULTY)


def load_platform_file(file: Path) -> Config | None:
    """The platform's configuration, if FILE is one: a JSON object. Ends the command at its first fault."""
    try:
        if not file.read_text().lstrip().startswith("{"):
            return None
    except (OSError, UnicodeDecodeError):
        return None  # whoever reads the operator's file says what is wrong with it
    from rookwood.net.config import load
    from rookwood.settings import InvalidSettingError

    try:
        return load({"PROXY_CONFIG": str(file)})
    except InvalidSettingError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(FAULTY)


@click.command("check", epilog=CODES)
@FILE
def check(file: Path) -> None:
    """Check the operator's FILE, and tell every fault in it at once; or the platform's JSON file."""
    if load_platform_file(file):
        click.echo(f"{file}: sound")
        return
    settings = load_operator_file(file)
    if settings.operator.gateway:
        from rookwood.gateway.secure import CertificateError, secured, utc_now

        try:
            secured(settings.operator.gateway, utc_now())
        except CertificateError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(FAULTY)
    click.echo(f"{file}: sound")


@click.command("show", epilog=CODES)
@FILE
def show(file: Path) -> None:
    """Show the settings that FILE puts in force, and where each came from; or what the platform's tells."""
    if config := load_platform_file(file):
        for name, told in deployment_rows(config):
            click.echo(f"{name:<32}  {told}")
        return
    settings = load_operator_file(file)
    rows = list(settings.rows())
    widths = [max(len(row[n]) for row in rows) for n in (0, 1)]
    for path, value, origin in rows:
        click.echo(f"{path:<{widths[0]}}  {value:<{widths[1]}}  {origin}")


def deployment_rows(config: Config) -> Iterator[tuple[str, object]]:
    """What decides how this deployment is served, one row each; docs/operators/deployments.md says how."""
    settings = config.settings
    for job_class in settings.classes:
        for key in ("aim", "stretch", "give_up", "worth", "repeat", "group", "window"):
            told = getattr(job_class, key)
            yield f"class {job_class.name} {key}", getattr(told, "value", told)
    for tenant in settings.tenants:
        yield f"tenant {tenant.name} a second", tenant.allowance_per_s
    for part, names in ((settings, SETTINGS_SHOWN), (config.bounds, BOUNDS_SHOWN)):
        yield from ((name, getattr(part, name)) for name in names)
    yield "hints heard at", config.peer_listen or "nowhere"
    yield "endpoints known", len(config.known.endpoints)
