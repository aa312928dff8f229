# engines.py -- Orders to model engines
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Orders to model engines."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.configuration.backendserver import BackendServer
from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order


class Engines(ABC):
    """Reads what engines serve and orders them to serve something else."""

    @abstractmethod
    def state(self, server: BackendServer) -> EngineState:
        """Return what an engine serves.

        Raises:
            StageError: It cannot be reached or its answer is malformed.
        """

    @abstractmethod
    def order(self, server: BackendServer, order: Order) -> None:
        """Order an engine to reach a state.

        Raises:
            OrderFencedError: It was given a higher fencing number already.
            StageError: It cannot be reached.
        """
