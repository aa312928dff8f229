# platform.py -- The platform's services over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's services over HTTP."""

from __future__ import annotations

from contextlib import ExitStack

from mountladder.clocks.clock import Clock
from mountladder.store.platform import Platform
from mountladder_entry.httpclient import HttpClient
from mountladder_entry.httpinstancelist import HttpInstanceList
from mountladder_entry.httpobjectstore import HttpObjectStore
from mountladder_entry.httptable import HttpTable


def http_platform(base: str, clock: Clock, stack: ExitStack) -> Platform:
    """Return the platform's services at a base URL; the stack closes their connections."""
    client = HttpClient(base, clock)
    stack.callback(client.close)
    return Platform(HttpTable(client), HttpObjectStore(client), HttpInstanceList(client))
