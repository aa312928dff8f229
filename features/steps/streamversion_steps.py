# streamversion_steps.py -- Steps about streams that continue while several software versions serve
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about streams that continue while several software versions serve."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from continuation_steps import BREAK_MS, LIMITS, MANY_PROMPTS, PROMPTS
from forward_steps import SETTLE_MS, cut_off, events
from forwardbasics import (
    PATHS,
    SECOND_MS,
    catalogue,
    placement_coordinator,
    request,
    save_retries,
    send_and_record,
    serve,
)
from logrecorder import record_lines

from mountladder.configuration.softwareversion import VERSION_LABEL, version_of
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.memorysource import MemorySource
from mountladder.forwarding.serverrecord import ServerRecord, listed_server
from mountladder.forwarding.service import Service
from mountladder.forwarding.target import Target
from mountladder.store.memoryinstancelist import MemoryInstanceList
from mountladder.store.position import Position
from mountladder.streams.memoryoriginstore import MemoryOriginStore
from mountladder.streams.memoryversionstore import MemoryVersionStore
from mountladder.streams.originregistry import MAX_ORIGINS, MAX_STREAM_MS
from mountladder.streams.streamorigin import KEY_BYTES, StreamOrigin
from mountladder_standins.serverfault import ServerFault
from mountladder_standins.serverpartition import ServerPartition

# More than the servers without any have, and less than the most loaded ones.
FEW_PROMPTS = MANY_PROMPTS // 2
ROUTE_TIMEOUT_MS = 6_000.0
MAX_ATTEMPTS = 3
PLAIN_TARGETS = (Target("llm", 1.0),)
KINDS = {"resumable": "resumable", "narration": "stream", "lasting": "lasting"}
# A removed entry is used for a while, since it may come back.
REMOVED_MS = 3_000.0
# By then an instance has noticed that it is cut off from its peers, or from all servers.
CUT_OFF_MS = 3_000.0
ISOLATION_REQUESTS = 2
MANY_START_MS = 4_000.0


@given("instances {names} and model servers of two versions")
def versions_fleet(context, names):
    configure(context, backups=None)
    for name in names.split(", "):
        context.fleet.start(name)
    context.versions = {row["server"]: row["version"] for row in context.table}
    for row in context.table:
        context.fleet.add_server(row["server"], "llm", row["datacentre"], version=row["version"])
    context.run(context.clock.sleep, SETTLE_MS)
    save_retries(context)
    context.plans = []
    context.bodies = {}


def configure(context, backups, targets=PLAIN_TARGETS):
    plain = catalogue(len(context.fleet.catalogues) + 1)
    fields = {"timeout_ms": ROUTE_TIMEOUT_MS, "max_attempts": MAX_ATTEMPTS}
    routes = {
        host: tuple(
            replace(one, **fields, targets=targets if one.resumable else one.targets)
            for one in all_
        )
        for host, all_ in plain.routes.items()
    }
    model_services = {
        name: Service(name, 100, 8, 280_740, backups=backups) for name in ("llm", "alt")
    }
    services = {**plain.services, **model_services}
    keys = {**plain.keys, "other": CallerTeam("other")}
    context.fleet.configure(replace(plain, services=services, routes=routes, keys=keys))


@given("model servers keep copies")
def keep_copies(context):
    configure(context, backups=LIMITS)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {first} runs the next stream, and {second} has the least to do after it")
def least_loaded(context, first, second):
    set_load(context, {second: FEW_PROMPTS, first: 0})


def set_load(context, load):
    others = dict.fromkeys(context.versions, MANY_PROMPTS)
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).placement.running_prompts.update(others | load)


@given("server {name} breaks off within the third event")
def breaks_off(context, name):
    context.fleet.upstream.faults[name] = ServerFault.CUT


@given("server {name} breaks off within the third event, once")
def breaks_off_once(context, name):
    breaks_off(context, name)
    context.plans.append((BREAK_MS, context.fleet.upstream.faults.clear))


@given("server {name} drains before it breaks a stream off")
def drains_and_breaks_off(context, name):
    breaks_off(context, name)
    upstream, version = context.fleet.upstream, context.versions[name]
    plain = upstream.open

    def open_(server, call, limit_ms):
        if server.name == name:
            context.fleet.add_server(name, "llm", "a", draining=True, version=version)
        return plain(server, call, limit_ms)

    upstream.open = open_


@given("servers {names} have drained")
def have_drained(context, names):
    for name in names.split(", "):
        context.fleet.add_server(name, "llm", "b", draining=True, version=context.versions[name])
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {name} has started again at version {version}")
def started_again(context, name, version):
    list_version(context, name, version)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {name} is found to run version {version} after {ms:d} ms")
def found_to_run(context, name, version, ms):
    context.plans.append((float(ms), lambda: list_version(context, name, version)))


@given("a coordinator of an older build has {name} keep the copy")
def older_coordinator(context, name):
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).backups.place = lambda *arguments: name


def list_version(context, name, version):
    context.versions[name] = version
    context.fleet.add_server(name, "llm", "b", version=version)


@given("server {name} crashes after {ms:d} ms")
def crashes(context, name, ms):
    context.plans.append((float(ms), lambda: crash(context, name)))


def crash(context, name):
    # An instance that is cut off may not know the server.
    found = [one.directory.find(name) for one in context.fleet.instances.values()]
    context.fleet.upstream.crash(next(one for one in found if one is not None))


def stream(context, id_, kind="resumable", **fields):
    plain = request(id_, PATHS[KINDS[kind]], context.clock.now(), **fields)
    return replace(plain, allowed_ms=ROUTE_TIMEOUT_MS, prompt=PROMPTS["resumable"])


@when("{kind} stream {id_} is sent to {name}")
def send_stream(context, kind, id_, name):
    for ms, act in context.plans:
        context.clock.call_later(ms, act)
    context.run(serve, context, name, stream(context, id_, kind))
    context.bodies[id_] = context.ends[id_][1]


@given("a caller of {kind} stream {id_} at {name} has {number:d} events when {loss}")
def lose_stream(context, kind, id_, name, number, loss):
    context.kind = kind
    context.run(read_until, context, name, id_, number)
    lose(context, name, loss)
    # The server has crashed too, and one of the other version has the least to do.
    server = context.fleet.upstream.runs[id_][0]
    version = context.versions[server]
    other = next(one for one, found in context.versions.items() if found != version)
    crash(context, server)
    set_load(context, {other: 0})


def read_until(context, name, id_, number):
    """Read a stream until a number of events have arrived, and break the connection."""
    sent = stream(context, id_, context.kind)
    context.bodies[id_] = read_events(context, name, sent, events(1, number))


def lose(context, name, loss):
    if "killed" in loss:
        context.fleet.instances.pop(name).close()
        context.run(context.clock.sleep, BREAK_MS)
    if "starts again" in loss:
        context.fleet.start(name)
        context.run(context.clock.sleep, SETTLE_MS)
    if "cut off" in loss:
        cut_off(context, name)
    if "is listed" in loss:
        version_listed(context, loss.split()[1])


@given("after {seconds:d} s it has {number:d} more at {name} when its connection breaks again")
def lose_again(context, seconds, number, name):
    context.run(context.clock.sleep, seconds * SECOND_MS)
    (id_,) = context.bodies
    last = context.bodies[id_].count(b"\n\n")
    sent = stream(context, f"{id_}-second", context.kind, last_event_id=str(last), resumes=id_)
    context.bodies[id_] += context.run(
        read_events, context, name, sent, events(last + 1, last + number)
    )


@given("an attempt to resume stream {id_} at {name} is refused with code {code:d}")
def refused_attempt(context, id_, name, code):
    last = str(context.bodies[id_].count(b"\n\n"))
    sent = stream(context, f"{id_}-refused", context.kind, last_event_id=last, resumes=id_)
    context.run(serve, context, name, sent)
    assert context.ends[sent.id][2] == code, context.ends[sent.id]


def read_events(context, name, sent, expected):
    """Read an answer until the expected events have arrived, and break the connection."""
    answer = context.fleet.send(name, sent)
    body = b""
    for part in answer.body:
        body += part
        if body == expected:
            break
    answer.body.close()
    return body


@given("{seconds:d} s pass, and {name} is killed")
def pass_and_kill(context, seconds, name):
    time_passes(context, seconds)
    kill(context, [name])


@given("{seconds:d} s pass")
def time_passes(context, seconds):
    context.run(context.clock.sleep, seconds * SECOND_MS)


@then("stream {id_} has events {first:d} to {last:d}")
def has_events(context, id_, first, last):
    assert context.bodies[id_] == events(first, last), (context.bodies, context.ends)


@when("the caller resumes stream {id_} at {name}")
def resume(context, id_, name):
    last = str(context.bodies[id_].count(b"\n\n"))
    sent = stream(context, f"{id_}-again", context.kind, last_event_id=last, resumes=id_)
    record_lines(context)
    context.run(serve, context, name, sent)
    context.bodies[id_] += context.ends[sent.id][1]


@then("stream {id_} ended within {ms:d} ms")
def ended_within(context, id_, ms):
    took_ms = context.ended_at[id_] - context.arrived[id_]
    assert took_ms <= ms, took_ms


@then("stream {id_} has events {first:d} to {last:d}, and ran on {servers}")
def whole_stream(context, id_, first, last, servers):
    runs = context.fleet.upstream.runs
    found = [*runs[id_], *runs[f"{id_}-again"]]
    continued = [name for name, _ in context.fleet.upstream.continued]
    assert found == servers.split(", "), (found, continued, context.ends)
    assert context.bodies[id_] == events(first, last), (context.bodies, context.ends)


@then("no server was sent a copy of it")
def no_copy(context):
    assert not context.fleet.upstream.copies, context.fleet.upstream.copies


@given("only version {version} is listed")
@given("only version {version} has been listed for long")
def only_version(context, version):
    for other in {*context.versions.values()} - {version}:
        version_gone(context, other)
    context.run(context.clock.sleep, MAX_STREAM_MS)


@given("no server of version {version} is listed")
def version_gone(context, version):
    for name, found in context.versions.items():
        if found == version:
            context.fleet.servers.put(name, None)
    context.run(context.clock.sleep, REMOVED_MS)


@given("both versions are listed")
def both_listed(context):
    listed = {one.id for one in records(context) if one.server is not None}
    assert listed == set(context.versions), listed


def records(context):
    return next(iter(context.fleet.instances.values())).directory.records.values()


@given("version {version} is listed")
def version_listed(context, version):
    for name, found in context.versions.items():
        if found == version:
            context.fleet.add_server(name, "llm", "b", version=version)
    context.run(context.clock.sleep, SETTLE_MS)


@given("{name} is killed")
def is_killed(context, name):
    kill(context, [name])


@given("{name} is killed and starts again")
def is_restarted(context, name):
    lose(context, name, "killed and starts again")


@given("the route leads mostly to service alt with server {name} from now on")
def route_leads_to_alt(context, name):
    context.fleet.add_server(name, "alt", "a", version="v1")
    context.versions[name] = "v1"
    configure(context, None, targets=(Target("alt", 1_000_000.0), Target("llm", 0.000_001)))
    context.run(context.clock.sleep, SETTLE_MS)


@given("{name} is cut off from the store and its peers")
def cut_off_from_all(context, name, ms=CUT_OFF_MS):
    cut_off(context, name)
    lose_store(context, name)
    context.run(context.clock.sleep, ms)


def lose_store(context, name):
    """Have no call of an instance to the store answered."""
    instance = context.fleet.instances[name]
    for source in (instance.catalogue_source, instance.directory_source):
        source.source = MemorySource(context.clock)
        source.source.down = True
    instance.member_reader.instances = MemoryInstanceList(context.clock)
    instance.member_reader.instances.is_down = True
    origins = instance.origins
    origins.version_record.store = MemoryVersionStore(context.clock)
    origins.version_record.store.is_readable = origins.version_record.store.is_writable = False
    origins.archive.store = MemoryOriginStore()
    origins.archive.store.is_down = True


def regain_store(context, name):
    """Undo lose_store."""
    instance, fleet = context.fleet.instances[name], context.fleet
    instance.catalogue_source.source = fleet.catalogue
    instance.directory_source.source = fleet.servers
    instance.member_reader.instances = fleet.instance_list
    instance.origins.version_record.store = fleet.version_store
    instance.origins.archive.store = fleet.origin_store


@given("{name} reaches no backend server")
def reaches_none(context, name):
    context.fleet.partitions = {name: ServerPartition("hang")}
    context.run(context.clock.sleep, CUT_OFF_MS)
    for n in range(ISOLATION_REQUESTS):
        context.run(send_and_record, context, name, stream(context, f"earlier-{n}"))


@given("all instances but {name} are of an older build")
def older_build(context, name):
    for instance in context.fleet.instances.values():
        if instance.settings.name != name:
            instance.forwarder.context.origins.exchange.announce = lambda *arguments: 0
    for link in context.fleet.instances[name].fleet.links.values():
        link.peer = replace(link.peer, message_set=0)


@when("a caller resumes stream {id_} at {name}")
def resume_other(context, id_, name):
    resume_as(context, name, resumes=id_)


@when("a caller resumes a stream at {name} without naming it")
def resume_unnamed(context, name):
    resume_as(context, name, resumes="")


@when("a caller of another path resumes stream {id_} at {name}")
def resume_other_path(context, id_, name):
    path = PATHS["resumable"] + "/other"
    resume_as(context, name, resumes=id_, path=path, target=path)


@when("a caller of another team resumes stream {id_} at {name}")
def resume_other_team(context, id_, name):
    resume_as(context, name, resumes=id_, key="other")


def resume_as(context, name, **fields):
    sent = replace(stream(context, "r-again"), last_event_id="2", **fields)
    record_lines(context)
    context.run(serve, context, name, sent)


@then("it is refused as not run with code {code:d} within {ms:d} ms, and {word} Retry-After")
def refused_at_once(context, code, ms, word):
    _, body, found, class_, error = context.ends["r-again"]
    assert (body, found, class_) == (b"", code, "not_run"), context.ends["r-again"]
    has_time = {"a": True, "no": False}[word]
    assert has_time == (error.retry_after_ms is not None), error.retry_after_ms
    assert not has_time or error.retry_after_ms > 0
    took_ms = context.ended_at["r-again"] - context.arrived["r-again"]
    assert took_ms <= ms, took_ms
    assert not context.fleet.upstream.runs["r-again"]


@then("no stage of its second attempt ran")
def no_stage(context):
    calls = context.fleet.upstream.piece_calls
    assert all(piece.request != "r-again" for call in calls for piece in call.pieces)


@then("it is answered with events {first:d} to {last:d}")
def answered_with(context, first, last):
    assert context.ends["r-again"][:3] == (200, events(first, last), 0), context.ends["r-again"]


@then("the log says that {number:d} instances were asked")
def log_says_asked(context, number):
    asked = [one["asked"] for one in context.lines if one.get("message_type") == "stream-origin"]
    assert asked == [number], asked


@when("an instance is told malformed origins, and more than it keeps")
def tell_origins(context):
    instance = context.fleet.instances["a-1"]
    context.registry = registry = instance.forwarder.context.origins.registry
    now = context.clock.now()
    context.malformed = (
        StreamOrigin(b"short", "llm", "v1", now + 1_000.0),
        StreamOrigin(bytes(KEY_BYTES), "llm", "v1", now - 1.0),
        StreamOrigin(bytes(KEY_BYTES), "llm", "v1", float("inf")),
        StreamOrigin(bytes(KEY_BYTES), "llm", "v1", float("nan")),
    )
    for one in context.malformed:
        registry.add(one)
    context.kept = [
        StreamOrigin(n.to_bytes(KEY_BYTES, "big"), "llm", "v1", now + 1_000.0)
        for n in range(MAX_ORIGINS + 10)
    ]
    for one in context.kept:
        registry.add(one)


@then("it keeps the newest ones that are well-formed")
def keeps_newest(context):
    assert list(context.registry.origins.values()) == context.kept[10:]
    assert not any(one.stream in context.registry.origins for one in context.malformed)


@given("{number:d} more instances in data centres a, b, c")
def more_instances(context, number):
    for n in range(number):
        context.fleet.start(f"{'abc'[n % 3]}-{n // 3 + 3}")
    context.run(context.clock.sleep, MANY_START_MS)


@given("the instances of data centre {datacentre} are killed")
def datacentre_killed(context, datacentre):
    kill(context, [one for one in context.fleet.instances if one.startswith(datacentre)])


@given("the first holder in data centre {datacentre} and {name} are killed")
def holder_killed(context, datacentre, name):
    holders = context.fleet.instances[name].forwarder.context.origins.holders
    first = [one.name for one in holders.instances("llm") if one.datacentre == datacentre]
    kill(context, {*first, name})


def kill(context, names):
    context.knew = count_known(context)
    for name in names:
        context.fleet.instances.pop(name).close()
    context.run(context.clock.sleep, SETTLE_MS)


def count_known(context):
    registries = [
        one.forwarder.context.origins.registry for one in context.fleet.instances.values()
    ]
    return sum(bool(one.origins) for one in registries)


@then("at most {number:d} instances other than {name} knew of it")
def at_most_knew(context, number, name):
    assert 1 < context.knew <= number + 1, context.knew


@given("{number:d} instances other than {name} know of it")
def others_know(context, number, name):
    knew = count_known(context)
    assert knew == number + 1, knew


@then("its stages ran {times}")
def stages_ran(context, times):
    expected = {"never": 0, "once": 1}[times]
    runs = Counter(
        (piece.stage, piece.fragment)
        for call in context.fleet.upstream.piece_calls
        for piece in call.pieces
    )
    assert all(number == expected for number in runs.values()), runs
    assert bool(runs) == bool(expected), runs


@given("a-1 gets the entry of {server} {entry} from an instance of an older build")
def entry_without_version(context, server, entry):
    instance = context.fleet.instances["a-1"]
    known = instance.directory.records[server]
    # What is known of it here is dropped, as if it had another start.
    del instance.directory.records[server]
    plain = {name: text for name, text in known.server.labels.items() if name != VERSION_LABEL}
    record = replace(known, server=replace(known.server, labels=plain))
    link = next(iter(instance.fleet.links.values()))
    copy = DirectoryCopy(known.position, (record,), 0.0)
    context.run(instance.fleet.handle, copy, link)
    if "b-1 starts again" in entry:
        lose(context, "b-1", "killed and starts again")


@given("server {name} has started again, and is full")
def started_again_full(context, name):
    context.fleet.upstream.crashed.remove(name)
    context.fleet.upstream.faults[name] = ServerFault.FULL
    for instance in context.fleet.instances.values():
        instance.router.states.pop(name, None)


@then("{number:d} server was sent it")
def sent_to_servers(context, number):
    arrivals = context.fleet.upstream.arrivals["r-again"]
    assert len(arrivals) == number, arrivals


def entry(position, born, version=""):
    server = listed_server("i-1", "llm", "i-1", "a", 8, False, born, version)
    return ServerRecord("i-1", Position(0, position), "llm", server, born)


@given("a-1 knows an entry with start {born:d} and version {version}")
def knows_entry(context, born, version):
    directory = context.fleet.instances["a-1"].directory
    directory.apply([entry(1_000, born, version)], Position(0, 1_000), "test")


@when("it gets a newer one with start {born:d} from an instance of an older build")
def gets_entry(context, born):
    directory = context.fleet.instances["a-1"].directory
    directory.apply([entry(1_001, born)], Position(0, 1_001), "test")


@then("it takes the server to run version {version}")
def takes_version(context, version):
    server = context.fleet.instances["a-1"].directory.records["i-1"].server
    assert version_of(server) == ("" if version == "unknown" else version), server


@given("the first answer that {name} relays is lost, and server {server} runs the stream then")
def relayed_answer_lost(context, name, server):
    transport = context.fleet.instances[name].forwarder.context.relay.transport
    broken, plain, tried = context.fleet.broken_relays, transport.send, []

    def send(address, sent, limit_ms):
        if tried:
            set_load(context, {server: 0})
            return plain(address, sent, limit_ms)
        tried.append(address)
        broken.add(address)
        try:
            return plain(address, sent, limit_ms)
        finally:
            broken.discard(address)

    transport.send = send
