"""The measures of the comparison, each for one version of the fleet."""

import random
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field

import uvloop

from features.support.processes import load_report

from .added_latency import alternate, compare
from .compare_fleet import wait_until
from .compare_plans import (
    crest_document,
    detection_document,
    noise_document,
    order_document,
    upload_document,
)

PATHS = {"pedidos": "/stock/{id}", "emprestimo": "/availability/{id}"}
# One fault of each mode on each service; the services differ in the order.
MODES = {
    "pedidos": ("half", "all", "slow"),
    "emprestimo": ("slow", "half", "all"),
}
# Uploads run beside the noise, on the other service.
NOISY_SERVICE = "emprestimo"
SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class Detection:
    """How long one gray target still got new work.

    Attributes
    ----------
    seconds : float
        Time from the fault to the last run before the first gap; the length of the
        window if there was no gap.
    """

    service: str
    mode: str
    target_id: str
    seconds: float
    is_detected: bool


@dataclass(slots=True)
class Result:
    """What one measure gave: its figure, and details for the progress output."""

    figure: float
    details: dict = field(default_factory=dict)


def gray_switches(mode, plan):
    """Return the target's switches of a gray mode."""
    if mode == "half":
        return {"fail_share": 0.5, "fail_only_real": True}
    if mode == "all":
        return {"fail_share": 1.0, "fail_only_real": True}
    return {"slow_for": {"factor": plan.slow_factor}, "fail_only_real": True}


def first_gap(starts, since, until, gap_s):
    """Return the start of the first stretch without runs, or None.

    Parameters
    ----------
    starts : list of float
        Unix times of new runs on the target.
    since, until : float
        The window that is looked at.
    """
    last = since
    for start in sorted(starts):
        if not since <= start <= until:
            continue
        if start - last >= gap_s:
            return last
        last = start
    return last if until - last >= gap_s else None


def measure_detection(fleet, version, plan, seed):
    """Return the median time until a gray target gets no new work."""
    rng = random.Random(seed)
    loads = []
    targets = {}
    for service, path in PATHS.items():
        targets[service] = rng.sample(fleet.targets_of(service), plan.rounds)
        loads.append(
            fleet.group.load(detection_document(plan, version, path, seed)).wait_ready()
        )
    begin = time.time()
    found = []
    for number in range(plan.rounds):
        wait_until(begin + plan.warm_s + number * plan.window_s)
        found += run_faults(fleet, plan, targets, number)
    reports = [load_report(load) for load in loads]
    details = {"send_lag_p99_ms": [send_lag(report) for report in reports]}
    # Shows that ejections are found in the logs, so that none elsewhere means none.
    for service in PATHS:
        details[f"{service} ejections"] = version.ejections(service, begin, time.time())
    for one in found:
        shown = round(one.seconds, 2) if one.is_detected else "not detected"
        details[f"{one.service} {one.mode} {one.target_id}"] = shown
    return Result(statistics.median(one.seconds for one in found), details)


def run_faults(fleet, plan, targets, number):
    """Make one target of each service gray for most of a window."""
    faults = []
    for service, names in targets.items():
        mode = MODES[service][number % len(MODES[service])]
        target_id = names[number]
        fleet.control_target(target_id, **gray_switches(mode, plan))
        faults.append((service, mode, target_id, time.time()))
    # The rest of the window lets the target be well before the next one is sick.
    until = time.time() + plan.window_s - 1.0
    wait_until(until)
    found = []
    for service, mode, target_id, since in faults:
        starts = [row["started"] for row in fleet.ledger(target_id)]
        gap_at = first_gap(starts, since, until, plan.gap_s)
        fleet.control_target(target_id, reset=True)
        seconds = until - since if gap_at is None else gap_at - since
        found.append(Detection(service, mode, target_id, seconds, gap_at is not None))
    return found


def start_noise(fleet, version, plan, seed):
    """Make the targets noisy and start the load on them; returns the load."""
    fleet.control_all(fleet.targets_of(NOISY_SERVICE), **healthy_but_noisy(plan))
    document = noise_document(plan, version, PATHS[NOISY_SERVICE], seed)
    return fleet.group.load(document).wait_ready()


def healthy_but_noisy(plan):
    """Return the target's switches between two hiccups."""
    return {"reset": True, "fail_share": plan.error_share}


def measure_noise(fleet, version, plan, load):
    """Return the false ejections of a host-hour on healthy, noisy targets."""
    names = fleet.targets_of(NOISY_SERVICE)
    begin = time.time()
    for at_s, kind in plan.hiccups:
        wait_until(begin + at_s)
        switches = {"fail_share": plan.hiccup_fail_share}
        if kind == "slow":
            switches = {"slow_for": {"factor": plan.hiccup_slow_factor}}
        fleet.control_all(names, **switches)
        wait_until(begin + at_s + plan.hiccup_s)
        fleet.control_all(names, **healthy_but_noisy(plan))
    report = load_report(load)
    until = time.time()
    count = version.ejections(NOISY_SERVICE, begin, until)
    host_hours = len(fleet.hosts) * (until - begin) / SECONDS_PER_HOUR
    details = {
        "ejections": count,
        "reasons": version.ejection_reasons(NOISY_SERVICE, begin, until),
        "host_hours": round(host_hours, 4),
        "share_in_time": round(report["total"]["all"]["share_in_time"], 4),
        "send_lag_p99_ms": send_lag(report),
    }
    return Result(count / host_hours, details)


def measure_uploads(fleet, version, plan, seed):
    """Return the median p99 of quick lookups beside uploads, in milliseconds.

    A lookup without a good answer counts with its whole deadline.
    """
    figures = []
    details = {"lookups_in_time": [], "uploads_in_time": [], "send_lag_p99_ms": []}
    for number in range(plan.repetitions):
        load = fleet.group.load(upload_document(plan, version, seed + number))
        report = load_report(load)
        kinds = report["total"]["kinds"]
        uploads = [kinds[name] for name in kinds if name.startswith("upload")]
        in_time = sum(kind["answered_in_time"] for kind in uploads)
        figures.append(kinds["lookup"]["latency_censored_ms"]["p99"])
        details["lookups_in_time"].append(round(kinds["lookup"]["share_in_time"], 4))
        details["uploads_in_time"].append(
            f"{in_time}/{sum(kind['requests'] for kind in uploads)}"
        )
        details["send_lag_p99_ms"].append(send_lag(report))
    details["p99_ms"] = figures
    return Result(statistics.median(figures), details)


def measure_crest(fleet, version, plan, seed):
    """Return the median share of requests served in time during a swing."""
    figures = []
    details = {"kinds": [], "attempts": [], "reasons": [], "send_lag_p99_ms": []}
    for number in range(plan.repetitions):
        load = fleet.group.load(crest_document(plan, version, seed + number))
        report = load_report(load)
        total = report["total"]
        figures.append(total["all"]["share_in_time"])
        kinds = {}
        for name, kind in total["kinds"].items():
            kinds[name] = round(kind["share_in_time"], 3)
        details["kinds"].append(kinds)
        details["attempts"].append(
            f"{total['all']['attempts']}/{total['all']['requests']}"
        )
        details["reasons"].append(total["all"]["reasons"])
        details["send_lag_p99_ms"].append(send_lag(report))
    details["shares"] = [round(figure, 4) for figure in figures]
    return Result(statistics.median(figures), details)


def measure_orders(fleet, version, plan, seed, service="emprestimo"):
    """Return the runs beyond the first of orders that may run once."""
    rng = random.Random(seed)
    count = plan.broken_targets + plan.frozen_targets
    sick = rng.sample(fleet.targets_of(service), count)
    fleet.control_all(sick[: plan.broken_targets], break_midway=plan.break_share)
    fleet.control_all(sick[plan.broken_targets :], freeze_answers=True)
    document = order_document(plan, version, seed)
    document["run_id"] = f"orders-{version.name}-{seed}"
    load = fleet.group.load(document).wait_ready()
    time.sleep(plan.kill_after_s)
    version.kill_entry()
    report = load_report(load)
    runs = Counter()
    for target_id in fleet.targets_of(service):
        for row in fleet.ledger(target_id):
            if row["load_id"].startswith(f"{document['run_id']}-"):
                runs[row["load_id"]] += 1
    fleet.reset()
    all_orders = report["total"]["all"]
    details = {
        "orders": all_orders["requests"],
        "orders_run": len(runs),
        "attempts": all_orders["attempts"],
        "outcomes": all_orders["outcomes"],
        "in_time": round(all_orders["share_in_time"], 4),
        "send_lag_p99_ms": send_lag(report),
    }
    return Result(sum(runs.values()) - len(runs), details)


def measure_added(fleet, versions, plan):
    """Return the added milliseconds at p50 and p99 of each version.

    All versions are measured in one run, so that noise falls on all alike.
    """
    ports = [fleet.targets["plain-01"].port]
    ports += [version.port() for version in versions]
    interval_s = 1 / (plan.rate * len(ports))
    p50 = {version.name: [] for version in versions}
    p99 = {version.name: [] for version in versions}
    for _ in range(plan.repetitions):
        samples = uvloop.run(alternate(ports, plan.duration_s, interval_s))
        for version, relayed in zip(versions, samples[1:], strict=True):
            comparison = compare(samples[0], relayed)
            p50[version.name].append(comparison.added_p50_ms)
            p99[version.name].append(comparison.added_p99_ms)
    found = {}
    for version in versions:
        found[version.name] = (
            Result(statistics.median(p50[version.name]), {"p50_ms": p50[version.name]}),
            Result(statistics.median(p99[version.name]), {"p99_ms": p99[version.name]}),
        )
    return found


def send_lag(report):
    """Return how late the load command sent at p99, in milliseconds."""
    return round(report["total"]["all"]["send_lag_ms"].get("p99", 0.0), 1)
