# http_steps.py -- Steps over real sockets on loopback
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps over real sockets on loopback."""

import dataclasses
import json
import os
from unittest.mock import patch

import gevent
import urllib3
from basics import BASE, SERVERS, TOKEN
from behave import given, then, when
from gevent import socket

from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.documents import parse_documents
from mountladder.errors import PeerError
from mountladder.limits.retrybudget import RetryBudget
from mountladder.membership.instance import Instance
from mountladder.membership.tcpnetwork import TcpNetwork
from mountladder_cli import porcelain
from mountladder_cli.demofleet import DemoFleet
from mountladder_entry.limitedconnection import LimitedConnection
from mountladder_standins.faults import Faults

TIMEOUT_MS = 10_000.0
SMALL_BUFFER = 2_048


@given("instances a-1 and b-1 over HTTP")
def start(context):
    context.fleet = DemoFleet(SystemClock(), context.stack, [("a", 1), ("b", 1)])
    fleet = context.fleet
    documents = fleet.start_servers([*parse_documents(BASE, "base"), *SERVERS])
    applied = porcelain.apply(fleet.platform, fleet.clock, "test", documents)
    assert fleet.wait_ready()
    assert not porcelain.wait_in_force(fleet.platform, fleet.clock, applied.revision, TIMEOUT_MS)


def web(context, name="a-1"):
    return next(one.settings.web for one in context.fleet.nodes if one.settings.name == name)


def wait_until(context, condition):
    deadline = context.fleet.clock.now() + TIMEOUT_MS
    while not condition():
        assert context.fleet.clock.now() < deadline
        gevent.sleep(0.01)


def post(context, name, path, body, headers=None, **options):
    all_headers = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
    url = f"http://{web(context, name)}{path}"
    return urllib3.request("POST", url, body=body, headers=all_headers, retries=False, **options)


@when('"{method} {path}" is sent with headers {headers} and body {body}')
def send_raw(context, method, path, headers, body):
    url = f"http://{web(context)}{path}"
    context.response = urllib3.request(
        method,
        url,
        body=None if body == "nothing" else body,
        headers=json.loads(headers),
        retries=False,
    )


@then("the status is {status:d} and the problem is {code:d} of class {class_}")
def is_problem(context, status, code, class_):
    document = json.loads(context.response.data)
    assert context.response.status == status, document
    assert (document["code"], document["class"]) == (code, class_), document


@when("a body of {size:d} bytes is sent to a-1")
def send_large_body(context, size):
    context.response = post(context, "a-1", "/v1/pipelines/reply", b"x" * size)


def send_stream_request(context, name, tokens, **options):
    body = json.dumps({"input": {"tokens": tokens}, "deadline_ms": 30_000})
    headers = {"Accept": "text/event-stream"}
    return post(context, name, "/v1/pipelines/reply", body, headers, **options)


@when("a stream of {tokens:d} tokens is requested from {name}")
def request_stream(context, tokens, name):
    context.response = send_stream_request(context, name, tokens)


@then("the stream holds tokens 1 to {last:d} and ends with the event done")
def complete_stream(context, last):
    events = context.response.data.split(b"\n\n")
    ids = [int(one.split(b"\n")[0][4:]) for one in events if one.startswith(b"id: ")]
    assert ids == list(range(1, last + 1)), context.response.data
    assert events[-2].startswith(b"event: done\n") and events[-1] == b""


@when("a complete answer is requested from {name}")
def request_complete(context, name):
    body = json.dumps({"input": {"tokens": 3}})
    context.response = post(context, name, "/v1/pipelines/reply", body)


@then("the answer names a server and a time for stages {names}")
def names_stages(context, names):
    document = json.loads(context.response.data)
    assert [one["stage"] for one in document["stages"]] == names.split(", "), document
    assert all(one["server"] and one["ms"] > 0 for one in document["stages"])


@when("a caller disconnects from a-1 after 2 of {tokens:d} tokens")
def disconnect(context, tokens):
    response = send_stream_request(context, "a-1", tokens, preload_content=False)
    data = b""
    while data.count(b"id: ") < 2:
        chunk = response.read1(100)
        assert chunk, data
        data += chunk
    response.close()


@then("the call is cancelled at its server")
def check_cancelled(context):
    wait_until(context, lambda: any(one.cancelled for one in context.fleet.standins.values()))
    wait_until(context, lambda: not any(one.running for one in context.fleet.standins.values()))


@given("every backend server takes {ms:d} ms longer")
def slow_down(context, ms):
    for standin in context.fleet.standins.values():
        standin.faults = Faults(slow_ms=float(ms))


@when('a push with key "{key}" is sent to a-1 and its caller disconnects')
def push_and_disconnect(context, key):
    host, _, port = web(context).rpartition(":")
    body = b'{"input": 7}'
    head = (
        f"POST /v1/pipelines/push HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + body)
        standins = context.fleet.standins.values()
        wait_until(context, lambda: any(one.running for one in standins))


def push(context, name, key):
    headers = {"Idempotency-Key": key}
    context.response = post(context, name, "/v1/pipelines/push", b'{"input": 7}', headers)
    return json.loads(context.response.data)


@then('a repeat with key "{key}" at b-1 is answered in the end')
def repeat_push(context, key):
    wait_until(context, lambda: push(context, "b-1", key)["class"] == "done")


@then('"{work}" was run {times:d} time')
def was_run(context, work, times):
    assert context.fleet.count_runs(work) == times, context.fleet.count_runs(work)


@given("the servers of role {role} fail as {faults}")
def role_faults(context, role, faults):
    for name, standin in context.fleet.standins.items():
        if name.startswith(role):
            standin.faults = Faults.read(json.loads(faults))


@given("the servers of role {role} are silent for {ms:d} ms from {start:d} ms on")
def role_silent(context, role, ms, start):
    def be_silent():
        for name, standin in context.fleet.standins.items():
            if name.startswith(role):
                standin.silent_until = context.fleet.clock.now() + ms

    context.fleet.clock.call_later(float(start), be_silent)


@given("no stage may be retried at a-1")
def no_retries(context):
    budgets = context.fleet.nodes[0].context.budgets
    budgets.clear()
    budgets.default_factory = lambda: RetryBudget(0.0, 0.0)


@when("a push is sent to b-1 with a key that a-1 issued, and again to a-1")
def push_issued_key(context):
    key = porcelain.issue_keys(web(context), TOKEN)[0]
    context.answers = [push(context, "b-1", key), push(context, "a-1", key)]


@then("both have the same answer")
def same_answer(context):
    first, second = context.answers
    assert first["class"] == "done" and first == second, context.answers


@when("a-1 is shut down during a stream of {tokens:d} tokens")
def shut_down(context, tokens):
    task = gevent.spawn(send_stream_request, context, "a-1", tokens)
    node = context.fleet.nodes[0]
    wait_until(context, lambda: node.admission.total == 1)
    context.aborted_requests = node.stop()
    context.response = task.get()


@then("a-1 aborted {number:d} requests")
def aborted_count(context, number):
    assert context.aborted_requests == number


@when("a peer with another secret connects to a-1")
def connect_with_other_secret(context):
    own = Instance("stranger", "0", "a", "", "")
    link = TcpNetwork(b"another secret, not the fleet's").connect(
        context.fleet.nodes[0].settings.peer, own
    )
    try:
        link.handshake()
        context.code = 0
    except PeerError as error:
        context.code = error.code.number
    link.close()


@then("it is refused with {code:d}")
def refused_with(context, code):
    assert context.code == code, context.code


@when("{size:d} random bytes are sent to the peer address of a-1")
def random_bytes(context, size):
    host, _, port = context.fleet.nodes[0].settings.peer.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(os.urandom(size))


@then("a-1 counts a failed peer message and still serves")
def still_serves(context):
    counts = context.fleet.nodes[0].metrics.counts
    wait_until(context, lambda: counts["peer_errors.bad_message"] >= 1)
    request_complete(context, "a-1")
    assert context.response.status == 200


@given("the answers of the platform over HTTP fail as {faults}")
def platform_faults(context, faults):
    context.fleet.standin.table.faults = Faults.read(json.loads(faults))


@when('a push with key "{key}" is sent to a-1')
def push_once(context, key):
    context.answer = push(context, "a-1", key)


@then("the answer is done")
def is_done(context):
    assert context.answer["class"] == "done", context.answer


@given("a-1 drops callers that make no progress for {ms:d} ms and has small buffers")
def small_buffers(context, ms):
    context.stack.enter_context(patch.object(LimitedConnection, "timeout_seconds", ms / 1000.0))
    listener = context.fleet.nodes[0].web.socket
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)


@when("a caller asks a-1 for {tokens:d} tokens and reads nothing")
def request_without_reading(context, tokens):
    for standin in context.fleet.standins.values():
        standin.speeds = dataclasses.replace(standin.speeds, token_ms=0.5, factor=1.0)
    host, _, port = web(context).rpartition(":")
    body = json.dumps({"input": {"tokens": tokens}, "deadline_ms": 60_000}).encode()
    head = (
        f"POST /v1/pipelines/reply HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Accept: text/event-stream\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    connection = context.stack.enter_context(socket.socket())
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    connection.connect((host, int(port)))
    connection.sendall(head.encode() + body)
    wait_until(context, lambda: context.fleet.nodes[0].admission.total == 1)


@then("it is no longer admitted at a-1 and the call is cancelled at its server")
def not_admitted(context):
    wait_until(context, lambda: context.fleet.nodes[0].admission.total == 0)
    check_cancelled(context)
