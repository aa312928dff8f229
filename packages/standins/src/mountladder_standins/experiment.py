# experiment.py -- Simulation of a workload under a routing policy
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Simulation of a workload under a routing policy."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import random

import gevent

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.document import Document
from mountladder.configuration.model import Model
from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.stage import Stage
from mountladder.configuration.team import Team
from mountladder.routing.policy import Policy
from mountladder_standins.bound import attainment_bound
from mountladder_standins.experimentresult import ExperimentResult
from mountladder_standins.faults import Faults
from mountladder_standins.localfleet import LocalFleet
from mountladder_standins.outcome import Outcome
from mountladder_standins.sentrequest import SentRequest
from mountladder_standins.speeds import Speeds
from mountladder_standins.trafficclass import TrafficClass
from mountladder_standins.workload import Workload

INSTANCES = ("a-1", "a-2", "a-3")
DEADLINE_MS = 3_000.0
OLD_ACCELERATOR_FACTOR = 3.0
GENERATOR_SPEEDS = Speeds(slots=2, base_ms=20.0, per_kb_ms=8.0, token_ms=50.0)
PREPROCESSOR_SPEEDS = Speeds(slots=16, base_ms=6.0, per_kb_ms=1.0)
PRICE_NEW = 2.5
PRICE_OLD = 0.6
PREPROCESSING_STAGES = (("encode", "encode"), ("retrieve", "retrieve"), ("rerank", "rerank"))
SETTLE_MS = 12_000.0
WARM_UP_MS = 8_000.0
WINDOW_MS = 500.0


class Experiment:
    """Sends a workload to three instances on virtual time and measures the results.

    Args:
        workload: The workload.
        policy: The routing policy of the instances.
        seed: The seed of the times and kinds of the requests.
        **settings: Settings of the instances that differ from the defaults.
    """

    def __init__(self, workload: Workload, policy: Policy, seed: int, **settings: object) -> None:
        self.workload = workload
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.fleet = LocalFleet(self.clock)
        self.policy = policy
        self.settings = settings
        self.sent: list[SentRequest] = []
        self.numbers = itertools.count()
        self.started_at = 0.0

    def run(self) -> ExperimentResult:
        """Run the experiment and return its measurements."""
        try:
            self.clock.run(gevent.spawn(self.run_phases))
            return self.measure()
        finally:
            self.fleet.stop()

    def run_phases(self) -> None:
        """Warm up at the normal load, send the workload, and wait for the last answers."""
        self.fleet.change_configuration(self.documents())
        self.set_speeds()
        for name in INSTANCES:
            self.fleet.start(name, "a", self.policy, **self.settings)
        self.fleet.wait_ready()
        self.send_load(WARM_UP_MS, is_warm_up=True)
        self.started_at = self.clock.now()
        self.work_before = self.work_by_server()
        gevent.spawn(self.inject_faults)
        tasks = self.send_load(self.workload.load_ms, is_warm_up=False)
        gevent.joinall(tasks)
        self.clock.sleep(SETTLE_MS)

    def set_speeds(self) -> None:
        """Set the speed and the delay of load reports of every stand-in."""
        for name, standin in self.fleet.servers.items():
            base = GENERATOR_SPEEDS if name.startswith("generate") else PREPROCESSOR_SPEEDS
            factor = OLD_ACCELERATOR_FACTOR if name.endswith("old") else 1.0
            standin.speeds = dataclasses.replace(base, factor=factor)
            standin.report_lag_ms = self.workload.report_lag_ms

    def inject_faults(self) -> None:
        """Slow down or stop generators at the start of the burst, and restore them after it."""
        self.clock.sleep(self.workload.burst_start)
        names = [name for name in sorted(self.fleet.servers) if name.startswith("generate")]
        affected = names[: self.workload.slowed_generators + self.workload.lost_generators]
        for name in affected:
            fault = Faults(slowness=10.0) if self.workload.slowed_generators else Faults(down=True)
            self.fleet.servers[name].faults = fault
        self.clock.sleep(self.workload.burst_ms)
        for name in affected:
            self.fleet.servers[name].faults = Faults()

    def send_load(self, length_ms: float, is_warm_up: bool) -> list[gevent.Greenlet]:
        """Send requests with exponentially distributed gaps and return their tasks.

        Args:
            length_ms: How long requests are sent.
            is_warm_up: Whether this is the warm-up, at the normal load and without recording.
        """
        tasks = []
        capacity = self.capacity()
        started = self.clock.now()
        while (at := self.clock.now() - started) < length_ms:
            rate = self.workload.normal_load * capacity
            if not is_warm_up:
                rate = self.workload.rate(at, capacity)
            self.clock.sleep(self.rng.expovariate(rate / 1000.0))
            kind = self.workload.draw(0.0 if is_warm_up else at, self.rng)
            tasks.append(gevent.spawn(self.send, kind, is_warm_up))
        return tasks

    def send(self, kind: TrafficClass, is_warm_up: bool) -> None:
        """Send one request and, after the warm-up, record its outcome."""
        started = self.clock.now()
        input_ = {"n": next(self.numbers), "tokens": kind.tokens, "pad": "x" * kind.input_bytes}
        to = self.rng.choice(INSTANCES)
        task = self.fleet.spawn(to, kind.pipeline, kind.team, input_)
        task.join()
        if not is_warm_up:
            if not isinstance(task.value, Outcome):
                raise task.exception or RuntimeError("a request was lost")
            work = self.work_ms(kind)
            self.sent.append(SentRequest(kind, started - self.started_at, work, task.value))

    def work_ms(self, kind: TrafficClass) -> float:
        """Return the time that a request takes alone on a new generator, in milliseconds."""
        size = GENERATOR_SPEEDS.per_kb_ms * kind.input_bytes / 1000.0
        return GENERATOR_SPEEDS.base_ms + size + GENERATOR_SPEEDS.token_ms * kind.tokens

    def capacity(self) -> float:
        """Return how many requests a second the generators can finish."""
        total = sum(one.share for one in self.workload.classes)
        mean = sum(one.share * self.work_ms(one) for one in self.workload.classes) / total
        return self.speed() * 1000.0 / mean

    def speed(self) -> float:
        """Return the total speed of the generators, in concurrent calls of a new one."""
        factors = [
            OLD_ACCELERATOR_FACTOR if index % 2 else 1.0
            for index in range(self.workload.generators)
        ]
        return sum(GENERATOR_SPEEDS.slots / factor for factor in factors)

    def work_by_server(self) -> dict[str, float]:
        """Return the work done by each server, in milliseconds of calls that run alone."""
        return {name: one.busy_ms for name, one in self.fleet.servers.items()}

    def measure(self) -> ExperimentResult:
        """Compute the measurements."""
        spent = {name: ms - self.work_before[name] for name, ms in self.work_by_server().items()}
        in_time = [one for one in self.sent if one.in_time(DEADLINE_MS)]
        generated = sum(
            ms / (OLD_ACCELERATOR_FACTOR if name.endswith("old") else 1.0)
            for name, ms in spent.items()
            if name.startswith("generate")
        )
        useful = sum(one.work_ms for one in in_time)
        others = [one for one in self.sent if one.traffic_class.team != self.workload.flooding_team]
        cost = sum(ms / 1000.0 * self.price(name) for name, ms in spent.items())
        return ExperimentResult(
            sent=len(self.sent),
            attainment=len(in_time) / len(self.sent),
            bound=attainment_bound(self.sent, self.workload, self.speed(), DEADLINE_MS),
            others_attainment=sum(one.in_time(DEADLINE_MS) for one in others) / len(others),
            cost=cost / max(1, len(in_time)),
            wasted_fraction=max(0.0, 1.0 - useful / generated),
            useful_fraction=self.useful_fraction_in_burst(in_time),
            recovery_ms=self.recovery_ms(),
        )

    def price(self, name: str) -> float:
        """Return the price of one second of a server's work."""
        if not name.startswith("generate"):
            return 0.2
        return PRICE_OLD if name.endswith("old") else PRICE_NEW

    def useful_fraction_in_burst(self, in_time: list[SentRequest]) -> float:
        """Return the work of requests answered in time during the burst, over its capacity.

        It is 1 if the burst does not exceed the capacity.
        """
        if self.workload.burst_load <= 1.0:
            return 1.0
        start = self.workload.burst_start
        end = start + self.workload.burst_ms
        done = sum(one.work_ms for one in in_time if start <= one.ended_ms < end)
        return done / (self.workload.burst_ms * self.speed())

    def recovery_ms(self) -> float:
        """Return how long after the burst attainment stayed below its value before the burst.

        It counts as recovered within 0.05 of that value, in windows of WINDOW_MS.
        """
        before = [one for one in self.sent if one.at_ms < self.workload.burst_start]
        normal = sum(one.in_time(DEADLINE_MS) for one in before) / max(1, len(before))
        end = self.workload.burst_start + self.workload.burst_ms
        recovered = end
        start = end
        while start < self.workload.load_ms:
            window = [one for one in self.sent if start <= one.at_ms < start + WINDOW_MS]
            reached = sum(one.in_time(DEADLINE_MS) for one in window)
            if window and reached / len(window) < normal - 0.05:
                recovered = start + WINDOW_MS
            start += WINDOW_MS
        return recovered - end

    def documents(self) -> list[Document]:
        """Return the documents of the configuration: model, teams, pipelines and servers."""
        documents: list[Document] = [Model("m", {}, "1", (), "", 0)]
        for name in sorted({one.team for one in self.workload.classes}):
            token = hashlib.sha256(name.encode()).hexdigest()
            kinds = [one for one in self.workload.classes if one.team == name]
            share = sum(one.share * self.work_ms(one) for one in kinds)
            documents.append(Team(name, {}, token, share, 0, ""))
        for name, urgency in (("short", 0), ("long", 1)):
            stages = [*PREPROCESSING_STAGES, ("generate", "generate")]
            documents.append(Pipeline(name, {}, DEADLINE_MS, tuple(_stages(stages)), urgency))
        for role, count in (("encode", 3), ("retrieve", 3), ("rerank", 3)):
            documents += [
                _server(f"{role}-{one}-new", role, PREPROCESSOR_SPEEDS.slots, 0.2)
                for one in range(count)
            ]
        for one in range(self.workload.generators):
            age = "old" if one % 2 else "new"
            price = PRICE_OLD if one % 2 else PRICE_NEW
            documents.append(
                _server(f"generate-{one}-{age}", "generate", GENERATOR_SPEEDS.slots, price)
            )
        return documents


def _stages(stages) -> list[Stage]:
    previous: tuple[str, ...] = ()
    built = []
    for name, work in stages:
        stream = work == "generate"
        built.append(Stage(name, work, "m", f"role = {work}", previous, True, stream, 0.0))
        previous = (name,)
    return built


def _server(name: str, role: str, slots: int, price: float) -> BackendServer:
    age = name.rpartition("-")[2]
    return BackendServer(name, {"role": role}, "engine", name, "a", age, price, slots, False, ())
