# start_steps.py -- Steps that examine the start of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that examine the start of an instance."""

import json
import signal
import subprocess
import sys

import gevent
from behave import given, then, when
from gevent import socket
from gevent.pywsgi import WSGIServer
from mountladder_platform import names
from mountladder_platform.earlyrefusals import EarlyRefusals
from mountladder_platform.monitoring import Monitoring
from soak_steps import wait_until_listening

from mountladder.membership.listener import listening_socket

REQUEST = b"POST /any HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
PRINT_MODULES = "import json, sys; print(json.dumps(sorted(sys.modules)))"
LOAD_ALL = """
import importlib
from mountladder_platform import loading
for module in (*loading.STORE_MODULES, *loading.MODULES):
    importlib.import_module(module)
"""
TIMEOUT_S = 20.0


class FixedClock:
    time = 0.0

    def now(self):
        return self.time


def modules_after(code):
    code = f"import mountladder_entry.main, mountladder_platform.serving\n{code}\n{PRINT_MODULES}"
    command = [sys.executable, "-c", code]
    return json.loads(subprocess.run(command, check=True, capture_output=True).stdout)


@when("all modules of an instance are loaded")
def load_all(context):
    context.modules = modules_after(LOAD_ALL)
    assert "mountladder_platform.platforminstance" in context.modules


@when("the modules that refuse callers are loaded")
def load_refusals(context):
    context.modules = modules_after("import mountladder_platform.loading")
    assert "mountladder_platform.earlyrefusals" in context.modules


@then("none of these is loaded: {modules}")
def not_loaded(context, modules):
    assert not set(modules.split(", ")) & set(context.modules)


@given("a socket for callers that listens while modules load, and a waiting caller")
def waiting_caller(context):
    context.clock = FixedClock()
    context.listening = listening_socket("127.0.0.1:0")
    context.stack.callback(context.listening.close)
    context.refusals = EarlyRefusals(context.listening, context.clock, 0.0)
    context.stack.callback(context.refusals.stop)
    context.caller = connect(context)


def connect(context, data=REQUEST):
    caller = socket.create_connection(context.listening.getsockname(), TIMEOUT_S)
    context.stack.callback(caller.close)
    caller.sendall(data)
    return caller


@given("an idle connection")
def idle_connection(context):
    context.idle = connect(context, b"")


@when("{time:d} ms have passed")
def time_passes(context, time):
    context.clock.time = float(time)
    for _ in range(3):
        context.refusals.run_pending()


@then("the caller has no answer")
def no_answer(context):
    context.caller.settimeout(0.0)
    try:
        received = context.caller.recv(1)
    except BlockingIOError:
        received = None
    assert received is None, received


@then("the caller is refused as not run with a Retry-After, and its connection is closed")
def refused(context):
    context.caller.settimeout(TIMEOUT_S)
    head, _, body = read_all(context.caller).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 "), head
    assert b"\r\n%s: 0.50" % names.RETRY_AFTER.encode() in head, head
    assert json.loads(body)["class"] == "not_run", body
    assert context.refusals.number == 1


def read_all(caller):
    parts = []
    while part := caller.recv(65_536):
        parts.append(part)
    return b"".join(parts)


@when("the instance takes the socket over")
def take_over(context):
    def serve(_, start_response):
        start_response("200 OK", [("Connection", "close")])
        return [b"served"]

    context.refusals.stop()
    server = WSGIServer(context.listening, serve, log=None)
    server.start()
    context.refusals.hand_over(server)
    context.stack.callback(server.stop)


@then("a new caller is served by the instance")
def served(context):
    for _ in range(5):
        assert read_all(connect(context)).startswith(b"HTTP/1.1 200 ")
    assert context.refusals.number == 1


@then("a request on the idle connection is served by the instance")
def idle_served(context):
    # Longer than the idle connection takes to notice the instance.
    gevent.sleep(0.2)
    context.idle.sendall(REQUEST)
    assert read_all(context.idle).startswith(b"HTTP/1.1 200 ")
    assert context.refusals.number == 1


@when("it is paused for {pause:g} s as soon as its socket listens, and a request arrives")
def paused_start(context, pause):
    wait_until_listening(context)
    process = context.instance.process
    process.send_signal(signal.SIGSTOP)
    # The caller of this scenario waits: what counts is what it is answered, not when.
    context.caller.timeout_s = TIMEOUT_S
    request = gevent.spawn(context.caller.send, "early", "safe")
    gevent.sleep(pause)
    process.send_signal(signal.SIGCONT)
    request.join()
    context.exchange = context.caller.record.exchanges["early"]


@then("its log counts {number:d} request refused while it loaded")
def log_counts(context, number):
    path = context.instance.folder / f"{context.instance.name}.log"
    with gevent.Timeout(TIMEOUT_S):
        while True:
            lines = [one for one in path.read_text().splitlines() if "accepting-callers" in one]
            if lines:
                break
            gevent.sleep(0.05)
    assert json.loads(lines[0])["refused_while_loading"] == number, lines


@given("the monitoring of an instance that is not ready")
def monitoring(context):
    context.is_ready, context.made = False, []

    def make_pages():
        context.made.append("pages")

        def pages(environ, start_response):
            start_response("200 OK", [])
            return [b"page"]

        return pages

    context.monitoring = Monitoring(lambda: context.is_ready, make_pages)


@when("the instance becomes ready")
def becomes_ready(context):
    context.is_ready = True


def ask(context, path):
    statuses = []
    environ = {"PATH_INFO": path, "REQUEST_METHOD": "GET"}
    body = context.monitoring(environ, lambda status, headers: statuses.append(status))
    return int(statuses[0].split()[0]), b"".join(body)


@then("a readiness check is answered with {status:d} and no pages are made")
def readiness(context, status):
    assert ask(context, names.READY) == (status, b"")
    assert context.made == []


@then("a request for the metrics is answered by the pages, which are made once")
def metrics(context):
    assert [ask(context, "/metrics") for _ in range(2)] == [(200, b"page")] * 2
    assert context.made == ["pages"]
