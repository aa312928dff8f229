# wire.py -- Encoding of messages between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Encoding of messages between instances."""

from __future__ import annotations

import zlib
from functools import singledispatch
from pathlib import Path

import capnp

from mountladder.code import Code
from mountladder.errors import PeerError
from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.cataloguecopy import CatalogueCopy
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.serverrecord import ServerRecord, listed_server
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stageoutcome import StageOutcome
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.stagewithdrawal import StageWithdrawal
from mountladder.forwarding.want import Want
from mountladder.membership.ask import Ask
from mountladder.membership.changes import Changes
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.hello import Hello
from mountladder.membership.instance import Instance
from mountladder.membership.snapshot import Snapshot
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted
from mountladder.store.write import Write

VERSION = 2
ANY_VERSION = -1
MOST_AGE_MS = 2**32 - 1
MOST_URGENCY = 255
# A row of the store holds 64 KB at most (the users' sheet).
MOST_CATALOGUE_BYTES = 1 << 20
_FAILURES = (None, *PieceFailure)
Configuring = Hello | Heartbeat | Ask | Changes | Snapshot | Submit | Submitted
Forwarding = Beacon | Want | CatalogueCopy | DirectoryCopy | MemberList
Stages = StageOrder | StageOutcome | StageWithdrawal | StageRelease | StageNotice
Placing = PlacementOrder | PlacementReply | PlacementNote
Message = Configuring | Forwarding | Stages | Placing

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
    except (capnp.KjException, zlib.error, ValueError, KeyError, IndexError, UnicodeError) as error:
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


@_fill.register
def _(message: Beacon, frame) -> None:
    beacon = frame.init("beacon")
    beacon.catalogue = message.catalogue
    beacon.directory = message.directory
    beacon.leaving = message.leaving
    beacon.asks = message.asks
    _fill_backlogs(message.backlogs, beacon.init("backlogs", len(message.backlogs)))


@_fill.register
def _(message: Want, frame) -> None:
    want = frame.init("want")
    want.catalogue = message.catalogue
    want.directory = message.directory


@_fill.register
def _(message: CatalogueCopy, frame) -> None:
    frame.catalogueCopy = zlib.compress(message.encoded)


@_fill.register
def _(message: DirectoryCopy, frame) -> None:
    copy = frame.init("directoryCopy")
    copy.version, copy.lapseMs = message.version, message.lapse_ms
    records = copy.init("records", len(message.records))
    for record, to in zip(message.records, records, strict=True):
        to.id, to.version, to.service = record.id, record.version, record.service
        to.removed = record.server is None
        if record.server is not None:
            to.address, to.datacentre = record.server.address, record.server.datacentre
            to.slots, to.draining = record.server.slots, record.server.draining


@_fill.register
def _(message: MemberList, frame) -> None:
    members = frame.init("memberList", len(message.instances))
    for instance, to in zip(message.instances, members, strict=True):
        to.name, to.datacentre, to.peer = instance.name, instance.datacentre, instance.peer


@_fill.register
def _(message: StageOrder, frame) -> None:
    order, job = frame.init("stageOrder"), message.job
    order.number = message.number
    order.request, order.stage, order.service = job.request, job.stage, job.service
    order.pieces, order.key, order.inputs = job.pieces, job.key, list(job.inputs)
    order.remainingMs, order.dueMs = job.deadline, job.due
    order.urgency, order.datacentre = min(job.urgency, MOST_URGENCY), job.datacentre
    order.resultBytes = job.result_bytes


@_fill.register
def _(message: StageOutcome, frame) -> None:
    outcome = frame.init("stageOutcome")
    outcome.number = message.number
    _fill_backlogs((message.backlog,), (outcome.backlog,))
    results = outcome.init("results", len(message.results))
    for result, to in zip(message.results, results, strict=True):
        to.handle, to.datacentre = result.handle, result.datacentre
        to.failure = _FAILURES.index(result.failure)


@_fill.register
def _(message: StageWithdrawal, frame) -> None:
    frame.stageWithdrawal = message.number


@_fill.register
def _(message: StageNotice, frame) -> None:
    notice = frame.init("stageNotice")
    notice.request, notice.stage, notice.service = message.request, message.stage, message.service
    notice.pieces, notice.urgency = message.pieces, min(message.urgency, MOST_URGENCY)


@_fill.register
def _(message: StageRelease, frame) -> None:
    release = frame.init("stageRelease")
    release.service = message.service
    release.handles = list(message.handles)


@_fill.register
def _(message: PlacementOrder, frame) -> None:
    order, prompt = frame.init("placementOrder"), message.prompt
    order.number, order.service = message.number, message.service
    order.tokens, order.mostOutput = prompt.tokens, prompt.most_output
    parts = order.init("parts", len(prompt.parts))
    for part, to in zip(prompt.parts, parts, strict=True):
        to.id, to.tokens = part.id, part.tokens
    order.excluded, order.site = list(message.excluded), message.site
    order.binding = message.binding


@_fill.register
def _(message: PlacementReply, frame) -> None:
    reply = frame.init("placementReply")
    reply.number, reply.server = message.number, message.server
    reply.expectedMs = message.expected_ms


@_fill.register
def _(message: PlacementNote, frame) -> None:
    note = frame.init("placementNote")
    note.number, note.readMs, note.ended = message.number, message.read_ms, message.ended


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


def _read_directory(copy) -> DirectoryCopy:
    records = tuple(_read_record(record) for record in copy.records)
    return DirectoryCopy(copy.version, records, copy.lapseMs)


def _read_record(record) -> ServerRecord:
    if record.removed:
        return ServerRecord(record.id, record.version)
    server = listed_server(
        record.id, record.service, record.address, record.datacentre, record.slots, record.draining
    )
    return ServerRecord(record.id, record.version, record.service, server)


def _read_order(order) -> StageOrder:
    inputs = tuple(str(one) for one in order.inputs)
    job = StageJob(
        order.request,
        order.stage,
        order.service,
        order.pieces,
        order.key,
        inputs,
        order.remainingMs,
        order.dueMs,
        order.urgency,
        order.resultBytes,
        order.datacentre,
    )
    return StageOrder(order.number, job)


def _fill_backlogs(backlogs, frames) -> None:
    for backlog, to in zip(backlogs, frames, strict=True):
        to.service = backlog.service
        to.waits = list(backlog.waits_ms)


def _read_backlog(backlog) -> Backlog:
    return Backlog(str(backlog.service), tuple(backlog.waits))


def _read_beacon(one) -> Beacon:
    backlogs = tuple(_read_backlog(backlog) for backlog in one.backlogs)
    return Beacon(one.catalogue, one.directory, one.leaving, one.asks, backlogs)


def _read_outcome(outcome) -> StageOutcome:
    results = (
        PieceResult(str(one.handle), _FAILURES[one.failure], str(one.datacentre))
        for one in outcome.results
    )
    return StageOutcome(outcome.number, tuple(results), _read_backlog(outcome.backlog))


def _read_placement(order) -> PlacementOrder:
    parts = tuple(PromptPart(str(part.id), part.tokens) for part in order.parts)
    prompt = Prompt(order.tokens, order.mostOutput, parts)
    excluded = tuple(str(name) for name in order.excluded)
    number, service = order.number, str(order.service)
    return PlacementOrder(number, service, prompt, excluded, str(order.site), order.binding)


def _inflated(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    inflated = inflater.decompress(data, MOST_CATALOGUE_BYTES)
    if not inflater.eof:
        raise ValueError("a catalogue is cut or too long")
    return inflated


_READERS = {
    "hello": _read_hello,
    "heartbeat": _read_heartbeat,
    "ask": lambda ask: Ask(ask.revision),
    "changes": lambda changes: Changes(tuple(bytes(value) for value in changes.values)),
    "snapshot": lambda snapshot: Snapshot(bytes(snapshot.value)),
    "submit": _read_submit,
    "beacon": _read_beacon,
    "want": lambda one: Want(one.catalogue, one.directory),
    "catalogueCopy": lambda encoded: CatalogueCopy(_inflated(bytes(encoded))),
    "directoryCopy": _read_directory,
    "memberList": lambda members: MemberList(
        tuple(
            Instance(str(one.name), "", str(one.datacentre), "", str(one.peer)) for one in members
        )
    ),
    "stageOrder": _read_order,
    "stageOutcome": _read_outcome,
    "stageWithdrawal": StageWithdrawal,
    "placementOrder": _read_placement,
    "placementReply": lambda one: PlacementReply(one.number, str(one.server), one.expectedMs),
    "placementNote": lambda one: PlacementNote(one.number, one.readMs, one.ended),
    "stageNotice": lambda one: StageNotice(
        str(one.request), one.stage, str(one.service), one.pieces, one.urgency
    ),
    "stageRelease": lambda one: StageRelease(one.service, tuple(str(h) for h in one.handles)),
    "submitted": lambda reply: Submitted(reply.number, reply.version, reply.code),
}
