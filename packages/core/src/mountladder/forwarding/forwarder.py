# forwarder.py -- Matches, admits and runs forwarded requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Matches, admits and runs forwarded requests."""

from __future__ import annotations

from eliot import log_message

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardcontext import ForwardContext
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.notready import NOT_READY_RETRY_MS
from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.streamrun import StreamRun
from mountladder.forwarding.wholerun import WholeRun
from mountladder.metrics.metric import Metric
from mountladder.quarantine.fingerprint import abbreviated

# A catalogue that was not confirmed for this long may be outdated, so an unknown route or key is
# reported as "not ready" instead.
STALE_MS = 6_000.0


class Forwarder:
    """Finds the route and the team of each request and runs it.

    Args:
        context: State shared by requests.
    """

    def __init__(self, context: ForwardContext) -> None:
        self.context = context

    def serve(self, request: ForwardRequest, relayed: bool = False) -> ForwardAnswer:
        """Run a request and return its answer.

        Args:
            request: The request.
            relayed: Whether another instance relays it, so that it is not relayed again.

        Raises:
            MountladderError: The request was refused or failed.
        """
        self.context.metrics.count(Metric.REQUESTS)
        relay = self.context.relay
        try:
            if not relayed and relay.is_needed():
                route, _ = self.match(request)
                return relay.run(request, route)
            run = self.admit(request)
        except MountladderError as error:
            self.record_refusal(request, error)
            raise
        try:
            return run.answer()
        except MountladderError:
            if relayed or not relay.can_take_over(run):
                raise
            return relay.take_over(run)

    def refuse(self, request: ForwardRequest, error: RefusalError) -> None:
        """Record a request that is refused before its body is read."""
        self.context.metrics.count(Metric.REQUESTS)
        self.record_refusal(request, error)

    def match(self, request: ForwardRequest) -> tuple[Route, CallerTeam | None]:
        """Return the route of a request and its team, by the catalogue in force.

        Raises:
            RefusalError: The route or key is unknown, no catalogue is loaded, or the instance is
                shutting down.
        """
        catalogue = self.context.follower.catalogue
        if catalogue is None:
            raise RefusalError("", Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        route = catalogue.match(request.host, request.path)
        if route is None:
            raise self.unknown_refusal(Code.UNKNOWN_ROUTE)
        caller = self.find_caller(request, route, catalogue)
        self.context.shutdown.check(route)
        return route, caller

    def admit(self, request: ForwardRequest) -> ForwardRun:
        """Check a request that is run here against the catalogue in force.

        Raises:
            RefusalError: See match; or the request is quarantined, or a service has no server for
                it.
        """
        route, caller = self.match(request)
        run_class = StreamRun if route.kind is RouteKind.STREAM else WholeRun
        run = run_class(request, route, caller, self.context)
        run.log(
            "received",
            team=run.team,
            service=run.service,
            version=self.context.follower.version,
            catalogue_age_ms=self.context.follower.rounded_age_ms(),
            allowed_ms=round(request.allowed_ms),
            pieces=request.pieces,
            tokens=request.prompt.tokens if request.prompt else 0,
            most_output=request.prompt.max_output if request.prompt else 0,
            urgency=run.urgency,
            route_priority=route.priority,
            aim_ms=round(route.target_ms),
            comes_back=run.is_returning,
            fingerprint=run.tracked.fingerprint,
            parts=[abbreviated(part) for part in run.tracked.parts],
            last_event_id=request.last_event_id,
            resumes=request.resumes,
        )
        services = {stage.service for stage in route.stages}
        run.tracked.check(services)
        for service in (*services, run.service):
            self.context.picker.check_servers(service)
        return run

    def find_caller(
        self, request: ForwardRequest, route: Route, catalogue: Catalogue
    ) -> CallerTeam | None:
        """Return the team of a request's API key, or None without one on a public route."""
        caller = catalogue.keys.get(request.key)
        if caller is None and catalogue.requires_key and not route.public:
            raise self.unknown_refusal(Code.UNAUTHENTICATED)
        return caller

    def unknown_refusal(self, code: Code) -> RefusalError:
        """Return the refusal of an unknown route or key, which a newer catalogue may contain."""
        follower = self.context.follower
        if follower.age_ms() > STALE_MS and not follower.is_feed_live():
            detail = "the catalogue has not been confirmed recently"
            return RefusalError(detail, Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        return RefusalError("", code)

    def record_refusal(self, request: ForwardRequest, error: MountladderError) -> None:
        """Count and log a request that was refused at admission."""
        self.context.metrics.count(Metric.REFUSED, error.code.name.lower())
        follower = self.context.follower
        log_message(
            "refused",
            request=request.id,
            host=request.host,
            path=request.path,
            code=error.code.number,
            reason=error.detail,
            version=follower.version,
            catalogue_age_ms=follower.rounded_age_ms(),
        )
