# blame.py -- Decides whether a request is barred after a server crash
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether a request is barred after a server crash."""

from __future__ import annotations

from collections.abc import Mapping

from mountladder.quarantine.suspicion import Suspicion

# Three independent crashes without an answer in between bar a request. An unaffected request gets
# there by chance with a probability of 1 in 125, at 0.2 crashes per run as in a bad minute.
MOST_ENDS = 3
# Two crashes are enough if both came soon after the request was sent and no server crashed without
# it. With 2,100 servers and 200 crashes a day that bars one unaffected request in about 80 days.
FEW_ENDS = 2
SOON_MS = 500.0
QUIET_MS = 60_000.0


def is_to_blame(suspicion: Suspicion, server_ends: Mapping[str, float]) -> bool:
    """Return whether a request is to be barred after a further crash.

    Args:
        suspicion: The suspicion of the request, with at least one crash.
        server_ends: The times of recent crashes in the fleet, by the server's name.
    """
    separate = suspicion.separate_ends()
    if suspicion.bars:
        # A trial after its last bar crashed a server again.
        return separate[-1].at > suspicion.barred_until
    if len(separate) >= MOST_ENDS:
        return True
    soon = all(one.alone and one.ran_ms <= SOON_MS for one in separate)
    return len(separate) >= FEW_ENDS and soon and _is_quiet(suspicion, server_ends)


def _is_quiet(suspicion: Suspicion, server_ends: Mapping[str, float]) -> bool:
    since = suspicion.ends[0].at - QUIET_MS
    own = {one.server for one in suspicion.ends}
    return not any(at > since for name, at in server_ends.items() if name not in own)
