# serverpicker.py -- Selects backend servers for forwarded requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Selects backend servers for forwarded requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from eliot import log_message

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.softwareversion import running_version
from mountladder.configuration.stage import Stage
from mountladder.errors import RefusalError, StageError
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.pickedserver import PickedServer
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptplacer import PromptPlacer
from mountladder.forwarding.versionrules import check_version, suitable_backup
from mountladder.routing.choice import Choice
from mountladder.routing.router import SPILL_LOAD_FACTOR, Router
from mountladder.routing.serverconstraints import ServerConstraints
from mountladder.serverlimits.serverlimits import ServerLimits

# When a caller may retry if no server is available: about as long as a circuit breaker stays open.
NO_SERVER_RETRY_MS = 1_000.0
# Interval at which servers with a rate limit are probed, by all instances together, while others
# have capacity. Only an answer of the server shows that its limit was lifted.
LIMITED_PROBE_MS = 250.0
# Placeholder for requests without a prompt that are placed through the service's coordinator.
EMPTY_PROMPT = Prompt(0, 0, ())
# Callers that were refused during a back-off are spread over this fraction of the time in which
# they were refused, so that at most three times the usual number, new callers included, arrive.
RETURN_SPREAD_FRACTION = 0.5
# Failures that concern the server itself, not the request.
SERVER_FAILURE_CODES = frozenset({Code.CONNECT_FAILED, Code.SERVER_REPLACED, Code.SERVER_REFUSED})


class ServerPicker:
    """Chooses servers for forwarded requests.

    Requests with a prompt are placed by their prompt, others by expected completion time.

    Args:
        directory: The list of backend servers.
        router: Chooses servers by expected completion and learns from outcomes.
        placer: Places prompts through the service's coordinator.
        cold: Tracks servers that have just started.
        limits: Tracks servers that limit their request rate.

    Attributes:
        probed_at: When servers with a rate limit were last probed, by service.
        stages: The keys under which the router keeps learned times, by service.
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
        self.probed_at: dict[str, float] = {}
        self.stages: dict[str, Stage] = {}

    def pick(
        self,
        request: ForwardRequest,
        service: str,
        budget_ms: float,
        constraints: ServerConstraints,
    ) -> PickedServer:
        """Choose a server and record that the request is sent to it.

        Args:
            request: The request.
            service: The service.
            budget_ms: The time until the request's deadline, in milliseconds.
            constraints: The constraints on the server.

        Raises:
            RefusalError: No server exists, is in use, can be reached or accepts it in time.
        """
        if self.directory.is_unreachable(service):
            # Each failing connection attempt would cost the caller 300 ms.
            raise self.unavailable_refusal(service)
        self.router.on_demand(service)
        check_version(self.directory, service, constraints.version)
        if request.prompt is not None:
            return self.pick_for_prompt(request.prompt, service, constraints)
        servers = running_version(self.directory.available(service), constraints.version)
        free = self.unlimited(servers)
        if len(free) == len(servers):
            return self.pick_among(free, request, service, budget_ms, constraints)
        # The service's coordinator knows how much the other servers may still be sent.
        others = constraints.without(one.name for one in free)
        if not free:
            return self.pick_for_prompt(EMPTY_PROMPT, service, others)
        probed = self.probe_limited(service, servers, free, others)
        if probed is not None:
            return probed
        try:
            return self.pick_among(free, request, service, budget_ms, constraints)
        except RefusalError:
            return self.pick_for_prompt(EMPTY_PROMPT, service, others)

    def pick_among(
        self,
        servers: tuple[BackendServer, ...],
        request: ForwardRequest,
        service: str,
        budget_ms: float,
        constraints: ServerConstraints,
    ) -> PickedServer:
        """Choose among servers without a rate limit; see pick."""
        stage, length = self.stage(service), len(request.body)
        try:
            return PickedServer(
                self.router.pick(servers, stage, length, budget_ms, constraints.excluded)
            )
        except StageError as error:
            raise self.unavailable_refusal(service) from error

    def unlimited(self, servers: tuple[BackendServer, ...]) -> tuple[BackendServer, ...]:
        """Return the servers that are neither cold nor rate-limited nor fragile."""
        warm = self.cold.warm(servers)
        limited = self.limits.limited(warm) | self.limits.rooms.fragile(warm)
        return tuple(one for one in warm if one.name not in limited) if limited else warm

    def probe_limited(
        self,
        service: str,
        servers: tuple[BackendServer, ...],
        free: tuple[BackendServer, ...],
        others: ServerConstraints,
    ) -> PickedServer | None:
        """Use a rate-limited server if the others are overloaded, otherwise as a periodic probe.

        Only answers of limited servers show that a limit was lifted. Cold servers are not used.
        """
        cold = self.cold.cold(servers)
        if len(free) + len(cold) == len(servers) or not self.is_probe_due(service, free):
            return None
        try:
            constraints = replace(others.without(cold), max_wait_ms=0.0)
            return self.pick_for_prompt(EMPTY_PROMPT, service, constraints)
        except RefusalError:
            log_message("limited-servers-exhausted", service=service, free=len(free))
            return None

    def is_probe_due(self, service: str, free: tuple[BackendServer, ...]) -> bool:
        """Return whether rate-limited servers are to be used in addition to unlimited ones."""
        now = self.router.clock.now()
        every_ms = LIMITED_PROBE_MS * self.placer.fleet.membership.budget_sharers()
        due = now - self.probed_at.get(service, -every_ms) >= every_ms
        if (
            not due
            and min(self.router.state(one).load_factor(now) for one in free) <= SPILL_LOAD_FACTOR
        ):
            return False
        self.probed_at[service] = now
        return True

    def all_limited(self, service: str) -> bool:
        """Return whether all servers of a service limit their request rate."""
        servers = self.directory.available(service)
        return bool(servers) and len(self.limits.limited(servers)) == len(servers)

    def still_accepts(self, picked: PickedServer, service: str) -> bool:
        """Return whether a request may still be sent to the server that was picked for it."""
        state = picked.choice.state
        names = {one.name for one in self.directory.available(service)}
        return state.server.name in names and state.backoff_ms(self.router.clock.now()) <= 0

    def backoff_ms(self, service: str) -> float:
        """Return how long all servers of a service still ask this instance to back off, or 0."""
        return self.router.backoff_ms(self.directory.available(service))

    def backoff_refusal(self, service: str) -> RefusalError:
        """Return the refusal of a request while all servers of its service ask to back off.

        Retry times are spread over a fraction of the time in which callers were refused, so that
        they do not all retry at once.
        """
        now = self.router.clock.now()
        states = [self.router.state(one) for one in self.directory.available(service)]
        first = min(states, key=lambda one: one.backoff_ms(now))
        retry_after_ms = first.backoff_ms(now) + RETURN_SPREAD_FRACTION * (
            now - first.backoff_since
        )
        return RefusalError("", Code.SERVERS_RESTING, retry_after_ms=retry_after_ms)

    def has_server(self, service: str, version: str | None, excluded: frozenset[str]) -> bool:
        """Return whether a service has a server in use, of a version or any, but some of them."""
        servers = running_version(self.directory.available(service), version)
        unusable = self.unusable(servers)
        return any(one.name not in excluded | unusable for one in servers)

    def check_servers(self, service: str) -> None:
        """Check that a service has a server that may be used.

        Raises:
            RefusalError: It has none.
        """
        if not self.directory.available(service):
            raise self.unavailable_refusal(service)

    def unavailable_refusal(self, service: str, wait_ms: float = 0.0) -> RefusalError:
        """Return the refusal of a request whose service has no available server.

        Args:
            service: The service.
            wait_ms: The time to retry after if servers limit their request rate, or 0.
        """
        if wait_ms > 0:
            return RefusalError("", Code.SERVERS_LIMITED, retry_after_ms=wait_ms)
        drained = self.directory.is_drained(service)
        code = Code.DATACENTRES_DRAINED if drained else Code.NO_SERVER_AVAILABLE
        return RefusalError("", code, retry_after_ms=NO_SERVER_RETRY_MS)

    def pick_for_prompt(
        self, prompt: Prompt, service: str, constraints: ServerConstraints
    ) -> PickedServer:
        """Choose a server through the service's coordinator; see pick."""
        available = self.directory.available(service)
        servers = {one.name: one for one in running_version(available, constraints.version)}
        others = {one.name for one in available} - servers.keys()
        constraints = constraints.without(others | self.unusable(servers.values()))
        reply = self.placer.place(service, prompt, constraints)
        if reply.server and reply.server not in servers:
            # The coordinator has not learned yet that the server is no longer available.
            log_message("placement-outdated", service=service, server=reply.server)
            self.placer.report(reply.number, ended=True)
            reply = self.placer.place_locally(service, prompt, constraints)
        server = servers.get(reply.server)
        if server is None:
            raise self.unavailable_refusal(service, reply.wait_ms)
        now = self.router.clock.now()
        state = self.router.state(server)
        state.begin(now)
        expected_ms, compared = reply.expected_ms, len(servers.keys() - constraints.excluded)
        load_factor = state.load_factor(now)
        choice = Choice(state, expected_ms, expected_ms, load_factor, len(servers), compared)
        return PickedServer(
            choice,
            reply.number,
            reply.source,
            reply.prefill_tokens,
            now + reply.wait_ms,
            suitable_backup(servers.get(reply.backup), server),
        )

    def unusable(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the servers that this instance itself does not use at present."""
        now = self.router.clock.now()
        states = [self.router.state(one) for one in servers]
        unusable = [one for one in states if not one.usable(now)]
        if len(unusable) == len(states):
            unusable = [one for one in states if not one.usable(now, suspects=True)]
        return frozenset(one.server.name for one in unusable)

    def succeeded(
        self,
        picked: PickedServer,
        request: ForwardRequest,
        service: str,
        elapsed_ms: float,
        load: int | None,
        streaming: bool,
    ) -> None:
        """Record a call that was answered; a stream continues after its first event."""
        stage, length = self.stage(service), len(request.body)
        is_plain = not picked.placement_number
        self.router.record_success(picked.choice, stage, length, elapsed_ms, load, is_plain)
        if streaming:
            picked.choice.state.change_running(1, self.router.clock.now())
            self.placer.report(picked.placement_number, read_ms=elapsed_ms)
        else:
            self.placer.report(picked.placement_number, ended=True)

    def finished(self, picked: PickedServer, event_ms: float = 0.0) -> None:
        """Record that a stream has ended, with the mean time between its events or 0."""
        picked.choice.state.end(self.router.clock.now())
        self.placer.report(picked.placement_number, ended=True, event_ms=event_ms)

    def failed(
        self,
        picked: PickedServer,
        request: ForwardRequest,
        service: str,
        code: Code,
        elapsed_ms: float,
    ) -> None:
        """Record a call that failed."""
        stage = self.stage(service)
        self.router.record_failure(picked.choice, code, elapsed_ms, stage, len(request.body))
        self.placer.report(
            picked.placement_number,
            ended=True,
            gone=code in SERVER_FAILURE_CODES,
            unreachable=code is Code.CONNECT_FAILED,
            rejected=code is Code.SERVER_FULL,
        )

    def fell_silent(self, picked: PickedServer, silent_ms: float) -> None:
        """Record a call that ended since its server had been silent for a time."""
        self.router.record_silence(picked.choice, silent_ms)
        self.placer.report(picked.placement_number, ended=True)

    def stage(self, service: str) -> Stage:
        """Return the key under which the router keeps the learned times of a service."""
        stage = self.stages.get(service)
        if stage is None:
            stage = Stage(service, "call", service, "", (), False, False, 0.0)
            self.stages[service] = stage
        return stage
