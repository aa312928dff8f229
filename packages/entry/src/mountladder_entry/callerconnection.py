# callerconnection.py -- A caller's connection, with limits on request heads
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A caller's connection, with limits on request heads."""

from __future__ import annotations

import re
from collections.abc import Callable
from contextlib import suppress

from gevent.pywsgi import WSGIHandler

from mountladder.clocks.systemclock import SystemClock
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.memory.memoryaccount import MemoryAccount
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder_entry.callerwriter import CallerWriter

MS_PER_SECOND = 1000.0
# The socket's timeout while a body is read: a caller that does not send is dropped after it.
IO_TIMEOUT_SECONDS = 30.0
_LENGTH = re.compile(r"[0-9]{1,15}")


class CallerConnection(WSGIHandler):
    """Serves one connection within the limits of the catalogue in force.

    A head that is too long, too slow or ambiguous is refused before it reaches the application, and
    the connection is closed. Answers are written by CallerWriter.

    Attributes:
        limits: Returns the limits in force.
        is_leaving: Returns whether the instance is shutting down, so that connections are closed.
        account: Counts the bytes held for the caller.
    """

    limits: Callable[[], CallerLimits] = staticmethod(CallerLimits)
    is_leaving: Callable[[], bool] = staticmethod(lambda: False)
    account = MemoryAccount(SystemClock(), MemoryMetrics())

    def handle(self) -> None:
        """Serve the connection until it ends, and release the bytes held for it."""
        with self.account.hold("caller", lambda reason: self.writer.cut(reason)) as self.holder:
            self.writer = CallerWriter(self.socket, self.holder)
            try:
                super().handle()
            finally:
                self.writer.close()

    def _sendall(self, data: bytes | bytearray) -> None:
        """Write a part of an answer; see CallerWriter."""
        self.writer.write(data)
        self.response_length += len(data)

    def finalize_headers(self) -> None:
        """Complete the headers; an answer to a HEAD request has no body, and so no last chunk."""
        super().finalize_headers()
        if self.command == "HEAD":
            self.response_use_chunked = False

    def _write(self, data: bytes | bytearray) -> None:
        """Write a part of a body, except to a HEAD request.

        The caller would take it for the beginning of the next answer on the connection.
        """
        if self.command != "HEAD":
            super()._write(data)

    def run_application(self) -> None:
        """Run the application; without chunks only a reset shows that an answer is incomplete."""
        try:
            super().run_application()
        except BaseException:
            if self.headers_sent and not self.response_use_chunked:
                with suppress(OSError):
                    self.writer.reset_at_close()
            raise

    def handle_one_response(self) -> None:
        """Answer a request, and wait until the caller has taken the answer.

        An answer that was interrupted is written up to there as well.
        """
        super().handle_one_response()
        try:
            self.writer.flush()
        except OSError:
            self.close_connection = True

    def read_requestline(self) -> str:
        """Read the next request line, waiting at most as long as a connection may be idle."""
        limits = self.limits()
        self.socket.settimeout(limits.idle_ms / MS_PER_SECOND)
        line = super().read_requestline()
        self.socket.settimeout(limits.header_ms / MS_PER_SECOND)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head of a request.

        Raises:
            ValueError: The head is malformed or too long.
        """
        stream = self.rfile
        self.rfile = _BoundedReader(stream, self.limits().header_bytes)
        try:
            is_valid = super().read_request(raw_requestline)
        finally:
            self.rfile = stream
        self.socket.settimeout(IO_TIMEOUT_SECONDS)
        return is_valid

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
        if isinstance(ex, _HeadTooLongError):
            return "431", _closing_answer("431 Request Header Fields Too Large")
        return "400", _closing_answer("400 Bad Request")

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: object = None,
    ) -> Callable[[bytes], None]:
        """Start an answer, and announce in it if the connection is closed afterwards."""
        if self.is_leaving() or self.close_connection or self.awaits_continue():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def awaits_continue(self) -> bool:
        """Return whether the caller may still send the body or leave it out.

        It waited for a status 100 that it was not sent, so what follows cannot be told apart.
        """
        body = self.wsgi_input
        return body.socket is not None and bool(body.content_length or body.chunked_input)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment with what is needed of the connection added."""
        environ = super().get_environ()
        environ["mountladder.target"] = self.path
        environ["mountladder.headers"] = self.headers.items()
        environ["mountladder.socket"] = self.socket
        environ["mountladder.holder"] = self.holder
        return environ


class _HeadTooLongError(ValueError):
    """The head of a request is longer than the limit."""


class _BoundedReader:
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
