# calleranswer.py -- An answer as a caller sees it: what came, and what its framing claims
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An answer as a caller sees it: what came, and what its framing claims."""

import re

from gevent import socket

TIMEOUT_S = 5.0
LAST_CHUNK = b"0\r\n\r\n"
_CHUNK = re.compile(rb"([0-9a-f]+)\r\n")


class CallerAnswer:
    """The last answer that comes over a connection, read up to its end.

    Args:
        connection: The connection.

    Attributes:
        status: Its status, 0 without a whole head.
        head: Its head.
        body: Its body, without what frames chunks.
        claim: What its framing says: "whole", "broken", or "none" where it ended with its
            connection.
    """

    def __init__(self, connection):
        connection.settimeout(TIMEOUT_S)
        received, self.was_reset = b"", False
        try:
            while data := connection.recv(65_536):
                received += data
        except ConnectionResetError:
            self.was_reset = True
        self.head, separator, self.body = received.partition(b"\r\n\r\n")
        self.head = self.head.lower()
        self.status = int(self.head.split()[1]) if separator else 0
        self.claim = self.read_claim()

    def read_claim(self):
        length = re.search(rb"content-length: (\d+)", self.head)
        if b"transfer-encoding: chunked" in self.head:
            is_whole = self.body.endswith(LAST_CHUNK)
            self.body = joined(self.body)
        elif length is not None:
            is_whole = len(self.body) == int(length.group(1))
        else:
            return "broken" if self.was_reset or not self.status else "none"
        return "whole" if is_whole else "broken"


def joined(data):
    """Return the bytes in chunks, of which the last one may be incomplete."""
    body = b""
    while match := _CHUNK.match(data):
        size = int(match.group(1), 16)
        body += data[match.end() : match.end() + size]
        data = data[match.end() + size + 2 :]
    return body


def fetch(port, request=b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"):
    """Send a request to a port of loopback, and return its answer."""
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as connection:
        connection.sendall(request)
        return CallerAnswer(connection)
