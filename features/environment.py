# environment.py -- Fixtures of scenarios: a stack for cleanup and fleets on a virtual clock
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Fixtures of scenarios: a stack for cleanup and fleets on a virtual clock."""

from gevent import monkey

monkey.patch_all()

from contextlib import ExitStack

import gevent
from behave import fixture, use_fixture

from mountladder.clocks.virtualclock import VirtualClock
from mountladder_standins.forwardfleet import ForwardFleet
from mountladder_standins.localfleet import LocalFleet


@fixture
def virtual_fleet(context):
    clock = VirtualClock()
    context.clock = clock
    context.fleet = LocalFleet(clock)
    context.run = lambda function, *args, **kw: clock.run(gevent.spawn(function, *args, **kw))
    context.outcomes = {}
    context.tasks = {}
    yield context.fleet
    context.fleet.stop()


@fixture
def forward_fleet(context):
    clock = VirtualClock()
    context.clock = clock
    context.fleet = ForwardFleet(clock)
    context.run = lambda function, *args, **kw: clock.run(gevent.spawn(function, *args, **kw))
    context.ends = {}
    context.arrived = {}
    context.ended_at = {}
    context.took = {}
    yield context.fleet
    context.fleet.stop()


@fixture
def scenario_stack(context):
    with ExitStack() as stack:
        context.stack = stack
        yield stack


def before_scenario(context, scenario):
    use_fixture(scenario_stack, context)
    if "forwarding" in scenario.effective_tags:
        use_fixture(forward_fleet, context)
    if "virtual" in scenario.effective_tags:
        use_fixture(virtual_fleet, context)
