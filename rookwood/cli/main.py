"""Commands and exit codes: 0 done, 1 failed while running, 2 wrong use or a faulty file, 3 a broken rule."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from importlib.metadata import version as version_of
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:  # the commands import only what they use
    from rookwood.conf import Settings
    from rookwood.net.config import Config

FAILED, FAULTY, BROKEN = 1, 2, 3
CODES = "Exit codes: 0 done; 1 failed while running; 2 wrong use or a faulty file; 3 a rule was broken."


@click.group(epilog=CODES, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def main() -> None:
    """rookwood, a dispatcher that pushes jobs to unequal endpoints, and a gateway between sites.

    Shell completion: eval "$(_ROOKWOOD_COMPLETE=bash_source rookwood)" (or zsh_source, fish_source).
    """


@main.command("config", context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def config(arguments: tuple[str, ...]) -> None:
    """Check a configuration of the whole system: `config check FILE`."""
    from rookwood.cli.config import main as run_config

    sys.exit(run_config(list(arguments)))


@main.command("control", context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def control(arguments: tuple[str, ...]) -> None:
    """The control machines: `control status`, `history`, `transfer`, `verify`, `recover`."""
    from rookwood.cli.control import main as run_control

    sys.exit(run_control(list(arguments)))


@main.command(epilog=CODES)
@click.option(
    "--config", type=click.Path(dir_okay=False), help="The platform's JSON file [default: $PROXY_CONFIG]."
)
@click.option(
    "--conf", type=click.Path(dir_okay=False), help="The operator's file [default: $ROOKWOOD_CONF]."
)
def serve(config: str | None, conf: str | None) -> None:
    """Run one dispatcher in the foreground, as `python -m rookwood` does."""
    from rookwood import __main__ as program

    if config:
        os.environ["PROXY_CONFIG"] = config
    if conf:
        os.environ[program.OPERATOR] = conf
    sys.exit(program.main())


def _loaded(file: Path) -> Settings:
    """Ends the command with every fault if there is one."""
    from rookwood.conf import ConfError, load

    try:
        return load(file)
    except ConfError as error:
        click.echo(str(error), err=True)
        sys.exit(FAULTY)


def _platform(file: Path) -> Config | None:
    """The platform's configuration, if FILE is one: a JSON object. Ends the command at its first fault."""
    try:
        if not file.read_text().lstrip().startswith("{"):
            return None
    except (OSError, UnicodeDecodeError):
        return None  # whoever reads the operator's file says what is wrong with it
    from rookwood.net.config import load
    from rookwood.settings import FaultyKeyError

    try:
        return load({"PROXY_CONFIG": str(file)})
    except FaultyKeyError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(FAULTY)


@main.command(epilog=CODES)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check the operator's FILE, and tell every fault in it at once; or the platform's JSON file."""
    if _platform(file):
        click.echo(f"{file}: sound")
        return
    settings = _loaded(file)
    if settings.operator.gateway:
        from rookwood.gateway.secure import CertificateError, secured, utc_now

        try:
            secured(settings.operator.gateway, utc_now())
        except CertificateError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(FAULTY)
    click.echo(f"{file}: sound")


@main.command(epilog=CODES)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def show(file: Path) -> None:
    """Show the settings that FILE puts in force, and where each came from; or what the platform's tells."""
    if config := _platform(file):
        for name, told in _told(config):
            click.echo(f"{name:<32}  {told}")
        return
    settings = _loaded(file)
    rows = list(settings.rows())
    widths = [max(len(row[n]) for row in rows) for n in (0, 1)]
    for path, value, origin in rows:
        click.echo(f"{path:<{widths[0]}}  {value:<{widths[1]}}  {origin}")


def _told(config: Config) -> Iterator[tuple[str, object]]:
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


SETTINGS_SHOWN = (
    *("dispatchers", "me", "zone", "subscribe", "max_attempts", "worth_by_work", "worst_class", "crossing"),
    *("over_share_worth", "tells_start", "cold_share", "warm_up", "fall_multiple", "fall_window", "cancel"),
    *("marks_retry", "probes", "peers", "tick"),
)
BOUNDS_SHOWN = ("connect_timeout", "idle", "drain_grace", "max_open", "max_retry_after", "sockets")


@main.command()
def version() -> None:
    """Show the version of this program."""
    click.echo(f"rookwood {version_of('rookwood')}")


@main.command(epilog=CODES)
@click.option("--seconds", default=20.0, show_default=True, help="How long traffic comes.")
@click.option("--seed", default=1, show_default=True, help="For random choices.")
def demo(seconds: float, seed: int) -> None:
    """Two sites on this machine, a burst of mixed jobs at one, and live what goes where."""
    from rookwood.lab.demo import demonstrate

    sys.exit(demonstrate(seconds, seed))


AT = click.option(
    *("--at", "places"),
    multiple=True,
    envvar="PROXY_MGMT",
    metavar="HOST:PORT",
    help="Second address of a dispatcher; once for each member [default: $PROXY_MGMT].",
)
WATCH = click.option("--watch", default=0.0, metavar="SECONDS", help="Again and again, so often.")


def _site(command: str, places: tuple[str, ...], *arguments: object) -> None:
    from rookwood.cli import site

    if not places:
        raise click.UsageError("no dispatcher to ask: give --at HOST:PORT, or set PROXY_MGMT")
    sys.exit(getattr(site, command)(places, *arguments))


@main.group("duties", epilog=CODES, invoke_without_command=True)
@AT
@WATCH
@click.pass_context
def duties_(context: click.Context, places: tuple[str, ...], watch: float) -> None:
    """Who holds which duty of a site, as each dispatcher asked believes, and who disagrees.

    Ends with 3 where two say of themselves that they hold one duty.
    """
    context.obj = places
    if context.invoked_subcommand is None:
        _site("duties", places, watch)


@duties_.command("release", epilog=CODES)
@click.argument("name")
@click.pass_obj
def release(places: tuple[str, ...], name: str) -> None:
    """The dispatcher that holds duty NAME gives it up, and lets another one take it."""
    _site("release", places, name)


@main.group(epilog=CODES)
@AT
@click.pass_context
def roll(context: click.Context, places: tuple[str, ...]) -> None:
    """Every dispatcher of the site drains and ends, a few at a time; whoever runs them starts them again."""
    context.obj = places


@roll.command("start", epilog=CODES)
@click.pass_obj
def roll_start(places: tuple[str, ...]) -> None:
    """Begin one. The dispatcher asked tells all others, and the roll goes on without it."""
    _site("post", places, "/ops/roll/start")


@roll.command("stop", epilog=CODES)
@click.pass_obj
def roll_stop(places: tuple[str, ...]) -> None:
    """Nobody else begins. Who drains already goes on."""
    _site("post", places, "/ops/roll/stop")


@main.command(epilog=CODES)
@AT
@WATCH
def members(places: tuple[str, ...], watch: float) -> None:
    """Who lives among the dispatchers of a site, as each dispatcher asked believes."""
    _site("members", places, watch)


@main.group("replicas", epilog=CODES, invoke_without_command=True)
@AT
@WATCH
@click.pass_context
def replicas_(context: click.Context, places: tuple[str, ...], watch: float) -> None:
    """Who keeps which copy of the claims (`store { peers yes }`), and what differs from the leader's.

    Ends with 3 where a member has met two values of one write.
    """
    context.obj = places
    if context.invoked_subcommand is None:
        _site("replicas", places, watch)


@replicas_.command("verify", epilog=CODES)
@click.option("--seconds", default=5.0, show_default=True, help="Until copies that differ must be equal.")
@click.pass_obj
def verify(places: tuple[str, ...], seconds: float) -> None:
    """Ask all members and wait until each finds its copy equal to the leader's; tell what differs."""
    _site("verify", places, seconds)


@main.group(epilog=CODES)
def experiment() -> None:
    """Measure something; --json FILE keeps the figures with settings and version."""


@experiment.command("gateway", epilog=CODES)
@click.option("--seed", default=1, show_default=True, help="For random choices.")
@click.option(
    "--seconds", default=20.0, show_default=True, help="How long traffic comes, in each of the three plays."
)
@click.option("--loss", default=5.0, show_default=True, help="Messages lost between the sites, in percent.")
@click.option("--delay-ms", default=2.0, show_default=True, help="Added delay between the sites, each way.")
@click.option(
    "--rate", default=0.0, help="Jobs a second [default: --load times what the busy site's boxes carry]."
)
@click.option(
    "--load", default=1.2, show_default=True, help="Jobs at the busy site over what its boxes carry."
)
@click.option("--skew", default=0.78, show_default=True, help="Share of the jobs that come to the busy site.")
@click.option("--cuts/--no-cuts", default=False, help="Cut and heal the links meanwhile.")
@click.option("--restarts", default=0, show_default=True, help="Dispatchers killed, upgraded and so on.")
@click.option(
    "--plays", default="off,on,pooled", show_default=True, help="Which of off, on, on+duties and pooled."
)
@click.option("--dispatchers", default=2, show_default=True, help="Of each site.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def gateway(
    seed: int,
    seconds: float,
    loss: float,
    delay_ms: float,
    rate: float,
    load: float,
    skew: float,
    cuts: bool,
    restarts: int,
    plays: str,
    dispatchers: int,
    json_file: Path | None,
) -> None:
    """Play the same traffic at two sites without the gateway, with it, and with all boxes as one site."""
    from rookwood.lab.experiment import Plan, run_gateway

    chosen = tuple(plays.split(","))
    if not set(chosen) <= {"off", "on", "on+duties", "pooled"}:
        raise click.BadParameter("is not a list of off, on, on+duties and pooled", param_hint="--plays")
    more = (cuts, restarts, chosen, dispatchers)
    plan = Plan(seed, seconds, loss / 100, delay_ms / 1000, rate, load, skew, *more)
    sys.exit(run_gateway(plan, json_file))


@experiment.command("handoff", epilog=CODES)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def handoff(json_file: Path | None) -> None:
    """Explore the handoff between sites exhaustively, and check that broken variants of it are caught."""
    from rookwood.lab.modelcheck import run

    sys.exit(run(json_file))


@experiment.command("duties", epilog=CODES)
@click.option("--nodes", default=5, show_default=True, help="Processes.")
@click.option("--seed", default=1, show_default=True, help="For the order of troubles.")
@click.option("--kills", default=11, show_default=True, help="Troubles, one after the other.")
@click.option(
    "--faults",
    default="kill,stop,term,cut,one-way,half,stuck,trickle,partial,loss,delay",
    show_default=True,
    help="Of which kinds.",
)
@click.option("--hold", default=0.0, help="Seconds of loss, delay and a partial cut, at least.")
@click.option("--lease-ms", default=400, show_default=True, help="Length of a lease.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def duties(
    nodes: int, seed: int, kills: int, faults: str, hold: float, lease_ms: int, json_file: Path | None
) -> None:
    """Real processes that hold the duty `address` in turn, while its holder meets trouble after trouble."""
    from rookwood.lab.troubles import FAULTS, Plan, run_duties

    chosen = tuple(filter(None, faults.split(",")))
    if not chosen or not set(chosen) <= set(FAULTS):
        raise click.BadParameter(f"is not a list of {', '.join(FAULTS)}", param_hint="--faults")
    sys.exit(run_duties(Plan(nodes, seed, kills, chosen, lease_ms, hold), json_file))


def _numbers(text: str, option: str) -> tuple[int, ...]:
    try:
        return tuple(int(word) for word in text.split(",") if word)
    except ValueError:
        raise click.BadParameter("is not a list of numbers", param_hint=option) from None


@experiment.command("holding", epilog=CODES)
@click.option("--counts", default="3,9,50,200", show_default=True, help="Members, in simulated time.")
@click.option("--processes", default="3,9", show_default=True, help="Members, as real processes.")
@click.option("--seed", default=1, show_default=True, help="For random choices.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep figures, and a chart."
)
def holding(counts: str, processes: str, seed: int, json_file: Path | None) -> None:
    """What duties and members cost while nothing happens, by the number of members."""
    from rookwood.lab.holding import Plan, run_holding

    chosen = _numbers(counts, "--counts"), _numbers(processes, "--processes")
    sys.exit(run_holding(Plan(*chosen, seed), json_file))


@experiment.command("address", epilog=CODES)
@click.option("--nodes", default=3, show_default=True, help="Processes.")
@click.option("--seed", default=1, show_default=True, help="For the order of troubles.")
@click.option("--kills", default=50, show_default=True, help="Times that the holder is killed.")
@click.option("--stops", default=20, show_default=True, help="Times that it is stopped, and goes on later.")
@click.option("--cuts", default=20, show_default=True, help="Times that it is cut off from the others.")
@click.option("--lease-ms", default=250, show_default=True, help="Length of a lease.")
@click.option("--store", type=click.Choice(["redis", "peers"]), default="redis", show_default=True)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def address(
    nodes: int,
    seed: int,
    kills: int,
    stops: int,
    cuts: int,
    lease_ms: int,
    store: str,
    json_file: Path | None,
) -> None:
    """Clients of the service address while its holder meets trouble: gaps without answers, double runs."""
    from rookwood.lab.moving import Plan, run_address

    sys.exit(run_address(Plan(nodes, seed, kills, stops, cuts, lease_ms, store), json_file))


@experiment.command("members", epilog=CODES)
@click.option("--counts", default="5,20", show_default=True, help="Members, one series each.")
@click.option("--seeds", default=3, show_default=True, help="Plays of each.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def members_(counts: str, seeds: int, json_file: Path | None) -> None:
    """Three ways to tell who lives, in simulated time: SWIM with Lifeguard, heartbeats, phi-accrual."""
    from rookwood.lab.detectors import Plan, run_members

    sys.exit(run_members(Plan(_numbers(counts, "--counts"), seeds), json_file))


@experiment.command("leases", epilog=CODES)
@click.option("--wide", is_flag=True, help="Also drift and a restart at once; some minutes.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def leases(wide: bool, json_file: Path | None) -> None:
    """Explore the leases of a duty exhaustively, and check that broken variants of them are caught."""
    from rookwood.lab.modelcheck import run_leases

    sys.exit(run_leases(json_file, wide))


@experiment.command("replicas", epilog=CODES)
@click.option("--nodes", default=5, show_default=True, help="Processes.")
@click.option("--unlocks", default=3_000, show_default=True, help="Unlocks, each with a key of its own.")
@click.option("--rate", default=50.0, show_default=True, help="Unlocks a second.")
@click.option("--seed", default=1, show_default=True, help="For troubles and clients.")
@click.option(
    "--faults",
    default="kill,stop,term,cut,one-way,half,partial,loss,delay,clock",
    show_default=True,
    help="Of which kinds, one after the other; empty: none.",
)
@click.option("--lease-ms", default=400, show_default=True, help="Length of a lease.")
@click.option("--store", default="peers", show_default=True, help="peers, redis (a stand-in) or sqlite.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def replicas(
    nodes: int,
    unlocks: int,
    rate: float,
    seed: int,
    faults: str,
    lease_ms: int,
    store: str,
    json_file: Path | None,
) -> None:
    """Keyed unlocks at real processes that keep their claims among themselves, amid trouble after trouble."""
    from rookwood.lab.copies import FAULTS, STORES, Plan, run_replicas

    chosen = tuple(filter(None, faults.split(",")))
    if not set(chosen) <= set(FAULTS):
        raise click.BadParameter(f"is not a list of {', '.join(FAULTS)}", param_hint="--faults")
    if store not in STORES:
        raise click.BadParameter(f"is none of {', '.join(STORES)}", param_hint="--store")
    sys.exit(run_replicas(Plan(nodes, unlocks, rate, seed, chosen, lease_ms, store), json_file))


@experiment.command("catch-up", epilog=CODES)
@click.option("--records", default=100_000, show_default=True, help="Registers of each member.")
@click.option("--differ", default=1_000, show_default=True, help="Registers that one has missed.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def catch_up(records: int, differ: int, json_file: Path | None) -> None:
    """What it costs to bring a member's registers up to date: cut off, started anew, and about to lead."""
    from rookwood.lab.catchup import run_catchup

    sys.exit(run_catchup(records, differ, json_file))


@experiment.command("claims", epilog=CODES)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def claims(json_file: Path | None) -> None:
    """Explore the ledger of claims exhaustively, and check that broken variants of it are caught."""
    from rookwood.lab.modelcheck import run_claims

    sys.exit(run_claims(json_file))


@experiment.command("registers", epilog=CODES)
@click.option("--most", default=400_000, show_default=True, help="States of each part, at most.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def registers(most: int, json_file: Path | None) -> None:
    """Explore the replicated registers of a site, and check that broken variants of them are caught."""
    from rookwood.lab.modelcheck import run_registers

    sys.exit(run_registers(json_file, most))


@experiment.command("rest", epilog=CODES)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def rest(json_file: Path | None) -> None:
    """Measure what the plain dispatcher takes at rest, and whether it imports what it does not use."""
    from rookwood.lab.rest import run

    sys.exit(run(json_file))


@experiment.command("worker-answers", epilog=CODES)
@click.option("--exchanges", default=100_000, show_default=True, help="Requests of all clients.")
@click.option("--seed", default=1, show_default=True, help="For random choices.")
@click.option("--processes", default=3, show_default=True, help="Each with a dispatcher of its own.")
@click.option("--clients", default=40, show_default=True, help="At once, in each process.")
@click.option("--workers", default=5, show_default=True, help="In each process.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def worker_answers(
    exchanges: int, seed: int, processes: int, clients: int, workers: int, json_file: Path | None
) -> None:
    """Workers that break HTTP at byte level behind a dispatcher, judged from the sockets of both sides."""
    from rookwood.lab.worker_answers import Plan, run_worker_answers

    sys.exit(run_worker_answers(Plan(exchanges, seed, processes, clients, workers), json_file))


@experiment.command("many-changes", epilog=CODES)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def many_changes(json_file: Path | None) -> None:
    """2,000 operators' changes at three control groups, with restarts, an absence and a loss of power."""
    from rookwood.lab.many_changes import Plan, run_many_changes

    sys.exit(run_many_changes(Plan(), json_file))


@experiment.command("replication-states", epilog=CODES)
@click.option("--most", default=400_000, show_default=True, help="States of each part.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def replication_states(most: int, json_file: Path | None) -> None:
    """Explore the replication of the control document exhaustively within small bounds."""
    from rookwood.lab.replication_states import run_replication_states

    sys.exit(run_replication_states(json_file, most))


@experiment.command("ledger", epilog=CODES)
@click.option("--seed", default=1, show_default=True, help="For random choices.")
@click.option("--unlocks", default=10_000, show_default=True, help="How many.")
@click.option("--rate", default=200.0, show_default=True, help="Unlocks a second.")
@click.option(
    "--faults", default="freeze,slow,kill,empty,older,errors", show_default=True, help="Of the store."
)
@click.option(
    "--kills", default=6, show_default=True, help="Dispatchers killed with SIGKILL and started again."
)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="Keep the figures here."
)
def ledger(seed: int, unlocks: int, rate: float, faults: str, kills: int, json_file: Path | None) -> None:
    """Unlocks with keys over four dispatchers, while the store misbehaves and dispatchers are killed."""
    from rookwood.lab.unlocks import FAULTS, Plan, run_ledger

    chosen = tuple(filter(None, faults.split(",")))
    if not set(chosen) <= set(FAULTS):
        raise click.BadParameter(f"is not a list of {', '.join(FAULTS)}", param_hint="--faults")
    sys.exit(run_ledger(Plan(seed, unlocks, rate, chosen, kills), json_file))
