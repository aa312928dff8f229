# timedhttpconnection.py -- An HTTP connection with one timeout for each whole answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An HTTP connection with one timeout for each whole answer."""

from __future__ import annotations

from urllib3.response import HTTPResponse

from mountladder_entry.limitedhttpconnection import LimitedHttpConnection

MS_PER_SECOND = 1000.0
# Twice the largest object of the platform's store, and more than a stream of tokens takes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class TimedHttpConnection(LimitedHttpConnection):
    """An HTTP connection with one timeout, that for reading, and one size for each whole answer."""

    def getresponse(self) -> HTTPResponse:
        """Return the head of the next answer; what follows counts for the same limits."""
        self.limits.set(self.timeout * MS_PER_SECOND, MAX_ANSWER_BYTES)
        return super().getresponse()
