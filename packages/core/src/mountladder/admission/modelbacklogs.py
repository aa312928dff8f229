# modelbacklogs.py -- Announces how long new prompts wait at the model servers coordinated here
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Announces how long new prompts wait at the model servers coordinated here."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from eliot import log_message

from mountladder.admission.promptbacklog import NO_WAITS, PromptBacklog
from mountladder.admission.serverload import ServerLoad
from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import MAX_RANK, Backlog
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.service import Service
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# A service is announced for this time after its last prompt was placed here: longer than an
# overload whose every request is refused needs to drain, and short enough that an instance which
# is no longer the coordinator soon stops.
ACTIVE_MS = 5_000.0
# How long a computed backlog is announced before it is computed again: less than half of the time
# between heartbeats to coordinators, and longer by this for each server. A computation takes 10 us
# for each busy server, so with many servers it would take more than 2 % of a core otherwise.
CACHE_MS = 100.0
CACHE_SERVER_MS = 0.5
# The least time between two lines of one service while its prompts wait.
LINE_INTERVAL_MS = 1_000.0


class ModelBacklogs:
    """Computes the backlogs of the services whose prompts this instance places for all others.

    Args:
        fleet: Tells which topics are coordinated here.
        coordinator: Knows the placed prompts.
        is_enabled: Returns whether backlogs are computed and announced.
        clock: The clock.
        metrics: Receives the longest wait.

    Attributes:
        computed: The last computed backlog of each service and when it was computed.
        logged: When the last line about each service was written, and whether its prompts waited.
    """

    def __init__(
        self,
        fleet: Fleet,
        coordinator: PlacementCoordinator,
        is_enabled: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.coordinator = coordinator
        self.is_enabled = is_enabled
        self.clock = clock
        self.metrics = metrics
        self.computed: dict[str, tuple[Backlog, float]] = {}
        self.logged: dict[str, tuple[float, bool]] = {}

    def local_backlogs(self) -> tuple[Backlog, ...]:
        """Return the backlogs of the services whose prompts were placed here lately."""
        if not self.is_enabled():
            return ()
        backlogs = [
            self.local_backlog(service)
            for service in sorted(self.coordinator.usage.placed_at)
            if self.is_active(service) and self.fleet.coordinator(prompts_topic(service)) is None
        ]
        longest_ms = max((max(one.waits_ms) for one in backlogs), default=0.0)
        self.metrics.gauge(Metric.MODEL_WAIT_MS, longest_ms)
        return tuple(backlogs)

    def is_active(self, service: str) -> bool:
        """Return whether prompts of a service with model servers were placed here lately."""
        known = self.coordinator.follower.service(service)
        placed_at = self.coordinator.usage.placed_at.get(service, float("-inf"))
        return bool(known and known.slots) and self.clock.now() - placed_at <= ACTIVE_MS

    def local_backlog(self, service: str) -> Backlog:
        """Return the backlog of a service by the prompts placed here; see CACHE_MS."""
        now = self.clock.now()
        cached = self.computed.get(service)
        servers = len(self.coordinator.directory.available(service))
        if cached is not None and now - cached[1] < CACHE_MS + servers * CACHE_SERVER_MS:
            return cached[0]
        backlog = self.compute(service, now)
        self.computed[service] = (backlog, now)
        return backlog

    def compute(self, service: str, now: float) -> Backlog:
        """Compute the backlog of a service from the prompts placed here."""
        topic = prompts_topic(service)
        known = self.coordinator.follower.service(service)
        if known is None or not self.is_active(service):
            return Backlog(topic, NO_WAITS)
        usage, speed = self.coordinator.usage, self.coordinator.placement.speed
        backlog = PromptBacklog(
            speed.tokens_per_ms, usage.run_ms.get(service, 0.0), known.kv_tokens
        )
        # Only servers up to the first one without a backlog are looked at.
        waits = backlog.waits_ms(self.loads(service, topic, now))
        self.log(known, waits, backlog, now)
        return Backlog(topic, waits)

    def loads(self, service: str, topic: str, now: float) -> Iterator[ServerLoad]:
        """Yield the loads of the servers that a new prompt may be sent to at once.

        A wait for servers that limit their rate is no backlog; see Reservation.
        """
        coordinator = self.coordinator
        placement, held = coordinator.placement, coordinator.usage.held_tokens
        servers = coordinator.directory.available(service)
        waits_ms = coordinator.limits.waits_ms(servers, topic)
        exhausted = coordinator.cold.exhausted(servers, coordinator.cold.cold(servers), topic)
        for server in servers:
            state = coordinator.router.state(server)
            name = server.name
            if name in exhausted or waits_ms.get(name) or not state.in_use(now):
                continue
            yield ServerLoad(
                placement.pending_tokens.get(name, 0),
                placement.running_prompts.get(name, 0),
                server.slots,
                held.get(name, {}),
                state.time_factor(now),
            )

    def log(
        self,
        service: Service,
        waits: Sequence[float],
        backlog: PromptBacklog,
        now: float,
    ) -> None:
        """Write a line while prompts wait, and one when they no longer do."""
        is_waiting = any(waits)
        logged_at, was_waiting = self.logged.get(service.name, (float("-inf"), False))
        if not (is_waiting or was_waiting) or now - logged_at < LINE_INTERVAL_MS:
            return
        self.logged[service.name] = (now, is_waiting)
        loads = list(self.loads(service.name, prompts_topic(service.name), now))
        log_message(
            "model-backlog",
            service=service.name,
            waits_ms=[round(one) for one in waits[: MAX_RANK + 1]],
            servers=len(loads),
            pending_tokens=sum(one.pending_tokens for one in loads),
            running=sum(one.running for one in loads),
            slots=sum(one.slots for one in loads),
            held_tokens=sum(sum(one.held_tokens.values()) for one in loads),
            kv_tokens=service.kv_tokens,
            tokens_per_ms=round(backlog.tokens_per_ms, 1),
            run_ms=round(backlog.run_ms),
        )
