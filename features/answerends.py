# answerends.py -- Servers on loopback whose answers end in each way there is
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Servers on loopback whose answers end in each way there is."""

from contextlib import suppress

import gevent
from gevent import socket
from gevent.server import StreamServer
from platform_steps import receive_request
from rawanswers import answer

FRAMINGS = ("a length", "chunks", "neither")
CHUNKED = b"Transfer-Encoding: chunked\r\n"
RESET_AT_CLOSE = b"\1\0\0\0\0\0\0\0"
RESET_LATER_S = 0.02
PAUSE_S = 0.1
SECOND_LATER_S = 0.02
LINGER_S = 2.0
ID_HEADERS = (b"mountladder-request-id", b"x-attempt")


def framed(framing, body, head, status=200):
    """Return a whole answer."""
    if framing != "chunks":
        return answer(status, body, head, length=framing == "a length")
    half = len(body) // 2
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in (body[:half], body[half:]))
    return answer(status, chunks + b"0\r\n\r\n", head + CHUNKED, length=False)


def within_body(data):
    """Return an answer up to the middle of its body."""
    body_at = data.index(b"\r\n\r\n") + 4
    return data[: (body_at + len(data)) // 2]


def end(connection, how):
    """End a connection, behind what was sent over it."""
    if how == "end of stream after a pause":
        gevent.sleep(PAUSE_S)
    if how != "reset":
        connection.shutdown(socket.SHUT_WR)
    if how == "end of stream, then a reset":
        gevent.sleep(RESET_LATER_S)
    if how.endswith("reset"):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    else:
        wait_for_close(connection)
    connection.close()


def wait_for_close(connection):
    """Wait until the other side has closed its connection as well."""
    connection.settimeout(LINGER_S)
    try:
        while connection.recv(65_536):
            pass
    except OSError:
        # It has reset it, or keeps it open.
        return


class EndingServer:
    """A server whose first answer ends in one way; later ones are whole and have a length.

    Args:
        stack: Closes it.
        framing: How the first answer is framed, one of FRAMINGS.
        how: How it ends: within its body, or whole with a second answer behind it.
        make: Returns the head and the body of the answer with a number: 1 for the first answer, 2
            for the second one behind it, 3 for those to later requests.

    Attributes:
        address: Its address.
        requests: The requests it was sent.
    """

    def __init__(self, stack, framing, how, make):
        self.framing, self.how, self.make = framing, how, make
        self.requests = []
        server = StreamServer(("127.0.0.1", 0), self.handle)
        server.start()
        stack.callback(server.stop, 0.1)
        self.address = f"127.0.0.1:{server.server_port}"

    def handle(self, connection, _):
        """Answer the requests on a connection, until the other side closes or resets it."""
        with suppress(ConnectionResetError):
            self.serve(connection)

    def serve(self, connection):
        """Answer the requests on a connection."""
        buffered = b""
        while True:
            received, buffered = receive_request(connection, buffered)
            if received is None:
                return
            self.requests.append(received)
            id_ = id_of(received[0])
            if len(self.requests) > 1:
                connection.sendall(self.answer("a length", 3, id_))
            elif not self.answer_first(connection, id_):
                return

    def answer(self, framing, number, id_):
        """Return an answer to the request with an id."""
        head, body = self.make(number)
        return framed(framing, body, head).replace(b"@ID", id_)

    def answer_first(self, connection, id_):
        """Send the first answer and end it; return whether the connection stays open."""
        data = self.answer(self.framing, 1, id_)
        if "second answer" not in self.how:
            connection.sendall(within_body(data))
            end(connection, self.how)
            return False
        second = self.answer("a length", 2, id_)
        if self.how == "a second answer":
            connection.sendall(data + second)
        else:
            connection.sendall(data)
            gevent.sleep(SECOND_LATER_S)
            connection.sendall(second)
        if self.framing == "neither":
            end(connection, "end of stream")
        return self.framing != "neither"


def id_of(head):
    """Return the id in the head of a request, empty if it has none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() in ID_HEADERS:
            return value.strip()
    return b""
