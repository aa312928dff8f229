# bound.py -- An upper bound of the fraction of requests answered in time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An upper bound of the fraction of requests answered in time."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder_standins.sentrequest import SentRequest
from mountladder_standins.workload import Workload


def attainment_bound(
    sent: Sequence[SentRequest], workload: Workload, speed: float, deadline_ms: float
) -> float:
    """Return an upper bound, under any policy, of the fraction of requests answered in time.

    The generators are modelled as one machine of their total speed that wastes no time. Requests
    sent in an interval can be worked on only between its start and its end plus one deadline. If
    their work exceeds that capacity, the fewest misses are reached by serving the smallest
    requests first and dropping the rest. Of several intervals, the one with the most misses gives
    the bound.

    Args:
        sent: Every request of the experiment.
        workload: The workload.
        speed: The total speed of the generators, in concurrent calls of a new one.
        deadline_ms: The deadline of each request, in milliseconds.

    Returns:
        The bound, at most 1.
    """
    start = workload.burst_start
    end = start + workload.burst_ms
    intervals = [(0.0, workload.load_ms), (start, end), (start, workload.load_ms)]
    missed = max(_missed(sent, interval, speed, deadline_ms) for interval in intervals)
    return 1.0 - missed / len(sent)


def _missed(
    sent: Sequence[SentRequest], interval: tuple[float, float], speed: float, deadline_ms: float
) -> int:
    start, end = interval
    works = sorted(one.work_ms for one in sent if start <= one.at_ms < end)
    capacity_ms = (end - start + deadline_ms) * speed
    served = 0
    for work in works:
        capacity_ms -= work
        if capacity_ms < 0:
            break
        served += 1
    return len(works) - served
