# regression_steps.py -- Steps about the regression check of benchmark days
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the regression check of benchmark days."""

import importlib.util
import sys
from pathlib import Path

from behave import given, then, when

BENCH = Path(__file__).parents[2] / "bench"


def load():
    """Return the module of bench/regression.py, which belongs to no package."""
    spec = importlib.util.spec_from_file_location("regression", BENCH / "regression.py")
    module = sys.modules["regression"] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


regression = load()


@given("the bound of day {day} is {worth:g}, with a spread of {spread:g}")
def reached(context, day, worth, spread):
    context.bound = regression.Bound("large/x.toml", day, worth, spread)


@when('a run of it has worth {worth:g} and breaks rules "{rules}"')
def played(context, worth, rules):
    context.play = regression.Play(worth, tuple(rules.split()))


@when('a run of it has worth {worth:g} and breaks rules ""')
def played_well(context, worth):
    context.play = regression.Play(worth, ())


@then('the verdict is "{verdict}"')
def verdict_is(context, verdict):
    assert regression.verdict(context.bound, context.play) == verdict


@then('the verdict is ""')
def no_verdict(context):
    assert regression.verdict(context.bound, context.play) == ""


def entry(head, why, worth):
    day = {"name": "scale-1", "G": worth, "rules": {}, "fault": None}
    return {"head": head, "dirty": False, "why": why, "site": "x", "days": [day]}


@given("a journal with a regression run of this commit, one of another commit, and a trial")
def some_journal(context):
    context.entries = [
        entry("this", regression.WHY, 0.6),
        entry("other", regression.WHY, 0.5),
        entry("this", "trial", 0.4),
    ]


@then("only the first counts as done")
def only_first(context):
    found = regression.played(context.entries, "this")
    assert found == {("x", "scale-1"): regression.Play(0.6, ())}


@then("every bound names a site, a day and a worth")
def bounds_read(context):
    bounds = regression.read_bounds(BENCH / "regression.toml")
    assert bounds
    assert all(one.site.endswith(".toml") and one.day and one.worth > 0 for one in bounds)
