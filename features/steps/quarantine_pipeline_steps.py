# quarantine_pipeline_steps.py -- Steps about pipelines whose input crashes servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about pipelines whose input crashes servers."""

import itertools

from basics import TOKEN
from behave import given, then, when

from mountladder_standins.standinserver import hash_of

DEADLY = {"room": 13}
DEADLY_MS = 20.0


@given("an input that crashes every engine that runs it")
def deadly_input(context):
    for server in context.fleet.servers.values():
        server.crash_after_ms[hash_of(b'{"room":13}')] = DEADLY_MS


@when("the input is sent {times:d} times every {ms:d} ms, each time to the next instance")
def sent_again(context, times, ms):
    def send_all():
        found = []
        for to in itertools.islice(itertools.cycle(context.fleet.runtimes), times):
            found.append(context.fleet.send(to, "reply", TOKEN, DEADLY))
            context.clock.sleep(float(ms))
        return found

    context.found = context.run(send_all)


@then("at most {number:d} engines have crashed")
def engines_crashed(context, number):
    crashed = sum(server.start_count - 1 for server in context.fleet.servers.values())
    assert 0 < crashed <= number, crashed


@then("the last {number:d} were refused with code {code:d} before any stage")
def refused(context, number, code):
    last = [(one.code, one.result, one.took_ms) for one in context.found[-number:]]
    assert last == [(code, "not_run", 0.0)] * number, context.found
