# store.py -- A stand-in for the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's store: rows of the part "" with versions, a feed of changes, and its era."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from .http1 import Message, encode, read_message

ANSWER_S = 0.004


class Store:
    """Keeps rows. Each instance reaches it over a path of its own, which can be cut.

    Attributes:
        cut: The names of the paths that are cut: nothing is answered there any more.
        away: Returns whether a table is not available to instances.
        feeds: When each path last began a call for the changes of a table, by (path, table).
        era: Rises by one each time a copy is restored.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self.oldest = 0
        self.changed = asyncio.Event()
        self.cut: set[str] = set()
        self.away: Callable[[str], bool] = lambda table: False
        self.silenced: set[asyncio.StreamWriter] = set()
        self.writers: dict[str, set[asyncio.StreamWriter]] = {}
        self.feeds: dict[tuple[str, str], float] = {}
        self.on_feed: Callable[[str, str], None] = lambda path, table: None
        self.era = 1
        self.servers: list[asyncio.Server] = []

    async def listen(self, path: str) -> str:
        """Listen for one path; return its address."""
        self.writers[path] = set()
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(path, reader, writer), "127.0.0.1", 0
        )
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: object | None) -> float:
        """Write or remove a row as the operator or a server; return when it was acknowledged."""
        encoded = None
        if value is not None:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.write({(table, key): encoded})
        return time.monotonic()

    def write(self, values: dict[tuple[str, str], str | None]) -> None:
        """Write rows in one transaction."""
        self.version += 1
        for key, value in values.items():
            self.rows[key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_path(self, path: str) -> None:
        """Cut a path silently: what is open stays open, and nothing comes through it again."""
        self.cut.add(path)
        self.silenced |= self.writers[path]

    def heal_path(self, path: str) -> None:
        """Restore a path; connections that were open while it was cut are gone."""
        self.cut.discard(path)
        for writer in self.writers[path] & self.silenced:
            writer.transport.abort()

    async def serve(
        self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers[path].add(writer)
        if path in self.cut:
            self.silenced.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if writer in self.silenced:
                    continue
                answer = await self.answer(path, request)
                if writer not in self.silenced:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers[path].discard(writer)
            self.silenced.discard(writer)
            writer.close()

    async def answer(self, path: str, request: Message) -> bytes:
        """Return the answer to a call."""
        method, target, _ = request.start
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.endswith("/rows-feed"):
            self.feeds[path, query["table"]] = time.monotonic()
            self.on_feed(path, query["table"])
        await asyncio.sleep(ANSWER_S)
        body = json.loads(request.body) if request.body else {}
        changed = [one["table"] for one in [*body.get("upserts", []), *body.get("remove", [])]]
        if any(map(self.away, [*changed, query.get("table", "")])):
            return encode(503, {"Store-Era": str(self.era)}, b"")
        if url.path.endswith("/rows-feed"):
            return await self.feed(query)
        if url.path.endswith("/rows-get"):
            found = [
                self.row(key, *self.rows[key])
                for key in sorted(self.rows)
                if key[0] == query["table"]
                and self.rows[key][0] is not None
                and query.get("from", "") <= key[1]
            ]
            return self.page(found, more_pages=False)
        if url.path.endswith("/rows-tx"):
            values = {(one["table"], one["key"]): one["value"] for one in body.get("upserts", [])}
            values |= {(one["table"], one["key"]): None for one in body.get("remove", [])}
            self.write(values)
            return self.encoded({"ver": self.version, "now_ms": 0})
        return encode(404, {"Store-Era": str(self.era)}, b"")

    async def feed(self, query: dict[str, str]) -> bytes:
        """Return the changes of a table, once there are any."""
        after, until = int(query["after"]), time.monotonic() + float(query["wait_ms"]) / 1000
        while True:
            if not self.oldest <= after <= self.version:
                return encode(410, {"Store-Era": str(self.era)}, b"")
            found = sorted(
                (version, key)
                for key, (_, version) in self.rows.items()
                if key[0] == query["table"] and version > after
            )
            remaining = until - time.monotonic()
            if found or remaining <= 0:
                return self.page([self.row(key, *self.rows[key]) for _, key in found])
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                pass

    def row(self, key: tuple[str, str], value: str | None, version: int) -> dict[str, object]:
        """Return a row as it is sent."""
        row = {"table": key[0], "part": "", "key": key[1], "ver": version}
        return row | ({"removed": True} if value is None else {"value": value})

    def page(self, rows: list[dict[str, object]], **more: object) -> bytes:
        """Return an answer with rows."""
        return self.encoded({"rows": rows, "ver": self.version, "now_ms": 0, **more})

    def encoded(self, value: object) -> bytes:
        """Return an answer with a JSON body."""
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return encode(200, headers, json.dumps(value).encode())
