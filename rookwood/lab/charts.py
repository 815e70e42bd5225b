"""Charts of results, as SVG beside the figures that they show."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "rookwood"  # the same figures make the same file

from matplotlib.figure import Figure  # noqa: E402 - after the choice of the backend


def lines(
    place: Path,
    title: str,
    x: tuple[str, Sequence[float]],
    y: str,
    series: Mapping[str, Sequence[float]],
    log: bool = False,
) -> None:
    """`x` and `y` with their units."""
    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    for name, values in series.items():
        axes.plot(x[1], values, marker="o", label=name)
    axes.set(title=title, xlabel=x[0], ylabel=y)
    if log:
        axes.set(xscale="log", yscale="log")
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    place.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(place, format="svg", metadata={"Date": None})


def bars(
    place: Path, title: str, groups: Sequence[str], y: str, series: Mapping[str, Sequence[float]]
) -> None:
    """One group of bars for each of `groups`, one bar in it for each of `series`."""
    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    width = 0.8 / max(1, len(series))
    for n, (name, values) in enumerate(series.items()):
        axes.bar([at + n * width for at in range(len(groups))], values, width, label=name)
    axes.set(title=title, ylabel=y)
    axes.set_xticks([at + 0.4 - width / 2 for at in range(len(groups))], groups)
    axes.legend()
    figure.tight_layout()
    place.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(place, format="svg", metadata={"Date": None})
