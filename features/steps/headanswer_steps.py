# headanswer_steps.py -- Steps about answers that have no body
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about answers that have no body."""

from behave import given, then, when
from forwardbasics import PATHS
from gevent import socket
from loopbackinstance import ANSWER_HEAD, LoopbackInstance
from mountladder_platform.ingress import Ingress
from requestmemory_steps import HEAD, QUIET_S
from unframedanswer_steps import FakeRelay

from mountladder.forwarding.callerlimits import CallerLimits

HEAD_END = b"\r\n\r\n"
TIMEOUT_S = 3.0
FRAMINGS = {"chunks": b"Transfer-Encoding: chunked", "no framing": b"X: 1"}


def framing_header(framing):
    """Return the header that frames a body, by its name in scenarios."""
    length = framing.removeprefix("a length of ").encode()
    return FRAMINGS.get(framing, b"Content-Length: " + length)


class HeadAnsweringInstance(LoopbackInstance):
    """An instance on loopback whose servers send the head of an answer, and keep the connection.

    Args:
        stack: Closes what was opened.
        status: The status of the answers.
        header: The header that frames their bodies.
    """

    def __init__(self, stack, status, header):
        super().__init__(stack, "send a head")
        self.status = status
        self.header = header

    def treat(self, connection, head):
        """Answer a request; see LoopbackInstance."""
        id_ = head[b"mountladder-request-id"]
        connection.sendall(ANSWER_HEAD % (self.status, id_, self.header))
        return True


@given(
    "an instance on loopback whose servers send the head of an answer with status {status:d} "
    "and {framing}"
)
def head_answering_instance(context, status, framing):
    context.loopback = HeadAnsweringInstance(context.stack, status, framing_header(framing))


def exchange(address, method, version, count):
    """Send requests over one connection, one behind the answer to the other; return what comes."""
    head = HEAD.replace(b"POST", method.encode()).replace(b"1.1", version.encode())
    head = head.replace(b"Host:", b"Connection: keep-alive\r\nHost:", 1)
    received = b""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        for number in range(1, count + 1):
            connection.sendall(head % (PATHS["safe"].encode(), 0))
            while received.count(HEAD_END) < number:
                data = connection.recv(65_536)
                assert data, received
                received += data
        connection.settimeout(QUIET_S)
        try:
            received += connection.recv(65_536)
        except TimeoutError:
            return received
    return received


@when("a caller of HTTP/{version} sends two {method} requests over a connection")
def send_two(context, version, method):
    context.received = exchange(context.loopback.address, method, version, 2)


@when("a {method} request is relayed to it by another instance, whose caller gets the answer")
def send_relayed(context, method):
    relay = FakeRelay(context.loopback)
    application = Ingress(relay, CallerLimits, relay.clock)
    address = ("127.0.0.1", context.loopback.serve_callers(application))
    context.received = exchange(address, method, "1.1", 1)


@then("it gets {number} heads with status {status:d} and {length}, and nothing else")
@then("it gets {number} head with status {status:d} and {length}, and nothing else")
def gets_heads(context, number, status, length):
    *heads, rest = context.received.split(HEAD_END)
    assert len(heads) == {"one": 1, "two": 2}[number] and not rest, context.received
    expected = [] if length == "no length" else [framing_header(length).lower()]
    for head in heads:
        lines = head.lower().split(b"\r\n")
        assert lines[0].startswith(b"http/1.1 %d " % status), head
        framing = [one for one in lines if one.startswith((b"content-l", b"transfer-"))]
        assert framing == expected, head
