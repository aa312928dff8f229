# drawninstance.py -- An instance on loopback whose servers' answers end as they were drawn
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance on loopback whose servers' answers end as they were drawn."""

import gevent
from gevent import socket
from loopbackinstance import ANSWER_HEAD, LoopbackInstance

NO_LINGER = b"\1\0\0\0\0\0\0\0"
RESET_AFTER_S = 0.02
EVENT = b"id: 1\ndata: x\n\n"
BETWEEN_PARTS_S = 0.002


class DrawnInstance(LoopbackInstance):
    """An instance on loopback whose servers' answers end as they were drawn.

    Args:
        stack: Closes what was opened.

    Attributes:
        cases: The case of each request by its id; others get an event, with its length.
        attempts: How often a server has begun to treat each of them.
    """

    def __init__(self, stack):
        super().__init__(stack, "answer")
        self.cases = {}
        self.attempts = {}

    def treat(self, connection, head):
        """Treat a request; see LoopbackInstance. Only the first attempt ends as it was drawn."""
        id_ = head[b"mountladder-request-id"]
        case = self.cases.get(id_)
        if case is None:
            header = b"Content-Length: %d" % len(EVENT)
            connection.sendall(ANSWER_HEAD % (200, id_, header) + EVENT)
            return True
        self.attempts[id_] = self.attempts.get(id_, 0) + 1
        last_event = int(head.get(b"last-event-id", 0))
        header, framed = case.framed(case.body(id_, last_event))
        answer_head = ANSWER_HEAD % (200, id_, header)
        is_first = self.attempts[id_] == 1
        send_parts(connection, answer_head, case.cut(framed) if is_first else framed, case.parts)
        if is_first:
            end(connection, case, answer_head + framed)
        return False


def send_parts(connection, head, body, count):
    """Send the head, and the body in some parts."""
    connection.sendall(head)
    size = max(1, -(-len(body) // count))
    for start in range(0, len(body), size):
        connection.sendall(body[start : start + size])
        gevent.sleep(BETWEEN_PARTS_S)


def end(connection, case, answer):
    """End a connection as the case says, so that closing it does what remains."""
    if case.end == "second answer":
        gevent.sleep(case.pause_s)
        connection.sendall(answer)
    if case.end.endswith("later"):
        gevent.sleep(case.pause_s)
    if case.end == "closed, then reset":
        connection.shutdown(socket.SHUT_WR)
        gevent.sleep(RESET_AFTER_S)
    if "reset" in case.end:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
