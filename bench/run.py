# run.py -- Runs the benchmarks and checks their bounds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs the benchmarks and checks their bounds."""

from gevent import monkey

monkey.patch_all()

import importlib
import sys

import outcomes

ALL = (
    "relay",
    "plainanswers",
    "slopes",
    "decision",
    "store",
    "recovery",
    "prefixes",
    "policies",
    "promises",
)


def main() -> int:
    """Run the benchmarks named on the command line, or all; return 1 if a bound is violated."""
    violated = 0
    for name in sys.argv[1:] or ALL:
        figures = importlib.import_module(name).measure()
        outcomes.write(name, figures)
        print(f"{name}:", flush=True)
        for figure in figures:
            print("  " + figure.format_row(), flush=True)
            violated += not figure.is_within_bounds
    print(f"{violated} bounds violated")
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
