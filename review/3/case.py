"""Streams go on at another software version after all instances were killed in a release."""

from __future__ import annotations

import random
import socket
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import HOST, KEY  # noqa: E402
from standins.configuration import configuration, route, service  # noqa: E402
from standins.http1 import Headers, Reader, chunk, message  # noqa: E402
from standins.scene import ZONES, Scene, play  # noqa: E402
from standins.server import Server  # noqa: E402

INSTANCES = 3
STREAMS, START_S = 24, 0.05
# guest-reply of the site file harrowgate-bc: 34 events, time-out and deadline 12 s, aim 1.4 s,
# pauses of 0.2 s.
SLOTS, EVENTS, EVENT_S = 64, 34, 0.16
TIMEOUT_MS, TARGET_MS, GAP_MS = 12_000, 1_400, 200
# A client abandons a stream after two seconds, four times the objective or eight times the pause,
# whichever is longest.
PATIENCE_S = max(2.0, 4 * TARGET_MS / 1000, 8 * GAP_MS / 1000)
# Clients retry a few times, each time on a new connection.
RETRY_S = 0.5
# A server goes on for drain_ms after the store has accepted that it drains, and a little longer.
DRAIN_S, LINGER_S = 2.0, 0.5
START_GAP_S = 0.3
# "kill_all" of the site file has down_s of 0.99 to 1.0.
DOWN_S = 1.0


class StreamServer(Server):
    """Answers with a stream whose events name the version that wrote them."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.connections: set[socket.socket] = set()
        self.has_exited = False

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection."""
        self.connections.add(connection)
        super().serve(connection)

    def run(self, connection: socket.socket, first: str, headers: Headers, body: bytes) -> bool:
        """Run a request, from the event behind Last-Event-Id on."""
        id_ = self.begin(headers)
        last = int(headers.get("last-event-id") or 0)
        head = (
            "HTTP/1.1 200 OK",
            f"Mountladder-Request-Id: {id_}",
            f"Mountladder-Server-Stamp: stamp-{self.name}-{id_}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        )
        connection.sendall("\r\n".join(head).encode())
        for number in range(last + 1, EVENTS + 1):
            time.sleep(EVENT_S)
            if self.has_exited:
                return False
            event = f"id: {number}\ndata: {self.version} {self.name} piece {number}\n\n"
            connection.sendall(chunk(event.encode()))
        connection.sendall(chunk(b""))
        return True

    def exit(self) -> None:
        """Leave: close everything, and have the entry removed."""
        self.has_exited = True
        self.listener.close()
        for one in list(self.connections):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The other end has closed it.
                continue
        self.store.put("servers", self.name, None)
        self.note(f"{self.name} has left")


@dataclass
class Stream:
    """What a client has of one stream, over all its tries."""

    number: int
    last: int = 0
    versions: list[str] = field(default_factory=list)
    # The id of the attempt that brought the first event.
    begun_by: str = ""
    attempts: int = 0
    heard_at: float = 0.0


class Client:
    """Requests a stream, and takes it up again where it breaks (PROTOCOL.md, "Requests")."""

    def __init__(self, scene: Scene, number: int) -> None:
        self.scene = scene
        self.stream = Stream(number)
        self.rng = random.Random(number)

    def run(self) -> None:
        """Have the whole stream, or give up."""
        stream = self.stream
        stream.heard_at = time.monotonic()
        while stream.last < EVENTS and time.monotonic() - stream.heard_at < PATIENCE_S:
            stream.attempts += 1
            id_ = f"s{stream.number:02d}-{stream.attempts}"
            try:
                pause_s = self.attempt(id_)
            except OSError as error:
                self.scene.note(f"client: {id_} has {stream.last} events: {error}")
                pause_s = RETRY_S
            time.sleep(pause_s)

    def attempt(self, id_: str) -> float:
        """Make one attempt, at any instance; return the pause before the next one.

        Raises:
            OSError: The connection broke.
        """
        stream = self.stream
        headers = {
            "Host": HOST,
            "Mountladder-Request-Id": id_,
            "Mountladder-Deadline-Ms": str(TIMEOUT_MS),
            "Authorization": f"Bearer {KEY}",
        }
        if stream.last:
            headers |= {"Last-Event-Id": str(stream.last), "Resumes": stream.begun_by}
        instance = self.rng.choice(self.scene.instances)
        after = f" after event {stream.last}" if stream.last else ""
        self.scene.note(f"client: sends {id_}{after} to {instance.name}")
        with socket.create_connection(("127.0.0.1", instance.callers), timeout=1.0) as connection:
            connection.settimeout(PATIENCE_S)
            body = f"question {stream.number}".encode()
            connection.sendall(message("POST /guest-reply/x HTTP/1.1", headers, body))
            reader = Reader(connection)
            head = reader.head()
            if head is None:
                raise ConnectionError("closed without an answer")
            status = int(head[0].split()[1])
            if status != 200:
                self.scene.note(f"client: {id_} has {stream.last} events: got {status}")
                return float(head[1].get("retry-after", RETRY_S))
            self.read_events(id_, reader)
        return 0.0

    def read_events(self, id_: str, reader: Reader) -> None:
        """Read the events of an answer.

        Raises:
            OSError: The answer ended early.
        """
        stream, server, rest = self.stream, "", b""
        while True:
            while b"\r\n" not in reader.buffered:
                if not reader.fill():
                    raise ConnectionError("the stream was cut")
            line, _, reader.buffered = reader.buffered.partition(b"\r\n")
            data = reader.take(int(line, 16) + 2)
            if data is None:
                raise ConnectionError("the stream was cut")
            if data == b"\r\n":
                return
            rest += data[:-2]
            while b"\n\n" in rest:
                event, _, rest = rest.partition(b"\n\n")
                _, number, _, version, name, *_ = event.decode().split()
                stream.last, stream.heard_at = int(number), time.monotonic()
                stream.begun_by = stream.begun_by or id_
                if version not in stream.versions:
                    stream.versions.append(version)
                if name != server:
                    server = name
                    self.scene.note(f"client: {id_} gets event {number} of {version} from {name}")


def case(scene: Scene) -> str:
    """Return how the rule was broken, or an empty string."""
    servers = [
        StreamServer(
            scene.store,
            f"llm-{n}",
            "mountladder-pool",
            ZONES[n - 1],
            SLOTS,
            scene.note,
            0.0,
            version,
        )
        for n, version in ((1, "v1"), (2, "v2"), (3, "v2"))
    ]
    routes = [
        route(
            "guest-reply",
            "/guest-reply/",
            "stream",
            "mountladder-pool",
            TIMEOUT_MS,
            TARGET_MS,
            stream_resume=True,
            target_gap_ms=GAP_MS,
            max_attempts=2,
        )
    ]
    services = [service("mountladder-pool", max_conns=370)]
    scene.store.put("op", "config", configuration(3, routes, services))
    old, new, replacement = servers
    old.start()
    new.start()
    scene.start()
    clients = [Client(scene, number) for number in range(STREAMS)]
    threads = [threading.Thread(target=one.run) for one in clients]
    for one in threads:
        one.start()
        time.sleep(START_S)
    if scene.trouble:
        release_and_kill(scene, old, replacement)
    for one in threads:
        one.join()
    return verdict(scene, [one.stream for one in clients])


def release_and_kill(scene: Scene, old: StreamServer, replacement: StreamServer) -> None:
    """Replace the last server of v1, and kill all instances shortly before it leaves."""
    replacement.start()
    scene.note(f"release: {replacement.name} starts")
    time.sleep(START_GAP_S)
    old.register("draining")
    scene.note(f"release: {old.name} drains")
    time.sleep(DRAIN_S)
    for one in scene.instances:
        one.stop()
    scene.note("all instances are killed")
    time.sleep(LINGER_S)
    old.exit()
    time.sleep(DOWN_S - LINGER_S)
    for one in scene.instances:
        one.start()
    scene.note("all instances start again")


def verdict(scene: Scene, streams: list[Stream]) -> str:
    """Return how the rule was broken, or an empty string."""
    mixed = [one.number for one in streams if len(one.versions) > 1]
    complete = sum(one.last == EVENTS for one in streams)
    scene.note(f"versions: {dict(Counter(' then '.join(one.versions) for one in streams))}")
    scene.note(f"complete: {complete} of {len(streams)}; streams with two versions: {mixed}")
    if len(mixed) > 2:
        return f"ORDER: {len(mixed)} of {len(streams)} streams hold events of two versions"
    return ""


if __name__ == "__main__":
    sys.exit(play(case, FOLDER, INSTANCES))
