# recovery.py -- Time without service after each fault, and the effect of store faults on requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Time without service after each fault, and the effect of store faults on requests."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from pathlib import Path

import gevent

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.documents import parse_documents
from mountladder_standins.faults import Faults
from mountladder_standins.localfleet import LocalFleet
from outcomes import Figure

sys.path.insert(0, str(Path(__file__).parents[1] / "features"))
from basics import BASE, SERVERS, TOKEN

INTERVAL_MS = 25.0
BEFORE_MS = 4_000.0
AFTER_MS = 12_000.0
INSTANCES = ("a-1", "a-2", "b-1", "b-2")
OUTAGE = Faults(down=True)


def measure() -> list[Figure]:
    figures = []
    for name, inject in FAULTS.items():
        run = Run(inject)
        figures.append(
            Figure(
                f"{name}: longest time without a whole answer", run.longest_gap(), "ms", most=3_000
            )
        )
        figures.append(
            Figure(
                f"{name}: requests answered whole", run.served_fraction("reply"), "share", least=0.9
            )
        )
    for name, issued in (("keys of the caller's own", False), ("issued keys", True)):
        run = Run(store_down, issued)
        least = 0.99 if issued else None
        figures.append(
            Figure(
                f"store down: non-idempotent served, {name}",
                run.served_fraction("push"),
                "share",
                least=least,
            )
        )
    run = Run(link_down)
    figures.append(
        Figure(
            "one data centre cut off from the platform: non-idempotent served",
            run.served_fraction("push"),
            "share",
            least=0.95,
        )
    )
    figures += writes()
    return figures


class Run:
    """Sends a request every 25 ms to the ready instances in turn; a fault occurs after 4 s.

    Args:
        inject: Injects the fault into the fleet.
        issued: Whether non-idempotent requests use keys that an instance issued.
        push_every: One of this many requests is non-idempotent.

    Attributes:
        rows: The pipeline, start, end and result of each request.
    """

    def __init__(
        self, inject: Callable[[LocalFleet], None], issued: bool = False, push_every: int = 4
    ) -> None:
        self.clock = VirtualClock()
        self.fleet = LocalFleet(self.clock)
        self.rng = random.Random(1)
        self.inject = inject
        self.issued = issued
        self.push_every = push_every
        self.rows: list[tuple[str, float, float, str]] = []
        try:
            self.clock.run(gevent.spawn(self.work))
        finally:
            self.fleet.stop()

    def work(self) -> None:
        self.fleet.change_configuration([*parse_documents(BASE, "base"), *SERVERS])
        for name in INSTANCES:
            self.fleet.start(name, name[0])
        self.instances = list(self.fleet.runtimes.values())
        self.fleet.wait_ready()
        self.clock.sleep(6_000.0)
        self.broken_at = self.clock.now() + BEFORE_MS
        gevent.spawn(self.inject_later)
        tasks = []
        for number in range(int((BEFORE_MS + AFTER_MS) / INTERVAL_MS)):
            tasks.append(gevent.spawn(self.send, number))
            self.clock.sleep(INTERVAL_MS)
        gevent.joinall(tasks)

    def inject_later(self) -> None:
        self.clock.sleep(BEFORE_MS)
        self.inject(self.fleet)

    def send(self, number: int) -> None:
        pipeline = "push" if number % self.push_every == 0 else "reply"
        names = sorted(name for name, one in self.fleet.runtimes.items() if one.ready)
        to = names[number % len(names)]
        key = ""
        if pipeline == "push":
            key = f"k-{number}"
            if self.issued:
                key = self.fleet.runtimes[to].idempotency.issue("desk")
        started = self.clock.now()
        task = self.fleet.spawn(
            to, pipeline, TOKEN, {"n": number, "tokens": 4}, key=key, first=True
        )
        task.join()
        result = getattr(task.value, "result", "died")
        self.rows.append((pipeline, started, self.clock.now(), result))

    def served_fraction(self, pipeline: str) -> float:
        after = [row for row in self.rows if row[0] == pipeline and row[1] >= self.broken_at]
        return sum(row[3] == "done" for row in after) / len(after)

    def longest_gap(self) -> float:
        ends = sorted(row[2] for row in self.rows if row[3] == "done" and row[0] == "reply")
        late = [end for end in ends if end >= self.broken_at - INTERVAL_MS * 4]
        return max(second - first for first, second in zip(late, late[1:]))


def store_down(fleet: LocalFleet) -> None:
    fleet.standin.set_faults(OUTAGE)


def store_slow(fleet: LocalFleet) -> None:
    fleet.standin.set_faults(Faults(slow_ms=1_500.0))


def link_down(fleet: LocalFleet) -> None:
    fleet.set_platform_faults("b-1", OUTAGE)
    fleet.set_platform_faults("b-2", OUTAGE)


def datacentres_cut(fleet: LocalFleet) -> None:
    fleet.network.cut_datacentres.add(frozenset({"a", "b"}))


def instance_crashes(fleet: LocalFleet) -> None:
    fleet.kill("a-1")


def server_crashes(fleet: LocalFleet) -> None:
    fleet.servers["large-1"].faults = OUTAGE


def server_stalls(fleet: LocalFleet) -> None:
    fleet.servers["large-1"].faults = Faults(stall=True)


def server_leaves(fleet: LocalFleet) -> None:
    fleet.servers["large-1"].faults = Faults(draining=True)


FAULTS = {
    "nothing": lambda fleet: None,
    "store down": store_down,
    "store slow by 1.5 s": store_slow,
    "one data centre cut off from the platform": link_down,
    "data centres cut off from each other": datacentres_cut,
    "instance dies": instance_crashes,
    "engine dies": server_crashes,
    "engine stalls": server_stalls,
    "engine leaves": server_leaves,
}


NEVER = 10**9


def writes() -> list[Figure]:
    """Claim rows written per request; request 0 is always a non-idempotent one."""
    figures = []
    for name, push_every, most in (("idempotent", NEVER, 0.02), ("non-idempotent", 1, 2.01)):
        run = Run(lambda fleet: None, push_every=push_every)
        claims = sum(one.idempotency.commits.commits.rows for one in run.instances)
        rows = claims / len(run.rows)
        figures.append(
            Figure(f"claim rows written for each {name} request", rows, "rows", most=most)
        )
    return figures
