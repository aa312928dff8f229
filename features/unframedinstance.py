# unframedinstance.py -- An instance whose backend servers answer without a length
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance whose backend servers answer without a length."""

import struct

import gevent
from forwardbasics import PATHS
from gevent import socket
from loopbackinstance import ANSWER_HEAD, TARGET, LoopbackInstance

BODY = b"".join(b"%04d " % number for number in range(600))
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 4))
STREAM_TARGETS = (PATHS["stream"].encode(), PATHS["resumable"].encode())
NO_LINGER = struct.pack("ii", 1, 0)
# How a server ends its stream, if it does, and after how long it resets the connection, if it does.
ENDS = {
    "ends the connection": (True, None),
    "ends and resets the connection": (True, 0.0),
    "ends the connection and resets it 20 ms later": (True, 0.02),
    "resets the connection": (False, 0.0),
    "resets the connection 150 ms later": (False, 0.15),
    "crashes": (True, None),
    "crashes as its data centre is drained": (True, None),
}
DRAINED_S = 2.0


class UnframedInstance(LoopbackInstance):
    """An instance whose backend servers answer without a length and without chunks.

    Attributes:
        next_end: One of ENDS, how the next answer is broken off, or an empty string.
        status: The status of the answers.
        pause_s: How long the servers wait behind the body before they end the connection.
    """

    def __init__(self, stack):
        super().__init__(stack, "answer without a length")
        self.next_end = ""
        self.status = 200
        self.pause_s = 0.0

    def treat(self, connection, head):
        """Answer a request, and end the connection; see LoopbackInstance."""
        self.treated += 1
        end, self.next_end = self.next_end, ""
        body = whole_body(head[TARGET])
        if head.get(b"last-event-id"):
            body = body.partition(b"id: %b\n" % head[b"last-event-id"])[2].partition(b"\n\n")[2]
        sent = part_of(body) if end else body
        connection.sendall(
            ANSWER_HEAD % (self.status, head[b"mountladder-request-id"], b"X: 1") + sent
        )
        gevent.sleep(self.pause_s)
        if end:
            self.break_off(connection, end)
        return False

    def break_off(self, connection, end):
        """End a connection in one of the ways of ENDS."""
        if end == "crashes as its data centre is drained":
            self.fleet.drain("a")
            with gevent.Timeout(DRAINED_S):
                while not self.instance.directory.drains.is_drained("a"):
                    gevent.sleep(0.01)
        if end.startswith("crashes"):
            self.servers[connection.getsockname()[1]].stop(0.0)
        ends_stream, reset_s = ENDS[end]
        if ends_stream:
            connection.shutdown(socket.SHUT_WR)
        if reset_s is not None:
            gevent.sleep(reset_s)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def whole_body(target):
    """Return the whole body of the answer to a request."""
    return EVENTS if target.startswith(STREAM_TARGETS) else BODY


def part_of(whole):
    """Return the part of a body that a server sends which breaks off; a whole event of a stream."""
    return whole[: len(whole) // 3]
