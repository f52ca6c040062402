"""Runs the behave suite and ends with a plain closing line.

behave prints no closing line of the form ``N passed, N failed``. This module
counts scenarios through a formatter and prints that line last. Scenarios that
KNOWN-RED.txt names may fail without failing the run; they are printed.
"""

import sys
from pathlib import Path

from behave.__main__ import run_behave
from behave.configuration import Configuration
from behave.formatter.base import Formatter
from behave.model_type import Status

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PASSED_STATES = {Status.passed}
SKIPPED_STATES = {Status.skipped, Status.untested}


class CountingFormatter(Formatter):
    """Collects the scenarios of a run, so that they can be counted at its end."""

    name = "counting"
    description = "Counts scenarios"
    scenarios = []

    def scenario(self, scenario):
        CountingFormatter.scenarios.append(scenario)


def known_red_tests():
    """Return the scenario names that KNOWN-RED.txt lists (``test: NAME`` lines)."""
    names = set()
    if not KNOWN_RED_FILE.exists():
        return names
    for line in KNOWN_RED_FILE.read_text().splitlines():
        if not line.startswith("test:"):
            continue
        names.add(line.removeprefix("test:").strip())
    return names


def main(arguments):
    """Run behave and return the exit code of the suite."""
    config = Configuration(
        ["--no-capture", "--format", "progress", *arguments, str(ROOT / "features")]
        if not any(argument.startswith("features/") for argument in arguments)
        else ["--no-capture", "--format", "progress", *arguments]
    )
    config.more_formatters = {"counting": "features.run:CountingFormatter"}
    config.format = [*(config.format or []), "features.run:CountingFormatter"]
    behave_code = run_behave(config)
    return summarize(CountingFormatter.scenarios, known_red_tests(), behave_code)


def summarize(scenarios, known_red, behave_code):
    """Print the closing line and return the exit code.

    Parameters
    ----------
    scenarios : list of behave.model.Scenario
    known_red : set of str
    behave_code : int
        The exit code of behave; without any failed scenario, a non-zero code
        means a broken hook or step module.
    """
    passed = failed = skipped = expected_red = 0
    for scenario in scenarios:
        if scenario.status in PASSED_STATES:
            passed += 1
            continue
        if scenario.status in SKIPPED_STATES:
            skipped += 1
            continue
        if scenario.name.strip() in known_red:
            expected_red += 1
            print(f"known red: {scenario.name}")
            continue
        failed += 1
        print(f"failed: {scenario.name} ({scenario.location})")
        print_errors(scenario)
    if behave_code != 0 and failed == 0 and expected_red == 0:
        print("behave failed outside the scenarios")
        failed += 1
    if passed == 0:
        print("no scenario was executed")
        failed += 1
    print(f"{passed} passed, {failed} failed, {skipped + expected_red} skipped")
    return 1 if failed else 0


def print_errors(scenario):
    """Print why the steps of a failed scenario failed."""
    for step in scenario.all_steps:
        if step.error_message:
            print(f"  {step.name}: {step.error_message}")


if __name__ == "__main__":
    # behave resolves the formatter by module name, which must be this module.
    from features.run import main as run_main

    sys.exit(run_main(sys.argv[1:]))
