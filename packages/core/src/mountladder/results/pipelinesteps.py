# pipelinesteps.py -- Finds the steps before and after a stage in the routes of the catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Finds the steps before and after a stage in the routes of the catalogue."""

from __future__ import annotations

from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagejob import StageJob

Key = tuple[int, str, float]


class PipelineSteps:
    """Tells what comes before and after the pieces of a stage, which do not name their route.

    Several routes may have such a stage. Of their answers, the most careful one counts.

    Args:
        follower: Holds the catalogue in force.

    Attributes:
        cache: The routes with a stage, by its number, service and size of results.
    """

    def __init__(self, follower: CatalogueFollower) -> None:
        self.follower = follower
        self.cached_for: Catalogue | None = None
        self.cache: dict[Key, tuple[Route, ...]] = {}

    def routes(self, job: StageJob) -> tuple[Route, ...]:
        """Return the routes that pieces may belong to."""
        catalogue = self.follower.catalogue
        if catalogue is not self.cached_for:
            self.cached_for, self.cache = catalogue, {}
        key = (job.stage, job.service, job.result_bytes)
        if catalogue is not None and key not in self.cache:
            routes = [one for routes in catalogue.routes.values() for one in routes]
            self.cache[key] = tuple(one for one in routes if _has_stage(one, key))
        return self.cache.get(key, ())

    def input_bytes(self, job: StageJob) -> float:
        """Return the largest possible size in bytes of the results that a stage reads."""
        sizes = (
            route.stages[needed].result_bytes
            for route in self.routes(job)
            for needed in route.stages[job.stage].after
        )
        return len(job.inputs) * max(sizes, default=0.0)

    def input_services(self, job: StageJob) -> frozenset[str]:
        """Return the services that may have made the results that a stage reads."""
        return frozenset(
            route.stages[needed].service
            for route in self.routes(job)
            for needed in route.stages[job.stage].after
        )

    def next_services(self, job: StageJob) -> tuple[frozenset[str], ...]:
        """Return for each route the services that read the results of a stage."""
        return tuple(
            frozenset(one.service for one in route.stages if job.stage in one.after)
            for route in self.routes(job)
        )


def _has_stage(route: Route, key: Key) -> bool:
    number, service, size = key
    if number >= len(route.stages):
        return False
    stage = route.stages[number]
    # The size of results is sent to other instances with less precision than it is configured.
    return stage.service == service and abs(stage.result_bytes - size) < 1.0 + 1e-6 * size
