# retrybasics.py -- Helpers for scenarios about refused and retried requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Helpers for scenarios about refused and retried requests."""

from forwardbasics import PATHS, catalogue, request, serve

from mountladder.admission.attemptkind import AttemptKind
from mountladder.forwarding.stagejob import StageJob

SETTLE_MS = 1_200.0
ALLOWED_MS = 10_000.0
KINDS = {
    "first attempt": AttemptKind.FIRST,
    "return": AttemptKind.RETURN,
    "retry sooner than it was told to": AttemptKind.EARLY_RETURN,
}


def job(pieces, urgency, now=0.0):
    due = now + 1e5
    return StageJob("x", 0, "enc", pieces, "key", (), due, due, urgency, 1.0, "")


def lines_of(context, kind):
    return [one for one in context.lines if one["message_type"] == kind]


def start(context, names, servers):
    context.fleet.configure(catalogue(1))
    for name in names:
        context.fleet.start(name)
    for name, service in servers.items():
        context.fleet.add_server(name, service, name.rpartition("-")[2][0])
    context.run(context.clock.sleep, SETTLE_MS)


def send(context, instance, name, allowed_ms=ALLOWED_MS):
    sent = request(name, PATHS["staged"], context.clock.now(), allowed_ms=allowed_ms)
    serve(context, instance.settings.name, sent)
    return context.ends[name]
