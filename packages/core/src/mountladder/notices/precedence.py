# precedence.py -- Decides which of two notices of a backend server is in force
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides which of two notices of a backend server is in force."""

from __future__ import annotations

import math
from functools import singledispatch

from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder.notices.servernotice import ServerNotice

# A limit that changes by no more than this fraction is not worth a message to all instances.
MIN_CHANGE_FRACTION = 0.1
# A notice that was not repeated for this long is of a server that is gone or gets no requests. A
# lifted limit is kept for a shorter time, for as long as older answers may still arrive.
RETENTION_MS = 600_000.0
LIFTED_RETENTION_MS = 60_000.0


@singledispatch
def replaces(notice: object, received: ServerNotice, known: ServerNotice) -> bool:
    """Return whether a received notice replaces the one in force of the same kind.

    Args:
        notice: The received notice.
        received: The received notice with its times.
        known: The notice in force.
    """
    raise TypeError(f"not a shared notice: {notice!r}")


@replaces.register(RateLimit)
@replaces.register(RejectionLimit)
def _(notice: RateLimit | RejectionLimit, received: ServerNotice, known: ServerNotice) -> bool:
    # Where it is uncertain which notice is newer, the lower limit wins: it protects an overloaded
    # server until the next answer decides.
    is_lower = notice.per_s < known.notice.per_s
    return received.is_newer(known) or (is_lower and received.seen_at > known.sent_at)


@replaces.register
def _(notice: Leaving, received: ServerNotice, known: ServerNotice) -> bool:
    # Leaving is final: the server has another name after its next start.
    return False


@singledispatch
def differs_significantly(notice: object, known: object) -> bool:
    """Return whether a notice differs enough from the previous one to be announced at once."""
    raise TypeError(f"not a shared notice: {notice!r}")


@differs_significantly.register(RateLimit)
@differs_significantly.register(RejectionLimit)
def _(notice: RateLimit | RejectionLimit, known: RateLimit | RejectionLimit) -> bool:
    if UNLIMITED in (notice.per_s, known.per_s):
        return notice.per_s != known.per_s
    return abs(notice.per_s - known.per_s) > MIN_CHANGE_FRACTION * known.per_s


@differs_significantly.register
def _(notice: Leaving, known: Leaving) -> bool:
    return False


@singledispatch
def retention_ms(notice: object, is_listed: bool) -> float:
    """Return for how long a notice is kept that is not repeated, in milliseconds.

    Args:
        notice: The notice.
        is_listed: Whether its server is in the platform's table.
    """
    raise TypeError(f"not a shared notice: {notice!r}")


@retention_ms.register(RateLimit)
@retention_ms.register(RejectionLimit)
def _(notice: RateLimit | RejectionLimit, is_listed: bool) -> float:
    return LIFTED_RETENTION_MS if is_default(notice) else RETENTION_MS


@retention_ms.register
def _(notice: Leaving, is_listed: bool) -> float:
    # The server's row may be removed and added again while the server keeps running.
    return math.inf if is_listed else RETENTION_MS


@singledispatch
def is_default(notice: object) -> bool:
    """Return whether a notice equals the default of a server without notices."""
    return False


@is_default.register(RateLimit)
@is_default.register(RejectionLimit)
def _(notice: RateLimit | RejectionLimit) -> bool:
    return notice.per_s == UNLIMITED
