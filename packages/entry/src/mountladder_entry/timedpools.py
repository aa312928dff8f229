# timedpools.py -- Pools of HTTP connections with one timeout for each whole answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Pools of HTTP connections with one timeout for each whole answer."""

from __future__ import annotations

from urllib3 import HTTPConnectionPool, PoolManager

from mountladder_entry.timedhttpconnection import TimedHttpConnection


class _TimedPool(HTTPConnectionPool):
    """A pool of connections to one host."""

    ConnectionCls = TimedHttpConnection


class TimedPools(PoolManager):
    """Pools of HTTP connections by host; each request needs a timeout for reading the answer."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.pool_classes_by_scheme = {"http": _TimedPool}
