# service.py -- A service of the catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A service of the catalogue."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.continuation.backuplimits import BackupLimits
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.prompttransfer import PromptTransfer


@dataclass(frozen=True, slots=True)
class Service:
    """A service, whose backend servers the directory lists.

    Attributes:
        name: Its name.
        max_connections: The number of connections that one server accepts from all instances, or 0
            if not limited.
        slots: How many requests a model server runs in one batch, or 0 for other servers.
        kv_tokens: The cache capacity of a model server in tokens, or 0 for other servers.
        transfer: The cost of prompt transfers between its model servers, or None if they have none.
        batch: The batch limits of a service that runs stages, or None.
        cold_ms: How long a server is cold after its start, in milliseconds.
        health_path: The path of health checks at its servers, or an empty string.
        cold_per_s: How many requests per second a cold server tolerates, or 0 for no limit.
        backups: The cost of copies of a run's cache at another of its model servers, or None if
            they keep none.
    """

    name: str
    max_connections: int
    slots: int = 0
    kv_tokens: int = 0
    batch: BatchLimits | None = None
    transfer: PromptTransfer | None = None
    cold_ms: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""
    backups: BackupLimits | None = None
