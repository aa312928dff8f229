# presumedjudge.py -- Decides by the list of servers whether presumed crashes have happened
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides by the list of servers whether presumed crashes have happened."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.quarantine.crashdetector import LISTING_DELAY_MS
from mountladder.quarantine.serverlisting import ServerListing
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicionregistry import SuspicionRegistry

# The store's name as a source in log lines of the quarantine.
SOURCE = "the store"
# How often the list is checked, which bounds the delay of a decision. The names of 2,100 servers
# are collected for each check.
CHECK_MS = 250.0


class PresumedJudge:
    """Decides for rows of the store with presumed crashes whether the servers have crashed.

    After a loss of all instances nobody else knows which connections broke. A server incarnation
    that is not listed any more has crashed. One that is still listed when the entry of a crashed
    server would have lapsed has only lost an answer.

    Args:
        quarantine: The quarantine of this instance.
        listing: The list of servers.
        clock: The clock.

    Attributes:
        undecided: The suspicions whose presumed crashes are not all decided, by fingerprint.
        on_confirmed: Called with a suspicion that is to be persisted after the decision.
        on_dropped: Called with the fingerprint of a row that is to be deleted.
    """

    def __init__(self, quarantine: SuspicionRegistry, listing: ServerListing, clock: Clock) -> None:
        self.quarantine = quarantine
        self.listing = listing
        self.clock = clock
        self.undecided: dict[str, Suspicion] = {}
        self.on_confirmed: Callable[[Suspicion], None] = lambda suspicion: None
        self.on_dropped: Callable[[str], None] = lambda fingerprint: None

    def start(self, rows: Sequence[Suspicion]) -> None:
        """Start to decide about rows that were read from the store."""
        now = self.clock.now()
        for row in rows:
            # A time in the future would leave the row undecided for good.
            presumed = tuple(replace(one, at=min(one.at, now)) for one in row.presumed)
            self.undecided[row.fingerprint] = replace(row, presumed=presumed)
            if row.crashes:
                self.quarantine.merge([replace(row, presumed=())], SOURCE)
        self.check()

    def check(self) -> None:
        """Check the list of servers, until every row is decided."""
        listed = self.listing.incarnations()
        if listed is not None:
            found = [self.decide(row, listed) for row in list(self.undecided.values())]
            # Merged at once, since crashes of different rows may have one cause.
            self.quarantine.merge([one for one in found if one.crashes], SOURCE)
            for one in found:
                if not self.undecided[one.fingerprint].presumed:
                    self.finish(one.fingerprint)
        if self.undecided:
            self.clock.call_later(CHECK_MS, self.check)

    def decide(self, row: Suspicion, listed: frozenset[str]) -> Suspicion:
        """Decide about the presumed crashes of a row as far as the list of servers shows them.

        The row stays in `undecided` with the crashes that are left.

        Args:
            row: The row.
            listed: The names of the listed server incarnations.

        Returns:
            A suspicion with the crashes that have happened.
        """
        now = self.clock.now()
        if row.expires_at < now:
            log_message("presumed-row-expired", fingerprint=row.fingerprint)
            self.undecided[row.fingerprint] = replace(row, presumed=())
            return Suspicion(row.fingerprint, row.service)
        crashed = tuple(one for one in row.presumed if one.server not in listed)
        alive = [
            one.server
            for one in row.presumed
            if one.server in listed and now - one.at >= LISTING_DELAY_MS
        ]
        left = tuple(one for one in row.presumed if one not in crashed and one.server not in alive)
        if crashed or alive:
            log_message(
                "presumed-crashes-decided",
                fingerprint=row.fingerprint,
                crashed=[one.server for one in crashed],
                alive=alive,
                undecided=[one.server for one in left],
                ages_ms={one.server: round(now - one.at) for one in row.presumed},
            )
        self.undecided[row.fingerprint] = replace(row, presumed=left)
        return Suspicion(row.fingerprint, row.service, crashed)

    def finish(self, fingerprint: str) -> None:
        """Replace a row by the confirmed suspicion, or delete it if too few servers crashed."""
        del self.undecided[fingerprint]
        known = self.quarantine.suspicions.get(fingerprint)
        if known is not None and known.is_persisted:
            self.on_confirmed(known)
        else:
            self.on_dropped(fingerprint)
