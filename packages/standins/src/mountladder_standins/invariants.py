# invariants.py -- Checks of the invariants that must hold in a fault run
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks of the invariants that must hold in a fault run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from mountladder.configuration.change import Change
from mountladder.configuration.configuration import Configuration
from mountladder_standins.callrecord import CallRecord
from mountladder_standins.ranstage import RanStage
from mountladder_standins.timeline import Timeline
from mountladder_standins.violation import Violation

LATE_MS = 250.0


def answers_are_whole(calls: Sequence[CallRecord]) -> Iterator[Violation]:
    """Yield a violation for each answer that is incomplete, out of order or another caller's."""
    for call in calls:
        if call.outcome is None or call.outcome.result != "done":
            continue
        result = call.outcome.answer["result"]
        owner = result if isinstance(result, str) else str(result.get("of"))
        if call.input_hash not in owner:
            yield Violation("answers reach their own caller", f"{call.label}: {owner[:60]}")
        streamed = call.outcome.tokens
        if streamed and streamed != tuple(range(1, call.tokens + 1)):
            yield Violation("answers are whole", f"{call.label}: {streamed}")
        if isinstance(result, str) and len(result.split()) != call.tokens:
            yield Violation("answers are whole", f"{call.label}: {len(result.split())} tokens")


def calls_are_answered(calls: Sequence[CallRecord]) -> Iterator[Violation]:
    """Yield a violation for each call whose outcome came over LATE_MS after its deadline."""
    for call in calls:
        if call.outcome is not None and call.ended > call.started + call.deadline_ms + LATE_MS:
            late = call.ended - call.started - call.deadline_ms
            yield Violation("answers come in time", f"{call.label}: {late:.0f} ms late")


def not_run_did_not_run(
    calls: Sequence[CallRecord], ran: Sequence[RanStage]
) -> Iterator[Violation]:
    """Yield a violation for each request that ran although its caller got "not_run"."""
    first_run: dict[str, float] = {}
    for stage in ran:
        at = first_run.get(stage.input_hash, stage.at_ms)
        first_run[stage.input_hash] = min(at, stage.at_ms)
    for call in calls:
        if call.outcome is None or call.outcome.result != "not_run":
            continue
        at = first_run.get(call.input_hash)
        if at is not None and at < call.ended:
            yield Violation("not run means not run", f"{call.label}: code {call.outcome.code}")


def pushes_run_once(ran: Sequence[RanStage]) -> Iterator[Violation]:
    """Yield a violation for each non-idempotent stage that ran more than once."""
    times = Counter(stage.input_hash for stage in ran if stage.work == "push")
    for input_hash, number in times.items():
        if number > 1:
            yield Violation("non-idempotent runs at most once", f"{input_hash} ran {number} times")


def selectors_are_met(
    ran: Sequence[RanStage], calls: Sequence[CallRecord], timeline: Timeline
) -> Iterator[Violation]:
    """Yield a violation for each stage that ran on a server that no selector in force allowed."""
    pipelines = {call.input_hash: call.pipeline for call in calls}
    for stage in ran:
        incarnation = stage.attempt.split("-")[0]
        in_force = timeline.at(incarnation, stage.at_ms)
        pipeline = pipelines.get(stage.input_hash)
        if pipeline is None:
            yield Violation("selectors are met", f"{stage} belongs to no request")
        elif not any(_allows(one, pipeline, stage) for one in in_force):
            revisions = [one.revision for one in in_force]
            yield Violation("selectors are met", f"{stage} under revisions {revisions}")


def _allows(configuration: Configuration, pipeline_name: str, ran: RanStage) -> bool:
    pipeline = configuration.pipeline(pipeline_name)
    name = ran.attempt.split(".")[1]
    stage = next((one for one in pipeline.stages if one.name == name), None)
    if stage is None:
        return False
    team = configuration.of_kind("team")[0]
    return any(server.name == ran.server for server in configuration.servers_for(stage, team))


def revisions_never_fall(timeline: Timeline) -> Iterator[Violation]:
    """Yield a violation for each revision that an instance used after a higher one."""
    highest: dict[str, int] = {}
    for incarnation, name in timeline.names.items():
        last = highest.get(name, 0)
        for configuration in timeline.served(incarnation):
            if configuration.revision < last:
                detail = f"{name}: {configuration.revision} after {last}"
                yield Violation("revisions never fall", detail)
            last = max(last, configuration.revision)
        highest[name] = last


def changes_are_kept(accepted: Sequence[str], log: Sequence[Change]) -> Iterator[Violation]:
    """Yield a violation for each accepted change that is not in the log exactly once."""
    times = Counter(change.operation for change in log)
    for operation in accepted:
        if times[operation] != 1:
            yield Violation("accepted changes are kept", f"{operation}: {times[operation]} times")
