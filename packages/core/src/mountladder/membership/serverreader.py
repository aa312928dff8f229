# serverreader.py -- Converts Cap'n Proto frames to messages about backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Converts Cap'n Proto frames to messages about backend servers."""

from __future__ import annotations

from mountladder.admission.refuseddemand import RefusedDemand
from mountladder.demand.demandreport import DemandReport
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder.notices.servernotice import ServerNotice
from mountladder.notices.servernotices import ServerNotices
from mountladder.performance.serverspeed import ServerSpeed
from mountladder.performance.serverspeeds import ServerSpeeds
from mountladder.quarantine.partsuspicions import PartSuspicions
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspectkind import SuspectKind
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicions import Suspicions
from mountladder.results.resultusage import ResultUsage
from mountladder.results.serverusage import ServerUsage
from mountladder.streams.originannouncement import OriginAnnouncement
from mountladder.streams.originquery import OriginQuery
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin


def _read_crashes(ends) -> tuple[ServerCrash, ...]:
    return tuple(
        ServerCrash(str(one.server), one.ranMs, one.at, one.alone, one.late, str(one.request))
        for one in ends
    )


def _read_suspicion(one, kind: SuspectKind = SuspectKind.REQUEST) -> Suspicion:
    return Suspicion(
        bytes(one.fingerprint).hex(),
        str(one.service),
        _read_crashes(one.ends),
        one.sentAt,
        one.clearedAt,
        one.bars,
        one.barredAt,
        tuple(str(server) for server in one.cleared),
        _read_crashes(one.presumed),
        kind,
    )


def _read_notice(one) -> ServerNotice:
    notice = _NOTICE_READERS[str(one.which())](one)
    return ServerNotice(str(one.server), notice, one.sentAt, one.seenAt, one.slackMs)


_NOTICE_READERS = {
    "perSecond": lambda one: RateLimit(one.perSecond),
    "rejectionsPerSecond": lambda one: RejectionLimit(one.rejectionsPerSecond),
    "leaving": lambda one: Leaving(),
}


def _read_speeds(speeds) -> ServerSpeeds:
    entries = (
        ServerSpeed(str(one.server), one.factor, one.samples, one.ageMs) for one in speeds.entries
    )
    return ServerSpeeds(str(speeds.service), tuple(entries))


def _read_usage(usage) -> ResultUsage:
    entries = (ServerUsage(str(one.server), one.usedBytes, one.lapseMs) for one in usage.entries)
    return ResultUsage(str(usage.service), tuple(entries))


def _read_origin(one) -> StreamOrigin:
    return StreamOrigin(bytes(one.stream), str(one.service), str(one.version), one.remainingMs)


def _read_origin_reply(reply) -> OriginReply:
    origin = _read_origin(reply.origin) if reply.known else None
    versions = frozenset(str(one) for one in reply.versions)
    return OriginReply(reply.number, origin, versions, reply.complete)


SERVER_READERS = {
    "serverNotices": lambda all_: ServerNotices(tuple(_read_notice(one) for one in all_)),
    "suspicions": lambda entries: Suspicions(tuple(_read_suspicion(one) for one in entries)),
    "partSuspicions": lambda entries: PartSuspicions(
        tuple(_read_suspicion(one, SuspectKind.PART) for one in entries)
    ),
    "serverSpeeds": _read_speeds,
    "resultUsage": _read_usage,
    "refusedDemand": lambda one: RefusedDemand(str(one.service), tuple(one.pieces)),
    "demandReport": lambda one: DemandReport(
        str(one.service), one.askedPerS, one.trendPerS, one.capacityPerS
    ),
    "originAnnouncement": lambda all_: OriginAnnouncement(tuple(_read_origin(one) for one in all_)),
    "originQuery": lambda one: OriginQuery(one.number, bytes(one.stream), str(one.service)),
    "originReply": _read_origin_reply,
}
