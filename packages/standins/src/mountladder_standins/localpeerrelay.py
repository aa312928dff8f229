# localpeerrelay.py -- Relays requests between instances in one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Relays requests between instances in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.errors import MountladderError, StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.isolation.peerrelay import PeerRelay
from mountladder_standins.relayedlocalanswer import RelayedLocalAnswer

if TYPE_CHECKING:
    from mountladder_standins.forwardfleet import ForwardFleet


class LocalPeerRelay(PeerRelay):
    """Sends requests from one instance of a fleet to others.

    Args:
        fleet: The fleet.
        name: The name of the instance.
    """

    def __init__(self, fleet: ForwardFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name

    def send(self, address: str, request: ForwardRequest, limit_ms: float) -> UpstreamAnswer | None:
        """Have another instance run a request; see PeerRelay."""
        near, there = self.fleet.instances[self.name], self.fleet.instances.get(address)
        if there is None or not self.fleet.network.reachable(near.me, there.me):
            raise StageError("the instance cannot be reached", Code.CONNECT_FAILED, False)
        if not there.accepts_relayed:
            return None
        self.fleet.relayed.append((self.name, address, request.id))
        try:
            answer = there.forwarder.serve(request, relayed=True)
        except MountladderError as error:
            return RelayedLocalAnswer(ForwardAnswer(error.code.status, (), b""), False)
        if address in self.fleet.broken_relays:
            raise StageError("the connection broke", Code.STREAM_CUT)
        return RelayedLocalAnswer(answer, True)
