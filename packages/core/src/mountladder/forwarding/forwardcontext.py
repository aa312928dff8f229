# forwardcontext.py -- State shared by the forwarded requests of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""State shared by the forwarded requests of an instance."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mountladder.clocks.clock import Clock
from mountladder.continuation.continuations import Continuations
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.fetchtime import FetchTime
from mountladder.forwarding.retrybudgets import RetryBudgets
from mountladder.forwarding.serverpicker import ServerPicker
from mountladder.forwarding.shutdown import Shutdown
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageforecast import StageForecast
from mountladder.forwarding.upstream import Upstream
from mountladder.metrics.metrics import Metrics
from mountladder.notices.noticedispatcher import NoticeDispatcher
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.streams.startchecks import StartChecks
from mountladder.streams.streamorigins import StreamOrigins

if TYPE_CHECKING:
    from mountladder.isolation.requestrelay import RequestRelay


@dataclass(frozen=True, slots=True)
class ForwardContext:
    """State shared by the forwarded requests of an instance.

    Attributes:
        clock: The clock.
        rng: The random number generator.
        follower: Holds the catalogue in force.
        picker: Chooses servers.
        upstream: Sends calls to servers.
        dispatch: Runs stages.
        forecast: Refuses requests whose stages cannot be done in time.
        budgets: The retry budgets of services.
        metrics: Receives metrics.
        shutdown: Tracks the shutdown of the instance.
        fetch_time: Estimates when servers have fetched stage results.
        quarantine: Tracks requests during which servers crash.
        notices: Applies the notices that servers send with their answers.
        continuations: The streams that can continue from copies.
        origins: Finds the software versions that began streams.
        starts: Checks whether servers have started again while the list of servers is old.
        relay: Relays requests while this instance can reach no backend server.
    """

    clock: Clock
    rng: random.Random
    follower: CatalogueFollower
    picker: ServerPicker
    upstream: Upstream
    dispatch: StageDispatch
    forecast: StageForecast
    budgets: RetryBudgets
    metrics: Metrics
    shutdown: Shutdown
    fetch_time: FetchTime
    quarantine: QuarantineService
    notices: NoticeDispatcher
    continuations: Continuations
    origins: StreamOrigins
    starts: StartChecks
    relay: RequestRelay
