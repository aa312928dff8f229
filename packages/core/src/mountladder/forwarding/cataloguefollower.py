# cataloguefollower.py -- An instance's view of the catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance's view of the catalogue."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.errors import BadRowError
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.service import Service

Decode = Callable[[bytes], Catalogue]


class CatalogueFollower:
    """Holds the newest catalogue, whoever brings it; it only moves to higher versions.

    Args:
        decode: Reads a catalogue; raises BadRowError where it is malformed.
        clock: The clock that ages are measured on.

    Attributes:
        catalogue: The catalogue in force, or None where none is known yet.
        encoded: The same as it was received, to be passed on to peers.
        confirmed_at: When the store was last known to hold nothing newer, or None.
        is_fed: Tells whether news of a newer catalogue would come.
        listeners: Called with each new catalogue.
    """

    def __init__(self, decode: Decode, clock: Clock) -> None:
        self.decode = decode
        self.clock = clock
        self.catalogue: Catalogue | None = None
        self.encoded = b""
        self.confirmed_at: float | None = None
        self.is_fed: Callable[[], bool] = lambda: False
        self.listeners: list[Callable[[Catalogue], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, or 0."""
        return self.catalogue.version if self.catalogue else 0

    def service(self, name: str) -> Service | None:
        """Return what the catalogue in force says of a service, where it has it."""
        return self.catalogue.services.get(name) if self.catalogue else None

    def adopt(self, encoded: bytes, source: str) -> bool:
        """Put a catalogue in force where it is newer; tell whether it was."""
        try:
            catalogue = self.decode(encoded)
        except BadRowError as error:
            log_message("catalogue-refused", source=source, reason=str(error))
            return False
        if catalogue.version <= self.version:
            log_message(
                "catalogue-kept", source=source, offered=catalogue.version, version=self.version
            )
            return False
        before, self.catalogue, self.encoded = self.version, catalogue, encoded
        log_message(
            "catalogue-adopted",
            source=source,
            version=catalogue.version,
            before=before,
            age_ms=self.shown_age(),
        )
        for listener in self.listeners:
            listener(catalogue)
        return True

    def confirm(self, at: float) -> None:
        """Record that the store held nothing newer than the version in force at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def age_ms(self) -> float:
        """Return how long ago the catalogue was known to be the newest; infinite if never."""
        if self.confirmed_at is None:
            return float("inf")
        return self.clock.now() - self.confirmed_at

    def shown_age(self) -> float | None:
        """Return the age rounded for a log line, or None where it was never confirmed."""
        return None if self.confirmed_at is None else round(self.age_ms())
