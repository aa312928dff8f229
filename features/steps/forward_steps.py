# forward_steps.py -- Steps about forwarding requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about forwarding requests."""

from dataclasses import replace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, catalogue, request, save_retries, serve

from mountladder.forwarding.eventsequence import EventSequence
from mountladder.forwarding.streamrun import StreamRun
from mountladder_entry.callergone import CallerGoneError
from mountladder_standins.serverfault import ServerFault

SETTLE_MS = 700.0


@given("a forwarding fleet of instances {names}")
def fleet(context, names):
    context.fleet.configure(catalogue(1))
    for name in names.split(", "):
        context.fleet.start(name)


@given("servers {first}, {second} of service {one} and {third}, {fourth} of service {two}")
def servers(context, first, second, one, third, fourth, two):
    for name, service, datacentre in (
        (first, one, "a"),
        (second, one, "b"),
        (third, two, "a"),
        (fourth, two, "b"),
    ):
        context.fleet.add_server(name, service, datacentre)
    context.run(context.clock.sleep, SETTLE_MS)


@given("the instances have received requests before")
def requests_before(context):
    save_retries(context)


@given("stage servers {first}, {second} of service {service}")
def stage_servers(context, first, second, service):
    context.fleet.add_server(first, service, "a")
    context.fleet.add_server(second, service, "b")
    context.run(context.clock.sleep, SETTLE_MS)


@given('every server has fault "{fault}"')
def every_fault(context, fault):
    for name in ("desk-1", "desk-2", "llm-1", "llm-2"):
        context.fleet.upstream.faults[name] = ServerFault(fault)


@given('server {name} has fault "{fault}"')
def one_fault(context, name, fault):
    context.fleet.upstream.faults[name] = ServerFault(fault)


@given("the store is down")
@when("the store is down")
def store_down(context):
    context.fleet.catalogue.down = context.fleet.servers.down = True


@given("the store is up again")
@when("the store is up again")
def store_up(context):
    context.fleet.catalogue.down = context.fleet.servers.down = False


@given("instance {name} is cut off from its peers")
def cut_off(context, name):
    for other in context.fleet.instances:
        if other != name:
            context.fleet.network.cut_instances.add(frozenset({name, other}))


@when("{ms:d} ms go by")
def go_by(context, ms):
    context.run(context.clock.sleep, float(ms))


@when('the first server that {kind} request r reaches has fault "{fault}"')
def fault_at_first(context, fault, kind):
    """Send a request; the server that gets its first attempt has the fault, whichever it is."""
    upstream = context.fleet.upstream
    original = upstream.open

    def open_(server, call, limit_ms):
        first = not upstream.arrivals[call.request.id]
        upstream.faults = {server.name: ServerFault(fault)} if first else {}
        return original(server, call, limit_ms)

    upstream.open = open_
    context.run(serve, context, "a-1", request("r", PATHS[kind], context.clock.now()))


@when("{kind} request r is sent to {name}")
def one_request(context, kind, name):
    context.sent_at = context.clock.now()
    context.run(serve, context, name, request("r", PATHS[kind], context.clock.now()))


@when('a request to "{host}" "{path}" with key "{key}" is sent to {name}')
def to_path(context, host, path, key, name):
    context.run(serve, context, name, request("r", path, context.clock.now(), host, key))


@when('a request to "{host}" "{path}" with key "" is sent to {name}')
def without_key(context, host, path, name):
    context.run(serve, context, name, request("r", path, context.clock.now(), host, ""))


@when("the caller of stream request r to {name} leaves after {ms:d} ms")
def caller_leaves(context, name, ms):
    def leave():
        sent = request("r", PATHS["stream"], context.clock.now())
        task = gevent.spawn(serve, context, name, sent)
        context.clock.sleep(float(ms))
        task.kill(CallerGoneError())

    context.run(leave)


@when("{number:d} {kind} requests are sent to each instance within {ms:d} ms")
def many(context, number, kind, ms):
    def send_all(name):
        tasks = []
        for n in range(number):
            sent = request(f"{name}-{n}", PATHS[kind], context.clock.now())
            tasks.append(gevent.spawn(serve, context, name, sent))
            context.clock.sleep(ms / number)
        gevent.joinall(tasks)

    context.run(
        lambda: gevent.joinall([gevent.spawn(send_all, n) for n in context.fleet.instances])
    )


@then("request r ends with status {status:d}")
def ends_with(context, status):
    found, _, code, _, error = context.ends["r"]
    assert (found, code) == (status, 0), (found, code, error)


@then("request r ends with code {code:d} as {class_}")
def ends_with_code(context, code, class_):
    assert context.ends["r"][2:4] == (code, class_), context.ends["r"]


@then("it was run by {runs:d} servers and sent to {sent:d}")
def run_and_sent(context, runs, sent):
    upstream = context.fleet.upstream
    assert len(upstream.runs["r"]) == runs, upstream.runs["r"]
    assert len(upstream.arrivals["r"]) == sent, upstream.arrivals["r"]
    assert len(set(upstream.arrivals["r"])) == sent


@then("it was run by {runs:d} servers")
def run_by(context, runs):
    assert len(context.fleet.upstream.runs["r"]) == runs, context.fleet.upstream.runs["r"]


def events(first, last):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


@then("its body is events {first:d} to {last:d}")
def body_is(context, first, last):
    assert context.ends["r"][1] == events(first, last), context.ends["r"]


@then("the body of request r breaks after events {first:d} to {last:d}")
def body_breaks(context, first, last):
    _, body, _, how, _ = context.ends["r"]
    assert (body, how) == (events(first, last), "broken"), context.ends["r"]


@then("its answer was closed and no server counts it as running")
def closed(context):
    assert [one.closed for one in context.fleet.upstream.answers] == [True]
    for instance in context.fleet.instances.values():
        assert all(state.running == 0 for state in instance.router.states.values())
    assert "r" not in context.ends


@then(
    "services got at most {ratio:g} x {requests:d} + {reserve:d} arrivals beyond the first of "
    "each request"
)
def within_budget(context, ratio, requests, reserve):
    arrivals = context.fleet.upstream.arrivals
    assert len(context.ends) == requests
    repeats = sum(len(servers) - 1 for servers in arrivals.values())
    assert 0 < repeats <= ratio * requests + reserve, repeats


@then("it went by route {name}")
def by_route(context, name):
    run = context.fleet.instances["a-1"].forwarder.admit(
        request("again", "/push/deep/1", context.clock.now())
    )
    assert run.route.name == name
    assert not isinstance(run, StreamRun)


@when("instance {name} starts alone")
def starts_alone(context, name):
    for other in context.fleet.instances:
        context.fleet.network.cut_instances.add(frozenset({name, other}))
    context.fleet.start(name)
    context.run(context.clock.sleep, SETTLE_MS)


@when("instance {name} starts again")
def starts_again(context, name):
    context.fleet.instances[name].close()
    context.fleet.start(name)


@then("the balancer finds {name} unready")
def not_ready(context, name):
    assert not context.fleet.instances[name].ready


@then("the balancer finds {name} ready with catalogue version {version:d}")
def ready_with(context, name, version):
    instance = context.fleet.instances[name]
    assert instance.ready
    assert instance.follower.version == version


@given("instance {name} has been leaving for {ms:d} ms")
def has_been_leaving(context, name, ms):
    context.run(context.fleet.instances[name].leave)
    context.run(context.clock.sleep, float(ms))


@given("the retry budget is spent")
def budget_spent(context):
    instance = context.fleet.instances["a-1"]
    instance.apply_settings(replace(instance.settings, retry_ratio=0.0, retry_reserve=0.0))


@when("{number:d} events come byte by byte")
def byte_by_byte(context, number):
    context.splitter = EventSequence()
    data = events(1, number) + b"id: 6\ndata: cu"
    context.forwarded = [context.splitter.feed(data[n : n + 1]) for n in range(len(data))]


@then("only whole events are forwarded and the last id is {last:d}")
def only_whole(context, last):
    forwarded = [one for one in context.forwarded if one]
    assert forwarded == [events(n, n) for n in range(1, last + 1)], forwarded
    assert context.splitter.last_id == str(last)
    assert context.splitter.incomplete == b"id: 6\ndata: cu"


@then("of the {accepts:d} connections that {server} accepts they keep {minimum:d} to {maximum:d}")
def connections_open(context, accepts, server, minimum, maximum):
    open_connections = 0
    for instance in context.fleet.instances.values():
        listed = instance.directory.find(server)
        assert instance.follower.service("desk").max_connections == accepts
        open_connections += instance.connections.of(listed)
    assert minimum <= open_connections <= maximum, open_connections
