"""Requirements of the platform on `run`: one dynamically linked process, no other program, no Unix socket."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
import tomllib
from pathlib import Path

import pytest

from rookwood.metrics.server import METRICS_PATH, METRICS_PORT
from rookwood.net.destinations import Address
from rookwood.net.handover import Handover
from tests import stage as st
from tests.stage import LIMIT, ScriptedWorker
from tests.test_stories import play

GUARD = """
import errno, os, runpy, socket, sys
REFUSED = {"os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen", "os.exec"}
def guard(event, args):
    if event in REFUSED or (event in ("socket.bind", "socket.connect") and isinstance(args[1], (str, bytes))):
        print("refused", event, file=sys.stderr, flush=True)
        raise OSError(errno.ENOSYS, event)
def missing(*args, **kinds):
    print("refused sendfile or splice", file=sys.stderr, flush=True)
    raise OSError(errno.ENOSYS, "not here")
os.sendfile = os.splice = missing
sys.addaudithook(guard)
sys.argv = ["rookwood"]
runpy.run_module("rookwood", run_name="__main__")
"""


def test_run_command_becomes_a_single_dynamically_linked_process() -> None:
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    assert re.fullmatch(r"exec \.venv/bin/python -m rookwood", deploy["run"])
    with open(os.path.realpath(sys.executable), "rb") as program:
        assert b"/ld-" in program.read(
            8192
        )  # the path of the dynamic loader, which a statically linked program lacks


def test_both_roles_name_the_port_and_path_at_which_the_programs_serve_their_metrics() -> None:
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "system.toml").read_text())
    named = {name: role["metrics"] for name, role in deploy["roles"].items()}
    expected = f"{METRICS_PORT}{METRICS_PATH}"
    assert named == {"dataplane": expected, "controlplane": expected}


def test_build_installs_the_libraries_in_the_releases_that_the_extra_system_pins() -> None:
    root = Path(__file__).parent.parent
    extra = tomllib.loads((root / "pyproject.toml").read_text())["project"]["optional-dependencies"]["system"]
    pinned = set((root / "requirements-system.txt").read_text().split())
    assert pinned <= set(extra)
    assert any(pin.startswith("prometheus-client==") for pin in pinned)


def test_program_serves_where_other_programs_and_unix_sockets_are_forbidden(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with st.listening(worker) as address, st.listening(st.Discovery()) as discovery:
            environ = st.environment(tmp_path, [st.target_entry("s-0", address)], discovery)
            environ["TMPDIR"] = str(tmp_path)  # where it would offer its listener on a Unix socket
            async with st.dispatcher_process(environ, ["-c", GUARD]) as (child, s, log_lines):
                refused = [line for line in log_lines if line.startswith("refused")]
                assert (await s.send_request())[0] == 200
                assert {line.split()[1] for line in refused} <= {"socket.connect", "socket.bind"}
                child.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(child.wait(), LIMIT) == 0

    play(story())


def test_without_unix_sockets_only_the_handover_is_missing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An uncaught error at the creation of the socket would prevent the start where that is forbidden."""

    def refused(*_: object) -> socket.socket:
        raise OSError("not permitted")

    async def story() -> None:
        handover = Handover(tmp_path / "sock", lambda: b"", lambda: None, lambda: None)
        monkeypatch.setattr(socket, "socket", refused)
        assert await handover.inherit_listener(Address("127.0.0.1", 1)) is None
        monkeypatch.undo()
        await handover.close()

    play(story())
