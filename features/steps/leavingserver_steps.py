# leavingserver_steps.py -- Steps about backend servers that announce in answers that they leave
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that announce in answers that they leave."""

import gevent
from behave import given, then, when
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import PATHS, SECOND_MS, find_coordinator, request, serve
from noticerecorder import SETTLE_MS, list_again, of_service, send, send_notices, start_recording

from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.serverrecord import listed_server
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import UNLIMITED, RateLimit

# Within this time after the store answers again, an instance follows it again.
STORE_BACK_MS = 3_000.0
# Longer than the notice of a server that is no longer listed is kept.
FORGOTTEN_MS = 660_000.0


@given("the store is silent")
def store_silent(context):
    context.fleet.catalogue.silent = context.fleet.servers.silent = True


@given("the store answers")
def store_answers(context):
    context.fleet.catalogue.silent = context.fleet.servers.silent = False
    context.run(context.clock.sleep, STORE_BACK_MS)


@when(
    "server {server:S} announces that it leaves, and {rate:d} {kind:w} requests a second come "
    "for {ms:d} ms"
)
def leaves(context, server, rate, kind, ms):
    start_recording(context)
    context.fleet.upstream.leaving.add(server)
    send(context, rate, kind, ms)


@when(
    "server {server:S} announces that it leaves, and {rate:d} {kind:w} requests a second come "
    "for {ms:d} ms while {what}"
)
def leaves_while(context, server, rate, kind, ms, what):
    service = server.partition("-")[0]
    context.topic = service if service == "enc" else prompts_topic(service)
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(EVENTS[what], context))
    leaves(context, server, rate, kind, ms)


@when(
    "all {service:w} servers announce that they leave, and {rate:d} {kind:w} requests a second "
    "come for {ms:d} ms"
)
def all_leave(context, service, rate, kind, ms):
    start_recording(context)
    context.fleet.upstream.leaving.update(of_service(context, service))
    send(context, rate, kind, ms)


@given("server {server:S} has announced that it leaves")
@given("all {service:w} servers have announced that they leave")
def has_announced(context, server="", service=""):
    start_recording(context)
    context.server = server
    send_notices(context, [server] if server else of_service(context, service), [Leaving()])
    context.run(context.clock.sleep, 100.0)


@then("no notified instance sends it requests that come over {ms:d} ms later")
def not_used_by_notified(context, ms):
    assert context.notified_at
    late = [
        one
        for one in context.sent_requests
        if one.arrived_at > context.notified_at.get((one.instance, one.server), float("inf")) + ms
    ]
    assert not late, (len(late), len(context.sent_requests), late[0])


@then("no instance sends it requests that come over {ms:d} ms after the first notice")
def not_used_by_any(context, ms):
    ((server, first),) = context.first_notified_at.items()
    late = [
        one for one in context.sent_requests if one.server == server and one.arrived_at > first + ms
    ]
    assert not late, (len(late), len(context.sent_requests), late[0])


@then("it knows within {ms:d} ms that {server} leaves")
def knows(context, ms, server):
    context.run(context.clock.sleep, float(ms))
    assert context.new.notices.registry.leaving_since(server) is not None


@when("{ms:d} s go by")
def seconds_go_by(context, ms):
    context.run(context.clock.sleep, ms * SECOND_MS)


@when("the store answers, and lists it as ready")
def lists_ready(context):
    store_answers(context)
    list_again(context)
    context.run(context.clock.sleep, SETTLE_MS)


@when("the store is restored from an older copy, and lists it as ready")
def restored_lists_ready(context):
    context.fleet.save_copy()
    list_again(context)
    context.fleet.restore_copy()
    lists_ready(context)


@when("its entry expires, and is listed again")
def entry_expires(context):
    store_answers(context)
    context.fleet.servers.put(context.server, None)
    context.run(context.clock.sleep, 5 * SETTLE_MS)
    list_again(context)
    context.run(context.clock.sleep, SETTLE_MS)


@when("a later answer does not repeat the notice")
def later_answer(context):
    send_notices(context, [context.server], [RateLimit(UNLIMITED)])
    context.run(context.clock.sleep, SETTLE_MS)


@when("{rate:d} {kind:w} requests a second come for {ms:d} ms")
def send_series(context, rate, kind, ms):
    context.sent_requests.clear()
    send(context, rate, kind, ms)


@then("server {server:S} gets nothing")
def gets_nothing(context, server):
    got = [one for one in context.sent_requests if one.server == server]
    assert context.sent_requests and not got, (len(got), len(context.sent_requests))


@when("server {server:S} restarts, and {rate:d} {kind:w} requests a second come for {ms:d} ms")
def restarts(context, server, rate, kind, ms):
    service, datacentre = context.servers[server]
    context.fleet.add_server(server, service, datacentre, born=7)
    context.run(context.clock.sleep, SETTLE_MS)
    send_series(context, rate, kind, ms)


@then("server {server:S} gets over {minimum:d} requests")
def gets_over(context, server, minimum):
    got = [one for one in context.sent_requests if one.server == f"{server}@7"]
    assert len(got) > minimum, len(got)


@when("a {which:w} server announces that it leaves, and 11 minutes later another one does")
def leave_apart(context, which):
    context.registry.listed = lambda: frozenset({"i-1"} if which == "listed" else ())
    for name in ("i-1", "i-2"):
        server = listed_server(name, "desk", "10.0.0.1:80", "a", 8, False)
        context.registry.record(server, Leaving(), context.clock.now())
        context.clock.time += FORGOTTEN_MS


@then("{number:d} of them are known to leave")
def number_known(context, number):
    assert len(context.registry.leaving) == number, context.registry.leaving


@then("all requests that came in the first {ms:d} ms were answered")
def answered_first(context, ms):
    until = min(context.first_notified_at.values()) + ms
    ends = [
        context.ends[id_][0] for id_, arrived_at in context.arrived.items() if arrived_at <= until
    ]
    assert ends and set(ends) == {200}, ends


@then(
    "all requests that came after {after:d} ms were refused within {ms:d} ms, with a time to "
    "retry"
)
def refused_later(context, after, ms):
    late = [
        id_
        for id_, arrived_at in context.arrived.items()
        if arrived_at > min(context.first_notified_at.values()) + after
    ]
    ends = [context.ends[id_] for id_ in late]
    assert late and {(end[2], end[3]) for end in ends} == {(2008, "not_run")}, ends
    assert all(end[4].retry_after_ms > 0 for end in ends)
    assert max(context.ended_at[id_] - context.arrived[id_] for id_ in late) <= ms


@then("no notified instance sends them requests that come over {ms:d} ms later")
def none_used_by_notified(context, ms):
    not_used_by_notified(context, ms)


@when("server {server:S} is listed, and {rate:d} {kind:w} requests a second come for {ms:d} ms")
def listed(context, server, rate, kind, ms):
    context.fleet.add_server(server, server.partition("-")[0], "a")
    context.run(context.clock.sleep, SETTLE_MS)
    context.ends.clear()
    send(context, rate, kind, ms, label="then-")


@then("all requests that came after that were answered")
def all_answered(context):
    ends = [end[0] for end in context.ends.values()]
    assert ends and set(ends) == {200}, ends


@when("{number:d} {kind:w} requests come one after the other, {ms:d} ms later")
def one_after_other(context, number, kind, ms):
    def send_all():
        context.clock.sleep(float(ms))
        for n in range(number):
            name = list(context.fleet.instances)[n % len(context.fleet.instances)]
            serve(context, name, request(f"{name}/{n}", PATHS[kind], context.clock.now()))

    context.run(send_all)


@then("each was refused as not run, and no piece was run")
def refused_before_stages(context):
    assert {(end[2], end[3]) for end in context.ends.values()} == {(2008, "not_run")}
    assert not context.fleet.upstream.piece_calls


@when("results at {first:S} and {second:S} are released")
def release_results(context, first, second):
    batcher = find_coordinator(context, "enc").dispatch.batcher("enc")

    def release():
        for server, handle in ((first, f"{first}/1"), (second, f"{second}/2")):
            batcher.result_memory.record_result(
                handle, server, 1.0, context.clock.now() + 4 * SECOND_MS
            )
        batcher.release([f"{first}/1", f"{second}/2"])
        context.clock.sleep(SECOND_MS)

    context.run(release)


@then("only {server:S} is asked to release a result")
def only_asked(context, server):
    assert context.fleet.upstream.released == [f"{server}/1"], context.fleet.upstream.released


@then("no cached prompt part is fetched from {server:S}")
def none_fetched(context, server):
    placed = [call.source for call in context.opened_calls]
    assert placed and server not in placed, placed.count(server)


@when("one instance receives the notice that a server leaves, and {ms:d} ms later another one does")
def receive_two(context, ms):
    server = listed_server("i-1", "desk", "10.0.0.1:80", "a", 8, False)

    def play():
        for registry, wait_ms in ((context.registries[0], float(ms)), (context.registries[1], 0.0)):
            registry.record(server, Leaving(), context.clock.now() - 5.0)
            context.clock.sleep(wait_ms)

    context.run(play)


@then("after {ms:d} ms all of them know that it leaves, and no message is in transit")
def all_know(context, ms):
    context.run(context.clock.sleep, float(ms))
    assert context.in_transit == 0, context.messages
    assert context.messages <= 2 * len(context.registries), context.messages
    assert all(registry.leaving_since("i-1") is not None for registry in context.registries)


@when(
    "{number:d} listed servers announce that they leave, one every {ms:d} ms, and {others:d} "
    "that are not listed"
)
def many_leave(context, number, ms, others):
    context.listed = {f"i-{n}" for n in range(number)}
    context.registry.listed = lambda: frozenset(context.listed)
    for n in range(number + others):
        context.clock.time += ms
        server = listed_server(f"i-{n}", "desk", "10.0.0.1:80", "a", 8, False)
        context.registry.record(server, Leaving(), context.clock.now())


@then("it keeps those that are listed, and at least {maximum:d} in all")
def keeps_listed(context, maximum):
    assert context.listed <= set(context.registry.leaving)
    assert maximum <= len(context.registry.leaving) <= len(context.listed) + maximum
