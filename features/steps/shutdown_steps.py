# shutdown_steps.py -- Steps about the end of an instance's process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the end of an instance's process."""

from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import route
from gevent import socket
from gevent.pywsgi import WSGIServer
from ingress_steps import SENT
from mountladder_platform.ingress import Ingress
from mountladder_platform.platforminstance import MAX_CONNECTIONS, STOP_SECONDS, PlatformInstance

from mountladder.clocks.systemclock import SystemClock
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.shutdown import ACCEPT_MS, Shutdown
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog

ROUTE = route("a", "/a/", RouteKind.UNSAFE, "desk")
LIMITS = CallerLimits(2_000, 1_000, 2_000.0, 4_000.0)
# How long a server works on a request: longer than connections are being closed.
WORK_S = 2 * STOP_SECONDS


class CheckingForwarder:
    """Checks whether a request is accepted, then sends it to a slow server."""

    def __init__(self, shutdown):
        self.shutdown = shutdown
        self.sent = []

    def serve(self, request):
        self.shutdown.check(ROUTE)
        self.sent.append(request.id)
        gevent.sleep(WORK_S)
        return ForwardAnswer(200, (), b"done")


@given("an instance that shuts down while a caller keeps a connection open")
def shutting_down(context):
    clock = SystemClock()
    shutdown = Shutdown(clock, lambda: 8_000.0)
    context.forwarder = CheckingForwarder(shutdown)
    ingress = Ingress(context.forwarder, lambda: LIMITS, clock)
    handler = type("Handler", (CallerConnection,), {"limits": staticmethod(lambda: LIMITS)})
    context.server = WSGIServer(
        ("127.0.0.1", 0),
        ingress,
        log=None,
        error_log=WebErrorLog(),
        handler_class=handler,
        spawn=MAX_CONNECTIONS,
    )
    context.server.start()
    context.stack.callback(context.server.stop, 0.1)
    address = ("127.0.0.1", context.server.server_port)
    context.caller = context.stack.enter_context(socket.create_connection(address))
    context.caller.settimeout(5.0)
    context.instance = SimpleNamespace(
        ingress=ingress,
        relay_ingress=SimpleNamespace(running=0),
        instance=SimpleNamespace(leave=lambda: None, shutdown=shutdown),
        account=SimpleNamespace(has_waiting=lambda: False),
        has_peer_work=lambda: False,
        clock=clock,
    )
    # The time in which it accepts all requests is nearly over.
    shutdown.begin()
    shutdown.requested_at -= ACCEPT_MS - 20.0


@when("the instance has stopped waiting for requests, and {what} comes over that connection")
def late_request(context, what):
    request = SENT["a request"]
    early = len(request) // 2 if what.startswith("the end") else 0
    context.caller.sendall(request[:early])
    PlatformInstance.shut_down(context.instance)
    stopping = gevent.spawn(context.server.stop, STOP_SECONDS)
    gevent.sleep(0.01)
    context.caller.sendall(request[early:])
    context.received = context.caller.recv(65_536)
    stopping.join()


@then("it gets status 503 with a Retry-After, and is sent to no server")
def refused_not_run(context):
    head = context.received.partition(b"\r\n\r\n")[0]
    assert head.startswith(b"HTTP/1.1 503 ") and b"\r\nRetry-After: " in head, context.received
    assert not context.forwarder.sent, context.forwarder.sent
