# wire.py -- Encoding of messages between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Encoding of messages between instances."""

from __future__ import annotations

from functools import singledispatch
from pathlib import Path

import capnp

from mountladder.code import Code
from mountladder.errors import PeerError
from mountladder.membership.ask import Ask
from mountladder.membership.changes import Changes
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.hello import Hello
from mountladder.membership.instance import Instance
from mountladder.membership.snapshot import Snapshot
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted
from mountladder.store.write import Write

VERSION = 1
ANY_VERSION = -1
MOST_AGE_MS = 2**32 - 1
Message = Hello | Heartbeat | Ask | Changes | Snapshot | Submit | Submitted

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("wire.capnp")))


def encode(message: Message) -> bytes:
    """Return a message as packed bytes."""
    frame = _SCHEMA.Frame.new_message()
    _fill(message, frame)
    return frame.to_bytes_packed()


def decode(data: bytes) -> Message:
    """Read a message.

    Raises:
        PeerError: The bytes are no message.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(data)
        which = str(frame.which())
        return _READERS[which](getattr(frame, which))
    except (capnp.KjException, ValueError, KeyError, UnicodeError) as error:
        raise PeerError(f"a message cannot be read: {error}", Code.BAD_MESSAGE) from error


@singledispatch
def _fill(message: object, frame: object) -> None:
    raise TypeError(f"no message: {message!r}")


@_fill.register
def _(message: Hello, frame) -> None:
    hello = frame.init("hello")
    hello.version = message.version
    hello.name = message.instance.name
    hello.incarnation = message.instance.incarnation
    hello.datacentre = message.instance.datacentre
    hello.web = message.instance.web
    hello.peer = message.instance.peer
    hello.nonce = message.nonce


@_fill.register
def _(message: Heartbeat, frame) -> None:
    heartbeat = frame.init("heartbeat")
    heartbeat.revision = message.revision
    heartbeat.ageMs = min(message.age_ms, MOST_AGE_MS)
    heartbeat.leaving = message.leaving
    heartbeat.leavingServers = list(message.leaving_servers)


@_fill.register
def _(message: Ask, frame) -> None:
    frame.init("ask").revision = message.revision


@_fill.register
def _(message: Changes, frame) -> None:
    frame.init("changes").values = list(message.values)


@_fill.register
def _(message: Snapshot, frame) -> None:
    frame.init("snapshot").value = message.value


@_fill.register
def _(message: Submit, frame) -> None:
    submit = frame.init("submit")
    submit.number = message.number
    submit.key = message.write.key
    submit.value = message.write.value or b""
    submit.delete = message.write.value is None
    submit.expected = ANY_VERSION if message.write.expected is None else message.write.expected
    submit.withinMs = message.within_ms


@_fill.register
def _(message: Submitted, frame) -> None:
    submitted = frame.init("submitted")
    submitted.number = message.number
    submitted.version = message.version
    submitted.code = message.code


def _read_hello(hello) -> Hello:
    instance = Instance(hello.name, hello.incarnation, hello.datacentre, hello.web, hello.peer)
    return Hello(hello.version, instance, bytes(hello.nonce))


def _read_heartbeat(heartbeat) -> Heartbeat:
    names = tuple(str(name) for name in heartbeat.leavingServers)
    return Heartbeat(heartbeat.revision, heartbeat.ageMs, heartbeat.leaving, names)


def _read_submit(submit) -> Submit:
    value = None if submit.delete else bytes(submit.value)
    expected = None if submit.expected == ANY_VERSION else submit.expected
    return Submit(submit.number, Write(submit.key, value, expected), submit.withinMs)


_READERS = {
    "hello": _read_hello,
    "heartbeat": _read_heartbeat,
    "ask": lambda ask: Ask(ask.revision),
    "changes": lambda changes: Changes(tuple(bytes(value) for value in changes.values)),
    "snapshot": lambda snapshot: Snapshot(bytes(snapshot.value)),
    "submit": _read_submit,
    "submitted": lambda reply: Submitted(reply.number, reply.version, reply.code),
}
