# faultrun.py -- A randomised run under faults, with checks of the invariants
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A randomised run under faults, with checks of the invariants."""

from __future__ import annotations

import dataclasses
import itertools
import json
import random
from collections.abc import Iterator, Sequence

import gevent

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.document import Document
from mountladder.errors import MountladderError
from mountladder_standins import invariants
from mountladder_standins.callrecord import CallRecord
from mountladder_standins.faultplan import FaultPlan
from mountladder_standins.localfleet import LocalFleet
from mountladder_standins.outcome import Outcome
from mountladder_standins.standinserver import hash_of
from mountladder_standins.timeline import Timeline
from mountladder_standins.violation import Violation

INSTANCES = ("a-1", "a-2", "a-3", "b-1", "b-2", "b-3")
LOAD_MS = 20_000.0
SETTLE_MS = 45_000.0
DEADLINE_MS = 3_000.0
MEAN_CALL_MS = 60.0
MEAN_FAULT_MS = 900.0
MEAN_CHANGE_MS = 1_500.0
REPEAT_FRACTION = 0.4
PUSH_FRACTION = 0.4
ISSUED_FRACTION = 0.3


class FaultRun:
    """Sends requests and configuration changes to a fleet under faults, all drawn from one seed.

    Args:
        seed: The seed.
        documents: The configuration, with pipelines "reply" and "push".
        token: The token of its team.

    Attributes:
        calls: Every call with its outcome.
        accepted: The operation ids of accepted changes.
        revisions: The revision in force on each instance at the end, by the instance's name.
    """

    def __init__(self, seed: int, documents: Sequence[Document], token: str) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.fleet = LocalFleet(self.clock)
        self.plan = FaultPlan(self.fleet, random.Random(seed + 1))
        self.timeline = Timeline(self.clock)
        self.documents = list(documents)
        self.token = token
        self.calls: list[CallRecord] = []
        self.accepted: list[str] = []
        self.revisions: dict[str, int] = {}
        self.tasks: list[gevent.Greenlet] = []
        self.numbers = itertools.count(1)
        self.start_instance = self.fleet.start
        self.fleet.start = self.start_watched

    def start_watched(self, name: str, datacentre: str):
        """Start an instance and record its configurations."""
        runtime = self.start_instance(name, datacentre)
        self.timeline.watch(runtime)
        return runtime

    def run(self) -> list[Violation]:
        """Run to the end and return every violated invariant."""
        self.run_unchecked()
        return list(self.check())

    def run_unchecked(self) -> None:
        """Run to the end without checking the invariants."""
        try:
            self.clock.run(gevent.spawn(self.run_phases))
            self.revisions = {
                name: runtime.follower.configuration.revision
                for name, runtime in self.fleet.runtimes.items()
            }
        finally:
            self.fleet.stop()

    def run_phases(self) -> None:
        """Send requests and changes under faults, remove the faults, and wait for convergence."""
        self.fleet.change_configuration(self.documents)
        for name in INSTANCES:
            self.fleet.start(name, name[0])
        self.fleet.wait_ready()
        self.clock.sleep(6_000.0)
        loops = [
            gevent.spawn(self.call_randomly, self.send, MEAN_CALL_MS),
            gevent.spawn(self.call_randomly, self.plan.step, MEAN_FAULT_MS),
            gevent.spawn(self.call_randomly, self.change_configuration, MEAN_CHANGE_MS),
            gevent.spawn(self.call_randomly, self.change_configuration, MEAN_CHANGE_MS),
        ]
        gevent.joinall(loops, raise_error=True)
        self.plan.repair_all()
        self.clock.sleep(SETTLE_MS)
        gevent.joinall(self.tasks)

    def call_randomly(self, action, mean_ms: float) -> None:
        """Call a function with exponentially distributed gaps for LOAD_MS.

        Args:
            action: The function.
            mean_ms: The mean gap between two calls.
        """
        until = self.clock.now() + LOAD_MS
        while self.clock.now() < until:
            self.clock.sleep(self.rng.expovariate(1.0 / mean_ms))
            action()

    def send(self) -> None:
        """Send one request; some non-idempotent ones are sent again, to a random instance."""
        label = f"request-{next(self.numbers)}"
        push = self.rng.random() < PUSH_FRACTION
        instances = sorted(self.fleet.runtimes)
        to = self.rng.choice(instances)
        key = self.choose_key(label, to) if push else ""
        repeated = push and self.rng.random() < REPEAT_FRACTION
        self.spawn(label, "push" if push else "reply", key, to, first=not repeated)
        if repeated:
            other = self.rng.choice(instances)
            self.tasks.append(gevent.spawn(self.send_repeat, label, key, other))

    def choose_key(self, label: str, to: str) -> str:
        """Return a key that the caller chose or that an instance issued."""
        if self.rng.random() < ISSUED_FRACTION:
            return self.fleet.runtimes[to].idempotency.issue("desk")
        return label

    def send_repeat(self, label: str, key: str, to: str) -> None:
        """Send a request again after a random delay, if the instance still runs."""
        self.clock.sleep(self.rng.uniform(0.0, 6_000.0))
        if to in self.fleet.runtimes:
            self.spawn(label, "push", key, to, first=False)

    def spawn(self, label: str, pipeline: str, key: str, to: str, first: bool) -> None:
        """Send a request in its own task."""
        self.tasks.append(gevent.spawn(self.call, label, pipeline, key, to, first))

    def call(self, label: str, pipeline: str, key: str, to: str, first: bool) -> None:
        """Send a request and record its outcome."""
        tokens = 6
        input_ = {"of": label, "tokens": tokens}
        started = self.clock.now()
        options = {"key": key, "deadline_ms": DEADLINE_MS, "first": first}
        task = self.fleet.spawn(to, pipeline, self.token, input_, **options)
        task.join()
        outcome = task.value if isinstance(task.value, Outcome) else None
        if task.exception is not None:
            raise task.exception
        input_hash = hash_of(json.dumps(input_, separators=(",", ":")).encode())
        record = CallRecord(
            label,
            input_hash,
            pipeline,
            key,
            tokens,
            started,
            DEADLINE_MS,
            self.clock.now(),
            outcome,
        )
        self.calls.append(record)

    def change_configuration(self) -> None:
        """Make a change as an operator; two operators race with each other."""
        operation = f"change-{next(self.numbers)}"
        server = self.rng.choice([one for one in self.documents if one.kind == "server"])
        draining = self.rng.random() < 0.3
        try:
            self.fleet.change_configuration(
                [dataclasses.replace(server, draining=draining)], operation=operation
            )
        except MountladderError:
            return
        self.accepted.append(operation)

    def check(self) -> Iterator[Violation]:
        """Yield every violated invariant."""
        ran = [one for server in self.fleet.servers.values() for one in server.ran]
        log = ChangeLog(self.fleet.standin.memory, self.fleet.standin.objects, self.clock)
        changes = self.read_changes(log)
        yield from invariants.answers_are_whole(self.calls)
        yield from invariants.calls_are_answered(self.calls)
        yield from invariants.not_run_did_not_run(self.calls, ran)
        yield from invariants.pushes_run_once(ran)
        yield from invariants.selectors_are_met(ran, self.calls, self.timeline)
        yield from invariants.revisions_never_fall(self.timeline)
        yield from invariants.changes_are_kept(self.accepted, changes)
        for name, revision in self.revisions.items():
            if revision != len(changes):
                detail = f"{name}: {revision} of {len(changes)}"
                yield Violation("changes reach every instance", detail)
        for task in self.tasks:
            if task.exception is not None:
                yield Violation("no fault of our own", repr(task.exception))

    def read_changes(self, log: ChangeLog) -> list:
        """Return every change of the log."""
        changes: list = []
        while page := log.since(len(changes)):
            changes += page
        return changes
