# service.py -- A service of the catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A service of the catalogue."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.prompttransfer import PromptTransfer


@dataclass(frozen=True, slots=True)
class Service:
    """A service, whose backend servers the directory lists.

    Attributes:
        name: Its name.
        most_connections: How many connections one server accepts from all callers.
        slots: How many requests a model server batches, or 0 for other servers.
        kv_tokens: The memory of a model server in tokens, or 0.
        transfer: What moving prompts between its model servers takes, where they can.
        batch: What a server takes at once where the service works on stages, or None.
        cold_ms: For how long a server is cold after its start, in milliseconds.
        cold_per_s: How many requests a second a cold server tolerates, or 0 for any number.
    """

    name: str
    most_connections: int
    slots: int = 0
    kv_tokens: int = 0
    batch: BatchLimits | None = None
    transfer: PromptTransfer | None = None
    cold_ms: float = 0.0
    cold_per_s: float = 0.0
