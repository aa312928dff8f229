# callerconnection.py -- A caller's connection, whose bytes are counted and written as it reads
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A caller's connection, whose bytes are counted and written as it reads."""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress

from mountladder.clocks.systemclock import SystemClock
from mountladder.memory.memoryaccount import MemoryAccount
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder_entry.callerwriter import BUFFER_BYTES, CallerWriter
from mountladder_entry.connectionreset import reset_at_close
from mountladder_entry.limitedconnection import REST_MS, LimitedConnection
from mountladder_entry.messagebody import NOT_MODIFIED, has_body
from mountladder_entry.toomuchreaderror import TooMuchReadError

# The header that the web server adds to an answer without a length.
CHUNKED = (b"Transfer-Encoding", b"chunked")


class CallerConnection(LimitedConnection):
    """Serves one connection within the limits of the catalogue in force.

    Answers are written by CallerWriter.

    Attributes:
        has_open_end: Whether the answer in progress ends with the connection, for callers of
            HTTP/1.1 as well.
        has_ended: Whether the stream to the caller was ended behind such an answer.
        is_leaving: Returns whether the instance is shutting down, so that connections are closed.
        account: Counts the bytes held for the caller.
    """

    has_open_end = has_ended = False
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

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: object = None,
    ) -> Callable[[bytes], None]:
        """Start an answer; see LimitedConnection.

        The web server refuses the length of a body that the caller has, beside status 304.
        """
        lengths = []
        if int(status.partition(" ")[0]) == NOT_MODIFIED:
            lengths = [header for header in headers if header[0].lower() == "content-length"]
            headers = [header for header in headers if header not in lengths]
        write = super().start_response(status, headers, exc_info)
        self.response_headers += [(name.encode(), value.encode()) for name, value in lengths]
        return write

    def finalize_headers(self) -> None:
        """Complete the headers; an answer without a body has no chunks.

        An answer that ends with its connection is reset until it is whole: the system closes the
        connections of a process that is killed.
        """
        super().finalize_headers()
        if self.response_use_chunked and (self.has_open_end or not self.has_body()):
            self.response_use_chunked = False
            self.response_headers.remove(CHUNKED)
        if self.ends_with_connection():
            with suppress(OSError):
                reset_at_close(self.socket)

    def has_body(self) -> bool:
        """Return whether the answer in progress has a body."""
        return has_body(self.command, self.code)

    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks, as for callers of HTTP/1.0."""
        has_length = any(name.lower() == b"content-length" for name, _ in self.response_headers)
        return self.has_body() and not has_length and not self.response_use_chunked

    def _write(self, data: bytes | bytearray) -> None:
        """Write a part of a body, unless the answer has none.

        The caller would take it for the beginning of the next answer on the connection. A large
        chunk is written apart from what frames it: the web server would copy it.
        """
        if not self.has_body():
            return
        if self.response_use_chunked and len(data) >= BUFFER_BYTES:
            self._sendall(b"%x\r\n" % len(data))
            self._sendall(data)
            self._sendall(b"\r\n")
        else:
            super()._write(data)

    def run_application(self) -> None:
        """Run the application, and end an answer that ends with its connection."""
        super().run_application()
        if self.ends_with_connection():
            self.writer.flush()
            self.writer.end()
            self.has_ended = True

    def handle_one_response(self) -> None:
        """Answer a request, and wait until the caller has taken the answer.

        An answer that was interrupted is written up to there as well.
        """
        super().handle_one_response()
        try:
            self.writer.flush()
            if self.has_ended:
                self.read_to_end()
        except OSError:
            self.close_connection = True

    def read_to_end(self) -> None:
        """Read what the caller still sends, until it closes its side.

        Closing a connection with unread bytes resets it, which makes an answer that ends with the
        connection incomplete.

        Raises:
            OSError: The caller did not close it in time.
        """
        self.read_limits.set(REST_MS, self.limits().body_bytes)
        try:
            while self.rfile.read1():
                continue
        except TooMuchReadError as error:
            raise ConnectionResetError(errno.ECONNRESET, "the caller goes on sending") from error

    def end_with_connection(self) -> None:
        """Have the answer that starts next end with the connection, without a length or chunks."""
        self.has_open_end = self.close_connection = True

    def closes(self) -> bool:
        """Return whether the connection is closed after an answer; see LimitedConnection."""
        return self.is_leaving() or super().closes()

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment with what is needed of the connection added."""
        environ = super().get_environ()
        environ["mountladder.end_with_connection"] = self.end_with_connection
        environ["mountladder.target"] = self.path
        environ["mountladder.headers"] = self.headers.items()
        environ["mountladder.socket"] = self.socket
        environ["mountladder.holder"] = self.holder
        return environ
