# pipelineadmission.py -- What admission knows beyond the stages: model servers and patience
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What admission knows beyond the stages: model servers and patience."""

from __future__ import annotations

import math
from collections.abc import Callable

from mountladder.admission.modelbacklogs import ModelBacklogs
from mountladder.admission.modelwait import UNKNOWN_WAIT, ModelWait
from mountladder.admission.patience import patience_ms
from mountladder.forwarding.backlog import priority_class
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.lending import BACKLOG_TTL_MS
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagebacklogs import StageBacklogs
from mountladder.metrics.metrics import Metrics


class PipelineAdmission:
    """Returns the expected waits for model servers and the patience of callers.

    Args:
        fleet: The other instances; their beacons carry the backlogs announced here.
        coordinator: Places prompts on this instance.
        backlogs: Keeps the backlogs that other instances announce.
        is_enabled: Returns whether model servers and patience count.
        metrics: Counts refusals.

    Attributes:
        local: The backlogs of model servers that this instance coordinates.
    """

    def __init__(
        self,
        fleet: Fleet,
        coordinator: PlacementCoordinator,
        backlogs: StageBacklogs,
        is_enabled: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.backlogs = backlogs
        self.is_enabled = is_enabled
        self.clock = coordinator.clock
        self.metrics = metrics
        self.local = ModelBacklogs(fleet, coordinator, is_enabled, self.clock, metrics)
        stage_backlogs = fleet.backlogs
        fleet.backlogs = lambda: (*stage_backlogs(), *self.local.local_backlogs())

    def wait(self, service: str, urgency: int, gives_way: bool = False) -> ModelWait:
        """Return the expected wait of a new prompt for a model server of a service.

        A reported wait is not reduced by its age: about as many prompts have arrived since.
        """
        if not self.is_enabled():
            return UNKNOWN_WAIT
        topic = prompts_topic(service)
        priority = priority_class(urgency, gives_way)
        if self.fleet.coordinator(topic) is None:
            return ModelWait(self.local.local_backlog(service).waits_ms[priority], 0.0)
        backlog, reported_at = self.backlogs.reported.get(topic, (None, 0.0))
        age_ms = self.clock.now() - reported_at
        if backlog is None or age_ms > BACKLOG_TTL_MS:
            return UNKNOWN_WAIT
        return ModelWait(backlog.waits_ms[priority], age_ms)

    def patience_ms(self, route: Route) -> float:
        """Return how long callers of a route wait in milliseconds, infinite if it is ignored."""
        return patience_ms(route) if self.is_enabled() else math.inf
