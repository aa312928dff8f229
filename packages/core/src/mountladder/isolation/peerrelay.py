# peerrelay.py -- Interface for sending requests to other instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface for sending requests to other instances."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.upstreamanswer import UpstreamAnswer


class PeerRelay(ABC):
    """Sends callers' requests to other instances, which run them."""

    @abstractmethod
    def send(self, address: str, request: ForwardRequest, limit_ms: float) -> UpstreamAnswer | None:
        """Send a request to another instance and return its answer once the head has arrived.

        Args:
            address: The address at which the instance accepts requests of others.
            request: The request.
            limit_ms: The timeout for the head of the answer, in milliseconds.

        Returns:
            The answer, or None if the instance has not run the request and cannot run it.

        Raises:
            StageError: No answer came; the field `dispatched` says whether the request may have
                been run.
        """
