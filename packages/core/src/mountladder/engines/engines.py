# engines.py -- Interface to model engines
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface to model engines."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.configuration.backendserver import BackendServer
from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order


class Engines(ABC):
    """Reads which models engines serve, and sends them orders."""

    @abstractmethod
    def state(self, server: BackendServer) -> EngineState:
        """Return the state of an engine.

        Raises:
            StageError: It cannot be reached or its answer is malformed.
        """

    @abstractmethod
    def order(self, server: BackendServer, order: Order) -> None:
        """Order an engine to reach a state.

        Raises:
            OrderFencedError: It has already received a higher fencing number.
            StageError: It cannot be reached.
        """
