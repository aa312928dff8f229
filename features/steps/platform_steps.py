# platform_steps.py -- Steps about the adapter's calls to backend servers and the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the adapter's calls to backend servers and the store."""

import base64
import json
import os
import time

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer
from mountladder_platform.decoding import decode_catalogue
from mountladder_platform.httpupstream import HttpUpstream
from mountladder_platform.reading import read_request
from mountladder_platform.serverconnection import ServerConnection
from mountladder_platform.store import StoreTable
from rawanswers import ANSWERS, CLOSED, NO_ANSWER, REPEATED_LATER, RESET

from mountladder.clocks.systemclock import SystemClock
from mountladder.errors import BadRowError, HistoryLostError, StageError, StoreUnavailableError
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.serverrecord import listed_server
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.notices.backoff import BackOff
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder.store.position import Position
from mountladder_entry.httpclient import HttpClient
from mountladder_entry.logqueue import MAX_LINES, LogQueue

TIMEOUT_MS = 300.0


def listen(context, handle):
    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    context.stack.callback(server.stop, 0.1)
    return f"127.0.0.1:{server.server_port}"


def receive_request(connection, buffered):
    """Return the head and body of the next request (None at the end), and the bytes after it."""
    while b"\r\n\r\n" not in buffered:
        data = connection.recv(65_536)
        if not data:
            return None, buffered
        buffered += data
    head, _, buffered = buffered.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(buffered) < length:
        buffered += connection.recv(65_536)
    return (head, buffered[:length]), buffered[length:]


def answer_handler(context, name):
    def handle(connection, address):
        context.connections += 1
        buffered = b""
        while True:
            received, buffered = receive_request(connection, buffered)
            if received is None:
                return
            context.received_requests.append(received)
            answer = ANSWERS[name]
            if answer is NO_ANSWER:
                gevent.sleep(2.0)
                return
            if answer is CLOSED:
                return
            id_ = next(
                (
                    line.partition(b": ")[2]
                    for line in received[0].split(b"\r\n")
                    if line.lower().startswith(b"mountladder-request-id")
                ),
                b"",
            )
            data, end = answer
            connection.sendall(data.replace(b"@ID", id_))
            if end == REPEATED_LATER:
                gevent.sleep(0.02)
                connection.sendall(data)
                continue
            if end == RESET:
                gevent.sleep(0.05)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if end:
                connection.close()
                return

    return handle


@given('a backend server that answers "{name}"')
def backend(context, name):
    context.connections = 0
    context.received_requests = []
    address = listen(context, answer_handler(context, name))
    make_upstream(context, address)


@given('a backend server that answers "{name}", with a connection share of {number:d}')
def backend_with_share(context, name, number):
    backend(context, name)
    context.upstream.connection_share = lambda server: number


@when("{number:d} requests are sent to it at once")
def send_at_once(context, number):
    gevent.joinall([gevent.spawn(send, context, f"r{n}") for n in range(number)])


@then("{number:d} idle connections to it are kept")
def idle_connections(context, number):
    assert context.connections == len(context.call_outcomes) == 8
    assert len(context.upstream.pool.idle[context.server.address]) == number


@given("a backend server whose port is closed")
def closed_port(context):
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    listening.close()
    make_upstream(context, address)


def make_upstream(context, address):
    context.server = listed_server("i-1", "desk", address, "a", 8, False)
    context.upstream = HttpUpstream(SystemClock())
    context.stack.callback(context.upstream.close)
    context.call_outcomes = []
    context.reported = []


def make_call(
    context, id_, headers=(), reusable=True, body=b"in", target="/p%61th/1?q=%20", team="team-1"
):
    now = context.upstream.clock.now()
    all_headers = [("Host", "desk.x"), ("Mountladder-Request-Id", id_), *headers]
    request = read_request("POST", target, all_headers, body, now)
    inputs, report = ("h/1", "h/2"), context.reported.append
    return ForwardCall(
        request,
        team,
        now + 5_000.0,
        inputs,
        may_reuse_connection=reusable,
        on_notices=lambda server, notices, sent_at: report(notices),
    )


def send(context, id_, **options):
    try:
        answer = context.upstream.open(
            context.server, make_call(context, id_, **options), TIMEOUT_MS
        )
        context.call_outcomes.append((answer.status, answer.read(TIMEOUT_MS)))
        context.ends_with_connection = answer.ends_with_connection
        context.load = answer.load
    except StageError as error:
        context.call_outcomes.append(error)


@when("request {id_} is sent to it")
def send_one(context, id_):
    send(context, id_)


@then("its answer {ends} with its connection")
def ends_with_connection(context, ends):
    assert context.ends_with_connection == (ends == "ends"), context.ends_with_connection


@when("its health is checked")
def check_health(context):
    context.cold_ms = context.upstream.cold_ms(context.server, "/health", TIMEOUT_MS)


@then("it is cold for {cold_ms} ms")
def cold_for(context, cold_ms):
    assert str(context.cold_ms) == cold_ms, context.cold_ms


@when("it is asked when it started")
def ask_start(context):
    context.start = context.upstream.started_at(context.server, TIMEOUT_MS)


@then("it started at {start}")
def started_at(context, start):
    assert str(context.start) == start, context.start


@then("its rate limit notices are {notices}")
def limit_notices(context, notices):
    named = {"none": [], "unlimited": [UNLIMITED]}
    expected = named[notices] if notices in named else [float(notices.split()[0])]
    limits = [notice.per_s for notice in reported_notices(context, RateLimit)]
    assert limits == expected, context.reported


@then("its rejection limit notices are {notices}")
def rejection_notices(context, notices):
    named = {"none": [], "unlimited": [UNLIMITED]}
    expected = named[notices] if notices in named else [float(notices.split()[0])]
    limits = [notice.per_s for notice in reported_notices(context, RejectionLimit)]
    assert limits == expected, context.reported


def reported_notices(context, kind):
    """Return the notices of one kind that were reported."""
    return [
        notice for notices in context.reported for notice in notices if isinstance(notice, kind)
    ]


@then("its leaving and back-off notices are {notices}")
def other_notices(context, notices):
    expected = {"leaving": ([Leaving()], []), "none": ([], [])}
    backoffs = (
        [BackOff(1000.0 * float(notices.split()[-2]))] if notices.startswith("back-off for") else []
    )
    reported = (reported_notices(context, Leaving), reported_notices(context, BackOff))
    assert reported == expected.get(notices, ([], backoffs)), context.reported


@when("requests {first} and {second} are sent to it")
def send_two(context, first, second):
    send(context, first)
    gevent.sleep(0.05)
    send(context, second)


@when("request {first} is sent to it and unsafe request {second} {ms:d} ms later")
def send_later(context, first, second, ms):
    send(context, first)
    gevent.sleep(ms / 1000)
    send(context, second, reusable=False)


@then('it ends with status {status:d} and body "{body}"')
def ends_with_answer(context, status, body):
    assert context.call_outcomes == [(status, body.encode())], context.call_outcomes


@then("it ends with code {code:d}, may have run")
def may_have_run(context, code):
    (error,) = context.call_outcomes
    assert (error.code.number, error.dispatched) == (code, True), repr(error)


@then("it ends with code {code:d}, not run")
def not_run(context, code):
    (error,) = context.call_outcomes
    assert (error.code.number, error.dispatched) == (code, False), repr(error)


@then("they went over {number:d} connections and both ended with status {status:d}")
def connections_used(context, number, status):
    assert context.call_outcomes == [(status, b"hello")] * 2, context.call_outcomes
    assert context.connections == number, context.connections


@when("a caller's request with forged and private headers is sent to it")
def send_forged(context):
    headers = (
        ("Authorization", "Bearer secret"),
        ("Mountladder-Tenant", "forged"),
        ("Mountladder-Expect-Instance", "forged"),
        ("Mountladder-Inputs", "forged"),
        ("Kv-From", "forged"),
        ("Connection", "X-Private, keep-alive"),
        ("X-Private", "1"),
        ("X-Kept", "a"),
        ("X-Kept", "b"),
        ("Mountladder-Deadline-Ms", "3000"),
        ("Mountladder-Chunk-Count", "1,2"),
    )
    send(context, "r1", headers=headers, body=b"\0\xffbody")


@then("the server gets the same request, with the instance's headers in place of forged ones")
def request_received(context):
    ((head, body),) = context.received_requests
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /p%61th/1?q=%20 HTTP/1.1"
    assert body == b"\0\xffbody"
    headers = [tuple(line.split(": ", 1)) for line in lines[1:]]
    for expected in (
        ("Host", "desk.x"),
        ("Mountladder-Request-Id", "r1"),
        ("Mountladder-Tenant", "team-1"),
        ("Mountladder-Expect-Instance", "i-1"),
        ("Mountladder-Inputs", "h/1,h/2"),
        ("Mountladder-Chunk-Count", "1,2"),
        ("X-Kept", "a"),
        ("X-Kept", "b"),
    ):
        assert headers.count(expected) == 1, (expected, headers)
    names = [name.lower() for name, _ in headers]
    assert not {"authorization", "kv-from", "x-private", "user-agent"} & set(names), names
    deadlines_ms = [int(value) for name, value in headers if name == "Mountladder-Deadline-Ms"]
    assert len(deadlines_ms) == 1 and 4_500 < deadlines_ms[0] <= 5_000, deadlines_ms
    assert "forged" not in head.decode()


@when("a caller without a team sends a forged team")
def send_forged_team(context):
    send(context, "r1", headers=(("Mountladder-Tenant", "forged"),), team="")


@then("the server gets no team")
def no_team(context):
    ((head, _),) = context.received_requests
    assert b"tenant" not in head.lower() and b"forged" not in head


@when("a stage call is sent to it")
@when("three pieces are sent to it")
def send_pieces(context):
    now = context.upstream.clock.now()
    pieces = [Piece("r1", 0, n, "key", (), now + 900.0) for n in range(3)]
    try:
        context.results = context.upstream.run_pieces(
            context.server,
            pieces,
            TIMEOUT_MS,
            lambda server, per_s, sent_at: context.reported.append(per_s),
        )
    except StageError as error:
        context.call_outcomes.append(error)


@then("their results are a handle, input gone and no room in this order")
def results_in_order(context):
    first, second, third = context.results
    assert (first.handle, first.failure) == ("10.0.0.1:1/a", None)
    assert second.failure is PieceFailure.INPUT_GONE
    assert third.failure is PieceFailure.NO_ROOM
    ((_, body),) = context.received_requests
    items = json.loads(body)["items"]
    assert [item["fragment"] for item in items] == [0, 1, 2]
    assert all(item["key"] == "key" and 0 < item["remaining_ms"] <= 900 for item in items)


CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "a", "hostname": "X.y", "prefix": "/a/", "type": "safe", "timeout_ms": 800,
         "target_latency_ms": 200, "priority": 2, "service": "s", "max_attempts": 2},
        {"name": "b", "hostname": "x.y", "prefix": "/a/b/", "type": "stream", "timeout_ms": 9000,
         "traffic_split": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}],
         "stages": [{"service": "t", "after": [], "length": 5},
                    {"service": "t", "after": [0], "length": 6}],
         "stream_resume": True, "target_gap_ms": 200, "public": True, "unknown": 1},
    ],
    "services": [
        {"name": "s", "max_conns": 5, "engine": {"concurrency": 64, "kv_capacity": 9}},
        {"name": "t", "max_conns": 6, "fragments": {"concurrency": 1, "queue": 2, "batch": 7,
         "call_ms": 150.0, "item_ms": 18.5, "headroom_mb": 34.5, "handle_s": 4.0}},
    ],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3,
               "idle_timeout_ms": 4},
    "tenants": [{"name": "team", "api_keys": ["k1", "k2"], "priority": 1}],
}  # fmt: skip


@when("a configuration of the platform is decoded")
def decode(context):
    context.catalogue = decode_catalogue(json.dumps(CONFIGURATION).encode())


@then("its routes, services, teams and limits match its text")
def decoded(context):
    found = context.catalogue
    assert (found.version, found.requires_key) == (7, True)
    assert [one.name for one in found.routes["x.y"]] == ["b", "a"]
    stream, safe = found.routes["x.y"]
    assert found.match("x.y", "/a/b/c") is stream and found.match("x.y", "/a/c") is safe
    assert found.match("x.y", "/") is None
    assert [(one.service, one.weight) for one in stream.targets] == [("s", 9.0), ("t", 1.0)]
    assert [(one.after, one.result_bytes) for one in stream.stages] == [((), 5.0), ((0,), 6.0)]
    assert stream.repeatable and stream.public and stream.last_stages() == (1,)
    assert (safe.target_ms, safe.max_attempts, safe.priority) == (200.0, 2, 2)
    assert found.services["t"].batch.result_ttl_ms == 4_000.0
    assert found.services["s"].slots == 64
    assert found.keys["k2"].team == "team" and found.keys["k2"].priority == 1
    limits = found.limits
    assert (limits.header_bytes, limits.body_bytes) == (1, 2)
    assert (limits.header_ms, limits.idle_ms) == (3.0, 4.0)


@when("the configuration {text} is decoded")
def decode_malformed(context, text):
    context.refused = None
    try:
        decode_catalogue(text.encode())
    except BadRowError as error:
        context.refused = error


@then("it is refused")
def is_refused(context):
    assert context.refused is not None


def changes_body(**fields):
    return json.dumps({"rows": [fields], "ver": 9, "now_ms": 1}).encode()


STORE = {
    "a change": (200, changes_body(key="k", value=base64.b64encode(b"v").decode(), ver=7)),
    "a removal": (200, changes_body(key="k", removed=True, ver=8)),
    "lost history": (410, b"{}"),
    "busy": (503, b""),
    "too many calls": (429, b""),
}


@given('a store that answers "{name}"')
def store(context, name):
    def handle(connection, address):
        received, _ = receive_request(connection, b"")
        context.received_requests.append(received)
        if name == "silence":
            gevent.sleep(3.0)
        if name in STORE:
            status, body = STORE[name]
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)))
            connection.sendall(body)

    context.received_requests = []
    address = listen(context, handle)
    client = HttpClient(f"http://{address}", SystemClock(), 300.0)
    context.stack.callback(client.close)
    context.store_table = StoreTable(client, "op")


@when("its changes are read")
def read_changes(context):
    context.page = context.error = None
    try:
        context.page = context.store_table.changes(Position(0, 5), 100.0)
    except (HistoryLostError, StoreUnavailableError) as error:
        context.error = error


@then("the change is a row with version {version:d}")
def is_change(context, version):
    assert context.page.position == Position(0, 9)
    (one,) = context.page.rows
    assert (one.key, one.value, one.position) == ("k", b"v", Position(0, version))
    line = context.received_requests[0][0].split(b"\r\n")[0]
    assert b"after=5" in line and b"wait_ms=100" in line and b"table=op" in line


@then("the change is a removal at version {version:d}")
def is_removal(context, version):
    (one,) = context.page.rows
    assert (one.value, one.position) == (None, Position(0, version))


@then("the history is reported as lost")
def history_lost(context):
    assert isinstance(context.error, HistoryLostError) and context.error.after == Position(0, 5)


@then("the store is reported as unavailable")
def unavailable(context):
    assert isinstance(context.error, StoreUnavailableError), context.error


@given("a log whose reader does not read")
def blocked_log(context):
    context.reader, writer = os.pipe()
    context.stack.callback(os.close, context.reader)
    context.stack.callback(os.close, writer)
    context.metrics = MemoryMetrics()
    context.queue = LogQueue(writer, context.metrics)
    context.queue.start()
    context.stack.callback(context.queue.writer.kill)


@when("{number:d} lines are logged")
def log_lines(context, number):
    started = time.monotonic()
    for n in range(number):
        context.queue({"message_type": "x", "n": n, "text": "y" * 100})
        if n % 100 == 0:
            gevent.sleep(0)
    context.took_ms = (time.monotonic() - started) * 1000
    context.lines = number


@then("that took at most {ms:d} ms and the dropped lines are counted")
def dropped_counted(context, ms):
    assert context.took_ms <= ms, context.took_ms
    dropped = context.metrics.counts["dropped_lines"]
    assert 0 < dropped < context.lines - MAX_LINES // 2
    assert len(context.queue.lines) <= MAX_LINES


@then("the log's output reports how many were dropped")
def drops_reported(context):
    dropped = context.metrics.counts["dropped_lines"]
    text = b""
    while b"log-lines-dropped" not in text:
        text += os.read(context.reader, 65_536)
        gevent.sleep(0.001)
    line = next(json.loads(one) for one in text.split(b"\n") if b"log-lines-dropped" in one)
    assert 0 < line["lines"] <= dropped


@when("a connection to it is opened")
def open_connection(context):
    context.connection = ServerConnection(context.server.address, SystemClock())
    context.connection.connect()
    context.stack.callback(context.connection.close)


@then("its user timeout is that of the system, and it sends no keep-alive probes")
def no_user_timeout(context):
    opened = context.connection.socket
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
    assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 0
