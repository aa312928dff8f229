# changesrequest.py -- Message that requests newer configuration changes from a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that requests newer configuration changes from a peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Requests the configuration changes after a revision from a peer.

    Attributes:
        revision: The revision in force at the sender.
    """

    revision: int
