# blame.py -- Whether the ends of servers under a request are more than chance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether the ends of servers under a request are more than chance."""

from __future__ import annotations

from collections.abc import Mapping

from mountladder.quarantine.suspicion import Suspicion

# Whoever is hit by three separate ends without an answer between them is to blame, or was hit by
# chance three times in a row: at 0.2 a run, which is a bad minute, one in 125 that come so often.
MOST_ENDS = 3
# Two are enough where both came soon after the request was sent and servers end under it alone.
# With 2,100 servers of which 200 end in a day that bars one innocent in some 80 days.
FEW_ENDS = 2
SOON_MS = 500.0
QUIET_MS = 60_000.0


def is_to_blame(suspicion: Suspicion, server_ends: Mapping[str, float]) -> bool:
    """Tell whether a request is to be barred after a further end.

    Args:
        suspicion: What is known of it, with an end at least.
        server_ends: When each server ended that was heard of lately, by the server's name.
    """
    separate = suspicion.separate_ends()
    if suspicion.bars:
        # It was tried again after its last bar.
        return separate[-1].at > suspicion.barred_until
    if len(separate) >= MOST_ENDS:
        return True
    soon = all(one.alone and one.ran_ms <= SOON_MS for one in separate)
    return len(separate) >= FEW_ENDS and soon and _is_quiet(suspicion, server_ends)


def _is_quiet(suspicion: Suspicion, server_ends: Mapping[str, float]) -> bool:
    since = suspicion.ends[0].at - QUIET_MS
    own = {one.server for one in suspicion.ends}
    return not any(at > since for name, at in server_ends.items() if name not in own)
