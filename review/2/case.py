"""A stream's body without end stops an instance: meanwhile it answers nobody."""

from __future__ import annotations

import os
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import Answer, call  # noqa: E402
from standins.configuration import configuration, route, service  # noqa: E402
from standins.dose import Dose  # noqa: E402
from standins.http1 import Headers, chunk  # noqa: E402
from standins.scene import ZONES, Scene, play  # noqa: E402
from standins.server import Server  # noqa: E402

INSTANCES = 2
# By service: servers and slots. By route: service, type, requests a second, time-out, aim, and
# the client's deadline (all as in the site file harrowgate-bc, in ms).
POOL, SYNC = ("mountladder-pool", 5, 64), ("channel-sync", 3, 6)
STREAM = ("guest-reply", POOL[0], "stream", 25, 12_000, 1_400, 12_000)
UNSAFE = ("reservation-ack", SYNC[0], "unsafe", 12, 1_500, 300, 3_000)
EVENTS, EVENT_S, WORK_S = 6, 0.05, 0.06
# The dose of the site file for the kind "garble": 0.6 of the servers, 0.03 of their answers, 5 s;
# three times.
FAULTY, SPOILED_SHARE, TROUBLE_S = int(0.6 * POOL[1]), 0.03, 5.0
TIMES, CALM_S = 3, 3.0
NOISE_BYTES = 4
# A machine's link has 1,000 Mbit/s, which is 125 MB/s; a spoiled answer takes a third of that.
BYTES_PER_S, WRITE_S = 40_000_000, 0.001
LATE_S = 0.5
# FORM=head: instead, interim responses without end in the head.
IS_HEAD = os.environ.get("FORM") == "head"


class PoolServer(Server):
    """Answers with a stream; a faulty one has bytes without end in a few of its answers."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        # The dose of its trouble, or None for a sound server.
        self.dose: Dose | None = None
        self.spoiled: set[str] = set()

    def run(self, connection: socket.socket, first: str, headers: Headers, body: bytes) -> bool:
        """Run a request, and answer it or spoil the answer."""
        id_ = self.begin(headers)
        head = (
            "HTTP/1.1 200 OK",
            f"Mountladder-Request-Id: {id_}",
            f"Mountladder-Server-Stamp: stamp-{self.name}-{id_}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        )
        if self.dose is not None and self.dose.draw():
            self.spoiled.add(id_)
            self.note(f"{self.name} spoils the answer to {id_}")
            self.spoil(connection, "\r\n".join(head).encode())
        connection.sendall("\r\n".join(head).encode())
        for number in range(1, EVENTS + 1):
            time.sleep(EVENT_S)
            connection.sendall(chunk(f"id: {number}\ndata: piece {number} of {id_}\n\n".encode()))
        connection.sendall(chunk(b""))
        return True

    def spoil(self, connection: socket.socket, head: bytes) -> None:
        """Send noise until the caller closes.

        Raises:
            OSError: The caller has closed.
        """
        time.sleep(EVENT_S)
        if IS_HEAD:
            piece = b"HTTP/1.1 100 Continue\r\n\r\n"
        else:
            connection.sendall(head)
            piece = chunk(b"n" * NOISE_BYTES)
        data = piece * int(BYTES_PER_S * WRITE_S / len(piece))
        due = time.monotonic()
        while True:
            connection.sendall(data)
            due = max(due + WRITE_S, time.monotonic() - 0.01)
            time.sleep(max(0.0, due - time.monotonic()))


def case(scene: Scene) -> str:
    """Return how the rule was broken, or an empty string."""
    pool = [
        PoolServer(scene.store, f"pool-{n}", POOL[0], ZONES[n % 3], POOL[2], scene.note)
        for n in range(POOL[1])
    ]
    sync = [
        Server(scene.store, f"sync-{n}", SYNC[0], ZONES[n % 3], SYNC[2], scene.note, WORK_S)
        for n in range(SYNC[1])
    ]
    routes = [
        route(name, f"/{name}/", kind, target, timeout_ms, aim_ms)
        for name, target, kind, _, timeout_ms, aim_ms, _ in (STREAM, UNSAFE)
    ]
    services = [service(POOL[0], max_conns=370), service(SYNC[0])]
    scene.store.put("op", "config", configuration(3, routes, services))
    for one in (*pool, *sync):
        one.start()
    scene.start()
    dose = Dose(SPOILED_SHARE)
    answers: list[Answer] = []
    threads: list[threading.Thread] = []

    def send(id_: str, number: int, name: str, deadline_ms: int) -> None:
        """Send one request on a new connection."""
        port = scene.instances[number % INSTANCES].callers
        answer = call(
            port,
            id_,
            "POST",
            f"/{name}/x",
            deadline_ms,
            deadline_ms / 1000,
            b"room 12",
            note=scene.note,
        )
        scene.note(f"client: {answer}")
        if name == UNSAFE[0]:
            answers.append(answer)

    def send_all(name: str, per_s: int, deadline_ms: int) -> None:
        """Send the requests of a route, evenly."""
        began = time.monotonic()
        for number in range(int(TIMES * (CALM_S + TROUBLE_S) * per_s)):
            time.sleep(max(0.0, began + number / per_s - time.monotonic()))
            arguments = (f"{name[:1]}{number:04d}", number, name, deadline_ms)
            threads.append(threading.Thread(target=send, args=arguments))
            threads[-1].start()

    senders = [
        threading.Thread(target=send_all, args=(one[0], one[3], one[6])) for one in (STREAM, UNSAFE)
    ]
    for one in senders:
        one.start()
    for _ in range(TIMES):
        time.sleep(CALM_S)
        if not dose.answers:
            # The load is uneven: the faulty servers are those that have work.
            for one in sorted(pool, key=lambda server: -len(server.runs))[:FAULTY]:
                one.dose = dose
        dose.is_active = scene.trouble
        time.sleep(TROUBLE_S)
        dose.is_active = False
    for one in senders:
        one.join()
    for one in threads:
        one.join()
    for one in scene.instances:
        scene.note(f"{one.name} says at the end that it is ready: {one.is_ready()}")
    return verdict(scene, answers, set().union(*(one.spoiled for one in pool)))


def verdict(scene: Scene, answers: list[Answer], spoiled: set[str]) -> str:
    """Return how the rule was broken, by the requests of the route whose servers are sound."""
    timeout_s = UNSAFE[4] / 1000
    # A connection that was refused is not counted: its request was not read.
    read = [one for one in answers if "refused" not in one.problem]
    late = [one for one in read if one.elapsed_s >= timeout_s]
    unanswered = [one for one in late if one.elapsed_s >= timeout_s + LATE_S]
    scene.note(f"streams with spoiled answers: {sorted(spoiled)}")
    scene.note(f"{UNSAFE[0]}: {dict(Counter(str(one.status) for one in answers))}")
    scene.note(
        f"{UNSAFE[0]}: unanswered at the route's timeout: {len(late)};"
        f" half a second later: {len(unanswered)}"
    )
    if len(unanswered) >= 8 and 2 * len(unanswered) > len(late):
        return (
            f"CONFIG: of {len(late)} requests that were unanswered at the route's timeout"
            f" {len(unanswered)} had no answer half a second later; {len(spoiled)} answers to"
            " streams of another service were spoiled"
        )
    return ""


if __name__ == "__main__":
    sys.exit(play(case, FOLDER, INSTANCES))
