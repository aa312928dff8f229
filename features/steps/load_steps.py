# load_steps.py -- Steps that send many requests or use issued keys
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that send many requests or use issued keys."""

import gevent
from basics import TOKEN, send
from behave import given, then, when


@when('{number:d} requests are sent to "{to}" for "{pipeline}", one every {ms:d} ms')
def send_many(context, number, to, pipeline, ms):
    def load():
        tasks = []
        for one in range(number):
            input_ = {"room": one, "tokens": 4}
            tasks.append(context.fleet.spawn(to, pipeline, TOKEN, input_))
            context.clock.sleep(float(ms))
        gevent.joinall(tasks)
        return [task.value for task in tasks]

    context.many = context.run(load)


@then("every one of them is done")
def all_done(context):
    assert context.many and all(one.result == "done" for one in context.many), context.many


@then("the stage failures were retried at most {times:d} times")
def retried_at_most(context, times):
    counts = context.fleet.runtimes["a-1"].metrics.counts
    retried = sum(number for name, number in counts.items() if name.startswith("retried."))
    assert 0 < retried <= times, dict(counts)


@when('"{to}" issues a key and is sent "{pipeline}" with it as "{label}"')
def issue_and_send(context, to, pipeline, label):
    context.issued = context.fleet.runtimes[to].idempotency.issue("desk")
    send_issued(context, to, pipeline, label)


@when('"{to}" is sent the issued key for "{pipeline}" as "{label}"')
def send_issued(context, to, pipeline, label):
    send(context, to, pipeline, label, {"key": context.issued})


@given("instance {name} keeps at most {number:d} records of keys")
def few_records(context, name, number):
    context.fleet.runtimes[name].idempotency.registry.max_records = number


@when('{number:d} more pushes with issued keys are sent to "{to}", one every {ms:d} ms')
def more_pushes(context, number, to, ms):
    issue = context.fleet.runtimes[to].idempotency.issue

    def load():
        tasks = []
        for one in range(number):
            tasks.append(context.fleet.spawn(to, "push", TOKEN, {"room": one}, key=issue("desk")))
            context.clock.sleep(float(ms))
        gevent.joinall(tasks)

    context.run(load)
