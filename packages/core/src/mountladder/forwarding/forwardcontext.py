# forwardcontext.py -- What forwarded requests on one instance share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What forwarded requests on one instance share."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from mountladder.clocks.clock import Clock
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.departure import Departure
from mountladder.forwarding.fetchtime import FetchTime
from mountladder.forwarding.serverpicker import ServerPicker
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageforecast import StageForecast
from mountladder.forwarding.upstream import Upstream
from mountladder.limits.windowbudget import WindowBudget
from mountladder.metrics.metrics import Metrics
from mountladder.notices.noticedispatcher import NoticeDispatcher
from mountladder.quarantine.quarantineservice import QuarantineService


@dataclass(frozen=True, slots=True)
class ForwardContext:
    """What forwarded requests on one instance share.

    Attributes:
        clock: The clock.
        rng: The source of chance.
        follower: The catalogue in force.
        picker: Chooses servers.
        upstream: Calls servers.
        dispatch: Where stages are handed to.
        forecast: Refuses requests whose stages cannot be done in time.
        budget: Returns the retry budget of a service.
        metrics: Where metrics go.
        departure: Whether the instance is about to end.
        fetch_time: When servers have fetched the results of stages.
        quarantine: Knows under which requests servers end.
        notices: Takes in what answers say of their servers.
    """

    clock: Clock
    rng: random.Random
    follower: CatalogueFollower
    picker: ServerPicker
    upstream: Upstream
    dispatch: StageDispatch
    forecast: StageForecast
    budget: Callable[[str], WindowBudget]
    metrics: Metrics
    departure: Departure
    fetch_time: FetchTime
    quarantine: QuarantineService
    notices: NoticeDispatcher
