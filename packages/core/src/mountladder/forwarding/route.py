# route.py -- A route of the catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A route of the catalogue."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.target import Target


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and what they are promised.

    Attributes:
        name: The route's name.
        host: The host that requests name.
        prefix: How their path begins.
        kind: What may be repeated.
        targets: The services that share the requests.
        timeout_ms: How long a request may be kept waiting.
        aim_ms: Within which time an answer earns its full credit (streams: the first event).
        gap_ms: The longest pause between two events of an answer that is on time.
        priority: Its rank among routes; 0 is the most urgent.
        most_attempts: To how many servers one request may be sent.
        stages: What is done before a request can run.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another server.
        prompts: Whether requests carry prompts whose parts servers cache.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float
    aim_ms: float
    gap_ms: float
    priority: int
    most_attempts: int
    stages: tuple[RouteStage, ...] = ()
    public: bool = False
    resumable: bool = False
    prompts: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def draw(self, rng: random.Random) -> str:
        """Return the service for one request, drawn by the targets' weights."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices([target.service for target in self.targets], weights)[0]

    def last_stages(self) -> tuple[int, ...]:
        """Return the numbers of the stages that no other stage follows."""
        followed = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)
