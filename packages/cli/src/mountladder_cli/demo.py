# demo.py -- Demonstration of the whole system in one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Demonstration of the whole system in one process."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from contextlib import ExitStack
from importlib import resources

import click
import gevent

from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.document import Document
from mountladder.configuration.documents import parse_documents
from mountladder.configuration.model import Model
from mountladder_cli import porcelain
from mountladder_cli.demofleet import DemoFleet

CHANGE_TIMEOUT_MS = 2_000.0
PLACEMENT_TIMEOUT_MS = 8_000.0
SHORT_REQUESTS = 20
TOKEN = "front-desk-token"
PUSH_INPUT = {"room": 12, "nights": 2}


def run() -> int:
    """Run the demonstration; return 0 if every check passed, else 1."""
    with ExitStack() as stack:
        fleet = DemoFleet(SystemClock(), stack)
        checks = list(steps(fleet))
    for name, passed in checks:
        click.echo(f"{'ok  ' if passed else 'FAIL'} {name}")
    return 0 if all(passed for _, passed in checks) else 1


def steps(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Run each step of the demonstration; yield a description and result for each check."""
    documents = fleet.start_servers(example("harrowgate.toml"))
    result = porcelain.apply(fleet.platform, fleet.clock, "demo", documents)
    behind = porcelain.wait_in_force(
        fleet.platform, fleet.clock, result.revision, CHANGE_TIMEOUT_MS
    )
    click.echo(f"revision {result.revision} accepted; {len(fleet.nodes)} instances have it")
    yield "the configuration is in force on every instance within 2 s", not behind
    yield from long_document(fleet)
    yield from short_requests(fleet)
    yield from repeated_push(fleet)
    yield from refusals(fleet)
    yield from drained_server(fleet)
    yield from model_placement(fleet)
    yield from costs(fleet)


def long_document(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Send a long document and show the answer and its trace."""
    text = (resources.files("mountladder_cli") / "examples" / "contract.txt").read_text()
    answer = fleet.send("contract-digest", "contracts-token", {"text": text, "tokens": 60})
    click.echo(f"a contract of {len(text.split())} words:")
    show(answer)
    yield "a long document is answered completely", answer.get("tokens") == 60
    trace = porcelain.explain(fleet.platform, answer["request"])
    click.echo(f"  its trace has {len(trace['entries'])} entries, such as:")
    click.echo(f"    {json.dumps(trace['entries'][1])}")


def show(answer: dict[str, object]) -> None:
    """Print an answer, and the server, time and cost of each of its stages."""
    click.echo(f"  {str(answer.get('result', answer))[:70]}...")
    for stage in answer.get("stages", ()):
        click.echo(
            f"  {stage['stage']:<10} on {stage['server']:<18} {stage['ms']:>7.1f} ms"
            f"  cost {stage['cost']:.4f}"
        )


def short_requests(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Send short requests to all instances concurrently."""
    tasks = [
        gevent.spawn(fleet.send, "guest-reply", TOKEN, {"guest": number, "tokens": 10}, number)
        for number in range(SHORT_REQUESTS)
    ]
    gevent.joinall(tasks)
    answers = [task.value for task in tasks]
    servers = {stage["server"] for answer in answers for stage in answer.get("stages", ())}
    click.echo(f"{SHORT_REQUESTS} concurrent short requests ran on {len(servers)} backend servers")
    yield "a burst of short requests is answered completely", all(
        answer.get("tokens") == 10 for answer in answers
    )


def repeated_push(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Send a non-idempotent request to two data centres with the same idempotency key."""
    first = fleet.send("reservation-push", TOKEN, PUSH_INPUT, 0, "push-1")
    fleet.clock.sleep(200.0)
    second = fleet.send("reservation-push", TOKEN, PUSH_INPUT, 3, "push-1")
    show(first)
    yield "a push and its repeat get the same answer", first["request"] == second.get("request")
    yield "the push ran once", fleet.count_runs("push") == 1
    key = porcelain.issue_keys(fleet.nodes[1].settings.web, TOKEN)[0]
    third = fleet.send("reservation-push", TOKEN, PUSH_INPUT, 2, key)
    yield "a push with an issued key is relayed to the issuing instance", third.get(
        "class"
    ) == "done"


def refusals(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Send requests that must be refused, each for another reason."""
    refused = {
        1002: fleet.send("guest-reply", "nobody", {}),
        1003: fleet.send("no-such-pipeline", TOKEN, {}),
        1004: fleet.send("reservation-push", TOKEN, PUSH_INPUT),
        1005: fleet.send("reservation-push", TOKEN, {"room": 13}, 0, "push-1"),
        2001: fleet.send("guest-reply", TOKEN, {"tokens": 10}, 0, "", 1.0),
    }
    for number, answer in refused.items():
        click.echo(f"  refused: {answer.get('code')} {answer.get('title')}")
        yield f"refusal {number} states that the request did not run", (
            answer.get("code") == number and answer.get("class") == "not_run"
        )


def drained_server(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Drain a backend server and check that it gets no more work."""
    result = porcelain.drain(fleet.platform, fleet.clock, "demo", "llm-1", True)
    behind = porcelain.wait_in_force(
        fleet.platform, fleet.clock, result.revision, CHANGE_TIMEOUT_MS
    )
    before = len(fleet.standins["llm-1"].ran)
    for number in range(SHORT_REQUESTS):
        fleet.send("guest-reply", TOKEN, {"guest": number, "tokens": 2}, number)
    yield "a draining server gets no new work", (
        not behind and len(fleet.standins["llm-1"].ran) == before
    )


def model_placement(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Configure a new model with two replicas in each data centre and check that it is loaded."""
    model = Model("reply-9b", {"work": "generate"}, "1", (), "role = generate", 2)
    servers = [
        dataclasses.replace(one, models=())
        for one in porcelain.load(fleet.platform, fleet.clock).of_kind("server")
        if one.labels.get("role") == "generate"
    ]
    porcelain.apply(fleet.platform, fleet.clock, "demo", [model, *servers])
    until = fleet.clock.now() + PLACEMENT_TIMEOUT_MS
    while fleet.clock.now() < until and len(fleet.engines_serving("reply-9b")) < 4:
        fleet.clock.sleep(50.0)
    serving = fleet.engines_serving("reply-9b")
    click.echo(f"the new model is served by {', '.join(serving)}")
    yield "a new model is loaded on two engines of each data centre", len(serving) == 4


def costs(fleet: DemoFleet) -> Iterator[tuple[str, bool]]:
    """Show the cost of the work by stage."""
    for node in fleet.nodes:
        node.try_flush_cost()
    totals = porcelain.cost(fleet.platform)
    by_stage: dict[str, float] = {}
    for charge, amount in totals.items():
        by_stage[charge.stage] = by_stage.get(charge.stage, 0.0) + amount.cost
    for stage, cost in sorted(by_stage.items()):
        click.echo(f"  cost of {stage:<10} {cost:.4f}")
    yield "the cost of every stage is recorded", {"encode", "generate", "push"} <= set(by_stage)


def example(name: str) -> tuple[Document, ...]:
    """Return the documents of an example configuration that the package contains."""
    text = (resources.files("mountladder_cli") / "examples" / name).read_text()
    return parse_documents(text, name)
