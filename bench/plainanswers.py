# plainanswers.py -- Cost of a plain answer by what shows its end: a length, chunks, the connection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Cost of a plain answer by what shows its end: a length, chunks or the connection's end."""

from __future__ import annotations

import statistics
import sys
import time
from collections import defaultdict
from contextlib import ExitStack
from pathlib import Path

from gevent.pywsgi import WSGIServer
from mountladder_platform.ingress import Ingress

from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.serverrecord import listed_server
from mountladder.membership.listener import listening_socket
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog
from outcomes import Figure
from plaintraffic import END, FRAMINGS, LENGTH, PlainTraffic

sys.path.insert(0, str(Path(__file__).parents[1] / "features"))
from loopbackinstance import LoopbackInstance

CALLERS = 8
REQUESTS = 100
SINGLE_REQUESTS = 200
CHECKS = 200
ROUNDS = 9
# The size of two years, as docs/CAPACITY.md states it.
INSTANCES = 390
SERVERS = 2_100
REQUESTS_PER_S = 7_200
# What an instance may spend on control, in milliseconds of processor time a second.
CONTROL_MS_PER_S = 19.0
STOP_S = 0.1


class MeasuredInstance(LoopbackInstance):
    """An instance whose servers and callers are in another process, so that only it is measured."""

    def __init__(self, stack: ExitStack, traffic: PlainTraffic) -> None:
        self.traffic = traffic
        self.unused_ports = iter(traffic.ports)
        super().__init__(stack, "answer")

    def start_server(self) -> int:
        return next(self.unused_ports)

    def start_ingress(self) -> int:
        limits = CallerLimits()
        web = WSGIServer(
            listening_socket("127.0.0.1:0"),
            Ingress(self.instance.forwarder, lambda: limits, self.clock),
            log=None,
            error_log=WebErrorLog(),
            handler_class=type("Handler", (CallerConnection,), {"account": self.account}),
        )
        web.start()
        self.stack.callback(web.stop, STOP_S)
        return web.server_port

    def measure(self, framing: str, callers: int, requests: int) -> dict[str, object]:
        """Return what the callers counted, and the processor time a request as processor_us."""
        started = time.process_time()
        counted = self.traffic.call(self.address[1], framing, callers, requests)
        spent = time.process_time() - started
        number = callers * requests
        return {
            **counted,
            "accepted": counted["accepted"] / number,
            "processor_us": spent * 1e6 / number,
        }

    def check_us(self) -> float:
        """Return the processor time of a check whether a server still listens."""
        address = f"127.0.0.1:{self.traffic.ports[0]}"
        server = listed_server("i-1", "desk", address, "a", 8, False)
        started = time.process_time()
        for _ in range(CHECKS):
            self.fleet.upstream.refuses(server)
        return (time.process_time() - started) * 1e6 / CHECKS


def measure() -> list[Figure]:
    with ExitStack() as stack:
        instance = MeasuredInstance(stack, PlainTraffic(stack))
        busy, single = defaultdict(list), defaultdict(list)
        for framing in FRAMINGS:
            instance.measure(framing, CALLERS, REQUESTS)
        for _ in range(ROUNDS):
            for framing in FRAMINGS:
                busy[framing].append(instance.measure(framing, CALLERS, REQUESTS))
                single[framing].append(instance.measure(framing, 1, SINGLE_REQUESTS))
        check_us = statistics.median(instance.check_us() for _ in range(ROUNDS))
    processor_us = {name: median(rounds, "processor_us") for name, rounds in busy.items()}
    accepted = {name: median(rounds, "accepted") for name, rounds in busy.items()}
    latency_ms = {name: median(rounds, "median_ms") for name, rounds in single.items()}
    failures = [
        (framing, *failure)
        for rounds in (busy, single)
        for framing, counted in rounds.items()
        for one in counted
        for failure in one["failures"]
    ]
    for framing, status, size in failures:
        print(f"  {framing}: status {status} with {size} bytes", flush=True)
    figures = []
    for framing in FRAMINGS:
        end = f"end shown by {'the connection' if framing == END else framing}"
        figures += [
            Figure(f"processor time of the instance, {end}", processor_us[framing], "us"),
            Figure(f"latency, one caller, {end}", latency_ms[framing], "ms"),
            Figure(f"connections to servers a request, {end}", accepted[framing], "connections"),
        ]
    added_ms = (processor_us[END] - processor_us[LENGTH]) / 1_000.0
    of_instance = added_ms * REQUESTS_PER_S / INSTANCES
    connections = accepted[END] * REQUESTS_PER_S / SERVERS
    return [
        *figures,
        Figure("processor time of a check whether a server listens", check_us, "us"),
        Figure("latency added without a length", latency_ms[END] - latency_ms[LENGTH], "ms"),
        Figure(
            f"added at {REQUESTS_PER_S} requests/s, {INSTANCES} instances, none with a length",
            of_instance,
            "ms/s",
            most=CONTROL_MS_PER_S,
        ),
        Figure(f"connections to each of {SERVERS} servers, the same", connections, "1/s"),
        Figure("requests without a complete success", len(failures), "requests", most=0),
    ]


def median(rounds: list[dict[str, object]], name: str) -> float:
    return statistics.median(one[name] for one in rounds)
