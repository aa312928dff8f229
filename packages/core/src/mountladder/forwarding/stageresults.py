# stageresults.py -- Sizes and places of the results of one request's stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sizes and places of the results of one request's stages."""

from __future__ import annotations

from collections import Counter

from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch

# A stage that reads or makes more than this runs in the data centre that holds or needs the data:
# transfers between data centres are charged by the gigabyte.
LARGE_BYTES = 1_000_000.0


class StageResults:
    """The results of one request's stages: how large they are and where they are stored.

    Args:
        route: The route of the request.
        dispatch: Returns the batch limits of services.

    Attributes:
        handles: The handles of the results of each completed stage, by its number.
        locations: The data centres that store these results, by the stage's number.
    """

    def __init__(self, route: Route, dispatch: StageDispatch) -> None:
        self.route = route
        self.dispatch = dispatch
        self.handles: dict[int, tuple[str, ...]] = {}
        self.locations: dict[int, tuple[str, ...]] = {}

    def preferred_datacentre(self, number: int, pieces: int) -> str:
        """Return the preferred data centre of a stage, or an empty string for any."""
        stage = self.route.stages[number]
        sources = [location for needed in stage.after for location in self.locations[needed]]
        fetched = sum(
            self.route.stages[needed].result_bytes * len(self.locations[needed])
            for needed in stage.after
        )
        if sources and fetched * pieces > LARGE_BYTES:
            return max(set(sources), key=sources.count)
        return ""

    def input_datacentre(self) -> str:
        """Return the data centre with most of the request's input, or empty if that is small."""
        sizes: Counter[str] = Counter()
        for number in self.route.last_stages():
            for location in self.locations.get(number, ()):
                sizes[location] += self.route.stages[number].result_bytes
        location, size = max(sizes.items(), key=lambda one: one[1], default=("", 0.0))
        return location if size > LARGE_BYTES else ""

    def has_large_results(self, number: int) -> bool:
        """Return whether the request itself fetches large results of a stage."""
        stage = self.route.stages[number]
        return number in self.route.last_stages() and stage.result_bytes > LARGE_BYTES

    def link_mbps(self) -> float:
        """Return the lowest bandwidth of the links it fetches over in Mbit/s, or 0 if unknown."""
        names = (self.route.stages[n].service for n in self.route.last_stages())
        services = map(self.dispatch.limits, names)
        known = [one.link_mbps for one in services if one is not None and one.link_mbps]
        return min(known, default=0.0)

    def result_bytes(self) -> float:
        """Return the number of bytes that the request itself fetches."""
        last = self.route.last_stages()
        return sum(self.route.stages[n].result_bytes * len(self.handles.get(n, ())) for n in last)
