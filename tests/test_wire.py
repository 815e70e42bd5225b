"""The simulator's wire: valid batches, malformed input and invalid settings."""

from __future__ import annotations

import io
import json

import pytest

from rookwood import wirehost

PROFILE = {
    "balancers": 1,
    "bounds": {"attempts-cap": 3, "new-limit": 5},
    "discovery": "automatic",
    "lanes": [
        {
            "aim": 500000,
            "give-up": 5000000,
            "importance": 5,
            "name": "read",
            "repeat": "safe",
        }
    ],
    "rules": {"fall-multiple": 4.0, "overload-for": 2000000, "start-capacity": 0.35, "warm-up": 8600000},
    "tick": 4000,
    "unheard-of": {"a": 1},
}
HELLO = "FRAME 1000000\nFOR dispatcher/3\nHELLO 7 {}\nBACKENDS_CHANGED warm_copy 41 1\n"
WORKER = "WORKER 1.5 0 fast 10.0.0.1:80 SERVING - z\n"
ASK = "ASK 11 240000 1 0 - - read 0 0 - -\n"


def serve(text: str) -> list[str]:
    sink = io.StringIO()
    wirehost.serve(io.StringIO(text), sink)
    return sink.getvalue().splitlines()


def hello(profile: dict[str, object] | None = None) -> str:
    return HELLO.format(json.dumps(profile or PROFILE)) + WORKER + "OVER_TO_YOU\n"


def test_request_is_sent_and_ends() -> None:
    lines = serve(
        hello()
        + f"FRAME 1001000\nFOR dispatcher/3\n{ASK}OVER_TO_YOU\n"
        + "FRAME 1021000\nFOR dispatcher/3\n"
        + "REPORT_BACK 11 - 0 20000 1 10.0.0.1:80 Ok throughput:140,backlog:3,x0:0.4,odd:1\nOVER_TO_YOU\n"
    )
    assert "TRANSMIT 11 - 10.0.0.1:80" in lines
    assert lines.count("END") == 3
    assert not [line for line in lines if line.startswith(("BUSY", "GIVE_UP", "FATAL"))]


def test_every_event_parses() -> None:
    events = [
        ASK.strip(),
        "NOTE_FROM 2 68692037",
        "ELAPSED 77",
        "HINT_UPDATE 11 0 10.0.0.1:80 1 0.5",
        "UNDER_WAY 11 0 10.0.0.1:80 9250",
        "ABANDONED 11",
        "SAMPLED 10.0.0.1:80 Ok 1400 x0:1",
        "BACKENDS_CHANGED lost 42 0",
        "CRASH_NOW",
    ]
    text = hello() + "FRAME 1001000\nFOR dispatcher/3\n" + "\n".join(events) + "\nOVER_TO_YOU\n"
    assert serve(text)[-1] == "END"


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("ASK x 240000 1 0 - - read 0 0 - -", "handle"),
        ("ASK 11 240000 many 0 - - read 0 0 - -", "slots"),
        ("ASK 11 240000 1 0 - - read 0 0 -", "party"),
        ("ASK 11 240000 1 0 - - read 0 0 - - -", "end"),
        ("ASK 11 240000 nan 0 - - read 0 0 - -", "slots"),
        ("ASK 11 240000 1 0 - - - 0 0 - -", "band"),
        ("REPORT_BACK 11 - 0 1 2 w Ok -", "done-flag"),
        ("REPORT_BACK 11 - 0 1 1 w Fine -", "ending"),
        ("REPORT_BACK 11 - 0 1 1 w Ok x0=1", "usage"),
        ("BACKENDS_CHANGED sideways 1 0", "how"),
        ("WORKER 1 0 k w SERVING - z", "tag"),
        ("HURRY 1", "tag"),
        ("BACKENDS_CHANGED incr 1 1\nWORKER x 0 k w SERVING - z", "nominal"),
        ("BACKENDS_CHANGED incr 1 1\nWORKER nan 0 k w SERVING - z", "nominal"),
        ("BACKENDS_CHANGED incr 1 1\nWORKER 1 0 k - SERVING - z", "worker"),
        ("BACKENDS_CHANGED incr 1 1\nWORKER 1 0 k w RESTING - z", "health"),
        ("BACKENDS_CHANGED incr 1 1\nWORKER 1 0 k w SERVING soon z", "started-at"),
        ("FRAME 5", "tag"),
        ("CRASH_NOW 1", "end"),
    ],
)
def test_error_names_the_malformed_line_and_field(
    line: str, field: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    text = hello() + f"FRAME 1001000\nFOR dispatcher/3\n{line}\nOVER_TO_YOU\n"
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    assert wirehost.main() == 2
    captured = capsys.readouterr()
    assert captured.err.startswith(f"rookwood: line {9 + line.count(chr(10))}, field {field}: ")
    assert captured.err.count("\n") == 1
    assert captured.out.count("END") == 1  # the malformed batch has no reply


@pytest.mark.parametrize("missing", ["balancers", "tick", "lanes", "rules", "bounds", "discovery"])
def test_error_names_the_missing_setting(missing: str) -> None:
    profile = {name: value for name, value in PROFILE.items() if name != missing}
    with pytest.raises(wirehost.WireError, match=f"line 3, field profile-data.{missing}"):
        serve(hello(profile))


def test_error_names_the_setting_of_wrong_type() -> None:
    with pytest.raises(wirehost.WireError, match="profile-data.tick: not of type int"):
        serve(hello({**PROFILE, "tick": "4"}))


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        ("rules.order-settle", -1, "negative"),
        ("rules.order-settle", "soon", "not of type int"),
        ("score-parts.kept-promises", "x", "not of type float"),
        ("score-parts.borne-misses", -0.1, "negative"),
        ("lanes.sequential", 1, "not of type bool"),
        ("lanes.aim", -5, "negative"),
        ("bounds.cancel", "yes", "not of type bool"),
    ],
)
def test_error_names_the_invalid_setting(path: str, value: object, reason: str) -> None:
    profile = json.loads(json.dumps(PROFILE))
    part, name = path.split(".")
    section = profile["lanes"][0] if part == "lanes" else profile.setdefault(part, {})
    section[name] = value
    with pytest.raises(wirehost.WireError, match=rf"line 3, field profile-data\..*{name}: {reason}"):
        serve(hello(profile))


def test_requests_of_a_sequential_key_run_one_at_a_time_and_those_without_a_key_at_once() -> None:
    profile = json.loads(json.dumps(PROFILE))
    profile["lanes"][0]["sequential"] = True
    asks = "".join(f"ASK {n} 240000 1 0 - - read 0 0 {key} -\n" for n, key in ((11, 7), (12, 7), (13, "-")))
    lines = serve(hello(profile) + f"FRAME 1001000\nFOR dispatcher/3\n{asks}OVER_TO_YOU\n")
    assert [line.split()[1] for line in lines if line.startswith("TRANSMIT")] == ["11", "13"]


def test_attempt_of_an_abandoned_request_is_aborted_if_permitted() -> None:
    profile = {**PROFILE, "bounds": {"attempts-cap": 3, "cancel": True}}
    text = f"FRAME 1001000\nFOR dispatcher/3\n{ASK}ABANDONED 11\nOVER_TO_YOU\n"
    assert "ABORT_ATTEMPT 11 0" in serve(hello(profile) + text)
    assert "ABORT_ATTEMPT 11 0" not in serve(hello() + text)


def test_input_ending_within_a_batch_is_an_error() -> None:
    with pytest.raises(wirehost.WireError, match="input ends within a batch"):
        serve("FRAME 1\n")


def test_exception_of_the_policy_is_reported_as_fatal(capsys: pytest.CaptureFixture[str]) -> None:
    lines = serve(hello() + f"FRAME 1001000\nFOR dispatcher/3\n{ASK}{ASK}OVER_TO_YOU\n")
    assert "FATAL ValueError: request 11 came twice" in lines
    assert "Traceback" in capsys.readouterr().err


def test_event_before_hello_is_malformed() -> None:
    with pytest.raises(wirehost.WireError, match="no HELLO"):
        serve(f"FRAME 1\nFOR dispatcher/9\n{ASK}OVER_TO_YOU\n")
