# reborncut_steps.py -- Steps about servers that start again while an instance has an old list
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about servers that start again while an instance has an old list."""

import math
from itertools import cycle, pairwise

import gevent
from behave import given, then, when
from continuation_steps import MANY_PROMPTS
from forward_steps import SETTLE_MS, cut_off
from forwardbasics import SECOND_MS, save_retries, serve
from streamversion_steps import (
    CUT_OFF_MS,
    configure,
    cut_off_from_all,
    lose_store,
    regain_store,
    set_load,
    stream,
)

from mountladder.clocks.standstill import Standstill
from mountladder.errors import StoreUnavailableError
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.listage import ListAge
from mountladder.forwarding.memorysource import MemorySource
from mountladder.forwarding.serverrecord import ServerRecord, listed_server
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcefollower import ANSWER_MS, WAIT_MS
from mountladder.store.position import Position
from mountladder.streams.streamorigin import KEY_BYTES

FIRST_START = 5
LATER_START = 9
# By then an instance has heard from its peers and the store again.
IN_TOUCH_MS = 3_000.0
CHANGE_MS = 7.0
# By then a stream has ended.
STREAM_MS = 500.0
# By then a peer that polls the store has announced that its list is current.
CONFIRMED_MS = 1_000.0
# The first moments of a cut, in which the list does not count as old yet.
FIRST_MS = 200.0
ANNOUNCEMENTS = 20
ARRIVES_MS = 20.0
# How long before a standstill a call of the store began.
BEFORE_MS = 100.0
POLL_MS = 5.0


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
    context.fleet.upstream.started_at_ms[id_] = born
    context.fleet.add_server(id_, "llm", datacentre, born=born, version=version)


@given("a server {id_} in data centre {datacentre} with version {version} that started at {born:d}")
def another_server(context, id_, datacentre, version, born):
    add_server(context, id_, datacentre, version, born)
    context.run(context.clock.sleep, SETTLE_MS)


@given("servers {ids} with version {version} that started at {born:d}")
def more_servers(context, ids, version, born):
    for id_ in ids.split(", "):
        add_server(context, id_, "b", version, born)
    context.run(context.clock.sleep, SETTLE_MS)


@given("servers {ids} start again at version {version}")
def all_start_again(context, ids, version):
    for id_ in ids.split(", "):
        starts_again(context, id_, version, 0.0)


@given("server {id_} starts again at version {version}")
def starts_again(context, id_, version, settle_ms=SETTLE_MS):
    upstream = context.fleet.upstream
    upstream.started_at_ms[id_] = LATER_START
    before = f"{id_}@{FIRST_START}"
    if before in upstream.crashed:
        upstream.crashed.remove(before)
    context.fleet.add_server(id_, "llm", "b", born=LATER_START, version=version)
    context.run(context.clock.sleep, settle_ms)


@given("server {name} has the least to do")
def has_least(context, name):
    set_load(context, {name: 0})


@given("{name} is in touch again")
def in_touch_again(context, name):
    context.fleet.network.cut_instances.clear()
    regain_store(context, name)
    context.run(context.clock.sleep, IN_TOUCH_MS)


@given("{name} is still cut off")
def still_cut_off(context, name):
    assert not context.fleet.instances[name].follows_store()


@given("the store is away")
def store_away(context):
    fleet = context.fleet
    fleet.catalogue.down = fleet.servers.down = fleet.origin_store.is_down = True
    fleet.version_store.is_readable = fleet.version_store.is_writable = False
    context.run(context.clock.sleep, CUT_OFF_MS)


@given("the entries of all servers have no start")
def no_starts(context):
    for name, version in list(context.versions.items()):
        id_ = name.partition("@")[0]
        del context.versions[name]
        context.versions[id_] = version
        context.fleet.add_server(id_, "llm", "b", version=version)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {id_} does not say when it started")
def says_no_start(context, id_):
    del context.fleet.upstream.started_at_ms[id_]


@given("server {name} is sound")
def is_sound(context, name):
    assert name not in context.fleet.upstream.faults


@given("server {name} has the most to do")
def has_most(context, name):
    set_load(context, {name: 2 * MANY_PROMPTS, "llm-1@5": 0})


@given("no entry changes")
def no_change(context):
    context.run(context.clock.sleep, SETTLE_MS)


@given("the reader of the store ends")
def reader_killed(context):
    context.fleet.instances.pop(find_reader(context)).close()


def find_reader(context):
    instances = context.fleet.instances.items()
    return next((name for name, one in instances if one.fleet.reader_election.reading), "")


@given("{name} is cut off from the store")
def cut_off_from_store(context, name):
    instance = context.fleet.instances[name]
    for source in (instance.catalogue_source, instance.directory_source):
        source.source = MemorySource(context.clock)
        source.source.down = True
    context.run(context.clock.sleep, CUT_OFF_MS)


@given("the entries of servers change all the time")
def entries_change(context):
    fleet = context.fleet
    draining = [False]

    def change():
        draining[0] = not draining[0]
        fleet.add_server("spare-1", "spare", "a", draining[0], born=FIRST_START, version="v1")
        context.clock.call_later(CHANGE_MS, change)

    change()


@given("{number:d} streams have been sent to {name} within {seconds:d} s")
@when("{number:d} streams are sent to {name} within {seconds:d} s")
def send_streams(context, number, name, seconds):
    name = {"last": list(context.fleet.instances)[-1], "reader": find_reader(context)}.get(
        name, name
    )
    context.sent = [f"s-{n}" for n in range(number)]
    context.asked_at = []
    upstream, started_at = context.fleet.upstream, context.fleet.upstream.started_at

    def record(server, limit_ms):
        context.asked_at.append((server.name, context.clock.now()))
        return started_at(server, limit_ms)

    upstream.started_at = record
    for n, id_ in enumerate(context.sent):
        sent = stream(context, id_)
        delay_ms = n * seconds * SECOND_MS / number
        context.clock.call_later(
            delay_ms, lambda sent=sent: gevent.spawn(serve, context, name, sent)
        )
    context.run(context.clock.sleep, seconds * SECOND_MS + STREAM_MS)


@then("all have {number:d} events")
def all_have(context, number):
    found = {id_: context.ends[id_][1].count(b"\n\n") for id_ in context.sent}
    assert set(found.values()) == {number}, found


@then("servers were asked {number:d} times when they started")
def asked_times(context, number):
    assert len(context.fleet.upstream.start_checks) == number, context.fleet.upstream.start_checks


@then(
    "servers were asked at most {number:d} times when they started, and each at most once a second"
)
def asked_at_most(context, number):
    assert 0 < len(context.asked_at) <= number, context.asked_at
    for server in {name for name, _ in context.asked_at}:
        times = [at for name, at in context.asked_at if name == server]
        assert all(later - at >= SECOND_MS for at, later in pairwise(times)), times


@given("{name} is cut off from the store and its peers for {seconds:g} s")
def cut_off_for(context, name, seconds):
    cut_off_from_all(context, name, seconds * SECOND_MS)


@given("{ms:d} ms ago server {id_} has come back with version {version}")
def starts_again_soon(context, ms, id_, version):
    starts_again(context, id_, version, float(ms))


@given("the entry of server {id_} has been removed")
def entry_removed(context, id_):
    context.fleet.servers.put(id_, None)


@given("as a stream is sent to it, server {id_} starts again at {version} and its entry is removed")
def starts_again_and_goes(context, id_, version):
    upstream = context.fleet.upstream
    plain = upstream.open

    def open_(server, call, limit_ms):
        if server.name == f"{id_}@{FIRST_START}" and upstream.started_at_ms[id_] == FIRST_START:
            # Both changes come before the list is read again, which shows the last one only.
            upstream.started_at_ms[id_] = LATER_START
            context.fleet.add_server(id_, "llm", "b", born=LATER_START, version=version)
            context.fleet.servers.put(id_, None)
        return plain(server, call, limit_ms)

    upstream.open = open_


@given("a-1 has a list of servers up to change {number:d}")
def has_list(context, number):
    context.directory = Directory(context.clock)
    context.standstill = Standstill(context.clock)
    context.stack.callback(gevent.spawn(context.standstill.run).kill)
    context.list_age = ListAge(context.directory, context.clock, context.standstill)
    apply_change(context, number)


def apply_change(context, number):
    server = listed_server("i-1", "llm", "i-1", "a", 8, False, number)
    position = Position(0, number)
    record = ServerRecord("i-1", position, "llm", server, number)
    context.directory.apply([record], position, "test")


@when("a peer that {reads} announces change {announced} every {ms:d} ms, which arrives {arrives}")
def peer_announces(context, reads, announced, ms, arrives):
    reads_store = reads != "does not poll the store"
    answers = reads != "the store does not answer"
    number = 1
    for _ in range(ANNOUNCEMENTS):
        number += announced == "n + 1"
        # Each beacon comes after a newer change than the last one that has arrived.
        position = Position(0, number)
        beacon = Beacon(0, position, False, False, reads_store=reads_store, store_answers=answers)
        context.list_age.record(beacon)
        if arrives != "never":
            change = number
            context.clock.call_later(
                ARRIVES_MS, lambda change=change: apply_change(context, change)
            )
        context.run(context.clock.sleep, float(ms))


def read_beacon(context):
    """Read a beacon of a peer which polls the store and has no newer entry."""
    position = context.directory.newest
    beacon = Beacon(0, position, False, False, reads_store=True, store_answers=True)
    context.list_age.record(beacon)


@when("the process stands still for {ms:d} ms")
def stand_still(context, ms):
    context.run(context.clock.sleep, SECOND_MS)
    context.stood_since = context.clock.now()
    # No timer of the process runs meanwhile.
    context.clock.time += ms


@when("it reads a beacon that waited, {when}")
def read_waiting_beacon(context, when):
    if when == "after its timers have run":
        context.run(context.clock.sleep, 1.0)
        assert 0.0 < context.standstill.since <= context.stood_since, context.standstill.since
    read_beacon(context)


@when("it reads an answer of the store that waited")
def read_waiting_answer(context):
    answered_at, called_at = context.clock.now(), context.stood_since - BEFORE_MS
    context.list_age.answered_at = lambda: answered_at
    context.list_age.read_at = lambda: called_at


@when("it reads a beacon {ms:d} ms later")
def read_later_beacon(context, ms):
    context.run(context.clock.sleep, float(ms))
    read_beacon(context)


@then("the list is known to be current as of before it stood still, and not since")
def current_before(context):
    age = context.list_age
    assert age.current_at() <= context.stood_since, (age.current_at(), context.stood_since)
    assert age.ms() >= context.clock.now() - context.stood_since, age.ms()


@then("the list is known to be current")
def current_now(context):
    assert context.list_age.current_at() == context.clock.now()
    assert context.list_age.ms() == 0.0


@then("after 6 s the list is known to be current at no time")
def never_current(context):
    assert context.list_age.ms() == math.inf, context.list_age.ms()


@then("after 6 s the list is known to be current since {low:d} to {high:d} ms")
def current_since(context, low, high):
    assert low <= context.list_age.ms() <= high, context.list_age.ms()


@given("the list of servers is confirmed at {name}")
def list_confirmed(context, name):
    since = context.clock.now()
    context.run(context.clock.sleep, CONFIRMED_MS)
    assert context.fleet.instances[name].fleet.list_age.current_at() > since


@given("{one} and {other} are cut off from the store and their peers, but not from each other")
def cut_off_together(context, one, other):
    cut_off(context, one)
    cut_off(context, other)
    context.fleet.network.cut_instances.discard(frozenset({one, other}))
    lose_store(context, one)
    lose_store(context, other)
    context.run(context.clock.sleep, FIRST_MS)


@given("reads of the store for streams are counted")
def count_reads(context):
    context.reads = []
    for instance in context.fleet.instances.values():
        read = instance.origins.store_read.read

        def counted(read=read):
            context.reads.append(context.clock.now())
            return read()

        instance.origins.store_read.read = counted


@then("the store was read {number:d} times for them")
def read_times(context, number):
    assert len(context.reads) == number, context.reads


@then("the store was read at most {number:d} times for them")
def read_at_most(context, number):
    assert len(context.reads) <= number, context.reads


@given("server {id_} takes {ms:d} ms to say when it started")
def slow_start(context, id_, ms):
    upstream, started_at = context.fleet.upstream, context.fleet.upstream.started_at

    def answer(server, limit_ms):
        context.clock.sleep(float(ms) if server.address == id_ else 0.0)
        return started_at(server, limit_ms)

    upstream.started_at = answer


@when("a stream begins at {name} every {ms:d} ms for {seconds:d} s, on each server in turn")
def streams_begin(context, name, ms, seconds):
    instance = context.fleet.instances[name]
    servers = cycle([instance.directory.find(one) for one in context.versions])

    def begin():
        for n in range(seconds * 1_000 // ms):
            instance.origins.beginnings.add(n.to_bytes(KEY_BYTES, "big"), next(servers))
            context.clock.sleep(float(ms))

    context.run(begin)


@then("no stream of {name} waits to be settled after {seconds:d} s")
def none_pending(context, name, seconds):
    context.run(context.clock.sleep, seconds * SECOND_MS)
    beginnings = context.fleet.instances[name].origins.beginnings
    assert not beginnings.pending, len(beginnings.pending)


class HangingSource(Source):
    """A table whose answers do not arrive any more once an instance is cut off."""

    def __init__(self, inner, clock):
        self.inner = inner
        self.clock = clock
        self.is_cut = False

    def read(self):
        return self.answer(self.inner.read, 0.0)

    def changes(self, after, wait_ms):
        return self.answer(lambda: self.inner.changes(after, wait_ms), wait_ms)

    def answer(self, call, wait_ms):
        until = self.clock.now() + wait_ms + ANSWER_MS
        page = None if self.is_cut else call()
        if self.is_cut:
            self.clock.sleep(until - self.clock.now())
            raise StoreUnavailableError("the call timed out")
        return page


@given("{name} and the reader of the store are cut off, but not from each other, and calls hang")
def cut_off_with_reader(context, name):
    reader = find_reader(context)
    assert reader and reader != name, reader
    names = (name, reader)
    hanging = {one: follow_through(context, one) for one in names}
    context.run(context.clock.sleep, CONFIRMED_MS)
    for one, sources in hanging.items():
        cut_off(context, one)
        lose_store(context, one)
        instance = context.fleet.instances[one]
        instance.catalogue_source.source, instance.directory_source.source = sources
        for source in sources:
            source.is_cut = True
    context.fleet.network.cut_instances.discard(frozenset(names))


def follow_through(context, name):
    """Return the sources of an instance, whose answers can be kept from it from now on."""
    instance = context.fleet.instances[name]
    followers = (instance.catalogue_source, instance.directory_source)
    for follower in followers:
        follower.source = HangingSource(follower.source, context.clock)
    return [follower.source for follower in followers]


@given("{ms:d} ms pass")
def ms_pass(context, ms):
    context.run(context.clock.sleep, float(ms))


class LateSource(Source):
    """A table whose answers arrive late."""

    def __init__(self, inner, late_ms, clock):
        self.inner = inner
        self.late_ms = late_ms
        self.clock = clock

    def read(self):
        return self.answer(self.inner.read())

    def changes(self, after, wait_ms):
        return self.answer(self.inner.changes(after, wait_ms))

    def answer(self, page):
        self.clock.sleep(self.late_ms)
        return page


@given("a-1 is the only instance, and answers of the store reach it {ms:d} ms late")
def late_answers(context, ms):
    for name in [one for one in context.fleet.instances if one != "a-1"]:
        context.fleet.instances.pop(name).close()
    context.run(context.clock.sleep, IN_TOUCH_MS)
    source = context.fleet.instances["a-1"].directory_source
    source.source = LateSource(source.source, float(ms), context.clock)
    context.run(context.clock.sleep, CONFIRMED_MS)
    wait_for_answer(context, "a-1")
    # The next answer is made after so long, and is empty.
    context.run(context.clock.sleep, WAIT_MS + POLL_MS)


@given("the store has answered {name} once more")
def wait_for_answer(context, name):
    source = context.fleet.instances[name].directory_source
    before = source.answered_at
    while source.answered_at == before:
        context.run(context.clock.sleep, POLL_MS)


@given("reads of the store for streams are {apart:d} ms apart and take {takes:d} ms")
def reads_apart(context, apart, takes):
    context.fleet.version_store.delay_ms = float(takes)
    for instance in context.fleet.instances.values():
        instance.origins.store_read.interval_ms = lambda: float(apart)
