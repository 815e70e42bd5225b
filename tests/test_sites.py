"""The invented deployments in deploy/sites: their classes, effects and limits, without the benchmark."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rookwood.settings import JsonReader, parse_settings
from tests.test_any_settings import SCRIPT_NAMES, SECOND, check_responses_and_effects, random_examples
from tests.test_rules import play_random_events
from tests.world import World

SITES = sorted((Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
MS = SECOND // 1000


def settings_of_site(site: Path) -> dict[str, Any]:
    """Return the settings object of a deployment, as far as its file defines it."""
    file = tomllib.loads(site.read_text())
    allow, rules, kinds = file["allow"], file["rules"], [kind for t in file["tier"] for kind in t["kind"]]
    conn = file["tier"][0]["conn"]
    lanes = [
        {"name": c["name"], "repeat": c["effect"], "importance": float(c["worth"]), "aim": c["aim_ms"] * MS}
        | {"give-up": c["deadline_ms"] * MS, "aim-stretch": more["stretch"]}
        | ({"group": c["group"], "window": c["window_ms"] * MS} if c["effect"] == "keyed" else {})
        for c, more in zip(file["class"], file["fam"]["class"], strict=True)
    ]
    return {
        "balancers": int(file["scale"]["big_balancers"][1]),
        "bounds": {"attempts-cap": allow["max_attempts"], "conn-idle": conn["idle_s"] * SECOND}
        | {"connect-timeout": conn["connect_timeout_ms"] * MS, "retry-after": allow["retry_after"]}
        | {name: allow[name] for name in ("cancel", "peers", "probes")},
        "discovery": {"ask": "subscribe", "push": "automatic"}[file["discovery"]["mode"]],
        "family-info": {"tells-start": file["fam"]["tells_start"]},
        "lanes": lanes,
        "rules": {"fall-multiple": float(rules["fall_multiple"]), "overload-for": rules["fall_ms"] * MS}
        | {"start-capacity": min(kind["cold_from"][0] for kind in kinds)}
        | {"warm-up": int(max(kind["cold_s"][1] for kind in kinds) * SECOND)}
        | {"drain-grace": rules["drain_grace_ms"] * MS},
        "tick": file["day"]["tick_ms"] * MS,
        "locality": file["net"]["zones"][0],
        "counted-by": file["load"]["worth_by"],
        "over-share-worth": file["load"]["over_share_worth"],
        "tenants": [{"name": t["name"], "allowance-per-s": 20.0 * t["share"]} for t in file["tenant"]],
        "clients": {"marks-retry": file["clients"]["marks_retry"]},
        "prices": {"cross-zone": file["prices"]["cross_zone"]},
    }


def test_sites_cover_settings_that_the_known_deployments_lack() -> None:
    """One subscribes to discovery and the other doesn't; windows are short, and every scope occurs."""
    documents = [settings_of_site(site) for site in SITES]
    assert {d["discovery"] for d in documents} == {"subscribe", "automatic"}
    keyed = [lane for d in documents for lane in d["lanes"] if lane["repeat"] == "keyed"]
    assert {lane["group"] for lane in keyed} == {"all", "zone", "cell"}
    assert any(lane["window"] < lane["give-up"] / 2 for lane in keyed)
    assert {lane["repeat"] for d in documents for lane in d["lanes"]} == {"safe", "keyed", "unsafe"}


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.stem)
def test_rules_hold_with_the_classes_of_each_site(site: Path) -> None:
    @random_examples(40)
    @given(data=st.data())
    def played(data: st.DataObject) -> None:
        play_random_events(
            World(parse_settings(JsonReader(settings_of_site(site))), seed=data.draw(st.integers(0, 3))), data
        )

    played()


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.stem)
def test_dispatcher_responds_to_each_request_of_each_site_and_runs_no_unsafe_one_twice(site: Path) -> None:
    @random_examples(8)
    @given(names=SCRIPT_NAMES)
    def played(names: list[str]) -> None:
        check_responses_and_effects(settings_of_site(site), names)

    played()
