# message_steps.py -- Steps for messages between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps for messages between instances."""

from behave import then, when

from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.membership.wire import decode, encode
from mountladder.performance.serverspeed import ServerSpeed
from mountladder.performance.serverspeeds import ServerSpeeds
from mountladder.results.resultusage import ResultUsage
from mountladder.results.serverusage import ServerUsage

JOB = StageJob(
    "r1", 1, "enc", 3, "", ("s:1/a",), 900.0, 700.0, 2, 64.0, "a", 800.0, "ab", "front-desk", True
)
PROMPT = Prompt(30, 20, (PromptPart("p", 10), PromptPart("q", 20)))
MESSAGES = {
    "a stage of a team": StageOrder(7, JOB, True),
    "the release of fetched results": StageRelease("enc", ("s:1/a",), True),
    "a placement order for a backup": PlacementOrder(
        7, "llm", PROMPT, ("s-1",), "a", 250.0, 1, True
    ),
    "a placement reply with a backup": PlacementReply(7, "s-1", 40.0, "s:2", 20, 0.0, "s-3"),
    "a note on the pace of a stream": PlacementNote(7, 40.0, True, False, 12.5),
    "the speeds of servers": ServerSpeeds("llm", (ServerSpeed("s-1", 1.75, 12, 500.0),)),
    "the memory that results take up": ResultUsage("enc", (ServerUsage("s-1", 1.5e6, 4_000.0),)),
}


@when("{message} is sent to a peer")
def step_send_message(context, message):
    context.message = MESSAGES[message]
    context.received = decode(encode(context.message))


@then("the peer receives the same message")
def step_check_message(context):
    assert context.received == context.message, context.received
