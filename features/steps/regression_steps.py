# regression_steps.py -- Steps about the regression check of benchmark days
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the regression check of benchmark days."""

import importlib.util
import sys
from pathlib import Path

from behave import given, then, when

BENCH = Path(__file__).parents[2] / "bench"


def load_regression():
    """Return the module of bench/regression.py, which belongs to no package."""
    spec = importlib.util.spec_from_file_location("regression", BENCH / "regression.py")
    module = sys.modules["regression"] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


regression = load_regression()


@given("the bound of day {day} is {worth:g}, with a spread of {spread:g}")
def set_bound(context, day, worth, spread):
    context.bound = regression.Bound("large/x.toml", day, worth, spread)


@when('a run of it has worth {worth:g} and breaks rules "{rules}"')
def set_result(context, worth, rules):
    context.play = regression.Play(worth, tuple(rules.split()))


@when('a run of it has worth {worth:g} and breaks rules ""')
def set_result_without_faults(context, worth):
    context.play = regression.Play(worth, ())


@then('the verdict is "{verdict}"')
def verdict_is(context, verdict):
    assert regression.verdict(context.bound, context.play) == verdict


@then('the verdict is ""')
def verdict_is_empty(context):
    assert regression.verdict(context.bound, context.play) == ""


def make_entry(head, why, worth):
    day = {"name": "scale-1", "G": worth, "rules": {}, "fault": None}
    return {"head": head, "dirty": False, "why": why, "site": "x", "days": [day]}


@given("a journal with a regression run of this commit, one of another commit, and a trial")
def make_journal(context):
    context.journal = [
        make_entry("this", regression.WHY, 0.6),
        make_entry("other", regression.WHY, 0.5),
        make_entry("this", "trial", 0.4),
    ]


@then("only the first counts as done")
def only_first_done(context):
    results = regression.played(context.journal, "this")
    assert results == {("x", "scale-1"): regression.Play(0.6, ())}


@then("every bound names a site, a day and a worth")
def bounds_are_complete(context):
    bounds = regression.read_bounds(BENCH / "regression.toml")
    assert bounds
    assert all(bound.site.endswith(".toml") and bound.day and bound.worth > 0 for bound in bounds)
