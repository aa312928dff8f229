# wire.py -- Encodes and decodes messages between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Encodes and decodes messages between instances."""

from __future__ import annotations

from functools import lru_cache
from pathlib import Path

import capnp

from mountladder.admission.refuseddemand import RefusedDemand
from mountladder.code import Code
from mountladder.demand.demandreport import DemandReport
from mountladder.errors import PeerError
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stageoutcome import StageOutcome
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.stagewithdrawal import StageWithdrawal
from mountladder.forwarding.updaterequest import UpdateRequest
from mountladder.membership import serverwriter as _serverwriter  # noqa: F401
from mountladder.membership.changes import Changes
from mountladder.membership.changesrequest import ChangesRequest
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.hello import Hello
from mountladder.membership.serverreader import SERVER_READERS
from mountladder.membership.snapshot import Snapshot
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted
from mountladder.membership.wirereader import READERS
from mountladder.membership.wirewriter import fill
from mountladder.notices.servernotices import ServerNotices
from mountladder.performance.serverspeeds import ServerSpeeds
from mountladder.quarantine.partsuspicions import PartSuspicions
from mountladder.quarantine.suspicions import Suspicions
from mountladder.results.resultusage import ResultUsage
from mountladder.streams.originannouncement import OriginAnnouncement
from mountladder.streams.originquery import OriginQuery
from mountladder.streams.originreply import OriginReply

VERSION = 10
# How many beacons are kept encoded, and as many decoded. They are most of the messages, and most of
# them repeat an earlier one: instances without shared work send the same until a version changes.
MAX_BEACONS = 64
ConfigurationMessage = Hello | Heartbeat | ChangesRequest | Changes | Snapshot | Submit | Submitted
StateMessage = Beacon | UpdateRequest | CatalogueSlice | DirectoryCopy | MemberList
StageMessage = StageOrder | StageOutcome | StageWithdrawal | StageRelease | StageNotice
PlacementMessage = PlacementOrder | PlacementReply | PlacementNote
ServerMessage = Suspicions | PartSuspicions | ServerNotices | ServerSpeeds | ResultUsage
OriginMessage = OriginAnnouncement | OriginQuery | OriginReply
DemandMessage = RefusedDemand | DemandReport
SharedWorkMessage = StageMessage | PlacementMessage | DemandMessage
Message = ConfigurationMessage | StateMessage | SharedWorkMessage | ServerMessage | OriginMessage

_READERS = READERS | SERVER_READERS

capnp.remove_import_hook()
_beacons: dict[bytes, Beacon] = {}
_SCHEMA = capnp.load(str(Path(__file__).with_name("wire.capnp")))


def encode(message: Message) -> bytes:
    """Encode a message as an unpacked Cap'n Proto frame.

    Frames are not packed: large payloads are compressed already, so that packing adds bytes, and
    the library's writer of packed messages crashed the process on such a message.
    """
    return _encode_beacon(message) if isinstance(message, Beacon) else _encode(message)


def _encode(message: Message) -> bytes:
    frame = _SCHEMA.Frame.new_message()
    fill(message, frame)
    return frame.to_bytes()


_encode_beacon = lru_cache(MAX_BEACONS)(_encode)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises:
        PeerError: The bytes are not a valid message.
    """
    known = _beacons.get(data)
    if known is not None:
        return known
    try:
        with _SCHEMA.Frame.from_bytes(data) as frame:
            which = str(frame.which())
            message = _READERS[which](getattr(frame, which))
    except (capnp.KjException, ValueError, KeyError, IndexError, UnicodeError) as error:
        raise PeerError(f"a message cannot be decoded: {error}", Code.BAD_MESSAGE) from error
    if isinstance(message, Beacon):
        if len(_beacons) >= MAX_BEACONS:
            _beacons.clear()
        _beacons[data] = message
    return message
