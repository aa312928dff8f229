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

# A server that pauses within a stream may only be busy, and still send the next event sooner than
# another server would, until the pause is this many times the route's longest one, and at least
# this long.
SILENCE_MULTIPLE = 5.0
MIN_SILENCE_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class Route:
    """Targets, timeouts and latency targets of the requests with a host and path prefix.

    Attributes:
        name: The route's name.
        host: The host that requests are sent to.
        prefix: The prefix of the request path.
        kind: Whether requests are idempotent, and whether answers are streamed.
        targets: The services among which requests are distributed.
        timeout_ms: The maximum duration of a request, in milliseconds.
        target_ms: The latency target for the answer, or a stream's first event, in milliseconds.
        gap_ms: The longest pause between two events of a stream that is on time, in milliseconds.
        priority: The default priority of requests; 0 is the most urgent.
        max_attempts: The maximum number of servers that may execute one request.
        stages: The stages that run before the request is sent to a server.
        public: Whether requests need no API key.
        resumable: Whether a broken stream may be resumed at another server.
        prompts: Whether requests have prompts, whose parts servers cache.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float
    target_ms: float
    gap_ms: float
    priority: int
    max_attempts: int
    stages: tuple[RouteStage, ...] = ()
    public: bool = False
    resumable: bool = False
    prompts: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have been executed can be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    @property
    def max_silence_ms(self) -> float:
        """Return the pause in a stream beyond which its server may be lost, in milliseconds."""
        return max(MIN_SILENCE_MS, SILENCE_MULTIPLE * self.gap_ms)

    def leads_to(self, service: str) -> bool:
        """Return whether requests may be sent to a service."""
        return any(target.service == service for target in self.targets)

    def draw_service(self, rng: random.Random) -> str:
        """Return a service for one request, drawn at random by the targets' weights."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices([target.service for target in self.targets], weights)[0]

    def last_stages(self) -> tuple[int, ...]:
        """Return the indexes of the stages that no other stage depends on."""
        followed = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)
