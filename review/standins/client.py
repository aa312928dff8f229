"""A stand-in for a client (PROTOCOL.md, "Requests" and "Answers")."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http1 import Headers, Reader, message

HOST, KEY = "review.example", "key-1"


@dataclass
class Answer:
    """What a client got."""

    id: str
    status: int | None
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    elapsed_s: float = 0.0
    problem: str = ""

    def __str__(self) -> str:
        got = self.status if self.status is not None else f"no answer ({self.problem})"
        return f"{self.id} got {got} after {self.elapsed_s:.2f} s"


def call(
    port: int,
    id_: str,
    method: str,
    path: str,
    deadline_ms: int,
    wait_s: float,
    body: bytes = b"",
    headers: Headers | None = None,
    note: Callable[[str], None] = lambda text: None,
) -> Answer:
    """Send one request on a connection of its own; wait for the answer at most wait_s."""
    began = time.monotonic()
    note(f"client: sends {id_}, {method} {path}, to port {port}")
    sent = {
        "Host": HOST,
        "Mountladder-Request-Id": id_,
        "Mountladder-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    } | (headers or {})
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as connection:
            connection.settimeout(wait_s)
            connection.sendall(message(f"{method} {path} HTTP/1.1", sent, body))
            reader = Reader(connection)
            # The time limit is for the whole answer.
            head = reader.head()
            if head is None:
                return Answer(id_, None, elapsed_s=time.monotonic() - began, problem="closed")
            status = int(head[0].split()[1])
            data = reader.body(head[1])
            elapsed_s = time.monotonic() - began
            if data is None:
                return Answer(id_, None, head[1], b"", elapsed_s, f"{status}, cut")
            return Answer(id_, status, head[1], data, elapsed_s)
    except OSError as error:
        return Answer(id_, None, elapsed_s=time.monotonic() - began, problem=repr(error))
