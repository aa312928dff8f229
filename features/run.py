# run.py -- Run every scenario and close with one line of counts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Run every scenario and close with one line of counts."""

import sys

from gevent import monkey

monkey.patch_all()

from behave.configuration import Configuration
from behave.runner import Runner


def main() -> int:
    """Run the scenarios named on the command line, or all, and print how many passed."""
    arguments = sys.argv[1:] or ["features"]
    configuration = Configuration(["--format", "progress", "--no-capture", *arguments])
    runner = Runner(configuration)
    failed = runner.run()
    scenarios = [one for feature in runner.features for one in feature.walk_scenarios()]
    passed = sum(one.status.name == "passed" for one in scenarios)
    lost = len(scenarios) - passed
    print(f"{passed} passed, {lost} failed")
    return 1 if failed or lost or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
