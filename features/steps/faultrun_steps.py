# faultrun_steps.py -- Steps that inject random faults and check the invariants
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that inject random faults and check the invariants."""

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

MAX_SEEDS = 12


def make_fault_run(seed):
    return FaultRun(seed, [*parse_documents(BASE, "base"), *SERVERS], TOKEN)


@when("faults from seeds {first:d} to {last:d} are injected under load")
def run_seeds(context, first, last):
    context.runs = {seed: make_fault_run(seed) for seed in range(first, last + 1)}
    context.violations = {seed: run.run() for seed, run in context.runs.items()}


@then("no invariant is violated")
def no_violations(context):
    violated = {seed: found for seed, found in context.violations.items() if found}
    assert not violated, violated


@then("requests were answered, refused and interrupted by crashes of instances")
def outcomes_are_mixed(context):
    calls = [call for run in context.runs.values() for call in run.calls]
    results = {call.outcome.result if call.outcome else "crashed" for call in calls}
    assert len(calls) > 1000 and {"done", "not_run", "unknown", "crashed"} <= results, results


def summarize_calls(run):
    return [
        (call.label, call.started, call.ended, call.outcome and (call.outcome.code))
        for call in run.calls
    ]


@when("faults from seed {seed:d} are injected twice")
def run_twice(context, seed):
    context.repeated_runs = [make_fault_run(seed), make_fault_run(seed)]
    for run in context.repeated_runs:
        run.run()


@then("both runs have the same calls and outcomes")
def runs_are_equal(context):
    first, second = (summarize_calls(run) for run in context.repeated_runs)
    assert first and first == second


def return_earlier_answer():
    body = PipelineRun.body
    earlier = []

    def earlier_body(self, stage):
        earlier.append(body(self, stage))
        return earlier[max(0, len(earlier) - 7)]

    return patch.object(PipelineRun, "body", earlier_body)


def end_cut_streams():
    stream = LocalBackend.stream

    def stream_without_error(self, server, call):
        try:
            yield from stream(self, server, call)
        except StageError:
            return

    return patch.object(LocalBackend, "stream", stream_without_error)


def decide_without_claim(self, request):
    return KeyDecision(record=self.record_running(request))


def all_servers(self, stage, team):
    return self.of_kind("server")


def read_without_deadline(self):
    self.task.join()
    if self.error is not None:
        raise self.error
    yield from self.chunks


MUTATIONS = {
    "returns the answer of another request": return_earlier_answer,
    "treats a stream that was cut as complete": end_cut_streams,
    "does not record what it dispatched": lambda: patch.object(
        Attempts, "mark_dispatched", lambda self: None
    ),
    "runs requests with keys without a claim": lambda: patch.object(
        Idempotency, "decide_claimed", decide_without_claim
    ),
    "repeats non-idempotent stages": lambda: patch.object(
        Attempts, "may_repeat", lambda self, stage: True
    ),
    "ignores selectors": lambda: patch.object(Configuration, "servers_for", all_servers),
    "is ready before it has the newest revision": lambda: patch.object(
        Runtime, "ready", property(lambda self: not self.stopping.is_set())
    ),
    "treats every conflict as its own change": lambda: patch.object(
        ChangeLog, "is_own", lambda self, change: True
    ),
    "waits for a push without a deadline": lambda: patch.object(
        DetachedRun, "read", read_without_deadline
    ),
    "does not request changes from peers": lambda: patch.object(
        Runtime, "follow", lambda self: self.poll() or self.clock.sleep(1e9)
    ),
}


@when("the code is mutated so that it {mutation}")
def mutate(context, mutation):
    context.broken = set()
    context.mutation = MUTATIONS[mutation]


@then('the violated invariant is "{invariant}"')
def check_violated(context, invariant):
    found = []
    for seed in range(MAX_SEEDS):
        run = make_fault_run(seed)
        with context.mutation():
            run.run_unchecked()
        found += [violation.invariant for violation in run.check()]
        if invariant in found:
            return
    raise AssertionError(f"{invariant!r} was not violated, only {set(found)}")
