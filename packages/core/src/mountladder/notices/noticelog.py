# noticelog.py -- Log lines about notices of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Log lines about notices of backend servers."""

from __future__ import annotations

from functools import singledispatch

from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Shared
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit


@singledispatch
def log_line(notice: object, before: Shared | None) -> tuple[str, dict[str, object]]:
    """Return the type and the fields of the log line about a changed notice.

    Args:
        notice: The notice.
        before: The previous notice of the same kind, or None.
    """
    raise TypeError(f"not a shared notice: {notice!r}")


@log_line.register
def _(notice: RateLimit, before: RateLimit | None) -> tuple[str, dict[str, object]]:
    return "server-limit", _rates(notice, before)


@log_line.register
def _(notice: RejectionLimit, before: RejectionLimit | None) -> tuple[str, dict[str, object]]:
    return "server-rejection-limit", _rates(notice, before)


@log_line.register
def _(notice: Leaving, before: Leaving | None) -> tuple[str, dict[str, object]]:
    return "server-leaving", {}


def _rates(
    notice: RateLimit | RejectionLimit, before: RateLimit | RejectionLimit | None
) -> dict[str, object]:
    before_per_s = None if before is None else _loggable(before.per_s)
    return {"per_s": _loggable(notice.per_s), "before_per_s": before_per_s}


def _loggable(per_s: float) -> float | None:
    return None if per_s == UNLIMITED else per_s
