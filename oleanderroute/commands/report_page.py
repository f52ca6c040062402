"""The burn report as one HTML page without external resources."""

from html import escape

from ..operator.fleetreport import WINDOW_NAMES
from ..operator.windows import OBJECTIVE_WINDOW
from .report_plots import budget_plot, burn_plot, latency_plot, spender_plot
from .report_text import (
    PART_NOTE,
    answered_text,
    host_name,
    left_text,
    objective_text,
    percent,
    rate_text,
    span_text,
    spender_text,
    time_text,
    window_label,
)

STYLE = """
body { font: 16px/1.5 sans-serif; color: #1a1a1a; background: #ffffff;
  max-width: 72rem; margin: 0 auto; padding: 1rem; }
img { max-width: 100%; height: auto; }
.wide { overflow-x: auto; }
table { border-collapse: collapse; margin: 0.5rem 0 1.5rem; }
caption { text-align: left; font-weight: bold; padding: 0.25rem 0; }
th, td { border: 1px solid #8a8a8a; padding: 0.25rem 0.6rem; text-align: left;
  vertical-align: top; }
th { background: #f0f0f0; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.warning { border-left: 0.4rem solid #D55E00; padding-left: 0.6rem; }
"""
BURN_NOTE = (
    "Burn rate = share of bad requests / (1 - objective). At 1 the budget lasts"
    " exactly for the objective's window; at 14.4 a thirty-day budget is gone in two"
    " days."
)


def report_page(report):
    """Return the page as text.

    Parameters
    ----------
    report : FleetReport
    """
    title = f"Burn report of {time_text(report.generated_unix_s)}"
    parts = [
        "<!doctype html>",
        '<html lang="en">',
        "<head>",
        '<meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width, initial-scale=1">',
        f"<title>{escape(title)}</title>",
        f"<style>{STYLE}</style>",
        "</head>",
        "<body>",
        "<main>",
        f"<h1>{escape(title)}</h1>",
        *summary(report),
        *budget_section(report),
        *burn_section(report),
        *latency_section(report),
        *spender_section(report),
        *incident_section(report),
        *host_section(report),
        "</main>",
        "</body>",
        "</html>",
        "",
    ]
    return "\n".join(parts)


def summary(report):
    """Return what a reader must know before any figure."""
    parts = [f"<p>{escape(answered_text(report))} {escape(PART_NOTE)}</p>"]
    silent = [host_name(host) for host in report.silent_hosts()]
    if silent:
        names = escape(", ".join(silent))
        parts.append(f'<p class="warning">Not in these figures: {names}.</p>')
    overspent = []
    for service in report.services:
        left = service.budget.left_share
        if left is not None and left <= 0:
            overspent.append(service.name)
    if overspent:
        names = escape(", ".join(overspent))
        parts.append(f'<p class="warning">Error budget used up: {names}.</p>')
    return parts


def budget_section(report):
    """Return the section on error budget left."""
    rows = []
    for service in report.services:
        budget = service.budget
        rows.append(
            [
                service.name,
                objective_text(service.objective),
                left_text(budget),
                str(budget.requests),
                str(budget.bad),
                f"{budget.allowed_bad:.1f}",
                f"{span_text(budget.known_s)} of {budget.window_days} days",
            ]
        )
    heads = ["service", "objective", "left", "requests", "bad", "allowed bad", "known"]
    return [
        "<h2>Error budget left</h2>",
        *image(budget_plot(report.services)),
        *table("Error budget over the objective's window", heads, rows, {2, 3, 4, 5}),
    ]


def burn_section(report):
    """Return the section on burn rates."""
    rows = []
    for service in report.services:
        for name in WINDOW_NAMES:
            figures = service.windows[name]
            rows.append(
                [
                    service.name,
                    window_label(name, service.objective),
                    str(figures.good),
                    str(figures.bad),
                    rate_text(figures.burn_rate),
                ]
            )
    heads = ["service", "window", "good", "bad", "burn rate"]
    return [
        "<h2>Burn rates</h2>",
        f"<p>{escape(BURN_NOTE)}</p>",
        *image(burn_plot(report.services)),
        *table("Requests and burn rates by window", heads, rows, {2, 3, 4}),
    ]


def latency_section(report):
    """Return the section on latencies."""
    rows = []
    for service in report.services:
        for class_name, figures in service.classes.items():
            latency = figures.latency
            if not latency.percentiles_ms:
                continue
            values = [f"{value:.4g}" for value in latency.percentiles_ms.values()]
            rows.append(
                [
                    service.name,
                    class_name,
                    *values,
                    str(service.objective.latency_ms),
                    str(latency.requests),
                    time_text(latency.since_unix_s),
                ]
            )
    heads = ["service", "class", "p50", "p90", "p99", "p99.9", "objective"]
    heads += ["requests", "since"]
    return [
        "<h2>Latencies</h2>",
        "<p>From a request's first byte to the end of its answer. Requests that the"
        " fleet refused without running them are left out.</p>",
        *image(latency_plot(report.services)),
        *table("Latency percentiles in ms", heads, rows, {2, 3, 4, 5, 6, 7}),
    ]


def spender_section(report):
    """Return the section on who spent the budget."""
    rows = []
    domain_rows = []
    for service in report.services:
        for row in service.spenders:
            spent = str(row.counts.get(OBJECTIVE_WINDOW, 0))
            last_hour = str(row.counts.get("1h", 0))
            share = percent(row.share)
            rows.append([service.name, spender_text(row), spent, share, last_hour])
        for domain, spent in sorted(service.failure_domains.items()):
            domain_rows.append([service.name, domain, str(spent)])
    heads = ["service", "spender", "bad", "share", "last hour"]
    domain_heads = ["service", "failure domain", "bad"]
    return [
        "<h2>Who spent the budget</h2>",
        *image(spender_plot(report.services)),
        *table("Bad requests by spender", heads, rows, {2, 3, 4}),
        *table("Bad requests by the target's domain", domain_heads, domain_rows, {2}),
    ]


def incident_section(report):
    """Return the section on incidents."""
    rows = []
    for incident in report.incidents:
        when = time_text(incident.at_unix_s)
        if incident.count > 1:
            when += f", {incident.count} times until {time_text(incident.last_unix_s)}"
        rows.append(
            [
                when,
                f"{incident.host_id} in {incident.failure_domain}",
                incident.kind,
                incident.service,
                incident.subject,
                incident.decision,
                incident.reason,
            ]
        )
    heads = ["time", "seen by", "kind", "service", "subject", "decision", "reason"]
    return [
        "<h2>Incidents</h2>",
        *table("Incidents, oldest first", heads, rows, set()),
    ]


def host_section(report):
    """Return the section on the hosts that were asked."""
    rows = []
    for host in report.hosts:
        since = "no part"
        if host.since_unix_s is not None:
            since = time_text(host.since_unix_s)
        revision = "" if host.revision is None else str(host.revision)
        note = host.error or ""
        if host.incidents_dropped:
            note = f"{host.incidents_dropped} older incidents not kept"
        rows.append([host_name(host), host.failure_domain, since, revision, note])
    heads = ["host", "failure domain", "counts since", "revision", "note"]
    return ["<h2>Hosts</h2>", *table("Hosts that were asked", heads, rows, {3})]


def image(plot):
    """Return an image with its description, or nothing without a plot."""
    if plot is None:
        return ["<p>No requests yet.</p>"]
    description = escape(plot.description, quote=True)
    return [f'<p><img src="{plot.data_url()}" alt="{description}"></p>']


def table(caption, heads, rows, numbers):
    """Return a table.

    Parameters
    ----------
    caption : str
    heads : list of str
    rows : list of list of str
    numbers : set of int
        Columns that hold numbers.
    """
    if not rows:
        return [f"<p>{escape(caption)}: none.</p>"]
    lines = ['<div class="wide"><table>', f"<caption>{escape(caption)}</caption>"]
    cells = "".join(f'<th scope="col">{escape(head)}</th>' for head in heads)
    lines.append(f"<thead><tr>{cells}</tr></thead>")
    lines.append("<tbody>")
    for row in rows:
        lines.append(f"<tr>{row_cells(row, numbers)}</tr>")
    lines.append("</tbody></table></div>")
    return lines


def row_cells(row, numbers):
    """Return the cells of one row; the first one names it."""
    cells = [f'<th scope="row">{escape(row[0])}</th>']
    for column, text in enumerate(row[1:], start=1):
        kind = ' class="number"' if column in numbers else ""
        cells.append(f"<td{kind}>{escape(text)}</td>")
    return "".join(cells)
