# servers.py -- Stand-ins for backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Backend servers that run plain requests, and are listed in the store."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import Callable

from .http1 import Message, encode, read_message
from .store import Store

BEAT_S = 1.2


class Server:
    """A sound server: it checks the instance that is expected, runs requests and answers them.

    Attributes:
        arrivals: Each request that reached it: when it did, its id, and whether it was run.
        calls: Each call with pieces that reached it: when it did, and how many pieces.
        notices: Further headers of its answers.
        refuse: Returns the headers of a refusal for a request, or None to run it.
    """

    def __init__(
        self, id_: str, service: str, zone: str, store: Store, slots: int = 6, work_s: float = 0.01
    ) -> None:
        self.id, self.service, self.zone, self.store = id_, service, zone, store
        self.slots, self.work_s, self.sequence = slots, work_s, 0
        self.born = round(time.time() * 1000)
        self.cold_until = 0.0
        self.phase = "ready"
        self.version = "v1"
        self.arrivals: list[tuple[float, str, bool]] = []
        self.calls: list[tuple[float, int]] = []
        self.call_ms, self.item_ms = 150.0, 5.0
        self.notices: dict[str, str] = {}
        self.refuse: Callable[[Message], dict[str, str] | None] = lambda request: None
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and be listed."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Write the entry in the store again and again."""
        while True:
            self.enter(self.phase)
            await asyncio.sleep(BEAT_S)

    def enter(self, phase: str) -> float:
        """Write the entry in the store; return when that was acknowledged."""
        self.sequence += 1
        return self.store.put("servers", self.id, self.entry(phase))

    def entry(self, phase: str) -> dict[str, object]:
        """Return the entry."""
        cold_ms = max(0, round(1000 * (self.cold_until - time.monotonic())))
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "concurrency": self.slots,
            "phase": phase,
            "cold_remaining_ms": cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def leave_list(self) -> float:
        """Remove the entry without reporting before; return when that was acknowledged."""
        self.beats.cancel()
        return self.store.put("servers", self.id, None)

    def stop(self) -> None:
        """End: nothing listens any more, and the connections end."""
        if self.beats is not None:
            self.beats.cancel()
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_stage_call(self, request: Message) -> bytes:
        """Return the answer to a call with pieces, or to one that gives up results."""
        headers = self.notices | {"Content-Type": "application/json"}
        table = json.loads(request.body)
        if request.start[1] == "/mountladder/stage-free":
            return encode(200, headers, b"{}")
        self.calls.append((time.monotonic(), len(table["items"])))
        await asyncio.sleep((self.call_ms + self.item_ms * len(table["items"])) / 1000)
        made = [{"handle": f"{self.address}/{secrets.token_hex(6)}"} for _ in table["items"]]
        return encode(200, headers, json.dumps({"items": made}).encode())

    async def answer(self, request: Message) -> bytes:
        """Return the answer to a request."""
        now, id_ = time.monotonic(), request.headers.get("mountladder-request-id", "")
        head = {"Mountladder-Request-Id": id_} if id_ else {}
        expected = request.headers.get("mountladder-expect-instance", self.id)
        if expected != self.id:
            return encode(421, head | {"Mountladder-Instance-Id": self.id}, b"")
        if request.start[1].startswith("/mountladder/stage-"):
            return await self.answer_stage_call(request)
        if request.start[1] == "/mountladder/report":
            body = b'{"born":%d,"sequence":%d}' % (self.born, self.sequence)
            return encode(200, self.notices | {"Content-Type": "application/json"}, body)
        refusal = self.refuse(request)
        self.arrivals.append((now, id_, refusal is None))
        if refusal is not None:
            head |= {"Mountladder-Not-Executed": "1"}
            return encode(503, head | self.notices | refusal, b"")
        await asyncio.sleep(self.work_s)
        head |= {"Mountladder-Server-Stamp": f"stamp-{self.id}", "Keep-Alive": "timeout=5"}
        return encode(200, head | self.notices, f"{id_} at {self.id}".encode())


class ModelServer(Server):
    """A model server: it answers a request with a prompt by a stream of a few events."""

    events, first_s, gap_s = 4, 0.05, 0.02

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if request.headers.get("mountladder-token-count") is None:
                    writer.write(await self.answer(request))
                    await writer.drain()
                else:
                    await self.stream(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request with a prompt."""
        id_ = request.headers["mountladder-request-id"]
        head = {"Mountladder-Request-Id": id_}
        if request.headers.get("mountladder-expect-instance", self.id) != self.id:
            writer.write(encode(421, head, b""))
            return
        self.arrivals.append((time.monotonic(), id_, True))
        await asyncio.sleep(self.first_s)
        head |= {
            "Mountladder-Server-Stamp": f"stamp-{self.id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode(200, head | self.notices, None))
        last = int(request.headers.get("last-event-id") or 0)
        for number in range(last + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
