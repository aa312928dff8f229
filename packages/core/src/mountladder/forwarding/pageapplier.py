# pageapplier.py -- Decodes pages of the store's tables and applies them to the local state
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decodes pages of the store's tables and applies them to the local state."""

from __future__ import annotations

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.errors import BadRowError
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.platformtables import PlatformTables
from mountladder.forwarding.serverrecord import ServerRecord
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.store.eratracker import EraTracker

STORE = "store"


class PageApplier:
    """Decodes pages of the store's tables and applies them to the catalogue and the directory.

    Args:
        tables: The tables and their decoders.
        follower: The catalogue in force.
        directory: The list of backend servers.
        era_tracker: Detects that the store was restored from an older copy.
        clock: The clock.
        metrics: Counts entries that cannot be decoded.
    """

    def __init__(
        self,
        tables: PlatformTables,
        follower: CatalogueFollower,
        directory: Directory,
        era_tracker: EraTracker,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.tables = tables
        self.follower = follower
        self.directory = directory
        self.era_tracker = era_tracker
        self.clock = clock
        self.metrics = metrics

    def apply_catalogue(self, page: SourcePage, whole: bool) -> None:
        """Apply a page of the operator's table, which holds the catalogue and the drains.

        Drains are applied first, so that no work is routed by the new catalogue before they are
        known.
        """
        self.era_tracker.observe(page.position.era, STORE)
        self.apply_drains(page, whole)
        for row in page.rows:
            if row.value is not None and self.tables.is_catalogue(row.key):
                self.follower.adopt(row.value, STORE)
        self.follower.confirm(self.clock.now())

    def apply_drains(self, page: SourcePage, whole: bool) -> None:
        """Apply the drained data centres of a page of the operator's table."""
        drains = []
        for row in page.rows:
            datacentre = self.tables.drained_datacentre(row.key)
            if datacentre:
                drains.append(DatacentreDrain(datacentre, row.position, row.value is not None))
        if whole:
            self.directory.drains.replace(drains, page.position, STORE)
        else:
            self.directory.drains.apply(drains, STORE)

    def apply_servers(self, page: SourcePage, whole: bool) -> None:
        """Apply a page of the table of backend servers."""
        self.era_tracker.observe(page.position.era, STORE)
        records = self.decode_servers(page)
        if whole:
            self.directory.replace(records, page.position, STORE)
        else:
            self.directory.apply(records, page.position, STORE)

    def decode_servers(self, page: SourcePage) -> list[ServerRecord]:
        """Decode the entries of a page of the table of backend servers."""
        records = []
        for row in page.rows:
            try:
                records.append(self.tables.decode_server(row))
            except BadRowError as error:
                # A malformed entry counts as removed, even if it named a server before.
                records.append(ServerRecord(row.key, row.position))
                self.metrics.count(Metric.MALFORMED_ROWS)
                log_message("server-entry-malformed", server=row.key, reason=str(error))
        return records
