# barpolicy.py -- Decides whether a request is barred after a server crash
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether a request is barred after a server crash."""

from __future__ import annotations

from collections.abc import Mapping

from mountladder.quarantine.suspicion import Suspicion

# Three independent crashes without an answer in between bar a request. An unaffected request gets
# there by chance with a probability of 1 in 125, at 0.2 crashes per run as in a bad minute.
BAR_CRASHES = 3
# Two crashes are enough if both came soon after the request was sent and no server crashed without
# it. With 2,100 servers and 200 crashes a day that bars one unaffected request in about 80 days.
MIN_BAR_CRASHES = 2
FAST_CRASH_MS = 500.0
ISOLATION_MS = 60_000.0


def should_bar(suspicion: Suspicion, server_crashes: Mapping[str, float]) -> bool:
    """Return whether a request is to be barred after a further crash.

    Args:
        suspicion: The suspicion of the request, with at least one crash.
        server_crashes: The times of recent crashes in the fleet, by the server's name.
    """
    crashes = suspicion.independent_crashes()
    if suspicion.bars:
        # A trial after its last bar crashed a server again.
        return crashes[-1].at > suspicion.barred_until
    if len(crashes) >= BAR_CRASHES:
        return True
    fast = all(crash.alone and crash.ran_ms <= FAST_CRASH_MS for crash in crashes)
    return len(crashes) >= MIN_BAR_CRASHES and fast and _is_isolated(suspicion, server_crashes)


def _is_isolated(suspicion: Suspicion, server_crashes: Mapping[str, float]) -> bool:
    since = suspicion.crashes[0].at - ISOLATION_MS
    crashed = {crash.server for crash in suspicion.crashes}
    return not any(at > since for name, at in server_crashes.items() if name not in crashed)
