# callers.py -- The HTTP interface for callers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The HTTP interface for callers."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterator

import bottle

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError, RunError
from mountladder.requests.callerrequest import CallerRequest
from mountladder.requests.chunk import Chunk
from mountladder.requests.gateway import problem
from mountladder.requests.reply import Reply
from mountladder.requests.request import Request
from mountladder_entry.node import Node
from mountladder_entry.relay import HOP_HEADER

MAX_KEYS = 1_000
EVENT_STREAM = "text/event-stream"


def install(app: bottle.Bottle, node: Node) -> None:
    """Add the callers' routes to an application."""
    app.post("/v1/pipelines/<name>", callback=lambda name: answer(node, name))
    app.post("/v1/keys", callback=lambda: issue_keys(node))


def issue_keys(node: Node) -> dict[str, object]:
    """Issue idempotency keys whose requests only this instance runs."""
    try:
        number = int(bottle.request.query.get("count", "1"))
        if not 1 <= number <= MAX_KEYS:
            raise ValueError(number)
        team = node.gateway.authenticate(_token())
    except ValueError:
        return _refuse(RefusalError(f"count: expected 1 to {MAX_KEYS}", Code.BAD_REQUEST))
    except MountladderError as error:
        return _refuse(error)
    return {"keys": [node.gateway.idempotency.issue(team.name) for _ in range(number)]}


def answer(node: Node, name: str) -> object:
    """Answer a request of a caller."""
    request: Request | None = None
    try:
        caller_request = read(node, name)
        reply = node.gateway.serve(caller_request)
        request = reply.request
        if reply.issued_key is not None:
            return relay(node, reply)
        if EVENT_STREAM in bottle.request.get_header("Accept", ""):
            return stream(reply)
        return json_answer(reply)
    except MountladderError as error:
        return _refuse(error, request)


def read(node: Node, name: str) -> CallerRequest:
    """Read a request from its headers and body.

    Raises:
        RefusalError: The request is malformed or too large.
    """
    arrived = node.clock.now()
    body = read_body(node.settings.most_body_bytes)
    try:
        table = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RefusalError(f"the body is not JSON: {error}", Code.BAD_REQUEST) from error
    if not isinstance(table, dict) or "input" not in table:
        raise RefusalError("expected an object with the key input", Code.BAD_REQUEST)
    unknown = set(table) - {"input", "deadline_ms", "idempotent"}
    if unknown:
        raise RefusalError(f"unknown key {sorted(unknown)[0]!r}", Code.BAD_REQUEST)
    deadline = table.get("deadline_ms")
    if deadline is not None and (
        isinstance(deadline, bool) or not isinstance(deadline, (int, float))
    ):
        raise RefusalError("deadline_ms: expected a number", Code.BAD_REQUEST)
    idempotent = table.get("idempotent", True)
    if not isinstance(idempotent, bool):
        raise RefusalError("idempotent: expected true or false", Code.BAD_REQUEST)
    return CallerRequest(
        pipeline=name,
        token=_token(),
        input=json.dumps(table["input"], separators=(",", ":")).encode(),
        arrived=arrived,
        deadline_ms=deadline,
        key=bottle.request.get_header("Idempotency-Key", ""),
        idempotent=idempotent,
        first=bottle.request.get_header("Idempotency-First", "") == "true",
    )


def read_body(max_bytes: int) -> bytes:
    """Read a body of bounded size.

    Raises:
        RefusalError: The body is too large or incomplete.
    """
    length = bottle.request.content_length
    if length > max_bytes:
        raise RefusalError(f"{length} bytes, at most {max_bytes}", Code.BODY_TOO_LARGE)
    try:
        body = bottle.request.environ["wsgi.input"].read(max_bytes + 1)
    except OSError as error:
        raise RefusalError(f"the body is incomplete: {error}", Code.BAD_REQUEST) from error
    if len(body) > max_bytes:
        raise RefusalError(f"more than {max_bytes} bytes", Code.BODY_TOO_LARGE)
    return body


def json_answer(reply: Reply) -> bytes:
    """Run a request to its end and return its answer as JSON."""
    bottle.response.content_type = "application/json"
    if reply.stored_answer is not None:
        return reply.stored_answer
    for _ in reply.chunks:
        pass
    return reply.answer()


def stream(reply: Reply) -> Iterator[bytes]:
    """Return an answer as server-sent events, with a final event that marks it as complete.

    A failure before the first token is raised here, so that it is answered with an HTTP status.
    """
    if reply.stored_answer is not None:
        bottle.response.content_type = EVENT_STREAM
        return iter([_event("done", reply.stored_answer)])
    chunks = iter(reply.chunks)
    first = list(itertools.islice(chunks, 1))
    bottle.response.content_type = EVENT_STREAM
    bottle.response.set_header("Cache-Control", "no-store")
    return events(reply, first, chunks)


def events(reply: Reply, first: list[Chunk], chunks: Iterator[Chunk]) -> Iterator[bytes]:
    """Yield the events of a streamed answer."""
    try:
        for chunk in first:
            yield chunk.events
        for chunk in chunks:
            yield chunk.events
        yield _event("done", reply.answer())
    except MountladderError as error:
        yield _event("error", problem(error, reply.request))
    finally:
        chunks.close()


def relay(node: Node, reply: Reply) -> object:
    """Return the answer of the instance that issued the request's key."""
    if bottle.request.get_header(HOP_HEADER):
        raise RunError("", Code.KEY_HOME_GONE)
    relayed = node.relay.forward(reply.issued_key, reply.request, bottle.request)
    if relayed is None:
        decision = node.gateway.idempotency.stored_answer(reply.request)
        bottle.response.content_type = "application/json"
        return decision.stored_answer
    bottle.response.status = relayed.status
    for name in ("Content-Type", "Retry-After"):
        if name in relayed.headers:
            bottle.response.set_header(name, relayed.headers[name])
    return relayed.body


def _event(name: str, data: bytes) -> bytes:
    return b"event: %b\ndata: %b\n\n" % (name.encode(), data)


def _token() -> str:
    scheme, _, token = bottle.request.get_header("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _refuse(error: MountladderError, request: Request | None = None) -> bytes:
    bottle.response.status = error.code.status
    bottle.response.content_type = "application/problem+json"
    if error.retry_after_ms is not None:
        bottle.response.set_header("Retry-After", str(max(1, round(error.retry_after_ms / 1000))))
    return problem(error, request)
