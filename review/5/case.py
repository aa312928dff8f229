# case.py -- Case 5 of the second review
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""ORDER: a version comes and goes while a part of the store is away, and all instances end."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import signal
import time
from dataclasses import dataclass, field

from standins2.deployment import (
    HOST,
    TROUBLE,
    Deployment,
    configuration,
    plain_route,
    run_case,
)
from standins2.http1 import read_head
from standins2.instances import Instance
from standins2.servers import ModelServer, Server

CONTACT_S = 3.0
STREAMS = "/puxa400/"
EVENTS, GAP_S = 34, 0.2
DEADLINE_S = 20.0
CALLERS = 30
RETRY_S = 0.6
# Of the list of disruptions: the store away in part (up to 6.3 s), all processes killed for 1.0 s.
AWAY_S = 6.0
DOWN_S = 1.0
# How long a server serves after its entry was removed: drain_ms, and a little longer.
SERVE_ON_S = 2.3
# By the rule, that many streams are allowed.
ALLOWED = 2
NUMBERS = itertools.count(1)


@dataclass
class Stream:
    """A client's stream: the versions that wrote its events, over all its tries."""

    part: str
    versions: list[str] = field(default_factory=list)
    tries: list[str] = field(default_factory=list)
    last: int = 0
    first_id: str = ""
    is_complete: bool = False

    def receive(self, event: str, id_: str) -> None:
        """Record an event."""
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        self.first_id = self.first_id or id_
        self.last = int(fields["id"])
        self.versions.append(fields["data"].split()[0])

    def text(self) -> str:
        """Return what came of it."""
        runs = [
            f"{len(list(group))} events of {one}" for one, group in itertools.groupby(self.versions)
        ]
        return f"request {self.first_id}: {', '.join(runs)}; tries: {', '.join(self.tries)}"


async def read_events(stream: Stream, reader: asyncio.StreamReader, id_: str) -> None:
    """Read an answer in chunks to its end.

    Raises:
        ConnectionResetError: It was cut.
    """
    text = ""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionResetError
        size = int(line, 16)
        text += (await reader.readexactly(size)).decode()
        await reader.readline()
        if not size:
            stream.is_complete = True
            return
        while "\n\n" in text:
            event, _, text = text.partition("\n\n")
            stream.receive(event, id_)


async def attempt(stream: Stream, instance: Instance, until: float) -> str:
    """Begin a stream, or take it up; return what came of it."""
    id_ = f"{next(NUMBERS):016x}"
    reader, writer = await asyncio.open_connection(*instance.address)
    try:
        resumes = ""
        if stream.last:
            resumes = f"Last-Event-Id: {stream.last}\r\nResumes: {stream.first_id}\r\n"
        remaining_ms = int(1000 * (until - time.monotonic()))
        writer.write(
            f"POST {STREAMS}2f HTTP/1.1\r\nHost: {HOST}\r\nMountladder-Request-Id: {id_}\r\n"
            "Mountladder-Model: m\r\nMountladder-Token-Count: 300,170\r\n"
            f"Mountladder-Prompt-Prefix: {stream.part}:300\r\n"
            f"Mountladder-Deadline-Ms: {remaining_ms}\r\n{resumes}Content-Length: 0\r\n\r\n".encode()
        )
        head = await read_head(reader)
        if head is None:
            return "no answer"
        if head.start[1] != "200":
            return f"status {head.start[1]}"
        await read_events(stream, reader, id_)
        return "complete"
    finally:
        writer.close()


async def call(stream: Stream, instances: list[Instance], number: int) -> None:
    """Send a stream's request, and take it up at other instances until it is complete."""
    until = time.monotonic() + DEADLINE_S
    for instance in itertools.islice(itertools.cycle(instances), number, None):
        if stream.is_complete or time.monotonic() > until - 1:
            return
        try:
            async with asyncio.timeout(until - time.monotonic()):
                outcome = await attempt(stream, instance, until)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = type(error).__name__
        stream.tries.append(f"{outcome} at {instance.name}")
        if not stream.is_complete:
            await asyncio.sleep(RETRY_S)


def streams_configuration() -> dict[str, object]:
    """Return the configuration: a route of streams that may be resumed, and a plain one."""
    stream = {
        "name": "r-stream",
        "hostname": HOST,
        "prefix": STREAMS,
        "type": "stream",
        "timeout_ms": 20000,
        "target_latency_ms": 2500,
        "priority": 1,
        "service": "models",
        "max_attempts": 2,
        "public": True,
        "session_affinity": True,
        "stream_resume": True,
        "target_gap_ms": 200,
    }
    engine = {
        "concurrency": 64,
        "kv_capacity": 600000,
        "kv_token_bytes": 163840,
        "link_mbps": 1100000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    services = [
        {"name": "models", "health_path": "/healthz", "max_conns": 370, "engine": engine},
        {"name": "plain", "health_path": "/healthz", "max_conns": 96},
    ]
    return configuration([plain_route("safe", "plain"), stream], services)


async def kill_all(deployment: Deployment) -> None:
    """Kill all instances, and start them again."""
    for one in deployment.instances:
        one.signal(signal.SIGKILL)
    deployment.note("all instances are killed")
    await asyncio.sleep(DOWN_S)
    for one in deployment.instances:
        one.process.wait()
        one.start()
    deployment.note("all instances start again")


async def play(deployment: Deployment) -> int:
    """Play it; return how many streams hold events of two versions, beyond the allowed."""
    store = deployment.store
    store.put("op", "config", streams_configuration())
    ModelServer.events, ModelServer.gap_s = EVENTS, GAP_S
    for number in range(2):
        zone = f"andina-{'ab'[number]}"
        await deployment.add(ModelServer(f"m-{number:04x}", "models", zone, store, slots=64))
    for number in range(3):
        zone = f"andina-{'abc'[number]}"
        await deployment.add(Server(f"p-{number:04x}", "plain", zone, store))
    await deployment.start()
    await asyncio.sleep(CONTACT_S + 1)
    away_at = time.monotonic()
    if TROUBLE:
        store.away = lambda table: table not in {"", "op", "servers"}
        deployment.note("the store is away in part: the instances' own tables answer 503")
    await asyncio.sleep(0.3)
    new = ModelServer("m-0002", "models", "andina-c", store, slots=64)
    new.version = "v2"
    await deployment.add(new)
    deployment.note(f"{new.id} is added, of version v2; the others are of v1")
    await asyncio.sleep(0.5)
    streams = [Stream(secrets.token_hex(4)) for _ in range(CALLERS)]
    callers = [
        asyncio.create_task(call(one, deployment.instances, number))
        for number, one in enumerate(streams)
    ]
    await asyncio.sleep(2.0)
    new.leave_list()
    removed_at = time.monotonic()
    deployment.note(f"{new.id} leaves: its entry is removed")
    await asyncio.sleep(0.7)
    await kill_all(deployment)
    await asyncio.sleep(removed_at + SERVE_ON_S - time.monotonic())
    new.stop()
    deployment.note(f"{new.id} ends")
    await asyncio.sleep(away_at + AWAY_S - time.monotonic())
    store.away = lambda table: False
    deployment.note("the whole store is there")
    await asyncio.gather(*callers)
    mixed = [one for one in streams if len(set(one.versions)) > 1]
    began = sum(one.versions[:1] == ["v2"] for one in streams)
    complete = sum(one.is_complete for one in mixed)
    deployment.note(
        f"{began} of {len(streams)} streams began at v2; {len(mixed)} hold events of two versions, "
        f"{complete} of them marked as complete; allowed {ALLOWED}"
    )
    for one in streams:
        deployment.note(f"   {one.text()}")
    return len(mixed) if len(mixed) > ALLOWED else 0


run_case(__file__, "ORDER", play)
