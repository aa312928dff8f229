# drain_steps.py -- Steps about drained data centres
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about drained data centres."""

from collections import OrderedDict
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, PROMPT, find_coordinator, placement_coordinator, request, serve
from mountladder_platform.platforminstance import LINK_SETUP_MS

from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.ranking import prompts_topic
from mountladder_standins.forwardfleet import DRAIN

POLL_MS = 1.0


def in_datacentre(context, datacentre):
    """Return the names of the servers in a data centre."""
    instance = next(iter(context.fleet.instances.values()))
    records = instance.directory.records.values()
    servers = [one.server for one in records if one.server is not None]
    return {one.name for one in servers if one.datacentre == datacentre}


def drained(context, datacentre):
    instances = context.fleet.instances
    return {n for n, one in instances.items() if one.directory.drains.is_drained(datacentre)}


@when("data centre {datacentre:w} is drained")
def drain(context, datacentre):
    context.fleet.drain(datacentre)


@when("data centre {datacentre:w} is undrained")
def undrain(context, datacentre):
    context.fleet.undrain(datacentre)


@then("every request was answered")
def all_answered(context):
    lost = {id_: end for id_, end in context.ends.items() if end[0] != 200 or end[2]}
    assert context.ends and not lost, lost


@then("nothing was sent to the servers of data centre {datacentre:w}")
def none_there(context, datacentre):
    there = in_datacentre(context, datacentre)
    arrivals = context.fleet.upstream.arrivals
    assert there and arrivals
    sent = {id_ for id_, servers in arrivals.items() if there & set(servers)}
    calls = [one.server for one in context.fleet.upstream.piece_calls if one.server in there]
    assert not sent and not calls, (sent, calls)


@when(
    "data centre {datacentre:w} is drained {ms:d} ms after {number:d} {kind} requests came to each "
    "instance"
)
def drained_meanwhile(context, datacentre, ms, number, kind):
    def send():
        tasks = []
        for name in context.fleet.instances:
            for n in range(number):
                sent = request(f"{name}-{n}", PATHS[kind], context.clock.now())
                tasks.append(gevent.spawn(serve, context, name, sent))
        context.clock.sleep(float(ms))
        context.fleet.drain(datacentre)
        gevent.joinall(tasks)

    context.run(send)


@given("{number:d} staged requests are in flight")
def under_way(context, number):
    names = list(context.fleet.instances)

    def send():
        for n in range(number):
            sent = request(f"w{n}", PATHS["staged"], context.clock.now())
            gevent.spawn(serve, context, names[n % len(names)], sent)
        context.clock.sleep(30.0)

    context.run(send)


@then("no call with pieces begins in data centre {datacentre:w} within {ms:d} ms")
def no_calls(context, datacentre, ms):
    there = in_datacentre(context, datacentre)
    before = len(context.fleet.upstream.piece_calls)
    context.run(context.clock.sleep, float(ms))
    later = [one.server for one in context.fleet.upstream.piece_calls[before:]]
    assert later and not there & set(later), later
    lost = {id_: end for id_, end in context.ends.items() if end[0] != 200}
    assert not lost, lost


@then("every instance considers data centre {datacentre:w} drained")
def all_drained(context, datacentre):
    assert drained(context, datacentre) == set(context.fleet.instances)


@then("no instance considers data centre {datacentre:w} drained")
def none_drained(context, datacentre):
    assert not drained(context, datacentre)


@then("the load balancer finds {name} ready")
def is_ready(context, name):
    assert context.fleet.instances[name].ready


@when("instance {name} starts, which is sent {number:d} {kind} requests as soon as it is ready")
def starts_and_serves(context, name, number, kind):
    start_and_serve(context, name, number, kind, 0.0)


@when(
    "instance {name} starts, which is sent {number:d} {kind} requests after the first messages "
    "of its peers"
)
def starts_and_serves_later(context, name, number, kind):
    start_and_serve(context, name, number, kind, LINK_SETUP_MS)


def start_and_serve(context, name, number, kind, wait_ms):
    def start():
        instance = context.fleet.start(name)
        while not instance.ready:
            context.clock.sleep(POLL_MS)
        context.clock.sleep(wait_ms)
        tasks = []
        for n in range(number):
            sent = request(f"{name}-{n}", PATHS[kind], context.clock.now())
            tasks.append(gevent.spawn(serve, context, name, sent))
        gevent.joinall(tasks)

    context.run(start)
    assert any(one.startswith(name) for one in context.fleet.upstream.arrivals)


@when("a peer that has not received the last change sends its state to each instance")
def stale_update(context):
    for instance in context.fleet.instances.values():
        known = instance.directory.drains.entries["a"].position
        older = type(known)(known.era, known.version - 1)
        instance.directory.drains.apply([DatacentreDrain("a", older, True)], "peer")


@when("data centre {datacentre:w} is drained {ms:d} ms after a resumable request came to {there}")
def drained_in_stream(context, datacentre, ms, there):
    upstream = context.fleet.upstream
    plain = upstream.open
    upstream.faults = dict.fromkeys([there], upstream.faults[there])

    def open_(server, call, limit_ms):
        """Start the stream at the server, and drain the data centre while it runs."""
        if not upstream.arrivals[call.request.id]:
            context.clock.call_later(ms, lambda: context.fleet.drain(datacentre))
        return plain(server, call, limit_ms)

    upstream.open = open_
    first = next(one for one in context.fleet.instances.values())
    server = next(s for s in first.directory.available("llm") if s.name == there)
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).placement.cached_parts[server.name] = all_parts()
    context.run(serve, context, "a-1", request("r", PATHS["resumable"], context.clock.now()))
    assert upstream.arrivals["r"][0] == there, upstream.arrivals["r"]


def all_parts():
    return OrderedDict.fromkeys(part.id for part in PROMPT.parts)


@given("a third model server {name} in data centre {datacentre:w}")
def third_server(context, name, datacentre):
    context.fleet.add_server(name, "llm", datacentre)
    context.run(context.clock.sleep, 60.0)


@then("it was run at {first}, then at {second}")
def run_by_both(context, first, second):
    assert context.fleet.upstream.runs["r"] == [first, second], context.fleet.upstream.runs["r"]


@given("the placement coordinator receives no drains")
def uninformed(context):
    instance = find_coordinator(context, prompts_topic("llm"))
    context.uninformed = instance.settings.name
    placement_coordinator(instance).placement.cached_parts["llm-1"] = all_parts()
    instance.directory.drains.apply = lambda drains, source: None
    instance.directory.drains.replace = lambda drains, position, source: None


@when("{number:d} {kind} requests are sent to each other instance within {ms:d} ms")
def to_others(context, number, kind, ms):
    def send_all(name):
        for n in range(number):
            serve(context, name, request(f"{name}-{n}", PATHS[kind], context.clock.now()))
            context.clock.sleep(ms / number)

    others = [name for name in context.fleet.instances if name != context.uninformed]
    context.run(lambda: gevent.joinall([gevent.spawn(send_all, name) for name in others]))


@given("model server llm-1 in a drained data centre has cached the parts of a prompt")
def has_cached_parts(context):
    context.fleet.drain("a")
    context.run(context.clock.sleep, 60.0)
    context.instance = find_coordinator(context, prompts_topic("llm"))
    coordinator = placement_coordinator(context.instance)
    coordinator.placement.cached_parts["llm-1"] = all_parts()
    transfer = SimpleNamespace(expected_ms=lambda tokens, far: 0.001)
    coordinator.follower = SimpleNamespace(service=lambda name: SimpleNamespace(transfer=transfer))
    context.coordinator = coordinator


@when("the prompt is placed")
def placed(context):
    context.reply = context.coordinator.place(PlacementOrder(1, "llm", PROMPT, (), ""), "a peer")


@then("its parts are prefilled, not fetched")
def prefilled_not_fetched(context):
    assert (context.reply.server, context.reply.source) == ("llm-2", ""), context.reply
    assert context.reply.prefill_tokens == PROMPT.tokens


@given("a result of a server in each data centre")
def results(context):
    context.results = ("enc-1/1", "enc-2/2")


@when("the service's coordinator releases the results")
def release_results(context):
    find_coordinator(context, "enc").dispatch.batcher("enc").release(context.results)
    context.run(context.clock.sleep, 100.0)


@then("only the result in data centre b is released")
def one_released(context):
    assert context.fleet.upstream.released == ["enc-2/2"], context.fleet.upstream.released


@then("it ended within {ms:d} ms")
def took(context, ms):
    assert context.clock.now() - context.sent_at <= ms


@when("a row of the operator's table drains a data centre without a name")
def no_name(context):
    context.fleet.catalogue.put(DRAIN, b"{}")


@when("{number:d} data centres that do not exist are drained one after the other")
def many_names(context, number):
    for n in range(number):
        context.fleet.drain(f"nowhere-{n}")
        context.run(context.clock.sleep, 5.0)


@then("no instance keeps a data centre without a name")
def no_empty_name(context):
    for instance in context.fleet.instances.values():
        assert "" not in instance.directory.drains.entries


@then("no instance keeps more than {number:d} data centres")
def few_names(context, number):
    for instance in context.fleet.instances.values():
        assert len(instance.directory.drains.entries) <= number


@given("a copy of the store is saved")
@when("a copy of the store is saved")
def keep_copy(context):
    context.fleet.save_copy()


@when("the store is restored from the copy")
def restore_store(context):
    context.fleet.restore_copy()
