# serverlimits.py -- Keeping all instances together to what servers say that they take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeping all instances together to what servers say that they take."""

from __future__ import annotations

from collections.abc import Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.leadership import Leadership
from mountladder.notices.noticebook import NoticeBook
from mountladder.notices.ratelimit import UNLIMITED
from mountladder.serverlimits.tokenbucket import TokenBucket

# A server that takes less is sent one request in ten seconds all the same, since only an answer
# tells that its limit has ended.
LEAST_PER_S = 0.1
# How many requests may come at once after a pause, so that requests that come by chance use what a
# server takes. Two in a row harm no server that takes so many a second.
MOST_AT_ONCE = 2.0
# Who spends a part by itself begins without any token again after this time without a request: all
# that decide alone at the same moment must not send what each of them has saved.
ALONE_KEPT_MS = 2_000.0


class ServerLimits:
    """Spends what servers say that they take from all instances together.

    The instance where the work of a service meets spends it for all, at once or booked ahead; the
    others ask there, and use servers without a limit by themselves. Who cannot reach that instance
    spends a small part, so that all of them stay within half as much again (`Leadership.part`).

    Args:
        book: What servers say of themselves.
        leadership: Tells which part may be spent here.
        clock: The clock.

    Attributes:
        buckets: What may be sent yet to each limited server from here, by its name.
    """

    def __init__(self, book: NoticeBook, leadership: Leadership, clock: Clock) -> None:
        self.book = book
        self.leadership = leadership
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}

    def limited(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the servers that name a limit."""
        if not self.book.limits:
            return frozenset()
        return frozenset(one.name for one in servers if self.book.per_s(one.name) < UNLIMITED)

    def waits_ms(self, servers: Iterable[BackendServer], topic: str) -> dict[str, float]:
        """Return how long a request for each limited server has to wait, by its name.

        Args:
            servers: The servers; those without a limit are left out.
            topic: Under which topic the work that they are to get meets.
        """
        limited = self.limited(servers)
        if not limited:
            return {}
        now, part = self.clock.now(), self.leadership.fraction(topic)
        return {name: self.bucket_of(name, part, now).wait_ms(now) for name in limited}

    def wait_ms(self, server: BackendServer, topic: str) -> float:
        """Return how long one more request for a server has to wait, in milliseconds."""
        bucket = self.bucket(server, topic)
        return bucket.wait_ms(self.clock.now()) if bucket is not None else 0.0

    def sent(self, server: BackendServer, topic: str) -> None:
        """Record that a request is sent to a server, or booked for when its turn comes."""
        bucket = self.bucket(server, topic)
        if bucket is None:
            return
        now = self.clock.now()
        wait_ms = bucket.wait_ms(now)
        bucket.take(now)
        log_message(
            "limited-server-sent",
            server=server.name,
            per_s=self.book.per_s(server.name),
            spent_here_per_s=round(bucket.per_s, 3),
            wait_ms=round(wait_ms),
            left=round(bucket.tokens, 2),
        )

    def per_s(self, server: BackendServer, topic: str) -> float:
        """Return how many requests a second a server may be sent from here, or UNLIMITED."""
        bucket = self.bucket(server, topic)
        return bucket.per_s if bucket is not None else UNLIMITED

    def bucket(self, server: BackendServer, topic: str) -> TokenBucket | None:
        """Return what may be sent yet to a server from here, or None where it names no limit."""
        if self.book.per_s(server.name) == UNLIMITED:
            self.buckets.pop(server.name, None)
            return None
        return self.bucket_of(server.name, self.leadership.fraction(topic), self.clock.now())

    def bucket_of(self, name: str, part: float, now: float) -> TokenBucket:
        """Return what may be sent yet to a limited server.

        Args:
            name: Its name.
            part: Which part of its limit may be spent here.
            now: The clock's time.
        """
        whole = part >= 1.0
        per_s = max(LEAST_PER_S, self.book.per_s(name)) * part
        most = MOST_AT_ONCE if whole else 1.0
        bucket = self.buckets.get(name)
        stale = bucket is not None and not whole and now - bucket.refilled_at > ALONE_KEPT_MS
        if bucket is None or stale:
            self.forget_gone()
            bucket = self.buckets[name] = TokenBucket(per_s, most, now)
        elif bucket.per_s != per_s:
            bucket.change(per_s, most, now)
        return bucket

    def forget_gone(self) -> None:
        """Forget the servers of which the book knows nothing any more."""
        gone = [name for name in self.buckets if name not in self.book.limits]
        for name in gone:
            del self.buckets[name]
