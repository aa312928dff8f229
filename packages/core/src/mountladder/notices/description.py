# description.py -- What the log tells of a notice of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What the log tells of a notice of a backend server."""

from __future__ import annotations

from functools import singledispatch

from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Shared
from mountladder.notices.ratelimit import UNLIMITED, RateLimit


@singledispatch
def described(notice: object, before: Shared | None) -> tuple[str, dict[str, object]]:
    """Return the name of the line that tells of a notice, and its fields.

    Args:
        notice: The notice.
        before: What held before it, or None.
    """
    raise TypeError(f"no notice for all: {notice!r}")


@described.register
def _(notice: RateLimit, before: RateLimit | None) -> tuple[str, dict[str, object]]:
    before_per_s = None if before is None else _shown(before.per_s)
    return "server-limit", {"per_s": _shown(notice.per_s), "before_per_s": before_per_s}


@described.register
def _(notice: Leaving, before: Leaving | None) -> tuple[str, dict[str, object]]:
    return "server-leaving", {}


def _shown(per_s: float) -> float | None:
    return None if per_s == UNLIMITED else per_s
