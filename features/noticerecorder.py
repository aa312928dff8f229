# noticerecorder.py -- Records notices from servers to instances, and requests sent to servers
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
SentRequest = namedtuple("SentRequest", "at server instance arrived_at")
RequestedBackOff = namedtuple("RequestedBackOff", "at server instance for_ms")


def start_recording(context):
    """Record the notices that instances receive, and the requests that each sends to servers."""
    context.notified_at, context.first_notified_at = {}, {}
    context.backoffs, context.sent_requests, context.opened_calls = [], [], []
    for instance in context.fleet.instances.values():
        record_instance(context, instance)
    plain_start = context.fleet.start

    def start(name):
        instance = plain_start(name)
        record_instance(context, instance)
        return instance

    context.fleet.start = start
    record_upstream(context, context.fleet.upstream)


def record_instance(context, instance):
    """Record the notices that an instance receives."""
    plain, name = instance.notices.dispatch, instance.settings.name

    def record(server, notices, sent_at):
        now = context.clock.now()
        for one in notices:
            if isinstance(one, Leaving):
                context.notified_at.setdefault((name, server.name), now)
                context.first_notified_at.setdefault(server.name, now)
            elif isinstance(one, BackOff):
                context.backoffs.append(RequestedBackOff(now, server.name, name, one.for_ms))
        plain(server, notices, sent_at)

    record.instance = name
    instance.notices.dispatch = record
    # An instance that restarts may have lost the notices of its earlier run.
    context.backoffs[:] = [one for one in context.backoffs if one.instance != name]
    for key in [key for key in context.notified_at if key[0] == name]:
        del context.notified_at[key]


def record_upstream(context, upstream):
    """Record which instance sends requests to which server, and when their callers sent them."""
    plain_open, plain_pieces = upstream.open, upstream.run_pieces

    def add(server, on_notices, requests):
        arrived_at = max(context.arrived[one] for one in requests)
        sent = SentRequest(context.clock.now(), server.name, on_notices.instance, arrived_at)
        context.sent_requests.append(sent)

    def open_(server, call, limit_ms):
        add(server, call.on_notices, [call.request.id])
        context.opened_calls.append(call)
        return plain_open(server, call, limit_ms)

    def run_pieces(server, pieces, limit_ms, on_notices):
        add(server, on_notices, [one.request for one in pieces])
        return plain_pieces(server, pieces, limit_ms, on_notices)

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


def send_notices(context, servers, notices):
    """Have the first instance receive notices from servers."""
    instance = next(iter(context.fleet.instances.values()))
    for server in servers:
        found = instance.directory.find(server)
        instance.notices.dispatch(found, notices, context.clock.now())


def list_again(context):
    service, datacentre = context.servers[context.server]
    context.fleet.add_server(context.server, service, datacentre)
