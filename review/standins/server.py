"""A stand-in for a backend server (PROTOCOL.md, "Servers").

It is sound unless a case replaces `run`.
"""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections.abc import Callable

from standins.http1 import Headers, Reader, message


class Server:
    """Serves connections, one request at a time on each, and registers itself in the store."""

    def __init__(
        self,
        store,
        name: str,
        service: str,
        zone: str,
        slots: int,
        note: Callable[[str], None],
        work_s: float = 0.03,
        version: str = "v1",
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.note = note
        self.work_s = work_s
        self.version = version
        self.sequence = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str]] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def start(self) -> None:
        """Listen and register."""
        threading.Thread(target=self.accept, daemon=True).start()
        self.register("ready")

    def register(self, phase: str) -> None:
        """Write the server's entry."""
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "concurrency": self.slots,
                "phase": phase,
                "cold_remaining_ms": 0,
                "sequence": next(self.sequence),
                "born": self.born,
            },
        )

    def accept(self) -> None:
        """Accept connections."""
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection."""
        reader = Reader(connection)
        try:
            while (head := reader.head()) is not None:
                first, headers = head
                body = reader.body(headers)
                if body is None or not self.handle(connection, first, headers, body):
                    return
        except OSError:
            return
        finally:
            connection.close()

    def handle(self, connection: socket.socket, first: str, headers: Headers, body: bytes) -> bool:
        """Answer one request; return whether the connection stays open."""
        if headers.get("mountladder-expect-instance", self.name) != self.name:
            connection.sendall(
                message("HTTP/1.1 421 Misdirected Request", {"Mountladder-Instance-Id": self.name})
            )
            return True
        if first.startswith("GET /healthz "):
            connection.sendall(message("HTTP/1.1 200 OK", {"Mountladder-Instance-Id": self.name}))
            return True
        return self.run(connection, first, headers, body)

    def run(self, connection: socket.socket, first: str, headers: Headers, body: bytes) -> bool:
        """Run a request and answer it."""
        id_ = self.begin(headers)
        time.sleep(self.work_s)
        connection.sendall(self.answer(id_))
        return True

    def begin(self, headers: Headers) -> str:
        """Record that a request runs, and return its id."""
        id_ = headers.get("mountladder-request-id", "")
        self.runs.append((time.monotonic(), id_))
        self.note(f"{self.name} runs {id_}")
        return id_

    def answer(self, id_: str) -> bytes:
        """Return a whole successful answer to a request."""
        headers = {
            "Mountladder-Request-Id": id_,
            "Mountladder-Server-Stamp": f"stamp-{self.name}-{id_}",
            "Content-Type": "text/plain",
        }
        return message("HTTP/1.1 200 OK", headers, f"answer of {self.name} to {id_}".encode())
