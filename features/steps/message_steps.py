# message_steps.py -- Steps for messages between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps for messages between instances."""

from dataclasses import fields, replace

from behave import then, when

from mountladder.admission.attemptkind import AttemptKind
from mountladder.admission.refuseddemand import RefusedDemand
from mountladder.demand.demandreport import DemandReport
from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.serverrecord import ServerRecord, listed_server
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.membership import wire
from mountladder.membership.hello import Hello
from mountladder.membership.instance import Instance
from mountladder.membership.wire import decode, encode
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
from mountladder.store.position import Position
from mountladder.streams.originannouncement import OriginAnnouncement
from mountladder.streams.originquery import OriginQuery
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin

JOB = StageJob(
    "r1",
    1,
    "enc",
    3,
    "",
    ("s:1/a",),
    900.0,
    700.0,
    2,
    64.0,
    "a",
    800.0,
    "ab",
    "front-desk",
    True,
    AttemptKind.RETURN,
)
PROMPT = Prompt(30, 20, (PromptPart("p", 10), PromptPart("q", 20)))
ORIGIN = StreamOrigin(b"0123456789abcdef", "llm", "v1.1", 7_500.0)
SUSPICION = Suspicion(
    "ab" * 16,
    "llm",
    (ServerCrash("s-1", 60.0, -20.0, False, True, "0123abcd"), ServerCrash("s-2", 90.0, -10.0)),
    -15.0,
    -30.0,
    2,
    -10.0,
    ("s-0",),
    (ServerCrash("s-3", 45.0, -5.0),),
    SuspectKind.PART,
)
MESSAGES = {
    "a stage of a team": StageOrder(7, JOB, True),
    "the announcement of a stage that returns": StageNotice(
        "r1", 1, "enc", 3, 2, True, AttemptKind.EARLY_RETURN
    ),
    "the release of fetched results": StageRelease("enc", ("s:1/a",), True),
    "a placement order for a backup": PlacementOrder(
        7, "llm", PROMPT, ("s-1",), "a", 250.0, 1, True
    ),
    "a placement order with a size": PlacementOrder(8, "llm", PROMPT, (), "", size=4_000_000),
    "a reply that servers are full": PlacementReply(8, "", 0.0, is_full=True),
    "a placement reply with a backup": PlacementReply(7, "s-1", 40.0, "s:2", 20, 0.0, "s-3"),
    "a note on the pace of a stream": PlacementNote(7, 40.0, True, False, 12.5),
    "a note on an unreachable server": PlacementNote(7, 0.0, True, True, 0.0, True),
    "a note on a rejected prompt": PlacementNote(7, 0.0, True, rejected=True),
    "the notices of servers": ServerNotices(
        (
            ServerNotice("i-1", RateLimit(1.5), -20.0, -10.0, 100.0),
            ServerNotice("i-2", RejectionLimit(4.0), -20.0, -10.0, 100.0),
            ServerNotice("i-3", Leaving(), -20.0, -10.0, 100.0),
        )
    ),
    "the refused demand": RefusedDemand("enc", (3, 0, 12)),
    "the demand of a data centre": DemandReport("enc", 120.0, -4.5, 96.0),
    "the speeds of servers": ServerSpeeds("llm", (ServerSpeed("s-1", 1.75, 12, 500.0),)),
    "the memory that results take up": ResultUsage("enc", (ServerUsage("s-1", 1.5e6, 4_000.0),)),
    "a hello": Hello(
        10, Instance("a-1", "i1", "a", "h:1", "h:2", cores=2.0, since=7, message_set=3), b"nonce"
    ),
    "the origins of streams": OriginAnnouncement((ORIGIN,)),
    "the query for the origin of a stream": OriginQuery(7, ORIGIN.stream, "llm"),
    "the reply with the origin of a stream": OriginReply(7, ORIGIN, frozenset({"v1", "v2"}), True),
    "the reply without an origin": OriginReply(7, None, frozenset()),
    "the suspicions of requests": Suspicions((replace(SUSPICION, kind=SuspectKind.REQUEST),)),
    "the suspicions of prompt parts": PartSuspicions((SUSPICION,)),
    "the entries of servers with versions": DirectoryCopy(
        Position(1, 9),
        (
            ServerRecord(
                "s-1",
                Position(1, 8),
                "llm",
                listed_server("s-1", "llm", "s:1", "a", 8, False, 5, "v1.1"),
                5,
                2,
            ),
            ServerRecord("s-2", Position(1, 9), born=5, sequence=3),
        ),
        0.0,
    ),
}
BEACON = Beacon(1, Position(1, 5), False, True)
OTHER_FIELDS = {
    "catalogue": 2,
    "directory": Position(2, 5),
    "leaving": True,
    "wants_reply": False,
    "backlogs": (Backlog("enc", (0.0, 1.5), (2.5,)),),
    "reads_store": True,
    "store_answers": True,
    "detects_partitions": True,
    "unreachable": ("b",),
    "drains": (DatacentreDrain("b", Position(1, 4), True),),
    "isolated": True,
    "list_age_ms": 600,
    "members_age_s": 4,
}


@when("{message} is sent to a peer")
def step_send_message(context, message):
    context.message = MESSAGES[message]
    context.received = decode(encode(context.message))


@then("the peer receives the same message")
def step_check_message(context):
    assert context.received == context.message, context.received


@when("beacons that differ from each other in one field are sent to a peer twice")
def step_send_beacons(context):
    assert OTHER_FIELDS.keys() == {one.name for one in fields(Beacon)}
    changed = [replace(BEACON, **{name: value}) for name, value in OTHER_FIELDS.items()]
    versions = [replace(BEACON, catalogue=number) for number in range(2 * wire.MAX_BEACONS)]
    context.beacons = [BEACON, *changed, *versions] * 2
    context.received_beacons = [decode(encode(beacon)) for beacon in context.beacons]


@then("the peer receives each of them as it was sent")
def step_check_beacons(context):
    assert context.received_beacons == context.beacons


@then("the kept beacons stay below their limit")
def step_check_kept(context):
    assert 0 < len(wire._beacons) <= wire.MAX_BEACONS, len(wire._beacons)
    assert wire._encode_beacon.cache_info().currsize <= wire.MAX_BEACONS
