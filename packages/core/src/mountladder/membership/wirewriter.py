# wirewriter.py -- Converts messages to Cap'n Proto frames
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Converts messages to Cap'n Proto frames."""

from __future__ import annotations

from functools import singledispatch

from mountladder.configuration.softwareversion import version_of
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stageoutcome import StageOutcome
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.stagewithdrawal import StageWithdrawal
from mountladder.forwarding.updaterequest import UpdateRequest
from mountladder.membership.changes import Changes
from mountladder.membership.changesrequest import ChangesRequest
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.hello import Hello
from mountladder.membership.snapshot import Snapshot
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted

ANY_VERSION = -1
MAX_AGE_MS = 2**32 - 1
MAX_URGENCY = 255
FAILURES = (None, *PieceFailure)


@singledispatch
def fill(message: object, frame: object) -> None:
    """Write a message into an empty frame.

    Raises:
        TypeError: The object is not a message.
    """
    raise TypeError(f"{message!r} is not a message")


@fill.register
def _(message: Hello, frame) -> None:
    hello = frame.init("hello")
    hello.version = message.version
    hello.name = message.instance.name
    hello.incarnation = message.instance.incarnation
    hello.datacentre = message.instance.datacentre
    hello.web = message.instance.web
    hello.peer = message.instance.peer
    hello.nonce = message.nonce
    hello.cores, hello.since = message.instance.cores, message.instance.since
    hello.messageSet = message.instance.message_set


@fill.register
def _(message: Heartbeat, frame) -> None:
    heartbeat = frame.init("heartbeat")
    heartbeat.revision = message.revision
    heartbeat.ageMs = min(message.age_ms, MAX_AGE_MS)
    heartbeat.leaving = message.leaving
    heartbeat.leavingServers = list(message.leaving_servers)


@fill.register
def _(message: ChangesRequest, frame) -> None:
    frame.init("ask").revision = message.revision


@fill.register
def _(message: Changes, frame) -> None:
    frame.init("changes").values = list(message.values)


@fill.register
def _(message: Snapshot, frame) -> None:
    frame.init("snapshot").value = message.value


@fill.register
def _(message: Submit, frame) -> None:
    submit = frame.init("submit")
    submit.number = message.number
    submit.key = message.write.key
    submit.value = message.write.value or b""
    submit.delete = message.write.value is None
    submit.expected = ANY_VERSION if message.write.expected is None else message.write.expected
    submit.withinMs = message.within_ms


@fill.register
def _(message: Submitted, frame) -> None:
    submitted = frame.init("submitted")
    submitted.number = message.number
    submitted.version = message.version
    submitted.code = message.code


@fill.register
def _(message: Beacon, frame) -> None:
    beacon = frame.init("beacon")
    beacon.catalogue = message.catalogue
    _fill_position(message.directory, beacon.directory)
    beacon.leaving = message.leaving
    beacon.asks = message.wants_reply
    beacon.reads, beacon.fed = message.reads_store, message.store_answers
    beacon.judges, beacon.cut = message.detects_partitions, list(message.unreachable)
    beacon.isolated = message.isolated
    beacon.listAge = message.list_age_ms
    beacon.membersAgeS = message.members_age_s
    _fill_backlogs(message.backlogs, beacon.init("backlogs", len(message.backlogs)))
    drains = beacon.init("drains", len(message.drains))
    for drain, to in zip(message.drains, drains, strict=True):
        to.datacentre, to.active = drain.datacentre, drain.active
        _fill_position(drain.position, to.position)


@fill.register
def _(message: UpdateRequest, frame) -> None:
    want = frame.init("want")
    want.catalogue = message.catalogue
    want.wantsDirectory = message.directory is not None
    if message.directory is not None:
        _fill_position(message.directory, want.directory)
    want.members = message.members


@fill.register
def _(message: CatalogueSlice, frame) -> None:
    part = frame.init("catalogueSlice")
    part.version, part.offset, part.size = message.version, message.offset, message.size
    part.digest, part.data = message.digest, message.data


@fill.register
def _(message: DirectoryCopy, frame) -> None:
    copy = frame.init("directoryCopy")
    _fill_position(message.position, copy.position)
    copy.lapseMs = message.reappear_ms
    records = copy.init("records", len(message.records))
    for record, to in zip(message.records, records, strict=True):
        to.id, to.service = record.id, record.service
        _fill_position(record.position, to.position)
        to.removed = record.server is None
        to.born, to.sequence, to.coldMs = record.born, record.sequence, record.cold_ms
        if record.server is not None:
            to.address, to.datacentre = record.server.address, record.server.datacentre
            to.slots, to.draining = record.server.slots, record.server.draining
            to.softwareVersion = version_of(record.server)


@fill.register
def _(message: MemberList, frame) -> None:
    members = frame.init("memberList", len(message.instances))
    for instance, to in zip(message.instances, members, strict=True):
        to.name, to.datacentre, to.peer = instance.name, instance.datacentre, instance.peer
        to.cores, to.since = instance.cores, instance.since


@fill.register
def _(message: StageOrder, frame) -> None:
    order, job = frame.init("stageOrder"), message.job
    order.number = message.number
    order.request, order.stage, order.service = job.request, job.stage, job.service
    order.pieces, order.key, order.inputs = job.pieces, job.key, list(job.inputs)
    order.remainingMs, order.dueMs = job.deadline, job.due
    order.urgency, order.datacentre = min(job.urgency, MAX_URGENCY), job.datacentre
    order.resultBytes, order.giveUpMs = job.result_bytes, job.give_up
    order.lent = message.lent
    order.fingerprint = bytes.fromhex(job.fingerprint)
    order.team, order.releasesInputs = job.team, job.releases_inputs
    order.attempt = job.attempt.value


@fill.register
def _(message: StageOutcome, frame) -> None:
    outcome = frame.init("stageOutcome")
    outcome.number = message.number
    _fill_backlogs((message.backlog,), (outcome.backlog,))
    results = outcome.init("results", len(message.results))
    for result, to in zip(message.results, results, strict=True):
        to.handle, to.datacentre = result.handle, result.datacentre
        to.failure = FAILURES.index(result.failure)


@fill.register
def _(message: StageWithdrawal, frame) -> None:
    frame.stageWithdrawal = message.number


@fill.register
def _(message: StageNotice, frame) -> None:
    notice = frame.init("stageNotice")
    notice.request, notice.stage, notice.service = message.request, message.stage, message.service
    notice.pieces, notice.urgency = message.pieces, min(message.urgency, MAX_URGENCY)
    notice.givesWay, notice.attempt = message.gives_way, message.attempt.value


@fill.register
def _(message: StageRelease, frame) -> None:
    release = frame.init("stageRelease")
    release.service = message.service
    release.handles = list(message.handles)
    release.fetched = message.fetched


@fill.register
def _(message: PlacementOrder, frame) -> None:
    order, prompt = frame.init("placementOrder"), message.prompt
    order.number, order.service = message.number, message.service
    order.tokens, order.mostOutput = prompt.tokens, prompt.max_output
    parts = order.init("parts", len(prompt.parts))
    for part, to in zip(prompt.parts, parts, strict=True):
        to.id, to.tokens = part.id, part.tokens
    order.excluded, order.site = list(message.excluded), message.site
    order.patienceMs, order.urgency = message.max_wait_ms, min(message.urgency, MAX_URGENCY)
    order.wantsBackup, order.size = message.wants_backup, message.size


@fill.register
def _(message: PlacementReply, frame) -> None:
    reply = frame.init("placementReply")
    reply.number, reply.server = message.number, message.server
    reply.expectedMs = message.expected_ms
    reply.source, reply.read = message.source, message.prefill_tokens
    reply.waitMs, reply.backup = message.wait_ms, message.backup
    reply.isFull = message.is_full


@fill.register
def _(message: PlacementNote, frame) -> None:
    note = frame.init("placementNote")
    note.number, note.readMs, note.ended = message.number, message.read_ms, message.ended
    note.gone, note.eventMs = message.gone, message.event_ms
    note.unreachable, note.rejected = message.unreachable, message.rejected


def _fill_position(position, to) -> None:
    to.era, to.version = position.era, position.version


def _fill_backlogs(backlogs, frames) -> None:
    for backlog, to in zip(backlogs, frames, strict=True):
        to.service = backlog.service
        to.waits, to.own = list(backlog.waits_ms), list(backlog.local_waits_ms)
