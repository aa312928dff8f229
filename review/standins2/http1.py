# http1.py -- A little of HTTP/1.1 for stand-ins
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A little of HTTP/1.1 on asyncio streams, for stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    pairs: list[tuple[str, str]] = field(default_factory=list)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line with headers; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = [(n, v.strip()) for n, _, v in (line.partition(":") for line in lines[1:])]
    headers = {name.lower(): value for name, value in pairs}
    return Message(lines[0].split(" ", 2), headers, b"", pairs)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read a body with a length or in chunks; without either there is none."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None at the end of the connection."""
    head = await read_head(reader)
    if head is not None:
        head.body = await read_body(reader, head)
    return head


def encode(status: int, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return an answer; without a body only its head."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")
