# notice_steps.py -- Steps about backend servers that leave, or ask for rest, in their answers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that leave, or ask for rest, in their answers."""

from collections import namedtuple

from behave import given, then, when
from forwardbasics import PROMPT_KINDS, send_steadily

from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.notices.leaving import Leaving
from mountladder.notices.rest import Rest

# The users' bounds: for how long after an answer that says so a leaving server may get requests
# from whom it told, and how soon after a refusal its rest counts.
DRAIN_MS = 2_000.0
REST_AFTER_MS = 500.0
Sending = namedtuple("Sending", "at server instance came")
Asked = namedtuple("Asked", "at server instance for_ms")


def follow(context):
    """Note what instances hear of servers, and which one sends each server what."""
    context.told, context.asked, context.sendings = {}, [], []
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
            elif isinstance(one, Rest):
                context.asked.append(Asked(now, server.name, name, one.for_ms))
        plain(server, notices, sent_at)

    hear.instance = name
    instance.notices.hear = hear
    # Who starts again may not know what it was told before.
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


@when(
    "server {server} says that it leaves, and {rate:d} {kind} requests a second come for {ms:d} ms"
)
def leaves(context, server, rate, kind, ms):
    follow(context)
    context.fleet.upstream.leaving.add(server)
    send(context, rate, kind, ms)


@then("no instance that was told sends it what came over {ms:d} ms later")
def left_alone(context, ms):
    assert context.told
    late = [
        one
        for one in context.sendings
        if one.came > context.told.get((one.instance, one.server), float("inf")) + ms
    ]
    assert not late, (len(late), len(context.sendings), late[0])


@when(
    "server {server} refuses each second request for a rest of {rest_ms:d} ms, and {rate:d} {kind} "
    "requests a second come for {ms:d} ms"
)
def refuses(context, server, rest_ms, rate, kind, ms):
    follow(context)
    context.fleet.upstream.refuses_part[server] = 2
    context.fleet.upstream.rests[server] = float(rest_ms)
    send(context, rate, kind, ms)


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
