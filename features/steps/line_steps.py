# line_steps.py -- Steps about the commands that read log lines of requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the commands that read log lines of requests."""

import json
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from mountladder_cli.main import main


@given("logs of two instances with lines of requests r1 and r2")
def logs_of_two(context):
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


@when("the log lines of {request} are requested")
def request_lines(context, request):
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
def command_fails(context, request):
    assert context.result.exit_code != 0
    assert request in context.result.output


# Log lines of each request: seconds since it was received, type of the line, fields.
TRACES = {
    "quick": [(0.2, "sent", {"server": "s1"}), (0.5, "ended", {"code": 0, "elapsed_ms": 500})],
    "staged": [
        (0.1, "let-in", {}),
        (1.2, "pieces-made", {"service": "rank"}),
        (1.3, "stages-done", {}),
        (1.3, "sent", {"server": "s1"}),
        (1.4, "first-event", {"elapsed_ms": 1_400}),
        (2.0, "ended", {"code": 0, "elapsed_ms": 2_000}),
    ],
    "read": [
        (0.1, "stages-done", {}),
        (0.1, "sent", {"server": "s2"}),
        (1.4, "first-event", {"elapsed_ms": 1_400}),
        (2.0, "ended", {"code": 0, "elapsed_ms": 2_000}),
    ],
    "rejected": [
        (0.0, "ended", {"code": 2001, "reason": "expected 1200 ms, latency target 1000 ms"})
    ],
    "returning": [
        (0.0, "ended", {"code": 2001, "reason": "expected 1300 ms, latency target 1000 ms"})
    ],
    "left": [(0.0, "let-in", {}), (4.0, "ended", {"code": 3007, "elapsed_ms": 4_000})],
    "failed": [(0.0, "sent", {"server": "s3"}), (1.0, "ended", {"code": 3003})],
    "unended": [(0.0, "let-in", {}), (0.4, "pieces-late", {"service": "encode"})],
}
STATIONS = {
    "staged": "stage rank",
    "read": "server s2",
    "rejected": "admission: code 2001",
    "returning": "admission: code 2001",
    "left": "stages: no call was answered",
    "failed": "server s3",
    "unended": "stage encode",
}


@given("logs of a route with a latency target of {target_ms:d} ms")
def logs_with_target(context, target_ms):
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    messages = []
    for request, lines in TRACES.items():
        first = {"route": "r", "aim_ms": target_ms, "comes_back": request == "returning"}
        for after, kind, fields in [(0.0, "received", first), *lines]:
            key = {"requests": [request]} if kind.startswith("pieces") else {"request": request}
            messages.append({"message_type": kind, "timestamp": 100.0 + after} | key | fields)
    context.path = folder / "log"
    context.path.write_text("\n".join(json.dumps(one) for one in reversed(messages)))


@given("one line more that says that a server was sent {number:d} requests")
def add_counting_line(context, number):
    line = {"message_type": "cold-server-sent", "server": "llm-1", "requests": number}
    with context.path.open("a") as log:
        log.write("\n" + json.dumps(line) + "\n")


@when("the account of the logs is requested")
def request_account(context):
    plain = CliRunner().invoke(main, ["account", str(context.path)])
    assert plain.exit_code == 0, plain.output
    context.account = plain.output
    as_json = CliRunner().invoke(main, ["--output", "json", "account", str(context.path)])
    assert as_json.exit_code == 0, as_json.output
    context.traces = {one["request"]: one for one in json.loads(as_json.output)}


@then(
    "it counts {on_time:d} on time, {late:d} late, {refused:d} refused, {again:d} again,"
    " {left:d} left, {failed:d} failed and {unended:d} unended"
)
def counts_outcomes(context, **numbers):
    found = Counter(one["outcome"].replace(" ", "_") for one in context.traces.values())
    assert found == numbers, found


@then("the station of each request that was not on time is named")
def stations_named(context):
    for request, trace in context.traces.items():
        assert trace["station"] == STATIONS.get(request, ""), (request, trace)
        assert trace["station"] in context.account


@given(
    "logs of {number:d} requests of a route,"
    " the {large:d} largest of which were refused at admission"
)
def logs_by_size(context, number, large):
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    messages = []
    for n in range(number):
        code = 2001 if n < large else 0
        received = {"route": "r", "aim_ms": 1_000, "tokens": 1_000 * (number - n)}
        for kind, fields in (("received", received), ("ended", {"code": code, "elapsed_ms": 1})):
            messages.append({"message_type": kind, "timestamp": 100.0, "request": f"q{n}"} | fields)
    context.path = folder / "log"
    context.path.write_text("\n".join(json.dumps(one) for one in messages))


@then(
    "it shows the largest tenth with {refused:d} refused, {admission:d} of them at admission,"
    " and the others on time"
)
def shows_sizes(context, refused, admission):
    rows = {}
    for line in context.account.splitlines():
        for name in ("largest tenth", "fifth below", "the others"):
            if name in line:
                rows[name] = line.partition(name)[2].split()
    assert rows["largest tenth"] == ["19000", str(refused), str(admission)], rows
    assert rows["fifth below"] == ["15000", "4"], rows
    assert rows["the others"] == ["1000", "14"], rows
