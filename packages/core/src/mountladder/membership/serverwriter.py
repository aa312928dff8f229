# serverwriter.py -- Converts messages about backend servers to Cap'n Proto frames
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Converts messages about backend servers to Cap'n Proto frames.

Importing this module registers its message types with `wirewriter.fill`.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch

from mountladder.admission.refuseddemand import RefusedDemand
from mountladder.demand.demandreport import DemandReport
from mountladder.membership.wirewriter import fill
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder.notices.servernotices import ServerNotices
from mountladder.performance.serverspeeds import ServerSpeeds
from mountladder.quarantine.partsuspicions import PartSuspicions
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicions import Suspicions
from mountladder.results.resultusage import ResultUsage
from mountladder.streams.originannouncement import OriginAnnouncement
from mountladder.streams.originquery import OriginQuery
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin

MAX_BARS = 2**16 - 1


@fill.register
def _(message: Suspicions, frame) -> None:
    fill_suspicions(message.entries, frame.init("suspicions", len(message.entries)))


@fill.register
def _(message: PartSuspicions, frame) -> None:
    fill_suspicions(message.entries, frame.init("partSuspicions", len(message.entries)))


def fill_suspicions(suspicions: Sequence[Suspicion], targets) -> None:
    """Write suspicions into a list of structs of a frame."""
    for one, to in zip(suspicions, targets, strict=True):
        to.fingerprint, to.service = bytes.fromhex(one.fingerprint), one.service
        to.sentAt, to.clearedAt = one.sent_at, one.cleared_at
        to.bars, to.barredAt = min(one.bars, MAX_BARS), one.barred_at
        to.cleared = list(one.cleared)
        fill_crashes(one.crashes, to.init("ends", len(one.crashes)))
        fill_crashes(one.presumed, to.init("presumed", len(one.presumed)))


def fill_crashes(crashes: Sequence[ServerCrash], targets) -> None:
    """Write server crashes into a list of structs of a frame."""
    for crash, target in zip(crashes, targets, strict=True):
        target.server, target.ranMs, target.at = crash.server, crash.ran_ms, crash.at
        target.alone, target.late, target.request = crash.alone, crash.late, crash.request


@fill.register
def _(message: ServerNotices, frame) -> None:
    notices = frame.init("serverNotices", len(message.entries))
    for one, to in zip(message.entries, notices, strict=True):
        to.server, to.slackMs = one.server, one.slack_ms
        to.sentAt, to.seenAt = one.sent_at, one.seen_at
        fill_notice(one.notice, to)


@singledispatch
def fill_notice(notice: object, to: object) -> None:
    """Write a server's notice into its struct of a frame.

    Raises:
        TypeError: The notice is not of a type that instances exchange.
    """
    raise TypeError(f"{notice!r} is not exchanged between instances")


@fill_notice.register
def _(notice: RateLimit, to) -> None:
    to.perSecond = notice.per_s


@fill_notice.register
def _(notice: RejectionLimit, to) -> None:
    to.rejectionsPerSecond = notice.per_s


@fill_notice.register
def _(notice: Leaving, to) -> None:
    to.leaving = None


@fill.register
def _(message: ServerSpeeds, frame) -> None:
    speeds = frame.init("serverSpeeds")
    speeds.service = message.service
    entries = speeds.init("entries", len(message.entries))
    for one, to in zip(message.entries, entries, strict=True):
        to.server, to.factor = one.server, one.factor
        to.samples, to.ageMs = one.samples, one.age_ms


@fill.register
def _(message: ResultUsage, frame) -> None:
    usage = frame.init("resultUsage")
    usage.service = message.service
    entries = usage.init("entries", len(message.entries))
    for one, to in zip(message.entries, entries, strict=True):
        to.server, to.usedBytes, to.lapseMs = one.server, one.used_bytes, one.lapse_ms


@fill.register
def _(message: RefusedDemand, frame) -> None:
    refused = frame.init("refusedDemand")
    refused.service, refused.pieces = message.service, list(message.pieces)


@fill.register
def _(message: DemandReport, frame) -> None:
    report = frame.init("demandReport")
    report.service, report.askedPerS = message.service, message.asked_per_s
    report.trendPerS, report.capacityPerS = message.trend_per_s, message.capacity_per_s


@fill.register
def _(message: OriginAnnouncement, frame) -> None:
    origins = frame.init("originAnnouncement", len(message.origins))
    for one, to in zip(message.origins, origins, strict=True):
        fill_origin(one, to)


def fill_origin(origin: StreamOrigin, target) -> None:
    """Write the origin of a stream into its struct of a frame."""
    target.stream, target.service, target.version = origin.stream, origin.service, origin.version
    target.remainingMs = origin.until


@fill.register
def _(message: OriginQuery, frame) -> None:
    query = frame.init("originQuery")
    query.number, query.stream, query.service = message.number, message.stream, message.service


@fill.register
def _(message: OriginReply, frame) -> None:
    reply = frame.init("originReply")
    reply.number, reply.known = message.number, message.origin is not None
    if message.origin is not None:
        fill_origin(message.origin, reply.origin)
    reply.versions, reply.complete = sorted(message.versions), message.is_complete
