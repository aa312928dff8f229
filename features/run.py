# run.py -- Runs scenarios and prints how many passed and failed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs scenarios and prints how many passed and failed.

Failures that KNOWN-RED.txt lists are printed and do not count as failed.
"""

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

from behave.configuration import Configuration
from behave.model import Scenario
from behave.runner import Runner

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_FAILURE_CHARS = 2_000


def main() -> int:
    """Run the features named on the command line, or all, and return the exit status."""
    arguments = sys.argv[1:] or ["features"]
    configuration = Configuration(["--format", "progress", "--no-capture", *arguments])
    runner = Runner(configuration)
    failed = runner.run()
    scenarios = [scenario for feature in runner.features for scenario in feature.walk_scenarios()]
    not_passed = [scenario for scenario in scenarios if scenario.status.name != "passed"]
    listed = known_red()
    known = [scenario.name.strip() for scenario in not_passed if scenario.name.strip() in listed]
    for name in known:
        print(f"known red: {name}")
    for scenario in not_passed:
        if scenario.name.strip() not in listed and scenario.status.name != "skipped":
            print(f"failed: {scenario.name.strip()} ({scenario.location}): {failure(scenario)}")
    passed, unexpected = len(scenarios) - len(not_passed), len(not_passed) - len(known)
    print(f"{passed} passed, {unexpected} failed")
    return 1 if unexpected or not passed or (failed and not known) else 0


def failure(scenario: Scenario) -> str:
    """Return the step of a scenario that failed and its error, shortened."""
    for step in scenario.all_steps:
        if step.error_message:
            lines = step.error_message.strip().splitlines()
            return f"{step.keyword} {step.name}: {lines[-1]}"[:MAX_FAILURE_CHARS]
    return scenario.status.name


def known_red() -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.partition("|")[0].strip() for line in lines if line and not line.startswith("#")}


if __name__ == "__main__":
    sys.exit(main())
