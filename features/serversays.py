# serversays.py -- Records notices from servers to instances, and requests sent to servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Records notices from servers to instances, and requests sent to servers."""

from collections import namedtuple

from forwardbasics import PROMPT_KINDS, send_steadily

from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.notices.backoff import BackOff
from mountladder.notices.leaving import Leaving

# After this time instances have acted on a notice.
SETTLE_MS = 500.0
Sending = namedtuple("Sending", "at server instance came")
Asked = namedtuple("Asked", "at server instance for_ms")


def follow(context):
    """Record the notices that instances receive, and the requests that each sends to servers."""
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
    """Record the notices that an instance receives."""
    plain, name = instance.notices.dispatch, instance.settings.name

    def hear(server, notices, sent_at):
        now = context.clock.now()
        for one in notices:
            if isinstance(one, Leaving):
                context.told.setdefault((name, server.name), now)
                context.first_told.setdefault(server.name, now)
            elif isinstance(one, BackOff):
                context.asked.append(Asked(now, server.name, name, one.for_ms))
        plain(server, notices, sent_at)

    hear.instance = name
    instance.notices.dispatch = hear
    # An instance that restarts may have lost the notices of its earlier run.
    context.asked[:] = [one for one in context.asked if one.instance != name]
    for key in [key for key in context.told if key[0] == name]:
        del context.told[key]


def follow_upstream(context, upstream):
    """Record which instance sends requests to which server, and when their callers sent them."""
    plain_open, plain_pieces = upstream.open, upstream.run_pieces

    def note(server, heard, requests):
        came = max(context.arrived[one] for one in requests)
        sending = Sending(context.clock.now(), server.name, heard.instance, came)
        context.sendings.append(sending)

    def open_(server, call, limit_ms):
        note(server, call.on_notices, [call.request.id])
        context.opened.append(call)
        return plain_open(server, call, limit_ms)

    def run_pieces(server, pieces, limit_ms, heard):
        note(server, heard, [one.request for one in pieces])
        return plain_pieces(server, pieces, limit_ms, heard)

    upstream.open, upstream.run_pieces = open_, run_pieces


def send(context, rate, kind, ms, label=""):
    """Send requests at a steady rate; those of kinds with prompts have prompts of 12 subjects."""

    def fields(n):
        if kind not in PROMPT_KINDS:
            return {}
        parts = (PromptPart(f"subject-{n % 12}", 800), PromptPart(f"own-{n}", 200))
        return {"prompt": Prompt(1_000, 30, parts)}

    send_steadily(context, rate, kind, ms, label=label, fields=fields)


def of_service(context, service):
    return [name for name in context.servers if name.startswith(f"{service}-")]


def say(context, servers, notices):
    """Have the first instance receive notices from servers."""
    instance = next(iter(context.fleet.instances.values()))
    for server in servers:
        found = instance.directory.find(server)
        instance.notices.dispatch(found, notices, context.clock.now())


def list_again(context):
    service, datacentre = context.servers[context.server]
    context.fleet.add_server(context.server, service, datacentre)
