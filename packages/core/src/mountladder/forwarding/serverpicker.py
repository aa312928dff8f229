# serverpicker.py -- Which backend server a forwarded request goes to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which backend server a forwarded request goes to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from eliot import log_message

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.stage import Stage
from mountladder.errors import RefusalError, StageError
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.picked import Picked
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptplacer import PromptPlacer
from mountladder.routing.choice import Choice
from mountladder.routing.router import ROOMY, Router
from mountladder.routing.serverwish import ServerWish
from mountladder.serverlimits.serverlimits import ServerLimits

# When a caller may come back where no server can be used: about as long as a breaker stays open.
NO_SERVER_RETRY_MS = 1_000.0
# Servers that limit what they take are tried so often while others have room, by one instance or
# another; only an answer tells that a limit has ended.
TRY_MS = 250.0
# What stands for the prompt of a request without one where its server is chosen with those.
NO_PROMPT = Prompt(0, 0, ())
# Callers that were refused during a rest come back over this part of the time in which they came,
# so at most three times as many as usual, those that come then included.
RETURN_PART = 0.5
# Failures that tell of the server itself, not of the request.
GONE = frozenset({Code.CONNECT_FAILED, Code.SERVER_REPLACED, Code.SERVER_REFUSED})


class ServerPicker:
    """Chooses servers for forwarded requests: by prompt for models, else by expected completion.

    Args:
        directory: Which servers there are.
        router: Chooses and learns.
        placer: Places prompts.
        cold: Knows which servers have just started.
        limits: Knows which servers limit what they take.
    """

    def __init__(
        self,
        directory: Directory,
        router: Router,
        placer: PromptPlacer,
        cold: ColdServers,
        limits: ServerLimits,
    ) -> None:
        self.directory = directory
        self.router = router
        self.placer = placer
        self.cold = cold
        self.limits = limits
        self.tried: dict[str, float] = {}
        self.stages: dict[str, Stage] = {}

    def pick(
        self, request: ForwardRequest, service: str, budget_ms: float, wish: ServerWish
    ) -> Picked:
        """Choose a server and record that the request is sent to it.

        Args:
            request: The request.
            service: The service.
            budget_ms: The time that is left.
            wish: What it wants of its server.

        Raises:
            RefusalError: There is none, none is in use, or none can be reached or takes it in time.
        """
        if self.directory.is_unreachable(service):
            # A connection that cannot come about costs the caller 300 ms for each server.
            raise self.none_available(service)
        if request.prompt is not None:
            return self.pick_for_prompt(request.prompt, service, wish)
        servers = self.directory.available(service)
        free = self.free_of_limits(servers)
        if len(free) == len(servers):
            return self.pick_among(free, request, service, budget_ms, wish)
        # Where their requests meet it is known what the others may get yet.
        others = wish.without(one.name for one in free)
        if not free:
            return self.pick_for_prompt(NO_PROMPT, service, others)
        tried = self.try_limited(service, servers, free, others)
        if tried is not None:
            return tried
        try:
            return self.pick_among(free, request, service, budget_ms, wish)
        except RefusalError:
            return self.pick_for_prompt(NO_PROMPT, service, others)

    def pick_among(
        self,
        servers: tuple[BackendServer, ...],
        request: ForwardRequest,
        service: str,
        budget_ms: float,
        wish: ServerWish,
    ) -> Picked:
        """Choose a server that takes whatever is sent; see pick."""
        stage, length = self.stage(service), len(request.body)
        try:
            return Picked(self.router.pick(servers, stage, length, budget_ms, wish.excluded))
        except StageError as error:
            raise self.none_available(service) from error

    def free_of_limits(self, servers: tuple[BackendServer, ...]) -> tuple[BackendServer, ...]:
        """Return the servers that are not cold and name no limit."""
        warm = self.cold.warm(servers)
        limited = self.limits.limited(warm)
        return tuple(one for one in warm if one.name not in limited) if limited else warm

    def try_limited(
        self,
        service: str,
        servers: tuple[BackendServer, ...],
        free: tuple[BackendServer, ...],
        others: ServerWish,
    ) -> Picked | None:
        """Use what servers with a limit take where the others are crowded, else now and then.

        Only their answers tell that a limit has ended. Cold servers are left alone meanwhile.
        """
        cold = self.cold.cold(servers)
        if len(free) + len(cold) == len(servers) or not self.is_due(service, free):
            return None
        try:
            wish = replace(others.without(cold), patience_ms=0.0)
            return self.pick_for_prompt(NO_PROMPT, service, wish)
        except RefusalError:
            log_message("limited-servers-spent", service=service, free=len(free))
            return None

    def is_due(self, service: str, free: tuple[BackendServer, ...]) -> bool:
        """Tell whether servers with a limit are to be tried beside those that are free of it."""
        now = self.router.clock.now()
        every_ms = TRY_MS * self.placer.fleet.membership.budget_sharers()
        due = now - self.tried.get(service, -every_ms) >= every_ms
        if not due and min(self.router.state(one).crowding(now) for one in free) <= ROOMY:
            return False
        self.tried[service] = now
        return True

    def is_scarce(self, service: str) -> bool:
        """Tell whether all servers of a service limit what they take."""
        servers = self.directory.available(service)
        return bool(servers) and len(self.limits.limited(servers)) == len(servers)

    def is_open(self, picked: Picked, service: str) -> bool:
        """Tell whether a request may still be sent to the server that was picked for it."""
        state = picked.choice.state
        names = {one.name for one in self.directory.available(service)}
        return state.server.name in names and state.rest_ms(self.router.clock.now()) <= 0

    def rest_ms(self, service: str) -> float:
        """Return for how much longer all servers of a service want no requests from here, or 0."""
        return self.router.rest_ms(self.directory.available(service))

    def resting(self, service: str) -> RefusalError:
        """Return the refusal of a request while all servers of its service want rest.

        Callers come back over a part of the time in which they were refused, not all at once.
        """
        now = self.router.clock.now()
        states = [self.router.state(one) for one in self.directory.available(service)]
        first = min(states, key=lambda one: one.rest_ms(now))
        back_ms = first.rest_ms(now) + RETURN_PART * (now - first.rests_since)
        return RefusalError("", Code.SERVERS_RESTING, retry_after_ms=back_ms)

    def check_servers(self, service: str) -> None:
        """Refuse what a service is needed for that has no server which may be used.

        Raises:
            RefusalError: It has none.
        """
        if not self.directory.available(service):
            raise self.none_available(service)

    def none_available(self, service: str, wait_ms: float = 0.0) -> RefusalError:
        """Return the refusal of a request for whose service no server may be used now.

        Args:
            service: The service.
            wait_ms: When it is to come back, where servers limit what they take, or 0.
        """
        if wait_ms > 0:
            return RefusalError("", Code.SERVERS_LIMITED, retry_after_ms=wait_ms)
        drained = self.directory.is_drained(service)
        code = Code.DATACENTRES_DRAINED if drained else Code.NO_SERVER_AVAILABLE
        return RefusalError("", code, retry_after_ms=NO_SERVER_RETRY_MS)

    def pick_for_prompt(self, prompt: Prompt, service: str, wish: ServerWish) -> Picked:
        """Choose a server where the prompts of its service meet; see pick."""
        servers = {one.name: one for one in self.directory.available(service)}
        wish = wish.without(self.out_of_use(servers.values()))
        reply = self.placer.place(service, prompt, wish)
        if reply.server and reply.server not in servers:
            # Where prompts meet it is not known yet that the server is not to be used any more.
            log_message("placement-outdated", service=service, server=reply.server)
            self.placer.note(reply.number, ended=True)
            reply = self.placer.place_here(service, prompt, wish)
        server = servers.get(reply.server)
        if server is None:
            raise self.none_available(service, reply.wait_ms)
        now = self.router.clock.now()
        state = self.router.state(server)
        state.begin(now)
        expected_ms, compared = reply.expected_ms, len(servers) - len(wish.excluded)
        crowding = state.crowding(now)
        choice = Choice(state, expected_ms, expected_ms, crowding, len(servers), compared)
        return Picked(choice, reply.number, reply.source, reply.read, now + reply.wait_ms)

    def out_of_use(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the servers that this instance itself has taken out of use."""
        now = self.router.clock.now()
        return frozenset(one.name for one in servers if not self.router.state(one).usable(now))

    def succeeded(
        self,
        picked: Picked,
        request: ForwardRequest,
        service: str,
        elapsed_ms: float,
        load: int | None,
        goes_on: bool,
    ) -> None:
        """Learn from a call that was answered; a stream goes on after its first event."""
        stage, length = self.stage(service), len(request.body)
        self.router.succeeded(picked.choice, stage, length, elapsed_ms, load)
        if goes_on:
            picked.choice.state.count(1, self.router.clock.now())
            self.placer.note(picked.placement, read_ms=elapsed_ms)
        else:
            self.placer.note(picked.placement, ended=True)

    def finished(self, picked: Picked) -> None:
        """Record that a stream has ended."""
        picked.choice.state.end(self.router.clock.now())
        self.placer.note(picked.placement, ended=True)

    def failed(
        self, picked: Picked, request: ForwardRequest, service: str, code: Code, elapsed_ms: float
    ) -> None:
        """Learn from a call that failed."""
        stage = self.stage(service)
        self.router.failed(picked.choice, code, elapsed_ms, stage, len(request.body))
        self.placer.note(picked.placement, ended=True, gone=code in GONE)

    def stage(self, service: str) -> Stage:
        """Return what the router keeps the learnt times of a service under."""
        stage = self.stages.get(service)
        if stage is None:
            stage = Stage(service, "call", service, "", (), False, False, 0.0)
            self.stages[service] = stage
        return stage
