# pagedtable_steps.py -- Steps about tables of the store that are read in several pages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about tables of the store that are read in several pages."""

import base64
import json
from types import SimpleNamespace

from behave import given, then, when
from mountladder_platform.store import ROWS_GET, StoreTable

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.forwarding.sourcefollower import SourceFollower
from mountladder.metrics.memorymetrics import MemoryMetrics

PAGE_ROWS = 2


class PagedStoreClient:
    """Fake HTTP client of a store with one table, whose pages hold two rows."""

    def __init__(self, rows):
        self.version = rows
        self.rows = {f"k{n}": (b"ready", n) for n in range(1, rows + 1)}
        self.pages_read = 0
        self.change = None

    def read(self, path, fields, answer_ms=None):
        if path == ROWS_GET:
            return self.page(fields)
        after = int(fields["after"])
        return self.answer([one for one in sorted(self.rows) if self.rows[one][1] > after])

    def page(self, fields):
        keys = [one for one in sorted(self.rows) if one >= fields.get("from", "")]
        answer = self.answer(keys[:PAGE_ROWS], more_pages=len(keys) > PAGE_ROWS)
        self.pages_read += 1
        if self.change and self.change[0] == self.pages_read:
            self.version += 1
            self.rows[self.change[1]] = (b"draining", self.version)
        return answer

    def answer(self, keys, **fields):
        rows = [
            {"key": one, "value": base64.b64encode(value).decode(), "ver": version}
            for one in keys
            for value, version in [self.rows[one]]
        ]
        data = json.dumps({"rows": rows, "ver": self.version, **fields}).encode()
        return SimpleNamespace(status=200, headers={}, data=data)


@given("a store whose table takes {pages:d} pages")
def paged_store(context, pages):
    context.store_client = PagedStoreClient(pages * PAGE_ROWS)


@when("the entry of server {server} becomes draining after page {page:d} is read")
def change_while_read(context, server, page):
    context.store_client.change = (page, f"k{server}")


@then("a follower of the table knows it as draining after one more call")
def follower_knows(context):
    known = {}

    def apply(page, whole):
        for row in page.rows:
            if row.key not in known or row.position > known[row.key].position:
                known[row.key] = row

    table = StoreTable(context.store_client, "servers")
    follower = SourceFollower("servers", table, VirtualClock(), MemoryMetrics(), apply)
    follower.step()
    assert context.store_client.pages_read == 3, context.store_client.pages_read
    follower.step()
    draining = [row.key for row in known.values() if row.value == b"draining"]
    assert draining == [context.store_client.change[1]], known
