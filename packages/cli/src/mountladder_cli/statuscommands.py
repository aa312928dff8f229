# statuscommands.py -- Commands that show the state and history of the system
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Commands that show the state and history of the system."""

from __future__ import annotations

from dataclasses import asdict
from typing import TextIO

import click

from mountladder_cli import porcelain
from mountladder_cli.loglines import format_lines, lines_of_request
from mountladder_cli.outcomereport import format_report, read_traces
from mountladder_cli.session import Session


@click.command("history")
@click.option("--after", type=int, default=0, help="The revision to start after.")
@click.pass_obj
def history(session: Session, after: int) -> None:
    """Show the accepted changes of the configuration and their authors."""
    with session.platform() as platform:
        rows = [
            {
                "revision": one.revision,
                "author": one.author,
                "at_ms": one.at_ms,
                "operation": one.operation,
                "changed": [document.key for document in one.puts] + list(one.deletes),
            }
            for one in porcelain.history(platform, session.clock, after)
        ]
        lines = [f"{row['revision']}  {row['author']}  {' '.join(row['changed'])}" for row in rows]
        session.show(rows, lambda: "\n".join(lines))


@click.command("status")
@click.pass_obj
def status(session: Session) -> None:
    """Show each instance with its revision of the configuration and its running requests."""
    with session.platform() as platform:
        statuses = porcelain.status(platform, session.operator_token)
        rows = [{**asdict(one.instance), **one.table, "trouble": one.error} for one in statuses]
        lines = [
            f"{one.instance.name}  {one.instance.datacentre}  "
            + (one.error or f"revision {one.revision}  running {one.table['running']}")
            for one in statuses
        ]
        session.show(rows, lambda: "\n".join(lines))


@click.command("explain")
@click.argument("request")
@click.pass_obj
def explain(session: Session, request: str) -> None:
    """Show the servers chosen for a request, its retries and its refusals, with reasons."""
    with session.platform() as platform:
        table = porcelain.explain(platform, request, session.operator_token)
        lines = [f"request {table['request']} under revision {table['revision']}"]
        for entry in table["entries"]:
            values = (str(entry[key]) for key in ("event", "stage", "server", "code", "reason"))
            lines.append(
                f"  {entry['at_ms']:>8} ms  "
                + "  ".join(value for value in values if value not in "0")
            )
        session.show(table, lambda: "\n".join(lines))


@click.command("cost")
@click.pass_obj
def cost(session: Session) -> None:
    """Show the cost of work by team, pipeline, stage, accelerator and use (useful or wasted)."""
    with session.platform() as platform:
        totals = porcelain.cost(platform)
        rows = [{**asdict(charge), **asdict(amount)} for charge, amount in totals.items()]
        rows.sort(key=lambda row: (row["team"], row["pipeline"], row["stage"], row["use"]))
        lines = [
            f"{row['team']}  {row['pipeline']}  {row['stage']}  {row['accelerator']}  "
            f"{row['use']}  calls {row['calls']}  cost {row['cost']:.4f}"
            for row in rows
        ]
        session.show(rows, lambda: "\n".join(lines))


@click.command("lines")
@click.argument("request")
@click.argument("files", nargs=-1, type=click.File("r", encoding="utf-8", errors="replace"))
@click.pass_obj
def lines(session: Session, request: str, files: tuple[TextIO, ...]) -> None:
    """Show the log lines of a request, from the logs of any number of instances."""
    found = lines_of_request(request, (line for file in files for line in file))
    if not found:
        raise click.ClickException(f"no log line names request {request}")
    session.show(found, lambda: format_lines(found))


@click.command("account")
@click.argument("files", nargs=-1, type=click.File("r", encoding="utf-8", errors="replace"))
@click.pass_obj
def account(session: Session, files: tuple[TextIO, ...]) -> None:
    """Show the outcomes of the requests in logs, and where those not on time spent their time."""
    traces = read_traces(line for file in files for line in file)
    session.show([asdict(one) for one in traces], lambda: format_report(traces))


@click.command("quarantine")
@click.argument("address")
@click.option("--lift", "lifted", default="", help="The fingerprint of a suspect to clear.")
@click.pass_obj
def quarantine(session: Session, address: str, lifted: str) -> None:
    """Show what is suspected or barred because servers crashed under it, or clear one suspect.

    Suspects are requests, and parts of prompts that requests have in common.

    ADDRESS is where an instance serves its metrics.
    """
    with session.errors():
        if lifted:
            porcelain.lift(address, session.operator_token, lifted)
            session.show({"cleared": lifted}, lambda: f"cleared {lifted}")
            return
        rows = porcelain.quarantined(address, session.operator_token)
        lines = [
            f"{row['fingerprint']}  {row.get('kind', 'request')}  {row['service']}  "
            + (f"barred for {row['barred_for_ms']} ms" if row["barred_for_ms"] else "suspect")
            + "  "
            + " ".join(f"{name}:{ms}ms" for name, ms in zip(row["servers"], row["ran_ms"]))
            for row in rows
        ]
        session.show(rows, lambda: "\n".join(lines))


COMMANDS = (account, lines, history, status, explain, cost, quarantine)
