# wirereader.py -- Converts Cap'n Proto frames to messages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Converts Cap'n Proto frames to messages."""

from __future__ import annotations

from mountladder.admission.attemptkind import AttemptKind
from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.memberlist import MemberList
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
from mountladder.forwarding.updaterequest import UpdateRequest
from mountladder.membership.changes import Changes
from mountladder.membership.changesrequest import ChangesRequest
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.hello import Hello
from mountladder.membership.instance import Instance
from mountladder.membership.snapshot import Snapshot
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted
from mountladder.membership.wirewriter import ANY_VERSION, FAILURES
from mountladder.store.position import Position
from mountladder.store.write import Write


def _read_hello(hello) -> Hello:
    instance = Instance(
        hello.name,
        hello.incarnation,
        hello.datacentre,
        hello.web,
        hello.peer,
        cores=hello.cores,
        since=hello.since,
        message_set=hello.messageSet,
    )
    return Hello(hello.version, instance, bytes(hello.nonce))


def _read_member(one) -> Instance:
    return Instance(
        str(one.name),
        "",
        str(one.datacentre),
        "",
        str(one.peer),
        cores=one.cores,
        since=one.since,
    )


def _read_heartbeat(heartbeat) -> Heartbeat:
    names = tuple(str(name) for name in heartbeat.leavingServers)
    return Heartbeat(heartbeat.revision, heartbeat.ageMs, heartbeat.leaving, names)


def _read_submit(submit) -> Submit:
    value = None if submit.delete else bytes(submit.value)
    expected = None if submit.expected == ANY_VERSION else submit.expected
    return Submit(submit.number, Write(submit.key, value, expected), submit.withinMs)


def _read_directory(copy) -> DirectoryCopy:
    records = tuple(_read_record(record) for record in copy.records)
    return DirectoryCopy(_read_position(copy.position), records, copy.lapseMs)


def _read_position(position) -> Position:
    return Position(position.era, position.version)


def _read_want(want) -> UpdateRequest:
    directory = _read_position(want.directory) if want.wantsDirectory else None
    return UpdateRequest(want.catalogue, directory, want.members)


def _read_record(record) -> ServerRecord:
    position = _read_position(record.position)
    if record.removed:
        return ServerRecord(record.id, position, born=record.born, sequence=record.sequence)
    server = listed_server(
        record.id,
        record.service,
        record.address,
        record.datacentre,
        record.slots,
        record.draining,
        record.born,
        str(record.softwareVersion),
    )
    return ServerRecord(
        record.id,
        position,
        record.service,
        server,
        record.born,
        record.sequence,
        record.coldMs,
    )


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
        order.giveUpMs,
        bytes(order.fingerprint).hex(),
        str(order.team),
        order.releasesInputs,
        AttemptKind(order.attempt),
    )
    return StageOrder(order.number, job, order.lent)


def _read_backlog(backlog) -> Backlog:
    return Backlog(str(backlog.service), tuple(backlog.waits), tuple(backlog.own))


def _read_beacon(one) -> Beacon:
    backlogs = tuple(_read_backlog(backlog) for backlog in one.backlogs)
    return Beacon(
        one.catalogue,
        _read_position(one.directory),
        one.leaving,
        one.asks,
        backlogs,
        one.reads,
        one.fed,
        one.judges,
        tuple(str(name) for name in one.cut),
        tuple(_read_drain(drain) for drain in one.drains),
        one.isolated,
        one.listAge,
        one.membersAgeS,
    )


def _read_drain(drain) -> DatacentreDrain:
    return DatacentreDrain(str(drain.datacentre), _read_position(drain.position), drain.active)


def _read_outcome(outcome) -> StageOutcome:
    results = (
        PieceResult(str(one.handle), FAILURES[one.failure], str(one.datacentre))
        for one in outcome.results
    )
    return StageOutcome(outcome.number, tuple(results), _read_backlog(outcome.backlog))


def _read_placement(order) -> PlacementOrder:
    parts = tuple(PromptPart(str(part.id), part.tokens) for part in order.parts)
    prompt = Prompt(order.tokens, order.mostOutput, parts)
    excluded = tuple(str(name) for name in order.excluded)
    number, service = order.number, str(order.service)
    site, max_wait_ms = str(order.site), order.patienceMs
    urgency, wants_backup = order.urgency, order.wantsBackup
    return PlacementOrder(
        number, service, prompt, excluded, site, max_wait_ms, urgency, wants_backup, order.size
    )


def _read_reply(one) -> PlacementReply:
    server, source, backup = str(one.server), str(one.source), str(one.backup)
    return PlacementReply(
        one.number, server, one.expectedMs, source, one.read, one.waitMs, backup, one.isFull
    )


def _read_slice(part) -> CatalogueSlice:
    return CatalogueSlice(
        part.version, part.offset, part.size, bytes(part.digest), bytes(part.data)
    )


READERS = {
    "hello": _read_hello,
    "heartbeat": _read_heartbeat,
    "ask": lambda ask: ChangesRequest(ask.revision),
    "changes": lambda changes: Changes(tuple(bytes(value) for value in changes.values)),
    "snapshot": lambda snapshot: Snapshot(bytes(snapshot.value)),
    "submit": _read_submit,
    "beacon": _read_beacon,
    "want": _read_want,
    "catalogueSlice": _read_slice,
    "directoryCopy": _read_directory,
    "memberList": lambda members: MemberList(tuple(_read_member(one) for one in members)),
    "stageOrder": _read_order,
    "stageOutcome": _read_outcome,
    "stageWithdrawal": StageWithdrawal,
    "placementOrder": _read_placement,
    "placementReply": _read_reply,
    "placementNote": lambda one: PlacementNote(
        one.number, one.readMs, one.ended, one.gone, one.eventMs, one.unreachable, one.rejected
    ),
    "stageNotice": lambda one: StageNotice(
        str(one.request),
        one.stage,
        str(one.service),
        one.pieces,
        one.urgency,
        one.givesWay,
        AttemptKind(one.attempt),
    ),
    "stageRelease": lambda one: StageRelease(
        one.service, tuple(str(h) for h in one.handles), one.fetched
    ),
    "submitted": lambda reply: Submitted(reply.number, reply.version, reply.code),
}
