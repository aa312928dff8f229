# callerwriter.py -- Writes answers to a caller that may read slowly
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Writes answers to a caller that may read slowly."""

from __future__ import annotations

import errno
import fcntl
import socket as sockets
import struct
import termios
from collections.abc import Callable

import gevent
from gevent.event import Event

from mountladder.memory.holder import Holder
from mountladder.memory.memoryaccount import SERVER_UNREAD_BYTES
from mountladder_entry.callergone import CallerGoneError
from mountladder_entry.connectionreset import reset_at_close

# How many bytes wait for a caller before nothing more is read for it from a backend server. A
# stream of 70 events fits, so that its server is not held up by a caller that pauses.
BUFFER_BYTES = 65_536
# How many bytes the system's buffer takes beyond what the network has sent. Without a limit it
# grows to megabytes, which count for the process and hide that a caller does not read.
UNSENT_BYTES = 65_536
# Progress is checked after this fraction of the time limit while data waits. The system goes on
# sending for some time to a caller that has stopped reading, and one check at the end of the time
# limit would take that for progress at that moment.
CHECK_FRACTION = 0.1
WRITABLE = 2
_NUMBER = struct.Struct("i")
_LINGER = struct.pack("ii", 0, 0)


class CallerWriter:
    """Writes to a caller's connection without blocking, up to a number of bytes that wait.

    Bytes that the system does not take at once are written from the event loop when it does. While
    a caller reads, a write is one system call, and neither a timer nor a watcher is used.

    Args:
        socket: The caller's connection.
        holder: Counts the bytes that wait; a chunk counts whole until its last byte is written.

    Attributes:
        rest: The rest of the chunk that is being written; empty if nothing waits.
        size: The whole size of that chunk.
        tail: What waits behind it. It is one array: many small objects take several times the
            memory of the events in them.
        unsent: What the system's buffer held when the caller last made progress, in bytes.
        failure: The number and the text of the error why nothing more can be written, or None. The
            exception itself would refer to the frames that it went through, and these to the writer
            and the answer, whose memory would be in use until cycles are collected.
        changed: Set when less waits or an error occurred, for the task that waits for it.
    """

    def __init__(self, socket: sockets.socket, holder: Holder) -> None:
        self.socket = socket
        self.holder = holder
        self.rest = memoryview(b"")
        self.size = 0
        self.tail = bytearray()
        self.unsent = 0
        self.failure: tuple[int, str] | None = None
        self.changed = Event()
        self.watcher = gevent.get_hub().loop.io(socket.fileno(), WRITABLE)
        self.cancel_check: Callable[[], None] = lambda: None
        holder.measure = self.record_progress
        socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NOTSENT_LOWAT, UNSENT_BYTES)

    def write(self, data: bytes | bytearray) -> None:
        """Write data, which must not change afterwards; wait while the buffer is full.

        Raises:
            OSError: The connection broke or was cut.
        """
        self.check()
        if self.rest and len(data) >= BUFFER_BYTES:
            self.wait_for_turn(len(data))
        if self.rest:
            self.tail += data
            self.holder.add(len(data))
        else:
            try:
                sent = self.socket._sock.send(data)
            except BlockingIOError:
                sent = 0
            if sent == len(data):
                return
            self.start_waiting(data, sent)
        if self.waiting() >= BUFFER_BYTES:
            self.wait_for_room(BUFFER_BYTES)

    def wait_for_turn(self, number: int) -> None:
        """Wait with a number of bytes until nothing waits before them; in the tail they are a copy.

        Raises:
            OSError: The connection broke or was cut.
        """
        self.holder.add(number)
        try:
            self.wait_for_room(1)
        finally:
            self.holder.add(-number)

    def waiting(self) -> int:
        """Return the number of bytes that wait."""
        return len(self.rest) + len(self.tail)

    def wait_for_room(self, number: int) -> None:
        """Wait until fewer bytes than a number wait; nothing is read from the server meanwhile.

        Raises:
            OSError: The connection broke or was cut.
        """
        unread = SERVER_UNREAD_BYTES if self.holder.is_streaming else 0
        self.holder.add(unread)
        try:
            self.wait_below(number)
        finally:
            self.holder.add(-unread)

    def flush(self) -> None:
        """Wait until everything is written.

        Raises:
            OSError: The connection broke or was cut.
        """
        if self.rest or self.failure is not None:
            self.wait_below(1)

    def wait_below(self, number: int) -> None:
        """Wait until fewer bytes than a number wait.

        Raises:
            OSError: The connection broke or was cut.
        """
        try:
            while self.failure is None and self.waiting() >= number:
                self.changed.clear()
                self.changed.wait()
        except CallerGoneError as error:
            raise ConnectionResetError(errno.ECONNRESET, "the caller is gone") from error
        self.check()

    def check(self) -> None:
        """Check that more can be written.

        Raises:
            OSError: The connection broke or was cut.
        """
        if self.failure is not None:
            raise OSError(*self.failure)

    def start_waiting(self, data: bytes | bytearray, sent: int) -> None:
        """Have the rest of a chunk written when the system takes it, within the time limit."""
        self.start_chunk(data, sent)
        self.holder.add(self.size)
        self.watcher.start(self.write_more)
        self.progressed()
        self.check_later()

    def start_chunk(self, data: bytes | bytearray, sent: int) -> None:
        """Write a chunk next, after a number of its bytes."""
        self.rest, self.size = memoryview(data)[sent:], len(data)

    def write_more(self) -> None:
        """Write what the system takes; called by the event loop, so it must not raise."""
        try:
            while self.rest:
                sent = self.socket._sock.send(self.rest)
                self.rest = self.rest[sent:]
                if not self.rest:
                    self.holder.add(-self.size)
                    self.start_chunk(self.tail, 0)
                    self.tail = bytearray()
        except BlockingIOError:
            pass
        except OSError as error:
            self.fail(error.errno or errno.EPIPE, error.strerror or str(error))
            return
        self.progressed()
        if not self.rest:
            self.stop()
        self.changed.set()

    def progressed(self) -> None:
        """Record that the caller takes bytes."""
        self.holder.waiting_since = self.holder.account.clock.now()
        self.unsent = self.system_bytes()

    def check_later(self) -> None:
        """Have the progress checked after a part of the time limit."""
        delay_ms = CHECK_FRACTION * self.holder.account.slow_reader_ms
        self.cancel_check = self.holder.account.clock.call_later(delay_ms, self.check_progress)

    def check_progress(self) -> None:
        """Cut the caller if it has not taken a byte within the time limit."""
        self.record_progress()
        account = self.holder.account
        waited_ms = account.clock.now() - self.holder.waiting_since
        if waited_ms >= account.slow_reader_ms:
            account.cut_slow_reader(self.holder, waited_ms)
        else:
            self.check_later()

    def record_progress(self) -> None:
        """Record it if the caller took bytes since it last did; see Holder.measure.

        The event loop reports the socket as writable only once half of its buffer is empty.
        """
        if self.rest and self.system_bytes() < self.unsent:
            self.progressed()

    def system_bytes(self) -> int:
        """Return how many bytes the system holds that the caller has not confirmed."""
        try:
            data = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, bytes(_NUMBER.size))
        except OSError:
            return 0
        return _NUMBER.unpack(data)[0]

    def cut(self, reason: str) -> None:
        """Drop what waits and end the connection, which also ends the request in progress."""
        self.fail(errno.ECONNRESET, f"cut: {reason}")
        # The watch of the connection does not see its end if a further request has arrived.
        self.holder.interrupt()
        try:
            reset_at_close(self.socket)
            self.socket.shutdown(sockets.SHUT_RDWR)
        except OSError:
            # The caller has closed it before.
            return

    def end(self) -> None:
        """End the stream to the caller, behind what the system still holds.

        Raises:
            OSError: The connection is closed.
        """
        self.socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, _LINGER)
        self.socket.shutdown(sockets.SHUT_WR)

    def fail(self, number: int, text: str) -> None:
        """Drop what waits, and fail every further write with an error."""
        self.failure = (number, text)
        self.holder.add(-self.size - len(self.tail))
        self.start_chunk(b"", 0)
        self.tail = bytearray()
        self.stop()
        self.changed.set()

    def stop(self) -> None:
        """Stop the watcher and the check of the progress."""
        self.watcher.stop()
        self.holder.waiting_since = None
        self.cancel_check()

    def close(self) -> None:
        """Release the watcher and stop the check of the progress."""
        self.stop()
        self.watcher.close()
