# standinloader.py -- Model loading of a stand-in engine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Model loading of a stand-in engine."""

from __future__ import annotations

import gevent

from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order
from mountladder.errors import OrderFencedError
from mountladder_standins.weightstore import WeightStore


class StandinLoader:
    """Loads and unloads models by order.

    Args:
        weights: The store that models are downloaded from.
        models: The versions of the models that are loaded at the start, by the model's name.

    Attributes:
        loading: The versions of the models that are being loaded, by the model's name.
        fence: The highest fencing number of an order so far.
        ignore_fencing: Whether orders with an outdated fencing number are carried out.
        orders: The orders that were carried out.
    """

    def __init__(self, weights: WeightStore, models: dict[str, str]) -> None:
        self.weights = weights
        self.models = dict(models)
        self.loading: dict[str, str] = {}
        self.fence = 0
        self.ignore_fencing = False
        self.orders: list[Order] = []

    def state(self) -> EngineState:
        """Return the models that are loaded or loading, and the fencing number."""
        return EngineState(
            tuple(sorted(self.models.items())), tuple(sorted(self.loading.items())), self.fence
        )

    def order(self, order: Order) -> None:
        """Unload the models that an order does not name and start loading those that it adds.

        Raises:
            OrderFencedError: An order with a higher fencing number came before.
        """
        if order.fence < self.fence and not self.ignore_fencing:
            raise OrderFencedError(f"{order.fence} after {self.fence}")
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        wanted = dict(order.models)
        for name in list(self.models):
            if name not in wanted:
                del self.models[name]
        for name, version in wanted.items():
            if self.models.get(name) != version and self.loading.get(name) != version:
                self.loading[name] = version
                gevent.spawn(self.load, name, version)

    def load(self, name: str, version: str) -> None:
        """Download a model and serve it, unless a later order replaced its version."""
        self.weights.download()
        if self.loading.get(name) == version:
            del self.loading[name]
            self.models[name] = version
