# restingserver_steps.py -- Steps about backend servers that ask for a back-off
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that ask for a back-off."""

import gevent
from behave import given, then, when
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import PATHS, find_coordinator, request, serve
from noticerecorder import SETTLE_MS, list_again, of_service, send, start_recording

from mountladder.forwarding.ranking import prompts_topic
from mountladder.notices.backoff import BackOff

# How soon after a refusal its back-off must be kept.
BACKOFF_DELAY_MS = 500.0
SERVERS_RESTING = 2013
# Half of the latency target of the routes in use here, for which a request may wait.
MAX_WAIT_MS = 300.0


@when(
    "server {server} refuses every second request with a back-off of {backoff_ms:d} ms, and "
    "{rate:d} {kind} requests a second come for {ms:d} ms"
)
def refuses(context, server, backoff_ms, rate, kind, ms):
    start_recording(context)
    context.fleet.upstream.refuse_every[server] = 2
    context.fleet.upstream.backoff_ms[server] = float(backoff_ms)
    send(context, rate, kind, ms)


@when(
    "server {server:S} refuses every second request with a back-off of {backoff_ms:d} ms, and "
    "{rate:d} {kind:w} requests a second come for {ms:d} ms while {what}"
)
def refuses_while(context, server, backoff_ms, rate, kind, ms, what):
    service = server.partition("-")[0]
    context.topic = service if service == "enc" else prompts_topic(service)
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(EVENTS[what], context))
    refuses(context, server, backoff_ms, rate, kind, ms)


@when(
    "all {service:w} servers refuse all requests with a back-off of {backoff_ms:d} ms, and "
    "{rate:d} {kind:w} requests a second come for {ms:d} ms"
)
def all_refuse(context, service, backoff_ms, rate, kind, ms):
    start_recording(context)
    for server in of_service(context, service):
        context.fleet.upstream.refuse_every[server] = 1
        context.fleet.upstream.backoff_ms[server] = float(backoff_ms)
    context.kind, context.asked_servers = kind, of_service(context, service)
    send(context, rate, kind, ms)


@when("they stop refusing requests")
def refuse_none(context):
    context.fleet.upstream.refuse_every.clear()


def common_backoff(context, instance):
    """Return the start and end of the time in which all servers' back-offs bind an instance."""
    asked = [one for one in context.backoffs if one.instance == instance]
    first = {
        server: [one for one in asked if one.server == server][:1]
        for server in context.asked_servers
    }
    if not all(first.values()):
        return float("inf"), float("inf")
    spans = [(one.at, one.at + one.for_ms) for (one,) in first.values()]
    return max(at for at, _ in spans), min(until for _, until in spans)


def refused_in_backoff(context):
    """Return when the back-offs ended, by id of the requests refused while all servers had one.

    Requests that come shortly before the end wait for it.
    """
    found = {}
    for id_, end in context.ends.items():
        since, until = common_backoff(context, id_.split("/")[0])
        if end[3] == "not_run" and since < context.arrived[id_] < until - MAX_WAIT_MS:
            found[id_] = until
    return found


@then("an instance that all had asked to back off refused requests within {ms:d} ms")
def refused_at_once(context, ms):
    refused = refused_in_backoff(context)
    assert len(refused) >= 10, (len(refused), len(context.ends))
    codes = {id_: context.ends[id_][2] for id_ in refused}
    assert set(codes.values()) == {SERVERS_RESTING}, codes
    took = {id_: context.ended_at[id_] - context.arrived[id_] for id_ in refused}
    assert max(took.values()) <= ms, took


@then("each was told to retry after the back-off, and not over {ms:d} ms later")
def retry_after_backoff(context, ms):
    for id_, until in refused_in_backoff(context).items():
        back_at = context.ended_at[id_] + context.ends[id_][4].retry_after_ms
        assert until - 1.0 <= back_at <= until + ms, (id_, until, back_at)


@then("every request refused after all had asked was told to retry after the back-off")
def refused_after(context):
    for id_, end in context.ends.items():
        since, until = common_backoff(context, id_.split("/")[0])
        if end[3] == "not_run" and since <= context.ended_at[id_] < until - MAX_WAIT_MS:
            back_at = context.ended_at[id_] + end[4].retry_after_ms
            assert back_at >= until - 1.0, (id_, end[2], until, back_at)


@then("no two requests of an instance were told to retry at the same time")
def retry_times_differ(context):
    times = [
        (id_.split("/")[0], round(context.ended_at[id_] + context.ends[id_][4].retry_after_ms))
        for id_ in refused_in_backoff(context)
    ]
    assert len(set(times)) == len(times), sorted(times)


@when("the callers refused for that retry when they were told to")
def retry_refused(context):
    refused = {id_: end for id_, end in context.ends.items() if end[2] == SERVERS_RESTING}
    retry_at = {id_: context.ended_at[id_] + end[4].retry_after_ms for id_, end in refused.items()}
    context.ends.clear()

    def retry(id_, at):
        name = id_.split("/")[0]
        context.clock.sleep(at - context.clock.now())
        again = request(f"{id_}-again", PATHS[context.kind], context.clock.now())
        serve(context, name, again)

    context.run(lambda: gevent.joinall([gevent.spawn(retry, *one) for one in retry_at.items()]))
    assert len(context.ends) == len(retry_at) > 10


@then("over {percent:d} of 100 of these retries were served")
def retries_served(context, percent):
    served = sum(end[0] == 200 for end in context.ends.values())
    assert served > percent / 100 * len(context.ends), (served, len(context.ends))


def receive_backoffs(context, servers, backoff_ms, instances):
    """Have instances receive back-offs from servers."""
    start_recording(context)
    context.server = servers[0]
    for instance in instances:
        for server in servers:
            found = instance.directory.find(server)
            instance.notices.dispatch(found, [BackOff(float(backoff_ms))], context.clock.now())


@given("all {service:w} servers have asked each instance for a back-off of {backoff_ms:d} ms")
@given("server {server:S} has asked each instance for a back-off of {backoff_ms:d} ms")
def has_asked(context, backoff_ms, service="", server=""):
    servers = [server] if server else of_service(context, service)
    receive_backoffs(context, servers, backoff_ms, list(context.fleet.instances.values()))


@given("server {server:S} has asked the placement coordinator for a back-off of {backoff_ms:d} ms")
def has_asked_coordinator(context, server, backoff_ms):
    context.asked_instance = find_coordinator(context, prompts_topic(server.partition("-")[0]))
    receive_backoffs(context, [server], backoff_ms, [context.asked_instance])


@then("each was refused with {code:d} as not run, and no piece was run")
def refused_with(context, code):
    assert {(end[2], end[3]) for end in context.ends.values()} == {(code, "not_run")}, context.ends
    assert not context.fleet.upstream.piece_calls


@then("the service's coordinator expects new pieces to wait {minimum:d} to {maximum:d} ms")
def expected_wait(context, minimum, maximum):
    batcher = find_coordinator(context, "enc").dispatch.batcher("enc")
    waits_ms = batcher.compute_backlog(context.clock.now()).waits_ms
    assert minimum <= min(waits_ms) and max(waits_ms) <= maximum, waits_ms


@then("server {server:S} gets requests, but none from the placement coordinator")
def others_use(context, server):
    by = {one.instance for one in context.sent_requests if one.server == server}
    assert by and context.asked_instance.settings.name not in by, by


@when("it asks for a back-off of {backoff_ms:d} ms")
def asks_again(context, backoff_ms):
    for instance in context.fleet.instances.values():
        found = instance.directory.find(context.server)
        instance.notices.dispatch(found, [BackOff(float(backoff_ms))], context.clock.now())
    context.run(context.clock.sleep, 2.0 * backoff_ms)


@when("a call to it that was in flight succeeds")
def call_succeeds(context):
    for instance in context.fleet.instances.values():
        state = instance.router.state(instance.directory.find(context.server))
        state.begin(context.clock.now())
        state.end(context.clock.now())
        state.breaker.succeed()


@when("it has been listed again")
def listed_again(context):
    list_again(context)
    context.run(context.clock.sleep, SETTLE_MS)


@then("server {server:S} gets requests")
def gets_requests(context, server):
    assert [one for one in context.sent_requests if one.server == server]


@then("{server:S} is asked to release its result")
def asked_to_drop(context, server):
    assert f"{server}/2" in context.fleet.upstream.released, context.fleet.upstream.released


@given("server {server:S} refuses every request with a back-off of {backoff_ms:d} ms")
def refuses_each(context, server, backoff_ms):
    start_recording(context)
    context.fleet.upstream.refuse_every[server] = 1
    context.fleet.upstream.backoff_ms[server] = float(backoff_ms)


@then("no server gets requests from an instance during a back-off that it asked that instance for")
def backoffs_kept(context):
    assert context.backoffs
    broken = [
        (asked, one)
        for asked in context.backoffs
        for one in context.sent_requests
        if (one.server, one.instance) == (asked.server, asked.instance)
        and asked.at + BACKOFF_DELAY_MS < one.at < asked.at + asked.for_ms
    ]
    assert not broken, (len(broken), len(context.backoffs), broken[0])
