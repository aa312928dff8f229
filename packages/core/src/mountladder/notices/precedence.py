# precedence.py -- Which of two notices of a backend server holds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which of two notices of a backend server holds."""

from __future__ import annotations

from functools import singledispatch

from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.servernotice import ServerNotice

# A limit that moves by less than this part is not worth a message to all instances.
TOLD_CHANGE = 0.1


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
def is_usual(notice: object) -> bool:
    """Tell whether a notice says of a server what holds for one of which nothing is known."""
    return False


@is_usual.register
def _(notice: RateLimit) -> bool:
    return notice.per_s == UNLIMITED
