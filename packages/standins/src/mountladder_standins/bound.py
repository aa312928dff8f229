# bound.py -- An upper bound of attainment, computed with full knowledge
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An upper bound of attainment, computed with full knowledge."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder_standins.sentrequest import SentRequest
from mountladder_standins.workload import Workload


def attainment_bound(
    sent: Sequence[SentRequest], workload: Workload, speed: float, deadline_ms: float
) -> float:
    """Return a share of requests that no way of serving them can exceed.

    The generators are taken for one machine of their joint speed without any loss. What is sent
    in an interval must be worked on between its start and its end plus one deadline; where that
    is too much, at least so many requests miss their deadline as are left out when the smallest
    are kept. The interval that leaves out most counts.

    Args:
        sent: Every request of the experiment.
        workload: The workload.
        speed: The generators' speed, in calls on a new one that run at once.
        deadline_ms: The deadline in milliseconds.
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
    room = (end - start + deadline_ms) * speed
    kept = 0
    for work in works:
        room -= work
        if room < 0:
            break
        kept += 1
    return len(works) - kept
