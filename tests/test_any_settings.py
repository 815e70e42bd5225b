"""Settings that nobody has yet: whatever both deployments and the protocol allow, by the policy's rules and
over loopback. A fault that is found is kept as an `@example` or as a story of its own."""

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
from tests.test_rules import drive
from tests.test_stories import play
from tests.world import World

SECOND = 1_000_000
Drawn = dict[str, st.SearchStrategy[Any]]
LANE_NEEDS: Drawn = {
    "aim": st.sampled_from([0, 100_000, 400_000, 8 * SECOND]),  # 0 divided a worth (found at random)
    "give-up": st.sampled_from([SECOND // 2, 5 * SECOND, 20 * SECOND]),
    "importance": st.sampled_from([0.0, 2.0, 8.0]),
    "repeat": st.sampled_from(["safe", "keyed", "unsafe"]),
    "group": st.sampled_from(["all", "zone", "cell"]),
    "window": st.sampled_from([0, 5 * SECOND, 30 * SECOND]),
}
LANE_MAY: Drawn = {"aim-stretch": st.sampled_from([0.0, 1.75, 2.0]), "sequential": st.booleans()}
LANE = st.fixed_dictionaries(LANE_NEEDS, optional=LANE_MAY)
BOUNDS_NEED: Drawn = {
    "attempts-cap": st.integers(1, 4),
    "connect-timeout": st.just(250_000),
    "conn-idle": st.just(60 * SECOND),
}
BOUNDS_MAY: Drawn = {name: st.booleans() for name in ("cancel", "peers", "probes", "retry-after")}
BOUNDS = st.fixed_dictionaries(BOUNDS_NEED, optional=BOUNDS_MAY)
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
    drawn = draw(st.lists(LANE, min_size=1, max_size=4))
    lanes = [{"name": f"class-{n}", **lane} for n, lane in enumerate(drawn)]
    balancers = draw(st.sampled_from([1, 2, 3, 4, 5, 40]))
    found: dict[str, Any] = {
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
        found["prices"] = {"cross-zone": draw(st.sampled_from([0.0, 0.01, 0.13]))}
    if draw(st.booleans()):
        found["tenants"] = [{"name": "a", "allowance-per-s": draw(st.sampled_from([0.0, 1.0, 50.0]))}]
        found["over-share-worth"] = draw(st.sampled_from([0.0, 0.2, 1.0]))
    return found


def any_number(examples: int) -> profile:
    return profile(
        derandomize=True,
        max_examples=examples,
        phases=(Phase.explicit, Phase.generate),
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


@any_number(120)
@given(told=settings_objects(), data=st.data())
def test_rules_hold_whatever_the_settings(told: dict[str, Any], data: st.DataObject) -> None:
    world = World(parse_settings(JsonReader(told, "settings")), seed=data.draw(st.integers(0, 3)))
    drive(world, data)


SCRIPTS = {
    "done": scripted.ends("done", result="page", load={"x0": 3, "util": 0.5}),
    "failed": scripted.ends("failed"),
    "lost": scripted.ends("lost"),
    "returned": scripted.ends("returned"),
    "breaks": scripted.breaks,
    "turned away": scripted.status(503, "Not-Started: 1", "Server-Load: x0=0,util=1"),
    "error": scripted.status(500),
    "closes": scripted.serves_and_closes,
}
NEVER_RAN = {"returned", "turned away"}


PLAYED = st.lists(st.sampled_from(sorted(SCRIPTS)), min_size=12, max_size=12)


@any_number(25)
@given(told=settings_objects(), names=PLAYED)
def test_dispatcher_answers_each_request_and_repeats_none_it_must_not(
    told: dict[str, Any], names: list[str]
) -> None:
    answers_each_and_repeats_none(told, names)


def answers_each_and_repeats_none(told: dict[str, Any], names: list[str]) -> None:
    async def story(folder: Path) -> None:
        boxes = [ScriptedWorker(*(SCRIPTS[name] for name in names[n::2])) for n in range(2)]
        lanes = [lane | {"give-up": 5 * SECOND} for lane in told["lanes"]]
        async with start_dispatcher(folder, *boxes, settings=told | {"lanes": lanes}) as s:
            headers = b"Tenant: a\r\nWork-Hint: 1000\r\nIdempotency-Key: k\r\n"
            paths = [f"/{lanes[n % len(lanes)]['name']}?k={n % 3}" for n in range(6)]
            found = [(await s.send_request(path, timeout=2.0, more=headers))[0] for path in paths]
        assert set(found) <= {200, 502, 503, 504}
        ran = Counter[str]()
        for n, box in enumerate(boxes):
            played = names[n::2] + names[n::2][-1:] * len(box.seen)
            for head, path, name in zip(box.headers, box.seen, played, strict=False):
                assert head["idempotency-key"] == "k"
                lane = next(lane for lane in lanes if path.startswith(f"/{lane['name']}?"))
                if lane["repeat"] == "unsafe" and name not in NEVER_RAN:
                    ran[head["request-id"]] += 1
        assert max(ran.values(), default=0) <= 1

    with tempfile.TemporaryDirectory() as folder:
        play(story(Path(folder)))
