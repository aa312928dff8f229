# datacentredrains.py -- Tracks the data centres that the operator drains
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tracks the data centres that the operator drains."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.store.position import BEGINNING, Position

# A store restored from an older copy lacks the operator's latest writes until they are written
# again, which takes about two seconds, as for the entries of servers.
REWRITE_MS = 2_000.0
# Bounds the size of beacons, which carry all entries, if the operator's table holds rows under
# names that are no data centres. At most 16 data centres are expected.
MAX_DATACENTRES = 64


class DatacentreDrains:
    """The data centres that the operator drains: nothing new is sent to their servers.

    The position of an entry never decreases, whether the store or a peer reports it. Undrained data
    centres are remembered, so that an older report does not drain them again. Every beacon carries
    all entries, about 30 bytes each, so that a peer knows them before it sends any work.

    Args:
        clock: The clock.

    Attributes:
        entries: The newest entry of each data centre that was ever drained, by name.
        complete_to: The position as of which the operator's table was last read in full.
        unconfirmed: The data centres that stay drained for now although a restored table lacks
            them.
        undrained_at: When each data centre was last undrained.
        listeners: Called after each change.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[str, DatacentreDrain] = {}
        self.complete_to = BEGINNING
        self.unconfirmed: set[str] = set()
        self.undrained_at: dict[str, float] = {}
        self.listeners: list[Callable[[], None]] = []

    def is_drained(self, datacentre: str) -> bool:
        """Return whether a data centre is drained, so that its servers get no new work."""
        entry = self.entries.get(datacentre)
        return entry is not None and entry.active

    @property
    def any_active(self) -> bool:
        """Return whether any data centre is drained."""
        return any(one.active for one in self.entries.values())

    def apply(self, reported: Iterable[DatacentreDrain], source: str) -> None:
        """Apply entries from the store or a peer, and notify the listeners of changes.

        Args:
            reported: The entries; those that are not newer than the known ones are ignored.
            source: Where they came from, for the log.
        """
        newer = [one for one in reported if self.is_newer(one)]
        for one in newer:
            self.apply_entry(one, source)
        if newer:
            self.forget_oldest()
            for listener in self.listeners:
                listener()

    def is_newer(self, entry: DatacentreDrain) -> bool:
        """Return whether an entry is newer than the known one."""
        known = self.entries.get(entry.datacentre)
        if known is None:
            return entry.position > self.complete_to or self.may_be_missing(entry)
        return entry.position > known.position

    def may_be_missing(self, entry: DatacentreDrain) -> bool:
        """Return whether the table may lack a drain only because it was restored from a copy."""
        return entry.active and entry.position.era < self.complete_to.era

    def apply_entry(self, entry: DatacentreDrain, source: str) -> None:
        """Apply one newer entry."""
        before = self.is_drained(entry.datacentre)
        self.entries[entry.datacentre] = entry
        if before and not entry.active:
            self.undrained_at[entry.datacentre] = self.clock.now()
        log_message(
            "datacentre-drained" if entry.active else "datacentre-undrained",
            datacentre=entry.datacentre,
            before=before,
            era=entry.position.era,
            version=entry.position.version,
            source=source,
        )
        if self.may_be_missing(entry):
            self.keep_unconfirmed(entry.datacentre, self.complete_to)

    def replace(self, reported: Iterable[DatacentreDrain], position: Position, source: str) -> None:
        """Apply the full contents of the operator's table; data centres it lacks are undrained.

        If the table is of a newer era than a known drain, the store was restored from an older
        copy, and the drain is kept until the operator has had time to write it again.
        """
        listed = list(reported)
        names = {one.datacentre for one in listed}
        older = [one for one in self.entries.values() if one.active and one.position < position]
        for one in older:
            if one.datacentre in names:
                continue
            if one.position.era < position.era:
                self.keep_unconfirmed(one.datacentre, position)
            else:
                listed.append(DatacentreDrain(one.datacentre, position, False))
        self.apply(listed, source)
        self.complete_to = max(self.complete_to, position)

    def keep_unconfirmed(self, datacentre: str, position: Position) -> None:
        """Keep a drain that a restored table lacks until the operator can have rewritten it."""
        if datacentre in self.unconfirmed:
            return
        self.unconfirmed.add(datacentre)
        log_message("drain-unconfirmed", datacentre=datacentre, kept_for_ms=REWRITE_MS)

        def expire() -> None:
            """Undrain the data centre; has no effect if a newer entry was written meanwhile."""
            self.unconfirmed.discard(datacentre)
            undrained = DatacentreDrain(datacentre, position, False)
            self.apply([undrained], "the store, drain not rewritten")

        self.clock.call_later(REWRITE_MS, expire)

    def all_entries(self) -> tuple[DatacentreDrain, ...]:
        """Return all entries, to be sent to peers."""
        return tuple(self.entries.values())

    def forget_oldest(self) -> None:
        """Drop the oldest entries above the limit, active drains last."""
        over = len(self.entries) - MAX_DATACENTRES
        if over > 0:
            ordered = sorted(self.entries.values(), key=lambda one: (one.active, one.position))
            for one in ordered[:over]:
                del self.entries[one.datacentre]
            log_message(
                "drain-entries-dropped", datacentres=[one.datacentre for one in ordered[:over]]
            )
