# quarantinepages.py -- The HTTP interface for operators to the quarantine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The HTTP interface for operators to the quarantine."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import bottle

from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicionregistry import SuspicionRegistry
from mountladder_entry.bearer import has_token


def install(app: bottle.Bottle, registries: Sequence[SuspicionRegistry], token: str) -> None:
    """Add the pages to an application.

    Args:
        app: The application.
        registries: The instance's suspects, those of each kind.
        token: The bearer token that calls need.
    """
    app.get("/quarantine", callback=lambda: authorized(token, lambda: list_suspects(registries)))
    app.delete(
        "/quarantine/<fingerprint>",
        callback=lambda fingerprint: authorized(token, lambda: lift(registries, fingerprint)),
    )


def authorized(token: str, page: Callable[[], dict[str, object]]) -> dict[str, object]:
    """Return a page if the request carries the token, or else an error."""
    try:
        if not has_token(token):
            raise RefusalError("the token is wrong", Code.UNAUTHENTICATED)
        return page()
    except RefusalError as error:
        bottle.response.status = error.code.status
        return {"code": error.code.number, "detail": error.detail}


def list_suspects(registries: Sequence[SuspicionRegistry]) -> dict[str, object]:
    """Return every suspect: what servers crashed under, the latest first."""
    suspects = [
        (suspicion, registry.clock.now())
        for registry in registries
        for suspicion in registry.suspicions.values()
        if suspicion.is_suspect
    ]
    suspects.sort(key=lambda one: one[0].changed_at, reverse=True)
    return {"suspects": [_row(suspicion, now) for suspicion, now in suspects]}


def lift(registries: Sequence[SuspicionRegistry], fingerprint: str) -> dict[str, object]:
    """Clear a suspect on every instance.

    Raises:
        RefusalError: It is not a suspect.
    """
    if not any(registry.lift(fingerprint) for registry in registries):
        raise RefusalError(f"{fingerprint!r} is not a suspect", Code.NOT_FOUND)
    return {"cleared": fingerprint}


def _row(suspicion: Suspicion, now: float) -> dict[str, object]:
    return {
        "fingerprint": suspicion.fingerprint,
        "kind": suspicion.kind.noun,
        "service": suspicion.service,
        "servers": [crash.server for crash in suspicion.crashes],
        "ran_ms": [round(crash.ran_ms) for crash in suspicion.crashes],
        "ended_ms_ago": [round(now - crash.at) for crash in suspicion.crashes],
        "bars": suspicion.bars,
        "barred_for_ms": round(max(0.0, suspicion.barred_until - now)),
    }
