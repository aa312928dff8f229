# isolation_steps.py -- Steps about instances that are partitioned from all backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about instances that are partitioned from all backend servers."""

from contextlib import suppress
from functools import partial

import gevent
from behave import given, register_type, then, when
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import PATHS, PROMPT, find_coordinator, placement_coordinator, request, serve
from noticerecorder import send
from parse import with_pattern

from mountladder.code import Code
from mountladder.errors import MountladderError
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.ranking import prompts_topic
from mountladder.resultclass import ResultClass
from mountladder_standins.serverfault import ServerFault
from mountladder_standins.serverpartition import ServerPartition

# Requests before the partition, so that instances have learned times and opened links.
WARM_UP_MS = 2_000.0


@with_pattern("hang|are reset|live on while new ones are refused")
def parse_partition(text):
    return text


@with_pattern("uses|does not use")
def parse_uses(text):
    return text


register_type(Partition=parse_partition, Uses=parse_uses)


def partition(context, names, how):
    context.fleet.partitions = {name: ServerPartition(how) for name in names}
    context.partitioned_at = context.clock.now()


def with_coordinator(context, number, topic):
    """Return the names of a number of instances, a topic's coordinator first."""
    first = find_coordinator(context, topic).settings.name
    others = [name for name in context.fleet.instances if name != first]
    return [first, *others[: number - 1]]


@when(
    "{number:d} instances with the coordinator of {topic} lose all servers, whose connections "
    "{how:Partition}, and {rate:d} {kind:w} requests a second come for {ms:d} ms"
)
def lose_servers(context, number, topic, how, rate, kind, ms):
    send(context, rate, kind, WARM_UP_MS, label="before")
    partition(context, with_coordinator(context, number, topic), how)
    send(context, rate, kind, ms)


@when(
    "{number:d} instances with the coordinator of {topic} lose all servers, whose connections "
    "{how:Partition}"
)
def lose_servers_idle(context, number, topic, how):
    partition(context, with_coordinator(context, number, topic), how)


@when("1 instance with the coordinator of the store loses all servers, whose connections hang")
def store_reader_loses_servers(context):
    reader = next(
        name for name, one in context.fleet.instances.items() if one.fleet.reader_election.reading
    )
    partition(context, [reader], ServerPartition.HANG.value)


@then("{ms:d} ms later it still polls the store")
def still_polls(context, ms):
    context.run(context.clock.sleep, float(ms))
    (name,) = context.fleet.partitions
    instance = context.fleet.instances[name]
    assert instance.isolation.isolated
    assert instance.fleet.reader_election.reading


@when("they reach the servers again")
def reach_again(context):
    context.cut_off = list(context.fleet.partitions)
    context.fleet.partitions.clear()


def coordinators(context, topic):
    """Return the name of the instance that each instance leaves the work of a topic to."""
    links = {name: one.fleet.coordinator(topic) for name, one in context.fleet.instances.items()}
    return {name: link.peer.name if link else name for name, link in links.items()}


@then("{ms:d} ms later no instance leaves work of {topic} to one of them")
def not_left_to_cut_off(context, ms, topic):
    context.run(context.clock.sleep, float(ms))
    found = coordinators(context, topic)
    assert not set(found.values()) & set(context.fleet.partitions), found


@then("{ms:d} ms later all instances agree on the coordinator of {topic}")
def agree(context, ms, topic):
    context.run(context.clock.sleep, float(ms))
    found = coordinators(context, topic)
    assert len(set(found.values())) == 1, found
    assert not any(one.isolation.isolated for one in context.fleet.instances.values()) or len(
        context.fleet.partitions
    ) == len(context.fleet.instances)


@when("an instance reports that it cannot connect to a model server, which {state}")
def report_unreachable(context, state):
    coordinator = placement_coordinator(find_coordinator(context, prompts_topic("llm")))
    order = PlacementOrder(1, "llm", PROMPT, (), "", 0.0, 5)
    context.reported = coordinator.place(order, "a peer").server
    if state == "no instance can reach":
        context.fleet.upstream.unreachable.add(context.reported)
    unreachable = state != "refuses all that it sends"
    note = PlacementNote(1, 0.0, True, gone=True, unreachable=unreachable)
    context.run(coordinator.apply_note, note, "a peer")


@then("{ms:d} ms later the placement coordinator {uses:Uses} that server")
def uses_reported(context, ms, uses):
    context.run(context.clock.sleep, float(ms))
    instance = find_coordinator(context, prompts_topic("llm"))
    state = instance.router.states[context.reported]
    assert state.usable(context.clock.now()) == (uses == "uses"), context.reported


@then(
    "over {minimum:d} of 100 requests at each instance that come over {after:d} ms later were "
    "answered"
)
def answered_at_each(context, minimum, after):
    shares = answered_shares(context, after, "/")
    assert shares.keys() == set(context.fleet.instances)
    assert min(shares.values()) > minimum, (shares, sorted(context.fleet.partitions))


def answered_shares(context, after, separator):
    """Return how many of 100 requests were answered, by what precedes a separator in their ids.

    Requests count that came over a time after the partition began, in milliseconds.
    """
    answered = {}
    for id_, arrived_at in context.arrived.items():
        if arrived_at > context.partitioned_at + after:
            ends = answered.setdefault(id_.partition(separator)[0], [])
            ends.append(context.ends[id_][:3:2] == (200, 0))
    return {name: round(100 * sum(ends) / len(ends)) for name, ends in answered.items()}


@given("the answers to relayed requests are lost")
def relays_broken(context):
    context.fleet.broken_relays.update(context.fleet.instances)


@then("each request was sent to one server at most")
def sent_once(context):
    runs = context.fleet.upstream.runs
    assert context.fleet.relayed
    assert all(len(servers) == 1 for servers in runs.values()), runs


@then("no request that ran was reported as not run")
def not_run_is_true(context):
    ran = {id_ for id_, servers in context.fleet.upstream.runs.items() if servers}
    wrong = [id_ for id_ in ran if is_refused(context.ends[id_])]
    assert ran and not wrong, wrong


def is_refused(end):
    """Return whether a caller was told that its request was not run."""
    return end[0] == Code.NO_SERVER_AVAILABLE.status or end[3] == ResultClass.NOT_RUN.value


@then("no request was relayed by two instances")
def relayed_once(context):
    ids = [id_ for _, _, id_ in context.fleet.relayed]
    assert ids and len(ids) == len(set(ids))


@then("all instances that reach the servers ran relayed requests")
def relays_spread(context):
    used = {there for _, there, _ in context.fleet.relayed}
    assert used >= set(context.fleet.instances) - set(context.fleet.partitions), used


@given("all llm servers refuse all requests")
def llm_refuses(context):
    for name in context.servers:
        if name.startswith("llm-"):
            context.fleet.upstream.faults[name] = ServerFault.FULL


@then("no request of which a stage ran was reported as not run")
def stages_not_denied(context):
    ran = {one.request for call in context.fleet.upstream.piece_calls for one in call.pieces}
    wrong = [id_ for id_ in ran if is_refused(context.ends[id_])]
    assert ran and not wrong, (len(wrong), len(ran))


@when("1 instance loses all servers and all other instances")
def loses_all(context):
    name = next(iter(context.fleet.instances))
    partition(context, [name], ServerPartition.HANG.value)
    others = [one for one in context.fleet.instances if one != name]
    context.fleet.network.cut_instances |= {frozenset({name, one}) for one in others}
    context.cut_off = [name]


@when("it reaches the servers again")
def one_reaches_again(context):
    context.fleet.partitions.clear()


@then("it is not ready {ms:d} ms later")
def not_ready_later(context, ms):
    context.run(context.clock.sleep, float(ms))
    assert not context.fleet.instances[context.cut_off[0]].ready


@then("it is ready {ms:d} ms later")
def ready_later(context, ms):
    context.run(context.clock.sleep, float(ms))
    assert context.fleet.instances[context.cut_off[0]].ready


@when(
    "{number:d} instances with the coordinator of {topic} lose all servers, whose connections "
    "are reset, and {rate:d} {kind:w} requests a second are in progress"
)
def lose_servers_in_progress(context, number, topic, rate, kind):
    names = with_coordinator(context, number, topic)
    cut = partial(partition, context, names, ServerPartition.RESET.value)
    context.clock.call_later(WARM_UP_MS / 2, cut)
    send(context, rate, kind, WARM_UP_MS)


@then("{ms:d} ms later no instance suspects a request")
def no_suspicions(context, ms):
    context.run(context.clock.sleep, float(ms))
    suspected = {
        name: list(one.quarantine.registry.suspicions)
        for name, one in context.fleet.instances.items()
        if one.quarantine.registry.suspicions
    }
    assert not suspected, suspected


def crashed_servers(context):
    return {
        name for one in context.fleet.instances.values() for name in one.quarantine.detector.crashed
    }


@then("no instance has recorded a crashed server")
def none_crashed(context):
    assert not crashed_servers(context), crashed_servers(context)


@given('requests with body "{body:w}" crash a server after {ms:d} ms')
def crash_by_body(context, body, ms):
    context.fleet.upstream.crash_after_ms[body.encode()] = float(ms)


@when('a request with body "{body:w}" is sent')
def send_body(context, body):
    name = next(iter(context.fleet.instances))
    sent = request(f"{name}/1", PATHS["safe"], context.clock.now(), body=body.encode())
    context.run(serve, context, name, sent)


@then("its crash is recorded")
def crash_recorded(context):
    assert crashed_servers(context) == set(context.fleet.upstream.crashed)


@when("{ms:d} ms later they are sent {rate:d} {kind:w} requests a second for {for_ms:d} ms")
def send_after(context, ms, rate, kind, for_ms):
    context.run(context.clock.sleep, float(ms))
    context.fleet.relayed.clear()
    send(context, rate, kind, float(for_ms), label="after")


@then("over {minimum:d} of 100 of these were answered, none of them by another instance")
def answered_after(context, minimum):
    ends = [end[:3:2] == (200, 0) for id_, end in context.ends.items() if "/after" in id_]
    assert sum(ends) > minimum / 100 * len(ends), (sum(ends), len(ends))
    assert not context.fleet.relayed, context.fleet.relayed[:3]


@then("4 probed servers are always 2 local ones and 2 others, of 2 services each")
def probed_servers(context):
    instance = next(iter(context.fleet.instances.values()))
    here = instance.settings.datacentre
    for _ in range(50):
        drawn = instance.isolation.sample(4, None)
        for is_local in (True, False):
            half = [one for one in drawn if (one.datacentre == here) == is_local]
            services = {one.name.partition("-")[0] for one in half}
            assert len(half) == len(services) == 2, drawn


@then("without server {name} it is not among them")
def without_server(context, name):
    instance = next(iter(context.fleet.instances.values()))
    left_out = instance.directory.find(name)
    drawn = [one for _ in range(50) for one in instance.isolation.sample(4, left_out)]
    assert left_out is not None and left_out not in drawn


@when(
    "all instances of data centre {datacentre:w} lose all servers, whose connections "
    "{how:Partition}, and {rate:d} {kind:w} requests a second come for {ms:d} ms"
)
def datacentre_loses_servers(context, datacentre, how, rate, kind, ms):
    send(context, rate, kind, WARM_UP_MS, label="before")
    names = [one for one in context.fleet.instances if one.startswith(f"{datacentre}-")]
    partition(context, names, how)
    send(context, rate, kind, ms)


@then(
    "over {minimum:d} of 100 requests that come over {after:d} ms later were answered in each "
    "data centre"
)
def answered_in_each(context, minimum, after):
    shares = answered_shares(context, after, "-")
    assert len(shares) == 3 and min(shares.values()) > minimum, shares


@then("the coordinators of {topics} ran fewer than {number:d} relayed requests")
def coordinators_spared(context, topics, number):
    names = {find_coordinator(context, one).settings.name for one in topics.split(", ")}
    since = context.partitioned_at
    ran = [there for _, there, id_ in context.fleet.relayed if context.arrived[id_] > since + 3_000]
    assert ran and sum(one in names for one in ran) < number, ran


@when("an instance is paused for {ms:d} ms while it probes servers")
def paused_while_probing(context, ms):
    context.instance = next(iter(context.fleet.instances.values()))
    detector = context.instance.isolation

    def reaches(server):
        context.clock.time += ms
        context.clock.sleep(1.0)
        return True

    detector.reaches = reaches
    detector.record_failure()
    context.run(detector.check)


@then("it is not isolated")
def not_isolated(context):
    assert not context.instance.isolation.isolated


def silence_store(context):
    context.fleet.catalogue.silent = context.fleet.servers.silent = True


@when(
    "{number:d} instances with the coordinator of {topic} lose all servers, whose connections "
    "{how:Partition}, and {rate:d} {kind:w} requests a second come for {ms:d} ms while {what}"
)
def lose_servers_while(context, number, topic, how, rate, kind, ms, what):
    context.topic = topic
    event = silence_store if what == "the store is silent" else EVENTS[what]
    context.clock.call_later(WARM_UP_MS + EVENT_MS, lambda: gevent.spawn(event, context))
    lose_servers(context, number, topic, how, rate, kind, ms)


@then("isolated instances choose none of themselves to relay to")
def choose_none_isolated(context):
    isolated = set(context.fleet.partitions)
    for name in isolated:
        peers = context.fleet.instances[name].forwarder.context.relay.peers.available()
        assert peers and not isolated & {one.name for one in peers}, peers


@then("an isolated instance that is sent a relayed request does not relay it")
def not_relayed_again(context):
    name = next(iter(context.fleet.partitions))
    sent = request("again", PATHS["safe"], context.clock.now())
    with suppress(MountladderError):
        context.run(partial(context.fleet.instances[name].forwarder.serve, sent, relayed=True))
    assert "again" not in {id_ for _, _, id_ in context.fleet.relayed}
