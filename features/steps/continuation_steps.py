# continuation_steps.py -- Steps about streams that continue from copies
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about streams that continue from copies."""

import json
import random
from dataclasses import replace
from functools import partial

import gevent
from behave import given, then, when
from forward_steps import SETTLE_MS, events
from forwardbasics import catalogue, placement_coordinator, request, route, save_retries, serve
from logrecorder import record_lines
from mountladder_platform.decoding import decode_catalogue
from platform_steps import TIMEOUT_MS, listen, make_call, make_upstream, receive_request

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.continuation.backuplimits import BackupLimits
from mountladder.continuation.backupplacement import BackupPlacement
from mountladder.continuation.backuppolicy import BackupPolicy
from mountladder.continuation.serverwatch import ServerWatch
from mountladder.continuation.streampace import StreamPace
from mountladder.errors import StageError
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.serverrecord import listed_server
from mountladder.forwarding.service import Service
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspicion import Suspicion
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.promptplacement import PromptPlacement
from mountladder.routing.router import Router
from mountladder_entry.callergone import CallerGoneError
from mountladder_standins.serverfault import ServerFault

TOKEN_BYTES = 262_144.0
LIMITS = BackupLimits(TOKEN_BYTES, 10_000.0, 4_000.0)
PARTS = (PromptPart("shared", 600), PromptPart("own", 100))
PROMPTS = {
    "narration": Prompt(700, 280, PARTS),
    "brief": Prompt(9_200, 52, PARTS),
    "resumable": Prompt(700, 280, PARTS),
    "staged": Prompt(700, 280, PARTS),
}
PATHS = {
    "narration": "/stream/1",
    "brief": "/stream/1",
    "resumable": "/resumable/1",
    "staged": "/staged/1",
}
# The stand-in sends its first event 50 ms after a request, and the others 10 ms apart.
FIRST_EVENT_MS = 50.0
BREAK_MS = 55.0
SILENT_MS = 75.0
LOSS_SEEN_MS = 100.0
# Enough prompts at the other servers that the coordinator prefers the wanted one.
MANY_PROMPTS = 50
# The placement of a prompt by another instance takes some milliseconds.
PLACEMENT_MS = 5.0
ALLOWED_MS = 6_000.0
# Long enough for a server to be silent for a while and the stream to go on after that.
ROUTE_TIMEOUT_MS = 6_000.0


@given("a fleet whose model servers {keep} copies")
def fleet_with_copies(context, keep):
    fleet = context.fleet
    plain = catalogue(1)
    backups = LIMITS if keep == "keep" else None
    service = Service("llm", 100, 8, 280_740, backups=backups)
    routes = {
        host: tuple(replace(one, timeout_ms=ROUTE_TIMEOUT_MS) for one in all_)
        for host, all_ in plain.routes.items()
    }
    services = {**plain.services, "llm": service}
    fleet.configure(replace(plain, services=services, routes=routes))
    for name in ("a-1", "b-1"):
        fleet.start(name)
    fleet.add_server("llm-1", "llm", "a")
    fleet.add_server("llm-2", "llm", "b")
    context.run(context.clock.sleep, SETTLE_MS)
    save_retries(context)
    context.plans = []
    context.calls = []
    record_lines(context)
    context.open_answers = []
    record_calls(context)


def record_calls(context):
    """Record each call, and how many answers were still open when it continued a stream."""
    upstream = context.fleet.upstream
    plain_open, plain_free = upstream.open, upstream.free_copy

    def open_(server, call, limit_ms):
        context.calls.append((server.name, call))
        if call.copy:
            context.open_answers.append(sum(not one.closed for one in upstream.answers))
        return plain_open(server, call, limit_ms)

    def free_copy(server, id_, on_notices):
        context.open_answers.append(sum(not one.closed for one in upstream.answers))
        plain_free(server, id_, on_notices)

    upstream.open, upstream.free_copy = open_, free_copy


@given("server {name} of data centre {datacentre} may get copies too")
def third_server(context, name, datacentre):
    context.fleet.add_server(name, "llm", datacentre)
    context.run(context.clock.sleep, SETTLE_MS)
    placement_load(context, name)


@given("server {name} runs it first")
def first_server(context, name):
    for other in {"llm-1", "llm-2"} - {name}:
        placement_load(context, other)


def placement_load(context, server):
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).placement.running_prompts[server] = MANY_PROMPTS


@given("the first server is {name} and it breaks off within the third event")
def first_breaks(context, name):
    first_server(context, name)
    context.fleet.upstream.faults[name] = ServerFault.CUT


@given("the first server is {name} and it drains, and breaks off in the third event")
def first_drains(context, name):
    first_breaks(context, name)
    context.plans.append((BREAK_MS, lambda: drain(context, name, "b")))


@given("the first server is {name} and it breaks off after the last event")
def first_breaks_late(context, name):
    first_server(context, name)
    upstream = context.fleet.upstream
    plain = upstream.answer

    def answer(server, call, fault):
        found = plain(server, call, fault)
        found.cut = server.name == name
        return found

    upstream.answer = answer


@given("the first server is {name} and it crashes after {ms:d} ms")
def first_crashes(context, name, ms):
    first_server(context, name)
    context.plans.append((float(ms), lambda: crash(context, name)))


@given("the first server is {name} and it crashes within {ms:d} ms of the request")
def first_crashes_soon(context, name, ms):
    first_server(context, name)
    upstream = context.fleet.upstream
    plain = upstream.open

    def open_(server, call, limit_ms):
        if server.name == name:
            context.clock.call_later(float(ms), lambda: crash(context, name))
        return plain(server, call, limit_ms)

    upstream.open = open_


@given("results are held for {factor:d} times as long as usual at {name}")
def results_held(context, factor, name):
    context.fleet.instances[name].forwarder.context.fetch_time.factor = float(factor)


def crash(context, name):
    context.fleet.upstream.crash(context.fleet.instances["a-1"].directory.find(name))


@given("the first server is {name} and it is silent, and {loss}")
def first_silent(context, name, loss):
    first_server(context, name)
    instance = context.fleet.instances["a-1"]
    seen = {
        "a peer sees its crash": lambda: instance.quarantine.registry.on_server_crashed(name),
        "its data centre is cut off": lambda: instance.directory.avoid(frozenset({"b"})),
    }
    context.plans.append((SILENT_MS, lambda: context.fleet.upstream.silent.add(name)))
    context.plans.append((LOSS_SEEN_MS, seen[loss]))


@given("the first server is {name} and it is silent and unreachable")
def first_unreachable(context, name):
    first_server(context, name)
    upstream = context.fleet.upstream
    context.plans.append((SILENT_MS, lambda: upstream.silent.add(name)))
    context.plans.append((SILENT_MS, lambda: upstream.unreachable.add(name)))


@given("the first server is {name} and it is silent and unreachable for {ms:d} ms")
def first_unreachable_for(context, name, ms):
    first_server(context, name)
    upstream = context.fleet.upstream
    for names in (upstream.silent, upstream.unreachable):
        context.plans.append((SILENT_MS, partial(names.add, name)))
        context.plans.append((SILENT_MS + ms, partial(names.discard, name)))


@given("the first server is {name} and it is silent for {ms:d} ms")
def first_pauses(context, name, ms):
    first_server(context, name)
    silent = context.fleet.upstream.silent
    context.plans.append((SILENT_MS, lambda: silent.add(name)))
    context.plans.append((SILENT_MS + ms, lambda: silent.discard(name)))


@given("the first server is {name} and it is silent from {start:d} ms to {end:d} ms")
def first_is_silent_from(context, name, start, end):
    first_server(context, name)
    silent = context.fleet.upstream.silent
    context.plans.append((float(start), lambda: silent.add(name)))
    context.plans.append((float(end), lambda: silent.discard(name)))
    context.silence = (name, float(start), float(end))


@given("a peer reports its crash meanwhile")
def crash_reported(context):
    name, _, _ = context.silence
    registry = context.fleet.instances["a-1"].quarantine.registry
    context.plans.append((LOSS_SEEN_MS, lambda: registry.on_server_crashed(name)))


@given("no connection can be opened meanwhile")
def not_reached_meanwhile(context):
    name, start, end = context.silence
    unreachable = context.fleet.upstream.unreachable
    context.plans.append((start, lambda: unreachable.add(name)))
    context.plans.append((end, lambda: unreachable.discard(name)))


@given("its port refuses connections meanwhile")
def refused_meanwhile(context):
    name, _, _ = context.silence
    upstream = context.fleet.upstream
    plain = upstream.refuses
    upstream.refuses = lambda server, limit_ms: server.name == name or plain(server, limit_ms)


@given("it has sent no event yet")
def no_event_yet(context):
    assert context.silence[1] < FIRST_EVENT_MS, context.silence


@given("its data centre is cut off meanwhile")
@given("the data centre of the first server is cut off meanwhile")
def first_cut_off(context):
    directory = context.fleet.instances["a-1"].directory
    context.plans.append((LOSS_SEEN_MS, lambda: directory.avoid(frozenset({"b"}))))


@given("server {name} has no room for copies")
def no_room(context, name):
    context.fleet.upstream.without_copies.add(name)


@given("server {name} crashes before the break")
def copy_crashes(context, name):
    context.plans.append((BREAK_MS, lambda: crash(context, name)))


@given("server {name} drains before the break")
def copy_drains(context, name):
    context.plans.append((BREAK_MS, lambda: drain(context, name, "a")))


def drain(context, name, datacentre):
    context.fleet.add_server(name, "llm", datacentre, draining=True)


@given("server {name} goes out of use at {instance} once {first} is reached")
def out_of_use_meanwhile(context, name, instance, first):
    found, upstream = context.fleet.instances[instance], context.fleet.upstream
    plain = upstream.check_refusal

    def check_refusal(server, on_notices):
        if server.name == first:
            found.router.mark_crashed(found.directory.find(name))
        plain(server, on_notices)

    upstream.check_refusal = check_refusal


@given("the request is barred before the break")
def barred(context):
    quarantine = context.fleet.instances["a-1"].quarantine

    def bar():
        sent = narration(context, "narration")
        texts = ("desk", sent.method, sent.host, sent.target)
        fingerprint = quarantine.track(sent.id, texts, sent.body).fingerprint
        now = context.clock.now()
        crashes = (ServerCrash("llm-9", 10.0, now, True),)
        found = Suspicion(fingerprint, "llm", crashes, bars=1, barred_at=now)
        quarantine.registry.suspicions[fingerprint] = found

    context.plans.append((BREAK_MS, bar))


@given("the setting changes before the break")
def setting_changes(context):
    context.plans.append((BREAK_MS, lambda: switch(context, "false", "a-1")))


@given("the request must be answered within {ms:d} ms")
def answered_within(context, ms):
    context.allowed_ms = float(ms)


@given("the setting continue_streams is {value} at {name}")
def switch(context, value, name):
    instance = context.fleet.instances[name]
    instance.settings = replace(instance.settings, continue_streams=value == "true")


def narration(context, kind):
    allowed_ms = getattr(context, "allowed_ms", ALLOWED_MS)
    now = context.clock.now()
    return request("r", PATHS[kind], now, allowed_ms=allowed_ms, prompt=PROMPTS[kind])


@when("a {kind} r is sent to {name}")
def send_kind(context, kind, name):
    fleet = context.fleet

    def send():
        for delay_ms, plan in context.plans:
            context.clock.call_later(delay_ms, plan)
        serve(context, name, narration(context, kind))
        # Copies are freed in the background.
        context.clock.sleep(PLACEMENT_MS)

    plain = fleet.send

    def keep_headers(to, sent):
        context.answer = plain(to, sent)
        return context.answer

    fleet.send = keep_headers
    context.run(send)


@when("the caller of narration r to {name} leaves after {ms:d} ms")
def caller_of_narration_leaves(context, name, ms):
    def leave():
        task = gevent.spawn(serve, context, name, narration(context, "narration"))
        context.clock.sleep(float(ms))
        task.kill(CallerGoneError())
        context.clock.sleep(PLACEMENT_MS)

    context.run(leave)


@then("narration r ends with status {status:d} and events {first:d} to {last:d}")
def ends_whole(context, status, first, last):
    assert context.ends["r"][:3] == (status, events(first, last), 0), context.ends["r"]


@then("narration r ends incomplete with code {code:d} after events {first:d} to {last:d}")
def ends_incomplete(context, code, first, last):
    _, body, found, how, _ = context.ends["r"]
    assert (body, found, how) == (events(first, last), code, "broken"), context.ends["r"]


@then("narration r fails with code {code:d}")
def fails(context, code):
    _, body, found, _, _ = context.ends["r"]
    assert (body, found) == (b"", code), context.ends["r"]


@then('it continued at {name} from the copy of its run after event "{last}"')
def continued_at(context, name, last):
    ((server, call),) = context.fleet.upstream.continued
    assert (server, call.copy, call.last_event_id) == (name, f"{name}/r", last), call
    assert call.request.id == "r" and call.backup == ""
    first = context.calls[0][1]
    assert (first.backup, first.copy) == (name, ""), first


@then("it continued with the same inputs")
def continued_with(context):
    first, second = (call for _, call in context.calls)
    assert first.inputs and second.copy, context.calls
    assert second.inputs == first.inputs, second.inputs


@then("no stage of it ran twice")
def stages_once(context):
    pieces = [one for call in context.fleet.upstream.piece_calls for one in call.pieces]
    assert len(pieces) == len({(one.stage, one.fragment) for one in pieces}), pieces


@then("it was sent to {names}")
def sent_to(context, names):
    arrivals = context.fleet.upstream.arrivals["r"]
    assert arrivals == names.split(", "), arrivals


@then("every earlier connection was closed before it continued")
@then("the connection was closed before the copy was freed")
def closed_before(context):
    assert context.open_answers == [0], context.open_answers


@then("its answer has the headers of {name}")
def headers_of(context, name):
    assert context.answer.headers == (("X-Server", name),), context.answer.headers


@then("instance {name} counts {copies:d} copies and {continued:d} continued")
def counts_copies(context, name, copies, continued):
    counts = context.fleet.instances[name].metrics.counts
    assert (counts["copies"], counts["continued"]) == (copies, continued), counts
    size = round(980 * TOKEN_BYTES) * copies
    assert counts["copied_bytes"] == size, counts


@then("instance {name} counts {continued:d} continued and {others:d} not_continued")
def counts_continued(context, name, continued, others):
    counts = context.fleet.instances[name].metrics.counts
    assert (counts["continued"], counts["not_continued"]) == (continued, others), counts


@then("it took less than {ms:d} ms")
def took_less(context, ms):
    took_ms = context.ended_at["r"] - context.arrived["r"]
    assert took_ms < ms, took_ms


@then("the copies that are freed by request are {names}")
def freed(context, names):
    expected = [] if names == "none" else [(one, "r") for one in names.split(", ")]
    assert context.fleet.upstream.freed_copies == expected, context.fleet.upstream.freed_copies


@then("none of its calls continued from a copy")
def none_continued(context):
    assert not any(call.copy for _, call in context.calls), context.calls


@then("{number:d} of its calls asked for a copy")
def asked_for_copy(context, number):
    assert sum(bool(call.backup) for _, call in context.calls) == number, context.calls


def lines_of(context, name):
    found = [one for one in context.lines if one.get("message_type") == name]
    assert all(one["request"] == "r" for one in found), found
    return found


@then(
    "its copy was logged as {outcome}, for {rate:d} bytes a second at risk of at most {maximum:d}"
)
def copy_logged(context, outcome, rate, maximum):
    (line,) = lines_of(context, "copy-decided")
    found = (line["outcome"], line["bytes_per_s"], line["max_bytes_per_s"], line["samples"])
    assert found == (outcome, rate, maximum, 0), line


@then("its break was logged as {name}")
def break_logged(context, name):
    line = (lines_of(context, "stream-continuing") + lines_of(context, "stream-not-continued"))[-1]
    assert line["message_type"] == name and line["reason"], line


@then('its last break was logged for {name} as "{reason}"')
def last_break_logged(context, name, reason):
    (line,) = lines_of(context, "stream-not-continued")
    assert (line["server"], line["reason"]) == (name, reason), line


@then("its stream was logged as left to its server")
def left_logged(context):
    lines = lines_of(context, "stream-left")
    assert lines and all(one["server"] == "llm-2" and one["outcome"] for one in lines), lines


@then("it took {number:d} retries out of the budget")
def retries_taken(context, number):
    lines = [one["outcome"] for one in lines_of(context, "retry-budget")]
    assert lines == ["allowed"] * number, lines


@then("its copy was kept at {name}")
def kept_at(context, name):
    assert [call.backup for _, call in context.calls] == [name], context.calls


@given("a stream with a copy, of a route whose longest pause is {gap:d} ms")
def stream_of_route(context, gap):
    found = replace(route("r", "/", RouteKind.STREAM, "llm"), gap_ms=float(gap))
    server = listed_server("one", "llm", "one", "a", 8, False)
    context.watch = ServerWatch(server, lambda reason: True, found, None, VirtualClock())


@then("its server is probed after a pause of {ms:d} ms")
def probed_after(context, ms):
    assert context.watch.max_silence_ms == ms, context.watch.max_silence_ms


@then("no stream is watched at {name}")
def none_watched(context, name):
    assert not context.fleet.instances[name].continuations.watched


@when("another instance in {datacentre} has a {kind} placed at {name}")
def place_for_other(context, datacentre, kind, name):
    context.number = getattr(context, "number", 0) + 1
    coordinator = placement_coordinator(context.fleet.instances[name])
    order = PlacementOrder(context.number, "llm", PROMPTS[kind], (), "", wants_backup=True)
    coordinator.placement.running_prompts["llm-1"] = MANY_PROMPTS
    context.run(coordinator.place, order, "a peer", datacentre)


@when("that instance is gone and {ms:d} ms go by")
def other_gone(context, ms):
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).forget_owner("a peer")
    context.run(context.clock.sleep, float(ms))


@then("the coordinators count {tokens:d} tokens of copies")
def count_tokens(context, tokens):
    coordinators = [placement_coordinator(one) for one in context.fleet.instances.values()]
    counted = sum(sum(one.backups.tokens.values()) for one in coordinators)
    assert counted == tokens, counted


@given("a prompt of {prompt:d} tokens and at most {output:d} of output, with {mbps:d} Mbit/s")
def prompt_of(context, prompt, output, mbps):
    context.prompt = Prompt(prompt, output, PARTS)
    context.limits = BackupLimits(TOKEN_BYTES, mbps, 4_000.0)


@given("streams of its route that had {number:d} events over {ms:d} ms")
def streams_before(context, number, ms):
    context.pace = StreamPace()
    for _ in range(5):
        context.pace.learn(context.prompt.max_output, number, float(ms))


@then("it is {wanted} a copy")
def is_wanted(context, wanted):
    decision = BackupPolicy().decide(context.prompt, context.limits, context.pace)
    assert decision.wanted == (wanted == "worth"), decision


@given("model servers {names} with {tokens:d} tokens of cache")
def model_servers(context, names, tokens):
    context.placement_clock = VirtualClock()
    costs, policy = CostModel(), ExpectedCompletion()
    rng, metrics = random.Random(1), MemoryMetrics()
    router = Router(context.placement_clock, rng, costs, policy, metrics, "a", 3.0)
    context.servers = [
        listed_server(name, "llm", name, name[0], 8, False) for name in names.split(", ")
    ]
    context.service = Service("llm", 100, 8, tokens, backups=LIMITS)
    placement = PromptPlacement(context.placement_clock, router)
    context.placement = BackupPlacement(placement, context.placement_clock)


@given("server {name} is out of use there")
def out_of_use(context, name):
    server = next(one for one in context.servers if one.name == name)
    context.placement.placement.router.mark_crashed(server)


@given("server {name} runs many prompts there")
def runs_many(context, name):
    context.placement.placement.running_prompts[name] = MANY_PROMPTS


def place_copy(context, number, tokens, datacentre, first, excluded=()):
    prompt = Prompt(tokens - 100, 100, PARTS)
    order = PlacementOrder(number, "llm", prompt, tuple(excluded), "", wants_backup=True)
    key = ("a peer", number)
    servers, service = context.servers, context.service
    return context.placement.place(key, order, first, servers, service, datacentre) or "none"


@when(
    "a copy of {tokens:d} tokens is placed for an instance in {datacentre}, run by {first}, "
    "not at {excluded}"
)
@when(
    "a copy of {tokens:d} tokens is placed for an instance in {datacentre}, run by {first}, not at "
)
def place_one(context, tokens, datacentre, first, excluded=""):
    context.placed_at = [place_copy(context, 1, tokens, datacentre, first, [excluded])]


@when(
    "{number:d} copies of {tokens:d} tokens are placed for an instance in {where}, run by {first}"
)
def place_several(context, number, tokens, where, first):
    begin = len(context.placement.copies) + 1
    numbers = range(begin, begin + number)
    context.placed_at = [place_copy(context, n, tokens, where, first) for n in numbers]


@when("the prompt of copy {number:d} ends")
def copy_ends(context, number):
    context.placement.end(("a peer", number))


@when("the instance is gone for {ms:d} ms")
def instance_gone(context, ms):
    context.placement.lapse("a peer")
    clock = context.placement_clock
    clock.run(gevent.spawn(clock.sleep, float(ms)))


@then("its server is {name}")
@then("their servers are {name}")
def placed_at(context, name):
    assert context.placed_at == name.split(", "), context.placed_at


@when('a request with a copy at "{backup}" is sent to it, continuing from "{copy}"')
def send_with_copy(context, backup, copy):
    call = replace(make_call(context, "r1"), backup=backup, copy=copy)
    context.upstream.open(context.server, call, TIMEOUT_MS).read(TIMEOUT_MS)


@then('the server gets "{name}" "{value}" and "{other}" "{handle}"')
def gets_headers(context, name, value, other, handle):
    ((head, _),) = context.received_requests
    lines = head.decode().split("\r\n")
    assert f"{name}: {value}" in lines and f"{other}: {handle}" in lines, lines


@when('the copy of request "{id_}" is freed there')
def free_copy(context, id_):
    context.upstream.free_copy(context.server, id_, lambda server, notices, sent_at: None)


@then('the server gets the request line "{line}"')
def gets_line(context, line):
    ((head, _),) = context.received_requests
    assert head.decode().split("\r\n")[0] == line, head


HALVES = {
    "with a length": (b"Content-Length: 10\r\n", b"hello"),
    "without a length": (b"", b"hello"),
    "in chunks": (b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n"),
    "before its head": (b"", None),
}


@given("a backend server that sends half of an answer {framing} and then nothing")
def half_answer(context, framing):
    header, half = HALVES[framing]
    head = b"HTTP/1.1 200 X\r\nMountladder-Request-Id: r1\r\nMountladder-Server-Stamp: s\r\n"

    def handle(connection, address):
        receive_request(connection, b"")
        if half is not None:
            connection.sendall(head + header + b"\r\n" + half)
        gevent.sleep(2.0)

    make_upstream(context, listen(context, handle))


@when("its connection is broken from here after {ms:d} ms while the answer is read")
def broken_from_here(context, ms):
    clock = context.upstream.clock
    call = make_call(context, "r1")
    call = replace(call, connected=lambda break_: gevent.spawn_later(ms / 1000, break_))
    began = clock.now()
    try:
        context.read = context.upstream.open(context.server, call, 1_000.0).read(1_000.0)
    except StageError as error:
        context.read = error
    context.read_ms = clock.now() - began


@when("its connection is broken from here before the answer is read")
def broken_before(context):
    clock = context.upstream.clock
    breaks = []
    call = replace(make_call(context, "r1"), connected=breaks.append)
    answer = context.upstream.open(context.server, call, TIMEOUT_MS)
    gevent.sleep(0.02)
    breaks[0]()
    began = clock.now()
    try:
        context.read = answer.read(TIMEOUT_MS)
    except StageError as error:
        context.read = error
    context.read_ms = clock.now() - began


@then("reading ends with code {code:d} within {ms:d} ms")
def reading_ends(context, code, ms):
    assert isinstance(context.read, StageError), context.read
    assert context.read.code.number == code and context.read_ms < ms, (
        context.read,
        context.read_ms,
    )


@then("it can be reached")
def can_be_reached(context):
    assert context.upstream.reaches(context.server)


@then("it cannot be reached")
def cannot_be_reached(context):
    assert not context.upstream.reaches(context.server)


@when("a service with the engine {engine} is decoded")
def decode_engine(context, engine):
    services = [{"name": "s", "engine": json.loads(engine)}]
    encoded = json.dumps({"version": 1, "services": services}).encode()
    context.backups = decode_catalogue(encoded).services["s"].backups


@then("its copies are {copies}")
def decoded_copies(context, copies):
    found = context.backups
    text = (
        f"{found.token_bytes:.0f} bytes, {found.link_mbps:.0f}, {found.handle_ms:.0f}"
        if found
        else "none"
    )
    assert text == copies, text
