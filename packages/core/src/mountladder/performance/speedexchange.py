# speedexchange.py -- Sends what a coordinator has learnt of servers to those who may need it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sends what a coordinator has learnt of servers to those who may need it."""

from __future__ import annotations

import math

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.ranking import prompts_topic
from mountladder.membership.link import Link
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.performance.serverspeed import ServerSpeed
from mountladder.performance.serverspeeds import ServerSpeeds
from mountladder.performance.speedtable import SpeedTable

# A coordinator that dies takes with it what it has learnt within this time.
INTERVAL_MS = 2_000.0
# An entry is sent again after a change by more than 5 %, and at most MAX_ENTRIES at once: 64 of
# about 30 bytes in two seconds are 1 KB/s.
MIN_CHANGE = math.log(1.05)
MAX_ENTRIES = 64


class SpeedExchange:
    """Sends the speeds of servers to standbys and to other data centres' coordinators.

    Args:
        fleet: The other instances.
        table: The speeds known here, or None if they are not learnt.
        clock: The clock.
        metrics: Counts the entries that were sent and used.

    Attributes:
        sent: The factor that was last sent, by link, service and server. A receiver that restarts
            or connects again has a new link, and is sent everything again.
    """

    def __init__(
        self, fleet: Fleet, table: SpeedTable | None, clock: Clock, metrics: Metrics
    ) -> None:
        self.fleet = fleet
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.sent: dict[tuple[Link, str], dict[str, float]] = {}
        fleet.subscribe(ServerSpeeds, self.receive)

    def run(self) -> None:
        """Send changes periodically, forever."""
        while True:
            self.clock.sleep(INTERVAL_MS)
            self.send_changes()

    def send_changes(self) -> None:
        """Send the changes of the services that this instance coordinates."""
        if self.table is None:
            return
        # Without requests, nothing else drops servers whose entries have not reappeared.
        self.fleet.division.directory.drop_expired()
        receivers = [
            (link, service) for service in self.table.paces for link in self.receivers(service)
        ]
        self.sent = {key: self.sent.get(key, {}) for key in receivers}
        for (link, service), sent in self.sent.items():
            speeds = self.table.speeds(service)
            known = {one.server for one in speeds}
            for gone in sent.keys() - known:
                del sent[gone]
            entries = changed(speeds, sent)
            if entries:
                sent.update((one.server, one.factor) for one in entries)
                self.metrics.count(Metric.SPEEDS_SENT, number=len(entries))
                self.fleet.send_later(link, ServerSpeeds(service, entries))

    def receivers(self, service: str) -> list[Link]:
        """Return the links to the standbys and the other coordinators of a service."""
        coordinators = self.fleet.coordinators
        found: dict[str, Link] = {}
        for topic in (service, prompts_topic(service)):
            if topic not in coordinators.topics or self.fleet.coordinator(topic) is not None:
                continue
            others = [
                one for one in coordinators.ranked(topic) if one is not coordinators.membership.me
            ]
            found |= {one.peer: self.fleet.links.get(one.peer) for one in others[:1]}
            if self.fleet.division.is_divided(topic):
                links = self.fleet.coordinator_links(topic).values()
                found |= {link.peer.peer: link for link in links}
        return [link for link in found.values() if link is not None]

    def receive(self, message: ServerSpeeds, link: Link) -> None:
        """Merge the speeds that another coordinator sends."""
        if self.table is None:
            return
        used = self.table.merge(message.service, message.entries)
        self.metrics.count(Metric.SPEEDS_USED, number=used)
        log_message(
            "server-speeds-received",
            service=message.service,
            peer=link.peer.name,
            entries=len(message.entries),
            used=used,
            oldest_ms=round(max((one.age_ms for one in message.entries), default=0.0)),
        )


def changed(speeds: list[ServerSpeed], sent: dict[str, float]) -> tuple[ServerSpeed, ...]:
    """Return the speeds to send: those that differ from what was sent, up to MAX_ENTRIES."""
    return tuple(
        one
        for one in speeds
        if one.server not in sent or abs(math.log(one.factor / sent[one.server])) > MIN_CHANGE
    )[:MAX_ENTRIES]
