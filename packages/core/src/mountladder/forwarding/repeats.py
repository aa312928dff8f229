# repeats.py -- Retry rules for forwarded requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether a failed request is retried, and otherwise which error the caller gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError, RunError, StageError

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# Maximum number of attempts that reached a server. Each retry also spends from the retry budget.
MOST_SENDINGS = 4
# Maximum number of attempts that could not connect. With this many servers gone the caller gets an
# error instead of a longer wait.
MOST_UNREACHED = 8
# A retry with less time than this is unlikely to finish and would waste a server's work.
LEAST_LEFT_MS = 30.0
# When a caller may retry after all tried servers were full.
FULL_RETRY_MS = 300.0
# Codes of attempts that timed out.
_SILENT = frozenset({Code.STAGE_STALLED, Code.DEADLINE_PASSED})


def why_not_again(run: ForwardRun, error: StageError) -> MountladderError | None:
    """Return the error for the caller if a failed request is not retried, or None if it is."""
    if error.dispatched and not run.route.repeatable:
        code = Code.DEADLINE_PASSED if error.code in _SILENT else Code.OUTCOME_UNKNOWN
        return RunError(error.detail, code)
    if run.left() < LEAST_LEFT_MS:
        return told(run, RunError("not enough time left for a retry", Code.DEADLINE_PASSED))
    arrivals = run.sendings - run.unreached
    spent = arrivals >= MOST_SENDINGS or run.unreached >= MOST_UNREACHED
    if run.runs >= run.route.most_attempts or spent:
        return told(run, RunError(error.detail, error.code))
    arrived = error.code is not Code.CONNECT_FAILED
    if arrived and not run.context.budget(run.service).spend():
        return told(run, RunError(error.detail, Code.RETRY_BUDGET_SPENT))
    return None


def told(run: ForwardRun, error: MountladderError) -> MountladderError:
    """Return an error as the caller gets it: a refusal only if nothing was executed."""
    begun = run.has_begun()
    if begun and isinstance(error, RefusalError):
        barred = error.code is Code.QUARANTINED
        return RunError(error.detail, Code.SERVERS_ENDED if barred else None)
    if begun or isinstance(error, RefusalError):
        return error
    back_ms = max(FULL_RETRY_MS, run.context.picker.rest_ms(run.service))
    return RefusalError(error.detail, Code.SERVERS_FULL, retry_after_ms=back_ms)
