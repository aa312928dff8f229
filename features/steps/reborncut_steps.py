# reborncut_steps.py -- Steps about servers that start again while an instance has an old list
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about servers that start again while an instance has an old list."""

from behave import given
from forward_steps import SETTLE_MS
from forwardbasics import save_retries
from streamversion_steps import configure, set_load

FIRST_START = 5
LATER_START = 9
# By then an instance has heard from its peers and the store again.
IN_TOUCH_MS = 3_000.0


@given("instances {names} and model servers of two versions that started at {born:d}")
def versions_fleet(context, names, born):
    configure(context, backups=None)
    for name in names.split(", "):
        context.fleet.start(name)
    context.versions = {}
    for row in context.table:
        add_server(context, row["server"], row["datacentre"], row["version"], born)
    context.run(context.clock.sleep, SETTLE_MS)
    save_retries(context)
    context.plans = []
    context.bodies = {}


def add_server(context, id_, datacentre, version, born):
    context.versions[f"{id_}@{born}"] = version
    context.fleet.upstream.started_at[id_] = born
    context.fleet.add_server(id_, "llm", datacentre, born=born, version=version)


@given("a server {id_} in data centre {datacentre} with version {version} that started at {born:d}")
def another_server(context, id_, datacentre, version, born):
    add_server(context, id_, datacentre, version, born)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {id_} starts again at version {version}")
def starts_again(context, id_, version):
    upstream = context.fleet.upstream
    upstream.started_at[id_] = LATER_START
    before = f"{id_}@{FIRST_START}"
    if before in upstream.crashed:
        upstream.crashed.remove(before)
    context.fleet.add_server(id_, "llm", "b", born=LATER_START, version=version)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {name} has the least to do")
def has_least(context, name):
    set_load(context, {name: 0})


@given("{name} is in touch again")
def in_touch_again(context, name):
    fleet, instance = context.fleet, context.fleet.instances[name]
    fleet.network.cut_instances.clear()
    instance.catalogue_source.source = fleet.catalogue
    instance.directory_source.source = fleet.servers
    instance.origins.version_record.store = fleet.version_store
    instance.origins.archive.store = fleet.origin_store
    context.run(context.clock.sleep, IN_TOUCH_MS)


@given("{name} is still cut off")
def still_cut_off(context, name):
    assert not context.fleet.instances[name].follows_store()
