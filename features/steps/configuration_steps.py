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


def log_of(context):
    standin = context.fleet.standin
    return ChangeLog(standin.memory, standin.objects, context.clock)


def labelled(context, name, text):
    key, _, value = text.partition("=")
    team = log_of(context).load().documents[f"team/{name}"]
    return dataclasses.replace(team, labels={**team.labels, key: value})


@when('an operator labels "{name}" with {text}')
def label(context, name, text):
    context.run(lambda: context.fleet.change_configuration([labelled(context, name, text)]))


@when('an operator fails to label "{name}" with {text}, code {code:d}')
def label_fails(context, code, name, text):
    team = context.fleet.runtimes["a-1"].follower.configuration.documents[f"team/{name}"]

    def attempt():
        try:
            context.fleet.change_configuration([dataclasses.replace(team, labels={"x": text})])
        except MountladderError as error:
            return error.code.number
        return 0

    assert context.run(attempt) == code


@when("two operators make different changes against the same revision at once")
def race(context):
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
    context.raced = [task.value for task in tasks]


@then(
    "one change was accepted and the other got conflict {code:d} naming revisions "
    "{stated:d} and {found:d}"
)
def one_won(context, code, stated, found):
    errors = [one for one in context.raced if isinstance(one, RevisionConflictError)]
    assert len(errors) == 1, context.raced
    assert (errors[0].code.number, errors[0].base_revision, errors[0].current_revision) == (
        code,
        stated,
        found,
    )
    assert len(log_of(context).since(1)) == 1


@then("the change log holds {number:d} changes")
def history(context, number):
    assert len(log_of(context).since(0)) == number


@then("revision {revision:d} is in force on {names}")
def in_force(context, revision, names):
    found = {
        name: context.fleet.runtimes[name].follower.configuration.revision
        for name in names.split(", ")
    }
    assert set(found.values()) == {revision}, found


@then("instance {name} is {state}")
def is_ready(context, name, state):
    assert context.fleet.runtimes[name].ready == (state == "ready")


@given("data centres {first} and {second} are cut off from each other")
@when("data centres {first} and {second} are cut off from each other")
def cut_from_start(context, first, second):
    context.fleet.network.cut_datacentres.add(frozenset({first, second}))


@then("the configuration of {name} is at least {ms:d} ms old")
def old(context, name, ms):
    assert context.fleet.runtimes[name].follower.age_ms() >= ms


@then("in {ms:d} ms the store is read at most {most:d} times for the configuration")
def reads(context, ms, most):
    before = sum(one.follower.reads for one in context.fleet.runtimes.values())
    context.run(context.clock.sleep, float(ms))
    after = sum(one.follower.reads for one in context.fleet.runtimes.values())
    assert 0 < after - before <= most, after - before


@when("an operator drains {name}")
def drain(context, name):
    server = log_of(context).load().documents[f"server/{name}"]
    context.run(
        lambda: context.fleet.change_configuration([dataclasses.replace(server, draining=True)])
    )


@when('an operator sets the selector of team {name} to "{text}"')
def select(context, name, text):
    team = log_of(context).load().documents[f"team/{name}"]
    context.run(
        lambda: context.fleet.change_configuration([dataclasses.replace(team, selector=text)])
    )


@when("an operator makes {number:d} changes")
def many(context, number):
    def work():
        for one in range(number):
            context.fleet.change_configuration([labelled(context, "desk", f"n={one}")])
            context.clock.sleep(10.0)

    context.run(work)


@then("a follower that receives change 3 before change 2 stays at revision 1")
def out_of_order(context):
    follower = Follower(log_of(context), context.clock)
    assert follower.poll()
    second, third = (Change(number, str(number), "x", 0.0, (), ()) for number in (2, 3))
    assert not follower.adopt([third])
    assert follower.configuration.revision == 1
    assert follower.adopt([second, third])
    assert follower.configuration.revision == 3
    assert not follower.adopt([second])
    assert follower.configuration.revision == 3


@when("a peer sends {name} a snapshot of revision {revision:d}")
def whole_configuration(context, name, revision):
    log = log_of(context)
    older = Configuration()
    for change in log.since(0):
        if change.revision <= revision:
            older = older.after(change)
    assert older.revision == revision
    peers = context.fleet.runtimes[name].peers
    link = next(iter(peers.links.values()))
    context.run(peers.handle, Snapshot(older.encode()), link)


@given("the code is mutated so that a follower adopts any snapshot")
def adopts_any(context):
    def replace(self, configuration):
        self.configuration = configuration
        self.changes = []

    plain = Follower.replace
    Follower.replace = replace
    context.stack.callback(setattr, Follower, "replace", plain)
