# limitedhttpconnection.py -- An HTTP connection that reads answers within limits
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An HTTP connection that reads answers within limits."""

from __future__ import annotations

import io
import socket as sockets

from urllib3.connection import HTTPConnection

from mountladder.clocks.systemclock import SystemClock
from mountladder_entry.answerreader import AnswerReader
from mountladder_entry.readlimits import ReadLimits
from mountladder_entry.strictresponse import StrictResponse
from mountladder_entry.wholelinereader import WholeLineReader


class LimitedHttpConnection(HTTPConnection):
    """An HTTP connection that reads answers within limits.

    Attributes:
        limits: The limits on what the step in progress reads.
    """

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.limits = ReadLimits(SystemClock())
        self.response_class = self.make_response

    def make_response(self, socket: sockets.socket, **options: object) -> StrictResponse:
        """Return a response of the HTTP library, which reads from what makefile returns."""
        return StrictResponse(self, **options)

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a reader of an answer that keeps to the limits; see socket.makefile."""
        return WholeLineReader(AnswerReader(self.sock, self.limits))
