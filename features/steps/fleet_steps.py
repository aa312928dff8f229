# fleet_steps.py -- Steps that start a fleet, send requests and check their outcomes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that start a fleet, send requests and check their outcomes."""

import json

from basics import BASE, SERVERS
from basics import send as send_request
from behave import given, then, when

from mountladder.configuration.documents import parse_documents
from mountladder.limits.retrybudget import RetryBudget
from mountladder_standins.faults import Faults


@given("a fleet of instances {names}")
def start_fleet(context, names):
    fleet = context.fleet

    def start_instances():
        fleet.change_configuration([*parse_documents(BASE, "base"), *SERVERS])
        for name in names.split(", "):
            fleet.start(name, name[0])
        fleet.wait_ready()
        context.clock.sleep(6_000.0)

    context.run(start_instances)


@when('"{to}" is sent "{pipeline}" as "{label}" with {options}')
def send_with(context, to, pipeline, label, options):
    send_request(context, to, pipeline, label, json.loads(options))


@when('"{to}" is sent "{pipeline}" as "{label}"')
def send(context, to, pipeline, label):
    send_request(context, to, pipeline, label, {})


@when("{ms:d} ms pass")
def pass_time(context, ms):
    context.run(context.clock.sleep, float(ms))


@given("the {kind} {name} has faults {faults}")
@when("the {kind} {name} has faults {faults}")
def set_faults(context, kind, name, faults):
    settings = Faults.read(json.loads(faults))
    if kind == "platform":
        context.fleet.standin.set_faults(settings)
    elif kind == "link":
        context.fleet.set_platform_faults(name, settings)
    else:
        context.fleet.servers[name].faults = settings


@given("the servers of {kind} are silent from {start:d} ms to {end:d} ms")
def silent_servers(context, kind, start, end):
    until = context.clock.now() + end
    for name, server in context.fleet.servers.items():
        if name.startswith(kind):
            context.clock.call_later(
                float(start), lambda server=server: setattr(server, "silent_until", until)
            )


@given("the retry budget of every stage is spent")
def stage_budgets_spent(context):
    for runtime in context.fleet.runtimes.values():
        runtime.context.budgets.clear()
        runtime.context.budgets.default_factory = lambda: RetryBudget(0.0, 0.0)


@when("instance {name} is killed")
def kill_instance(context, name):
    context.run(context.fleet.kill, name)


@when("instance {name} is started in {datacentre}")
def start_instance(context, name, datacentre):
    context.run(context.fleet.start, name, datacentre)


@when("data centres {first} and {second} reach each other again")
def reconnect_datacentres(context, first, second):
    context.fleet.network.cut_datacentres.discard(frozenset({first, second}))


def outcome(context, label):
    if label not in context.outcomes:
        context.outcomes[label] = context.clock.run(context.tasks[label])
    return context.outcomes[label]


@then('"{label}" ends as {result} {code:d}')
def ends_as(context, label, result, code):
    actual = outcome(context, label)
    assert (actual.result, actual.code) == (result, code), actual


@then('"{label}" ends as done')
def ends_done(context, label):
    ends_as(context, label, "done", 0)


@then('"{label}" has tokens 1 to {last:d} once each')
def has_tokens(context, label, last):
    assert outcome(context, label).tokens == tuple(range(1, last + 1)), outcome(context, label)


@then('"{first}" and "{second}" have the same answer')
def same_answer(context, first, second):
    assert outcome(context, first).answer == outcome(context, second).answer
    assert outcome(context, first).answer


@then('"{work}" ran {times:d} times')
def ran_times(context, work, times):
    assert len(context.fleet.attempts_of(work)) == times, context.fleet.attempts_of(work)


@then('"{work}" never ran on {name}')
def never_ran_on(context, work, name):
    assert all(stage.work != work for stage in context.fleet.servers[name].ran)


@then('instance {name} counted "{counter}" {times:d} times')
def counted(context, name, counter, times):
    counts = context.fleet.runtimes[name].metrics.counts
    assert counts[counter] == times, dict(counts)


@then('"{label}" took less than {ms:d} ms')
def took_less(context, label, ms):
    assert outcome(context, label).took_ms < ms, outcome(context, label)
