# forwarder.py -- The way of a forwarded request into an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The way of a forwarded request into an instance."""

from __future__ import annotations

from eliot import log_message

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardcontext import ForwardContext
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.keyholder import KeyHolder
from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.streamrun import StreamRun
from mountladder.forwarding.wholerun import WholeRun
from mountladder.metrics.metric import Metric

# While the catalogue was not confirmed for this long, what it does not know may be newer than it.
STALE_MS = 6_000.0
# When a caller may come back to an instance that does not know enough yet.
NOT_READY_RETRY_MS = 500.0


class Forwarder:
    """Finds the route and the team of a request, and has it run.

    Args:
        context: What requests share.
    """

    def __init__(self, context: ForwardContext) -> None:
        self.context = context

    def serve(self, request: ForwardRequest) -> ForwardAnswer:
        """Return what a request is answered with.

        Raises:
            MountladderError: It was refused or failed.
        """
        self.context.metrics.count(Metric.REQUESTS)
        try:
            run = self.admit(request)
        except MountladderError as error:
            self.refused(request, error)
            raise
        return run.answer()

    def admit(self, request: ForwardRequest) -> ForwardRun:
        """Check a request against the catalogue in force.

        Raises:
            RefusalError: It has no route or no known key, or no catalogue is known.
        """
        catalogue = self.context.follower.catalogue
        if catalogue is None:
            raise RefusalError("", Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        route = catalogue.match(request.host, request.path)
        if route is None:
            raise self.unknown(Code.UNKNOWN_ROUTE)
        holder = self.holder(request, route, catalogue)
        self.context.departure.check(route)
        kind = StreamRun if route.kind is RouteKind.STREAM else WholeRun
        run = kind(request, route, holder, self.context)
        run.log(
            "received",
            team=run.team,
            service=run.service,
            version=catalogue.version,
            catalogue_age_ms=self.context.follower.rounded_age_ms(),
            allowed_ms=round(request.allowed_ms),
            pieces=request.pieces,
            tokens=request.prompt.tokens if request.prompt else 0,
            most_output=request.prompt.most_output if request.prompt else 0,
            urgency=run.urgency,
            route_priority=route.priority,
            aim_ms=round(route.aim_ms),
            comes_back=run.comes_back,
            fingerprint=run.case.fingerprint,
        )
        services = {stage.service for stage in route.stages}
        run.case.check(services)
        for service in (*services, run.service):
            self.context.picker.check_servers(service)
        return run

    def holder(
        self, request: ForwardRequest, route: Route, catalogue: Catalogue
    ) -> KeyHolder | None:
        """Return who holds the key of a request; None where the route needs none."""
        holder = catalogue.keys.get(request.key)
        if holder is None and catalogue.requires_key and not route.public:
            raise self.unknown(Code.UNAUTHENTICATED)
        return holder

    def unknown(self, code: Code) -> RefusalError:
        """Return the refusal of what the catalogue does not know, which a newer one may."""
        follower = self.context.follower
        if follower.age_ms() > STALE_MS and not follower.is_feed_live():
            detail = "the catalogue was not confirmed lately"
            return RefusalError(detail, Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        return RefusalError("", code)

    def refused(self, request: ForwardRequest, error: MountladderError) -> None:
        """Count and log a request that was refused before it had a run."""
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
