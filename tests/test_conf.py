"""The operator's file: what it takes, what it says of faults, and the command line on top of it."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as some

from rookwood.cli.main import main
from rookwood.conf import OperatorFileError, Peer, load
from tests import stage

SOUND = """
site zagreb   # the own one
include "more.conf"
gateway {
    listen 127.0.0.1:7443
    plaintext yes
    lease 1500ms
    lend 25%
    max-bytes 1MiB
    allow r0
    allow r1
}
"""
ONCE = ("    listen 127.0.0.1:7443", "    plaintext yes", "gateway {")  # those that a story doubles
MORE = 'site rijeka {\n    peer "r0" 127.0.0.1:1 r1 [::1]:2\n    peer r2 localhost:3\n}\n'


def written(folder: Path, text: str, more: str = MORE) -> Path:
    (folder / "more.conf").write_text(more)
    place = folder / "rookwood.conf"
    place.write_text(text)
    return place


def faults(place: Path) -> list[str]:
    with pytest.raises(OperatorFileError) as caught:
        load(place)
    return [str(fault).removeprefix(f"{place}:") for fault in caught.value.faults]


def test_sound_file(tmp_path: Path) -> None:
    settings = load(written(tmp_path, SOUND))
    gateway, (site,) = settings.operator.gateway, settings.operator.sites
    assert gateway and gateway.listen == ("127.0.0.1", 7443) and gateway.allow == ("r0", "r1")
    assert (gateway.lease, gateway.lend, gateway.max_bytes) == (timedelta(seconds=1.5), 0.25, 1 << 20)
    assert site.peers == (Peer("r0", "127.0.0.1", 1), Peer("r1", "::1", 2), Peer("r2", "localhost", 3))
    assert settings.origins["gateway.lend"].line == 8


@pytest.mark.parametrize(
    ("line", "told"),
    [
        ("lend 120%", "5:6: lend: '120%' is no share"),
        ("lease 10", "5:7: lease: '10' needs a unit"),
        ("lease 1s 2s", "5:1: lease: takes 1 value(s); right would be a duration"),
        ("leese 1s", "5:1: leese: no such directive in section 'gateway'; right would be lease"),
        ("listen 127.0.0.1:1", "6:5: listen: is here for the second time, first at"),
        ('name "z0', "5:6: a quoted word has no closing quote"),
        ("max-frame 100B", "max-frame: is under 2048 bytes"),
        ("keepalive 1s", "keepalive: is over a third of 'lease'"),
        ("reserve 90%", "lend: and 'reserve' are over 1 together"),
        ("leave 2", "leave: is not below 'enter'"),
        ("certificate a.pem", "plaintext: excludes certificate"),
        ("gateway {", "5:1: gateway: a section inside 'gateway'"),
        ("plaintext maybe", "plaintext: is here for the second time"),
    ],
)
def test_fault_names_place_and_what_would_be_right(tmp_path: Path, line: str, told: str) -> None:
    kept = [known for known in SOUND.splitlines() if known.split()[:1] != line.split()[:1] or known in ONCE]
    kept.insert(4, line)
    text = "\n".join(kept)
    assert any(told in fault for fault in faults(written(tmp_path, text))), faults(tmp_path / "rookwood.conf")


def test_all_faults_are_told_at_once(tmp_path: Path) -> None:
    text = 'sote x\nlog-level loud\n}\nsite rijeka {\n  peer r0\n}\n"open\ngateway {\n'
    told = faults(written(tmp_path, text))
    assert [fault.split(":")[0] for fault in told] == ["1", "2", "3", "5", "7", "8"]


@pytest.mark.parametrize(
    ("text", "more", "told"),
    [
        ("include missing.conf\n", "", "cannot be read"),
        ("include more.conf\n", "include rookwood.conf\n", "includes itself"),
        ("include more.conf\n", "log-level\n", "more.conf:1:1: log-level: takes 1 value(s)"),
        (SOUND.replace("127.0.0.1:7443", "10.0.0.1:7443"), MORE, "is for loopback alone, not 10.0.0.1"),
        (SOUND.replace("site zagreb", "site rijeka"), MORE, "is the own site"),
        (SOUND.replace("plaintext yes", ""), MORE, "'certificate', 'key' and 'authority' are all needed"),
        ("include more.conf\n", MORE, "there is no section 'gateway'"),
        ("gateway {\n}\n", "", "listen: is missing in section 'gateway'; right would be host:port"),
    ],
)
def test_faults_between_lines_and_files(tmp_path: Path, text: str, more: str, told: str) -> None:
    with pytest.raises(OperatorFileError, match="(?s)" + told.replace("(", r"\(").replace(")", r"\)")):
        load(written(tmp_path, text, more))


WORDS = some.sampled_from(["gateway", "site", "{", "}", "peer", "r0", "1s", '"', "#", "listen", "\\"])


@given(some.lists(some.one_of(WORDS, some.text(max_size=6)), max_size=12).map(" ".join))
def test_any_text_is_read_or_refused(tmp_path_factory: pytest.TempPathFactory, text: str) -> None:
    place = tmp_path_factory.mktemp("fuzz") / "rookwood.conf"
    place.write_bytes(text.encode("utf-8", "surrogatepass"))
    try:
        load(place)
    except OperatorFileError as error:
        assert all(str(place) in fault.origin.file for fault in error.faults)


@pytest.mark.parametrize(
    ("text", "code", "said"),
    [
        (SOUND, 0, "sound"),
        (SOUND.replace("lend", "lent"), 2, "no such directive"),
        ("gateway {", 2, "no closing"),
    ],
)
def test_check_command(tmp_path: Path, text: str, code: int, said: str) -> None:
    done = CliRunner().invoke(main, ["check", str(written(tmp_path, text))])
    assert done.exit_code == code and said in done.output


def test_show_command_tells_where_values_come_from(tmp_path: Path) -> None:
    place = written(tmp_path, SOUND)
    done = CliRunner().invoke(main, ["show", str(place)])
    rows = {line.split()[0]: line.split() for line in done.output.splitlines()}
    assert rows["gateway.lend"][1:] == ["0.25", f"{place}:8:5"]
    assert rows["gateway.reserve"][1:] == ["0.1", "default"]
    assert rows["site.rijeka.peer"][-1] == f"{tmp_path / 'more.conf'}:2:5"


@pytest.mark.parametrize("words", [[], ["serve"], ["check"], ["show"], ["demo"], ["experiment", "gateway"]])
def test_every_command_helps(words: list[str]) -> None:
    done = CliRunner().invoke(main, [*words, "--help"])
    assert done.exit_code == 0 and "Usage" in done.output


def test_check_and_show_know_the_platforms_file(tmp_path: Path) -> None:
    sound = stage.environment(tmp_path, [], "127.0.0.1:9")["PROXY_CONFIG"]
    done = CliRunner().invoke(main, ["check", sound])
    assert done.exit_code == 0 and "sound" in done.output
    done = CliRunner().invoke(main, ["show", sound])
    assert done.exit_code == 0 and "unsafe" in done.output and "class unlock repeat" in done.output
    stage.environment(tmp_path, [], "127.0.0.1:9", settings=stage.SETTINGS | {"tick": 0})
    for command in ("check", "show"):
        done = CliRunner().invoke(main, [command, sound])
        assert done.exit_code == 2 and "settings.tick" in done.output
