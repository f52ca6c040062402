"""Measures the slopes of docs/CAPACITY.md and works out the full size from them.

Run ``python -m bench.slopes [--page docs/CAPACITY.md] [--quick]``. It prints the
tables and, last, one JSON line. ``--page`` also replaces the measured part of the
page. ``--quick`` leaves out the small fleets and takes the full-size run only.
"""

import argparse
import json
import os
import sys
import time
from dataclasses import asdict
from pathlib import Path

from .capacity_lines import capacity_lines, list_ms
from .capacity_model import Costs, Fleet, entry_load, full_fleet, poll_load
from .capacity_situations import situations
from .slopes_daemon import full_size_run, small_fleet, store_calls
from .slopes_decisions import decision_slopes
from .slopes_exchange import exchange_slopes
from .slopes_memory import memory_slopes
from .slopes_messages import message_slopes

BEGIN = "<!-- measured part: python -m bench.slopes --page docs/CAPACITY.md -->"
END = "<!-- end of the measured part -->"
STORE_FLEETS = (3, 6, 9)


def note(text):
    """Print progress to standard error."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def measure_slopes():
    """Return all slopes."""
    found = []
    for name, measure in (
        ("memory", memory_slopes),
        ("messages", message_slopes),
        ("decisions", decision_slopes),
        ("exchanges", exchange_slopes),
    ):
        note(name)
        found += measure()
    return found


def table(titles, rows):
    """Return a Markdown table."""
    lines = ["| " + " | ".join(titles) + " |", "|" + "---|" * len(titles)]
    for row in rows:
        lines.append("| " + " | ".join(str(cell) for cell in row) + " |")
    return lines


def figure(value):
    """Return a figure with three significant digits."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def slope_rows(slopes):
    """Return the rows of the slopes' table."""
    rows = []
    for one in slopes:
        sizes = ", ".join(str(size) for size in one.sizes) or "3 runs"
        base = figure(one.base) if one.sizes else ""
        rows.append(
            (one.name, figure(one.value), figure(one.spread), one.unit, base, sizes)
        )
    return rows


def line_rows(lines):
    """Return the rows of the table of lines."""
    rows = []
    for one in lines:
        verdict = f"{one.margin:.2g}x" if one.fits else "**does not fit**"
        rows.append(
            (
                one.role,
                one.what,
                one.mechanism,
                one.slopes,
                f"{figure(one.figure)} {one.unit}",
                f"{figure(one.bound)} {one.unit}",
                verdict,
                one.note,
            )
        )
    return rows


def predict(fleet_run, costs):
    """Return the predicted bytes per second and host of a small fleet."""
    hosts = [f"host-{n}" for n in range(fleet_run.hosts)]
    by_domain = {name: hosts[n::3] for n, name in enumerate("abc")}
    fleet = Fleet(
        by_domain,
        1,
        fleet_run.targets,
        fleet_run.rate / fleet_run.hosts,
        fleet_run.targets,
        changes_per_day=0.0,
        host_lists_per_day=0.0,
    )
    reports = entry_load(fleet, costs)
    polls = poll_load(fleet, costs)
    return {
        "outcome_report": round(reports.sent, 1),
        "verdict_delta": round(reports.received, 1),
        "manifest_request": round(polls.sent, 1),
        "manifest_reply": round(polls.received, 1),
    }


def fleet_rows(fleet_run, predicted):
    """Return the rows that compare a small fleet with its prediction."""
    rows = []
    for kind, expected in predicted.items():
        seen = fleet_run.by_kind.get(kind, 0.0)
        rows.append((kind, seen, expected, f"{(seen / expected - 1):+.0%}"))
    total = sum(predicted.values())
    seen = fleet_run.sent_bytes_per_s
    rows.append(("all kinds", figure(seen), figure(total), f"{seen / total - 1:+.0%}"))
    return rows


def store_rows(runs):
    """Return the rows of the store's calls."""
    rows = []
    for run in runs:
        for phase in ("idle", "changes"):
            calls = ", ".join(f"{name} {rate}" for name, rate in run[phase].items())
            rows.append((run["hosts"], phase, calls))
    return rows


def full_size_lines(run):
    """Return the text of the full-size run."""
    lines = [
        "",
        "One real daemon, a relay without requests, 860 hosts, 8,000 targets, 450 "
        "services, 1,800 routes, 51,000 workspaces:",
        "",
        f"- ready after {run.ready_s:.1f} s; resident {run.resident_mb:.1f} MB; idle "
        f"{run.idle_percent:.2f}% of a core; longest idle stall "
        f"{run.idle_stall_ms:.1f} ms; `oleanderctl apply` took {run.apply_s:.1f} s",
    ]
    for name, changes in (
        ("host list change", run.host_list),
        ("declaration change", run.declaration),
    ):
        costs = []
        for one in changes:
            costs.append(
                f"{one['processor_ms']:.0f} ms of processor time, longest stall "
                f"{one['stall_ms']:.1f} ms"
            )
        lines.append(f"- {name}: " + "; ".join(costs))
    return lines


def measured_part(result, started):
    """Return the lines of the measured part."""
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    lines = [
        f"Run of {time.strftime('%Y-%m-%d %H:%M')} UTC in "
        f"{time.monotonic() - started:.0f} s, load average {load}, "
        f"{os.cpu_count()} processors.",
        "",
        "### Slopes",
        "",
        "Memory is of `tracemalloc` unless it says resident; times are processor time. "
        "The spread is half the range of the slopes between neighbouring sizes, or of "
        "three runs. The cost of n is base + n x slope.",
        "",
    ]
    titles = ("slope", "value", "spread", "unit", "base", "sizes")
    lines += table(titles, slope_rows(result.slopes))
    lines += ["", "### Full size, by role", ""]
    titles = ("role", "cost", "mechanism", "slopes", "full size", "bound", "margin")
    lines += table((*titles, "note"), line_rows(result.lines))
    lines += ["", "### Situations", ""]
    rows = [(one.name, one.figure) for one in result.situations]
    lines += table(("situation", "by formula"), rows)
    lines += ["", "### Full-size run"]
    lines += full_size_lines(result.full_size)
    if result.fleet_run is not None:
        lines += ["", "### Small fleet against the formulas", ""]
        run = result.fleet_run
        lines += [
            f"{run.hosts} daemons, {run.targets} targets, {run.rate:g} req/s together: "
            f"{run.processor_percent:.1f}% of a core and {run.resident_mb:.0f} MB a "
            f"host, {run.answered_share:.2%} answered.",
            "",
        ]
        titles = ("kind of message", "measured B/s a host", "predicted", "difference")
        lines += table(titles, fleet_rows(run, result.predicted))
        lines += ["", "### Store calls per second by cause", ""]
        titles = ("daemons", "phase", "calls/s")
        lines += table(titles, store_rows(result.store_calls))
    return lines


class Result:
    """Everything that one run measured and worked out."""

    def __init__(self, is_quick):
        note("full-size daemon")
        self.full_size = full_size_run()
        self.slopes = measure_slopes()
        self.costs = Costs(self.slopes)
        self.fleet_run = None
        self.predicted = {}
        self.store_calls = []
        if not is_quick:
            self.run_fleets()
        fleet = full_fleet()
        self.lines = capacity_lines(fleet, self.costs, self.full_size)
        cost_ms = list_ms(self.full_size)
        self.situations = situations(fleet, self.costs, cost_ms)

    def run_fleets(self):
        """Run the small fleets."""
        note("small fleet at work")
        self.fleet_run = small_fleet()
        self.predicted = predict(self.fleet_run, self.costs)
        for hosts in STORE_FLEETS:
            note(f"store calls of {hosts} daemons")
            self.store_calls.append(store_calls(hosts))

    def document(self):
        """Return the JSON value of the run."""
        return {
            "load_average": os.getloadavg(),
            "slopes": [asdict(one) for one in self.slopes],
            "lines": [{**asdict(one), "fits": one.fits} for one in self.lines],
            "full_size": asdict(self.full_size),
            "small_fleet": asdict(self.fleet_run) if self.fleet_run else None,
            "predicted": self.predicted,
            "store_calls": self.store_calls,
        }


def write_page(path, lines):
    """Replace the measured part of the page."""
    text = Path(path).read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    body = "\n".join(lines)
    Path(path).write_text(f"{head}{BEGIN}\n\n{body}\n\n{END}{tail}")


def main():
    """Run the measurements; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--page", help="Page whose measured part is replaced.")
    parser.add_argument("--quick", action="store_true", help="No small fleets.")
    options = parser.parse_args()
    started = time.monotonic()
    result = Result(options.quick)
    lines = measured_part(result, started)
    print("\n".join(lines))
    if options.page:
        write_page(options.page, lines)
    print(json.dumps(result.document()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
