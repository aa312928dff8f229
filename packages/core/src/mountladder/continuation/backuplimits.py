# backuplimits.py -- What copies of a run's cache cost at the model servers of a service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What copies of a run's cache cost at the model servers of a service."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.linktime import link_bytes_per_s


@dataclass(frozen=True, slots=True)
class BackupLimits:
    """What copies of a run's cache cost at the model servers of a service.

    Attributes:
        token_bytes: The cache size of one token, in bytes.
        link_mbps: The bandwidth of a server's link, in Mbit/s.
        handle_ms: How long a server keeps a copy after its last part, in milliseconds, if the run
            does not end successfully.
    """

    token_bytes: float
    link_mbps: float
    handle_ms: float

    @property
    def link_bytes_per_s(self) -> float:
        """Return the bandwidth of a server's link in bytes per second."""
        return link_bytes_per_s(self.link_mbps)
