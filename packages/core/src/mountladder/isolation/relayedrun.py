# relayedrun.py -- Executes a request at another instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Executes a request at another instance."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.code import Code
from mountladder.continuation.continuation import SUCCESS_END
from mountladder.errors import MountladderError, RefusalError, RunError, StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.retryrules import (
    MIN_REMAINING_MS,
    NOT_RUN_STATUSES,
    unknown_outcome,
)
from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.serverpicker import NO_SERVER_RETRY_MS
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.membership.instance import Instance
from mountladder.metrics.metric import Metric

if TYPE_CHECKING:
    from mountladder.isolation.requestrelay import RequestRelay

# The other instance ends a request at its deadline and says so. Its answer takes about 1 ms.
ANSWER_MARGIN_MS = 100.0
# How often a request that may be repeated is relayed again after the connection to a peer broke.
MAX_REPEATS = 1
# Statuses of a peer that does not know the route or the key, although this instance does.
UNKNOWN_STATUSES = frozenset({401, 404})


class RelayedRun:
    """Sends one request to other instances until one of them answers it.

    Args:
        relay: The relay of this instance.
        request: The request.
        route: Its route.
        may_have_run: Whether a part of it may have run.

    Attributes:
        service: The service whose budget its retries are taken from. Where a route has several,
            the instance that runs the request draws one by itself.
        deadline: When the caller's or the route's timeout expires, in the clock's milliseconds.
        repeats: How often it was sent again although it may have run.
    """

    def __init__(
        self, relay: RequestRelay, request: ForwardRequest, route: Route, may_have_run: bool
    ) -> None:
        self.relay = relay
        self.request = request
        self.route = route
        self.may_have_run = may_have_run
        self.service = route.draw_service(relay.peers.rng)
        self.deadline = request.deadline(route.timeout_ms)
        self.repeats = 0

    def remaining_ms(self) -> float:
        """Return the time until the deadline, in milliseconds."""
        return self.deadline - self.relay.clock.now()

    def limit_ms(self) -> float:
        """Return the timeout for the next part of an answer, in milliseconds."""
        return max(0.0, self.remaining_ms()) + ANSWER_MARGIN_MS

    def answer(self) -> ForwardAnswer:
        """Return the answer of the first instance that runs the request.

        Raises:
            MountladderError: No instance could run it, or it failed.
        """
        tried: frozenset[str] = frozenset()
        while True:
            peer = self.relay.peers.choose(tried)
            if peer is None:
                raise self.failure("no instance can run the request", Code.NO_SERVER_AVAILABLE)
            tried |= {peer.name}
            self.log("request-relayed", peer, attempt=len(tried), may_have_run=self.may_have_run)
            self.relay.metrics.count(Metric.RELAYED_TO_PEERS)
            self.relay.peers.begin(peer)
            streaming = False
            try:
                answer = self.send(peer)
                streaming = answer is not None and not isinstance(answer.body, bytes)
            finally:
                if not streaming:
                    self.relay.peers.end(peer)
            if answer is not None:
                return answer

    def send(self, peer: Instance) -> ForwardAnswer | None:
        """Send the request to a peer; return None if it is to be sent to another one.

        Raises:
            MountladderError: It failed and is not sent to another one.
        """
        try:
            answer = self.relay.transport.send(peer.web, self.request, self.limit_ms())
            if answer is None or (answer.status in UNKNOWN_STATUSES and not answer.signed):
                self.log("relay-declined", peer, status=answer.status if answer else 0)
                if answer is not None:
                    answer.close()
                return None
            return self.read(peer, answer)
        except StageError as error:
            self.handle_failure(peer, error)
            return None

    def read(self, peer: Instance, answer: UpstreamAnswer) -> ForwardAnswer:
        """Return a peer's answer for the caller; streams are passed on as they arrive.

        Raises:
            StageError: The answer is incomplete.
            RunError: The peer refused the request, of which a part has run before.
        """
        is_success = answer.signed and answer.status < SUCCESS_END
        if is_success and self.route.kind is RouteKind.STREAM:
            stream = self.stream(peer, answer)
            return ForwardAnswer(answer.status, answer.headers, stream, answer.ends_with_connection)
        try:
            body = answer.read(self.limit_ms())
        except BaseException:
            answer.close()
            raise
        self.log("relay-ended", peer, status=answer.status, signed=answer.signed)
        if self.may_have_run and not answer.signed and answer.status in NOT_RUN_STATUSES:
            raise RunError(f"{peer.name} refused it", Code.STAGE_FAILED)
        return ForwardAnswer(answer.status, answer.headers, body, answer.ends_with_connection)

    def stream(self, peer: Instance, answer: UpstreamAnswer) -> Iterator[bytes]:
        """Yield the parts of a peer's stream.

        Raises:
            RunError: The stream broke; the caller must see that it is incomplete.
        """
        outcome = "cancelled"
        try:
            while data := answer.read_some(self.limit_ms()):
                yield data
            outcome = "complete"
        except StageError as error:
            outcome = error.detail
            raise RunError(error.detail, error.code) from error
        finally:
            answer.close()
            self.relay.peers.end(peer)
            self.log("relay-ended", peer, status=answer.status, outcome=outcome)

    def handle_failure(self, peer: Instance, error: StageError) -> None:
        """Record a failure to get a peer's answer; return if another one is to be asked.

        Raises:
            MountladderError: The request is not sent again.
        """
        self.log(
            "relay-failed",
            peer,
            code=error.code.number,
            reason=error.detail,
            may_have_run=error.dispatched,
        )
        self.may_have_run = self.may_have_run or error.dispatched
        if error.dispatched:
            self.repeats += 1
            if not self.route.repeatable or self.repeats > MAX_REPEATS:
                raise unknown_outcome(error) from error
            if not self.relay.budgets.spend(self.service, self.request.id):
                raise RunError(error.detail, Code.RETRY_BUDGET_SPENT) from error
        if self.remaining_ms() < MIN_REMAINING_MS:
            raise self.failure(error.detail, Code.DEADLINE_PASSED) from error

    def failure(self, detail: str, code: Code) -> MountladderError:
        """Return the error for the caller: a refusal only if nothing may have run."""
        if self.may_have_run:
            return RunError(detail, code)
        return RefusalError(detail, Code.NO_SERVER_AVAILABLE, retry_after_ms=NO_SERVER_RETRY_MS)

    def log(self, event: str, peer: Instance, **fields: object) -> None:
        """Log an event of the request."""
        log_message(
            event,
            request=self.request.id,
            route=self.route.name,
            peer=peer.name,
            remaining_ms=round(self.remaining_ms()),
            **fields,
        )
