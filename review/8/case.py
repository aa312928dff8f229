# case.py -- Case 8 of the second review
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""LIMIT: servers in need that run the pieces of one route and the requests of another one."""

from __future__ import annotations

import asyncio
import secrets

from standins2.deployment import (
    HOST,
    TROUBLE,
    Deployment,
    configuration,
    plain_route,
    run_case,
)
from standins2.servers import ModelServer, Server

CONTACT_S = 3.0
WINDOW_S = 4.0
PER_S = 5.0
BOUND = 1.5 * PER_S * WINDOW_S + 5
PLAY_S = 20.0
STREAMS = "/puxa400/"
FRAGMENTS = {
    "concurrency": 1,
    "queue": 2,
    "batch": 7,
    "call_ms": 150.0,
    "item_ms": 5.0,
    "headroom_mb": 34.0,
    "handle_s": 4.0,
    "link_mbps": 10000,
}
ENGINE = {
    "concurrency": 64,
    "kv_capacity": 600000,
    "kv_token_bytes": 163840,
    "link_mbps": 1100000.0,
    "handle_s": 5.0,
    "models": [{"name": "m"}],
}


def prompt_headers() -> str:
    """Return the headers of a request with a prompt and three pieces."""
    part, key = secrets.token_hex(4), secrets.token_hex(6)
    return (
        "Mountladder-Model: m\r\nMountladder-Token-Count: 300,20\r\n"
        f"Mountladder-Prompt-Prefix: 5c1e07a2:200,{part}:100\r\n"
        f"Mountladder-Chunk-Count: 3\r\nMountladder-Chunk-Key: {key}\r\n"
    )


def most_in_window(times: list[float]) -> int:
    """Return how many requests at most came in one window."""
    return max((sum(one <= at < one + WINDOW_S for at in times) for one in times), default=0)


async def play(deployment: Deployment) -> int:
    """Have the servers name their limit; return how many of them got more than it allows."""
    stream = {
        "name": "r-stream",
        "hostname": HOST,
        "prefix": STREAMS,
        "type": "stream",
        "timeout_ms": 8000,
        "target_latency_ms": 1600,
        "priority": 1,
        "service": "models",
        "max_attempts": 2,
        "public": True,
        "session_affinity": True,
        "stream_resume": True,
        "target_gap_ms": 200,
        "stages": [{"service": "bridge", "after": [], "length": 8000}],
    }
    services = [
        {"name": "models", "health_path": "/healthz", "max_conns": 370, "engine": ENGINE},
        {"name": "bridge", "health_path": "/healthz", "max_conns": 370, "fragments": FRAGMENTS},
    ]
    routes = [plain_route("safe", "bridge", timeout_ms=3000, target_latency_ms=400), stream]
    deployment.store.put("op", "config", configuration(routes, services))
    for number in range(3):
        zone = f"andina-{'abc'[number]}"
        store = deployment.store
        await deployment.add(Server(f"i-{number:04x}", "bridge", zone, store))
        await deployment.add(ModelServer(f"m-{number:04x}", "models", zone, store, slots=64))
    await deployment.start()
    deployment.load(4, 0.1)
    deployment.load(4, 0.1, "POST", f"{STREAMS}2f", prompt_headers)
    await asyncio.sleep(CONTACT_S)
    bridges = [one for one in deployment.servers if one.service == "bridge"]
    if TROUBLE:
        for server in bridges:
            server.notices = {"Server-Limit": f"{PER_S:g}"}
        deployment.note(f"the servers of the service bridge are in need: Server-Limit {PER_S:g}")
    named_at = asyncio.get_running_loop().time()
    await asyncio.sleep(CONTACT_S + PLAY_S)
    broken = 0
    for server in bridges:
        since = named_at + CONTACT_S
        calls = [at for at, _ in server.calls if at > since]
        requests = [at for at, _, _ in server.arrivals if at > since]
        most = most_in_window(calls + requests)
        deployment.note(
            f"{server.id} got up to {most} in {WINDOW_S:g} s; allowed {BOUND:g}. "
            f"In {PLAY_S:g} s: {len(calls)} calls with pieces, {len(requests)} requests"
        )
        broken += TROUBLE and most > BOUND
    return broken


run_case(__file__, "LIMIT", play)
