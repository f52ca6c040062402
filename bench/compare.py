"""Measures the fleet against the naive relays: same targets, loads and seeds.

    python -m bench.compare [--seed N] [--measure NAME]...
    python -m bench.compare --without NAME

Progress goes to standard error; the last line of standard output is JSON. With
``--without`` the daemons are measured with and without one mechanism.
"""

import argparse
import json
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager

from .ablated_daemon import ABLATIONS
from .added_latency import tune_garbage_collector
from .compare_fleet import ComparedFleet
from .compare_measures import (
    measure_added,
    measure_crest,
    measure_detection,
    measure_noise,
    measure_orders,
    measure_uploads,
    start_noise,
)
from .compare_plans import Plans

MEASURES = ("added", "noise", "uploads", "crest", "detection", "orders")
# The order matters: orders kill an entry, and detection leaves targets on probation,
# whose relapse would count as a false ejection.
PARTS = (("noise", "uploads"), ("crest",), ("detection",), ("orders",))
LOAD_BOUND = 5.0
LOAD_WAIT_S = 180.0
LOAD_POLL_S = 5.0


def say(text):
    """Print one line of progress."""
    print(text, file=sys.stderr, flush=True)


def wait_for_quiet(limit_s):
    """Wait until other work on the machine is small, for ``limit_s`` at most."""
    deadline = time.monotonic() + limit_s
    while os.getloadavg()[0] > LOAD_BOUND and time.monotonic() < deadline:
        say(f"load average {os.getloadavg()[0]:.1f}; waiting for a quieter moment")
        time.sleep(LOAD_POLL_S)
    say(f"load averages {os.getloadavg()}, {os.cpu_count()} cores")


class Comparison:
    """Runs measures on all versions of one fleet.

    Parameters
    ----------
    fleet : ComparedFleet
    plans : Plans
    seed : int

    Attributes
    ----------
    figures : dict
        Version name to its figures.
    """

    def __init__(self, fleet, plans, seed):
        self.fleet = fleet
        self.plans = plans
        self.seed = seed
        self.versions = fleet.versions()
        self.figures = {version.name: {} for version in self.versions}

    def run(self, measures):
        """Run the measures in their order, and each on all versions in turn."""
        if "added" in measures:
            self.run_added()
        for parts in PARTS:
            wanted = [name for name in parts if name in measures]
            for version in self.versions:
                self.fleet.reset()
                self.run_together(wanted, version)
        return self.figures

    def run_together(self, names, version):
        """Run measures that use different services at the same time."""
        with ExitStack() as stack:
            for name in names:
                if name == "noise":
                    stack.enter_context(self.noise_beside(version))
                    continue
                getattr(self, f"run_{name}")(version)

    @contextmanager
    def noise_beside(self, version):
        """Count false ejections while the context is open."""
        plan = self.plans.noise
        load = start_noise(self.fleet, version, plan, self.seed)
        with ThreadPoolExecutor(1) as executor:
            running = executor.submit(measure_noise, self.fleet, version, plan, load)
            yield
            self.note(version, "false_ejections", running.result(), 1)

    def note(self, version, name, result, digits):
        """Keep a figure and print it with its details and the load."""
        figure = round(result.figure, digits)
        self.figures[version.name][name] = figure
        load = f"load {os.getloadavg()[0]:.1f}"
        details = json.dumps(result.details)
        say(f"  {version.name} {name} {figure} ({load}) {details}")

    def run_added(self):
        """Measure the added time of all versions together."""
        tune_garbage_collector()
        found = measure_added(self.fleet, self.versions, self.plans.added)
        for version in self.versions:
            p50, p99 = found[version.name]
            self.note(version, "added_p50_ms", p50, 3)
            self.note(version, "added_p99_ms", p99, 3)

    def run_uploads(self, version):
        """Measure quick lookups beside uploads."""
        result = measure_uploads(self.fleet, version, self.plans.uploads, self.seed)
        self.note(version, "quick_p99_ms_beside_uploads", result, 1)

    def run_crest(self, version):
        """Measure the service during a swing of demand."""
        result = measure_crest(self.fleet, version, self.plans.crest, self.seed)
        self.note(version, "crest_served_share", result, 4)

    def run_detection(self, version):
        """Measure how long gray targets get new work."""
        result = measure_detection(self.fleet, version, self.plans.detection, self.seed)
        self.note(version, "detection_s", result, 2)

    def run_orders(self, version):
        """Count second runs of orders."""
        result = measure_orders(self.fleet, version, self.plans.orders, self.seed)
        self.note(version, "duplicates", result, 0)


def measure_fleet(options, measures, ablation=None, with_naive=True):
    """Start a fleet, measure it and return the figures by version."""
    began = time.monotonic()
    with ExitStack() as stack:
        fleet = ComparedFleet(stack, ablation)
        fleet.start()
        if with_naive:
            fleet.start_relays()
        say(f"fleet started in {time.monotonic() - began:.1f} s")
        figures = Comparison(fleet, Plans(), options.seed).run(measures)
    say(f"measured in {time.monotonic() - began:.1f} s")
    return figures


def compare_ablation(options):
    """Return the figures of the daemons with and without one mechanism."""
    name = options.without
    measures = options.measure or ABLATIONS[name].measures
    figures = {}
    for label, ablation in (("product", None), (f"without {name}", name)):
        say(label)
        found = measure_fleet(options, measures, ablation, with_naive=False)
        figures[label] = found["product"]
    return figures


def main():
    """Measure and print one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--measure", choices=MEASURES, action="append")
    parser.add_argument("--load-wait-s", type=float, default=LOAD_WAIT_S)
    parser.add_argument("--without", choices=sorted(ABLATIONS))
    options = parser.parse_args()
    wait_for_quiet(options.load_wait_s)
    if options.without is not None:
        figures = compare_ablation(options)
    else:
        figures = measure_fleet(options, options.measure or MEASURES)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
