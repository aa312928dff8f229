# speedtable.py -- Speeds of the backend servers that an instance observes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Speeds of the backend servers that an instance observes."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.performance.decisions import (
    MAX_FACTOR,
    MIN_FACTOR,
    MIN_SAMPLES,
    SPELL_RATIO,
    lasting_factor,
    median_level,
    spell_ratio,
    wins,
)
from mountladder.performance.learntlevel import LearntLevel
from mountladder.performance.serverpace import ServerPace
from mountladder.performance.serverspeed import ServerSpeed
from mountladder.performance.worktype import WorkType

# How long a spell is assumed after slow work: the spells that were observed last 600 ms.
SPELL_MS = 600.0
# How long a server's own report of its current speed is used. Reports change many times a second.
REPORT_MS = 200.0
# The factors of a service are computed again at most this often: a factor changes over seconds.
REFRESH_MS = 250.0
# A factor is logged again after a change by more than this. A server's factor and its spells are
# each logged at most every LOG_INTERVAL_MS, so that 131 servers write at most 131 lines a second.
LOGGED_CHANGE = math.log(1.1)
LOG_INTERVAL_MS = 2_000.0


class SpeedTable:
    """Learns how fast each backend server is, from the work that this instance observes.

    Args:
        clock: The clock.
        metrics: Counts spells and reports how many servers differ from the usual speed.
        is_cold: Returns whether a server is cold, so that its times say nothing lasting.

    Attributes:
        paces: What is known of each server, by service and name.
        medians: The median level of the servers of each service.
        usual: The usual time of each type of work, by service and type.
        refreshed_at: When the factors of a service were last computed.
        on_pace: Called with each new entry.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, is_cold: Callable[[BackendServer], bool]
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.is_cold = is_cold
        self.paces: dict[str, dict[str, ServerPace]] = {}
        self.medians: dict[str, float] = {}
        self.usual: dict[tuple[str, WorkType], LearntLevel] = {}
        self.refreshed_at: dict[str, float] = {}
        self.on_pace: Callable[[ServerPace], None] = lambda pace: None

    def pace(self, server: str, service: str) -> ServerPace:
        """Return what is known of a server; a new server gets an entry."""
        paces = self.paces.setdefault(service, {})
        pace = paces.get(server)
        if pace is None:
            pace = paces[server] = ServerPace(server, service)
            self.on_pace(pace)
        return pace

    def pace_of(self, server: BackendServer) -> ServerPace:
        """Return what is known of a listed server; see pace."""
        return self.pace(server.name, server.labels.get(SERVICE_LABEL, ""))

    def record(self, server: BackendServer, work: WorkType, ratio: float) -> None:
        """Learn from work that a server has done.

        Args:
            server: The server.
            work: The type of work.
            ratio: Its time as a multiple of what the work would take on a usual server without
                load, or in any unit that is the same for all servers of the service.
        """
        if ratio <= 0 or self.is_cold(server):
            return
        now = self.clock.now()
        pace = self.pace_of(server)
        self.check_spell(pace, work, ratio, now)
        measured = math.log(ratio)
        usual = self.usual.get((pace.service, work))
        if usual is None:
            usual = LearntLevel(measured - pace.learnt.level)
        sample = measured - usual.level
        # Without the server's own level, so that the usual time does not depend on which servers
        # were measured last.
        self.usual[pace.service, work] = usual.after(measured - pace.learnt.level, now)
        pace.learnt = pace.learnt.after(sample, now)
        if now - self.refreshed_at.get(pace.service, -math.inf) >= REFRESH_MS:
            self.refresh(pace.service, now)

    def record_overdue(self, server: BackendServer, work: WorkType, ratio: float) -> None:
        """Check work that has not ended, and takes too long already, for a spell; see record."""
        if not self.is_cold(server):
            self.check_spell(self.pace_of(server), work, ratio, self.clock.now())

    def record_report(self, server: BackendServer, factor: float) -> None:
        """Use a server's own report of how much longer than usual work takes there at present."""
        pace = self.pace_of(server)
        ratio = min(MAX_FACTOR, factor / pace.factor)
        if ratio > SPELL_RATIO:
            self.begin_spell(pace, ratio, self.clock.now(), REPORT_MS, "report")

    def check_spell(self, pace: ServerPace, work: WorkType, ratio: float, now: float) -> None:
        """Assume a spell if work took much longer than the server's lasting factor predicts."""
        usual = self.usual.get((pace.service, work))
        if usual is None or usual.samples < MIN_SAMPLES:
            return
        sample = math.log(ratio) - usual.level
        # A server known from a peer's message has no spread of its own yet.
        spread = max(pace.learnt.spread, usual.spread)
        spell = spell_ratio(sample, spread, self.medians.get(pace.service, 0.0), pace.factor)
        if spell > 1.0:
            self.begin_spell(pace, spell, now, SPELL_MS, work.value)

    def begin_spell(
        self, pace: ServerPace, ratio: float, now: float, for_ms: float, source: str
    ) -> None:
        """Assume a spell, and log it if there was none, at most once in LOG_INTERVAL_MS."""
        if not pace.begin_spell(ratio, now, for_ms):
            return
        self.metrics.count(Metric.SPELLS)
        if now - pace.spell_logged_at >= LOG_INTERVAL_MS:
            pace.spell_logged_at = now
            log_message(
                "server-spell",
                server=pace.server,
                service=pace.service,
                source=source,
                ratio=round(ratio, 2),
                factor=round(pace.factor, 2),
                samples=pace.learnt.samples,
                for_ms=for_ms,
            )

    def refresh(self, service: str, now: float) -> None:
        """Compute the lasting factors of a service's servers from their levels."""
        self.refreshed_at[service] = now
        paces = self.paces.get(service, {}).values()
        for pace in paces:
            pace.learnt = pace.learnt.at(now)
        median = self.medians[service] = median_level(one.learnt for one in paces)
        for pace in paces:
            pace.factor = lasting_factor(pace.learnt, median)
            if pace.factor != pace.logged_factor:
                self.log_change(pace, now)
        unequal = sum(one.factor != 1.0 for known in self.paces.values() for one in known.values())
        self.metrics.gauge(Metric.UNEQUAL_SERVERS, unequal)

    def log_change(self, pace: ServerPace, now: float) -> None:
        """Log a factor that has changed noticeably, unless it was logged a moment ago."""
        change = abs(math.log(pace.factor / pace.logged_factor))
        if change <= LOGGED_CHANGE or now - pace.logged_at < LOG_INTERVAL_MS:
            return
        log_message(
            "server-speed",
            server=pace.server,
            service=pace.service,
            factor=round(pace.factor, 2),
            before=round(pace.logged_factor, 2),
            samples=pace.learnt.samples,
            spread=round(pace.learnt.spread, 2),
            age_ms=round(now - pace.learnt.measured_at),
        )
        pace.logged_factor, pace.logged_at = pace.factor, now

    def speeds(self, service: str) -> list[ServerSpeed]:
        """Return the speeds of a service's servers that have enough samples, to send to a peer.

        The message does not tell how much the samples vary, so the factor is sent as it is used
        here: a peer would take a difference by chance for a lasting one.
        """
        now = self.clock.now()
        return [
            ServerSpeed(one.server, one.factor, one.learnt.samples, now - one.learnt.measured_at)
            for one in self.paces.get(service, {}).values()
            if one.learnt.samples >= MIN_SAMPLES
        ]

    def merge(self, service: str, received: Iterable[ServerSpeed]) -> int:
        """Merge what another instance has learnt; return the number of entries that were used.

        Entries are compared by their samples, so that of two coordinators the one that has
        measured a server more often decides.
        """
        now = self.clock.now()
        median = self.medians.get(service, 0.0)
        used = 0
        for one in received:
            factor = min(MAX_FACTOR, max(MIN_FACTOR, one.factor))
            level = median + math.log(factor)
            learnt = LearntLevel(level, one.samples, 0.0, now - one.age_ms).at(now)
            pace = self.pace(one.server, service)
            if wins(learnt, pace.learnt.at(now)):
                pace.learnt = learnt
                used += 1
        if used:
            self.refresh(service, now)
        return used

    def drop_unlisted(self, listed: frozenset[str]) -> None:
        """Drop the entries of servers that are neither listed nor may be listed again soon."""
        for paces in self.paces.values():
            for name in [name for name in paces if name not in listed]:
                paces.pop(name).reset()
