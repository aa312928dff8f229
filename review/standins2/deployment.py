# deployment.py -- A small deployment, and the frame of a script
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A small deployment of the project's instances with its stand-ins, and the frame of a script."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .clients import Client, Sent
from .instances import Instance, start_all, temporary_folder
from .servers import Server
from .store import Store

# Without the disruption the same is played, and must pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The names and zones of a deployment of our users with six machines.
NAMES = tuple(f"edge-andina-{zone}-{number}" for zone in "abc" for number in (1, 2))
START_S = 20.0
HOST = "pule25.example"
PATH = "/wuhu344/2f"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def plain_route(kind: str, service: str = "booking", **more: object) -> dict[str, object]:
    """Return a route of plain requests."""
    return {
        "name": f"r-{kind}",
        "hostname": HOST,
        "prefix": "/wuhu344/",
        "type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        **more,
    }


def configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]], version: int = 7
) -> dict[str, object]:
    """Return a configuration of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [],
    }


class CannotRunError(Exception):
    """The case could not run."""


class Deployment:
    """The store, the servers, the instances and the clients of a script."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Store()
        self.servers: list[Server] = []
        self.instances: list[Instance] = []
        self.sent: list[Sent] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.lines: list[str] = []
        self.started = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    async def add(self, server: Server) -> Server:
        """Start a server."""
        await server.start()
        self.servers.append(server)
        return server

    async def start(
        self, method: str = "GET", names: tuple[str, ...] = NAMES, memory_mb: int = 300
    ) -> None:
        """Start the instances, and wait until all of them serve."""
        for name in names:
            zone = name.removeprefix("edge-").rpartition("-")[0]
            path = await self.store.listen(name)
            self.instances.append(Instance(name, zone, path, self.folder, memory_mb))
        start_all(self.instances)
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            probes = [await self.probe(one, method) for one in self.instances]
            if all(one.status == 200 for one in probes):
                self.note("all instances serve")
                return
            await asyncio.sleep(0.3)
        raise CannotRunError("the instances do not serve")

    async def probe(self, instance: Instance, method: str = "GET") -> Sent:
        """Send one request that does not count."""
        client = Client(instance.name, instance.address, [])
        sent = await client.request(method, HOST, PATH)
        client.close()
        return sent

    def load(
        self,
        clients: int,
        pause_s: float,
        method: str = "GET",
        path: str = PATH,
        make_headers: Callable[[], str] = lambda: "",
        deadline_ms: int = 2000,
    ) -> None:
        """Have some clients of each instance send one request after the other."""
        for one in self.instances:
            for _ in range(clients):
                client = Client(one.name, one.address, self.sent)
                sending = client.repeat(
                    pause_s,
                    float("inf"),
                    method,
                    HOST,
                    path,
                    make_headers=make_headers,
                    deadline_ms=deadline_ms,
                )
                self.tasks.append(asyncio.create_task(sending))

    def log_count(self, instance: Instance, event: str) -> int:
        """Return how often an instance has logged an event."""
        return (self.folder / f"{instance.name}.log").read_text().count(f'"{event}"')

    def all_requests(self) -> list[str]:
        """Return a line for each request that counts, and for each call with pieces."""
        reached: dict[str, list[str]] = {}
        lines = []
        for server in self.servers:
            for at, id_, was_run in server.arrivals:
                outcome = "run" if was_run else "refused"
                text = f"{outcome} by {server.id} at {at - self.started:.3f}"
                reached.setdefault(id_, []).append(text)
            for at, pieces in server.calls:
                lines.append(f"{server.id} got {pieces} pieces at {at - self.started:.3f}")
        for one in self.sent:
            outcome = "no answer yet"
            if one.ended:
                outcome = f"status {one.status}" if one.status else one.failure
                outcome += f" at {one.ended - self.started:.3f}"
            lines.append(
                f"request {one.id} sent to {one.instance} at {one.at - self.started:.3f}, "
                f"{outcome}; " + (", ".join(reached.get(one.id, ())) or "reached no server")
            )
        return lines

    async def close(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for one in self.instances:
            one.stop()
        for server in self.servers:
            server.stop()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)


async def _run(
    play: Callable[[Deployment], Awaitable[int]], folder: Path
) -> tuple[int, list[str], list[str]]:
    deployment = Deployment(folder)
    try:
        broken = await play(deployment)
    finally:
        await deployment.close()
    served = sum(one.status == 200 for one in deployment.sent)
    deployment.note(f"{len(deployment.sent)} requests sent by clients, {served} served")
    return broken, deployment.lines, deployment.all_requests()


def run_case(file: str, rule: str, play: Callable[[Deployment], Awaitable[int]]) -> None:
    """Run a script, write its record, and exit: 1 the rule was broken, 0 it held, 2 not run.

    Args:
        file: The file of the script.
        rule: The rule that is checked.
        play: Plays it, and returns how often the rule was broken.
    """
    record = Path(file).with_name("record.txt")
    try:
        with temporary_folder() as folder:
            broken, lines, requests = asyncio.run(_run(play, Path(folder)))
    except Exception:
        traceback.print_exc()
        record.write_text(f"the case could not run\n{traceback.format_exc()}")
        sys.exit(2)
    outcome = f"broken {broken} times" if broken else "held"
    lines.append(f"{rule} {outcome} ({'with' if TROUBLE else 'without'} the disruption)")
    record.write_text("\n".join([*lines, "", *requests]) + "\n")
    print("\n".join(one for one in lines if "   request" not in one))
    sys.exit(1 if broken else 0)
