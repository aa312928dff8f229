# forwardbasics.py -- A small catalogue that scenarios about forwarding share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A small catalogue that scenarios about forwarding share."""

from dataclasses import replace

import gevent

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

SECOND_MS = 1_000.0
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


def meeting(context, topic, datacentre=""):
    """Return an instance where the work of a topic meets, in a data centre or anywhere."""
    return next(
        one
        for one in context.fleet.instances.values()
        if one.settings.datacentre.startswith(datacentre) and one.fleet.coordinator(topic) is None
    )


def desk_of(instance):
    """Return what places prompts on an instance."""
    return instance.forwarder.context.picker.placer.coordinator


def serve(context, name, sent):
    """Send a request and keep how it ended: (status, body, code, class, error), and when."""
    context.arrived[sent.id] = sent.arrived
    try:
        serve_whole(context, name, sent)
    finally:
        context.ended_at[sent.id] = context.clock.now()


def serve_whole(context, name, sent):
    """Send a request, read its answer, and keep how it ended and how long it took to begin."""
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


def watch(context):
    """Note when each server is sent requests, and by which instance."""
    context.sent = []
    upstream = context.fleet.upstream
    plain_open, plain_pieces = upstream.open, upstream.run_pieces

    def open_(server, call, limit_ms):
        name = call.request.id.split("/")[0]
        context.sent.append((context.clock.now(), server.labels[ID_LABEL], 1, name))
        return plain_open(server, call, limit_ms)

    def run_pieces(server, pieces, limit_ms, heard):
        context.sent.append((context.clock.now(), server.labels[ID_LABEL], len(pieces), ""))
        return plain_pieces(server, pieces, limit_ms, heard)

    upstream.open, upstream.run_pieces = open_, run_pieces


def send_steadily(context, per_s, kind, ms, names=(), label="", fields=lambda n: {}):
    """Send requests at a steady rate, each at the next of some instances.

    Args:
        context: The scenario's.
        per_s: How many a second.
        kind: Their kind, one of PATHS.
        ms: For how long.
        names: The instances; without them all.
        label: What tells their ids from those of other series.
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


def most_within(times, span_ms):
    """Return how many of some times lie within any span of a length, at most."""
    return max((sum(at <= one < at + span_ms for one in times) for at in times), default=0)


class QuietDispatch:
    """Stands for the dispatch of stages; says nothing of services and keeps no results."""

    def announce(self, notice):
        pass

    def release(self, service, handles):
        pass

    def withdraw(self, submission):
        pass

    def wait_ms(self, service, urgency, gives_way=False):
        return 0.0

    def limits(self, service):
        return None


class AllWarm:
    """Stands for what limits cold servers; takes none to be cold."""

    def exhausted(self, servers, cold, topic):
        return frozenset()

    def cold(self, servers):
        return frozenset()

    def record_sent(self, server, requests=1):
        pass


class NoLimits:
    """Stands for what keeps to the limits of servers; none names one."""

    def waits_ms(self, servers, topic):
        return {}

    def record_sent(self, server, topic):
        pass
