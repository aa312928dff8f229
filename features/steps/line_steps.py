# line_steps.py -- Steps about the log lines of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the log lines of a request."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from mountladder_cli.main import main


@given("logs of two instances with lines of requests r1 and r2")
def logs(context):
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    first = [
        {"message_type": "ended", "request": "r1", "timestamp": 12.5, "code": 0},
        {"message_type": "received", "request": "r1", "timestamp": 10.0},
        {"message_type": "received", "request": "r2", "timestamp": 10.1},
    ]
    second = [{"message_type": "pieces-made", "requests": ["r2", "r1"], "timestamp": 11.0}]
    context.files = []
    for name, messages in (("a", first), ("b", second)):
        path = folder / name
        lines = ["a-1 " + json.dumps(one) for one in messages] + ["r1 no JSON", '{"r1": 1}']
        path.write_text("\n".join(lines))
        context.files.append(str(path))


@when("the lines of {request} are asked for")
def ask(context, request):
    context.result = CliRunner().invoke(main, ["lines", request, *context.files])


@then("they are received, pieces-made, ended in this order with the time since the first")
def in_order(context):
    assert context.result.exit_code == 0, context.result.output
    words = [line.split()[:3] for line in context.result.output.splitlines()]
    assert words == [
        ["0.0", "ms", "received"],
        ["1000.0", "ms", "pieces-made"],
        ["2500.0", "ms", "ended"],
    ], words


@then("the command fails and names {request}")
def fails(context, request):
    assert context.result.exit_code != 0
    assert request in context.result.output
