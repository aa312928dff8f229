# isolation_steps.py -- Steps about instances that are partitioned from all backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about instances that are partitioned from all backend servers."""

from behave import register_type, then, when
from forwardbasics import PROMPT, find_coordinator, placement_coordinator
from noticerecorder import send
from parse import with_pattern

from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.ranking import prompts_topic
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
    answered = {name: [] for name in context.fleet.instances}
    for id_, arrived_at in context.arrived.items():
        if arrived_at > context.partitioned_at + after:
            answered[id_.partition("/")[0]].append(context.ends[id_][:3:2] == (200, 0))
    shares = {name: round(100 * sum(ends) / len(ends)) for name, ends in answered.items()}
    assert min(shares.values()) > minimum, (shares, sorted(context.fleet.partitions))
