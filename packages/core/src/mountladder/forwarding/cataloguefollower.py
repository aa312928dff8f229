# cataloguefollower.py -- Holds the newest catalogue that the store or a peer has sent
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Holds the newest catalogue that the store or a peer has sent."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.errors import BadRowError
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.service import Service

Decode = Callable[[bytes], Catalogue]


class CatalogueFollower:
    """Holds the newest catalogue from the store or a peer; its version never decreases.

    Args:
        decode: Decodes a catalogue; raises BadRowError if it is malformed.
        clock: The clock that ages are measured with.

    Attributes:
        catalogue: The catalogue in force, or None before the first one.
        encoded: The same in its encoded form, to be sent to peers.
        confirmed_at: When the store was last known to hold nothing newer, or None.
        is_feed_live: Returns whether a newer catalogue would reach this instance at present.
        listeners: Called with each new catalogue.
    """

    def __init__(self, decode: Decode, clock: Clock) -> None:
        self.decode = decode
        self.clock = clock
        self.catalogue: Catalogue | None = None
        self.encoded = b""
        self.confirmed_at: float | None = None
        self.is_feed_live: Callable[[], bool] = lambda: False
        self.listeners: list[Callable[[Catalogue], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, or 0."""
        return self.catalogue.version if self.catalogue else 0

    def service(self, name: str) -> Service | None:
        """Return a service of the catalogue in force, or None."""
        return self.catalogue.services.get(name) if self.catalogue else None

    def adopt(self, encoded: bytes, source: str) -> bool:
        """Put a catalogue in force if it is newer than the current one.

        Args:
            encoded: The encoded catalogue.
            source: Where it came from, for the log.

        Returns:
            Whether it was put in force.
        """
        try:
            catalogue = self.decode(encoded)
        except BadRowError as error:
            log_message("catalogue-refused", source=source, reason=str(error))
            return False
        if catalogue.version <= self.version:
            log_message(
                "catalogue-not-newer",
                source=source,
                offered=catalogue.version,
                version=self.version,
            )
            return False
        before, self.catalogue, self.encoded = self.version, catalogue, encoded
        log_message(
            "catalogue-adopted",
            source=source,
            version=catalogue.version,
            before=before,
            age_ms=self.rounded_age_ms(),
        )
        for listener in self.listeners:
            listener(catalogue)
        return True

    def confirm(self, at: float) -> None:
        """Record a time at which the store held nothing newer than the version in force."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def age_ms(self) -> float:
        """Return the time since the catalogue was last confirmed as newest; infinite if never."""
        if self.confirmed_at is None:
            return float("inf")
        return self.clock.now() - self.confirmed_at

    def rounded_age_ms(self) -> float | None:
        """Return the age in milliseconds, rounded for a log line, or None if never confirmed."""
        return None if self.confirmed_at is None else round(self.age_ms())
