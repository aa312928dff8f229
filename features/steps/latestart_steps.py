# latestart_steps.py -- Steps about requests whose stages are submitted after their time has passed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests whose stages are submitted after their time has passed."""

from behave import then, when
from forwardbasics import PATHS, request
from patience_steps import FLOW_DEADLINE_MS, FLOW_END_MS, EndingDispatch, run_flow

from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.stageflow import StageFlow

REMOTE_MS = 5.0


class LateDispatch(EndingDispatch):
    """Reports stages as not begun: the second as it is submitted, the first by a message."""

    def submit(self, job, done):
        results = (PieceResult("", PieceFailure.NOT_BEGUN),)
        if job.stage == 1:
            done(results)
        else:
            self.clock.call_later(REMOTE_MS, lambda: done(results))
        return object()


@when("both are submitted at {ms:d} ms, the second to a coordinator on the same instance")
def submitted_late(context, ms):
    sent = request("r", PATHS["staged"], 0.0, pieces=(1, 1, 1))
    dispatch = LateDispatch(context.clock, ())
    context.flow = StageFlow(
        sent, context.route, FLOW_DEADLINE_MS, 0, dispatch, context.clock, stages_end=FLOW_END_MS
    )
    run_flow(context, float(ms))


@then("request r was {outcome} at its admission")
def at_admission(context, outcome):
    kinds = {"let-in": "admitted", "request-refused": "refused for"}
    (line,) = [one for one in context.lines if one.get("message_type") in kinds]
    found = f"{kinds[line['message_type']]} {line.get('reason', '')}".strip()
    assert found == outcome, line
