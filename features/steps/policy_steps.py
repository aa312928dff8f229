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
    context.ours = run(name, ExpectedCompletion(), seed)
    context.other = run(name, LeastOutstanding(), seed)


@then("expected completion attains at least {least:f} of the requests")
def reaches(context, least):
    assert context.ours.attainment >= least, context.ours


@then("at least {least:f} of those of teams that do not flood, and no less than least outstanding")
def others(context, least):
    assert context.ours.others >= max(least, context.other.others), (context.ours, context.other)


@when('the workload "{name}" runs with seed {seed:d} with and without thrift')
def thrift(context, name, seed):
    context.plain = run(name, ExpectedCompletion(), seed)
    context.thrifty = run(name, ExpectedCompletion(thrift=0.8), seed)


@then(
    "a complete answer costs at most {most:f} of its cost without thrift and attainment is at"
    " least {least:f}"
)
def cheaper(context, most, least):
    assert context.thrifty.cost <= most * context.plain.cost, (context.thrifty, context.plain)
    assert context.thrifty.attainment >= least, context.thrifty
