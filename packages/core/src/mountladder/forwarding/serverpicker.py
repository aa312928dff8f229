# serverpicker.py -- Which backend server a forwarded request goes to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which backend server a forwarded request goes to."""

from __future__ import annotations

from mountladder.code import Code
from mountladder.configuration.stage import Stage
from mountladder.errors import RefusalError, StageError
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.routing.choice import Choice
from mountladder.routing.promptplacement import PromptPlacement
from mountladder.routing.router import Router

# When a caller may come back where no server can be used: about as long as a breaker stays open.
NO_SERVER_RETRY_MS = 1_000.0


class ServerPicker:
    """Chooses servers for forwarded requests: by prompt for models, else by expected completion.

    Args:
        directory: Which servers there are.
        router: Chooses and learns.
        placement: Where parts of prompts are cached.
    """

    def __init__(self, directory: Directory, router: Router, placement: PromptPlacement) -> None:
        self.directory = directory
        self.router = router
        self.placement = placement
        self.stages: dict[str, Stage] = {}

    def pick(
        self,
        request: ForwardRequest,
        service: str,
        budget_ms: float,
        excluded: frozenset[str],
        site: str = "",
    ) -> Choice:
        """Choose a server and record that the request is sent to it.

        Raises:
            RefusalError: There is none, or none is in use.
        """
        servers = self.directory.available(service)
        if request.prompt is not None:
            choice = self.placement.choose(servers, request.prompt, excluded, site)
            if choice is None:
                raise _none_available()
            self.begin(choice, request)
            return choice
        try:
            length = len(request.body)
            return self.router.pick(servers, self.stage(service), length, budget_ms, excluded)
        except StageError as error:
            raise _none_available() from error

    def site(self, request: ForwardRequest, service: str) -> str:
        """Return the data centre of the server that the request would go to now."""
        if request.prompt is None:
            return ""
        servers = self.directory.available(service)
        choice = self.placement.choose(servers, request.prompt, frozenset())
        return choice.state.server.datacentre if choice else ""

    def begin(self, choice: Choice, request: ForwardRequest) -> None:
        """Record that a prompt is sent to a server."""
        choice.state.begin(self.router.clock.now())
        self.placement.began(choice.state.server.name, request.prompt)

    def read(self, choice: Choice, request: ForwardRequest) -> None:
        """Record that a server has read the prompt of a request."""
        if request.prompt is not None:
            self.placement.read(choice.state.server.name, request.prompt)

    def succeeded(
        self,
        choice: Choice,
        request: ForwardRequest,
        service: str,
        elapsed_ms: float,
        load: int | None,
    ) -> None:
        """Learn from a call that ended well."""
        stage, length = self.stage(service), len(request.body)
        self.router.succeeded(choice, stage, length, elapsed_ms, load)

    def failed(
        self, choice: Choice, request: ForwardRequest, service: str, code: Code, elapsed_ms: float
    ) -> None:
        """Learn from a call that failed."""
        stage = self.stage(service)
        self.router.failed(choice, code, elapsed_ms, stage, len(request.body))
        if code in {Code.SERVER_REPLACED, Code.CONNECT_FAILED}:
            self.placement.forget(choice.state.server.name)

    def stage(self, service: str) -> Stage:
        """Return what the router keeps the learnt times of a service under."""
        stage = self.stages.get(service)
        if stage is None:
            stage = Stage(service, "call", service, "", (), False, False, 0.0)
            self.stages[service] = stage
        return stage


def _none_available() -> RefusalError:
    return RefusalError("", Code.NO_SERVER_AVAILABLE, retry_after_ms=NO_SERVER_RETRY_MS)
