# loading_steps.py -- Steps about how a process reads the store while it loads its modules
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about how a process reads the store while it loads its modules."""

import time
from types import SimpleNamespace
from unittest import mock

import bottle
from bar_steps import serve
from behave import given, then, when
from mountladder_platform import loading

from mountladder.clocks.systemclock import SystemClock
from mountladder.errors import StoreUnavailableError

# How long each fake import keeps the processor busy, as the import of a module does.
IMPORT_S = 0.02


@given("a store with both tables")
def store_with_tables(context, refusals=0):
    context.requested = []
    app = bottle.Bottle()

    @app.get("/mountladder/rows-get")
    def get():
        context.requested.append(bottle.request.query.table)
        if len(context.requested) <= refusals:
            raise bottle.HTTPResponse(status=503)
        return {"rows": [], "ver": len(context.requested), "more_pages": False}

    context.address = serve(context, app)


@given("a store with both tables that refuses the first reads")
def refusing_store(context):
    store_with_tables(context, refusals=2)


@when("a process loads the rest of its modules")
def loads(context):
    context.requested_by_import = []

    def fake_import(name):
        until = time.perf_counter() + IMPORT_S
        while time.perf_counter() < until:
            pass
        context.requested_by_import.append(set(context.requested))

    clock = SystemClock()
    settings = SimpleNamespace(store=context.address)
    with mock.patch.object(loading.importlib, "import_module", fake_import):
        context.startup = loading.load(settings, clock, clock.now(), None, None)
    context.stack.callback(context.startup.client.close)


@then("both tables were requested before the last module was loaded")
def requested_before(context):
    assert context.requested_by_import[-1] == {"op", "servers"}, context.requested_by_import


@then("both are read without another request")
def known(context):
    tables = (context.startup.catalogue, context.startup.servers)
    versions = {table.read().position.version for table in tables}
    assert versions == {1, 2}, versions
    assert len(context.requested) == 2, context.requested


@then("the first read of each fails and the second succeeds")
def fails_first(context):
    for table in (context.startup.catalogue, context.startup.servers):
        try:
            table.read()
        except StoreUnavailableError:
            assert table.read().position.version > 2
        else:
            raise AssertionError("it was answered")
