# isolation_steps.py -- Steps about instances that are partitioned from all backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about instances that are partitioned from all backend servers."""

from behave import then, when
from forwardbasics import find_coordinator
from noticerecorder import send

from mountladder_standins.serverpartition import ServerPartition

# Requests before the partition, so that instances have learned times and opened links.
WARM_UP_MS = 2_000.0


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
    "{how}, and {rate:d} {kind:w} requests a second come for {ms:d} ms"
)
def lose_servers(context, number, topic, how, rate, kind, ms):
    send(context, rate, kind, WARM_UP_MS, label="before")
    partition(context, with_coordinator(context, number, topic), how)
    send(context, rate, kind, ms)


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
