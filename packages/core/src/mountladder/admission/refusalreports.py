# refusalreports.py -- Tells coordinators which work this instance has refused
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells coordinators which work this instance has refused."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from eliot import log_message

from mountladder.admission.refuseddemand import RefusedDemand
from mountladder.forwarding.backlog import MAX_RANK, rank
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.membership.link import Link
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# Shortest time between two reports to the coordinator of a service, in milliseconds. Waits are
# announced about every 250 ms, so that more frequent reports would not change them sooner.
REPORT_MS = 200.0
# Shortest time between two log lines on what was reported of one service, in milliseconds.
LOG_INTERVAL_MS = 1_000.0


class RefusalReports:
    """Tells coordinators which work this instance has refused, and counts what others refused.

    Handles a rank whose refused requests are not visible to the queue that could have served them,
    while less urgent requests are served before it.

    Args:
        dispatch: Holds the batchers and the links to other instances.
        metrics: Counts the pieces.
        is_enabled: Returns whether refused demand for services is counted.

    Attributes:
        refused: What was refused here since the last report, in pieces by service and rank.
        reported_at: When the last report was sent, by service.
        unlogged: The pieces by rank that were counted here since the last log line, by service.
        logged_at: When that line was written, by service.
    """

    def __init__(
        self, dispatch: StageDispatch, metrics: Metrics, is_enabled: Callable[[Iterable[str]], bool]
    ) -> None:
        self.dispatch = dispatch
        self.fleet = dispatch.fleet
        self.clock = dispatch.clock
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.refused: dict[str, Counter[int]] = {}
        self.reported_at: dict[str, float] = {}
        self.unlogged: dict[str, Counter[int]] = {}
        self.logged_at: dict[str, float] = {}
        self.fleet.subscribe(RefusedDemand, self.receive)

    def add(self, request: ForwardRequest, route: Route, urgency: int) -> None:
        """Add the pieces of a refused request, to be reported within REPORT_MS."""
        for stage, pieces in zip(route.stages, request.pieces, strict=False):
            if not pieces:
                continue
            if stage.service not in self.refused:
                self.refused[stage.service] = Counter()
                due = self.reported_at.get(stage.service, -REPORT_MS) + REPORT_MS
                wait_ms = max(0.0, due - self.clock.now())
                self.clock.call_later(wait_ms, partial(self.report, stage.service))
            self.refused[stage.service][rank(urgency)] += pieces

    def report(self, service: str) -> None:
        """Report what was refused of a service to its coordinator."""
        counts = self.refused.pop(service)
        self.reported_at[service] = self.clock.now()
        pieces = tuple(counts[one] for one in range(max(counts) + 1))
        link = self.fleet.coordinator(service)
        if link is None:
            self.count(service, pieces)
        else:
            self.fleet.send_later(link, RefusedDemand(service, pieces))

    def receive(self, message: RefusedDemand, link: Link) -> None:
        """Count what another instance has refused."""
        if not self.is_enabled([message.service]):
            return
        if self.fleet.follower.service(message.service) is not None:
            self.count(message.service, message.pieces[: MAX_RANK + 1])

    def count(self, service: str, pieces: tuple[int, ...]) -> None:
        """Count pieces by rank as asked for, at the coordinator of their service."""
        self.dispatch.batcher(service).record_refused(pieces)
        self.metrics.count(Metric.REFUSED_PIECES, number=sum(pieces))
        unlogged = self.unlogged.setdefault(service, Counter())
        unlogged.update(dict(enumerate(pieces)))
        now = self.clock.now()
        since = self.logged_at.get(service)
        if since is not None and now - since < LOG_INTERVAL_MS:
            return
        self.logged_at[service] = now
        log_message(
            "refused-demand-counted",
            service=service,
            pieces=[unlogged[one] for one in range(max(unlogged, default=-1) + 1)],
            since_ms=None if since is None else round(now - since),
        )
        unlogged.clear()
