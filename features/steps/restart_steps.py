# restart_steps.py -- Steps about servers that start again and entries of other writers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about servers that start again and entries of other writers."""

import base64
import json
from types import SimpleNamespace

from behave import given, then, when
from forwardbasics import PATHS, placement_coordinator, request, serve
from mountladder_platform.decoding import decode_server
from mountladder_platform.store import StoreTable
from mountladder_platform.storeinstances import StoreInstances

from mountladder.errors import BadRowError
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.serverrecord import listed_server
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.store.position import Position

SHARED = Prompt(1_000, 10, (PromptPart("shared", 900), PromptPart("own", 100)))
RESULT_BYTES = 6_000_000.0
JSON_TEXTS = {"400 digits": "9" * 400}
LATER = 1_700_000_000_123
DEEP = "[" * 100_000
BYTES = {"\\xff\\xfe\\x00": b"\xff\xfe\x00", "nothing": b"", "deeply nested": DEEP.encode()}
INSTANCE = {"incarnation": "x", "datacentre": "a", "peer": "10.1.0.1:7", "cores": 1.0, "since": 9}
ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "concurrency": 8,
    "phase": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def named(instance, id_):
    """Return the server that an instance knows under an id."""
    return instance.directory.records[id_].server


def state(instance, id_):
    return instance.router.state(named(instance, id_))


@given("every instance has taken {first} and {second} out of use, since they said that they leave")
def out_of_use(context, first, second):
    for instance in context.fleet.instances.values():
        for id_ in (first, second):
            state(instance, id_).mark_leaving(context.clock.now())


def list_again(context, id_, born):
    record = next(iter(context.fleet.instances.values())).directory.records[id_]
    context.fleet.add_server(id_, record.service, record.server.datacentre, born=born)


@when("server {id_} is listed with a later start")
def later_start(context, id_):
    list_again(context, id_, LATER)


@when("server {id_} is listed again with the same start")
def same_start(context, id_):
    list_again(context, id_, 0)


@then("a request to each instance is served by {id_}")
def served_by(context, id_):
    for name in context.fleet.instances:
        sent = request(f"to {name}", PATHS["safe"], context.clock.now())
        context.run(serve, context, name, sent)
        assert context.ends[sent.id][:2] == (200, named_body(context, name, id_)), context.ends


def named_body(context, name, id_):
    return named(context.fleet.instances[name], id_).name.encode()


@given("every instance knows that {id_} keeps parts of prompts, is slow and has results of 6 MB")
def knows(context, id_):
    for instance in context.fleet.instances.values():
        server = named(instance, id_)
        placement(instance).record_start(server.name, SHARED, 0)
        state(instance, id_).record_time_ratio(4.0, context.clock.now())
        instance.dispatch.batcher("enc").result_memory.reserve(server.name, RESULT_BYTES)


def placement(instance):
    return placement_coordinator(instance).placement


def known(context, id_):
    """Return what each instance knows of a server: kept tokens, slowness, bytes of results."""
    now = context.clock.now()
    found = []
    for instance in context.fleet.instances.values():
        one = state(instance, id_)
        room = instance.dispatch.batcher("enc").result_memory.used_bytes(one.server.name, now)
        found.append((placement(instance).cached_tokens(one, SHARED), one.slowness, room))
    return found


@then("no instance takes {id_} to keep any part, to be slow or to have results")
def knows_nothing(context, id_):
    assert known(context, id_) == [(0, 1.0, 0.0)] * 3, known(context, id_)


@then("every instance still knows this of {id_}")
def still_knows(context, id_):
    for kept, slowness, room in known(context, id_):
        assert kept == 900 and slowness > 1.0 and room == RESULT_BYTES, (kept, slowness, room)


@then("instance {name} knows the later start of {id_}")
def knows_start(context, name, id_):
    assert context.fleet.instances[name].directory.records[id_].born == LATER


@given('a backend server that answers "{answer}", started at {born:d}')
def started_at(context, answer, born):
    context.execute_steps(f'Given a backend server that answers "{answer}"')
    address = context.server.address
    context.server = listed_server("i-1", "desk", address, "a", 8, False, born)


@then("the server is named by its id alone")
def id_alone(context):
    ((head, _),) = context.got
    assert b"Mountladder-Expect-Instance: i-1\r\n" in head + b"\r\n", head


def read(context, value):
    try:
        context.record = decode_server(SourceRow("i-1", value, Position(0, 7)))
    except BadRowError:
        context.record = None


@when("an entry of the bytes {text} is read")
def read_bytes(context, text):
    read(context, BYTES.get(text, text.encode()))


def written(table, field, value):
    """Return a table as JSON bytes with a field missing, or as the JSON text that is given."""
    changed = {name: one for name, one in table.items() if name != field}
    if value != "missing":
        changed[field] = "@"
    # Put in as it is written, since JSON texts may hold what no Python value is written as.
    return json.dumps(changed).replace('"@"', JSON_TEXTS.get(value, value)).encode()


@when("a server's entry is read, but for {field} as {value}")
def read_entry(context, field, value):
    read(context, written(ENTRY, field, value))


@then("it names no server")
def no_server(context):
    assert context.record is None, context.record


@then("it names a server that is {word}, started at {born:d}")
def a_server(context, word, born):
    record = context.record
    assert record is not None and record.born == born, record
    assert record.server.draining == (word == "draining")


@when('the bytes "{text}" are written as the entry of {id_}')
def write_entry(context, text, id_):
    context.fleet.servers.put(id_, text.encode())


def answering(values):
    """Return a client of the store that answers with a page of rows of these values."""
    rows = [{"key": f"edge-{n}", "value": value, "ver": n} for n, value in enumerate(values, 1)]
    data = json.dumps({"rows": rows, "ver": 9}).encode()
    answer = SimpleNamespace(status=200, headers={}, data=data)
    return SimpleNamespace(read=lambda *args: answer)


def packed(value):
    return base64.b64encode(value).decode()


@given("a store whose rows are a sound one, one of broken bytes, one of a number and a sound one")
def broken_rows(context):
    values = [packed(b"one"), "no base64!", 17, packed(b"4")]
    context.store_table = StoreTable(answering(values), "servers")


@given("a list of instances whose second row of three has {field} as {value}")
def instance_rows(context, field, value):
    sound = packed(json.dumps(INSTANCE).encode())
    values = [sound, packed(written(INSTANCE, field, value)), sound]
    context.list = StoreInstances(answering(values))


@when("the list of instances is read")
def read_list(context):
    context.instances = context.list.instances()


@then("it names the first and the third instance")
def names_two(context):
    assert [one.name for one in context.instances] == ["edge-1", "edge-3"], context.instances


@when("the table is read")
def read_table(context):
    context.page = context.store_table.read()


@then("it has {number:d} rows, of which {sound:d} have bytes")
def has_rows(context, number, sound):
    assert len(context.page.rows) == number, context.page
    assert sum(bool(one.value) for one in context.page.rows) == sound, context.page
