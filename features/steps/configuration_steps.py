# configuration_steps.py -- Steps that change the configuration and check its revisions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that change the configuration and check its revisions."""

import dataclasses

import gevent
from behave import given, then, when

from mountladder.configuration.change import Change
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.follower import Follower
from mountladder.errors import MountladderError, RevisionConflictError
from mountladder.membership.snapshot import Snapshot


def change_log(context):
    standin = context.fleet.standin
    return ChangeLog(standin.memory, standin.objects, context.clock)


def with_label(context, name, text):
    key, _, value = text.partition("=")
    team = change_log(context).load().documents[f"team/{name}"]
    return dataclasses.replace(team, labels={**team.labels, key: value})


@when('an operator labels "{name}" with {text}')
def add_label(context, name, text):
    context.run(lambda: context.fleet.change_configuration([with_label(context, name, text)]))


@when('an operator fails to label "{name}" with {text}, code {code:d}')
def fail_to_label(context, code, name, text):
    team = context.fleet.runtimes["a-1"].follower.configuration.documents[f"team/{name}"]

    def attempt():
        try:
            context.fleet.change_configuration([dataclasses.replace(team, labels={"x": text})])
        except MountladderError as error:
            return error.code.number
        return 0

    assert context.run(attempt) == code


@when("two operators make different changes against the same revision at once")
def make_concurrent_changes(context):
    standin = context.fleet.standin
    log = ChangeLog(standin.table, standin.objects, context.clock)
    base = log.load()
    context.fleet.standin.table.faults = dataclasses.replace(
        context.fleet.standin.table.faults, slow_ms=20.0
    )

    def change(number):
        team = dataclasses.replace(base.documents["team/desk"], labels={"by": str(number)})
        try:
            return log.append(base, f"operator-{number}", str(number), [team], ())
        except RevisionConflictError as error:
            return error

    tasks = [gevent.spawn(change, number) for number in (1, 2)]
    context.run(gevent.joinall, tasks)
    context.concurrent_results = [task.value for task in tasks]


@then(
    "one change was accepted and the other got conflict {code:d} naming revisions "
    "{base:d} and {current:d}"
)
def one_accepted(context, code, base, current):
    errors = [
        result for result in context.concurrent_results if isinstance(result, RevisionConflictError)
    ]
    assert len(errors) == 1, context.concurrent_results
    assert (errors[0].code.number, errors[0].base_revision, errors[0].current_revision) == (
        code,
        base,
        current,
    )
    assert len(change_log(context).since(1)) == 1


@then("the change log holds {number:d} changes")
def log_length(context, number):
    assert len(change_log(context).since(0)) == number


@then("revision {revision:d} is in force on {names}")
def revision_in_force(context, revision, names):
    found = {
        name: context.fleet.runtimes[name].follower.configuration.revision
        for name in names.split(", ")
    }
    assert set(found.values()) == {revision}, found


@then("instance {name} is {state}")
def check_readiness(context, name, state):
    assert context.fleet.runtimes[name].ready == (state == "ready")


@given("data centres {first} and {second} are cut off from each other")
@when("data centres {first} and {second} are cut off from each other")
def cut_datacentres(context, first, second):
    context.fleet.network.cut_datacentres.add(frozenset({first, second}))


@then("the configuration of {name} is at least {ms:d} ms old")
def configuration_age(context, name, ms):
    assert context.fleet.runtimes[name].follower.age_ms() >= ms


@then("in {ms:d} ms the store is read at most {limit:d} times for the configuration")
def store_reads(context, ms, limit):
    before = sum(runtime.follower.reads for runtime in context.fleet.runtimes.values())
    context.run(context.clock.sleep, float(ms))
    after = sum(runtime.follower.reads for runtime in context.fleet.runtimes.values())
    assert 0 < after - before <= limit, after - before


@when("an operator drains {name}")
def drain(context, name):
    server = change_log(context).load().documents[f"server/{name}"]
    context.run(
        lambda: context.fleet.change_configuration([dataclasses.replace(server, draining=True)])
    )


@when('an operator sets the selector of team {name} to "{text}"')
def set_selector(context, name, text):
    team = change_log(context).load().documents[f"team/{name}"]
    context.run(
        lambda: context.fleet.change_configuration([dataclasses.replace(team, selector=text)])
    )


@when("an operator makes {number:d} changes")
def make_changes(context, number):
    def append_changes():
        for index in range(number):
            context.fleet.change_configuration([with_label(context, "desk", f"n={index}")])
            context.clock.sleep(10.0)

    context.run(append_changes)


@then("a follower that receives change 3 before change 2 stays at revision 1")
def receive_out_of_order(context):
    follower = Follower(change_log(context), context.clock)
    assert follower.poll()
    second, third = (Change(number, str(number), "x", 0.0, (), ()) for number in (2, 3))
    assert not follower.adopt([third])
    assert follower.configuration.revision == 1
    assert follower.adopt([second, third])
    assert follower.configuration.revision == 3
    assert not follower.adopt([second])
    assert follower.configuration.revision == 3


@when("a peer sends {name} a snapshot of revision {revision:d}")
def send_snapshot(context, name, revision):
    log = change_log(context)
    older = Configuration()
    for change in log.since(0):
        if change.revision <= revision:
            older = older.after(change)
    assert older.revision == revision
    peers = context.fleet.runtimes[name].peers
    link = next(iter(peers.links.values()))
    context.run(peers.handle, Snapshot(older.encode()), link)


@given("the code is mutated so that a follower adopts any snapshot")
def adopt_any_snapshot(context):
    def replace(self, configuration):
        self.configuration = configuration
        self.changes = []

    original = Follower.replace
    Follower.replace = replace
    context.stack.callback(setattr, Follower, "replace", original)
