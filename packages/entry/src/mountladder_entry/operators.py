# operators.py -- The HTTP interface for operators
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The HTTP interface for operators."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING

import bottle

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError
from mountladder.requests.gateway import problem
from mountladder_entry.bearer import has_token

if TYPE_CHECKING:
    from mountladder_entry.node import Node


def install(app: bottle.Bottle, node: Node) -> None:
    """Add the routes for the load balancer and for operators to an application."""
    app.get("/healthz", callback=lambda: {"healthy": True})
    app.get("/readyz", callback=lambda: readiness(node))
    app.get("/ops/status", callback=lambda: authorized(node, lambda: status(node)))
    app.get("/ops/servers", callback=lambda: authorized(node, lambda: servers(node)))
    app.get(
        "/ops/explain/<request>",
        callback=lambda request: authorized(node, lambda: explain(node, request)),
    )


def authorized(node: Node, page: Callable[[], dict[str, object]]) -> object:
    """Return a page if the request carries the operator's token, or else a problem document."""
    try:
        if not has_token(node.settings.operator_token):
            raise RefusalError("the operator's token is wrong", Code.UNAUTHENTICATED)
        return page()
    except MountladderError as error:
        bottle.response.status = error.code.status
        bottle.response.content_type = "application/problem+json"
        return problem(error, None)


def readiness(node: Node) -> dict[str, object]:
    """Answer the load balancer's readiness check."""
    if not node.ready:
        bottle.response.status = 503
    return {"ready": node.ready}


def status(node: Node) -> dict[str, object]:
    """Return the instance's state and counters."""
    age = node.follower.age_ms()
    counts = getattr(node.metrics, "counts", {})
    return {
        "instance": asdict(node.me),
        "ready": node.ready,
        "revision": node.follower.configuration.revision,
        "configuration_age_ms": None if age == float("inf") else round(age),
        "rank": node.membership.rank(),
        "peers": [asdict(peer) for peer in node.membership.live() if peer != node.me],
        "running": node.admission.total,
        "waiting": len(node.admission.waiting),
        "store_reads": node.follower.reads,
        "peer_messages": node.peers.messages,
        "peer_bytes": node.peers.bytes,
        "counts": dict(counts),
    }


def servers(node: Node) -> dict[str, object]:
    """Return the state of each backend server, and why it gets no work if it does not."""
    now = node.clock.now()
    rows = []
    for server in node.follower.configuration.of_kind("server"):
        state = node.router.state(server)
        why = "in use"
        if server.draining:
            why = "an operator is draining it"
        elif now < state.leaving_until:
            why = "it announced that it is leaving"
        elif not state.breaker.allows(now):
            why = f"it failed {state.breaker.failures} times in a row"
        rows.append(
            {
                "server": server.name,
                "why": why,
                "running": state.running,
                "load": round(state.load(now), 1),
                "slowness": round(state.slowness_at(now), 2),
            }
        )
    return {"servers": rows}


def explain(node: Node, request: str) -> dict[str, object]:
    """Return the trace of a request.

    Raises:
        RefusalError: The instance has no trace of it.
    """
    trace = node.traces.find(request)
    if trace is None:
        raise RefusalError(f"there is no trace of request {request!r}", Code.NOT_FOUND)
    entries = json.loads(json.dumps([asdict(entry) for entry in trace.entries]))
    return {"request": request, "revision": trace.revision, "entries": entries}
