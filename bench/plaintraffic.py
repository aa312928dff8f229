# plaintraffic.py -- Backend servers that answer whole, and callers, in a process of their own
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Backend servers that answer whole, and callers, in a process of their own."""

from __future__ import annotations

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import statistics
import subprocess
import sys
import time
from contextlib import ExitStack
from http.client import HTTPConnection, parse_headers
from pathlib import Path
from typing import TextIO

import gevent
from gevent.fileobject import FileObject
from gevent.server import StreamServer

sys.path.insert(0, str(Path(__file__).parents[1] / "features"))
from loopbackinstance import ANSWER_HEAD
from mountladder_platform import names

SERVERS = 4
BODY = b"x" * 800
PATH = "/safe/"
# The end of an answer's body is known by its length, by its chunks or by the connection's end.
LENGTH, CHUNKS, END = "length", "chunks", "end"
FRAMINGS = {
    LENGTH: (b"Content-Length: %d" % len(BODY), BODY),
    CHUNKS: (b"Transfer-Encoding: chunked", b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)),
    END: (b"Content-Type: text/plain", BODY),
}
CONNECT_S = 5.0


class PlainTraffic:
    """Starts the process and has it send requests.

    Args:
        stack: Ends the process.

    Attributes:
        ports: The ports of the servers on loopback.
    """

    def __init__(self, stack: ExitStack) -> None:
        self.process = subprocess.Popen(
            [sys.executable, __file__], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        stack.callback(self.stop)
        self.ports: list[int] = self.receive()

    def call(self, port: int, framing: str, callers: int, requests: int) -> dict[str, object]:
        """Send requests over kept connections, and return what was counted.

        Args:
            port: The port of an instance on loopback.
            framing: How the servers frame their answers.
            callers: How many callers send at the same time.
            requests: How many requests each of them sends.

        Returns:
            The median latency in milliseconds as median_ms; the status and the number of bytes of
            each answer that was no complete success as failures; and the number of connections to
            the servers as accepted.
        """
        self.process.stdin.write(json.dumps([port, framing, callers, requests]).encode() + b"\n")
        self.process.stdin.flush()
        return self.receive()

    def receive(self) -> object:
        """Return the next message of the process."""
        return json.loads(self.process.stdout.readline())

    def stop(self) -> None:
        """Have the process end."""
        self.process.stdin.close()
        self.process.wait()
        self.process.stdout.close()


class TrafficProcess:
    """The servers and the callers in that process."""

    def __init__(self) -> None:
        self.accepted = 0
        self.failures: list[tuple[int, int]] = []
        self.servers = [StreamServer(("127.0.0.1", 0), self.serve) for _ in range(SERVERS)]
        for server in self.servers:
            server.start()

    def serve(self, connection, _) -> None:
        """Answer the requests on a connection, framed as their paths say."""
        self.accepted += 1
        with connection.makefile("rb") as stream:
            while line := stream.readline():
                framing = line.split()[1].decode().removeprefix(PATH)
                header, body = FRAMINGS[framing]
                id_ = parse_headers(stream)[names.REQUEST_ID].encode()
                connection.sendall(ANSWER_HEAD % (200, id_, header) + body)
                if framing == END:
                    return

    def call(self, port: int, framing: str, callers: int, requests: int) -> dict[str, object]:
        """See PlainTraffic."""
        accepted = self.accepted
        self.failures.clear()
        tasks = [
            gevent.spawn(self.call_repeatedly, port, framing, f"{one}", requests)
            for one in range(callers)
        ]
        gevent.joinall(tasks, raise_error=True)
        times = [ms for task in tasks for ms in task.value]
        return {
            "median_ms": statistics.median(times),
            "failures": self.failures,
            "accepted": self.accepted - accepted,
        }

    def call_repeatedly(self, port: int, framing: str, name: str, requests: int) -> list[float]:
        """Send requests one after another, and return their times in milliseconds."""
        connection = HTTPConnection("127.0.0.1", port, timeout=CONNECT_S)
        times = []
        for number in range(requests):
            headers = {
                "Host": "desk.x",
                names.REQUEST_ID: f"{time.monotonic_ns():x}-{name}-{number}",
                names.DEADLINE_MS: "2000",
                names.AUTHORIZATION: "Bearer k",
            }
            started = time.perf_counter()
            connection.request("GET", PATH + framing, headers=headers)
            response = connection.getresponse()
            body = response.read()
            times.append((time.perf_counter() - started) * 1000.0)
            if response.status != 200 or body != BODY:
                self.failures.append((response.status, len(body)))
        connection.close()
        return times

    def run(self, commands: TextIO, results: TextIO) -> None:
        """Carry out the commands until there are no more."""
        self.send(results, [server.server_port for server in self.servers])
        for command in iter(commands.readline, ""):
            self.send(results, self.call(*json.loads(command)))

    def send(self, results: TextIO, message: object) -> None:
        """Send a message to the process that started this one."""
        print(json.dumps(message), file=results, flush=True)


if __name__ == "__main__":
    # Reading sys.stdin would stop all tasks.
    TrafficProcess().run(FileObject(sys.stdin.fileno(), "r", closefd=False), sys.stdout)
