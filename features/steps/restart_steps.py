# restart_steps.py -- Steps about restarted servers and malformed entries
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about restarted servers and malformed entries."""

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
LATER_START = 1_700_000_000_123
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


def listed(instance, id_):
    """Return the server that an instance lists under an id."""
    return instance.directory.records[id_].server


def state(instance, id_):
    return instance.router.state(listed(instance, id_))


@given("every instance avoids {first} and {second}, since they announced that they leave")
def out_of_use(context, first, second):
    for instance in context.fleet.instances.values():
        for id_ in (first, second):
            state(instance, id_).mark_leaving(context.clock.now())


def list_again(context, id_, born):
    record = next(iter(context.fleet.instances.values())).directory.records[id_]
    context.fleet.add_server(id_, record.service, record.server.datacentre, born=born)


@when("server {id_} is listed with a later start")
def later_start(context, id_):
    list_again(context, id_, LATER_START)


@when("server {id_} is listed again with the same start")
def same_start(context, id_):
    list_again(context, id_, 0)


@then("a request to each instance is served by {id_}")
def served_by(context, id_):
    for name in context.fleet.instances:
        sent = request(f"to {name}", PATHS["safe"], context.clock.now())
        context.run(serve, context, name, sent)
        assert context.ends[sent.id][:2] == (200, expected_body(context, name, id_)), context.ends


def expected_body(context, name, id_):
    return listed(context.fleet.instances[name], id_).name.encode()


@given("every instance records {id_} as slow, with cached prompt parts and 6 MB of results")
def records_state(context, id_):
    for instance in context.fleet.instances.values():
        server = listed(instance, id_)
        placement(instance).record_start(server.name, SHARED, 0)
        # A server is slow that is late again at a call that was sent after another one was late.
        now = context.clock.now()
        state(instance, id_).record_time_ratio(4.0, now, now - 1.0)
        state(instance, id_).record_time_ratio(4.0, now, now + 1.0)
        instance.dispatch.batcher("enc").result_memory.reserve(server.name, RESULT_BYTES)


def placement(instance):
    return placement_coordinator(instance).placement


def recorded_state(context, id_):
    """Return each instance's state of a server: cached tokens, slowness, bytes of results."""
    now = context.clock.now()
    found = []
    for instance in context.fleet.instances.values():
        one = state(instance, id_)
        result_bytes = instance.dispatch.batcher("enc").result_memory.used_bytes(
            one.server.name, now
        )
        found.append((placement(instance).cached_tokens(one, SHARED), one.slowness, result_bytes))
    return found


@then("no instance records {id_} as slow, with cached prompt parts or results")
def no_state_recorded(context, id_):
    assert recorded_state(context, id_) == [(0, 1.0, 0.0)] * 3, recorded_state(context, id_)


@then("every instance still has this state of {id_}")
def still_records_state(context, id_):
    for cached, slowness, result_bytes in recorded_state(context, id_):
        assert cached == 900 and slowness > 1.0 and result_bytes == RESULT_BYTES, (
            cached,
            slowness,
            result_bytes,
        )


@then("instance {name} knows the later start of {id_}")
def knows_start(context, name, id_):
    assert context.fleet.instances[name].directory.records[id_].born == LATER_START


@given('a backend server that answers "{answer}", started at {born:d}')
def started_at(context, answer, born):
    context.execute_steps(f'Given a backend server that answers "{answer}"')
    address = context.server.address
    context.server = listed_server("i-1", "desk", address, "a", 8, False, born)


@then("the expected server is given by its id alone")
def id_alone(context):
    ((head, _),) = context.received_requests
    assert b"Mountladder-Expect-Instance: i-1\r\n" in head + b"\r\n", head


def read(context, value):
    try:
        context.record = decode_server(SourceRow("i-1", value, Position(0, 7)))
    except BadRowError:
        context.record = None


@when("an entry of the bytes {text} is read")
def read_bytes(context, text):
    read(context, BYTES.get(text, text.encode()))


def with_field(table, field, value):
    """Return a table as JSON bytes, with a field left out or set to a JSON text."""
    changed = {name: one for name, one in table.items() if name != field}
    if value != "missing":
        changed[field] = "@"
    # Inserted as text, since some JSON texts have no Python value that is encoded that way.
    return json.dumps(changed).replace('"@"', JSON_TEXTS.get(value, value)).encode()


@when("a server's entry is read with {field} as {value}")
def read_entry(context, field, value):
    read(context, with_field(ENTRY, field, value))


@then("it yields no server")
def no_server(context):
    assert context.record is None, context.record


@then("it yields a server that is {word}, started at {born:d}")
def a_server(context, word, born):
    record = context.record
    assert record is not None and record.born == born, record
    assert record.server.draining == (word == "draining")


@when('the bytes "{text}" are written as the entry of {id_}')
def write_entry(context, text, id_):
    context.fleet.servers.put(id_, text.encode())


def store_answering(values):
    """Return a fake store client that answers with a page of rows of these values."""
    rows = [{"key": f"edge-{n}", "value": value, "ver": n} for n, value in enumerate(values, 1)]
    return client_answering(page_of(rows))


def page_of(rows, **fields):
    """Return a page of rows as the store sends it."""
    return json.dumps({"rows": rows, "ver": 9} | fields).encode()


def client_answering(data):
    """Return a fake store client that answers each reading call with a body."""
    answer = SimpleNamespace(status=200, headers={}, data=data)
    return SimpleNamespace(read=lambda *args: answer)


def encode_row(value):
    return base64.b64encode(value).decode()


@given("a store with four rows, the second with broken base64 and the third with a number")
def broken_rows(context):
    values = [encode_row(b"one"), "no base64!", 17, encode_row(b"4")]
    context.store_table = StoreTable(store_answering(values), "servers")


@given("a list of three instances, the second with {field} as {value}")
def instance_rows(context, field, value):
    sound = encode_row(json.dumps(INSTANCE).encode())
    values = [sound, encode_row(with_field(INSTANCE, field, value)), sound]
    context.list = StoreInstances(store_answering(values))


@when("the list of instances is read")
def read_list(context):
    context.instances = context.list.instances()


@then("it holds the first and the third instance")
def names_two(context):
    assert [one.name for one in context.instances] == ["edge-1", "edge-3"], context.instances


@when("the table is read")
def read_table(context):
    context.page = context.store_table.read()


@then("it has {number:d} rows, {sound:d} of them with bytes")
def has_rows(context, number, sound):
    assert len(context.page.rows) == number, context.page
    assert sum(bool(one.value) for one in context.page.rows) == sound, context.page
