# slowreaders.py -- A server, an ingress and callers on loopback, for scenarios about slow readers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A server, an ingress and callers on loopback, for scenarios about slow readers."""

import time
from functools import partial
from types import SimpleNamespace

import gevent
from gevent import socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from mountladder_platform.httpupstream import HttpUpstream
from mountladder_platform.ingress import Ingress

from mountladder.clocks.systemclock import SystemClock
from mountladder.errors import RunError, StageError
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.eventsplitter import EventSplitter
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.serverrecord import listed_server
from mountladder.memory.memoryaccount import MemoryAccount
from mountladder.memory.memoryguard import MemoryGuard
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog

LIMIT_MS = 20_000.0
SMALL_BUFFER = 4_096
HEAD = b"POST /a/b HTTP/1.1\r\nHost: x.y\r\nMountladder-Request-Id: %b\r\n"
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nMountladder-Request-Id: %b\r\nMountladder-Server-Stamp: s\r\n"


def event(number, size):
    """Return an event of a size in bytes."""
    return (b"id: %d\ndata: " % number).ljust(size - 2, b"x") + b"\n\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Forwarder:
    """Sends every request to one server, and records what it reads of the answers.

    Attributes:
        requests: The ids of the requests that were served.
        refused: The requests that were refused, each with the error.
        read: How many bytes were read from the server.
        ended: How many answers were read to their end.
    """

    def __init__(self, server, clock, account):
        self.server = server
        self.clock = clock
        self.upstream = HttpUpstream(clock, account)
        self.requests, self.refused = [], []
        self.read = self.ended = 0

    def refuse(self, request, error):
        self.refused.append((request.id, error))

    def serve(self, request):
        self.requests.append(request.id)
        answer = self.upstream.open(
            self.server, ForwardCall(request, "", self.clock.now() + LIMIT_MS), LIMIT_MS
        )
        if answer.response.headers.get("Content-Length"):
            return ForwardAnswer(200, (), answer.read(LIMIT_MS))
        return ForwardAnswer(200, (), self.events(answer))

    def events(self, answer):
        splitter = EventSplitter()
        try:
            while data := answer.read_some(LIMIT_MS):
                self.read += len(data)
                yield splitter.feed(data)
            self.ended += 1
        except StageError as error:
            raise RunError(error.detail, error.code) from error
        finally:
            answer.close()


class SlowReaders:
    """A server that sends an answer, and an ingress in front of it."""

    def __init__(self, stack):
        self.stack = stack
        self.clock = SystemClock()
        self.metrics = MemoryMetrics()
        self.account = MemoryAccount(self.clock, self.metrics)
        self.settings = SimpleNamespace(bound_memory=True, memory_mb=0.0)
        self.guard = MemoryGuard(self.account, lambda: self.settings, self.clock, self.metrics)
        self.server_gone = False
        self.server_buffer = SMALL_BUFFER

    def start(self, send):
        """Start a server that sends answers by a function, and the ingress."""
        listener = StreamServer(("127.0.0.1", 0), partial(self.serve, send))
        listener.start()
        server = listed_server("i-1", "llm", f"127.0.0.1:{listener.server_port}", "a", 8, False)
        self.forwarder = Forwarder(server, self.clock, self.account)
        handler = type("Handler", (CallerConnection,), {"account": self.account})
        limits = CallerLimits()
        ingress = Ingress(self.forwarder, lambda: limits, self.clock, self.guard.check)
        web = WSGIServer(
            ("127.0.0.1", 0), ingress, log=None, error_log=WebErrorLog(), handler_class=handler
        )
        web.start()
        self.address = ("127.0.0.1", web.server_port)
        self.stack.callback(listener.stop, 0.1)
        self.stack.callback(web.stop, 0.1)

    def serve(self, send, connection, _):
        """Answer the requests on a connection."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.server_buffer)
        try:
            while head := connection.recv(65_536):
                id_ = head.partition(b"Mountladder-Request-Id: ")[2].partition(b"\r\n")[0]
                send(connection, ANSWER_HEAD % id_)
        except OSError:
            self.server_gone = True

    def connect(self):
        """Return a caller's connection with a small buffer, as of a caller behind a slow link."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        connection.connect(self.address)
        connection.settimeout(5.0)
        self.stack.callback(connection.close)
        return connection

    def request(self, id_=b"r1"):
        """Return a new caller's connection after sending a request."""
        connection = self.connect()
        connection.sendall(HEAD % id_ + b"Content-Length: 2\r\n\r\nhi")
        return connection


def send_stream(number, size, pause_s, is_broken, connection, head):
    """Send the answer with a stream of events."""
    connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
    batch = 1 if pause_s else 50
    for first in range(1, number + 1, batch):
        data = b"".join(event(n, size) for n in range(first, min(number + 1, first + batch)))
        if pause_s:
            data = b"at: %r\n" % time.monotonic() + data
        connection.sendall(chunk(data))
        gevent.sleep(pause_s)
    if is_broken:
        connection.close()
    else:
        connection.sendall(chunk(b""))


def send_whole(size, sent, connection, head):
    """Send a number of bytes of a whole answer, which ends only when all are sent."""
    connection.sendall(head + b"Content-Length: %d\r\n\r\n" % size + b"x" * sent)


def read_until(connection, end):
    """Return what arrives until it ends with some bytes, or the connection ends."""
    received = bytearray()
    while not received.endswith(end):
        data = connection.recv(65_536)
        if not data:
            break
        received += data
    return bytes(received)


def unchunked(received):
    """Return the bytes of a chunked body, and whether its end arrived."""
    body, rest = b"", received.partition(b"\r\n\r\n")[2]
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return body, True
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body, False
