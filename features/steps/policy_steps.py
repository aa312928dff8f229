# policy_steps.py -- Steps that run workloads under routing policies
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that run workloads under routing policies."""

from behave import then, when

from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.leastoutstanding import LeastOutstanding
from mountladder_standins import workloads
from mountladder_standins.experiment import Experiment


def run(name, policy, seed):
    workload = next(one for one in workloads.ALL if one.name == name)
    return Experiment(workload, policy, seed).run()


@when('the workload "{name}" runs with seed {seed:d} under both policies')
def both(context, name, seed):
    context.expected_completion = run(name, ExpectedCompletion(), seed)
    context.least_outstanding = run(name, LeastOutstanding(), seed)


@then("expected completion attains at least {minimum:f} of the requests")
def attains(context, minimum):
    assert context.expected_completion.attainment >= minimum, context.expected_completion


@then(
    "at least {minimum:f} of those of teams that do not flood, and no less than least outstanding"
)
def others_attain(context, minimum):
    assert context.expected_completion.others_attainment >= max(
        minimum, context.least_outstanding.others_attainment
    ), (context.expected_completion, context.least_outstanding)


@when('the workload "{name}" runs with seed {seed:d} with and without thrift')
def thrift(context, name, seed):
    context.without_thrift = run(name, ExpectedCompletion(), seed)
    context.with_thrift = run(name, ExpectedCompletion(thrift=0.8), seed)


@then(
    "a complete answer costs at most {maximum:f} of its cost without thrift and attainment is at"
    " least {minimum:f}"
)
def cheaper(context, maximum, minimum):
    assert context.with_thrift.cost <= maximum * context.without_thrift.cost, (
        context.with_thrift,
        context.without_thrift,
    )
    assert context.with_thrift.attainment >= minimum, context.with_thrift
