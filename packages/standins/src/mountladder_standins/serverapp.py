# serverapp.py -- HTTP interface of a stand-in backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""HTTP interface of a stand-in backend server."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterator
from dataclasses import asdict

import bottle

from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order
from mountladder.errors import MALFORMED, DocumentError, OrderFencedError
from mountladder_standins.faults import Faults
from mountladder_standins.servererror import ServerFailureError, ServerRefusalError
from mountladder_standins.standinserver import StandinServer

FOREIGN_ATTEMPT = "somebody-elses"


def server_app(standin: StandinServer) -> bottle.Bottle:
    """Return the web application that serves a stand-in, as an engine and as a plain service."""
    app = bottle.Bottle()
    app.post("/v1/cancel", callback=lambda: cancel(standin))
    app.get("/v1/state", callback=lambda: state(standin))
    app.put("/v1/orders", callback=lambda: order(standin))
    app.post("/v1/<work>", callback=lambda work: call(standin, work))
    app.put("/faults", callback=lambda: set_faults(standin))
    app.get("/ran", callback=lambda: ran(standin))
    app.post("/<work>", callback=lambda work: call(standin, work))
    return app


def call(standin: StandinServer, work: str) -> object:
    """Run a call; answer with JSON or a stream, by the request's Accept header."""
    attempt = bottle.request.get_header("X-Attempt", "")
    body = bottle.request.body.read()
    bottle.response.set_header("X-Attempt", FOREIGN_ATTEMPT if standin.faults.foreign else attempt)
    try:
        if "text/event-stream" in bottle.request.get_header("Accept", ""):
            return stream(standin, attempt, body)
        bottle.response.content_type = "application/json"
        result = standin.run(work, attempt, body)
        bottle.response.set_header("X-Load", str(standin.reported_load()))
    except ServerRefusalError as error:
        bottle.response.status = 503
        bottle.response.set_header("X-Refused", str(error))
        return str(error)
    except ServerFailureError as error:
        bottle.response.status = 500
        return str(error)
    if standin.faults.lose_answers:
        standin.faults = standin.faults.decremented("lose_answers")
        raise ConnectionResetError("the answer was lost")
    return result


def stream(standin: StandinServer, attempt: str, body: bytes) -> Iterator[bytes]:
    """Start a stream and return its events.

    The first event is produced here, so that an earlier failure is raised before the status is
    sent.
    """
    held = int(bottle.request.get_header("Last-Event-ID", "0"))
    events = standin.stream(attempt, body, held)
    first = list(itertools.islice(events, 1))
    bottle.response.content_type = "text/event-stream"
    bottle.response.set_header("X-Load", str(standin.reported_load()))
    return _events_or_error(first, events)


def _events_or_error(first: list[bytes], events: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield from first
        yield from events
    except ServerFailureError as error:
        yield b"event: error\ndata: %b\n\n" % json.dumps(str(error)).encode()
    finally:
        events.close()


def cancel(standin: StandinServer) -> str:
    """Cancel the call that the body names."""
    standin.cancel(json.loads(bottle.request.body.read())["attempt"])
    return ""


def state(standin: StandinServer) -> dict[str, object]:
    """Return the models that are loaded or loading, and the highest fencing number."""
    found = standin.loader.state() if standin.loader else EngineState((), (), 0)
    return {"models": dict(found.models), "loading": dict(found.loading), "fence": found.fence}


def order(standin: StandinServer) -> str:
    """Carry out an order to load models; 409 if its fencing number is outdated."""
    table = json.loads(bottle.request.body.read())
    try:
        if standin.loader is not None:
            standin.loader.order(Order(int(table["fence"]), tuple(table["models"].items())))
    except OrderFencedError as error:
        bottle.response.status = 409
        return str(error)
    return ""


def set_faults(standin: StandinServer) -> str:
    """Set the faults of the server."""
    try:
        standin.faults = Faults.read(json.loads(bottle.request.body.read()))
        if standin.loader is not None:
            standin.loader.ignore_fencing = standin.faults.ignore_fencing
    except (*MALFORMED, DocumentError) as error:
        bottle.response.status = 400
        return str(error)
    return ""


def ran(standin: StandinServer) -> dict[str, object]:
    """Return every call that the server began."""
    return {"ran": [asdict(one) for one in standin.ran]}
