# clients.py -- Stand-ins for clients
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Clients that send plain requests over kept connections."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

from .http1 import Message, read_message

_NUMBERS = itertools.count(1)


@dataclass
class Sent:
    """A client attempt: when, where it was sent, and what came of it."""

    id: str
    at: float
    instance: str
    status: int = 0
    answer: Message | None = None
    ended: float = 0.0
    failure: str = ""
    reused: bool = False


class Client:
    """One client of one instance, with one connection that it keeps."""

    def __init__(self, instance: str, address: tuple[str, int], sent: list[Sent]) -> None:
        self.instance, self.address, self.sent = instance, address, sent
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.used = False

    async def request(
        self,
        method: str,
        host: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 2000,
        chunk: int = 0,
        pause_s: float = 0.0,
        headers: str = "",
    ) -> Sent:
        """Send one request and wait for its answer.

        With `chunk` its body comes in chunks of that size, with a pause behind each. Further
        headers are given as whole lines.
        """
        one = Sent(f"{next(_NUMBERS):016x}", time.monotonic(), self.instance)
        self.sent.append(one)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.connection is None:
                    self.connection = await asyncio.open_connection(*self.address)
                reader, writer = self.connection
                framing = "Transfer-Encoding: chunked" if chunk else f"Content-Length: {len(body)}"
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Mountladder-Request-Id: {one.id}\r\n"
                    f"Mountladder-Deadline-Ms: {deadline_ms}\r\n"
                    f"{headers}{framing}\r\n\r\n"
                )
                one.at = time.monotonic()
                one.reused = self.used
                self.used = True
                writer.write(head.encode())
                if chunk:
                    for start in range(0, len(body), chunk):
                        part = body[start : start + chunk]
                        writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                        await writer.drain()
                        await asyncio.sleep(pause_s)
                    writer.write(b"0\r\n\r\n")
                else:
                    writer.write(body)
                await writer.drain()
                answer = await read_message(reader)
                if answer is None:
                    one.failure = "the connection ended"
                    self.close()
                else:
                    one.status, one.answer = int(answer.start[1]), answer
                    if answer.headers.get("connection", "").lower() == "close":
                        self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            one.failure = repr(error)
            self.close()
        one.ended = time.monotonic()
        return one

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].close()
            self.connection, self.used = None, False

    async def repeat(
        self,
        pause_s: float,
        until: float,
        method: str,
        host: str,
        path: str,
        body: bytes = b"",
        make_headers: Callable[[], str] = lambda: "",
        deadline_ms: int = 2000,
    ) -> None:
        """Send one request after the other, with a pause between."""
        while time.monotonic() < until:
            await self.request(method, host, path, body, deadline_ms, headers=make_headers())
            await asyncio.sleep(pause_s)
        self.close()
