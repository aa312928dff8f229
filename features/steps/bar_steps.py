# bar_steps.py -- Steps about stored bars and the operator's quarantine commands
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about stored bars and the operator's quarantine commands."""

import base64
import json

import bottle
from behave import given, then, when
from click.testing import CliRunner
from gevent.pywsgi import WSGIServer
from mountladder_platform.storesuspicions import StoreSuspicions

from mountladder.clocks.systemclock import SystemClock
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspicion import Suspicion
from mountladder_cli.main import main
from mountladder_entry import quarantinepages
from mountladder_entry.httpclient import HttpClient

WALL = 1_790_000_000_000.0
CRASHES = tuple(ServerCrash(f"i-{n}", 60.0 + n, WALL + 1_000.0 * n) for n in range(3))
BAR = Suspicion("ab" * 16, "llm", CRASHES, bars=1, barred_at=WALL + 2_000.0)
PRESUMED = Suspicion("ef" * 16, "llm", presumed=CRASHES)
TOKEN = "secret"
FAULTS = {
    "no JSON": b"{",
    "no servers": {"servers": [], "ran_ms": [], "ended_at": []},
    "a list too short": {"ran_ms": [1.0]},
    "a time before 1970": {"barred_at": -5.0},
    "a presumed list too short": {"presumed_servers": ["i-9"], "presumed_ran_ms": [1.0]},
}


@then("it {outcome} connections")
def refuses(context, outcome):
    assert context.upstream.refuses(context.server) == (outcome == "refuses")


def serve(context, application):
    """Serve an application for the scenario and return its address."""
    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    context.stack.callback(server.stop, 0.1)
    return f"127.0.0.1:{server.server_port}"


@given("a store that keeps rows of bars")
def bars_store(context):
    context.rows = {}
    app = bottle.Bottle()

    @app.get("/mountladder/rows-get")
    def get():
        rows = [{"key": key, "value": value, "ver": 1} for key, value in context.rows.items()]
        return {"rows": rows, "ver": 1, "more_pages": False}

    @app.post("/mountladder/rows-tx")
    def change():
        body = bottle.request.json
        assert body["expected"] == []
        context.rows.update({one["key"]: one["value"] for one in body["upserts"]})
        for one in body["remove"]:
            context.rows.pop(one["key"], None)
        return {"ver": 2}

    client = HttpClient(f"http://{serve(context, app)}", SystemClock(), 1_000.0)
    context.stack.callback(client.close)
    context.bars = StoreSuspicions(client)


@given("a row there with {fault}")
def faulty_row(context, fault):
    context.bars.write(BAR)
    (value,) = context.rows.values()
    context.rows.clear()
    found = FAULTS[fault]
    if not isinstance(found, bytes):
        found = json.dumps(json.loads(base64.b64decode(value)) | found).encode()
    context.rows["cd" * 16] = base64.b64encode(found).decode()


@when("a bar is written there and read again")
def written(context):
    context.bars.write(BAR)
    context.read = context.bars.read()


@then("it is the same bar")
def same_bar(context):
    assert context.read == (BAR,), context.read


@when("presumed crashes are written there and read again")
def presumed_written(context):
    context.bars.write(PRESUMED)
    context.read = context.bars.read()


@then("they are the same, and fields that earlier versions read show no crash and no bar")
def same_presumed(context):
    assert context.read == (PRESUMED,), context.read
    (value,) = context.rows.values()
    fields = json.loads(base64.b64decode(value))
    # Earlier versions skip a row without servers as malformed.
    assert (fields["servers"], fields["bars"]) == ([], 0), fields


@when("it is removed")
def removed(context):
    context.bars.remove(BAR.fingerprint)


@then("no bar is stored")
def none_kept(context):
    assert context.bars.read() == ()


@given("an instance's operator pages with one barred request")
def pages(context):
    clock = SystemClock()
    quarantine = Quarantine(clock, MemoryMetrics())
    for n in range(3):
        lost = Interruption(BAR.fingerprint, f"r{n}", 900.0, clock.now() - 1_000.0 + 100.0 * n)
        quarantine.handle_crash(f"i-{n}", "llm", [lost])
    app = bottle.Bottle()
    quarantinepages.install(app, quarantine, TOKEN)
    context.address = serve(context, app)


def command(context, token, *words):
    arguments = ["--operator-token", token, "quarantine", context.address, *words]
    context.result = CliRunner().invoke(main, arguments)


@when("an operator lists them with the token")
def lists(context):
    command(context, TOKEN)


@when('an operator lists them with the token "{token}"')
def lists_with(context, token):
    command(context, token)


@when("an operator clears it with the token")
def clears(context):
    command(context, TOKEN, "--lift", BAR.fingerprint)
    assert context.result.exit_code == 0, context.result.output


@then("the barred request is shown with its servers")
def shown(context):
    output = context.result.output
    assert BAR.fingerprint in output and "barred for" in output, output
    assert "i-0:900ms i-1:900ms i-2:900ms" in output, output


@then("nothing is shown")
def nothing_shown(context):
    assert context.result.output.strip() == "", context.result.output


@then("the command ends with status {status:d}")
def ends_with(context, status):
    assert context.result.exit_code == status, context.result.output
