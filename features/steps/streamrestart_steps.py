# streamrestart_steps.py -- Steps about streams that are resumed after a loss of all instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about streams that are resumed after a loss of all instances."""

import base64
import json
import re
from dataclasses import replace

import bottle
from bar_steps import serve, store_client
from behave import given, then, when
from forward_steps import SETTLE_MS
from forwardbasics import SECOND_MS
from member_steps import make_unreadable
from mountladder_platform.storeorigins import ORIGINS_TABLE, StoreOrigins
from mountladder_platform.storeversions import CONFIRMED_KEY, VERSIONS_TABLE, StoreVersions
from streamversion_steps import (
    CUT_OFF_MS,
    list_version,
    lose_store,
    regain_store,
    resume,
    stream,
    version_gone,
    version_listed,
)

from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.softwareversion import UNVERIFIED_VERSION
from mountladder.errors import MountladderError
from mountladder.forwarding.ranking import prompts_topic
from mountladder.store.position import Position
from mountladder.streams.originarchive import INTERVAL_MS
from mountladder.streams.originbatch import OriginBatch
from mountladder.streams.servedversion import ServedVersion
from mountladder.streams.streamorigin import KEY_BYTES
from mountladder_entry.httpclient import HttpClient

NEW_VERSION_SERVER = "llm-9"
CONFIRMED_VERSION = 17


def pass_time(context, seconds):
    context.run(context.clock.sleep, float(seconds) * SECOND_MS)


def leave(context, version):
    for name, found in list(context.versions.items()):
        if found == version:
            context.fleet.servers.put(name, None)
            del context.versions[name]
    context.run(context.clock.sleep, SETTLE_MS)


def drain(context, version):
    for name, found in context.versions.items():
        if found == version:
            context.fleet.add_server(name, "llm", "b", draining=True, version=version)


def come(context, version):
    come_back(context, NEW_VERSION_SERVER, version)


def come_back(context, name, version):
    list_version(context, name, version)
    context.run(context.clock.sleep, SETTLE_MS)


def kill(context, name):
    context.killed = [*getattr(context, "killed", ()), name]
    context.fleet.instances.pop(name).close()


def stop(context, name):
    """Have an instance tell its peers that it leaves, and end."""
    context.run(context.fleet.instances[name].leave)
    context.run(context.clock.sleep, SETTLE_MS)
    kill(context, name)


def kill_all(context):
    for name in list(context.fleet.instances):
        kill(context, name)


def start(context, name, settle_ms=SETTLE_MS):
    context.fleet.start(name)
    context.run(context.clock.sleep, settle_ms)


def start_at_once(context, name):
    start(context, name, 0.0)


def start_all(context):
    for name in dict.fromkeys(context.killed):
        context.fleet.start(name)
    context.killed = []
    context.run(context.clock.sleep, SETTLE_MS)


def kill_in_turn(context):
    for name in list(context.fleet.instances):
        kill(context, name)
        start(context, name)
    context.killed = []


def save_copy(context):
    context.fleet.save_copy()


def restore_copy(context):
    """Restore the copy; the servers and the operator write again what they wrote since."""
    entries = {key: row.value for key, row in context.fleet.servers.rows.items()}
    context.fleet.restore_copy()
    for key, value in entries.items():
        context.fleet.servers.put(key, value)


def set_readable(context, word):
    context.fleet.version_store.is_readable = word == "can"


def set_writable(context, word):
    context.fleet.version_store.is_writable = word == "can"


def forget_history(context):
    context.fleet.servers.drop_history()


def leave_list(context, name):
    context.fleet.servers.put(name, None)
    context.run(context.clock.sleep, SETTLE_MS)


def set_delay(context, ms):
    context.fleet.version_store.delay_ms = float(ms)


def never_written(context):
    set_writable(context, "cannot")
    context.fleet.version_store.rows = {}
    context.fleet.version_store.confirmed_era = None


def lose_origins(context):
    context.fleet.origin_store.rows.clear()


def restore_without_origins(context):
    save_copy(context)
    context.fleet.saved_origins = {}
    restore_copy(context)


def origins_unreadable(context):
    context.fleet.origin_store.is_down = True


def kill_writer(context):
    kill(context, next(name for name, one in instances(context) if one.origins.archive.writing))


def cut_datacentre(context, datacentre):
    """Cut the instances of a data centre off from the store and from all other instances."""
    lose_peers(context, datacentre)
    for name in in_datacentre(context, datacentre):
        lose_store(context, name)
    context.run(context.clock.sleep, CUT_OFF_MS)


def lose_peers(context, datacentre):
    others = {name.partition("-")[0] for name in context.fleet.instances} - {datacentre}
    cut = {frozenset({datacentre, other}) for other in others}
    context.fleet.network.cut_datacentres.update(cut)


def reconnect_datacentre(context, datacentre):
    context.fleet.network.cut_datacentres.clear()
    for name in in_datacentre(context, datacentre):
        regain_store(context, name)
    context.run(context.clock.sleep, CUT_OFF_MS)


def start_cut_off(context, name):
    context.fleet.start(name)
    lose_store(context, name)
    context.run(context.clock.sleep, CUT_OFF_MS)


def kill_datacentre(context, datacentre):
    for name in in_datacentre(context, datacentre):
        kill(context, name)
    context.run(context.clock.sleep, SETTLE_MS)


def all_lose_store(context):
    for name in context.fleet.instances:
        lose_store(context, name)
    context.run(context.clock.sleep, CUT_OFF_MS)


def all_regain_store(context):
    for name in context.fleet.instances:
        regain_store(context, name)
    context.run(context.clock.sleep, CUT_OFF_MS)


def miss_changes(context, datacentre):
    """Have the instances of a data centre get no changes of the list, unless they ask for them."""
    lose_peers(context, datacentre)
    for name in in_datacentre(context, datacentre):
        context.fleet.instances[name].directory_source.is_due = lambda: False


def in_datacentre(context, datacentre):
    return [name for name in context.fleet.instances if name.startswith(f"{datacentre}-")]


def find_holder(context, number, datacentre):
    """Return the name of one of the first instances of a data centre, by rank from 1 on."""
    instance = context.fleet.instances[in_datacentre(context, datacentre)[0]]
    ranked = instance.fleet.ranking.ranked(prompts_topic("llm"), datacentre)
    return ranked[int(number) - 1].name


def kill_holder(context, number, datacentre):
    kill(context, find_holder(context, number, datacentre))


def restart_holder(context, number, datacentre):
    """Have one of the first instances of a data centre that is cut off start again."""
    name = find_holder(context, number, datacentre)
    kill(context, name)
    start_cut_off(context, name)


def delay_holder(context, number, datacentre, ms):
    """Delay all messages that one of the first instances of a data centre sends."""
    name = find_holder(context, number, datacentre)
    opened = context.fleet.instances[name].fleet.links.values()
    accepted = [one for one in context.fleet.network.links if one.me.name == name]
    for link in (*opened, *accepted):
        link.latency_ms = float(ms)


def instances(context):
    return list(context.fleet.instances.items())


EVENTS = {
    r"origins are lost": lose_origins,
    r"origins cannot be read": origins_unreadable,
    r"the list of instances cannot be read": make_unreadable,
    r"the writer is killed": kill_writer,
    r"a copy of the store without origins is restored": restore_without_origins,
    r"all are killed": kill_all,
    r"all are killed in turn": kill_in_turn,
    r"all start": start_all,
    r"(\S+) is killed": kill,
    r"(\S+) stops": stop,
    r"(\S+) starts": start,
    r"(\S+) starts at once": start_at_once,
    r"(?:version )?(v\d) leaves": leave,
    r"(?:version )?(v\d) drains": drain,
    r"(?:version )?(v\d) comes": come,
    r"(llm-\d) comes back as (v\d)": come_back,
    r"([\d.]+) s pass": pass_time,
    r"a copy of the store is saved": save_copy,
    r"a copy of the store is restored": restore_copy,
    r"versions (can|cannot) be read(?: again)?": set_readable,
    r"versions (can|cannot) be written": set_writable,
    r"the store forgets its history": forget_history,
    r"(llm-\d) leaves the list": leave_list,
    r"versions are read in (\d+) ms": set_delay,
    r"versions were never written": never_written,
    r"(v\d) is listed": version_listed,
    r"(\w) is cut off": cut_datacentre,
    r"(\w) is reached again": reconnect_datacentre,
    r"(\S+) starts cut off": start_cut_off,
    r"all of (\w) are killed": kill_datacentre,
    r"all lose the store": all_lose_store,
    r"holder (\d) of (\w) is killed": kill_holder,
    r"holder (\d) of (\w) starts again cut off": restart_holder,
    r"holder (\d) of (\w) answers (\d+) ms late": delay_holder,
    r"all reach the store again": all_regain_store,
    r"(\w) gets no changes": miss_changes,
    r"(\w) reaches no other data centre": lose_peers,
    r"(v\d) is removed": version_gone,
}


@given("all but the writer are told that the stream is unverified")
def told_unverified(context):
    for _, one in instances(context):
        if not one.origins.archive.writing:
            registry = one.origins.registry
            for origin in list(registry.origins.values()):
                assert registry.add(replace(origin, version=UNVERIFIED_VERSION)), origin


@given("then {events}")
def events_happen(context, events):
    for event in events.split(", "):
        found = [(re.fullmatch(pattern, event), act) for pattern, act in EVENTS.items()]
        ((match, act),) = [(match, act) for match, act in found if match]
        act(context, *match.groups())


@when("{events}, and the caller resumes stream {id_} at {name}")
def resume_after(context, events, id_, name):
    events_happen(context, events)
    resume(context, id_, name)


@when("these happen: {events}")
def events_happened(context, events):
    events_happen(context, events)


@then("the store has versions {versions}")
def stored_versions(context, versions):
    found = sorted(one.version for one in context.fleet.version_store.rows)
    assert found == versions.split(", "), found


@then("the store has version {version} as {state}")
def stored_state(context, version, state):
    rows = context.fleet.version_store.rows
    assert rows[ServedVersion("llm", version)] == (state == "leaving"), rows


@then("the table of versions has had at most {reads:d} read an instance and {changes:d} changes")
def version_calls(context, reads, changes):
    store = context.fleet.version_store
    allowed = reads * len(context.fleet.instances)
    assert store.reads <= allowed and store.changes <= changes, (store.reads, store.changes)


@then("the store has {number:d} batch of origins")
@then("the store has {number:d} batches of origins")
def stored_batches(context, number):
    assert len(context.fleet.origin_store.rows) == number, context.fleet.origin_store.rows


@when("each instance begins {number:d} streams within {seconds:d} s")
def begin_streams(context, number, seconds):
    context.calls_before = count_calls(context)
    for n in range(number):
        for name, instance in instances(context):
            instance.origins.record(stream(context, f"{name}-{n}"), "fingerprint", "llm", "v1")
        pass_time(context, seconds / number)
    pass_time(context, 2 * INTERVAL_MS / SECOND_MS)


def count_calls(context):
    store = context.fleet.origin_store
    return store.reads, store.changes


@then("that took at most {reads:d} reads and {changes:d} changes of the table of origins")
def origin_calls(context, reads, changes):
    calls = [now - then for now, then in zip(count_calls(context), context.calls_before)]
    assert calls[0] <= reads and calls[1] <= changes, calls


@then("the store has the origins of {number:d} streams")
def stored_origins(context, number):
    batches = context.fleet.origin_store.rows.values()
    streams = [one for batch in batches for all_ in batch.streams.values() for one in all_]
    assert len(set(streams)) == len(streams) == number, (len(set(streams)), len(streams))


@given("a store that keeps rows of versions")
def versions_store(context):
    context.table_of_versions = StoreVersions(store_client(context))


@given("a store that keeps rows of origins")
def origins_store(context):
    context.table_of_origins = StoreOrigins(store_client(context))


@when("batches of {number:d} origins are stored there, and the first one removed")
def store_origins(context, number):
    keys = [n.to_bytes(KEY_BYTES, "big") for n in range(number)]
    streams = {ServedVersion("llm", "v1"): tuple(keys[1:]), ServedVersion("alt", ""): (keys[0],)}
    context.batches = [OriginBatch(f"i-{n}", 6_000.5, streams) for n in range(2)]
    context.table_of_origins.change(context.batches, ())
    others = [f"none-{n}" for n in range(250)]
    context.table_of_origins.change((), [context.batches.pop(0).name, *others])


@when("a row of origins there has {fields}")
def faulty_origins(context, fields):
    context.batches = []
    value = {"lifetime_ms": 1.0, "services": ["llm"], "versions": ["v1"], "streams": [""]}
    encoded = json.dumps(value | json.loads(fields)).encode()
    context.rows["x"] = base64.b64encode(encoded).decode()
    context.tables["x"] = ORIGINS_TABLE


@then("the batches that are left are read")
def batches_left(context):
    assert list(context.table_of_origins.read()) == context.batches


@when("{number:d} versions with long names are stored, and {removed:d} of them removed")
def store_versions(context, number, removed):
    names = [ServedVersion("llm" * 10, f"{n} " + "é" * 90) for n in range(number)]
    context.stored = {one: n % 2 == 0 for n, one in enumerate([*names, ServedVersion("llm", "")])}
    context.table_of_versions.change(context.stored, ())
    context.table_of_versions.change({}, names[:removed])
    for one in names[:removed]:
        del context.stored[one]


@when("a row of versions is {value}")
def faulty_row(context, value):
    context.stored = {}
    context.rows["x"] = base64.b64encode(value.encode()).decode()
    context.tables["x"] = VERSIONS_TABLE


@when("the versions there are confirmed for era {era:d}")
def confirm_versions(context, era):
    context.table_of_versions.change({}, (), Position(era, CONFIRMED_VERSION))


@when("the row that confirms versions is {value}")
def faulty_confirmation(context, value):
    context.rows[CONFIRMED_KEY] = base64.b64encode(value.encode()).decode()
    context.tables[CONFIRMED_KEY] = VERSIONS_TABLE


@then("they are confirmed for era {era:d}")
def confirmed_for(context, era):
    found = context.table_of_versions.read()
    assert found.confirmed_era == era, found
    assert found.confirmed_version == CONFIRMED_VERSION, found


@then("they are not confirmed")
def not_confirmed(context):
    found = context.table_of_versions.read()
    assert found.confirmed_era is not None and not found.is_confirmed, found


@then("they have never been confirmed")
def never_confirmed(context):
    found = context.table_of_versions.read()
    assert found.confirmed_era is None, found


@then("those that are left are read")
def versions_left(context):
    found = context.table_of_versions.read()
    assert found.versions == context.stored, found


@given("a store that answers changes of rows with status {status:d}")
def refusing_store(context, status):
    app = bottle.Bottle()
    app.post("/mountladder/rows-tx")(lambda: bottle.HTTPResponse(status=status))
    client = HttpClient(f"http://{serve(context, app)}", SystemClock(), 1_000.0)
    context.stack.callback(client.close)
    context.table_of_versions = StoreVersions(client)


@when("a version is stored there")
def store_version(context):
    context.error = None
    try:
        context.table_of_versions.change({ServedVersion("llm", "v1"): False}, ())
    except MountladderError as error:
        context.error = error


@then("that fails with code {code:d}")
def fails_with(context, code):
    assert context.error is not None and context.error.code.number == code, context.error
