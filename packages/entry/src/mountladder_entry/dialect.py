# dialect.py -- The protocols of the kinds of backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The protocols of the kinds of backend server."""

from __future__ import annotations

from functools import singledispatch

from mountladder.configuration.backendserver import BackendServer
from mountladder.requests.stagecall import StageCall
from mountladder_entry.enginedialect import EngineDialect
from mountladder_entry.servicedialect import ServiceDialect

ATTEMPT_HEADER = "X-Attempt"
LOAD_HEADER = "X-Load"
REFUSED_HEADER = "X-Refused"
_DIALECTS = {"engine": EngineDialect(), "service": ServiceDialect()}


def dialect_of(server: BackendServer) -> object:
    """Return the dialect of a server."""
    return _DIALECTS[server.serves]


@singledispatch
def call_path(dialect: object, call: StageCall) -> str:
    """Return the path that a call is sent to."""
    raise TypeError(f"unknown dialect {dialect!r}")


@singledispatch
def requires_attempt(dialect: object) -> bool:
    """Return whether every answer must carry the id of its attempt."""
    raise TypeError(f"unknown dialect {dialect!r}")


@singledispatch
def cancel_path(dialect: object) -> str:
    """Return the path of cancel requests, or an empty string if calls cannot be cancelled."""
    raise TypeError(f"unknown dialect {dialect!r}")


@call_path.register
def _(dialect: EngineDialect, call: StageCall) -> str:
    return "/v1/" + call.stage.work


@call_path.register
def _(dialect: ServiceDialect, call: StageCall) -> str:
    return "/" + call.stage.name


@requires_attempt.register
def _(dialect: EngineDialect) -> bool:
    return True


@requires_attempt.register
def _(dialect: ServiceDialect) -> bool:
    return False


@cancel_path.register
def _(dialect: EngineDialect) -> str:
    return "/v1/cancel"


@cancel_path.register
def _(dialect: ServiceDialect) -> str:
    return ""
