# placement.py -- Assigns models to the engines of a data centre
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Assigns models to the engines of a data centre."""

from __future__ import annotations

from collections.abc import Mapping

import xxhash

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.model import Model
from mountladder.engines.enginestate import EngineState


def wanted_models(
    configuration: Configuration, datacentre: str, states: Mapping[str, EngineState]
) -> dict[str, tuple[tuple[str, str], ...]]:
    """Return the desired models of each reachable engine of a data centre, by the engine's name.

    A model is assigned to as many engines as it has replicas, out of those that its selector and
    their own lists of models allow. Engines that already serve it come first, so that models are
    not moved without need; the others follow in the order of a hash, which spreads the models. A
    model without a number of replicas stays where it is.

    Args:
        configuration: The configuration in force.
        datacentre: The data centre.
        states: The states of the engines that can be reached, by name.
    """
    engines = [one for one in engines_of(configuration, datacentre) if one.name in states]
    wanted: dict[str, list[tuple[str, str]]] = {one.name: [] for one in engines}
    for model in configuration.of_kind("model"):
        for engine in _chosen(configuration, model, engines, states):
            wanted[engine.name].append((model.name, _version(model, states[engine.name])))
    return {name: tuple(sorted(models)) for name, models in wanted.items()}


def engines_of(configuration: Configuration, datacentre: str) -> list[BackendServer]:
    """Return the model engines of a data centre."""
    return [
        server
        for server in configuration.of_kind("server")
        if server.serves == "engine" and server.datacentre == datacentre
    ]


def _chosen(
    configuration: Configuration,
    model: Model,
    engines: list[BackendServer],
    states: Mapping[str, EngineState],
) -> list[BackendServer]:
    if not model.replicas:
        return [one for one in engines if model.name in dict(states[one.name].models)]
    selector = configuration.selector(model.selector)
    allowed = [
        one
        for one in engines
        if not one.draining
        and selector.meets(one.all_labels())
        and (not one.models or model.name in one.models)
    ]

    def preference(engine: BackendServer) -> tuple[bool, int]:
        """Return a sort key: engines that serve the model first, then by a hash."""
        state = states[engine.name]
        has_it = model.name in dict(state.models + state.loading)
        return not has_it, xxhash.xxh64_intdigest(f"{model.name}\0{engine.name}".encode())

    return sorted(allowed, key=preference)[: model.replicas]


def _version(model: Model, state: EngineState) -> str:
    if model.replicas:
        return model.version
    return dict(state.models)[model.name]
