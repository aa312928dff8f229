# localengines.py -- Orders to stand-in engines in the same process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Orders to stand-in engines in the same process."""

from __future__ import annotations

from collections.abc import Mapping

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.engines.engines import Engines
from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order
from mountladder.errors import StageError
from mountladder_standins.standinloader import StandinLoader


class LocalEngines(Engines):
    """Sends orders to stand-ins directly, in place of HTTP.

    Args:
        loaders: The model loaders of the stand-ins, by the server's name.

    Attributes:
        down: The names of engines that cannot be reached.
    """

    def __init__(self, loaders: Mapping[str, StandinLoader]) -> None:
        self.loaders = loaders
        self.down: set[str] = set()

    def state(self, server: BackendServer) -> EngineState:
        """Return which models an engine serves and loads; see Engines."""
        return self.find_loader(server).state()

    def order(self, server: BackendServer, order: Order) -> None:
        """Send an order to an engine; see Engines."""
        self.find_loader(server).order(order)

    def find_loader(self, server: BackendServer) -> StandinLoader:
        """Return the model loader of an engine.

        Raises:
            StageError: The engine does not exist or is down.
        """
        if server.name in self.down or server.name not in self.loaders:
            raise StageError(f"{server.name}: cannot be reached", Code.CONNECT_FAILED, False)
        return self.loaders[server.name]
