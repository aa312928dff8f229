# wholelist_steps.py -- Steps about the requests of new instances for the list of servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the requests of new instances for the list of servers."""

from behave import given, then, when

from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.forwardinginstance import ForwardingInstance
from mountladder.forwarding.updaterequest import UpdateRequest
from mountladder.store.position import Position


@given("links with {latency:d} ms of latency")
def slow_links(context, latency):
    context.fleet.network.latency_ms = float(latency)
    context.asked = []
    send_later = Fleet.send_later

    def record(fleet, link, message):
        if isinstance(message, UpdateRequest) and message.directory is not None:
            context.asked.append((fleet.membership.me.name, link.peer.name))
        send_later(fleet, link, message)

    Fleet.send_later = record
    context.stack.callback(setattr, Fleet, "send_later", send_later)


@given("peers send no list of servers")
def send_nothing(context):
    context.send_directory = Fleet.send_directory
    Fleet.send_directory = lambda fleet, link, since: None
    context.stack.callback(setattr, Fleet, "send_directory", context.send_directory)


@when("peers send the list again, and {wait:d} ms go by")
def send_again(context, wait):
    Fleet.send_directory = context.send_directory
    context.run(context.clock.sleep, float(wait))


@when("instance {name} starts while the store is down for it, and {wait:d} ms go by")
def start_without_store(context, name, wait):
    start = ForwardingInstance.start

    def start_without(instance):
        for follower in (instance.catalogue_source, instance.directory_source):
            follower.source = type(context.fleet.servers)(context.clock)
            follower.source.down = True
        start(instance)

    ForwardingInstance.start = start_without
    try:
        context.run(context.fleet.start, name)
    finally:
        ForwardingInstance.start = start
    context.run(context.clock.sleep, float(wait))


@given("instance {name} has the whole list")
def has_list(context, name):
    assert context.fleet.instances[name].directory.ready
    context.asked.clear()


@when("two peers announce a change of the list to {name} at once")
def announce_change(context, name):
    fleet = context.fleet.instances[name].fleet
    newer = Position(fleet.directory.newest.era, fleet.directory.newest.version + 1)
    links = list(fleet.links.values())[:2]
    for link in links:
        beacon = fleet.beacon(wants_reply=False)
        object.__setattr__(beacon, "directory", newer)
        fleet.receive_beacon(beacon, link)
    context.run(context.clock.sleep, 500.0)


@then("instance {name} has asked {number:d} {plural:w} for the list of servers")
def count_asked(context, name, number, plural):
    asked = {peer for asker, peer in context.asked if asker == name}
    assert len(asked) == number, context.asked
