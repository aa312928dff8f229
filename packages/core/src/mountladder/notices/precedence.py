# precedence.py -- Which of two notices of a backend server holds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which of two notices of a backend server holds."""

from __future__ import annotations

import math
from functools import singledispatch

from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.servernotice import ServerNotice

# A limit that moves by less than this part is not worth a message to all instances.
TOLD_CHANGE = 0.1
# A notice of which nothing was heard for so long is one of a server that has gone, or that nobody
# has asked for anything. That a limit has ended is remembered for as long as answers may be late.
FORGET_MS = 600_000.0
FORGET_END_MS = 60_000.0


@singledispatch
def replaces(notice: object, told: ServerNotice, known: ServerNotice) -> bool:
    """Tell whether what was told is to hold in place of what is known of the same kind.

    Args:
        notice: What was told.
        told: The same, with its times.
        known: What is known.
    """
    raise TypeError(f"no notice for all: {notice!r}")


@replaces.register
def _(notice: RateLimit, told: ServerNotice, known: ServerNotice) -> bool:
    # Where it is open which is newer the lower limit holds: the next answer tells, and a server in
    # need is spared until then.
    is_lower = notice.per_s < known.notice.per_s
    return told.is_newer(known) or (is_lower and told.seen_at > known.sent_at)


@replaces.register
def _(notice: Leaving, told: ServerNotice, known: ServerNotice) -> bool:
    # Nothing ends it but a later start, which has another name.
    return False


@singledispatch
def differs(notice: object, known: object) -> bool:
    """Tell whether a notice differs so much from the one before that all are told at once."""
    raise TypeError(f"no notice for all: {notice!r}")


@differs.register
def _(notice: RateLimit, known: RateLimit) -> bool:
    if UNLIMITED in (notice.per_s, known.per_s):
        return notice.per_s != known.per_s
    return abs(notice.per_s - known.per_s) > TOLD_CHANGE * known.per_s


@differs.register
def _(notice: Leaving, known: Leaving) -> bool:
    return False


@singledispatch
def kept_ms(notice: object, is_listed: bool) -> float:
    """Return for how long a notice is remembered of which nothing more is heard, in milliseconds.

    Args:
        notice: The notice.
        is_listed: Whether its server is in the platform's list.
    """
    raise TypeError(f"no notice for all: {notice!r}")


@kept_ms.register
def _(notice: RateLimit, is_listed: bool) -> float:
    return FORGET_END_MS if is_usual(notice) else FORGET_MS


@kept_ms.register
def _(notice: Leaving, is_listed: bool) -> float:
    # An entry that was removed may come back, while the server lives on.
    return math.inf if is_listed else FORGET_MS


@singledispatch
def is_usual(notice: object) -> bool:
    """Tell whether a notice says of a server what holds for one of which nothing is known."""
    return False


@is_usual.register
def _(notice: RateLimit) -> bool:
    return notice.per_s == UNLIMITED
