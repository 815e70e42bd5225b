"""The operator file: what it accepts, how it reports faults, and the commands that check and show it."""

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

VALID = """
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
# Lines that stay in the file when a test adds another one with the same keyword.
DOUBLED_LINES = ("    listen 127.0.0.1:7443", "    plaintext yes", "gateway {")
MORE = 'site rijeka {\n    peer "r0" 127.0.0.1:1 r1 [::1]:2\n    peer r2 localhost:3\n}\n'


def write_files(folder: Path, text: str, more: str = MORE) -> Path:
    (folder / "more.conf").write_text(more)
    path = folder / "rookwood.conf"
    path.write_text(text)
    return path


def load_faults(path: Path) -> list[str]:
    with pytest.raises(OperatorFileError) as caught:
        load(path)
    return [str(fault).removeprefix(f"{path}:") for fault in caught.value.faults]


def test_valid_file_is_loaded(tmp_path: Path) -> None:
    settings = load(write_files(tmp_path, VALID))
    gateway, (site,) = settings.operator.gateway, settings.operator.sites
    assert gateway and gateway.listen == ("127.0.0.1", 7443) and gateway.allow == ("r0", "r1")
    assert (gateway.lease, gateway.lend, gateway.max_bytes) == (timedelta(seconds=1.5), 0.25, 1 << 20)
    assert site.peers == (Peer("r0", "127.0.0.1", 1), Peer("r1", "::1", 2), Peer("r2", "localhost", 3))
    assert settings.origins["gateway.lend"].line == 8


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("lend 120%", "5:6: lend: '120%' is not a share"),
        ("lease 10", "5:7: lease: '10' needs a unit"),
        ("lease 1s 2s", "5:1: lease: takes 1 value(s); expected a duration"),
        ("leese 1s", "5:1: leese: no such directive in section 'gateway'; expected lease"),
        ("listen 127.0.0.1:1", "6:5: listen: is given twice, first at"),
        ('name "z0', "5:6: a quoted word has no closing quote"),
        ("max-frame 100B", "max-frame: is under 2048 bytes"),
        ("keepalive 1s", "keepalive: is over a third of 'lease'"),
        ("reserve 90%", "lend: and 'reserve' are over 1 together"),
        ("leave 2", "leave: is not below 'enter'"),
        ("certificate a.pem", "plaintext: excludes certificate"),
        ("gateway {", "5:1: gateway: a section inside 'gateway'"),
        ("plaintext maybe", "plaintext: is given twice"),
    ],
)
def test_fault_names_its_position_and_what_is_expected(tmp_path: Path, line: str, expected: str) -> None:
    lines = [
        known
        for known in VALID.splitlines()
        if known.split()[:1] != line.split()[:1] or known in DOUBLED_LINES
    ]
    lines.insert(4, line)
    text = "\n".join(lines)
    assert any(expected in fault for fault in load_faults(write_files(tmp_path, text))), load_faults(
        tmp_path / "rookwood.conf"
    )


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    text = 'sote x\nlog-level loud\n}\nsite rijeka {\n  peer r0\n}\n"open\ngateway {\n'
    expected = load_faults(write_files(tmp_path, text))
    assert [fault.split(":")[0] for fault in expected] == ["1", "2", "3", "5", "7", "8"]


@pytest.mark.parametrize(
    ("text", "more", "expected"),
    [
        ("include missing.conf\n", "", "cannot be read"),
        ("include more.conf\n", "include rookwood.conf\n", "includes itself"),
        ("include more.conf\n", "log-level\n", "more.conf:1:1: log-level: takes 1 value(s)"),
        (VALID.replace("127.0.0.1:7443", "10.0.0.1:7443"), MORE, "is for loopback alone, not 10.0.0.1"),
        (VALID.replace("site zagreb", "site rijeka"), MORE, "is the own site"),
        (VALID.replace("plaintext yes", ""), MORE, "'certificate', 'key' and 'authority' are all needed"),
        ("include more.conf\n", MORE, "there is no section 'gateway'"),
        ("gateway {\n}\n", "", "listen: is missing in section 'gateway'; expected host:port"),
    ],
)
def test_faults_that_involve_several_lines_or_files(
    tmp_path: Path, text: str, more: str, expected: str
) -> None:
    with pytest.raises(OperatorFileError, match="(?s)" + expected.replace("(", r"\(").replace(")", r"\)")):
        load(write_files(tmp_path, text, more))


WORDS = some.sampled_from(["gateway", "site", "{", "}", "peer", "r0", "1s", '"', "#", "listen", "\\"])


@given(some.lists(some.one_of(WORDS, some.text(max_size=6)), max_size=12).map(" ".join))
def test_any_text_is_loaded_or_rejected(tmp_path_factory: pytest.TempPathFactory, text: str) -> None:
    path = tmp_path_factory.mktemp("fuzz") / "rookwood.conf"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    try:
        load(path)
    except OperatorFileError as error:
        assert all(str(path) in fault.origin.file for fault in error.faults)


@pytest.mark.parametrize(
    ("text", "code", "expected"),
    [
        (VALID, 0, "sound"),
        (VALID.replace("lend", "lent"), 2, "no such directive"),
        ("gateway {", 2, "no closing"),
    ],
)
def test_check_command(tmp_path: Path, text: str, code: int, expected: str) -> None:
    result = CliRunner().invoke(main, ["check", str(write_files(tmp_path, text))])
    assert result.exit_code == code and expected in result.output


def test_show_command_prints_the_origin_of_values(tmp_path: Path) -> None:
    path = write_files(tmp_path, VALID)
    result = CliRunner().invoke(main, ["show", str(path)])
    rows = {line.split()[0]: line.split() for line in result.output.splitlines()}
    assert rows["gateway.lend"][1:] == ["0.25", f"{path}:8:5"]
    assert rows["gateway.reserve"][1:] == ["0.1", "default"]
    assert rows["site.rijeka.peer"][-1] == f"{tmp_path / 'more.conf'}:2:5"


@pytest.mark.parametrize("words", [[], ["serve"], ["check"], ["show"], ["demo"], ["experiment", "gateway"]])
def test_every_command_has_a_help_text(words: list[str]) -> None:
    result = CliRunner().invoke(main, [*words, "--help"])
    assert result.exit_code == 0 and "Usage" in result.output


def test_check_and_show_accept_the_platforms_file(tmp_path: Path) -> None:
    platform_file = stage.environment(tmp_path, [], "127.0.0.1:9")["PROXY_CONFIG"]
    result = CliRunner().invoke(main, ["check", platform_file])
    assert result.exit_code == 0 and "sound" in result.output
    result = CliRunner().invoke(main, ["show", platform_file])
    assert result.exit_code == 0 and "unsafe" in result.output and "class unlock repeat" in result.output
    stage.environment(tmp_path, [], "127.0.0.1:9", settings=stage.SETTINGS | {"tick": 0})
    for command in ("check", "show"):
        result = CliRunner().invoke(main, [command, platform_file])
        assert result.exit_code == 2 and "settings.tick" in result.output
