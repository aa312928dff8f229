# faultrun_steps.py -- Steps that bring about faults at random
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that bring about faults at random."""

from unittest.mock import patch

from basics import BASE, SERVERS, TOKEN
from behave import then, when

from mountladder.claims.idempotency import Idempotency
from mountladder.claims.keydecision import KeyDecision
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.documents import parse_documents
from mountladder.errors import StageError
from mountladder.requests.attempts import Attempts
from mountladder.requests.detachedrun import DetachedRun
from mountladder.requests.pipelinerun import PipelineRun
from mountladder.runtime import Runtime
from mountladder_standins.faultrun import FaultRun
from mountladder_standins.localbackend import LocalBackend

MOST_SEEDS = 12


def fault_run(seed):
    return FaultRun(seed, [*parse_documents(BASE, "base"), *SERVERS], TOKEN)


@when("faults with seeds {first:d} to {last:d} are brought about under load")
def run_seeds(context, first, last):
    context.runs = {seed: fault_run(seed) for seed in range(first, last + 1)}
    context.violations = {seed: run.run() for seed, run in context.runs.items()}


@then("no promise is broken")
def none_broken(context):
    broken = {seed: found for seed, found in context.violations.items() if found}
    assert not broken, broken


@then("requests were answered, refused and cut off by the death of instances")
def mixed(context):
    calls = [call for run in context.runs.values() for call in run.calls]
    results = {call.outcome.result if call.outcome else "died" for call in calls}
    assert len(calls) > 1000 and {"done", "not_run", "unknown", "died"} <= results, results


def shape(run):
    return [
        (call.label, call.started, call.ended, call.outcome and (call.outcome.code))
        for call in run.calls
    ]


@when("faults with seed {seed:d} are brought about twice")
def run_twice(context, seed):
    context.pair = [fault_run(seed), fault_run(seed)]
    for run in context.pair:
        run.run()


@then("both runs have the same calls and outcomes")
def same_twice(context):
    first, second = (shape(run) for run in context.pair)
    assert first and first == second


def answer_of_another():
    body = PipelineRun.body
    earlier = []

    def swapped(self, stage):
        earlier.append(body(self, stage))
        return earlier[max(0, len(earlier) - 7)]

    return patch.object(PipelineRun, "body", swapped)


def cut_is_whole():
    stream = LocalBackend.stream

    def quiet(self, server, call):
        try:
            yield from stream(self, server, call)
        except StageError:
            return

    return patch.object(LocalBackend, "stream", quiet)


def without_claim(self, request):
    return KeyDecision(record=self.record_running(request))


def every_server(self, stage, team):
    return self.of_kind("server")


def without_deadline(self):
    self.task.join()
    if self.error is not None:
        raise self.error
    yield from self.chunks


MUTATIONS = {
    "hands out the answer of another request": answer_of_another,
    "takes a stream that was cut for whole": cut_is_whole,
    "forgets what it dispatched": lambda: patch.object(
        Attempts, "mark_dispatched", lambda self: None
    ),
    "runs keys without a claim": lambda: patch.object(Idempotency, "decide_claimed", without_claim),
    "repeats non-idempotent stages": lambda: patch.object(
        Attempts, "may_repeat", lambda self, stage: True
    ),
    "ignores selectors": lambda: patch.object(Configuration, "servers_for", every_server),
    "serves before it knows the newest revision": lambda: patch.object(
        Runtime, "ready", property(lambda self: not self.stopping.is_set())
    ),
    "takes every conflict for its own change": lambda: patch.object(
        ChangeLog, "is_own", lambda self, change: True
    ),
    "waits for a push without a deadline": lambda: patch.object(
        DetachedRun, "read", without_deadline
    ),
    "never asks peers for changes": lambda: patch.object(
        Runtime, "follow", lambda self: self.poll() or self.clock.sleep(1e9)
    ),
}


@when("the product is changed so that it {mutation}")
def mutate(context, mutation):
    context.broken = set()
    context.mutation = MUTATIONS[mutation]


@then('the broken promise is "{promise}"')
def found(context, promise):
    found = []
    for seed in range(MOST_SEEDS):
        run = fault_run(seed)
        with context.mutation():
            run.run_unchecked()
        found += [one.invariant for one in run.check()]
        if promise in found:
            return
    raise AssertionError(f"{promise!r} was not found broken, only {set(found)}")
