# headernumber_steps.py -- Steps about numbers in headers of servers and the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about numbers in headers of servers and the store."""

import re
from types import SimpleNamespace

from behave import given, then, when
from logrecorder import record_lines
from mountladder_platform.store import StoreTable
from platform_steps import backend, reported_notices
from rawanswers import ANSWERS, HEAD, answer

from mountladder.errors import BadRowError
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit

KINDS = {"Server-Limit": RateLimit, "Server-Brittle": RejectionLimit}


def spelled_out(text):
    """Return a header's text, in which "7 times 1000" stands for so many digits."""
    return re.sub(r"(\d) times (\d+)", lambda found: found[1] * int(found[2]), text)


@given('a backend server that answers with header {header} "{text}"')
def backend_with_header(context, header, text):
    line = f"{header}: {spelled_out(text)}\r\n".encode("latin-1")
    ANSWERS["with a header"] = (answer(200, b"hello", HEAD + line), False)
    backend(context, "with a header")
    record_lines(context)


def value_of(context, header):
    """Return what was read from a header, or None."""
    if header in KINDS:
        limits = [notice.per_s for notice in reported_notices(context, KINDS[header])]
        return limits[0] if limits else None
    return context.load if header == "Mountladder-Server-Load" else None


def unreadable(context):
    return [
        line["header"]
        for line in context.lines
        if line["message_type"] == "server-header-unreadable"
    ]


@then("nothing is taken from {header}, which is logged")
def header_ignored(context, header):
    assert value_of(context, header) is None
    assert unreadable(context) == [header], unreadable(context)


@then("{read} is taken from {header}, and nothing is logged")
def header_read(context, read, header):
    assert value_of(context, header) == float(read) != UNLIMITED
    assert not unreadable(context)


@given('a store over HTTP whose era is given as "{text}"')
def store_with_era(context, text):
    found = SimpleNamespace(
        status=200, headers={"Store-Era": spelled_out(text)}, data=b'{"rows": [], "ver": 1}'
    )
    context.store_table = StoreTable(SimpleNamespace(read=lambda *_: found), "servers")


@when("its rows are read")
def read_rows(context):
    context.error = None
    try:
        context.store_table.read()
    except BadRowError as error:
        context.error = error


@then("they are refused as malformed")
def refused_as_malformed(context):
    assert context.error is not None
