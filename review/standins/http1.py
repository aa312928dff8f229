"""HTTP/1.1 on raw sockets, for servers and clients that must control every byte."""

from __future__ import annotations

import socket

Headers = dict[str, str]


class Reader:
    """Reads messages from a socket."""

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self.buffered = b""

    def fill(self) -> bool:
        """Read more bytes; return False at the end."""
        data = self.connection.recv(65_536)
        self.buffered += data
        return bool(data)

    def head(self) -> tuple[str, Headers] | None:
        """Return the first line and the headers (names in lower case), or None at the end."""
        while b"\r\n\r\n" not in self.buffered:
            if not self.fill():
                return None
        head, _, self.buffered = self.buffered.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return first, {name.strip().lower(): value.strip() for name, _, value in pairs}

    def body(self, headers: Headers) -> bytes | None:
        """Return the body of a message, or None if it is incomplete."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self.chunks()
        return self.take(int(headers.get("content-length", 0)))

    def chunks(self) -> bytes | None:
        """Return a body in chunks, or None if it is incomplete."""
        parts = []
        while True:
            while b"\r\n" not in self.buffered:
                if not self.fill():
                    return None
            line, _, self.buffered = self.buffered.partition(b"\r\n")
            data = self.take(int(line.split(b";")[0], 16) + 2)
            if data is None:
                return None
            if data == b"\r\n":
                return b"".join(parts)
            parts.append(data[:-2])

    def take(self, size: int) -> bytes | None:
        """Return the next bytes, or None if there are not so many."""
        while len(self.buffered) < size:
            if not self.fill():
                return None
        data, self.buffered = self.buffered[:size], self.buffered[size:]
        return data


def message(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
