# requestmemory_steps.py -- Steps about the memory of requests that have ended
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the memory of requests that have ended."""

import tracemalloc
from contextlib import suppress

import gevent
from behave import given, then, when
from forwardbasics import PATHS, request
from loopbackinstance import LoopbackInstance
from silentchoice_steps import ROUTE_TIMEOUT_MS, SERVERS

from mountladder.errors import MountladderError
from mountladder_entry.callergone import CallerGoneError
from mountladder_standins.serverfault import ServerFault

INSTANCE = "a-1"
# Calls that are cancelled end soon after the request.
AFTER_MS = 100.0
HEAD = (
    b"POST %b HTTP/1.1\r\nHost: desk.x\r\nMountladder-Request-Id: r\r\n"
    b"Authorization: Bearer k\r\nMountladder-Deadline-Ms: 2000\r\n"
    b"Mountladder-Token-Count: 100,30\r\nContent-Length: %d\r\n\r\n"
)
PART_BYTES = 65_536
# An answer on loopback has ended once nothing has come for this time.
QUIET_S = 0.3
FAULTS = {
    "its servers answer with errors": ServerFault.ERROR,
    "its servers break the connection": ServerFault.RESET,
    "its servers break the stream": ServerFault.CUT,
    "its servers refuse it": ServerFault.FULL,
}


def set_course(context, course, ms):
    """Have the servers do what a request meets, and return after how long its caller leaves."""
    upstream = context.fleet.upstream
    names = [name for names in SERVERS.values() for name in names]
    if course in FAULTS:
        upstream.faults.update(dict.fromkeys(names, FAULTS[course]))
    elif course == "its servers accept no connections":
        upstream.unreachable.update(names)
    elif course == "its servers are silent":
        upstream.silent.update(names)
        context.clock.call_later(ms, upstream.silent.clear)
    elif course == "its first server is silent":
        silence_first(context, ms)
    return ms if course == "its caller leaves" else None


def silence_first(context, ms):
    """Have the server that a request is sent to first be silent for a time."""
    upstream = context.fleet.upstream
    plain_open = upstream.open

    def open_(server, call, limit_ms):
        upstream.open = plain_open
        upstream.silent.add(server.name)
        context.clock.call_later(ms, upstream.silent.clear)
        return plain_open(server, call, limit_ms)

    upstream.open = open_


@when("a caller sends a {kind} request of {size:d} bytes, and {course} for {ms:d} ms")
@when("a caller sends a {kind} request of {size:d} bytes, and {course} after {ms:d} ms")
def send_and_end(context, kind, size, course, ms):
    leaves_ms = set_course(context, course, ms)
    context.outcome = ""

    def call():
        sent = request(
            "r", PATHS[kind], context.clock.now(), allowed_ms=ROUTE_TIMEOUT_MS, body=bytes(size)
        )
        answer = context.fleet.send(INSTANCE, sent)
        if not isinstance(answer.body, bytes):
            for _ in answer.body:
                context.outcome = "a part, then "
        context.outcome = str(answer.status)

    def call_and_forget():
        try:
            call()
        except (MountladderError, CallerGoneError) as error:
            context.outcome += type(error).__name__

    def play():
        task = gevent.spawn(call_and_forget)
        if leaves_ms is not None:
            context.clock.sleep(leaves_ms)
            task.kill(CallerGoneError())
        task.join()
        context.clock.sleep(AFTER_MS)

    context.run(play)


@then("it ends with {outcome}, and at most {size:d} bytes are in use")
def ends_with(context, outcome, size):
    assert context.outcome == outcome, context.outcome
    assert tracemalloc.get_traced_memory()[0] <= size, tracemalloc.get_traced_memory()


@given("an instance in front of servers that {conduct}, on loopback")
def loopback_instance(context, conduct):
    context.loopback = LoopbackInstance(context.stack, conduct)


def send_request(context, kind, size):
    """Return a caller's connection after sending a request with a body."""
    caller = context.loopback.connect()
    caller.sendall(HEAD % (PATHS[kind].encode(), size))
    for first in range(0, size, PART_BYTES):
        caller.sendall(b"x" * min(PART_BYTES, size - first))
    return caller


@when("a caller sends it a {kind} request of {size:d} bytes and reads the answer")
def send_and_read(context, kind, size):
    caller = send_request(context, kind, size)
    received = b""
    with suppress(TimeoutError, ConnectionResetError):
        caller.settimeout(QUIET_S)
        while data := caller.recv(PART_BYTES):
            received += data
    assert received.startswith(b"HTTP/1.1 "), received


@when("a caller sends it a {kind} request of {size:d} bytes and leaves")
def send_and_leave(context, kind, size):
    caller = send_request(context, kind, size)
    gevent.sleep(QUIET_S)
    caller.close()
    gevent.sleep(QUIET_S)
