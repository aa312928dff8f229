# case.py -- Case 8 of the second review
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""DRAIN: the instance that reads the store loses its path to it as a server leaves the list."""

from __future__ import annotations

import asyncio
import time

from standins2.deployment import TROUBLE, Deployment, configuration, plain_route, run_case
from standins2.servers import Server

DRAIN_S = 2.0
CONTACT_S = 3.0
CUT_S = 5.5
SERVE_ON_S = 4.0
ROUNDS = 5
SERVERS = 3
# The cut begins while both calls of the reader (for the servers, and for the configuration) are at
# most this old, out of the half second that a call waits at the store.
YOUNG_S = 0.1


def reader_of(deployment: Deployment) -> str:
    """Return the instance that last asked the store for changes of the list of servers."""
    feeds = deployment.store.feeds.items()
    found = {path: at for (path, table), at in feeds if table == "servers"}
    return max(found, key=found.__getitem__)


async def young_calls(deployment: Deployment, path: str) -> None:
    """Wait until both calls of an instance for changes have begun a moment ago, if they do."""
    until = time.monotonic() + 8
    while time.monotonic() < until:
        began = [at for (name, _), at in deployment.store.feeds.items() if name == path]
        if time.monotonic() - min(began) < YOUNG_S:
            return
        await asyncio.sleep(0.002)


async def add_server(deployment: Deployment, number: int) -> Server:
    """Add a server of the service."""
    zone = f"andina-{'abc'[number % 3]}"
    return await deployment.add(Server(f"i-{number:04x}", "booking", zone, deployment.store))


async def play_round(deployment: Deployment, number: int) -> int:
    """Cut the reader off from the store as a server leaves; return the late requests."""
    store, reader, leaving = deployment.store, reader_of(deployment), deployment.servers[number]
    await young_calls(deployment, reader)
    if TROUBLE:
        store.cut_path(reader)
        deployment.note(f"{reader}, which reads the store for all, is cut off from it")
    gone = leaving.leave_list()
    deployment.note(f"{leaving.id} leaves: the store acknowledges that its entry is removed")
    await asyncio.sleep(SERVE_ON_S)
    leaving.stop()
    await asyncio.sleep(CUT_S - SERVE_ON_S)
    if TROUBLE:
        store.heal_path(reader)
        deployment.note(f"{reader} reaches the store again")
    await add_server(deployment, number + SERVERS)
    by_id = {one.id: one for one in deployment.sent}
    after = [
        (at - gone, by_id[id_])
        for at, id_, _ in leaving.arrivals
        if at > gone and id_ in by_id and by_id[id_].instance != reader
    ]
    late = [one for one in after if one[0] > DRAIN_S]
    last_ms = 1000 * max((one[0] for one in after), default=0.0)
    deployment.note(
        f"round {number}: machines in touch sent {leaving.id} {len(after)} requests after that, "
        f"the last one {last_ms:.0f} ms later; {len(late)} later than drain_ms"
    )
    for after_s, sent in late:
        late_ms, sent_ms = 1000 * after_s, 1000 * (sent.at - gone)
        deployment.note(
            f"   request {sent.id}: sent by its client {sent_ms:.0f} ms after it to "
            f"{sent.instance}, reached {leaving.id} {late_ms:.0f} ms after it, status {sent.status}"
        )
    await asyncio.sleep(CONTACT_S + 1)
    return len(late)


async def play(deployment: Deployment) -> int:
    """Play the rounds; return how many requests broke the rule."""
    services = [{"name": "booking", "health_path": "/healthz", "max_conns": 96}]
    deployment.store.put("op", "config", configuration([plain_route("safe")], services))
    for number in range(SERVERS):
        await add_server(deployment, number)
    await deployment.start()
    deployment.load(clients=4, pause_s=0.03)
    await asyncio.sleep(CONTACT_S + 1)
    return sum([await play_round(deployment, number) for number in range(ROUNDS)])


run_case(__file__, "DRAIN", play)
