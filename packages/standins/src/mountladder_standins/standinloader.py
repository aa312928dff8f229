# standinloader.py -- The part of a stand-in engine that loads models
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The part of a stand-in engine that loads models."""

from __future__ import annotations

import gevent

from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order
from mountladder.errors import OrderFencedError
from mountladder_standins.weightstore import WeightStore


class StandinLoader:
    """Loads and drops models as ordered.

    Args:
        weights: Where models are downloaded from.
        models: The models loaded at the start, each with its version, by name.

    Attributes:
        ignore_fencing: Whether orders with an old fencing number are carried out.
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
        """Return what is loaded."""
        return EngineState(
            tuple(sorted(self.models.items())), tuple(sorted(self.loading.items())), self.fence
        )

    def order(self, order: Order) -> None:
        """Carry out an order.

        Raises:
            OrderFencedError: A higher fencing number was given already.
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
        """Download a model and serve it."""
        self.weights.download()
        if self.loading.get(name) == version:
            del self.loading[name]
            self.models[name] = version
