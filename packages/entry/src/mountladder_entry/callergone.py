# callergone.py -- The caller of a request went away
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The caller of a request went away."""

from __future__ import annotations


class CallerGoneError(BaseException):
    """The caller closed its connection while its request was worked on.

    It is raised in the task of the connection, wherever that waits. Like a task's own end it is no
    Exception, so that code that handles broken connections to servers does not take it for one.
    """
