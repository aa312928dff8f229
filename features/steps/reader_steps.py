# reader_steps.py -- Steps about which instances follow the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about which instances follow the store."""

from behave import given, then, when

from mountladder.forwarding.ranking import STORE_TOPIC
from mountladder.forwarding.readerelection import ReaderElection


def readers(context):
    return [
        name
        for name, one in context.fleet.instances.items()
        if one.fleet.reader_election.reading and name not in context.stopped
    ]


def only_reader(context):
    context.stopped = getattr(context, "stopped", set())
    (name,) = readers(context)
    return name


def reachable(context):
    return {
        name: one
        for name, one in context.fleet.instances.items()
        if name not in getattr(context, "stopped", set())
    }


@given("{ms:d} ms have gone by")
def wait(context, ms):
    context.run(context.clock.sleep, float(ms))


@given("further instances {names}")
def start_further(context, names):
    for name in names.split(", "):
        context.fleet.start(name)


@given("{number:d} further instances in data centre {datacentre}")
def start_many(context, number, datacentre):
    for n in range(number):
        context.fleet.start(f"{datacentre}-x{n}")


@given("instance {name} has {cores:g} cores")
def set_cores(context, name, cores):
    context.fleet.cores[name] = cores


@given("the instance that follows the store is refused by it")
def refuse_reader(context):
    context.reader = only_reader(context)
    instance = context.fleet.instances[context.reader]
    context.sources = [instance.catalogue_source, instance.directory_source]
    context.tables = [source.source for source in context.sources]
    for source in context.sources:
        source.source = type(context.fleet.catalogue)(context.clock)
        source.source.down = True


@when("the store answers that instance again")
def restore_tables(context):
    for source, table in zip(context.sources, context.tables, strict=True):
        source.source = table


@given("the instance that follows the store has a feed that is no longer answered")
def stop_feeds(context):
    instance = context.fleet.instances[only_reader(context)]

    for source in (instance.catalogue_source, instance.directory_source):
        unanswered_table = type(context.fleet.catalogue)(context.clock)
        unanswered_table.silent = True
        source.source = unanswered_table
    # Calls in flight are still answered by the table that was replaced.
    context.run(context.clock.sleep, instance.settings.feed_wait_ms + 20.0)


@given("the instance that follows the store has crashed")
def crash_reader(context):
    name = only_reader(context)
    context.stopped.add(name)
    context.fleet.instances[name].close()


@given("the instance that follows the store is cut off from its peers")
def isolate_reader(context):
    name = only_reader(context)
    for other in context.fleet.instances:
        if other != name:
            context.fleet.network.cut_instances.add(frozenset({name, other}))


@given("the instance that follows the store is asked to shut down")
def shut_down_reader(context):
    name = only_reader(context)
    context.stopped.add(name)
    context.run(context.fleet.instances[name].leave)


@given("the code is mutated so that no instance takes over")
def mutate_takeover(context):
    original = ReaderElection.decide
    ReaderElection.decide = lambda self: not self.higher_ranked()
    context.stack.callback(setattr, ReaderElection, "decide", original)


@then("{number:d} instance follows the store")
@then("{number:d} instances follow the store")
def reader_count(context, number):
    context.stopped = getattr(context, "stopped", set())
    assert len(readers(context)) == number, readers(context)


@then("at most {number:d} instances follow the store")
def max_readers(context, number):
    context.stopped = getattr(context, "stopped", set())
    assert len(readers(context)) <= number, readers(context)


@then("every reachable instance has catalogue version {version:d}")
def all_reachable_have(context, version):
    found = {name: one.follower.version for name, one in reachable(context).items()}
    assert set(found.values()) == {version}, found


@then("some reachable instance has catalogue version {version:d}")
def some_reachable_has(context, version):
    assert version in {one.follower.version for one in reachable(context).values()}


@then("every instance knows servers {names}")
@then("every reachable instance knows servers {names}")
def all_know_servers(context, names):
    for one in reachable(context).values():
        found = sorted(server.name for server in one.directory.available("desk"))
        assert found == names.split(", "), (one.settings.name, found)


@then("the coordinator of pieces and prompts of services {names} and of the store is {coordinator}")
def coordinates_all(context, names, coordinator):
    for name, one in context.fleet.instances.items():
        for topic in (*names.split(", "), STORE_TOPIC):
            assert one.fleet.ranking.ranked(topic)[0].name == coordinator, (name, topic)
