# document_steps.py -- Steps about documents, settings and the tables in docs/
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about documents, settings and the tables in docs/."""

import dataclasses
from importlib import resources
from pathlib import Path

from behave import then, when

from mountladder.code import Code
from mountladder.configuration.change import Change
from mountladder.configuration.check import check
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.documents import parse_documents
from mountladder.configuration.selector import Selector
from mountladder.configuration.settings import Settings
from mountladder.errors import MountladderError
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.metrics.metric import Metric

DOCS = Path(__file__).parents[2] / "docs"
BAD_FORWARDING = """
name = "a-1"
datacentre = "a"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peer = "127.0.0.1:3"
peer_listen = "127.0.0.1:3"
metrics = "127.0.0.1:4"
secret = "s"
seeds = []
retry_ratio = "much"
retry_window_s = 10
retry_reserve = 58
grace_s = 8
drain_ms = 2000
core_share = 0.5
core_speed = 2
colour = "red"
"""
BAD_SETTINGS = """
name = "x"
datacentre = 3
web = "localhost:80"
peer = "127.0.0.1:9"
platform = "ftp://x"
secret = "short"
poll_ms = -1
colour = "red"
"""


def toml_lines(text):
    return text.replace(" ; ", "\n").replace("]] ", "]]\n")


def collect_faults(context, function):
    context.faults = []
    try:
        return function()
    except* MountladderError as group:
        context.faults = list(group.exceptions)
    return None


def check_documents(documents):
    change = Change(1, "o", "a", 0.0, tuple(documents), ())
    return check(Configuration().after(change))


@when("the documents {text} are read")
def read(context, text):
    collect_faults(context, lambda: parse_documents(toml_lines(text), "file.toml"))


@when("the documents {text} are checked")
def read_and_check(context, text):
    collect_faults(context, lambda: check_documents(parse_documents(toml_lines(text), "file.toml")))


@then("the faults are {codes} and name {word}")
def faults_are(context, codes, word):
    found = [error.code.number for error in context.faults]
    assert found == [int(code) for code in codes.split()], context.faults
    assert any(word in str(error) for error in context.faults), context.faults


@then('the selector "{text}" is {verb} by the labels {labels}')
def selector_meets(context, text, verb, labels):
    label_values = dict(pair.split("=") for pair in labels.split(","))
    source = "" if text == "(empty)" else text
    assert Selector.parse(source).meets(label_values) == (verb == "met")


def example(name):
    text = (resources.files("mountladder_cli") / "examples" / name).read_text()
    return parse_documents(text, name)


@when('the example "{name}" is checked')
def check_example(context, name):
    context.documents = example(name)
    context.warnings = collect_faults(context, lambda: check_documents(context.documents))


@when('the example "{name}" is checked with a team selector that no server meets')
def check_unmet(context, name):
    changed = [
        dataclasses.replace(one, selector="colour = red") if one.kind == "team" else one
        for one in example(name)
    ]
    context.warnings = collect_faults(context, lambda: check_documents(changed))


@then("the warnings are all {code:d}")
def warnings_are(context, code):
    assert context.warnings and {one.code.number for one in context.warnings} == {code}


@then("there is no fault and no warning")
def no_fault(context):
    assert not context.faults and context.warnings == [], (context.faults, context.warnings)


@then("it holds {servers:d} backend servers and {teams:d} teams")
def document_counts(context, servers, teams):
    kinds = [one.kind for one in context.documents]
    assert (kinds.count("server"), kinds.count("team")) == (servers, teams)


@when("settings with six faults are read")
def bad_settings(context):
    collect_faults(context, lambda: Settings.read(BAD_SETTINGS, "settings.toml"))


def table_rows(name):
    lines = (DOCS / name).read_text().splitlines()
    table = [line for line in lines if line.startswith("|")]
    return [[cell.strip(" `") for cell in line.strip("|").split("|")] for line in table[2:]]


@then("docs/RESULT-CODES.md lists each code with its class, status and meaning")
def codes_listed(context):
    expected = [
        [str(one.number), one.name.lower(), one.result.value, str(one.status), one.meaning]
        for one in Code
    ]
    assert table_rows("RESULT-CODES.md") == expected


@then("docs/METRICS.md lists each metric with its type")
def metrics_listed(context):
    assert table_rows("METRICS.md") == [[one.label, one.type, one.meaning] for one in Metric]


@then("docs/SETTINGS.md lists each setting")
def settings_listed(context):
    own = [field.name for field in dataclasses.fields(Settings)]
    forwarding = [field.name for field in dataclasses.fields(ForwardingSettings)]
    assert [row[0] for row in table_rows("SETTINGS.md")] == [*own, "key", "---", *forwarding]


@then("the template of the platform's settings names each of them once")
def template_complete(context):
    text = (DOCS.parent / "platform" / "settings.toml").read_text()
    keys = [line.partition(" = ")[0] for line in text.splitlines() if " = " in line]
    assert keys == [field.name for field in dataclasses.fields(ForwardingSettings)]


@when("forwarding settings with a missing, a wrong and an unknown key are read")
def bad_forwarding(context):
    collect_faults(context, lambda: ForwardingSettings.read(BAD_FORWARDING, "settings.toml"))
