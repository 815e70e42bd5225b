"""How each kind of trouble may be drawn: whether it is planned work, its fields' ranges, its variants.

The names and fields are those of the platform's day files.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Span:
    """A range from which a number is drawn evenly."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of trouble.

    `variants` are values of `how`, of which "" leaves the field out. `additions` are further words that
    may stand behind a variant. `machines` are values of `on`.
    """

    name: str
    planned: bool = False
    numbers: dict[str, Span] = field(default_factory=dict)
    counts: dict[str, tuple[int, int]] = field(default_factory=dict)
    variants: tuple[str, ...] = ("",)
    additions: tuple[str, ...] = ()
    machines: tuple[str, ...] = ("",)


AIMED = ("", "", "turn", "leader", "reader", "seed")
MEETING = ("meet", "race", "hard", "drain")
CUT_MEETING = ("meet", "race", "hard", "drain", "reset", "refuse")
ANY_TIER = ("front", "core")

KINDS: tuple[Kind, ...] = (
    Kind("burst", numbers={"x": Span(1.5, 4), "for_s": Span(3, 8)}),
    Kind(
        "srv_crash",
        numbers={"share": Span(0.1, 0.4), "for_s": Span(2, 6)},
        variants=("", "dark", "gone"),
        additions=("across",),
    ),
    Kind(
        "release",
        planned=True,
        numbers={"share": Span(0.2, 1), "gap_s": Span(0.4, 1.5)},
        counts={"x": (1, 2)},
    ),
    Kind(
        "scale_in",
        planned=True,
        numbers={"share": Span(0.1, 0.3), "x": Span(1, 3)},
        variants=("", "spot"),
    ),
    Kind("answer_lost", numbers={"share": Span(0.3, 1), "x": Span(0.02, 0.1), "for_s": Span(4, 12)}),
    Kind(
        "garble",
        numbers={"share": Span(0.3, 1), "x": Span(0.02, 0.1), "for_s": Span(5, 15)},
        variants=("", "extra", "unframed", "early"),
    ),
    Kind(
        "node_kill",
        numbers={"share": Span(0.1, 0.4), "for_s": Span(0.5, 3)},
        variants=("", "power"),
        additions=("turn", "leader", *MEETING),
        machines=ANY_TIER,
    ),
    Kind(
        "node_freeze",
        numbers={"share": Span(0.1, 0.4), "for_s": Span(1, 8)},
        variants=AIMED,
        additions=MEETING,
        machines=ANY_TIER,
    ),
    Kind(
        "roll_term",
        planned=True,
        numbers={"gap_s": Span(1, 4)},
        counts={"x": (1, 2), "share": (1, 1)},
        variants=("", "busy", "busy"),
        machines=ANY_TIER,
    ),
    Kind("replace_core", numbers={"x": Span(0.2, 3)}, variants=("", "oldest", "planned", "oldest planned")),
    Kind("seed_turnover", planned=True),
    Kind(
        "after_ack_kill",
        numbers={"for_s": Span(0.5, 3)},
        counts={"count": (1, 2)},
        variants=("", "kill", "timed", "taken"),
        additions=MEETING,
    ),
    Kind("after_ack_wipe", numbers={"for_s": Span(0.5, 3)}, variants=("", "timed", "taken", "oldest")),
    Kind(
        "disk_slow",
        numbers={"x": Span(10, 60), "for_s": Span(3, 8)},
        variants=AIMED,
    ),
    Kind("disk_full", numbers={"for_s": Span(2, 6)}, variants=AIMED),
    Kind("disk_stall", numbers={"for_s": Span(1, 5)}, variants=AIMED),
    Kind(
        "core_cut",
        numbers={"for_s": Span(2, 8)},
        counts={"count": (1, 1)},
        variants=("", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "leader", "leader all"),
        additions=CUT_MEETING,
    ),
    Kind(
        "node_cut",
        numbers={"share": Span(0.1, 0.4), "for_s": Span(2, 8)},
        variants=("", "all", "servers"),
        additions=CUT_MEETING,
    ),
    Kind(
        "config_change",
        planned=True,
        variants=("route", "weights", "timeout", "idle", "idle"),
    ),
    Kind("config_race", planned=True, numbers={"gap_s": Span(0.5, 2)}, counts={"count": (1, 5)}),
    Kind("config_storm", planned=True, numbers={"gap_s": Span(0.15, 0.6), "for_s": Span(3, 10)}),
    Kind(
        "bad_config",
        planned=True,
        numbers={"gap_s": Span(0.3, 1)},
        counts={"count": (1, 4)},
        variants=(
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
        ),
    ),
    Kind("ack_lost", numbers={"x": Span(0.5, 0.9), "for_s": Span(4, 15)}),
    Kind("big_config", planned=True, counts={"count": (100, 350)}),
    Kind("model_shift", planned=True, numbers={"for_s": Span(3, 7)}, counts={"count": (1, 4)}),
    Kind("retry_abuse", numbers={"share": Span(0.1, 0.4), "for_s": Span(4, 10)}, counts={"x": (1, 3)}),
    Kind("give_up", numbers={"share": Span(0.1, 0.5), "for_s": Span(4, 10)}),
    Kind("srv_slow", numbers={"share": Span(0.1, 0.4), "x": Span(2, 6), "for_s": Span(3, 8)}),
    Kind(
        "srv_grey",
        numbers={"share": Span(0.1, 0.3), "x": Span(0.2, 0.6), "for_s": Span(3, 8)},
        variants=("errors", "shed", "busy", "hang", "reset", "mute"),
    ),
    Kind(
        "srv_lying_health",
        numbers={"share": Span(0.1, 0.3), "for_s": Span(3, 8)},
        variants=("errors", "hang", "reset", "bad"),
    ),
    Kind("srv_flap", numbers={"share": Span(0.1, 0.3), "for_s": Span(4, 10), "gap_s": Span(0.6, 2)}),
    Kind(
        "srv_cut",
        numbers={"share": Span(0.1, 0.4), "for_s": Span(3, 8), "x": Span(0.1, 0.4)},
        variants=("", "fronts", "one_way", "reset"),
    ),
    Kind(
        "replace_with_reuse",
        numbers={"share": Span(0.1, 0.3)},
        variants=("", "drain", "dark"),
    ),
    Kind("scale_out", planned=True, numbers={"share": Span(0.1, 0.4), "gap_s": Span(1, 3)}),
    Kind("idle_race", numbers={"share": Span(0.2, 0.8), "x": Span(100, 500), "for_s": Span(4, 12)}),
    Kind(
        "node_slow",
        numbers={"share": Span(0.1, 0.3), "x": Span(3, 6), "for_s": Span(3, 8)},
        variants=AIMED,
        machines=ANY_TIER,
    ),
    Kind(
        "herd_kill",
        numbers={"share": Span(0.4, 0.8)},
        variants=("", "power", "taken", "taken all"),
        machines=ANY_TIER,
    ),
    Kind(
        "clock_step",
        numbers={"share": Span(0.2, 1), "x": Span(500, 4000), "for_s": Span(4, 10)},
        variants=("back", "ahead"),
    ),
    Kind("hup", planned=True, numbers={"share": Span(0.3, 1), "gap_s": Span(0.5, 3)}),
    Kind(
        "reset_conns",
        numbers={"share": Span(0.1, 0.5), "x": Span(0.3, 0.8), "for_s": Span(3, 8)},
        machines=ANY_TIER,
    ),
    Kind("add_nodes", planned=True),
)

LONG_CUT_VARIANTS = ("", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "leader", "leader all")
LONG_CUT_SECONDS = Span(18, 22)
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_VARIANTS = ("", "timed", "taken", "oldest")
