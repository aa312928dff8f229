# storeintake.py -- Taking in what the platform's store says
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Taking in what the platform's store says."""

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
from mountladder.store.eratracker import EraTracker

STORE = "store"


class StoreIntake:
    """Decodes pages of the tables that are followed, and hands on what they say.

    Args:
        tables: How rows are decoded.
        follower: The catalogue in force.
        directory: The list of backend servers.
        eras: Notices that the store has come back from an older copy.
        clock: The clock.
    """

    def __init__(
        self,
        tables: PlatformTables,
        follower: CatalogueFollower,
        directory: Directory,
        eras: EraTracker,
        clock: Clock,
    ) -> None:
        self.tables = tables
        self.follower = follower
        self.directory = directory
        self.eras = eras
        self.clock = clock

    def take_catalogue(self, page: SourcePage, whole: bool) -> None:
        """Take in what the operator's table says of the catalogue and of drained data centres.

        The drains come first, so that nothing is sent by the catalogue before they are known.
        """
        self.eras.observe(page.position.era, STORE)
        self.take_drains(page, whole)
        for row in page.rows:
            if row.value is not None and self.tables.is_catalogue(row.key):
                self.follower.adopt(row.value, STORE)
        self.follower.confirm(self.clock.now())

    def take_drains(self, page: SourcePage, whole: bool) -> None:
        """Take in what the operator's table says of drained data centres."""
        told = []
        for row in page.rows:
            datacentre = self.tables.drained_datacentre(row.key)
            if datacentre:
                told.append(DatacentreDrain(datacentre, row.position, row.value is not None))
        if whole:
            self.directory.drains.replace(told, page.position, STORE)
        else:
            self.directory.drains.apply(told, STORE)

    def take_servers(self, page: SourcePage, whole: bool) -> None:
        """Take in what the store says of backend servers."""
        self.eras.observe(page.position.era, STORE)
        records = []
        for row in page.rows:
            try:
                records.append(self.tables.decode_server(row))
            except BadRowError as error:
                # Whatever wrote it, the entry names no server now, also where it named one before.
                records.append(ServerRecord(row.key, row.position))
                log_message("server-unread", server=row.key, reason=str(error))
        if whole:
            self.directory.replace(records, page.position, STORE)
        else:
            self.directory.apply(records, page.position, STORE)
