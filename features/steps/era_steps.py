# era_steps.py -- Steps about a store that is restored from an older copy
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about a store that is restored from an older copy."""

import base64
import json
from types import SimpleNamespace

from behave import given, then, when
from mountladder_platform.store import StoreTable

from mountladder.errors import HistoryLostError
from mountladder.forwarding.serverrecord import ID_LABEL

NEW_START_TIME = 77


@when("server {name} restarts")
def restart(context, name):
    # The sequence numbers of its entries start from 0 again.
    context.fleet.sequences[name] = 0
    context.fleet.add_server(name, "desk", "a", born=NEW_START_TIME)


@then("every instance knows server {name} with its new start time")
def knows_start_time(context, name):
    for instance in context.fleet.instances.values():
        found = instance.directory.available("desk")
        names = {one.name for one in found if one.labels[ID_LABEL] == name}
        assert names == {f"{name}@{NEW_START_TIME}"}, names


@when("{number:d} unreadable rows are written to the list")
def write_unreadable_rows(context, number):
    for n in range(number):
        context.fleet.servers.put(f"other-{n}", b"nonsense")


@when("instance {name} reaches neither the store nor its peers")
def isolate(context, name):
    instance = context.fleet.instances[name]
    context.replaced_sources = [
        (one, one.source) for one in (instance.catalogue_source, instance.directory_source)
    ]
    for follower, _ in context.replaced_sources:
        empty_table = type(context.fleet.catalogue)(context.clock)
        empty_table.down = True
        follower.source = empty_table
    for other in context.fleet.instances:
        if other != name:
            context.fleet.network.cut_instances.add(frozenset({name, other}))


@when("instance {name} reaches its peers again")
def reconnect(context, name):
    context.fleet.network.cut_instances.clear()


@when("announcements of instances are recorded")
def record_announcements(context):
    original = context.fleet.instance_list.announce
    context.announced = []

    def announce(instance):
        context.announced.append((context.clock.now(), instance.name))
        original(instance)

    context.fleet.instance_list.announce = announce


@then("the store lists every instance")
def all_listed(context):
    listed = {one.name for one in context.fleet.instance_list.instances()}
    assert listed == set(context.fleet.instances), set(context.fleet.instances) - listed


@then("at most {number:d} instances are announced within any {ms:d} ms")
def announcements_spread(context, number, ms):
    times = [at for at, _ in context.announced]
    assert times
    largest = max(sum(1 for one in times if at <= one < at + ms) for at in times)
    assert largest <= number, largest


@then("no instance is announced more than once")
def announced_once(context):
    names = [name for _, name in context.announced]
    assert len(names) == len(set(names)), names


@then("no instance is announced again")
def not_announced_again(context):
    assert not context.announced, context.announced


class FakeStoreClient:
    """Fake HTTP client of the store, whose era rises after a given call."""

    def __init__(self, era):
        self.era = era
        self.pages = 1
        self.restored_after_call = None
        self.read_calls = 0

    def read(self, path, fields, answer_ms=None):
        self.read_calls += 1
        value = base64.b64encode(b"v").decode()
        more = self.read_calls % 2 == 1 and self.pages > 1
        row = {"key": f"k{self.read_calls}", "ver": 7, "value": value}
        data = json.dumps({"rows": [row], "ver": 9, "more_pages": more}).encode()
        answer = SimpleNamespace(status=200, headers={"Store-Era": str(self.era)}, data=data)
        if self.read_calls == self.restored_after_call:
            self.era += 1
        return answer


@given("a store over HTTP whose era is {era:d}")
def http_store(context, era):
    context.store_client = FakeStoreClient(era)
    context.store_table = StoreTable(context.store_client, "servers")


@then("its rows are of era {era:d}")
def check_era(context, era):
    page = context.store_table.read()
    context.position = page.position
    assert {one.position.era for one in page.rows} | {page.position.era} == {era}


@when("the store over HTTP is restored from an older copy")
def restore_http(context):
    context.store_client.era += 1


@then("changes since that position are refused, and its rows are of era {era:d}")
def changes_refused(context, era):
    try:
        context.store_table.changes(context.position, 10.0)
    except HistoryLostError as error:
        assert error.after == context.position
    else:
        raise AssertionError("changes of another era were accepted")
    check_era(context, era)


@given("a store over HTTP that is restored between two pages of a read")
def restored_between_pages(context):
    http_store(context, 1)
    context.store_client.pages, context.store_client.restored_after_call = 2, 1


@then("the read is refused, and the next one returns rows of one era")
def read_refused_once(context):
    try:
        context.store_table.read()
    except HistoryLostError:
        check_era(context, 2)
    else:
        raise AssertionError("rows of two eras were returned by one read")
