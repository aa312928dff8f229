# suspicion.py -- The record of server crashes under one suspect
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The record of server crashes under one suspect."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspectkind import SuspectKind

NEVER = float("-inf")
# Other copies of a suspect wait while one is in flight: for twice the longest time that it ran
# before a crash, plus the time until a server begins it. The limit is a second, after which callers
# try elsewhere.
WAIT_FACTOR = 2.0
DISPATCH_MS = 100.0
MAX_WAIT_MS = 1_000.0
# A suspicion with this many independent crashes is persisted.
PERSIST_CRASHES = 2
# Max. number of crashes kept for a request; with more it has long been barred.
MAX_CRASHES = 8
# Max. number of cleared crashes that are remembered; well above the number of crashes kept.
MAX_CLEARED = 16
# Suspects expire after this time without a further crash; a first bar lasts as long.
SUSPECT_TTL_MS = 600_000.0
# How long a clearing is remembered, so that late reports of older crashes do not count again.
CLEARED_TTL_MS = 60_000.0
# How long the list of servers can still tell what became of a presumed crash. A loss of all
# instances takes some seconds; later a missing server may as well have been restarted since.
PRESUMED_TTL_MS = 60_000.0
# Bars are remembered this long after they expire, so that the next one lasts longer.
BAR_MEMORY_MS = 24 * 3_600_000.0
# Sends closer together than this are announced as one.
SAME_SEND_MS = 20.0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """The server crashes under one suspect, with what was done about it, in the whole fleet.

    A suspect is a request, with all attempts at it, or a part of prompts, with all requests that
    have it.

    Merging is commutative, so that instances may receive each other's updates in any order. Times
    are the clock's milliseconds.

    Attributes:
        fingerprint: The hash that all attempts at a request share, or that of a part.
        service: The service of the server that crashed last.
        crashes: The crashes of servers that had it in flight since it was cleared, the latest last.
        sent_at: When it was last sent to a server although it was suspect.
        cleared_at: When it was last answered completely, or cleared by an operator.
        bars: The number of times it was barred since then.
        barred_at: When it was last barred.
        cleared: The names of server incarnations whose crashes it was cleared of.
        presumed: The servers whose connections broke and that may have crashed, the latest last.
            Only rows of the store and messages have them: they make no request suspect.
        kind: What is suspected.
    """

    fingerprint: str
    service: str = ""
    crashes: tuple[ServerCrash, ...] = ()
    sent_at: float = NEVER
    cleared_at: float = NEVER
    bars: int = 0
    barred_at: float = NEVER
    cleared: tuple[str, ...] = ()
    presumed: tuple[ServerCrash, ...] = ()
    kind: SuspectKind = SuspectKind.REQUEST

    @property
    def is_suspect(self) -> bool:
        """Return whether any server crashed under the request since it was cleared."""
        return bool(self.crashes)

    @property
    def is_persisted(self) -> bool:
        """Return whether the suspicion is persisted, to survive a loss of all instances.

        A single crash may be chance and would keep an unaffected request suspect. Each further
        independent crash that is forgotten costs another server. For a prompt part, those count
        that came as servers began to answer different requests.
        """
        crashes = len(self.independent_crashes())
        if self.kind is SuspectKind.PART:
            crashes = len({one.request for one in self.independent_crashes() if not one.late})
        return bool(self.bars) or crashes >= PERSIST_CRASHES

    @property
    def changed_at(self) -> float:
        """Return the time of the latest crash, clearing or bar."""
        crashed_at = self.crashes[-1].at if self.crashes else NEVER
        return max(crashed_at, self.cleared_at, self.barred_at)

    @property
    def barred_until(self) -> float:
        """Return until when the request is barred; NEVER if it is not."""
        if not self.crashes or not self.bars:
            return NEVER
        bars_ms = self.kind.bars_ms
        return self.barred_at + bars_ms[min(self.bars, len(bars_ms)) - 1]

    @property
    def expires_at(self) -> float:
        """Return when the suspicion may be dropped."""
        if self.presumed:
            return self.presumed[-1].at + PRESUMED_TTL_MS
        if self.bars:
            return self.barred_until + BAR_MEMORY_MS
        return self.changed_at + (SUSPECT_TTL_MS if self.is_suspect else CLEARED_TTL_MS)

    def in_flight_since(self) -> float:
        """Return since when a copy of a suspect is in flight; NEVER if none is."""
        if not self.crashes or self.sent_at < self.crashes[-1].at:
            return NEVER
        return self.sent_at

    def wait_until(self) -> float:
        """Return until when other copies wait for the copy in flight; NEVER if none is."""
        if self.in_flight_since() == NEVER:
            return NEVER
        longest_ms = max(one.ran_ms for one in self.crashes)
        return self.in_flight_since() + min(MAX_WAIT_MS, WAIT_FACTOR * longest_ms + DISPATCH_MS)

    def independent_crashes(self) -> tuple[ServerCrash, ...]:
        """Return the crashes without those that share a cause with the previous crash."""
        apart_ms = self.kind.common_cause_ms
        independent: list[ServerCrash] = []
        for one in self.crashes:
            if not independent or one.at - independent[-1].at > apart_ms:
                independent.append(one)
        return tuple(independent)

    def lacks(self, other: Suspicion) -> bool:
        """Return whether another suspicion of the request has an update that this one lacks."""
        return self.lacks_outcome(other) or other.sent_at > self.sent_at + SAME_SEND_MS

    def lacks_outcome(self, other: Suspicion) -> bool:
        """Return whether another suspicion has a crash, bar or clearing that this one lacks.

        Each link adds its delay to the ages in messages, so the same event arrives with different
        times. A send is therefore announced only by the instance that makes it and is not passed
        on, and a cleared crash is recognised by its server whatever its age. Otherwise both would
        be announced again and again.
        """
        known = {one.server for one in self.crashes} | set(self.cleared)
        unknown = [one for one in other.crashes if one.server not in known]
        crashed = any(one.at > self.cleared_at for one in unknown)
        uncleared = any(one.server not in self.cleared for one in other.crashes)
        barred = uncleared and other.bars > self.bars and other.barred_at > self.cleared_at
        return crashed or barred or self.is_cleared_by(other)

    def is_cleared_by(self, other: Suspicion) -> bool:
        """Return whether another suspicion clears crashes that this one still holds."""
        if not self.crashes:
            return False
        named = any(one.server in other.cleared for one in self.crashes)
        return named or other.cleared_at >= self.crashes[-1].at

    def merged(self, other: Suspicion) -> Suspicion:
        """Return the union of both suspicions, without cleared crashes."""
        cleared_at = max(self.cleared_at, other.cleared_at)
        both = (*other.crashes, *self.crashes)
        cleared = {one.server for one in both if one.at <= cleared_at}
        cleared = cleared.union(self.cleared, other.cleared)
        # Of two requests at one server, one that had just begun tells more.
        ordered = sorted(both, key=lambda one: not one.late)
        found = {one.server: one for one in ordered if one.server not in cleared}
        crashes = tuple(sorted(found.values(), key=lambda one: one.at)[-MAX_CRASHES:])
        barred = [one for one in (self, other) if one.barred_at > cleared_at]
        return replace(
            self,
            service=other.service or self.service,
            crashes=crashes,
            sent_at=max(self.sent_at, other.sent_at),
            cleared_at=cleared_at,
            bars=max((one.bars for one in barred), default=0),
            barred_at=max((one.barred_at for one in barred), default=NEVER),
            cleared=tuple(sorted(cleared)[-MAX_CLEARED:]),
        )

    def shifted(self, by_ms: float) -> Suspicion:
        """Return a copy with all times shifted, such as to times relative to now for a peer."""
        return replace(
            self,
            crashes=tuple(replace(one, at=one.at + by_ms) for one in self.crashes),
            sent_at=self.sent_at + by_ms,
            cleared_at=self.cleared_at + by_ms,
            barred_at=self.barred_at + by_ms,
            presumed=tuple(replace(one, at=one.at + by_ms) for one in self.presumed),
        )
