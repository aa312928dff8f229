# relay.py -- Relays a request to the instance that issued its key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Relays a request to the instance that issued its key."""

from __future__ import annotations

from collections.abc import Iterator

import bottle
import urllib3

from mountladder.claims.issuedkey import IssuedKey
from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RunError
from mountladder.membership.membership import Membership
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.requests.request import Request
from mountladder_entry.framing import is_framed
from mountladder_entry.relayedanswer import RelayedAnswer
from mountladder_entry.timedpools import TimedPools

HOP_HEADER = "X-Mountladder-Hop"
CONNECT_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 0.5
_FORWARDED_HEADERS = ("Authorization", "Idempotency-Key", "Accept", "Content-Type")


class Relay:
    """Relays requests with issued keys to the only instance that may run them.

    Args:
        membership: Finds instances by incarnation.
        clock: The clock.
        metrics: Counts relayed requests.
    """

    def __init__(self, membership: Membership, clock: Clock, metrics: Metrics) -> None:
        self.membership = membership
        self.clock = clock
        self.metrics = metrics
        self.pool = TimedPools(num_pools=64, maxsize=32, retries=False)

    def forward(
        self, issued_key: IssuedKey, request: Request, caller: bottle.BaseRequest
    ) -> RelayedAnswer | None:
        """Relay a request; return None if the instance that issued its key cannot be reached."""
        instance = self.membership.find(issued_key.incarnation)
        if instance is None:
            return None
        headers = {name: caller.get_header(name, "") for name in _FORWARDED_HEADERS}
        headers[HOP_HEADER] = "1"
        body = b'{"input":%b,"idempotent":%b,"deadline_ms":%d}' % (
            request.input,
            b"true" if request.idempotent else b"false",
            max(1, int(request.deadline - self.clock.now())),
        )
        remaining = max(0.0, request.deadline - self.clock.now()) / 1000.0
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=remaining + ANSWER_MARGIN_SECONDS)
        url = f"http://{instance.web}/v1/pipelines/{request.pipeline.name}"
        try:
            response = self.pool.request(
                "POST", url, body=body, headers=headers, preload_content=False, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        self.metrics.count(Metric.RELAYED)
        return RelayedAnswer(response.status, response.headers, _body_parts(response))

    def close(self) -> None:
        """Close every connection."""
        self.pool.clear()


def _body_parts(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the parts of an answer's body.

    Raises:
        RunError: It has neither a length nor chunks, as no answer of an instance; the caller must
            see that it may be incomplete.
    """
    finished = False
    try:
        yield from response.stream()
        if not is_framed(response):
            raise RunError("", Code.STREAM_CUT)
        finished = True
    finally:
        if finished:
            response.release_conn()
        else:
            response.close()
