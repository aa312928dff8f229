# httpengines.py -- Reads model engines' state and sends them orders over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reads model engines' state and sends them orders over HTTP."""

from __future__ import annotations

import json

import urllib3

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.engines.engines import Engines
from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order
from mountladder.errors import MALFORMED, OrderFencedError, StageError, WaitTimeoutError
from mountladder_entry.timedpools import TimedPools

ANSWER_MS = 1_000.0
TIMEOUT = urllib3.Timeout(ANSWER_MS / 1000.0)
FENCED_STATUS = 409


class HttpEngines(Engines):
    """Reads engines' state and sends them orders over HTTP.

    Args:
        clock: The clock that times calls out.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.pool = TimedPools(num_pools=256, maxsize=2, retries=False)

    def state(self, server: BackendServer) -> EngineState:
        """Return the models that an engine serves and loads; see Engines."""
        response = self.call(server, "GET", "/v1/state")
        try:
            table = json.loads(response.data)
            return EngineState(
                _models(table["models"]), _models(table["loading"]), int(table["fence"])
            )
        except MALFORMED as error:
            detail = f"{server.name}: its state cannot be read: {error}"
            raise StageError(detail, Code.BAD_ANSWER) from error

    def order(self, server: BackendServer, order: Order) -> None:
        """Send an order to an engine; see Engines."""
        body = json.dumps({"fence": order.fence, "models": dict(order.models)}).encode()
        response = self.call(server, "PUT", "/v1/orders", body)
        if response.status == FENCED_STATUS:
            raise OrderFencedError(f"{server.name} refused fencing number {order.fence}")
        if response.status != 200:
            raise StageError(f"{server.name}: status {response.status}", Code.STAGE_FAILED)

    def call(
        self, server: BackendServer, method: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Make a call and return its answer."""
        url = f"http://{server.address}{path}"
        try:
            with self.clock.time_limit(ANSWER_MS):
                return self.pool.request(method, url, body=body, timeout=TIMEOUT)
        except (urllib3.exceptions.HTTPError, WaitTimeoutError, OSError) as error:
            raise StageError(f"{url}: {error}", Code.CONNECT_FAILED) from error

    def close(self) -> None:
        """Close every connection."""
        self.pool.clear()


def _models(table: dict[str, str]) -> tuple[tuple[str, str], ...]:
    return tuple(sorted((str(name), str(version)) for name, version in table.items()))
