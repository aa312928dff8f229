# limitedconnection.py -- A connection with limits on the requests that come over it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A connection with limits on the requests that come over it."""

from __future__ import annotations

import io
import re
import socket as sockets
from collections.abc import Callable
from contextlib import suppress

from gevent.pywsgi import MAX_REQUEST_LINE, WSGIHandler

from mountladder.clocks.clock import Clock
from mountladder.clocks.systemclock import SystemClock
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder_entry.boundedreader import BoundedReader
from mountladder_entry.callerreadlimits import CallerReadLimits
from mountladder_entry.connectionreset import reset_at_close
from mountladder_entry.messagebody import has_body
from mountladder_entry.requestbody import RequestBody
from mountladder_entry.toomuchreaderror import TooMuchReadError

# A caller that does not read would occupy a connection here and a slot of a backend server.
IO_TIMEOUT_SECONDS = 30.0
# How long a caller may take to send a body at most.
BODY_MS = 30_000.0
# How long the rest of a body that was not needed is read, in milliseconds. A connection that is
# closed before its end may lose the answer.
REST_MS = 1_000.0
# How many times the longest body may be read, with what frames its chunks.
CHUNK_FACTOR = 2
_LENGTH = re.compile(r"[0-9]{1,15}")


class LimitedConnection(WSGIHandler):
    """Serves one connection, with one limit of time and of size for each step of a request.

    The steps are the request line, the head, the body, and the rest of a body that was not needed.
    A head that is too long, too slow or ambiguous is refused before it reaches the application, and
    the connection is closed.

    Attributes:
        limits: Returns the limits in force.
        clock: The clock.
        timeout_seconds: The timeout of a write.
        read_limits: The limits on what the step in progress reads.
    """

    limits: Callable[[], CallerLimits] = staticmethod(CallerLimits)
    clock: Clock = SystemClock()
    timeout_seconds = IO_TIMEOUT_SECONDS

    def __init__(self, socket: sockets.socket, address: object, server: object) -> None:
        self.read_limits = CallerReadLimits(self.clock)
        reader = io.BufferedReader(BoundedReader(socket, self.read_limits))
        super().__init__(socket, address, server, reader)

    def handle(self) -> None:
        """Serve the connection until it ends."""
        self.socket.settimeout(self.timeout_seconds)
        super().handle()

    def read_requestline(self) -> str:
        """Read the next request line, waiting at most as long as a connection may be idle."""
        limits = self.limits()
        self.read_limits.set(limits.idle_ms, MAX_REQUEST_LINE + io.DEFAULT_BUFFER_SIZE)
        line = super().read_requestline()
        self.read_limits.set(limits.header_ms, limits.header_bytes + io.DEFAULT_BUFFER_SIZE)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head of a request.

        Raises:
            ValueError: The head is malformed or too long.
        """
        stream = self.rfile
        self.rfile = _BoundedLines(stream, self.limits().header_bytes)
        try:
            is_valid = super().read_request(raw_requestline)
        finally:
            self.rfile = stream
        self.limit_body(BODY_MS)
        return is_valid

    def limit_body(self, limit_ms: float) -> None:
        """Limit the time for the rest of a body, and its bytes with what frames its chunks."""
        limits = self.limits()
        # A deadline may also be infinite, or not a number.
        limit_ms = limit_ms if limit_ms < BODY_MS else BODY_MS
        self.read_limits.set(limit_ms, CHUNK_FACTOR * limits.body_bytes + limits.header_bytes)

    def MessageClass(self, *args: object) -> object:  # noqa: N802 (the web server's name)
        """Read the headers, and refuse those that give the length of the body ambiguously.

        Raises:
            ValueError: They are malformed.
        """
        headers = super().MessageClass(*args)
        codings = headers.get_all("transfer-encoding") or []
        lengths = headers.get_all("content-length") or []
        if codings and (lengths or [coding.strip().lower() for coding in codings] != ["chunked"]):
            raise ValueError("the length of the body is ambiguous")
        if len(lengths) > 1 or any(not _LENGTH.fullmatch(length.strip()) for length in lengths):
            raise ValueError("the length of the body is malformed")
        return headers

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return the answer to a malformed, slow or long head."""
        if isinstance(ex, TimeoutError):
            return "408", _closing_answer("408 Request Timeout")
        if isinstance(ex, (_HeadTooLongError, TooMuchReadError)):
            return "431", _closing_answer("431 Request Header Fields Too Large")
        return "400", _closing_answer("400 Bad Request")

    def run_application(self) -> None:
        """Run the application, after which the web server reads the rest of the body.

        Without chunks only a reset shows that an answer is incomplete.
        """
        try:
            super().run_application()
        except BaseException:
            if self.headers_sent and not self.response_use_chunked:
                with suppress(OSError):
                    reset_at_close(self.socket)
            raise
        finally:
            self.limit_body(REST_MS)

    def handle_one_response(self) -> None:
        """Answer a request; behind a body that was not read to its end no other one is found."""
        super().handle_one_response()
        if not self.wsgi_input.is_whole:
            self.close_connection = True

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: object = None,
    ) -> Callable[[bytes], None]:
        """Start an answer, and announce in it if the connection is closed afterwards.

        Callers of HTTP/1.0 know no chunks, so that the connection ends an answer without a length.
        """
        has_length = any(name.lower() == "content-length" for name, _ in headers)
        with_body = has_body(self.command, int(status.partition(" ")[0]))
        if self.request_version == "HTTP/1.0" and not has_length and with_body:
            self.close_connection = True
        if self.closes():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def closes(self) -> bool:
        """Return whether the connection is closed after an answer that is started now."""
        return self.close_connection or self.awaits_rest()

    def awaits_rest(self) -> bool:
        """Return whether it is not known how much of a body the caller still sends.

        It sends chunks, or waited for a status 100 that it was not sent and may leave the body out.
        """
        body = self.wsgi_input
        awaits_continue = body.socket is not None and bool(body.content_length)
        return awaits_continue or (body.chunked_input and not body.is_whole)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment, with a function that limits the time for the body."""
        environ = super().get_environ()
        plain = self.wsgi_input
        body = RequestBody(plain.rfile, plain.content_length, plain.socket, plain.chunked_input)
        environ["wsgi.input"] = self.wsgi_input = body
        environ["mountladder.limit_body"] = self.limit_body
        return environ


class _HeadTooLongError(ValueError):
    """The head of a request is longer than the limit."""


class _BoundedLines:
    """Reads the lines of a head, up to a limit in bytes."""

    def __init__(self, inner: object, max_bytes: int) -> None:
        self.inner = inner
        self.remaining = max_bytes
        self.closed = False

    def readline(self, size: int = -1) -> bytes:
        """Return the next line."""
        line = self.inner.readline(size)
        self.remaining -= len(line)
        if self.remaining < 0:
            raise _HeadTooLongError("the head is too long")
        if not line.endswith(b"\n"):
            raise ValueError("the head is incomplete")
        return line


def _closing_answer(status: str) -> bytes:
    return f"HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode()
