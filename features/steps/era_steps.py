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

NEW_START = 77


@when("server {name} restarts")
def new_start(context, name):
    # The sequence numbers of its entries start from 0 again.
    context.fleet.sequences[name] = 0
    context.fleet.add_server(name, "desk", "a", born=NEW_START)


@then("every instance knows server {name} with its new start time")
def knows_start(context, name):
    for instance in context.fleet.instances.values():
        found = instance.directory.available("desk")
        names = {one.name for one in found if one.labels[ID_LABEL] == name}
        assert names == {f"{name}@{NEW_START}"}, names


@when("{number:d} unreadable rows are written to the list")
def other_rows(context, number):
    for n in range(number):
        context.fleet.servers.put(f"other-{n}", b"nonsense")


@when("instance {name} reaches neither the store nor its peers")
def isolated(context, name):
    instance = context.fleet.instances[name]
    context.kept = [
        (one, one.source) for one in (instance.catalogue_source, instance.directory_source)
    ]
    for follower, _ in context.kept:
        twin = type(context.fleet.catalogue)(context.clock)
        twin.down = True
        follower.source = twin
    for other in context.fleet.instances:
        if other != name:
            context.fleet.network.cut_instances.add(frozenset({name, other}))


@when("instance {name} reaches its peers again")
def reaches_again(context, name):
    context.fleet.network.cut_instances.clear()


@when("announcements of instances are recorded")
def watch(context):
    plain = context.fleet.instance_list.announce
    context.announced = []

    def announce(instance):
        context.announced.append((context.clock.now(), instance.name))
        plain(instance)

    context.fleet.instance_list.announce = announce


@then("the store lists every instance")
def all_listed(context):
    listed = {one.name for one in context.fleet.instance_list.instances()}
    assert listed == set(context.fleet.instances), set(context.fleet.instances) - listed


@then("at most {number:d} instances are announced within any {ms:d} ms")
def spread(context, number, ms):
    times = [at for at, _ in context.announced]
    assert times
    most = max(sum(1 for one in times if at <= one < at + ms) for at in times)
    assert most <= number, most


@then("no instance is announced more than once")
def once(context):
    names = [name for _, name in context.announced]
    assert len(names) == len(set(names)), names


@then("no instance is announced again")
def none_again(context):
    assert not context.announced, context.announced


class StoreAnswers:
    """Fake HTTP client of the store, whose era rises after a given call."""

    def __init__(self, era):
        self.era = era
        self.pages = 1
        self.rises_after = None
        self.read_calls = 0

    def read(self, path, fields, answer_ms=None):
        self.read_calls += 1
        value = base64.b64encode(b"v").decode()
        more = self.read_calls % 2 == 1 and self.pages > 1
        row = {"key": f"k{self.read_calls}", "ver": 7, "value": value}
        data = json.dumps({"rows": [row], "ver": 9, "more_pages": more}).encode()
        answer = SimpleNamespace(status=200, headers={"Store-Era": str(self.era)}, data=data)
        if self.read_calls == self.rises_after:
            self.era += 1
        return answer


@given("a store over HTTP whose era is {era:d}")
def http_store(context, era):
    context.answers = StoreAnswers(era)
    context.store_table = StoreTable(context.answers, "servers")


@then("its rows are of era {era:d}")
def of_era(context, era):
    page = context.store_table.read()
    context.position = page.position
    assert {one.position.era for one in page.rows} | {page.position.era} == {era}


@when("the store over HTTP is restored from an older copy")
def http_older(context):
    context.answers.era += 1


@then("changes since that position are refused, and its rows are of era {era:d}")
def reading_on(context, era):
    try:
        context.store_table.changes(context.position, 10.0)
    except HistoryLostError as error:
        assert error.after == context.position
    else:
        raise AssertionError("changes of another era were accepted")
    of_era(context, era)


@given("a store over HTTP that is restored between two pages of a read")
def between_pages(context):
    http_store(context, 1)
    context.answers.pages, context.answers.rises_after = 2, 1


@then("the read is refused, and the next one returns rows of one era")
def refused_once(context):
    try:
        context.store_table.read()
    except HistoryLostError:
        of_era(context, 2)
    else:
        raise AssertionError("rows of two eras were returned by one read")
