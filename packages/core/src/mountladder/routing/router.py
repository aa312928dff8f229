# router.py -- Chooses backend servers for attempts and learns from their outcomes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses backend servers for attempts and learns from their outcomes."""

from __future__ import annotations

import itertools
import random
from collections import OrderedDict
from collections.abc import Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.stage import Stage
from mountladder.errors import StageError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.performance.worktype import WorkType
from mountladder.routing.candidate import Candidate
from mountladder.routing.choice import Choice
from mountladder.routing.costmodel import CostModel
from mountladder.routing.locality import ServerLocality
from mountladder.routing.policy import Policy, choose, sample_size
from mountladder.routing.serverstate import ServerState
from mountladder.routing.serverstates import ServerStates

MAX_PREFIXES = 4_096
PREFIX_HIT_FACTOR = 0.7
MIN_INTERVAL_MS = 0.05
OVERSAMPLING = 2
MAX_UNSAMPLED = 16
SPILL_LOAD_FACTOR = 1.0


class Router(ServerStates):
    """Chooses servers, and learns their speed, load and health from every call.

    Args:
        clock: The clock.
        rng: The source of randomness.
        cost_model: The learned durations of stages.
        policy: The policy that chooses among candidates.
        metrics: Counts ejections.
        datacentre: The instance's data centre, or an empty string to treat all as local.
        spill_ms: The time that a call to another data centre is assumed to add, in milliseconds.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        cost_model: CostModel,
        policy: Policy,
        metrics: Metrics,
        datacentre: str = "",
        spill_ms: float = 0.0,
    ) -> None:
        super().__init__(clock, rng, metrics)
        self.cost_model = cost_model
        self.policy = policy
        self.prefixes: OrderedDict[int, str] = OrderedDict()
        self.choice_numbers = itertools.count()
        self.locality = ServerLocality(datacentre)
        self.spill_ms = spill_ms

    def pick(
        self,
        allowed: Sequence[BackendServer],
        stage: Stage,
        length: int,
        budget_ms: float,
        excluded: frozenset[str] = frozenset(),
        prefix: int | None = None,
    ) -> Choice:
        """Choose a server and record that a call is sent to it.

        Args:
            allowed: The servers that the selectors allow.
            stage: The stage to run.
            length: The length of its input in bytes.
            budget_ms: The time that the stage may take, in milliseconds.
            excluded: The names of servers that already failed this stage of this request. They are
                used all the same where no other server is usable.
            prefix: A hash of the start of the input, where engines may have it cached.

        Raises:
            StageError: No server is allowed, or none is usable; nothing was dispatched.
        """
        if not allowed:
            raise StageError("no backend server meets the selectors", Code.NO_SERVER_ALLOWED, False)
        holder = self.prefixes.get(prefix) if prefix is not None else None
        # Servers that fall silent together do not leave a service without any.
        for suspects, names in itertools.product((False, True), (excluded, frozenset())):
            candidates = self.candidates(allowed, names, stage, length, holder, suspects)
            if candidates:
                break
        else:
            raise StageError("", Code.NO_SERVER_AVAILABLE, False)
        chosen = choose(self.policy, candidates, budget_ms, next(self.choice_numbers), self.rng)
        if prefix is not None:
            self.record_prefix(prefix, chosen.state.server.name)
        chosen.state.begin(self.clock.now())
        return Choice.of(chosen, len(allowed), len(candidates))

    def candidates(
        self,
        allowed: Sequence[BackendServer],
        excluded: frozenset[str],
        stage: Stage,
        length: int,
        holder: str | None,
        suspects: bool = False,
    ) -> list[Candidate]:
        """Return the servers to compare, remote ones only where all local ones are overloaded."""
        now = self.clock.now()
        local, remote = self.locality.split(allowed)
        sampled = self.sample(local, excluded, holder, stage.model, suspects) if local else []
        found = [self.candidate(state, stage, length, holder, now) for state in sampled]
        if remote and all(one.load_factor > SPILL_LOAD_FACTOR for one in found):
            sampled = self.sample(remote, excluded, holder, stage.model, suspects)
            found += [self.candidate(state, stage, length, holder, now) for state in sampled]
        return found

    def usable(
        self,
        allowed: Sequence[BackendServer],
        excluded: frozenset[str],
        model: str,
        suspects: bool = False,
    ) -> list[ServerState]:
        """Return the states of the allowed servers to which new work may be sent."""
        now = self.clock.now()
        states = (self.state(server) for server in allowed if server.name not in excluded)
        return [state for state in states if state.usable(now, model, suspects)]

    def sample(
        self,
        allowed: Sequence[BackendServer],
        excluded: frozenset[str],
        holder: str | None,
        model: str,
        suspects: bool,
    ) -> list[ServerState]:
        """Sample as many usable servers as the policy compares.

        Twice as many are sampled as are needed, since some may be unusable; all servers are
        checked only if none of the sample is usable. The server that holds the prefix is added.
        """
        size = sample_size(self.policy, len(allowed))
        if len(allowed) <= OVERSAMPLING * size:
            return self.usable(allowed, excluded, model, suspects)[: max(size, MAX_UNSAMPLED)]
        drawn = self.rng.sample(allowed, OVERSAMPLING * size)
        sampled = self.usable(drawn, excluded, model, suspects)[:size]
        if not sampled:
            sampled = self.usable(allowed, excluded, model, suspects)[:size]
        holder_state = self.states.get(holder) if holder is not None else None
        if (
            holder_state is not None
            and holder_state not in sampled
            and holder_state.server in allowed
        ):
            sampled += self.usable([holder_state.server], excluded, model, suspects)
        return sampled

    def candidate(
        self, state: ServerState, stage: Stage, length: int, holder: str | None, now: float
    ) -> Candidate:
        """Return a server as a candidate, with the expected time of a call there."""
        unloaded = self.cost_model.expected(stage, state.server.accelerator, length)
        if state.server.name == holder:
            unloaded *= PREFIX_HIT_FACTOR
        unloaded *= state.pace.factor
        delay_ms = 0.0 if self.locality.is_local(state.server) else self.spill_ms
        return Candidate.at(state, unloaded, now, delay_ms)

    def record_prefix(self, prefix: int, server: str) -> None:
        """Record that a server was the last to be sent a prefix."""
        self.prefixes[prefix] = server
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def record_success(
        self,
        choice: Choice,
        stage: Stage,
        length: int,
        elapsed_ms: float,
        load: int | None,
        is_plain: bool = False,
    ) -> None:
        """Update a server's load, health and speed from a call that succeeded.

        Args:
            choice: The server.
            stage: The stage that was run.
            length: The length of its input in bytes.
            elapsed_ms: The time of the call in milliseconds.
            load: The number of calls that the server reported, or None.
            is_plain: Whether the server was chosen by this router, so that the time also
                shows the server's lasting speed.
        """
        state = choice.state
        now = self.clock.now()
        load_factor = self.mean_load_factor(choice, now)
        state.end(now)
        state.breaker.succeed()
        if load is not None:
            state.record_load(load, now)
        ratio = elapsed_ms / max(1.0, choice.unloaded_ms * load_factor)
        tells_speed = state.record_time_ratio(ratio, now, now - elapsed_ms)
        # The cost model holds the times of a server of usual speed.
        usual_ms = elapsed_ms / load_factor / state.pace.factor
        if is_plain and self.speeds is not None:
            expected_ms = self.cost_model.expected(stage, state.server.accelerator, length)
            ratio = elapsed_ms / max(1.0, expected_ms * load_factor)
            learn = self.speeds.record if tells_speed else self.speeds.record_overdue
            learn(state.server, WorkType.PLAIN, ratio)
        if tells_speed:
            self.cost_model.record(stage, state.server.accelerator, length, usual_ms)

    def record_token_interval(self, choice: Choice, stage: Stage, interval_ms: float) -> None:
        """Update a server's load from the time between tokens of a running stream."""
        state = choice.state
        unloaded = self.cost_model.update_token_interval(
            stage, state.server.accelerator, interval_ms
        )
        state.record_load_factor(interval_ms / max(MIN_INTERVAL_MS, unloaded), self.clock.now())

    def cancel(self, choice: Choice) -> None:
        """Cancel a choice for which nothing was sent."""
        choice.state.end(self.clock.now())
        choice.state.breaker.abandon()

    def record_silence(self, choice: Choice, silent_ms: float) -> None:
        """Update a server's load and health from a call that ended since the server was silent.

        The time of such a call says nothing about the server's speed.
        """
        state, now = choice.state, self.clock.now()
        state.end(now)
        if state.breaker.fail(now, now - silent_ms, is_silent=True):
            self.metrics.count(Metric.EJECTED)
            log_message("server-silent", server=state.server.name, silent_ms=round(silent_ms))

    def mean_load_factor(self, choice: Choice, now: float) -> float:
        """Return the estimated mean load factor during a call that is about to end."""
        at_end = max(1.0, choice.state.load(now) / choice.state.server.slots)
        return (choice.load_factor + at_end) / 2.0

    def record_failure(
        self, choice: Choice, code: Code, elapsed_ms: float, stage: Stage, length: int
    ) -> None:
        """Update a server's load, health and speed from a call that failed."""
        state = choice.state
        now = self.clock.now()
        load_factor = self.mean_load_factor(choice, now)
        ratio = elapsed_ms / max(1.0, choice.unloaded_ms * load_factor)
        if code in {Code.DEADLINE_PASSED, Code.STAGE_STALLED}:
            accelerator = state.server.accelerator
            usual_ms = elapsed_ms / load_factor / state.pace.factor
            self.cost_model.record_timeout(stage, accelerator, length, usual_ms)
        if ratio > state.slowness_at(now):
            state.record_time_ratio(ratio, now, now - elapsed_ms)
        state.end(now)
        if code is Code.SERVER_REFUSED:
            state.mark_leaving(now)
            state.breaker.abandon()
            self.on_leaving(state.server.name)
        elif code is Code.MODEL_MISSING:
            state.record_missing_model(stage.model, now)
            state.breaker.abandon()
        elif code in {Code.CANCELLED, Code.DEADLINE_PASSED}:
            state.breaker.abandon()
        elif code is Code.CONNECT_FAILED:
            if self.record_unreachable(state, now - elapsed_ms):
                self.metrics.count(Metric.EJECTED)
        elif state.breaker.fail(now, now - elapsed_ms):
            self.metrics.count(Metric.EJECTED)
