# promises.py -- Violations of invariants in runs under random faults
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Violations of invariants in runs under random faults."""

from __future__ import annotations

import os
import sys
from collections import Counter
from pathlib import Path

from mountladder.configuration.documents import parse_documents
from mountladder_standins.faultrun import FaultRun
from outcomes import Figure

sys.path.insert(0, str(Path(__file__).parents[1] / "features"))
from basics import BASE, SERVERS, TOKEN

SEEDS = int(os.environ.get("BENCH_FAULT_SEEDS", "200"))


def measure() -> list[Figure]:
    violations: Counter[str] = Counter()
    results: Counter[str] = Counter()
    for seed in range(SEEDS):
        run = FaultRun(seed, [*parse_documents(BASE, "base"), *SERVERS], TOKEN)
        for violation in run.run():
            violations[violation.invariant] += 1
            print(f"  seed {seed}: {violation.invariant}: {violation.detail}", flush=True)
        results.update(call.outcome.result if call.outcome else "died" for call in run.calls)
    figures = [Figure("seeds", SEEDS, "runs"), Figure("calls", results.total(), "calls")]
    figures += [
        Figure(f"calls that ended {name}", count, "calls") for name, count in results.items()
    ]
    figures.append(Figure("broken promises", violations.total(), "promises", most=0))
    return figures
