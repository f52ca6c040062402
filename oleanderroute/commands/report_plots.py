"""Plots of the burn report, as images that are embedded in its page."""

import base64
import io
from dataclasses import dataclass

import matplotlib
from matplotlib.figure import Figure

from ..operator.fleetreport import WINDOW_NAMES
from ..operator.windows import OBJECTIVE_WINDOW
from .report_text import left_text, rate_text, spender_text, window_label

# The services with the least budget left; the tables hold all of them.
MAX_SERVICES = 20
MAX_SPENDERS = 15
# A budget that is overspent many times over would hide the other bars.
LOWEST_SHOWN = -1.0
WIDTH_INCHES = 8.0
ROW_INCHES = 0.36
FRAME_INCHES = 1.3
# Okabe and Ito's colours, which the colour-blind can tell apart; the markers and
# the texts differ too, so that no plot relies on colour.
BLUE = "#0072B2"
VERMILION = "#D55E00"
GREY = "#6b6b6b"
WINDOW_STYLES = {
    "5m": ("o", VERMILION),
    "1h": ("s", "#E69F00"),
    "6h": ("^", "#009E73"),
    "3d": ("D", BLUE),
    OBJECTIVE_WINDOW: ("x", "#000000"),
}
PERCENTILE_STYLES = {
    "p50": ("o", BLUE),
    "p90": ("s", "#009E73"),
    "p99": ("^", "#E69F00"),
    "p99.9": ("D", VERMILION),
}
KIND_STYLES = {
    "target": (VERMILION, ""),
    "dependency": ("#E69F00", "//"),
    "fleet": (BLUE, ".."),
}
# Burn rates from 0 to 1 are linear and those above are logarithmic.
LINEAR_BELOW = 1.0
PLOT_SETTINGS = {"svg.hashsalt": "oleanderroute", "font.size": 10}


@dataclass(frozen=True, slots=True)
class Plot:
    """One plot with the text that stands for it.

    Attributes
    ----------
    figure : matplotlib.figure.Figure
    description : str
        What a reader who can't see it needs to know.
    """

    figure: Figure
    description: str

    def image(self, image_format):
        """Return the image file as bytes; ``svg`` or ``png``."""
        buffer = io.BytesIO()
        metadata = {"Date": None} if image_format == "svg" else None
        with matplotlib.rc_context(PLOT_SETTINGS):
            self.figure.savefig(buffer, format=image_format, metadata=metadata)
        return buffer.getvalue()

    def data_url(self):
        """Return the SVG image as a ``data:`` URL."""
        content = base64.b64encode(self.image("svg")).decode()
        return f"data:image/svg+xml;base64,{content}"


def new_axes(rows, labels):
    """Return a figure and its axes with one row per label, the first on top."""
    height = FRAME_INCHES + ROW_INCHES * max(rows, 2)
    with matplotlib.rc_context(PLOT_SETTINGS):
        figure = Figure(figsize=(WIDTH_INCHES, height), layout="constrained")
        axes = figure.add_subplot()
    axes.set_yticks(range(rows), labels=labels)
    axes.set_ylim(rows - 0.5, -0.5)
    axes.grid(axis="x", color="#dddddd")
    axes.set_axisbelow(True)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    return figure, axes


def budget_plot(services):
    """Return the plot of error budget left, or None without any request."""
    shown = [one for one in services if one.budget.left_share is not None]
    shown = shown[:MAX_SERVICES]
    if not shown:
        return None
    figure, axes = new_axes(len(shown), [one.name for one in shown])
    texts = []
    for row, service in enumerate(shown):
        left = service.budget.left_share
        bar = max(left, LOWEST_SHOWN)
        axes.barh(row, bar, color=BLUE if left > 0 else VERMILION, height=0.6)
        text = left_text(service.budget)
        axes.annotate(
            text,
            (max(bar, 0.0), row),
            xytext=(4, 0),
            textcoords="offset points",
            va="center",
        )
        texts.append(f"{service.name} {text}")
    axes.axvline(0, color=GREY)
    lowest = min(max(one.budget.left_share, LOWEST_SHOWN) for one in shown)
    axes.set_xlim(min(0.0, lowest) - 0.02, 1.15)
    axes.xaxis.set_major_formatter(lambda value, _: f"{value * 100:.0f} %")
    axes.set_xlabel("error budget left (below 0: overspent; cut at -100 %)")
    return Plot(figure, "Error budget left: " + "; ".join(texts) + ".")


def burn_plot(services):
    """Return the plot of burn rates per window, or None without any request."""
    shown = [one for one in services if one.budget.left_share is not None]
    shown = shown[:MAX_SERVICES]
    if not shown:
        return None
    figure, axes = new_axes(len(shown), [one.name for one in shown])
    for name in WINDOW_NAMES:
        marker, color = WINDOW_STYLES[name]
        rates = []
        rows = []
        for row, service in enumerate(shown):
            rate = service.windows[name].burn_rate
            if rate is not None:
                rates.append(rate)
                rows.append(row + window_offset(name))
        label = "objective's window" if name == OBJECTIVE_WINDOW else name
        axes.scatter(rates, rows, marker=marker, color=color, s=36, label=label)
    axes.axvline(1, color=GREY, linestyle="--")
    highest = max(rates_of(shown), default=LINEAR_BELOW)
    axes.set_xscale("symlog", linthresh=LINEAR_BELOW)
    axes.set_xlim(-0.05, max(highest, LINEAR_BELOW) * 1.5)
    for row in range(1, len(shown)):
        axes.axhline(row - 0.5, color="#dddddd", linewidth=0.8)
    axes.xaxis.set_major_formatter(lambda value, _: f"{value:g}")
    axes.set_xlabel("burn rate (at 1, dashed, the budget lasts exactly for its window)")
    legend_below(figure)
    texts = [burn_words(service) for service in shown]
    return Plot(figure, "Burn rates: " + "; ".join(texts) + ".")


def rates_of(services):
    """Return all known burn rates of some services."""
    rates = []
    for service in services:
        for figures in service.windows.values():
            if figures.burn_rate is not None:
                rates.append(figures.burn_rate)
    return rates


def window_offset(name):
    """Return the vertical offset that keeps the marks of one row apart."""
    middle = (len(WINDOW_NAMES) - 1) / 2
    return (WINDOW_NAMES.index(name) - middle) * 0.14


def burn_words(service):
    """Return a service's burn rates in words."""
    parts = []
    for name, figures in service.windows.items():
        label = window_label(name, service.objective)
        parts.append(f"{label} {rate_text(figures.burn_rate)}")
    return f"{service.name} {', '.join(parts)}"


def latency_plot(services):
    """Return the plot of latency percentiles, or None without any latency."""
    rows = []
    for service in services[:MAX_SERVICES]:
        for class_name, figures in service.classes.items():
            if figures.latency.percentiles_ms:
                rows.append((service, class_name, figures.latency.percentiles_ms))
    if not rows:
        return None
    labels = [f"{service.name} {class_name}" for service, class_name, _ in rows]
    figure, axes = new_axes(len(rows), labels)
    for name, (marker, color) in PERCENTILE_STYLES.items():
        values = [max(percentiles[name], 0.1) for _, _, percentiles in rows]
        axes.scatter(
            values, range(len(rows)), marker=marker, color=color, s=36, label=name
        )
    for row, (service, _, _) in enumerate(rows):
        axes.plot(
            [service.objective.latency_ms] * 2,
            [row - 0.35, row + 0.35],
            color="#000000",
            linewidth=2,
            label="objective" if row == 0 else None,
        )
    axes.set_xscale("log")
    axes.xaxis.set_major_formatter(lambda value, _: f"{value:g}")
    axes.set_xlabel("latency in ms")
    legend_below(figure)
    texts = []
    for label, (service, _, percentiles) in zip(labels, rows, strict=True):
        values = [f"{name} {value:.4g} ms" for name, value in percentiles.items()]
        limit = f"objective {service.objective.latency_ms} ms"
        texts.append(f"{label} {', '.join(values)}, {limit}")
    return Plot(figure, "Latencies: " + "; ".join(texts) + ".")


def spender_plot(services):
    """Return the plot of who spent the budget, or None if nobody did."""
    rows = []
    for service in services:
        for spender in service.spenders:
            spent = spender.counts.get(OBJECTIVE_WINDOW, 0)
            if spent:
                rows.append((spent, service.name, spender))
    rows.sort(key=lambda row: -row[0])
    rows = rows[:MAX_SPENDERS]
    if not rows:
        return None
    labels = [f"{service}: {spender_text(spender)}" for _, service, spender in rows]
    figure, axes = new_axes(len(rows), labels)
    seen = set()
    for row, (spent, _, spender) in enumerate(rows):
        color, hatch = KIND_STYLES[spender.kind]
        label = None if spender.kind in seen else str(spender.kind)
        seen.add(spender.kind)
        axes.barh(
            row,
            spent,
            color=color,
            hatch=hatch,
            edgecolor="#ffffff",
            height=0.6,
            label=label,
        )
        axes.annotate(
            str(spent),
            (spent, row),
            xytext=(4, 0),
            textcoords="offset points",
            va="center",
        )
    axes.margins(x=0.12)
    axes.set_xlim(left=0)
    axes.set_xlabel("bad requests in the objective's window")
    legend_below(figure)
    texts = [f"{label} {row[0]}" for label, row in zip(labels, rows, strict=True)]
    return Plot(figure, "Bad requests by spender: " + "; ".join(texts) + ".")


def legend_below(figure):
    """Put the legend under the plot, where it hides no mark."""
    figure.legend(loc="outside lower center", ncols=6, frameon=False)
