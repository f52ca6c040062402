"""The burn report as text."""

from datetime import UTC, datetime

from ..operator.windows import OBJECTIVE_WINDOW

PART_NOTE = (
    "A host's part counts since its own start. When a host is replaced, its part is"
    " lost with it, so these figures cover the time shown per host and no more."
)
MAX_TEXT_SPENDERS = 10
DAY_S = 86_400
HOUR_S = 3600


def report_lines(report):
    """Return the report as lines of text.

    Parameters
    ----------
    report : FleetReport
    """
    lines = [f"Burn report of {time_text(report.generated_unix_s)}", ""]
    lines += host_lines(report)
    for service in report.services:
        lines += ["", *service_lines(service)]
    lines += ["", "Incidents, oldest first:"]
    if not report.incidents:
        lines.append("  none")
    for incident in report.incidents:
        lines.append(f"  {incident_text(incident)}")
    return lines


def host_lines(report):
    """Return what is known of the hosts that were asked."""
    lines = [answered_text(report), PART_NOTE]
    for host in report.hosts:
        if host.error is not None:
            lines.append(f"  {host_name(host)}: no part, {host.error}")
            continue
        span = span_text(report.generated_unix_s - host.since_unix_s)
        line = (
            f"  {host_name(host)} in {host.failure_domain}: since"
            f" {time_text(host.since_unix_s)} ({span}), revision {host.revision}"
        )
        if host.incidents_dropped:
            line += f", {host.incidents_dropped} older incidents not kept"
        lines.append(line)
    return lines


def service_lines(service):
    """Return one service's figures."""
    lines = [
        f"{service.name}: objective {objective_text(service.objective)}",
        f"  error budget left: {budget_text(service.budget)}",
        f"  {'window':<10}{'good':>12}{'bad':>10}{'burn rate':>12}",
    ]
    for name, figures in service.windows.items():
        rate = rate_text(figures.burn_rate)
        label = window_label(name, service.objective)
        lines.append(f"  {label:<10}{figures.good:>12}{figures.bad:>10}{rate:>12}")
    for class_name, figures in service.classes.items():
        lines.append(f"  {class_name} latency: {latency_text(figures.latency)}")
        if figures.excluded:
            lines.append(
                f"  {class_name} not counted: {figures.excluded}"
                " (the caller left or made a mistake)"
            )
    if service.spenders:
        lines.append("  budget spent by:")
    for row in service.spenders[:MAX_TEXT_SPENDERS]:
        spent = row.counts.get(OBJECTIVE_WINDOW, 0)
        lines.append(f"    {spender_text(row)}: {spent} ({percent(row.share)})")
    for domain, spent in sorted(service.failure_domains.items()):
        lines.append(f"    all targets in {domain}: {spent}")
    return lines


def answered_text(report):
    """Return how many hosts answered."""
    silent = len(report.silent_hosts())
    return f"{len(report.hosts) - silent} of {len(report.hosts)} hosts answered."


def host_name(host):
    """Return a host's id, or its address when that is all that is known."""
    return f"{host.host_id} ({host.address})" if host.host_id else host.address


def objective_text(objective):
    """Return an objective in words."""
    return (
        f"{objective.success_share * 100:g} % within {objective.latency_ms} ms"
        f" over {objective.window_days} days"
    )


def left_text(budget):
    """Return the budget left; of an overspent one, how many times it was spent."""
    if budget.left_share is None:
        return "no requests yet"
    if budget.left_share >= 0:
        return percent(budget.left_share)
    return f"none, spent {1 - budget.left_share:.1f} times"


def budget_text(budget):
    """Return the budget left and what it is computed from."""
    if budget.left_share is None:
        return "unknown, no requests yet"
    return (
        f"{left_text(budget)} ({budget.bad} bad of {budget.allowed_bad:.1f}"
        f" allowed in {budget.requests} requests; known:"
        f" {span_text(budget.known_s)} of {budget.window_days} days)"
    )


def window_label(name, objective):
    """Return the heading of a window."""
    return f"{objective.window_days}d" if name == OBJECTIVE_WINDOW else name


def latency_text(latency):
    """Return the percentiles of a class."""
    if not latency.percentiles_ms:
        return "none yet"
    parts = []
    for name, value_ms in latency.percentiles_ms.items():
        parts.append(f"{name} {value_ms:.4g} ms")
    since = time_text(latency.since_unix_s)
    return f"{', '.join(parts)} ({latency.requests} requests since {since})"


def spender_text(row):
    """Return who spent and how, in words."""
    if row.kind == "fleet":
        return f"fleet, {row.cause}"
    place = f" in {row.failure_domain}" if row.failure_domain else ""
    return f"{row.kind} {row.name}{place}, {row.cause}"


def incident_text(incident):
    """Return one incident as a line."""
    place = f"{incident.host_id} in {incident.failure_domain}"
    what = " ".join(part for part in (incident.service, incident.subject) if part)
    line = f"{time_text(incident.at_unix_s)} {place}: "
    line += f"{what}: {incident.decision}" if what else incident.decision
    if incident.reason:
        line += f"; {incident.reason}"
    if incident.count > 1:
        line += f" ({incident.count} times until {time_text(incident.last_unix_s)})"
    return line


def rate_text(rate):
    """Return a burn rate; without requests there is none."""
    return "-" if rate is None else f"{rate:.2f}"


def percent(share):
    """Return a share as a percentage."""
    return f"{share * 100:.1f} %"


def time_text(unix_s):
    """Return a time in UTC to the second."""
    moment = datetime.fromtimestamp(unix_s, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


def span_text(seconds):
    """Return a length of time in its natural unit."""
    if seconds >= DAY_S:
        return f"{seconds / DAY_S:.1f} days"
    if seconds >= HOUR_S:
        return f"{seconds / HOUR_S:.1f} h"
    return f"{seconds / 60:.1f} min"
