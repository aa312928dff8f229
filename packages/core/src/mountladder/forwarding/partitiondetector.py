# partitiondetector.py -- Detects data centres that cannot be reached at present
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Detects data centres that cannot be reached at present."""

from __future__ import annotations

from collections.abc import Iterable

from eliot import log_message

from mountladder.membership.membership import Membership

# A data centre counts as unreachable if none of its instances has sent anything for this long:
# three heartbeats between coordinators. Each request that is still sent there costs its caller the
# connect timeout, 300 ms.
SILENCE_MS = 750.0
# How long a report from another instance is valid: two of its heartbeats and some delay.
REPORT_VALID_MS = 1_200.0


class PartitionDetector:
    """Detects which data centres are unreachable from this one, so that no work is sent there.

    Instances with links to coordinators of other data centres decide for themselves. The rest of
    their data centre follows their reports, where all reporters agree: a single reporter may have
    slow links itself, and after a partition the reporters detect it one by one.

    Args:
        membership: The known instances, and when each last sent something.

    Attributes:
        silent: The data centres that this instance itself found unreachable.
        reports: The last report of each other reporting instance, with its time of arrival.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.silent: frozenset[str] = frozenset()
        self.checked_at = float("-inf")
        self.reports: dict[str, tuple[frozenset[str], float]] = {}

    def check(self, datacentres: Iterable[str]) -> bool:
        """Recheck which of some data centres are unreachable; return whether that has changed.

        If the last check is long ago, this process was paused itself and has not read yet what
        others sent meanwhile, so nothing is changed.
        """
        now = self.membership.clock.now()
        paused = now - self.checked_at > SILENCE_MS / 2
        self.checked_at = now
        if paused:
            return False
        silent = frozenset(one for one in datacentres if self.silence_ms(one) > SILENCE_MS)
        if silent == self.silent:
            return False
        log_message("datacentres-unreachable", now=sorted(silent), before=sorted(self.silent))
        self.silent = silent
        return True

    def silence_ms(self, datacentre: str) -> float:
        """Return the time since an instance of a data centre sent something; 0 if never.

        When an instance was last heard of is forgotten after a while, so that the silence of a data
        centre that was found unreachable is infinite then.
        """
        there = (one for one in self.membership.known.values() if one.datacentre == datacentre)
        silences = [self.membership.silence_ms(one) for one in there]
        measured = [one for one in silences if one != float("inf")]
        return min(measured, default=float("inf") if datacentre in self.silent else 0.0)

    def record_report(self, name: str, datacentres: Iterable[str]) -> None:
        """Record which data centres another instance of this data centre found unreachable."""
        self.reports[name] = (frozenset(datacentres), self.membership.clock.now())

    def unreachable(self) -> frozenset[str]:
        """Return the data centres that count as unreachable from this one."""
        oldest = self.membership.clock.now() - REPORT_VALID_MS
        self.reports = {name: report for name, report in self.reports.items() if report[1] > oldest}
        agreed = [datacentres for datacentres, _ in self.reports.values()]
        return self.silent.union(frozenset.intersection(*agreed) if agreed else ())
