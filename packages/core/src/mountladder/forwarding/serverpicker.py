# serverpicker.py -- Which backend server a forwarded request goes to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which backend server a forwarded request goes to."""

from __future__ import annotations

from collections.abc import Iterable

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.stage import Stage
from mountladder.errors import RefusalError, StageError
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.picked import Picked
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptplacer import PromptPlacer
from mountladder.routing.choice import Choice
from mountladder.routing.router import Router

# When a caller may come back where no server can be used: about as long as a breaker stays open.
NO_SERVER_RETRY_MS = 1_000.0
# Failures that tell of the server itself, not of the request.
GONE = frozenset({Code.CONNECT_FAILED, Code.SERVER_REPLACED, Code.SERVER_REFUSED})


class ServerPicker:
    """Chooses servers for forwarded requests: by prompt for models, else by expected completion.

    Args:
        directory: Which servers there are.
        router: Chooses and learns.
        placer: Places prompts.
    """

    def __init__(self, directory: Directory, router: Router, placer: PromptPlacer) -> None:
        self.directory = directory
        self.router = router
        self.placer = placer
        self.stages: dict[str, Stage] = {}

    def pick(
        self,
        request: ForwardRequest,
        service: str,
        budget_ms: float,
        excluded: frozenset[str],
        site: str = "",
    ) -> Picked:
        """Choose a server and record that the request is sent to it.

        Raises:
            RefusalError: There is none, none is in use, or none can be reached.
        """
        if self.directory.is_cut_off(service):
            # A connection that cannot come about costs the caller 300 ms for each server.
            raise _none_available()
        if request.prompt is not None:
            return self.pick_for_prompt(request.prompt, service, excluded, site)
        servers = self.directory.available(service)
        length = len(request.body)
        try:
            choice = self.router.pick(servers, self.stage(service), length, budget_ms, excluded)
        except StageError as error:
            raise _none_available() from error
        return Picked(choice)

    def pick_for_prompt(
        self, prompt: Prompt, service: str, excluded: frozenset[str], site: str
    ) -> Picked:
        """Choose a model server and record that a prompt is sent to it."""
        servers = {one.name: one for one in self.directory.available(service)}
        unwanted = excluded | self.out_of_use(servers.values())
        reply = self.placer.place(service, prompt, unwanted, site)
        server = servers.get(reply.server)
        if server is None:
            self.placer.note(reply.number, ended=True)
            raise _none_available()
        now = self.router.clock.now()
        state = self.router.state(server)
        state.begin(now)
        expected_ms, compared = reply.expected_ms, len(servers) - len(unwanted)
        crowding = state.crowding(now)
        choice = Choice(state, expected_ms, expected_ms, crowding, len(servers), compared)
        return Picked(choice, reply.number, reply.source, reply.read)

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


def _none_available() -> RefusalError:
    return RefusalError("", Code.NO_SERVER_AVAILABLE, retry_after_ms=NO_SERVER_RETRY_MS)
