# notice_steps.py -- Steps about backend servers that leave, or ask for rest, in their answers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that leave, or ask for rest, in their answers."""

from collections import namedtuple

import gevent
from behave import given, then, when
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import PATHS, PROMPT_KINDS, meeting, request, send_steadily, serve

from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.serverrecord import listed_server
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rest import Rest

# How soon after a refusal the rest that it asks for counts (the users' bound).
REST_AFTER_MS = 500.0
SECOND_MS = 1_000.0
SETTLE_MS = 500.0
RESTING = 2013
# Half of the aim of the routes in use here, for which a request may wait.
WAITS_MS = 300.0
# Within this time of its return some instance follows the store again.
STORE_BACK_MS = 3_000.0
# For longer than a notice of a server that has gone is remembered.
FORGOTTEN_MS = 660_000.0
Sending = namedtuple("Sending", "at server instance came")
Asked = namedtuple("Asked", "at server instance for_ms")


def follow(context):
    """Note what instances hear of servers, and which one sends each server what."""
    context.told, context.first_told = {}, {}
    context.asked, context.sendings, context.opened = [], [], []
    for instance in context.fleet.instances.values():
        follow_instance(context, instance)
    plain_start = context.fleet.start

    def start(name):
        instance = plain_start(name)
        follow_instance(context, instance)
        return instance

    context.fleet.start = start
    follow_upstream(context, context.fleet.upstream)


def follow_instance(context, instance):
    """Note what an instance hears of servers."""
    plain, name = instance.notices.hear, instance.settings.name

    def hear(server, notices, sent_at):
        now = context.clock.now()
        for one in notices:
            if isinstance(one, Leaving):
                context.told.setdefault((name, server.name), now)
                context.first_told.setdefault(server.name, now)
            elif isinstance(one, Rest):
                context.asked.append(Asked(now, server.name, name, one.for_ms))
        plain(server, notices, sent_at)

    hear.instance = name
    instance.notices.hear = hear
    # Who starts again may not know what it was told before.
    context.asked[:] = [one for one in context.asked if one.instance != name]
    for key in [key for key in context.told if key[0] == name]:
        del context.told[key]


def follow_upstream(context, upstream):
    """Note which instance sends each server what, and when that came from its caller."""
    plain_open, plain_pieces = upstream.open, upstream.run_pieces

    def note(server, heard, requests):
        came = max(context.arrived[one] for one in requests)
        sending = Sending(context.clock.now(), server.name, heard.instance, came)
        context.sendings.append(sending)

    def open_(server, call, limit_ms):
        note(server, call.heard, [call.request.id])
        context.opened.append(call)
        return plain_open(server, call, limit_ms)

    def run_pieces(server, pieces, limit_ms, heard):
        note(server, heard, [one.request for one in pieces])
        return plain_pieces(server, pieces, limit_ms, heard)

    upstream.open, upstream.run_pieces = open_, run_pieces


def send(context, rate, kind, ms, label=""):
    """Send requests at a steady rate, with prompts of twelve subjects where they have any."""

    def fields(n):
        if kind not in PROMPT_KINDS:
            return {}
        parts = (PromptPart(f"subject-{n % 12}", 800), PromptPart(f"own-{n}", 200))
        return {"prompt": Prompt(1_000, 30, parts)}

    send_steadily(context, rate, kind, ms, label=label, fields=fields)


@given("the store is silent")
def store_silent(context):
    context.fleet.catalogue.silent = context.fleet.servers.silent = True


@given("the store answers")
def store_answers(context):
    context.fleet.catalogue.silent = context.fleet.servers.silent = False
    context.run(context.clock.sleep, STORE_BACK_MS)


@when(
    "server {server:S} says that it leaves, and {rate:d} {kind:w} requests a second come for "
    "{ms:d} ms"
)
def leaves(context, server, rate, kind, ms):
    follow(context)
    context.fleet.upstream.leaving.add(server)
    send(context, rate, kind, ms)


@when(
    "server {server:S} says that it leaves, and {rate:d} {kind:w} requests a second come for "
    "{ms:d} ms while {what}"
)
def leaves_while(context, server, rate, kind, ms, what):
    service = server.partition("-")[0]
    context.topic = service if service == "enc" else prompts_topic(service)
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(EVENTS[what], context))
    leaves(context, server, rate, kind, ms)


@when(
    "all {service:w} servers say that they leave, and {rate:d} {kind:w} requests a second "
    "come for {ms:d} ms"
)
def all_leave(context, service, rate, kind, ms):
    follow(context)
    context.fleet.upstream.leaving.update(of_service(context, service))
    send(context, rate, kind, ms)


def of_service(context, service):
    return [name for name in context.servers if name.startswith(f"{service}-")]


def say(context, servers, notices):
    """Have the first instance hear notices of servers."""
    instance = next(iter(context.fleet.instances.values()))
    for server in servers:
        found = instance.directory.find(server)
        instance.notices.hear(found, notices, context.clock.now())


@given("server {server:S} has said that it leaves")
@given("all {service:w} servers have said that they leave")
def has_said(context, server="", service=""):
    follow(context)
    context.server = server
    say(context, [server] if server else of_service(context, service), [Leaving()])
    context.run(context.clock.sleep, 100.0)


@then("no instance that was told sends it what came over {ms:d} ms later")
def left_alone(context, ms):
    assert context.told
    late = [
        one
        for one in context.sendings
        if one.came > context.told.get((one.instance, one.server), float("inf")) + ms
    ]
    assert not late, (len(late), len(context.sendings), late[0])


@then("no instance sends it what came over {ms:d} ms after any was told")
def left_by_all(context, ms):
    ((server, first),) = context.first_told.items()
    late = [one for one in context.sendings if one.server == server and one.came > first + ms]
    assert not late, (len(late), len(context.sendings), late[0])


@then("it knows within {ms:d} ms that {server} leaves")
def knows(context, ms, server):
    context.run(context.clock.sleep, float(ms))
    assert context.new.notices.book.leaving_since(server) is not None


@when("{ms:d} s go by")
def seconds_go_by(context, ms):
    context.run(context.clock.sleep, ms * SECOND_MS)


def list_again(context):
    service, datacentre = context.servers[context.server]
    context.fleet.add_server(context.server, service, datacentre)


@when("the store answers, and calls it ready")
def calls_ready(context):
    store_answers(context)
    list_again(context)
    context.run(context.clock.sleep, SETTLE_MS)


@when("the store comes back older, and calls it ready")
def older_calls_ready(context):
    context.fleet.keep_copy()
    list_again(context)
    context.fleet.come_back_older()
    calls_ready(context)


@when("its entry lapses, and is back")
def lapses(context):
    store_answers(context)
    context.fleet.servers.put(context.server, None)
    context.run(context.clock.sleep, 5 * SETTLE_MS)
    list_again(context)
    context.run(context.clock.sleep, SETTLE_MS)


@when("a later answer does not say so")
def later_answer(context):
    say(context, [context.server], [RateLimit(UNLIMITED)])
    context.run(context.clock.sleep, SETTLE_MS)


@when("{rate:d} {kind:w} requests a second come for {ms:d} ms")
def come(context, rate, kind, ms):
    context.sendings.clear()
    send(context, rate, kind, ms)


@then("server {server:S} gets nothing")
def gets_nothing(context, server):
    got = [one for one in context.sendings if one.server == server]
    assert context.sendings and not got, (len(got), len(context.sendings))


@when("server {server:S} starts again, and {rate:d} {kind:w} requests a second come for {ms:d} ms")
def starts_again(context, server, rate, kind, ms):
    service, datacentre = context.servers[server]
    context.fleet.add_server(server, service, datacentre, born=7)
    context.run(context.clock.sleep, SETTLE_MS)
    come(context, rate, kind, ms)


@then("server {server:S} gets over {least:d} requests")
def gets_over(context, server, least):
    got = [one for one in context.sendings if one.server == f"{server}@7"]
    assert len(got) > least, len(got)


@when("a {which:w} server says that it leaves, and 11 minutes later another one")
def leave_apart(context, which):
    context.book.listed = lambda: frozenset({"i-1"} if which == "listed" else ())
    for name in ("i-1", "i-2"):
        server = listed_server(name, "desk", "10.0.0.1:80", "a", 8, False)
        context.book.hear(server, Leaving(), context.clock.now())
        context.clock.time += FORGOTTEN_MS


@then("{number:d} of them are known to leave")
def number_known(context, number):
    assert len(context.book.leaving) == number, context.book.leaving


@then("all that came in the first {ms:d} ms were answered")
def answered_first(context, ms):
    until = min(context.first_told.values()) + ms
    ends = [context.ends[id_][0] for id_, came in context.arrived.items() if came <= until]
    assert ends and set(ends) == {200}, ends


@then("all that came after {after:d} ms were refused within {ms:d} ms, and told when to come back")
def refused_later(context, after, ms):
    late = [
        id_
        for id_, came in context.arrived.items()
        if came > min(context.first_told.values()) + after
    ]
    ends = [context.ends[id_] for id_ in late]
    assert late and {(end[2], end[3]) for end in ends} == {(2008, "not_run")}, ends
    assert all(end[4].retry_after_ms > 0 for end in ends)
    assert max(context.ended_at[id_] - context.arrived[id_] for id_ in late) <= ms


@then("no instance that was told sends them what came over {ms:d} ms later")
def all_left_alone(context, ms):
    left_alone(context, ms)


@when("server {server:S} is listed, and {rate:d} {kind:w} requests a second come for {ms:d} ms")
def listed(context, server, rate, kind, ms):
    context.fleet.add_server(server, server.partition("-")[0], "a")
    context.run(context.clock.sleep, SETTLE_MS)
    context.ends.clear()
    send(context, rate, kind, ms, label="then-")


@then("all that came then were answered")
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


@then("each was refused as not run, and no piece was made")
def refused_before_stages(context):
    assert {(end[2], end[3]) for end in context.ends.values()} == {(2008, "not_run")}
    assert not context.fleet.upstream.calls


@when("results at {first:S} and {second:S} are given up")
def given_up(context, first, second):
    batcher = meeting(context, "enc").dispatch.batcher("enc")

    def release():
        for server, handle in ((first, f"{first}/1"), (second, f"{second}/2")):
            batcher.room.keep(handle, server, 1.0, context.clock.now() + 4 * SECOND_MS)
        batcher.release([f"{first}/1", f"{second}/2"])
        context.clock.sleep(SECOND_MS)

    context.run(release)


@then("only {server:S} is asked to drop any")
def only_asked(context, server):
    assert context.fleet.upstream.freed == [f"{server}/1"], context.fleet.upstream.freed


@then("no prompt is fetched from {server:S}")
def none_fetched(context, server):
    placed = [call.source for call in context.opened]
    assert placed and server not in placed, placed.count(server)


@when("one is told that a server leaves, and {ms:d} ms later another one")
def told_two(context, ms):
    server = listed_server("i-1", "desk", "10.0.0.1:80", "a", 8, False)

    def play():
        for book, wait_ms in ((context.books[0], float(ms)), (context.books[1], 0.0)):
            book.hear(server, Leaving(), context.clock.now() - 5.0)
            context.clock.sleep(wait_ms)

    context.run(play)


@then("after {ms:d} ms all of them know that it leaves, and no message is under way")
def all_know(context, ms):
    context.run(context.clock.sleep, float(ms))
    assert context.under_way == 0, context.messages
    assert context.messages <= 2 * len(context.books), context.messages
    assert all(book.leaving_since("i-1") is not None for book in context.books)


@when(
    "{number:d} listed servers say that they leave, one each {ms:d} ms, and {others:d} that are "
    "not listed"
)
def many_leave(context, number, ms, others):
    context.listed = {f"i-{n}" for n in range(number)}
    context.book.listed = lambda: frozenset(context.listed)
    for n in range(number + others):
        context.clock.time += ms
        server = listed_server(f"i-{n}", "desk", "10.0.0.1:80", "a", 8, False)
        context.book.hear(server, Leaving(), context.clock.now())


@then("it remembers those that are listed, and {most:d} in all at least")
def remembers_listed(context, most):
    assert context.listed <= set(context.book.leaving)
    assert most <= len(context.book.leaving) <= len(context.listed) + most


@when(
    "server {server} refuses each second request for a rest of {rest_ms:d} ms, and {rate:d} {kind} "
    "requests a second come for {ms:d} ms"
)
def refuses(context, server, rest_ms, rate, kind, ms):
    follow(context)
    context.fleet.upstream.refuses_part[server] = 2
    context.fleet.upstream.rests[server] = float(rest_ms)
    send(context, rate, kind, ms)


@when(
    "server {server:S} refuses each second request for a rest of {rest_ms:d} ms, and {rate:d} "
    "{kind:w} requests a second come for {ms:d} ms while {what}"
)
def refuses_while(context, server, rest_ms, rate, kind, ms, what):
    service = server.partition("-")[0]
    context.topic = service if service == "enc" else prompts_topic(service)
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(EVENTS[what], context))
    refuses(context, server, rest_ms, rate, kind, ms)


@when(
    "all {service:w} servers refuse all requests for a rest of {rest_ms:d} ms, and {rate:d} "
    "{kind:w} requests a second come for {ms:d} ms"
)
def all_refuse(context, service, rest_ms, rate, kind, ms):
    follow(context)
    for server in of_service(context, service):
        context.fleet.upstream.refuses_part[server] = 1
        context.fleet.upstream.rests[server] = float(rest_ms)
    context.kind, context.all = kind, of_service(context, service)
    send(context, rate, kind, ms)


@when("they refuse none any more")
def refuse_none(context):
    context.fleet.upstream.refuses_part.clear()


def all_rest_at(context, instance):
    """Return from when to when all servers want rest from an instance."""
    asked = [one for one in context.asked if one.instance == instance]
    first = {server: [one for one in asked if one.server == server][:1] for server in context.all}
    if not all(first.values()):
        return float("inf"), float("inf")
    spans = [(one.at, one.at + one.for_ms) for (one,) in first.values()]
    return max(at for at, _ in spans), min(until for _, until in spans)


def refused_in_rest(context):
    """Return the ids of those refused while all servers wanted rest, with when that ended.

    Who comes shortly before its end waits for it.
    """
    found = {}
    for id_, end in context.ends.items():
        since, until = all_rest_at(context, id_.split("/")[0])
        if end[3] == "not_run" and since < context.arrived[id_] < until - WAITS_MS:
            found[id_] = until
    return found


@then("whoever was refused by an instance that all had asked for rest was refused within {ms:d} ms")
def refused_at_once(context, ms):
    refused = refused_in_rest(context)
    assert len(refused) >= 10, (len(refused), len(context.ends))
    codes = {id_: context.ends[id_][2] for id_ in refused}
    assert set(codes.values()) == {RESTING}, codes
    took = {id_: context.ended_at[id_] - context.arrived[id_] for id_ in refused}
    assert max(took.values()) <= ms, took


@then("each was told to come back after the rest, and not over {ms:d} ms later")
def told_true(context, ms):
    for id_, until in refused_in_rest(context).items():
        back_at = context.ended_at[id_] + context.ends[id_][4].retry_after_ms
        assert until - 1.0 <= back_at <= until + ms, (id_, until, back_at)


@then("whoever was refused after all had asked was told to come back after the rest")
def refused_after(context):
    for id_, end in context.ends.items():
        since, until = all_rest_at(context, id_.split("/")[0])
        if end[3] == "not_run" and since <= context.ended_at[id_] < until - WAITS_MS:
            back_at = context.ended_at[id_] + end[4].retry_after_ms
            assert back_at >= until - 1.0, (id_, end[2], until, back_at)


@then("no two of an instance were told to come back at the same time")
def told_apart(context):
    times = [
        (id_.split("/")[0], round(context.ended_at[id_] + context.ends[id_][4].retry_after_ms))
        for id_ in refused_in_rest(context)
    ]
    assert len(set(times)) == len(times), sorted(times)


@when("whoever was refused for that comes back when it was told")
def come_back(context):
    refused = {id_: end for id_, end in context.ends.items() if end[2] == RESTING}
    backs = {id_: context.ended_at[id_] + end[4].retry_after_ms for id_, end in refused.items()}
    context.ends.clear()

    def back(id_, at):
        name = id_.split("/")[0]
        context.clock.sleep(at - context.clock.now())
        again = request(f"{id_}-again", PATHS[context.kind], context.clock.now())
        serve(context, name, again)

    context.run(lambda: gevent.joinall([gevent.spawn(back, *one) for one in backs.items()]))
    assert len(context.ends) == len(backs) > 10


@then("over {part:d} of 100 of those who came back were served")
def back_answered(context, part):
    served = sum(end[0] == 200 for end in context.ends.values())
    assert served > part / 100 * len(context.ends), (served, len(context.ends))


def ask_for_rest(context, servers, rest_ms, instances):
    """Have instances hear that servers want rest."""
    follow(context)
    context.server = servers[0]
    for instance in instances:
        for server in servers:
            found = instance.directory.find(server)
            instance.notices.hear(found, [Rest(float(rest_ms))], context.clock.now())


@given("all {service:w} servers have asked each instance for a rest of {rest_ms:d} ms")
@given("server {server:S} has asked each instance for a rest of {rest_ms:d} ms")
def has_asked(context, rest_ms, service="", server=""):
    servers = [server] if server else of_service(context, service)
    ask_for_rest(context, servers, rest_ms, list(context.fleet.instances.values()))


@given("server {server:S} has asked the instance where its work meets for a rest of {rest_ms:d} ms")
def has_asked_meeting(context, server, rest_ms):
    context.asked_one = meeting(context, prompts_topic(server.partition("-")[0]))
    ask_for_rest(context, [server], rest_ms, [context.asked_one])


@then("each was refused with {code:d} as not run, and no piece was made")
def refused_with(context, code):
    assert {(end[2], end[3]) for end in context.ends.values()} == {(code, "not_run")}, context.ends
    assert not context.fleet.upstream.calls


@then("where its pieces meet new ones are expected to wait {least:d} to {most:d} ms")
def expected_wait(context, least, most):
    batcher = meeting(context, "enc").dispatch.batcher("enc")
    waits_ms = batcher.newest_backlog(context.clock.now()).waits_ms
    assert least <= min(waits_ms) and max(waits_ms) <= most, waits_ms


@then("server {server:S} gets requests, but none from that one")
def others_use(context, server):
    by = {one.instance for one in context.sendings if one.server == server}
    assert by and context.asked_one.settings.name not in by, by


@when("it asks for one of {rest_ms:d} ms")
def asks_shorter(context, rest_ms):
    for instance in context.fleet.instances.values():
        found = instance.directory.find(context.server)
        instance.notices.hear(found, [Rest(float(rest_ms))], context.clock.now())
    context.run(context.clock.sleep, 2.0 * rest_ms)


@when("a call to it that was under way ends well")
def ends_well(context):
    for instance in context.fleet.instances.values():
        state = instance.router.state(instance.directory.find(context.server))
        state.begin(context.clock.now())
        state.end(context.clock.now())
        state.breaker.succeed()


@when("it has been listed anew")
def listed_anew(context):
    list_again(context)
    context.run(context.clock.sleep, SETTLE_MS)


@then("server {server:S} gets some")
def gets_some(context, server):
    assert [one for one in context.sendings if one.server == server]


@then("{server:S} is asked to drop its result")
def asked_to_drop(context, server):
    assert f"{server}/2" in context.fleet.upstream.freed, context.fleet.upstream.freed


@given("server {server:S} refuses each request for a rest of {rest_ms:d} ms")
def refuses_each(context, server, rest_ms):
    follow(context)
    context.fleet.upstream.refuses_part[server] = 1
    context.fleet.upstream.rests[server] = float(rest_ms)


@then("no server gets requests from an instance within a rest it asked that one for")
def rests_kept(context):
    assert context.asked
    broken = [
        (asked, one)
        for asked in context.asked
        for one in context.sendings
        if (one.server, one.instance) == (asked.server, asked.instance)
        and asked.at + REST_AFTER_MS < one.at < asked.at + asked.for_ms
    ]
    assert not broken, (len(broken), len(context.asked), broken[0])
