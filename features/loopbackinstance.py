# loopbackinstance.py -- An instance and backend servers on loopback, in one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance and backend servers on loopback, in one process."""

import gevent
from forwardbasics import catalogue
from gevent import socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from mountladder_platform.httpupstream import HttpUpstream
from mountladder_platform.ingress import Ingress

from mountladder.clocks.systemclock import SystemClock
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.memory.memoryaccount import MemoryAccount
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog
from mountladder_standins.forwardfleet import ForwardFleet

NAME = "a-1"
SETTLE_S = 1.0
SILENCE_S = 20.0
# The name of the target among the headers of a request, as HTTP/2 has it.
TARGET = b":path"
ANSWER_HEAD = (
    b"HTTP/1.1 %d Status\r\nMountladder-Request-Id: %b\r\nMountladder-Server-Stamp: s\r\n%b\r\n\r\n"
)


class LoopbackInstance:
    """An instance with the catalogue of forwardbasics, and two servers of each service.

    Args:
        stack: Closes what was opened.
        conduct: What the servers do with a request.
    """

    def __init__(self, stack, conduct):
        self.stack = stack
        self.conduct = conduct
        # How often a server has begun to treat a request.
        self.treated = 0
        # Whether the next answer is broken off within its head.
        self.breaks_next_head = False
        # The backend servers by port.
        self.servers = {}
        self.clock = SystemClock()
        self.account = MemoryAccount(self.clock, MemoryMetrics())
        self.fleet = ForwardFleet(self.clock)
        self.fleet.upstream = HttpUpstream(self.clock, self.account)
        self.fleet.configure(catalogue(1))
        self.instance = self.fleet.start(NAME)
        stack.callback(self.fleet.stop)
        for service in ("desk", "llm") * 2:
            self.fleet.add_server(f"127.0.0.1:{self.start_server()}", service, "a")
        self.address = ("127.0.0.1", self.start_ingress())
        gevent.sleep(SETTLE_S)

    def start_server(self):
        """Start a backend server, and return its port."""
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        self.stack.callback(server.stop, 0.1)
        self.servers[server.server_port] = server
        return server.server_port

    def start_ingress(self):
        """Have the instance serve callers, and return its port."""
        limits = CallerLimits()
        return self.serve_callers(Ingress(self.instance.forwarder, lambda: limits, self.clock))

    def serve_callers(self, application):
        """Serve callers with an application, and return the port."""
        handler = type("Handler", (CallerConnection,), {"account": self.account})
        web = WSGIServer(
            ("127.0.0.1", 0), application, log=None, error_log=WebErrorLog(), handler_class=handler
        )
        web.start()
        self.stack.callback(web.stop, 0.1)
        return web.server_port

    def serve(self, connection, _):
        """Treat the requests on a connection to a server."""
        with connection.makefile("rb") as stream:
            while head := read_head(stream):
                remaining = int(head.get(b"content-length", 0))
                while remaining:
                    remaining -= len(stream.read(min(65_536, remaining)))
                if not self.treat(connection, head):
                    return

    def treat(self, connection, head):
        """Treat a request, given its target and headers; return whether the connection stays open.

        See read_head.
        """
        id_ = head[b"mountladder-request-id"]
        self.treated += 1
        if self.breaks_next_head:
            self.breaks_next_head = False
            head = ANSWER_HEAD % (200, id_, b"Transfer-Encoding: chunked")
            connection.sendall(b"".join(head.splitlines(keepends=True)[:3]))
            return False
        if self.conduct == "are silent":
            gevent.sleep(SILENCE_S)
        elif self.conduct == "answer":
            connection.sendall(ANSWER_HEAD % (200, id_, b"Content-Length: 2") + b"hi")
            return True
        elif self.conduct == "answer with an error":
            connection.sendall(ANSWER_HEAD % (500, id_, b"Content-Length: 2") + b"no")
            return True
        elif self.conduct in {"send a stream", "break a stream"}:
            connection.sendall(ANSWER_HEAD % (200, id_, b"Transfer-Encoding: chunked"))
            for n in range(1, 4):
                connection.sendall(b"f\r\nid: %d\ndata: x\n\n\r\n" % n)
                gevent.sleep(0.02)
            if self.conduct == "send a stream":
                connection.sendall(b"0\r\n\r\n")
                return True
        return False

    def connect(self):
        """Return a caller's connection."""
        connection = socket.create_connection(self.address, 5.0)
        self.stack.callback(connection.close)
        return connection


def read_head(stream):
    """Return the target and the headers of the next request by their lowercase names.

    It is empty at the end.
    """
    lines = []
    while (line := stream.readline().strip()) or not lines:
        if not line:
            return {}
        lines.append(line)
    pairs = (line.partition(b":") for line in lines[1:])
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return headers | {TARGET: lines[0].split(b" ")[1]}
