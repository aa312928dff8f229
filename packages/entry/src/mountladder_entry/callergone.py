# callergone.py -- The error that a caller closed its connection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The error that a caller closed its connection."""

from __future__ import annotations


class CallerGoneError(BaseException):
    """The caller closed its connection while its request was running.

    It is raised in the greenlet of the connection, wherever that waits. Like GreenletExit it is not
    an Exception, so that handlers of failed connections to backend servers do not catch it.
    """
