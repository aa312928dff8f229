# forwardbasics.py -- A small catalogue, and helpers for scenarios about forwarding
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A small catalogue, and helpers for scenarios about forwarding."""

from dataclasses import replace

import gevent

from mountladder.admission.attemptkind import AttemptKind
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import MountladderError
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.serverrecord import ID_LABEL
from mountladder.forwarding.service import Service
from mountladder.forwarding.target import Target
from mountladder_standins.forwardfleet import ForwardFleet

SECOND_MS = 1_000.0
# After this time and so many requests an instance has as many retries as it can have.
RETRY_AGE_MS = 12_000.0
EARLIER_REQUESTS = 50
BATCH = BatchLimits(1, 2, 8, 150.0, 10.0, 100.0, 4_000.0)
PROMPT = Prompt(1_000, 30, (PromptPart("shared", 800), PromptPart("own", 200)))


def route(name, prefix, kind, service, **fields):
    return Route(
        name, "desk.x", prefix, kind, (Target(service, 1),), 2_000.0, 600.0, 200.0, 1, 2, **fields
    )


STAGES = (RouteStage("enc", (), 8_000.0), RouteStage("enc", (0,), 8_000.0))
ROUTES = (
    route("deep", "/push/deep/", RouteKind.UNSAFE, "desk"),
    route("push", "/push/", RouteKind.UNSAFE, "desk"),
    route("safe", "/safe/", RouteKind.SAFE, "desk"),
    route("open", "/open/", RouteKind.SAFE, "desk", public=True),
    route("stream", "/stream/", RouteKind.STREAM, "llm", prompts=True),
    route("resumable", "/resumable/", RouteKind.STREAM, "llm", prompts=True, resumable=True),
    route(
        "lasting",
        "/staged/lasting/",
        RouteKind.STREAM,
        "llm",
        prompts=True,
        resumable=True,
        stages=STAGES,
    ),
    route("staged", "/staged/", RouteKind.STREAM, "llm", prompts=True, stages=STAGES),
)
PATHS = {
    "safe": "/safe/1",
    "unsafe": "/push/1",
    "stream": "/stream/1",
    "resumable": "/resumable/1",
    "staged": "/staged/1",
    "lasting": "/staged/lasting/1",
}
# Kinds of requests that carry prompts.
PROMPT_KINDS = frozenset({"stream", "resumable", "staged", "lasting"})


def catalogue(version):
    routes = {"desk.x": ROUTES}
    services = {
        "desk": Service("desk", 100),
        "llm": Service("llm", 100, 8, 10_000),
        "enc": Service("enc", 100, batch=BATCH),
    }
    return Catalogue(version, routes, services, {"k": CallerTeam("desk")}, True)


def request(id_, path, arrived, host="desk.x", key="k", allowed_ms=3_000.0, **fields):
    prompt = PROMPT if path.startswith(("/stream", "/resumable", "/staged")) else None
    plain = ForwardRequest(
        id=id_,
        method="POST",
        host=host,
        target=path,
        path=path,
        headers=(),
        body=b"",
        key=key,
        arrived=arrived,
        allowed_ms=allowed_ms,
        prompt=prompt,
        pieces=(1, 1) if path.startswith("/staged") else (),
        piece_key=f"key of {id_}",
    )
    return replace(plain, **fields)


def start_two_instances(context, servers, timeout_ms, settle_ms):
    """Start two instances, with servers in a data centre of theirs and saved up retries.

    Args:
        context: The scenario's context.
        servers: The names of the servers, by service.
        timeout_ms: The timeout of all routes.
        settle_ms: How long the instances need to find each other and the servers.
    """
    fleet = context.fleet
    plain = catalogue(1)
    routes = {
        host: tuple(replace(one, timeout_ms=timeout_ms) for one in all_)
        for host, all_ in plain.routes.items()
    }
    fleet.configure(replace(plain, routes=routes))
    for name in ("a-1", "b-1"):
        fleet.start(name)
    for service, names in servers.items():
        for name in names:
            fleet.add_server(name, service, "a")
    context.run(context.clock.sleep, settle_ms)
    save_retries(context)


def save_retries(context):
    """Have the instances run for longer than the retry budget's window, and save up retries."""
    context.run(context.clock.sleep, RETRY_AGE_MS)
    for instance in context.fleet.instances.values():
        for service in catalogue(1).services:
            for _ in range(EARLIER_REQUESTS):
                instance.budgets.of_requests(service).earn()


def find_coordinator(context, topic, datacentre=""):
    """Return an instance that is the coordinator of a topic, in a data centre or anywhere."""
    return next(
        one
        for one in context.fleet.instances.values()
        if one.settings.datacentre.startswith(datacentre) and one.fleet.coordinator(topic) is None
    )


def placement_coordinator(instance):
    """Return the placement coordinator of an instance."""
    return instance.forwarder.context.picker.placer.coordinator


def fleets_with_and_without(context, switch):
    """Make a new fleet the context's, first with a setting on, then with it off, and yield it."""
    for is_on in (True, False):
        context.clock = clock = VirtualClock()
        context.fleet = fleet = ForwardFleet(clock)
        context.stack.callback(fleet.stop)
        context.run = lambda function, *args, at=clock: at.run(gevent.spawn(function, *args))
        fleet.switches[switch] = is_on
        yield fleet


def serve(context, name, sent):
    """Send a request; record its outcome (status, body, code, class, error), and when it ended."""
    context.arrived[sent.id] = sent.arrived
    try:
        send_and_record(context, name, sent)
    finally:
        context.ended_at[sent.id] = context.clock.now()


def send_and_record(context, name, sent):
    """Send a request and read its answer; record its outcome and the time to its first byte."""
    try:
        answer = context.fleet.send(name, sent)
    except MountladderError as error:
        context.ends[sent.id] = (0, b"", error.code.number, error.result.value, error)
        return
    context.took[sent.id] = context.clock.now() - sent.arrived
    body = answer.body if isinstance(answer.body, bytes) else b""
    try:
        if not isinstance(answer.body, bytes):
            for part in answer.body:
                body += part
    except MountladderError as error:
        context.ends[sent.id] = (answer.status, body, error.code.number, "broken", error)
        return
    context.ends[sent.id] = (answer.status, body, 0, "", None)


def record_sends(context):
    """Record when each server is sent requests, and by which instance."""
    context.sent = []
    upstream = context.fleet.upstream
    plain_open, plain_pieces = upstream.open, upstream.run_pieces

    def open_(server, call, limit_ms):
        name = call.request.id.split("/")[0]
        context.sent.append((context.clock.now(), server.labels[ID_LABEL], 1, name))
        return plain_open(server, call, limit_ms)

    def run_pieces(server, pieces, limit_ms, on_notices):
        context.sent.append((context.clock.now(), server.labels[ID_LABEL], len(pieces), ""))
        return plain_pieces(server, pieces, limit_ms, on_notices)

    upstream.open, upstream.run_pieces = open_, run_pieces


def send_steadily(context, per_s, kind, ms, names=(), label="", fields=lambda n: {}):
    """Send requests at a steady rate, to the instances in turn.

    Args:
        context: The scenario's context.
        per_s: Requests a second.
        kind: The kind of the requests, a key of PATHS.
        ms: How long to send, in milliseconds.
        names: The instances; all if empty.
        label: A prefix that makes the ids unique among several series.
        fields: Returns further fields of a request, by its number.
    """
    names = list(names or context.fleet.instances)

    def send_all():
        tasks = []
        for n in range(round(per_s * ms / SECOND_MS)):
            alive = [one for one in names if one in context.fleet.instances]
            name = alive[n % len(alive)]
            sent = request(f"{name}/{label}{n}", PATHS[kind], context.clock.now(), **fields(n))
            tasks.append(gevent.spawn(serve, context, name, sent))
            context.clock.sleep(SECOND_MS / per_s)
        gevent.joinall(tasks)

    context.run(send_all)


def max_within(times, span_ms):
    """Return the largest number of times within any span of a length."""
    return max((sum(at <= one < at + span_ms for one in times) for at in times), default=0)


class NullDispatch:
    """A dispatch of stages that announces no services and keeps no results."""

    def announce(self, notice):
        pass

    def release(self, service, handles):
        pass

    def withdraw(self, submission):
        pass

    def wait_ms(self, service, urgency, gives_way=False, attempt=AttemptKind.FIRST):
        return 0.0

    def limits(self, service):
        return None


class NoColdServers:
    """A limit for cold servers that considers no server cold."""

    def exhausted(self, servers, cold, topic):
        return frozenset()

    def cold(self, servers):
        return frozenset()

    def record_sent(self, server, requests=1):
        pass


class NoRooms:
    """Limits of fragile servers where no server is fragile."""

    def __init__(self):
        self.counts = []

    def running(self, name):
        return sum(count(name) for count in self.counts)

    def fragile(self, servers):
        return frozenset()

    def is_fragile(self, name):
        return False

    def full(self, servers, topic):
        return frozenset()

    def pause_ms(self, server):
        return 0.0

    def record_rejected(self, server, running):
        pass


class NoLimits:
    """Server limits where no server has announced one."""

    def __init__(self):
        self.rooms = NoRooms()

    def waits_ms(self, servers, topic):
        return {}

    def record_reserved(self, server, topic):
        pass
