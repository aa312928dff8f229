# memory_steps.py -- Steps about the bytes that an instance holds for others
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the bytes that an instance holds for others."""

import gc
import json
import re
import time
import tracemalloc
from contextlib import suppress
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from unittest.mock import patch

import gevent
from behave import given, then, when
from gevent import socket
from logrecorder import record_lines
from mountladder_platform import serverconnection
from mountladder_platform.answerframing import AnswerFraming
from mountladder_platform.serveranswer import ServerAnswer
from slowreaders import HEAD, SlowReaders, read_until, send_stream, send_whole, unchunked
from urllib3 import HTTPHeaderDict

from mountladder.code import Code
from mountladder.errors import PeerError, RefusalError, StageError
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.membership.tcplink import TcpLink
from mountladder.memory.heldshare import HeldShare
from mountladder.memory.memorybudget import BYTES_PER_MB, MARGIN_FRACTION, MemoryBudget
from mountladder.memory.memorypolicy import MemoryPolicy
from mountladder_entry.callerwriter import CallerWriter

STREAM_END = b"0\r\n\r\n"


def readers(context):
    if "readers" not in context:
        context.readers = SlowReaders(context.stack)
        record_lines(context)
    return context.readers


def wait_until(holds, seconds):
    deadline = time.monotonic() + seconds
    while not holds() and time.monotonic() < deadline:
        gevent.sleep(0.005)
    return holds()


@then("{memory:g} MB of memory with {rest:g} MB at rest give a budget of {budget:g} MB")
def budget_of(context, memory, rest, budget):
    assert MemoryBudget.of(memory, rest * BYTES_PER_MB).bytes == budget * BYTES_PER_MB


@given("a budget of {budget:g} MB of which {held:d} MB are held")
def given_budget(context, budget, held):
    context.budget, context.held = MemoryBudget(budget * BYTES_PER_MB), held * BYTES_PER_MB


@then("a new request is {outcome} by the policy")
def request_outcome(context, outcome):
    assert MemoryPolicy().refuses(context.held, context.budget) == (outcome == "refused")


@then("with {rate:g} KB released per ms it may return after {ms:g} ms")
def returns_after(context, rate, ms):
    found = MemoryPolicy().retry_after_ms(context.held, context.budget, rate * 1_000)
    assert abs(found - ms) < 1.0, found


@given("holders {holders}")
def given_holders(context, holders):
    pairs = [one.split(": ") for one in holders.split(", ")]
    context.shares = [
        HeldShare(name, int(numbers.split()[0]) * 1_000_000, float(numbers.split()[1]))
        for name, numbers in pairs
    ]


@then("the policy cuts {names}")
def are_cut(context, names):
    cut = MemoryPolicy().cuts(context.held, context.shares, context.budget)
    assert [one.holder for one in cut] == ([] if names == "none" else names.split(", ")), cut


@given("an account of which a greenlet holds {number:d} bytes")
def greenlet_holds(context, number):
    account = readers(context).account

    def hold():
        with account.hold("caller", lambda reason: None) as holder:
            holder.add(number)
            gevent.sleep(10.0)

    context.task = gevent.spawn(hold)
    gevent.sleep(0)
    assert account.held == number


@when("the greenlet is killed")
def kill(context):
    context.task.kill()


@then("{number:d} bytes are held")
def are_held(context, number):
    assert readers(context).account.held == number


@given("a guard with {memory:g} MB of memory whose limit is {switch}")
def guard(context, memory, switch):
    given = readers(context)
    given.settings = SimpleNamespace(bound_memory=switch == "on", memory_mb=memory)
    given.guard.start(0.0)
    context.ended = []


@given("{number:d} MB are held for {whom}")
def hold_more(context, number, whom):
    account = readers(context).account
    account.open("caller", context.ended.append).add(number * 1_000_000)
    gevent.sleep(0.02)


@when("the limit is checked again")
def check_again(context):
    readers(context).guard.update()


@then("the guard has a new request {outcome}, and cuts {number:d} holders")
def guard_outcome(context, outcome, number):
    try:
        readers(context).guard.check()
        assert outcome == "accepted"
    except RefusalError:
        assert outcome == "refused"
    readers(context).guard.update()
    assert len(context.ended) == number, context.ended


@then("1 holder is cut, with a log line that gives the bytes and the budget")
def one_cut(context):
    assert context.ended == ["memory"], context.ended
    (line,) = [one for one in context.lines if one.get("message_type") == "memory-cut"]
    assert (line["bytes"], line["budget_bytes"]) == (60_000_000, 75_000_000), line
    assert readers(context).metrics.gauges["held_bytes"] == 70_000_000


@given("callers that take nothing for {ms:d} ms are cut")
def set_time_limit(context, ms):
    readers(context).account.slow_reader_ms = float(ms)


@given("a budget of {budget:g} MB at the ingress")
def ingress_budget(context, budget):
    given = readers(context)
    given.settings.memory_mb = budget / (1.0 - MARGIN_FRACTION)
    given.guard.start(0.0)


class EndlessConnection:
    """A connection on which bytes of a body are always there, and that lets others run at times."""

    framing = AnswerFraming.CONNECTION
    used = False
    turn_reads = 64

    def __init__(self):
        self.reads, self.is_ended = 0, False

    def read(self, response, limit_ms):
        self.reads += 1
        if self.reads % self.turn_reads == 0:
            gevent.sleep(0.001)
        if self.is_ended:
            raise StageError("the connection was shut down", Code.STREAM_CUT)
        return bytes(65_536)

    def end(self, reason):
        self.is_ended = True

    def close(self):
        pass


@when("{number:d} answers are read at once whose bodies never end")
def read_endless(context, number):
    given, context.most, context.answer_ends = readers(context), 0, []
    plain = given.account.add

    def add(size):
        plain(size)
        context.most = max(context.most, given.account.held)

    def read():
        connection = EndlessConnection()
        response = SimpleNamespace(status=200, headers=HTTPHeaderDict(), close=lambda: None)
        with given.account.hold("server", connection.end) as holder:
            answer = ServerAnswer(response, connection, None, given.clock, holder)
            try:
                answer.read(20_000.0)
            except StageError as error:
                context.answer_ends.append(error.code)

    with patch.object(given.account, "add", add):
        gevent.joinall([gevent.spawn(read) for _ in range(number)], timeout=10.0)
    context.number = number


@then("at most {most:d} MB are held, and each of them is ended")
def held_at_most(context, most):
    assert context.most <= most * BYTES_PER_MB, context.most
    assert len(context.answer_ends) == context.number, context.answer_ends
    assert set(context.answer_ends) <= {Code.STREAM_CUT, Code.BAD_ANSWER}, context.answer_ends


@given("a server that sends a stream of {number:d} events of {size:d} bytes")
def server_stream(context, number, size, pause_s=0.0, is_broken=False):
    context.number = number
    readers(context).start(partial(send_stream, number, size, pause_s, is_broken))


@given("a server that sends a stream of {number:d} events of {size:d} bytes, one each {ms:d} ms")
def server_paced(context, number, size, ms):
    server_stream(context, number, size, pause_s=ms / 1000)


@given("a server that sends a stream of {number:d} events of {size:d} bytes and breaks it")
def server_breaks(context, number, size):
    server_stream(context, number, size, is_broken=True)


@given("a server that answers with {size:d} bytes")
def server_whole(context, size):
    readers(context).start(partial(send_whole, size, size))


@given("a server that has sent {sent:d} of {size:d} bytes of its answer")
def server_half(context, sent, size):
    readers(context).start(partial(send_whole, size, sent))


@given("a server with large buffers that answers with {size:d} bytes")
def fast_server(context, size):
    readers(context).server_buffer = 1_000_000
    server_whole(context, size)


@then("the system's buffer for the server has at most {size:d} bytes")
def system_buffer(context, size):
    ((connection, _),) = context.readers.forwarder.upstream.pool.idle[
        context.readers.forwarder.server.address
    ]
    assert connection.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) <= size


@when("a caller requests it and reads nothing for {ms:d} ms")
def pause_reading(context, ms):
    context.caller = context.readers.request()
    gevent.sleep(ms / 1000)


@when("a caller sends two requests at once and reads nothing for {ms:d} ms")
def send_two(context, ms):
    context.caller = context.readers.connect()
    request = HEAD + b"Content-Length: 2\r\n\r\nhi"
    context.caller.sendall(request % b"r1" + request % b"r2")
    gevent.sleep(ms / 1000)


@given("{number:d} other bytes are held")
def other_bytes(context, number):
    account = readers(context).account
    context.stack.enter_context(account.hold("caller", lambda _: None)).add(number)


@when("a caller sends {total:d} bytes of a body with {framing}, {size:d} each {ms:d} ms")
def send_steadily(context, total, framing, size, ms):
    caller = context.readers.connect()
    is_chunked = framing == "chunks"
    head = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % (total + 1)
    caller.sendall(HEAD % b"r1" + head + b"\r\n\r\n")
    data = b"x" * size
    context.stalled = []
    for _ in range(total // size):
        caller.sendall(b"%x\r\n%b\r\n" % (size, data) if is_chunked else data)
        gevent.sleep(ms / 1000)
        context.stalled += [one.stalled_ms for one in context.readers.account.shares()]


@then("it has never made no progress for {ms:d} ms")
def made_progress(context, ms):
    assert context.stalled and max(context.stalled) < ms, context.stalled


@when("a caller sends two requests {ms:d} ms apart")
def send_two_apart(context, ms):
    context.caller = context.readers.request()
    gevent.sleep(ms / 1000)
    context.caller.sendall(HEAD % b"r2" + b"Content-Length: 2\r\n\r\nhi")
    gevent.sleep(ms / 1000)


@when("the caller is cut")
def cut_caller(context):
    account = context.readers.account
    (share,) = account.shares()
    account.cut(share.holder, "memory")


@given("the garbage collector does not run")
def collector_off(context):
    gc.collect()
    gc.disable()
    context.stack.callback(gc.enable)
    tracemalloc.start()
    context.stack.callback(tracemalloc.stop)


@then("at least {number:d} bytes are in use")
def at_least_in_use(context, number):
    assert tracemalloc.get_traced_memory()[0] >= number, tracemalloc.get_traced_memory()


@then("at most {number:d} bytes are in use")
def at_most_in_use(context, number):
    assert tracemalloc.get_traced_memory()[0] <= number, tracemalloc.get_traced_memory()


@then("at most {number:d} bytes more are in use than are held")
def in_use_but_not_held(context, number):
    used, held = tracemalloc.get_traced_memory()[0], context.readers.account.held
    assert used <= held + number, (used, held)


@when("it goes on for {ms:d} ms")
def goes_on(context, ms):
    gevent.sleep(ms / 1000)


@when("the caller disconnects")
def disconnect(context):
    context.caller.close()


@given("a connection to a caller for which {number:d} bytes wait")
def waiting_bytes(context, number):
    account = readers(context).account
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        connection, _ = listener.accept()
    connection.setblocking(False)
    context.stack.callback(caller.close)
    context.stack.callback(connection.close)
    holder = context.stack.enter_context(account.hold("caller", lambda _: None))
    writer = CallerWriter(connection, holder)
    context.stack.callback(writer.close)
    context.system_held = 0
    with suppress(BlockingIOError):
        while True:
            context.system_held += connection._sock.send(b"x" * 4_096)
    writer.write(b"x" * number)
    assert account.held == number, account.held
    context.caller, context.writer = caller, writer


@when("{number:d} bytes more are written to it")
def write_more(context, number):
    writing = gevent.spawn(lambda: context.writer.write(bytes(number)))
    context.stack.callback(writing.kill)
    gevent.sleep(0.05)


@when("the caller reads all {number:d} bytes and what the system held")
def read_everything(context, number):
    remaining = context.system_held + number
    while remaining:
        remaining -= len(context.caller.recv(min(65_536, remaining)))


@when("a caller asks whether to send a body of {size:d} bytes")
def ask_to_send(context, size):
    context.caller = context.readers.connect()
    expect = b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % size
    context.caller.sendall(HEAD % b"r1" + expect)
    context.received = context.caller.recv(65_536)


@then("it is refused, and the answer says that the connection is closed")
def refused_and_closed(context):
    assert context.received.startswith(b"HTTP/1.1 503 "), context.received
    assert b"\r\nConnection: close\r\n" in context.received, context.received


@when("a caller of HTTP 1.0 requests it")
def request_old(context):
    context.caller = context.readers.connect()
    head = (HEAD % b"r1").replace(b"HTTP/1.1", b"HTTP/1.0")
    context.caller.sendall(head + b"Content-Length: 2\r\n\r\nhi")


@then("its connection was reset")
def connection_reset(context):
    try:
        received = read_until(context.caller, b"the end of the connection")
    except ConnectionResetError:
        return
    raise AssertionError(f"the connection was closed after {len(received)} bytes")


@when("a caller sends two HEAD requests on a connection")
def send_heads(context):
    context.caller = context.readers.connect()
    request = HEAD.replace(b"POST", b"HEAD") + b"Connection: %b\r\n\r\n"
    context.caller.sendall(request % (b"r1", b"keep-alive") + request % (b"r2", b"close"))
    context.received = read_until(context.caller, b"the end of the connection")


@then("it gets two heads with status {status:d} and nothing else")
def gets_heads(context, status):
    parts = context.received.split(b"\r\n\r\n")
    assert len(parts) == 3 and not parts[2], parts
    assert all(one.startswith(b"HTTP/1.1 %d " % status) for one in parts[:2]), parts


@when("a caller requests it and reads {size:d} bytes each {ms:d} ms for {span:d} ms")
def read_slowly(context, size, ms, span):
    context.caller = context.readers.request()
    context.received = b""
    until = time.monotonic() + span / 1000
    while time.monotonic() < until:
        context.received += context.caller.recv(size)
        gevent.sleep(ms / 1000)


@when("a caller requests it and reads {size:d} bytes each {ms:d} ms from then on")
def read_from_then_on(context, size, ms):
    context.caller = context.readers.request(b"reader")

    def read():
        received = b""
        while not received.endswith(b"\r\n\r\n" + b"x" * 1_000_000):
            data = context.caller.recv(size)
            if not data:
                break
            received += data
            gevent.sleep(ms / 1000)
        return received

    context.reading = gevent.spawn(read)
    gevent.sleep(0.1)


@when("{number:d} callers request it {ms:d} ms apart and read nothing")
def others_read_nothing(context, number, ms):
    for n in range(number):
        gevent.sleep(ms / 1000 * (n > 0))
        context.others = [*getattr(context, "others", ()), context.readers.request(b"o%d" % n)]
    gevent.sleep(0.3)


@when("a caller requests it and reads all the time")
def read_all_the_time(context):
    context.caller = context.readers.request()
    context.delays, context.most_held = [], 0
    received = b""
    while not received.endswith(STREAM_END):
        received = context.caller.recv(65_536)
        now, account = time.monotonic(), context.readers.account
        # The request's own body of two bytes is held as well.
        context.most_held = max(context.most_held, account.held - 2)
        context.delays += [now - float(at) for at in re.findall(rb"at: ([\d.]+)\n", received)]


@then("the stream has been read to its end at the server")
def read_to_end(context):
    assert context.readers.forwarder.ended == 1


@then("at most {read:d} bytes have been read at the server, and at least {held:d} are held")
def reading_stopped(context, read, held):
    assert context.readers.forwarder.read <= read, context.readers.forwarder.read
    assert context.readers.account.held >= held, context.readers.account.held
    assert context.readers.account.has_waiting()


def received_events(context):
    received = getattr(context, "received", b"") + read_until(context.caller, STREAM_END)
    body, has_end = unchunked(received)
    return [int(one) for one in re.findall(rb"id: (\d+)\ndata: x+\n\n", body)], has_end


@then("the caller gets each event once and in order, and the end of the stream")
def gets_all(context):
    numbers, has_end = received_events(context)
    assert numbers == list(range(1, context.number + 1)), (len(numbers), numbers[-3:])
    assert has_end


@then("the caller gets each event once and in order, but no end of the stream")
def gets_all_but_end(context):
    numbers, has_end = received_events(context)
    assert numbers == list(range(1, context.number + 1)), (len(numbers), numbers[-3:])
    assert not has_end


@then("the caller gets the events of both, one stream after the other")
def gets_both(context):
    for _ in range(2):
        gets_all(context)


@then("only the first has reached the server")
def only_first(context):
    assert context.readers.forwarder.requests == ["r1"], context.readers.forwarder.requests


@then("{number:d} bytes are held within {ms:d} ms")
def held_within(context, number, ms):
    account = context.readers.account
    assert wait_until(lambda: account.held == number, ms / 1000), account.held


@then("at least {number:d} bytes are held")
def at_least_held(context, number):
    assert context.readers.account.held >= number, context.readers.account.held


@then("no event took longer than {ms:d} ms, and no bytes were held while it read")
def passed_on_at_once(context, ms):
    assert len(context.delays) == context.number
    assert max(context.delays) <= ms / 1000, max(context.delays)
    assert context.most_held <= 0, context.most_held


@then("its connection was reset, and the call at the server has ended")
def was_cut(context):
    try:
        received = read_until(context.caller, STREAM_END)
        assert not received.endswith(STREAM_END)
    except ConnectionResetError:
        pass
    forwarder = context.readers.forwarder
    assert forwarder.ended or wait_until(lambda: context.readers.server_gone, 0.5)


@then("1 slow reader was cut, with a log line that names its request")
def slow_reader_cut(context):
    (line,) = [one for one in context.lines if one.get("message_type") == "memory-cut"]
    assert (line["request"], line["reason"]) == ("r1", "slow reader"), line
    assert 1_000 <= line["waited_ms"] < 1_300 and line["bytes"] > 0, line
    assert context.readers.metrics.counts["cut_slow_readers"] == 1


@then("it was not cut")
def not_cut(context):
    assert not context.readers.metrics.counts["cut_slow_readers"]


@when("the caller reads the whole answer of {size:d} bytes")
def read_whole(context, size):
    received = read_until(context.caller, b"\r\n\r\n" + b"x" * size)
    assert received.endswith(b"\r\n\r\n" + b"x" * size), len(received)


@then("the first of them is cut")
def one_other_cut(context):
    cut = [one for one in context.lines if one.get("message_type") == "memory-cut"]
    assert [one["request"] for one in cut] == ["o0"], cut
    assert cut[0]["reason"] == "memory"


@then("the caller that reads gets the whole answer of {size:d} bytes")
def reader_gets_all(context, size):
    received = context.reading.get(timeout=10.0)
    assert received.endswith(b"\r\n\r\n" + b"x" * size), len(received)


@when("another caller sends the head of a request with a body of {size:d} bytes")
def send_head(context, size):
    context.other = context.readers.connect()
    context.other.sendall(HEAD % b"r2" + b"Content-Length: %d\r\n\r\n" % size)
    context.received = context.other.recv(65_536)


@then("it gets {status:d} with code {code:d} and a Retry-After of {seconds:d} seconds")
def gets_refusal(context, status, code, seconds):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), head
    assert b"Retry-After: %.2f" % seconds in head, head
    assert json.loads(body)["code"] == code, body


@then('the refusal is logged with its request and counted as "{name}"')
def refusal_recorded(context, name):
    ((request, error),) = context.readers.forwarder.refused
    assert request == "r2" and name == f"refused.{error.code.name.lower()}"
    # The body of the first request has two bytes.
    assert "800002 bytes are held of 1000000" in error.detail, error.detail


@when("a caller sends {what} of a request with a body of {size:d} bytes")
def send_part(context, what, size):
    context.caller = context.readers.connect()
    part = b"Content-Length: %d\r\n\r\n" % size
    if what != "the head":
        data = b"x" * int(re.search(r"\d+", what).group())
        part = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(data), data)
    context.caller.sendall(HEAD % b"r1" + part)


@when("a caller sends {what} of a request with a body of {size:d} bytes and waits for {ms:d} ms")
def send_part_and_wait(context, what, size, ms):
    reader = context.caller
    send_part(context, what, size)
    context.caller = reader
    gevent.sleep(ms / 1000)


@then("the caller that sent no body is cut")
def sender_cut(context):
    cut = [one for one in context.lines if one.get("message_type") == "memory-cut"]
    assert [(one["request"], one["bytes"]) for one in cut] == [("r1", 900_000)], cut


@when("it closes the connection")
def close_connection(context):
    context.caller.close()


@given("a server that accepts connections and reads nothing")
def server_reads_nothing(context):
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    context.stack.callback(listening.close)
    given = readers(context)
    given.start(send_stream)
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    given.forwarder.server = replace(given.forwarder.server, address=address)
    context.listening = listening


@given("a server that reads slowly and then answers nothing")
def server_reads_slowly(context):
    server_reads_nothing(context)

    def serve():
        connection, _ = context.listening.accept()
        gevent.sleep(0.4)
        while connection.recv(1_000_000):
            pass

    task = gevent.spawn(serve)
    context.stack.callback(task.kill)


@given("requests have to be read within {ms:d} ms")
def set_write_limit(context, ms):
    context.stack.enter_context(patch.object(serverconnection, "WRITE_MS", float(ms)))


@when("a request with a body of {size:d} bytes is sent to it with {ms:d} ms left")
def send_large(context, size, ms):
    given = context.readers
    now = given.clock.now()
    request = ForwardRequest("r1", "POST", "x.y", "/a", "/a", (), b"x" * size, "", now, ms)
    try:
        given.forwarder.upstream.open(
            given.forwarder.server, ForwardCall(request, "", now + ms), float(ms)
        )
        context.error = None
    except StageError as error:
        context.error = error
    context.took_ms = given.clock.now() - now


@then("the attempt fails after {low:d} to {high:d} ms with code {code:d} and may have run")
def attempt_fails(context, low, high, code):
    assert context.error.code.number == code and context.error.dispatched, context.error
    assert low <= context.took_ms <= high, context.took_ms


@given("a link to a peer that reads nothing")
def link_to_peer(context):
    near, far = socket.socketpair()
    context.stack.callback(far.close)
    context.link = TcpLink(near, b"secret", None, readers(context).account)


@when("{number:d} messages of {size:d} bytes are sent over it")
def send_messages(context, number, size):
    message = CatalogueSlice(1, 0, size, b"", b"x" * size)

    def send():
        with suppress(PeerError):
            context.link.send(message)

    context.tasks = [gevent.spawn(send) for _ in range(number)]
    gevent.sleep(0.1)


@when("the link is cut")
def cut_link(context):
    context.link.cut("memory")
    gevent.joinall(context.tasks, timeout=2.0)
    context.link.close()
