# serverlimits.py -- Keeps all instances together within the rate limits of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps all instances together within the rate limits of backend servers."""

from __future__ import annotations

from collections.abc import Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.leadership import Leadership
from mountladder.notices.noticeregistry import NoticeRegistry
from mountladder.notices.ratelimit import UNLIMITED
from mountladder.serverlimits.roomlimits import RoomLimits
from mountladder.serverlimits.tokenbucket import TokenBucket

# A server with a lower limit is still sent one request in ten seconds, since only an answer can
# report that the limit was lifted.
MIN_PER_S = 0.1
# The burst allowed after a pause, so that randomly arriving requests can use the full rate. Two
# requests at once do not overload a server that takes as many a second.
MAX_BURST = 2.0
# An instance that spends a fraction by itself starts again without tokens after this time without
# a request: several instances cut off from the coordinator must not all send saved tokens at once.
IDLE_RESET_MS = 2_000.0
# Requests reserve a limit ahead, so that calls with pieces would never find any of it left. While
# some wait for it, requests get this fraction; calls get the rest, and what requests do not use.
REQUEST_FRACTION = 0.5
# For how long after calls with pieces last waited for a server's limit that holds.
CONTENDED_MS = 1_000.0


class ServerLimits:
    """Enforces the rate limits that servers announce for all instances together.

    A service's coordinator spends the whole limit, for immediate requests and for reservations;
    the other instances ask the coordinator, and use servers without a limit on their own. An
    instance that cannot reach the coordinator spends a small fraction, so that all together stay
    within one and a half times the limit (`Leadership.fraction`).

    Args:
        registry: The notices of servers, which hold their limits.
        leadership: Returns what fraction of a limit this instance may spend.
        clock: The clock.

    Attributes:
        buckets: The token bucket of each rate-limited server, by its name.
        contended_at: When calls with pieces last waited for the limit of a server, by its name.
        request_buckets: The token bucket of requests while calls with pieces wait as well.
        rooms: Limits the requests in progress at fragile servers.
    """

    def __init__(self, registry: NoticeRegistry, leadership: Leadership, clock: Clock) -> None:
        self.registry = registry
        self.leadership = leadership
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}
        self.contended_at: dict[str, float] = {}
        self.request_buckets: dict[str, TokenBucket] = {}
        self.rooms = RoomLimits(registry, leadership, clock)

    def limited(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the rate-limited servers."""
        if not self.registry.limits:
            return frozenset()
        return frozenset(one.name for one in servers if self.registry.per_s(one.name) < UNLIMITED)

    def waits_ms(self, servers: Iterable[BackendServer], topic: str) -> dict[str, float]:
        """Return how long a request for each rate-limited server has to wait, in milliseconds.

        Servers without a limit are left out.

        Args:
            servers: The servers.
            topic: The topic whose coordinator spends their limits.
        """
        limited = self.limited(servers)
        if not limited:
            return {}
        now, fraction = self.clock.now(), self.leadership.fraction(topic)
        waits = {}
        for name in limited:
            bucket = self.bucket_of(name, fraction, now)
            share = self.request_bucket(name, bucket, now)
            waits[name] = max(one.wait_ms(now) for one in (bucket, share) if one is not None)
        return waits

    def has_token(self, server: BackendServer, topic: str) -> bool:
        """Return whether a call with pieces may be sent to a server now, and record if it waits."""
        bucket, now = self.bucket(server, topic), self.clock.now()
        if bucket is None or bucket.wait_ms(now) <= 0:
            return True
        self.contended_at[server.name] = now
        return False

    def wait_ms(self, server: BackendServer, topic: str) -> float:
        """Return how long one more request for a server has to wait, in milliseconds."""
        bucket = self.bucket(server, topic)
        return bucket.wait_ms(self.clock.now()) if bucket is not None else 0.0

    def request_bucket(self, name: str, bucket: TokenBucket, now: float) -> TokenBucket | None:
        """Return the bucket of requests for a server, or None if no calls with pieces wait."""
        if now - self.contended_at.get(name, float("-inf")) > CONTENDED_MS:
            self.request_buckets.pop(name, None)
            return None
        per_s = REQUEST_FRACTION * bucket.per_s
        share = self.request_buckets.get(name)
        if share is None:
            share = self.request_buckets[name] = TokenBucket(per_s, 1.0, now)
        elif share.per_s != per_s:
            share.set_rate(per_s, 1.0, now)
        return share

    def record_reserved(self, server: BackendServer, topic: str) -> None:
        """Record that a request is sent to a server now, or reserved for a later time."""
        bucket, now = self.bucket(server, topic), self.clock.now()
        if bucket is None:
            return
        share = self.request_bucket(server.name, bucket, now)
        if share is not None:
            share.take(now)
        self.record_sent(server, topic)

    def record_sent(self, server: BackendServer, topic: str) -> None:
        """Record that a request or a call with pieces is sent to a server."""
        bucket = self.bucket(server, topic)
        if bucket is None:
            return
        now = self.clock.now()
        wait_ms = bucket.wait_ms(now)
        bucket.take(now)
        log_message(
            "limited-server-sent",
            server=server.name,
            per_s=self.registry.per_s(server.name),
            local_per_s=round(bucket.per_s, 3),
            wait_ms=round(wait_ms),
            left=round(bucket.tokens, 2),
        )

    def per_s(self, server: BackendServer, topic: str) -> float:
        """Return how many requests a second this instance may send to a server, or UNLIMITED."""
        bucket = self.bucket(server, topic)
        return bucket.per_s if bucket is not None else UNLIMITED

    def request_per_s(self, server: BackendServer, topic: str) -> float:
        """Return how many requests a second are left where calls with pieces wait as well."""
        bucket = self.bucket(server, topic)
        if bucket is None:
            return UNLIMITED
        return (self.request_bucket(server.name, bucket, self.clock.now()) or bucket).per_s

    def bucket(self, server: BackendServer, topic: str) -> TokenBucket | None:
        """Return the token bucket of a server, or None where it has no limit."""
        if self.registry.per_s(server.name) == UNLIMITED:
            self.buckets.pop(server.name, None)
            return None
        return self.bucket_of(server.name, self.leadership.fraction(topic), self.clock.now())

    def bucket_of(self, name: str, fraction: float, now: float) -> TokenBucket:
        """Return the token bucket of a rate-limited server, with its present rate.

        Args:
            name: The server's name.
            fraction: The fraction of the limit that this instance may spend.
            now: The clock's time, in milliseconds.
        """
        is_whole = fraction >= 1.0
        per_s = max(MIN_PER_S, self.registry.per_s(name)) * fraction
        max_tokens = MAX_BURST if is_whole else 1.0
        bucket = self.buckets.get(name)
        stale = bucket is not None and not is_whole and now - bucket.refilled_at > IDLE_RESET_MS
        if bucket is None or stale:
            self.drop_stale()
            bucket = self.buckets[name] = TokenBucket(per_s, max_tokens, now)
        elif bucket.per_s != per_s:
            bucket.set_rate(per_s, max_tokens, now)
        return bucket

    def drop_stale(self) -> None:
        """Drop the buckets of servers without a notice of a limit."""
        stale = [name for name in self.buckets if name not in self.registry.limits]
        for name in stale:
            del self.buckets[name]
            self.contended_at.pop(name, None)
            self.request_buckets.pop(name, None)
