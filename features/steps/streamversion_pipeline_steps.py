# streamversion_pipeline_steps.py -- Steps about pipelines whose engines run several versions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about pipelines whose engines run several versions."""

from dataclasses import replace

from behave import given, then

IN_FORCE_MS = 2_000.0


@given("engine {one} has the label version {first} and engine {other} {second}")
def label_engines(context, one, first, other, second):
    runtime = next(iter(context.fleet.runtimes.values()))
    documents = runtime.follower.configuration.documents
    labelled = [
        replace(documents[key], labels=documents[key].labels | {"version": version})
        for key, version in ((f"server/{one}", first), (f"server/{other}", second))
    ]
    context.run(context.fleet.change_configuration, labelled)
    context.run(context.clock.sleep, IN_FORCE_MS)


@then("its tokens came from {number:d} engines")
def engines_that_ran(context, number):
    engines = {
        name
        for name, server in context.fleet.servers.items()
        if any(one.work == "generate" for one in server.ran)
    }
    assert len(engines) == number, engines
