# repeats.py -- Whether a request that failed at a server is sent again
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether a request that failed at a server is sent again, and else what its caller is told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError, RunError, StageError

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# How often a request is sent where no server says that it ran; each sending but the first also
# costs a part of the retry budget.
MOST_SENDINGS = 4
# How often a request is sent where nobody takes the connection; where so many servers are gone, a
# caller is better told so.
MOST_UNREACHED = 8
# A repeat that would have less time than this is not worth a server's work.
LEAST_LEFT_MS = 30.0
# When a caller may come back after every server that was asked was full.
FULL_RETRY_MS = 300.0
# Codes of attempts that ended since no answer came in time.
_SILENT = frozenset({Code.STAGE_STALLED, Code.DEADLINE_PASSED})


def why_not_again(run: ForwardRun, error: StageError) -> MountladderError | None:
    """Return what the caller is told where a failed request is not sent again, else None."""
    if error.dispatched and not run.route.repeatable:
        code = Code.DEADLINE_PASSED if error.code in _SILENT else Code.OUTCOME_UNKNOWN
        return RunError(error.detail, code)
    if run.left() < LEAST_LEFT_MS:
        return told(run, RunError("no time is left for a repeat", Code.DEADLINE_PASSED))
    arrivals = run.sendings - run.unreached
    spent = arrivals >= MOST_SENDINGS or run.unreached >= MOST_UNREACHED
    if run.runs >= run.route.most_attempts or spent:
        return told(run, RunError(error.detail, error.code))
    arrived = error.code is not Code.CONNECT_FAILED
    if arrived and not run.context.budget(run.service).spend():
        return told(run, RunError(error.detail, Code.RETRY_BUDGET_SPENT))
    return None


def told(run: ForwardRun, error: MountladderError) -> MountladderError:
    """Return an error as the caller is told it: a refusal only where nothing ran."""
    begun = run.has_begun()
    if begun and isinstance(error, RefusalError):
        barred = error.code is Code.QUARANTINED
        return RunError(error.detail, Code.SERVERS_ENDED if barred else None)
    if begun or isinstance(error, RefusalError):
        return error
    back_ms = max(FULL_RETRY_MS, run.context.picker.rest_ms(run.service))
    return RefusalError(error.detail, Code.SERVERS_FULL, retry_after_ms=back_ms)
