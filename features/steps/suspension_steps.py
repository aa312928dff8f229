# suspension_steps.py -- Steps about clocks and instances on suspended machines
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about clocks and instances on suspended machines."""

import time
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import catalogue, request
from gevent.event import Event

from mountladder.clocks.systemclock import SystemClock
from mountladder.errors import MountladderError, WaitTimeoutError
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.forwarder import Forwarder
from mountladder.forwarding.shutdown import Shutdown
from mountladder.metrics.memorymetrics import MemoryMetrics


@given("a clock of a machine")
def clock(context):
    context.suspended = 0.0
    context.clock = SystemClock(boottime=lambda: time.monotonic() + context.suspended)
    context.started_at = context.clock.now()
    context.done = Event()


@given("a scheduled call due in {ms:d} ms")
def call_waits(context, ms):
    context.cancel = context.clock.call_later(float(ms), context.done.set)


def run_in_task(context, function):
    """Run a function in a task; the task waits already when this returns."""
    done = context.done
    task = gevent.spawn(function)
    task.rawlink(lambda _: done.set())
    context.stack.callback(task.kill)
    gevent.sleep(0)


@given("a task that sleeps for {ms:d} ms")
def task_sleeps(context, ms):
    run_in_task(context, lambda: context.clock.sleep(float(ms)))


@given("a wait for an event up to {ms:d} ms")
def task_waits(context, ms):
    run_in_task(context, lambda: context.clock.wait(Event(), float(ms)))


@given("a timeout of {ms:d} ms")
def limit_runs(context, ms):
    def limited():
        try:
            with context.clock.time_limit(float(ms)):
                Event().wait()
        except WaitTimeoutError:
            return

    run_in_task(context, limited)


@when("the machine is suspended for {ms:d} ms")
def suspended(context, ms):
    context.suspended += ms / 1000.0


@when("the clock is read")
def read_clock(context):
    context.clock.now()


@when("the call is cancelled")
def cancelled(context):
    context.cancel()


@then("{ms:d} ms have passed on the clock")
def passed(context, ms):
    # Up to 5 s more, since the machine that runs this may be busy.
    assert ms <= context.clock.now() - context.started_at < ms + 5_000


@then("it has {outcome} within {ms:d} ms")
def outcome_within(context, outcome, ms):
    assert context.done.wait(ms / 1000.0) == (outcome == "expired")


@given("a forwarding instance on a clock of a machine, with a catalogue from the store")
def fed_instance(context):
    clock(context)
    follower = CatalogueFollower(lambda encoded: catalogue(1), context.clock)
    follower.adopt(b"1", "store")
    follower.confirm(context.clock.now())
    shutdown = Shutdown(context.clock, lambda: 8_000.0)
    relay = SimpleNamespace(is_needed=lambda: False)
    shared = SimpleNamespace(
        follower=follower, shutdown=shutdown, metrics=MemoryMetrics(), relay=relay
    )
    context.follower, context.forwarder = follower, Forwarder(shared)


@then("its catalogue is {ms:d} ms old")
def catalogue_age(context, ms):
    assert ms <= context.follower.age_ms() < ms + 5_000


@then("an unknown route is refused with code {code:d}")
def unknown_refused(context, code):
    try:
        context.forwarder.serve(request("r", "/nothing/1", context.clock.now()))
    except MountladderError as error:
        assert error.code.number == code, error
    else:
        raise AssertionError("it was served")


@when("the clock is read {times:d} times")
def read_often(context, times):
    plain = SystemClock()
    began = time.perf_counter()
    for _ in range(times):
        plain.now()
    context.mean_us = (time.perf_counter() - began) / times * 1e6


@then("each reading took at most {us:d} microseconds")
def mean_at_most(context, us):
    assert context.mean_us <= us, context.mean_us
