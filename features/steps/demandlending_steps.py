# demandlending_steps.py -- Steps about stages that are lent although little is known elsewhere
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about stages that are lent although little is known elsewhere."""

import math

from behave import given, then, when
from demandload import submit
from forwardbasics import find_coordinator

RUN_MS = 3_000.0


@given("data centre a has no servers, and the backlogs of the others are not known there")
def no_servers(context):
    coordinator = find_coordinator(context, "enc", "a")
    coordinator.fleet.division.has_local_servers = lambda service: False
    coordinator.dispatch.lending.record_backlog = lambda backlog, datacentre: None
    coordinator.dispatch.lending.reported.clear()
    context.links = dict(coordinator.fleet.links)


@when("a stage with large inputs in b is submitted in a")
def submit_large(context):
    def send():
        submit(context, "a", 0, "b")
        context.clock.sleep(RUN_MS)

    context.run(send)


@then("it was lent to b with an unknown wait, and no link was lost")
def lent_unknown(context):
    (line,) = [one for one in context.lines if one["message_type"] == "stage-lent"]
    assert (line["datacentre"], line["remote_wait_ms"]) == ("b", math.inf), line
    assert find_coordinator(context, "enc", "a").fleet.links == context.links
