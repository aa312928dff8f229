# timedhttpconnection.py -- An HTTP connection with one timeout for each whole answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An HTTP connection with one timeout for each whole answer."""

from __future__ import annotations

import io
import socket as sockets

from urllib3.response import HTTPResponse

from mountladder_entry import limitedhttpconnection
from mountladder_entry.answerreader import AnswerReader
from mountladder_entry.limitedhttpconnection import LimitedHttpConnection
from mountladder_entry.wholelinereader import WholeLineReader

MS_PER_SECOND = 1000.0
# Twice the largest object of the platform's store, and more than a stream of tokens takes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class TimedHttpConnection(LimitedHttpConnection):
    """An HTTP connection with one timeout, that for reading, and one size for each whole answer."""

    def getresponse(self) -> HTTPResponse:
        """Return the head of the next answer; what follows counts for the same limits."""
        self.limits.set(self.timeout * MS_PER_SECOND, MAX_ANSWER_BYTES)
        return super().getresponse()

    def make_response(
        self, socket: sockets.socket, **options: object
    ) -> limitedhttpconnection.HTTPResponse:
        """Return a response of the HTTP library; see LimitedHttpConnection."""
        return _Response(self, **options)

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a reader of an answer; see LimitedHttpConnection."""
        return WholeLineReader(AnswerReader(self.sock, self.limits))


class _Response(limitedhttpconnection.HTTPResponse):
    """A response of the HTTP library, whose reader knows how the body ends."""

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self.fp.raw.ends_with_connection = self.length is None and not self.chunked
