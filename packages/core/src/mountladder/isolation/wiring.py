# wiring.py -- Connects the detection of isolation and the relay to an instance's components
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Connects the detection of isolation and the relay to an instance's components."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mountladder.forwarding.upstream import Upstream
from mountladder.isolation.isolationdetector import IsolationDetector
from mountladder.isolation.relaypeers import RelayPeers
from mountladder.isolation.requestrelay import RequestRelay
from mountladder.isolation.serversample import ServerSample

if TYPE_CHECKING:
    from mountladder.forwarding.forwardingcomponents import ForwardingComponents


def make_detector(components: ForwardingComponents, upstream: Upstream) -> IsolationDetector:
    """Return the detector of an instance, which coordinates nothing while it is isolated.

    Args:
        components: The instance's components.
        upstream: Opens connections to backend servers.
    """
    rng = random.Random(components.seed)
    sample = ServerSample(components.directory, components.settings.datacentre, rng)
    detector = IsolationDetector(
        sample.draw, upstream.reaches, components.clock, components.metrics
    )
    detector.listeners.append(components.handle_isolation)
    return detector


def make_relay(components: ForwardingComponents) -> RequestRelay:
    """Return the relay of an instance's requests to other instances."""
    return RequestRelay(
        components.isolation,
        RelayPeers(components.fleet, components.rng),
        components.peer_relay,
        components.budgets,
        components.clock,
        components.metrics,
    )
