# fleetevents.py -- Restarts, crashes and partitions of instances while requests come
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Restarts, crashes and partitions of instances while requests come."""

import gevent
from forwardbasics import find_coordinator

# When the event begins, and how long an instance that is restarted is down, alone or in turn.
EVENT_MS = 4_000.0
DOWN_MS = 1_000.0
ROLLING_DOWN_MS = 500.0
# How long the first of two partitions lasts, and how long after it the second one begins.
FIRST_CUT_MS, CUT_PAUSE_MS = 2_500.0, 33_000.0


def restart(context, name, down_ms=DOWN_MS):
    context.fleet.instances[name].close()
    context.clock.sleep(down_ms)
    context.fleet.start(name)


def restart_coordinator(context):
    restart(context, find_coordinator(context, context.topic).settings.name)


def crash_coordinator(context):
    context.fleet.instances.pop(find_coordinator(context, context.topic).settings.name).close()


def cut_three(context):
    names = list(context.fleet.instances)
    for name in names[-3:]:
        context.fleet.network.cut_instances |= {
            frozenset({name, one}) for one in names if one != name
        }


def cut_half_from_coordinator(context):
    first = find_coordinator(context, context.topic).settings.name
    others = [name for name in context.fleet.instances if name != first]
    context.fleet.network.cut_instances |= {frozenset({first, one}) for one in others[::2]}


def cut_two_from_coordinator(context):
    first = find_coordinator(context, context.topic).settings.name
    others = [name for name in context.fleet.instances if name != first]
    context.fleet.network.cut_instances |= {frozenset({first, one}) for one in others[:2]}


def cut_all(context):
    names = list(context.fleet.instances)
    context.fleet.network.cut_instances |= {
        frozenset({a, b}) for a in names for b in names if a != b
    }


def cut_all_twice(context):
    """Cut all instances off from each other for a while, and a second time later on."""
    cut_all(context)
    context.clock.sleep(FIRST_CUT_MS)
    context.fleet.network.cut_instances.clear()
    context.clock.sleep(CUT_PAUSE_MS)
    cut_all(context)


def cut_coordinator_for_a_while(context):
    first = find_coordinator(context, context.topic).settings.name
    others = [name for name in context.fleet.instances if name != first]
    cut = {frozenset({first, one}) for one in others}
    context.fleet.network.cut_instances |= cut
    context.clock.sleep(FIRST_CUT_MS)
    context.fleet.network.cut_instances -= cut


def start_two(context):
    for name in ("a-new", "b-new"):
        context.fleet.start(name)


def restart_all(context):
    tasks = [gevent.spawn(restart, context, name) for name in list(context.fleet.instances)]
    gevent.joinall(tasks)


def cut_datacentre(context):
    context.fleet.network.cut_datacentres |= {frozenset({"a", "b"}), frozenset({"a", "c"})}


def restart_in_turn(context):
    for name in list(context.fleet.instances):
        restart(context, name, ROLLING_DOWN_MS)


EVENTS = {
    "the service's coordinator is restarted": restart_coordinator,
    "the service's coordinator crashes": crash_coordinator,
    "three instances are cut off from the others": cut_three,
    "half of the others lose the service's coordinator": cut_half_from_coordinator,
    "the service's coordinator is cut off for a while": cut_coordinator_for_a_while,
    "two of the others lose the service's coordinator": cut_two_from_coordinator,
    "all instances are cut off from each other, twice": cut_all_twice,
    "two more instances start": start_two,
    "all instances are restarted at once": restart_all,
    "instances are restarted one after the other": restart_in_turn,
    "a data centre is cut off from the others": cut_datacentre,
}
