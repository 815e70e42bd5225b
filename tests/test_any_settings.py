"""Random settings within what the known deployments and the protocol allow.

The policy must keep its rules under them, and a dispatcher over loopback must respond. A fault that is found
is kept as an `@example` or as a test of its own.
"""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from rookwood.settings import JsonReader, parse_settings
from tests import stage as scripted
from tests.stage import ScriptedWorker, start_dispatcher
from tests.test_rules import play_random_events
from tests.test_stories import play
from tests.world import World

SECOND = 1_000_000
Drawn = dict[str, st.SearchStrategy[Any]]
REQUIRED_CLASS_KEYS: Drawn = {
    "aim": st.sampled_from(
        [0, 100_000, 400_000, 8 * SECOND]
    ),  # an aim of 0 caused a division by zero (found by random tests)
    "give-up": st.sampled_from([SECOND // 2, 5 * SECOND, 20 * SECOND]),
    "importance": st.sampled_from([0.0, 2.0, 8.0]),
    "repeat": st.sampled_from(["safe", "keyed", "unsafe"]),
    "group": st.sampled_from(["all", "zone", "cell"]),
    "window": st.sampled_from([0, 5 * SECOND, 30 * SECOND]),
}
OPTIONAL_CLASS_KEYS: Drawn = {"aim-stretch": st.sampled_from([0.0, 1.75, 2.0]), "sequential": st.booleans()}
CLASS = st.fixed_dictionaries(REQUIRED_CLASS_KEYS, optional=OPTIONAL_CLASS_KEYS)
REQUIRED_BOUNDS: Drawn = {
    "attempts-cap": st.integers(1, 4),
    "connect-timeout": st.just(250_000),
    "conn-idle": st.just(60 * SECOND),
}
OPTIONAL_BOUNDS: Drawn = {name: st.booleans() for name in ("cancel", "peers", "probes", "retry-after")}
BOUNDS = st.fixed_dictionaries(REQUIRED_BOUNDS, optional=OPTIONAL_BOUNDS)
RULES = st.fixed_dictionaries(
    {
        "fall-multiple": st.sampled_from([2.0, 3.0, 4.0]),
        "overload-for": st.sampled_from([SECOND, 2 * SECOND]),
        "start-capacity": st.sampled_from([0.0, 0.12, 0.31, 1.0]),
        "warm-up": st.sampled_from([0, 8 * SECOND, 24 * SECOND]),
        "drain-grace": st.sampled_from([500_000, SECOND]),
    }
)
GOALS = ["whole", "worst-window", "worst-class", "worst-tenant"]
PARTS = st.dictionaries(st.sampled_from(GOALS), st.sampled_from([0.0, 0.15, 0.4]))


@st.composite
def settings_objects(draw: st.DrawFn) -> dict[str, Any]:
    drawn = draw(st.lists(CLASS, min_size=1, max_size=4))
    lanes = [{"name": f"class-{n}", **lane} for n, lane in enumerate(drawn)]
    balancers = draw(st.sampled_from([1, 2, 3, 4, 5, 40]))
    document: dict[str, Any] = {
        "balancers": balancers,
        "me": draw(st.integers(0, balancers - 1)),
        "bounds": draw(BOUNDS),
        "discovery": draw(st.sampled_from(["automatic", "subscribe"])),
        "family-info": {"tells-start": draw(st.booleans())},
        "lanes": lanes,
        "rules": draw(RULES),
        "tick": draw(st.sampled_from([1000, 4000])),
        "locality": draw(st.sampled_from(["", "z0", "z1"])),
        "counted-by": draw(st.sampled_from(["request", "work"])),
        "load-report": {"how": draw(st.sampled_from(["pull", "piggyback", "silent"])), "columns": ["x0"]},
        "clients": {"marks-retry": draw(st.booleans())},
        "score-parts": draw(PARTS),
    }
    if draw(st.booleans()):
        document["prices"] = {"cross-zone": draw(st.sampled_from([0.0, 0.01, 0.13]))}
    if draw(st.booleans()):
        document["tenants"] = [{"name": "a", "allowance-per-s": draw(st.sampled_from([0.0, 1.0, 50.0]))}]
        document["over-share-worth"] = draw(st.sampled_from([0.0, 0.2, 1.0]))
    return document


def random_examples(examples: int) -> profile:
    """Return hypothesis settings for a number of examples that are the same in each run."""
    return profile(
        derandomize=True,
        max_examples=examples,
        phases=(Phase.explicit, Phase.generate),
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


@random_examples(120)
@given(document=settings_objects(), data=st.data())
def test_rules_hold_under_any_settings(document: dict[str, Any], data: st.DataObject) -> None:
    world = World(parse_settings(JsonReader(document, "settings")), seed=data.draw(st.integers(0, 3)))
    play_random_events(world, data)


SCRIPTS = {
    "done": scripted.ends_with("done", result="page", load={"x0": 3, "util": 0.5}),
    "failed": scripted.ends_with("failed"),
    "lost": scripted.ends_with("lost"),
    "returned": scripted.ends_with("returned"),
    "breaks": scripted.breaks_off,
    "turned away": scripted.status(503, "Not-Started: 1", "Server-Load: x0=0,util=1"),
    "error": scripted.status(500),
    "closes": scripted.serves_and_closes,
}
NEVER_RAN = {"returned", "turned away"}


SCRIPT_NAMES = st.lists(st.sampled_from(sorted(SCRIPTS)), min_size=12, max_size=12)


@random_examples(25)
@given(document=settings_objects(), names=SCRIPT_NAMES)
def test_dispatcher_responds_to_each_request_and_runs_no_unsafe_one_twice(
    document: dict[str, Any], names: list[str]
) -> None:
    check_responses_and_effects(document, names)


def check_responses_and_effects(document: dict[str, Any], names: list[str]) -> None:
    """Run a dispatcher with two endpoints that play these scripts in turn."""

    async def scenario(folder: Path) -> None:
        workers = [ScriptedWorker(*(SCRIPTS[name] for name in names[n::2])) for n in range(2)]
        lanes = [lane | {"give-up": 5 * SECOND} for lane in document["lanes"]]
        async with start_dispatcher(folder, *workers, settings=document | {"lanes": lanes}) as s:
            headers = b"Tenant: a\r\nWork-Hint: 1000\r\nIdempotency-Key: k\r\n"
            paths = [f"/{lanes[n % len(lanes)]['name']}?k={n % 3}" for n in range(6)]
            statuses = [(await s.send_request(path, timeout=2.0, more=headers))[0] for path in paths]
        assert set(statuses) <= {200, 502, 503, 504}
        ran = Counter[str]()
        for n, worker in enumerate(workers):
            played = names[n::2] + names[n::2][-1:] * len(worker.paths)
            for head, path, name in zip(worker.headers, worker.paths, played, strict=False):
                assert head["idempotency-key"] == "k"
                lane = next(lane for lane in lanes if path.startswith(f"/{lane['name']}?"))
                if lane["repeat"] == "unsafe" and name not in NEVER_RAN:
                    ran[head["request-id"]] += 1
        assert max(ran.values(), default=0) <= 1

    with tempfile.TemporaryDirectory() as folder:
        play(scenario(Path(folder)))
