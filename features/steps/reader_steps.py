# reader_steps.py -- Steps about which instances follow the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about which instances follow the store."""

from behave import given, then, when

from mountladder.forwarding.ranking import STORE_TOPIC
from mountladder.forwarding.readerelection import ReaderElection


def reading(context):
    return [
        name
        for name, one in context.fleet.instances.items()
        if one.fleet.reader_election.reading and name not in context.ended
    ]


def first_reader(context):
    context.ended = getattr(context, "ended", set())
    (name,) = reading(context)
    return name


def reachable(context):
    return {
        name: one
        for name, one in context.fleet.instances.items()
        if name not in getattr(context, "ended", set())
    }


@given("{ms:d} ms have gone by")
def gone_by(context, ms):
    context.run(context.clock.sleep, float(ms))


@given("further instances {names}")
def further(context, names):
    for name in names.split(", "):
        context.fleet.start(name)


@given("{number:d} further instances in data centre {datacentre}")
def many_further(context, number, datacentre):
    for one in range(number):
        context.fleet.start(f"{datacentre}-x{one}")


@given("instance {name} has {cores:g} cores")
def has_cores(context, name, cores):
    context.fleet.cores[name] = cores


@given("the instance that follows the store is refused by it")
def turned_away(context):
    context.reader = first_reader(context)
    instance = context.fleet.instances[context.reader]
    context.sources = [instance.catalogue_source, instance.directory_source]
    context.tables = [source.source for source in context.sources]
    for source in context.sources:
        source.source = type(context.fleet.catalogue)(context.clock)
        source.source.down = True


@when("the store answers that instance again")
def answers_again(context):
    for source, table in zip(context.sources, context.tables, strict=True):
        source.source = table


@given("the instance that follows the store has a feed that is no longer answered")
def fell_silent(context):
    instance = context.fleet.instances[first_reader(context)]

    for source in (instance.catalogue_source, instance.directory_source):
        twin = type(context.fleet.catalogue)(context.clock)
        twin.silent = True
        source.source = twin
    # Calls in flight are still answered by the table that was replaced.
    context.run(context.clock.sleep, instance.settings.feed_wait_ms + 20.0)


@given("the instance that follows the store has crashed")
def has_ended(context):
    name = first_reader(context)
    context.ended.add(name)
    context.fleet.instances[name].close()


@given("the instance that follows the store is cut off from its peers")
def reader_cut(context):
    name = first_reader(context)
    for other in context.fleet.instances:
        if other != name:
            context.fleet.network.cut_instances.add(frozenset({name, other}))


@given("the instance that follows the store is asked to shut down")
def asked_to_end(context):
    name = first_reader(context)
    context.ended.add(name)
    context.run(context.fleet.instances[name].leave)


@given("the code is mutated so that no instance takes over")
def nobody_steps_in(context):
    plain = ReaderElection.decide
    ReaderElection.decide = lambda self: not self.higher_ranked()
    context.stack.callback(setattr, ReaderElection, "decide", plain)


@then("{number:d} instance follows the store")
@then("{number:d} instances follow the store")
def that_many(context, number):
    context.ended = getattr(context, "ended", set())
    assert len(reading(context)) == number, reading(context)


@then("at most {number:d} instances follow the store")
def at_most(context, number):
    context.ended = getattr(context, "ended", set())
    assert len(reading(context)) <= number, reading(context)


@then("every reachable instance has catalogue version {version:d}")
def all_reachable(context, version):
    found = {name: one.follower.version for name, one in reachable(context).items()}
    assert set(found.values()) == {version}, found


@then("some reachable instance has catalogue version {version:d}")
def some_reachable(context, version):
    assert version in {one.follower.version for one in reachable(context).values()}


@then("every instance knows servers {names}")
@then("every reachable instance knows servers {names}")
def all_know(context, names):
    for one in reachable(context).values():
        found = sorted(server.name for server in one.directory.available("desk"))
        assert found == names.split(", "), (one.settings.name, found)


@then("the coordinator of pieces and prompts of services {names} and of the store is {coordinator}")
def all_meet(context, names, coordinator):
    for name, one in context.fleet.instances.items():
        for topic in (*names.split(", "), STORE_TOPIC):
            assert one.fleet.ranking.ranked(topic)[0].name == coordinator, (name, topic)
