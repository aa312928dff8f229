# localfleet.py -- Entry instances, platform and backend servers in one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Entry instances, platform and backend servers in one process."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Sequence

import gevent
from gevent.pool import Group

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.document import Document
from mountladder.configuration.settings import Settings
from mountladder.errors import MountladderError
from mountladder.membership.memorynetwork import MemoryNetwork
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.requests.callerrequest import CallerRequest
from mountladder.requests.reply import Reply
from mountladder.routing.policy import Policy
from mountladder.runtime import Runtime
from mountladder_standins.faults import Faults
from mountladder_standins.localbackend import LocalBackend
from mountladder_standins.outcome import Outcome
from mountladder_standins.speeds import Speeds
from mountladder_standins.standinplatform import StandinPlatform
from mountladder_standins.standinserver import StandinServer

MAX_SEEDS = 3
SECRET = "a secret for stand-ins only"
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class LocalFleet:
    """Entry instances, the platform and backend servers in one process, on one clock.

    Args:
        clock: The clock, virtual or real.
        lag_ms: The delay until the platform's list of instances shows a change.

    Attributes:
        servers: The stand-in backend servers by name.
        runtimes: The instances by name.
    """

    def __init__(self, clock: Clock, lag_ms: float = 1_000.0) -> None:
        self.clock = clock
        self.standin = StandinPlatform(clock, lag_ms)
        self.network = MemoryNetwork(clock)
        self.servers: dict[str, StandinServer] = {}
        self.backend = LocalBackend(self.servers, clock)
        self.runtimes: dict[str, Runtime] = {}
        self.calls: dict[str, Group] = {}

    def start(
        self, name: str, datacentre: str, policy: Policy | None = None, **changes: object
    ) -> Runtime:
        """Start an instance.

        Args:
            name: Its name.
            datacentre: Its data centre.
            policy: Its routing policy, or None for the default.
            **changes: Settings that differ from the defaults.
        """
        settings = Settings(
            name=name,
            datacentre=datacentre,
            web=f"web:{name}",
            peer=f"peer:{name}",
            platform="",
            secret=SECRET,
            seeds=self.seeds(datacentre),
        )
        runtime = Runtime(
            dataclasses.replace(settings, **changes),
            self.clock,
            self.standin.view(),
            self.backend,
            self.network,
            MemoryMetrics(),
            len(self.runtimes),
            policy,
        )
        runtime.start()
        self.runtimes[name] = runtime
        self.calls[name] = Group()
        return runtime

    def seeds(self, datacentre: str) -> tuple[str, ...]:
        """Return the peer addresses of up to MAX_SEEDS instances, the same data centre first."""
        ordered = sorted(self.runtimes.values(), key=lambda one: one.me.datacentre != datacentre)
        return tuple(one.settings.peer for one in ordered[:MAX_SEEDS])

    def kill(self, name: str) -> None:
        """Stop an instance like a killed process: at once, without any message to others."""
        runtime = self.runtimes.pop(name)
        runtime.platform.table.faults = Faults(down=True)
        runtime.platform.instances.faults = Faults(down=True)
        runtime.stack.close()
        runtime.gateway.runs.kill()
        runtime.idempotency.tasks.kill()
        self.calls.pop(name).kill()

    def set_platform_faults(self, name: str, faults: Faults) -> None:
        """Set the faults of one instance's connection to the platform."""
        platform = self.runtimes[name].platform
        platform.table.faults = faults
        platform.objects.faults = faults
        platform.instances.faults = faults

    def change_configuration(
        self, puts: Sequence[Document], deletes: Sequence[str] = (), operation: str = ""
    ) -> Configuration:
        """Change the configuration and start a stand-in of each new backend server."""
        log = ChangeLog(self.standin.table, self.standin.objects, self.clock)
        base = log.load()
        for document in puts:
            self.add_standin(document)
        name = operation or f"operation-{base.revision + 1}"
        return log.append(base, name, "operator", puts, deletes)

    def add_standin(self, document: Document) -> None:
        """Start a stand-in if the document is a backend server that has none."""
        if isinstance(document, BackendServer) and document.name not in self.servers:
            factor = 3.0 if document.accelerator == "old" else 1.0
            speeds = Speeds(factor, document.slots)
            self.servers[document.name] = StandinServer(document.name, self.clock, speeds)

    def wait_ready(self) -> None:
        """Wait until every instance is ready."""
        while not all(runtime.ready for runtime in self.runtimes.values()):
            self.clock.sleep(50.0)

    def spawn(self, to: str, pipeline: str, token: str, input_: object, **options: object):
        """Send a request in its own task and return the task; its value is an Outcome."""
        group = self.calls[to]
        return group.spawn(self.send, to, pipeline, token, input_, **options)

    def send(
        self,
        to: str,
        pipeline: str,
        token: str,
        input_: object,
        key: str = "",
        deadline_ms: float | None = None,
        idempotent: bool = True,
        first: bool = False,
    ) -> Outcome:
        """Send a request to an instance and return what the caller gets."""
        runtime = self.runtimes[to]
        started = self.clock.now()
        request = CallerRequest(
            pipeline,
            token,
            json.dumps(input_, separators=(",", ":")).encode(),
            started,
            deadline_ms,
            key,
            idempotent,
            first,
        )
        tokens: list[int] = []
        try:
            answer = self.read_answer(runtime, request, tokens)
        except MountladderError as error:
            result, code, answer = error.result.value, error.code.number, {}
        else:
            result, code = "done", 0
        took = self.clock.now() - started
        return Outcome(result, code, answer, tuple(tokens), took, to)

    def read_answer(
        self, runtime: Runtime, request: CallerRequest, tokens: list[int]
    ) -> dict[str, object]:
        """Read an answer completely, adding the numbers of its tokens to a list."""
        reply = runtime.gateway.serve(request)
        if reply.issued_key is not None:
            return self.relay(runtime, request, reply)
        if reply.stored_answer is not None:
            return json.loads(reply.stored_answer)
        for chunk in reply.chunks:
            tokens += [int(number) for number in _EVENT_ID.findall(chunk.events)]
        return json.loads(reply.answer())

    def relay(self, runtime: Runtime, request: CallerRequest, reply: Reply) -> dict[str, object]:
        """Relay a request to the instance that issued its key.

        If that instance cannot be reached, the stored answer of the receiving one is returned.
        """
        for issuer in self.runtimes.values():
            if issuer.me.incarnation == reply.issued_key.incarnation and self.network.reachable(
                runtime.me, issuer.me
            ):
                return self.read_answer(issuer, request, [])
        return json.loads(runtime.idempotency.stored_answer(reply.request).stored_answer)

    def attempts_of(self, work: str) -> list[str]:
        """Return the ids of the attempts of a kind of work that all stand-ins began."""
        return [
            one.attempt
            for server in self.servers.values()
            for one in server.ran
            if one.work == work
        ]

    def stop(self) -> None:
        """Kill every instance and call."""
        for name in list(self.runtimes):
            self.kill(name)
        gevent.sleep(0)
