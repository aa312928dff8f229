# relay.py -- Overhead of an instance over a bare relay: processor time per chunk, latency, memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Overhead of an instance over a bare relay: processor time per chunk, latency, memory."""

from __future__ import annotations

import dataclasses
import gc
import json
import random
import resource
import statistics
import time
from contextlib import ExitStack

import bottle
import gevent
import urllib3

from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.documents import parse_documents
from mountladder_cli import porcelain
from mountladder_cli.demofleet import DemoFleet
from mountladder_standins.listening import listen
from mountladder_standins.speeds import Speeds
from outcomes import Figure

TOKENS = 1_500
ROUNDS = 7
STREAMS = 100
FAST = Speeds(slots=10_000, base_ms=0.0, per_kb_ms=0.0, token_ms=0.0)
TOKEN = "token"
CONFIG = """
[[model]]
name = "m"
[[team]]
name = "t"
token_sha256 = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"
[[pipeline]]
name = "four"
deadline_ms = 60000
""" + "".join(
    f'[[pipeline.stage]]\nname = "{name}"\nwork = "{name}"\nmodel = "m"\n'
    + ("stream = true\n" if name == "generate" else "")
    for name in ("encode", "retrieve", "rerank", "generate")
)
SERVER = '[[server]]\nname = "s{0}"\naddress = "127.0.0.1:1"\ndatacentre = "a"\nslots = 1000\n'


def events(count):
    for number in range(1, count + 1):
        yield b'id: %d\ndata: "token-%d "\n\n' % (number, number)
    yield b'event: done\ndata: {"tokens":%d}\n\n' % count


def engine_app():
    """A server that answers without delay: JSON, or a stream with the requested tokens."""
    app = bottle.Bottle()

    @app.post("/v1/<work>")
    def call(work):
        body = json.loads(bottle.request.body.read())
        bottle.response.set_header("X-Attempt", bottle.request.get_header("X-Attempt", ""))
        if work != "generate":
            bottle.response.content_type = "application/json"
            return b'{"of":1}'
        bottle.response.content_type = "text/event-stream"
        return paced(body["input"])

    return app


def paced(input_):
    for event in events(input_["tokens"]):
        yield event
        if input_.get("wait"):
            gevent.sleep(input_["wait"])


def relay_app(addresses):
    """A relay that forwards each request to a random server and does nothing else."""
    app = bottle.Bottle()
    pool = urllib3.PoolManager(maxsize=64, retries=False)

    @app.post("/v1/<work>")
    def call(work):
        url = f"http://{random.choice(addresses)}/v1/{work}"
        body = bottle.request.body.read()
        response = pool.request("POST", url, body=body, preload_content=False)
        bottle.response.content_type = response.headers["Content-Type"]
        return response.stream(65_536)

    return app


def drain(url, body, headers=None):
    pool = urllib3.PoolManager(retries=False)
    response = pool.request("POST", url, body=body, headers=headers, preload_content=False)
    size = 0
    for data in response.stream(65_536):
        size += len(data)
    pool.clear()
    return size


def processor_ms(function):
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1000.0


def start_fleet(stack, addresses):
    fleet = DemoFleet(SystemClock(), stack, [("a", 1)])
    text = CONFIG + "".join(SERVER.format(one) for one in range(len(addresses)))
    documents = parse_documents(text, "bench")
    unused = iter(addresses)
    addressed = [
        dataclasses.replace(one, address=next(unused)) if one.kind == "server" else one
        for one in documents
    ]
    porcelain.apply(fleet.platform, fleet.clock, "bench", addressed)
    fleet.wait_ready()
    while not fleet.nodes[0].follower.configuration.revision:
        gevent.sleep(0.01)
    return fleet


def measure() -> list[Figure]:
    with ExitStack() as stack:
        addresses = [listen(engine_app(), "127.0.0.1:0", stack) for _ in range(2)]
        relay = listen(relay_app(addresses), "127.0.0.1:0", stack)
        fleet = start_fleet(stack, addresses)
        instance_url = f"http://{fleet.nodes[0].settings.web}/v1/pipelines/four"
        headers = {"Authorization": f"Bearer {TOKEN}", "Accept": "text/event-stream"}
        figures = chunk_cost(addresses[0], relay, instance_url, headers)
        figures += latency(addresses[0], instance_url, headers)
        figures += memory_per_stream(instance_url, headers, fleet)
    return figures


def drain_cost(target, body):
    url, headers = target
    return processor_ms(lambda: drain(url, body, headers))


def chunk_cost(engine, relay, instance_url, headers) -> list[Figure]:
    """Processor time per chunk of calls: direct, through the relay and through an instance.

    The times include the client and the server.
    """
    few = json.dumps({"input": {"tokens": 1}})
    many = json.dumps({"input": {"tokens": TOKENS}})
    costs = {"direct": [], "relay": [], "instance": []}
    targets = {
        "direct": (f"http://{engine}/v1/generate", None),
        "relay": (f"http://{relay}/v1/generate", None),
        "instance": (instance_url, headers),
    }
    for _ in range(ROUNDS):
        for name, target in targets.items():
            base = drain_cost(target, few)
            costs[name].append((drain_cost(target, many) - base) / TOKENS)
    direct, bare, through_instance = (statistics.median(costs[name]) * 1000 for name in targets)
    return [
        Figure("processor time a chunk, directly", direct, "us"),
        Figure("processor time a chunk, bare relay", bare, "us"),
        Figure("processor time a chunk, mountladder", through_instance, "us"),
        Figure(
            "mountladder over bare relay, all processes", through_instance / bare, "ratio", most=1.5
        ),
    ]


def latency(engine, instance_url, headers) -> list[Figure]:
    """Latency of four stages: called directly, and through an instance."""
    body = json.dumps({"input": {"tokens": 1}})
    pool = urllib3.PoolManager(retries=False)

    def directly():
        for work in ("encode", "retrieve", "rerank", "generate"):
            pool.request("POST", f"http://{engine}/v1/{work}", body=body)

    def through():
        pool.request("POST", instance_url, body=body, headers=headers)

    direct, through_instance = [], []
    for _ in range(150):
        direct.append(timed(directly))
        through_instance.append(timed(through))
    direct_ms, through_ms = statistics.median(direct), statistics.median(through_instance)
    number = 400
    started = time.perf_counter()
    processor = processor_ms(lambda: [through() for _ in range(number)])
    rate = number / (time.perf_counter() - started)
    return [
        Figure("four stages called directly, median", direct_ms, "ms"),
        Figure("four stages through an instance, median", through_ms, "ms"),
        Figure("through an instance over directly", through_ms / direct_ms, "ratio", most=3.0),
        Figure("processor time a request, client and servers included", processor / number, "ms"),
        Figure("requests a second on one core, client and servers included", rate, "1/s"),
    ]


def timed(function):
    started = time.perf_counter()
    function()
    return (time.perf_counter() - started) * 1000.0


def memory_per_stream(instance_url, headers, fleet) -> list[Figure]:
    """Resident memory of the process when idle, and per stream in flight."""
    gc.collect()
    idle = resident_mb()
    body = json.dumps({"input": {"tokens": 40, "wait": 0.05}})
    tasks = [gevent.spawn(drain, instance_url, body, headers) for _ in range(STREAMS)]
    while fleet.nodes[0].admission.total < STREAMS:
        gevent.sleep(0.01)
    busy = resident_mb()
    gevent.joinall(tasks, raise_error=True)
    return [
        Figure("memory idle, stand-ins included", idle, "MB", most=256),
        Figure(
            "memory a stream in flight, client and server included",
            (busy - idle) / STREAMS,
            "MB",
            most=1.0,
        ),
    ]


def resident_mb() -> float:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1e6
