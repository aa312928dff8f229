# httpclient.py -- An HTTP client with timeouts for the platform's services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An HTTP client with timeouts for the platform's services."""

from __future__ import annotations

import json
from collections.abc import Mapping

import urllib3

from mountladder.clocks.clock import Clock
from mountladder.errors import (
    BadRowError,
    StoreAmbiguousError,
    StoreUnavailableError,
    WaitTimeoutError,
)
from mountladder_entry.timedpools import TimedPools

MS_PER_SECOND = 1000.0
CONNECT_SECONDS = 1.0
ANSWER_MS = 2_000.0
POOL_SIZE = 64
_NOT_SENT = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)


class HttpClient:
    """Calls the platform's services over HTTP.

    Args:
        base: The base URL.
        clock: The clock that times calls out.
        answer_ms: The timeout of an answer.
    """

    def __init__(self, base: str, clock: Clock, answer_ms: float = ANSWER_MS) -> None:
        self.base = base.rstrip("/")
        self.clock = clock
        self.answer_ms = answer_ms
        self.pool = TimedPools(num_pools=8, maxsize=POOL_SIZE, retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        fields: Mapping[str, str] | None = None,
        allow_missing: bool = False,
        headers: Mapping[str, str] | None = None,
        answer_ms: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call and return its answer with the whole body.

        Args:
            method: The HTTP method.
            path: The path below the base URL.
            body: The body, or None.
            fields: The query.
            allow_missing: Whether the answer 404 is expected.
            headers: Further headers.
            answer_ms: The timeout of this answer, or None for the client's.

        Raises:
            StoreUnavailableError: The service refused or cannot be reached; nothing was changed.
            StoreAmbiguousError: No answer came; the call may have been carried out.
        """
        url = self.base + path
        try:
            limit_ms = self.answer_ms if answer_ms is None else answer_ms
            timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=limit_ms / MS_PER_SECOND)
            with self.clock.time_limit(limit_ms):
                response = self.pool.request(
                    method, url, body=body, fields=fields, headers=headers, timeout=timeout
                )
        except _NOT_SENT as error:
            raise StoreUnavailableError(f"{url}: cannot be reached") from error
        except (urllib3.exceptions.HTTPError, WaitTimeoutError, OSError) as error:
            raise StoreAmbiguousError(f"{url}: no answer: {error}") from error
        _check(response, url, allow_missing)
        return response

    def read(
        self,
        path: str,
        fields: Mapping[str, str] | None = None,
        answer_ms: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Make a read-only call.

        Raises:
            StoreUnavailableError: The service gave no answer.
        """
        try:
            return self.call("GET", path, fields=fields, allow_missing=True, answer_ms=answer_ms)
        except StoreAmbiguousError as error:
            raise StoreUnavailableError(error.detail) from error

    def close(self) -> None:
        """Close every connection."""
        self.pool.clear()


def parse(response: urllib3.BaseHTTPResponse) -> object:
    """Return the JSON body of an answer.

    Raises:
        BadRowError: The body is not JSON.
    """
    try:
        return json.loads(response.data)
    except (ValueError, RecursionError) as error:
        # Deeply nested JSON raises RecursionError.
        raise BadRowError(f"an answer of the platform is not JSON: {error}") from error


def _check(response: urllib3.BaseHTTPResponse, url: str, allow_missing: bool) -> None:
    if response.status in {429, 503}:
        raise StoreUnavailableError(f"{url}: refused with status {response.status}")
    if response.status >= 500:
        raise StoreAmbiguousError(f"{url}: answered with status {response.status}")
    if response.status == 404 and not allow_missing:
        raise BadRowError(f"{url}: not found")
