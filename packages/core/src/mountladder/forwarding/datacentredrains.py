# datacentredrains.py -- The data centres whose servers are to get nothing
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The data centres whose servers are to get nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.store.position import BEGINNING, Position

# A store that came back from an older copy lacks what the operator wrote last until that is written
# again, as servers' entries do, which takes about two seconds (the users' letter).
WRITTEN_AGAIN_MS = 2_000.0
# How many data centres are remembered, several times as many as there are to be (16); rows of the
# operator's table under names that are none must not fill heartbeats, which carry them all.
MOST_DATACENTRES = 64


class DatacentreDrains:
    """The data centres that the operator drains: nothing new is sent to their servers.

    Each entry only moves to higher positions, whoever tells of them, and one that was taken back is
    remembered, so that an older word does not bring it into force again. Every sign of life carries
    all of them, some 30 bytes each, so that whoever connects knows them before it sends anything.

    Args:
        clock: The clock.

    Attributes:
        entries: What is known of each data centre that was ever drained.
        complete_to: The position up to which the operator's table was read whole.
        doubtful: The data centres whose drain an older copy of the table lacks, for a while.
        returned_at: When each data centre was last taken back.
        listeners: Called after each change.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[str, DatacentreDrain] = {}
        self.complete_to = BEGINNING
        self.doubtful: set[str] = set()
        self.returned_at: dict[str, float] = {}
        self.listeners: list[Callable[[], None]] = []

    def is_drained(self, datacentre: str) -> bool:
        """Tell whether nothing new is to be sent to the servers of a data centre."""
        entry = self.entries.get(datacentre)
        return entry is not None and entry.active

    @property
    def any_active(self) -> bool:
        """Tell whether any data centre is drained."""
        return any(one.active for one in self.entries.values())

    def apply(self, told: Iterable[DatacentreDrain], source: str) -> None:
        """Take in what the store or a peer tells.

        Args:
            told: What they know of some data centres.
            source: Who tells, for the log.
        """
        news = [one for one in told if self.is_news(one)]
        for one in news:
            self.take(one, source)
        if news:
            self.forget_oldest()
            for listener in self.listeners:
                listener()

    def is_news(self, entry: DatacentreDrain) -> bool:
        """Tell whether an entry is newer than what is known."""
        known = self.entries.get(entry.datacentre)
        if known is None:
            return entry.position > self.complete_to or self.may_be_missing(entry)
        return entry.position > known.position

    def may_be_missing(self, entry: DatacentreDrain) -> bool:
        """Tell whether the table may lack a drain only since it came back from an older copy."""
        return entry.active and entry.position.era < self.complete_to.era

    def take(self, entry: DatacentreDrain, source: str) -> None:
        """Take in one newer entry."""
        before = self.is_drained(entry.datacentre)
        self.entries[entry.datacentre] = entry
        if before and not entry.active:
            self.returned_at[entry.datacentre] = self.clock.now()
        log_message(
            "datacentre-drained" if entry.active else "datacentre-taken-back",
            datacentre=entry.datacentre,
            before=before,
            era=entry.position.era,
            version=entry.position.version,
            source=source,
        )
        if self.may_be_missing(entry):
            self.doubt(entry.datacentre, self.complete_to)

    def replace(self, told: Iterable[DatacentreDrain], position: Position, source: str) -> None:
        """Take in all that the operator's table holds at a position; the others were taken back.

        Where the table is of a newer era than what is known of a drained data centre, it may lack
        that drain only until the operator has written it again.
        """
        listed = list(told)
        names = {one.datacentre for one in listed}
        older = [one for one in self.entries.values() if one.active and one.position < position]
        for one in older:
            if one.datacentre in names:
                continue
            if one.position.era < position.era:
                self.doubt(one.datacentre, position)
            else:
                listed.append(DatacentreDrain(one.datacentre, position, False))
        self.apply(listed, source)
        self.complete_to = max(self.complete_to, position)

    def doubt(self, datacentre: str, position: Position) -> None:
        """Keep a drain for a while that an older copy of the table lacks."""
        if datacentre in self.doubtful:
            return
        self.doubtful.add(datacentre)
        log_message("drain-doubtful", datacentre=datacentre, kept_for_ms=WRITTEN_AGAIN_MS)

        def settle() -> None:
            """Take it back, unless it was written again meanwhile, which is newer."""
            self.doubtful.discard(datacentre)
            taken_back = DatacentreDrain(datacentre, position, False)
            self.apply([taken_back], "the store, not written again")

        self.clock.call_later(WRITTEN_AGAIN_MS, settle)

    def told(self) -> tuple[DatacentreDrain, ...]:
        """Return all that is known, for peers."""
        return tuple(self.entries.values())

    def forget_oldest(self) -> None:
        """Forget the oldest entries where there are too many, those in force last."""
        over = len(self.entries) - MOST_DATACENTRES
        if over > 0:
            ordered = sorted(self.entries.values(), key=lambda one: (one.active, one.position))
            for one in ordered[:over]:
                del self.entries[one.datacentre]
            log_message("drains-forgotten", datacentres=[one.datacentre for one in ordered[:over]])
