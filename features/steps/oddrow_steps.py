# oddrow_steps.py -- Steps about odd rows of other writers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about odd rows of other writers."""

import base64
import json
from functools import partial
from types import SimpleNamespace

import gevent
from behave import given, then, when
from logrecorder import record_lines
from mountladder_platform.decoding import decode_catalogue, decode_server
from mountladder_platform.httpupstream import HttpUpstream
from mountladder_platform.store import StoreTable
from mountladder_platform.storeinstances import StoreInstances
from mountladder_platform.storeorigins import StoreOrigins
from mountladder_platform.storesuspicions import StoreSuspicions
from mountladder_platform.storeversions import CONFIRMED_KEY, StoreVersions
from restart_steps import ENTRY, INSTANCE, JSON_TEXTS, client_answering, page_of
from urllib3.connection import HTTPConnection

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import BadRowError
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.sourcefollower import SourceFollower
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.membership.listener import split_address
from mountladder.membership.wire import decode, encode
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.metrics.metric import Metric
from mountladder.quarantine.partsuspicions import PartSuspicions
from mountladder.quarantine.suspectkind import SuspectKind
from mountladder.quarantine.suspicions import Suspicions
from mountladder.store.position import Position
from mountladder_entry.logqueue import LogQueue

POSITION = Position(1, 7)
HEX_KEY = "0a" * 16
SETTLE_MS = 700.0
NESTED = ["[" * depth + "]" * depth for depth in (*range(880, 1_010, 3), 5_000, 500_000)]
DIGITS = ["9" * number for number in (18, 19, 20, 39, 309, 400, 4_299, 4_300, 5_000)]
OTHERS = (
    "-1",
    "1e308",
    "1e400",
    "NaN",
    "Infinity",
    "-Infinity",
    "0.5",
    "true",
    "null",
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '"a\\r\\nX: 1"',
    '"\\u00e9"',
    '"\\u6f22"',
    '" a "',
    '"\\u0661"',
    json.dumps("a" * 100_000),
    "{}",
    "[1]",
    '["\\ud800"]',
    "[-1]",
    "[1e400]",
)
ODD_TEXTS = [*NESTED, *DIGITS, *OTHERS]
ODD_KEYS = (
    "",
    " a",
    "a ",
    "a b",
    "é",
    "漢",
    "a\r\nX: 1",
    "a\r\n X",
    "\x00",
    "\x7f",
    "a" * 200,
    "a@5",
    "a,b",
    "\ud800",
    "abc",
    HEX_KEY,
)
JSON_TEXTS["a port of 5000 digits"] = json.dumps("10.0.0.1:" + "9" * 5_000)


def read_with(store_type, *arguments, key="row-1"):
    """Return a function that reads one row of the given value as a table of the store."""

    def read(value, key=key):
        row = {"key": key, "value": base64.b64encode(value).decode(), "ver": 7}
        store = store_type(client_answering(page_of([row])), *arguments)
        found = store.instances() if hasattr(store, "instances") else store.read()
        return found if isinstance(found, tuple) else ()

    return read


def read_server(value, key="row-1"):
    return (decode_server(SourceRow(key, value, POSITION)),)


def read_configuration(value, key="config"):
    return (decode_catalogue(value),)


SUSPICION = {
    "service": "llm",
    "bars": 1,
    "barred_at": 5.0,
    "servers": ["llm-1"],
    "ran_ms": [3.0],
    "ended_at": [4.0],
    "late": [0.0],
    "requests": ["r1"],
    "presumed_servers": ["llm-2"],
    "presumed_ran_ms": [1.0],
    "presumed_at": [2.0],
}
ORIGINS = {"lifetime_ms": 5, "services": ["llm"], "versions": ["v1"], "streams": [""]}
TABLES = {
    "servers": (ENTRY, read_server),
    "instances": (INSTANCE, read_with(StoreInstances)),
    "versions": (
        {"service": "llm", "version": "v1", "leaving": False},
        read_with(StoreVersions),
    ),
    "confirmations": ({"era": 1}, read_with(StoreVersions, key=CONFIRMED_KEY)),
    "stream origins": (ORIGINS, read_with(StoreOrigins)),
    "suspicions": (SUSPICION, read_with(StoreSuspicions, key=HEX_KEY)),
    "part suspicions": (SUSPICION, read_with(StoreSuspicions, SuspectKind.PART, key=HEX_KEY)),
    "configurations": (
        {"version": 1, "routes": [], "services": [], "tenants": [], "limits": {}},
        read_configuration,
    ),
}


def try_all(context, rows):
    """Read rows, given as functions that read one each; record what they yield and log."""
    record_lines(context)
    context.decoded, context.refused = [], []
    for read in rows:
        try:
            context.decoded += read()
        except BadRowError as error:
            context.refused.append(str(error))
    context.refused += [
        line["reason"] for line in context.lines if "unreadable" in line.get("message_type", "")
    ]


def odd_rows(table):
    """Return the JSON texts of a table's rows with each odd value in each of its fields."""
    for field in table:
        text = json.dumps(table | {field: "@"})
        for odd in ODD_TEXTS:
            yield text.replace('"@"', odd)
    yield from ODD_TEXTS


@when("rows of {table} are read with each odd value in each field, and as a whole")
def read_odd_values(context, table):
    context.table = table
    fields, read = TABLES[table]
    try_all(context, (partial(read, text.encode()) for text in odd_rows(fields)))


@when("rows of {table} are read with each odd key")
def read_odd_keys(context, table):
    context.table = table
    fields, read = TABLES[table]
    value = json.dumps(fields).encode()
    try_all(context, (partial(read, value, key) for key in ODD_KEYS))


@then("each is decoded or refused as malformed, in at most {number:d} characters")
def each_settled(context, number):
    assert context.refused or context.decoded
    longest = max(context.refused, key=len, default="")
    assert len(longest) <= number, longest[:1_000]


def use_server(record):
    """Treat an entry of a server as an instance does."""
    copy = DirectoryCopy(POSITION, (record,))
    (received,) = decode(encode(copy)).records
    assert received.server == record.server, (received, record)
    request = ForwardRequest("r1", "GET", "x.y", "/", "/", (), b"", "", 0.0, 1_000.0)
    headers = HttpUpstream(VirtualClock()).headers(record.server, ForwardCall(request, "", 9.0))
    connection = HTTPConnection(*split_address(record.server.address))
    connection.putrequest("GET", "/")
    for name, value in headers.items():
        if isinstance(value, str):
            connection.putheader(name, value)
    return record.server


def use_instance(instance):
    """Treat a row of an instance as an instance does."""
    decode(encode(MemberList((instance,))))
    _, port = split_address(instance.peer)
    assert 0 < port < 65_536, instance
    return instance


def use_suspicion(suspicion):
    """Treat a suspicion as an instance does."""
    message = PartSuspicions if suspicion.kind is SuspectKind.PART else Suspicions
    decode(encode(message((suspicion,))))
    return suspicion


def use_configuration(catalogue):
    """Treat a configuration as an instance does."""
    decode(encode(Beacon(catalogue.version, POSITION, False, False, ())))
    return catalogue


USES = {
    "servers": use_server,
    "instances": use_instance,
    "suspicions": use_suspicion,
    "part suspicions": use_suspicion,
    "configurations": use_configuration,
}


@then("what is decoded can be sent, logged and called")
def usable(context):
    log = LogQueue(1, MemoryMetrics())
    for one in context.decoded:
        log({"row": repr(USES.get(context.table, lambda row: row)(one))})


@when("entries of llm, started at 5, and of llm@5, with no start, are read")
def read_similar(context):
    rows = (("llm", ENTRY | {"born": 5}), ("llm@5", {**ENTRY}))
    del rows[1][1]["born"]
    context.records = [read_server(json.dumps(table).encode(), key)[0] for key, table in rows]


@then("their servers have names of their own")
def own_names(context):
    first, second = context.records
    assert first.server.name != second.server.name
    for one in context.records:
        use_server(one)


SOUND_ROW = {"key": "i-1", "value": "e30=", "ver": 3}
ODD_PAGE_ROWS = {
    "without a key": {"value": "e30=", "ver": 3},
    "with a number as its key": SOUND_ROW | {"key": 7},
    "with a lone surrogate": SOUND_ROW | {"key": "\ud800"},
    "without a version": {"key": "i-2", "value": "e30="},
    "with a text as its version": SOUND_ROW | {"ver": "new"},
    "that is no object": 7,
}


@given("a store whose page has a row {row} between two sound ones")
def odd_page(context, row):
    rows = [SOUND_ROW, ODD_PAGE_ROWS[row], SOUND_ROW | {"key": "i-3"}]
    context.store_table = StoreTable(client_answering(page_of(rows)), "servers")


@given("a store of two pages, the first of which ends with a row without a key")
def odd_end_of_page(context):
    pages = {
        "": client_answering(page_of([SOUND_ROW, {"ver": 3}], more_pages=True)),
        "i-1\0": client_answering(page_of([SOUND_ROW | {"key": "i-3"}])),
    }

    def read(path, fields):
        return pages[fields.get("from", "")].read()

    context.store_table = StoreTable(SimpleNamespace(read=read), "servers")


@then("it has the sound rows")
def sound_rows(context):
    assert [one.key for one in context.page.rows] == ["i-1", "i-3"], context.page


NO_PAGES = {
    "no JSON": b"<html>",
    "deeply nested JSON": b"[" * 100_000,
    "a list": b"[]",
    "an object without rows": b'{"ver": 1}',
    "an object with no rows but more pages": b'{"rows": [], "ver": 1, "more_pages": true}',
    "rows that are a number": b'{"rows": 1, "ver": 1}',
    "a version of 5000 digits": b'{"rows": [], "ver": %b}' % (b"9" * 5_000),
}


@given("a store whose pages are {answer}")
def store_without_pages(context, answer):
    context.store_table = StoreTable(client_answering(NO_PAGES[answer]), "servers")


@when("an instance follows a table of it")
def follow(context):
    clock = VirtualClock()
    context.metrics = MemoryMetrics()
    context.follower = SourceFollower(
        "servers", context.store_table, clock, context.metrics, lambda page, whole: None
    )
    clock.run(gevent.spawn(context.follower.step))


@then("the store counts as unreachable, and the task goes on")
def counts_as_unreachable(context):
    assert not context.follower.connected and context.follower.unreachable_since is not None
    errors = context.metrics.counts
    assert any(name.startswith("store_errors.") for name in map(str, errors)), errors


ODD_ENTRIES = {
    "a port of 5000 digits": json.dumps(ENTRY | {"address": "10.0.0.1:" + "9" * 5_000}),
    "nested 500000 deep": "[" * 500_000,
    "a number of 5000 digits": json.dumps(ENTRY | {"sequence": "@"}).replace('"@"', "9" * 5_000),
    "a lone surrogate as version": json.dumps(ENTRY | {"version": "\ud800"}),
}


@given("a fleet that reads the platform's entries, of instances {names}")
def fleet_of_platform(context, names):
    fleet = context.fleet
    fleet.decode_server = decode_server

    def add_server(name, service, datacentre):
        table = ENTRY | {"service": service, "zone": datacentre}
        fleet.servers.put(name, json.dumps(table).encode())

    fleet.add_server = add_server
    context.execute_steps(f"Given a forwarding fleet of instances {names}")


@given("an entry that is {odd}")
def add_odd_entry(context, odd):
    record_lines(context)
    context.fleet.servers.put("odd-1", ODD_ENTRIES[odd].encode())
    context.run(context.clock.sleep, SETTLE_MS)


@when("all instances are stopped and started again")
def start_all_again(context):
    names = list(context.fleet.instances)
    for name in names:
        context.fleet.instances.pop(name).close()
    for name in names:
        context.fleet.start(name)


def known_servers(instance):
    """Return the ids of the servers that an instance knows."""
    records = instance.directory.records.values()
    return {one.id for one in records if one.server is not None}


@then("every instance knows {first}, {second}, {third} and {fourth} alone")
def knows_alone(context, first, second, third, fourth):
    for instance in context.fleet.instances.values():
        assert known_servers(instance) == {first, second, third, fourth}, known_servers(instance)


@then("the entry is counted as malformed and named in the log")
def counted_and_named(context):
    counted = [
        one.metrics.counts.get(Metric.MALFORMED_ROWS.label, 0)
        for one in context.fleet.instances.values()
    ]
    assert any(counted), counted
    named = [one["server"] for one in context.lines if one["message_type"].endswith("malformed")]
    assert set(named) == {"odd-1"}, named


@then("no task was restarted")
def none_restarted(context):
    lines = [one for one in context.lines if one.get("message_type") == "task-restarted"]
    assert not lines, lines


@when("the entry is replaced by a sound one")
def replace_entry(context):
    context.fleet.add_server("odd-1", "llm", "a")


@then("every instance knows the server of the entry as well")
def knows_odd(context):
    for instance in context.fleet.instances.values():
        assert "odd-1" in known_servers(instance), known_servers(instance)
