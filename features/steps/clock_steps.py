# clock_steps.py -- Steps about waiting for events with a timeout
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about waiting for events with a timeout."""

from weakref import ref

import gevent
from behave import given, then, when
from gevent.event import Event

from mountladder.clocks.systemclock import SystemClock
from mountladder.clocks.virtualclock import VirtualClock

CLOCKS = {"system": SystemClock, "virtual": VirtualClock}


@given("the {kind} clock")
def step_clock(context, kind):
    context.clock = CLOCKS[kind]()
    context.event = Event()


@when("a task waits for an event {number:d} times for {delay:d} ms each")
def step_wait(context, number, delay):
    run = getattr(context.clock, "run", None)
    task = gevent.spawn(lambda: [context.clock.wait(context.event, delay) for _ in range(number)])
    if run is not None:
        run(task)
    assert task.get(timeout=5) == [False] * number


@when("another task, which waits for the event, is killed")
def step_kill(context):
    task = gevent.spawn(context.clock.wait, context.event, 60_000.0)
    gevent.idle()
    assert context.event.linkcount() == 1
    task.kill()


@then("the event has no links left")
def step_no_links(context):
    assert context.event.linkcount() == 0, context.event.linkcount()


@when("{number:d} tasks wait for an event for {delay:d} ms and it is set after {after:d} ms")
def step_set(context, number, delay, after):
    context.started = context.clock.now()
    context.tasks = [gevent.spawn(context.clock.wait, context.event, delay) for _ in range(number)]
    gevent.sleep(after / 1000.0)
    context.event.set()


@then("all of them return within {limit:d} ms and report that it was set")
def step_returned(context, limit):
    assert [task.get(timeout=5) for task in context.tasks] == [True] * len(context.tasks)
    assert context.clock.now() - context.started < limit


@when("a call is set in {delay:d} ms, and then {end}")
def step_call(context, delay, end):
    def called():
        """Do nothing."""

    context.called = ref(called)
    context.cancel = context.clock.call_later(delay, called)
    del called
    assert context.called() is not None
    if end == "cancelled":
        context.cancel()
        return
    run = getattr(context.clock, "run", gevent.Greenlet.get)
    run(gevent.spawn(context.clock.sleep, 4.0 * delay))


@then("only its cancellation is kept")
def step_not_kept(context):
    assert context.called() is None, context.called()
    context.cancel()
