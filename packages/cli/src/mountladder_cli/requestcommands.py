# requestcommands.py -- Commands that send requests and run the demonstration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Commands that send requests and run the demonstration."""

from __future__ import annotations

import json
import sys

import click

from mountladder.errors import MountladderError
from mountladder_cli import demo as demonstration
from mountladder_cli import porcelain
from mountladder_cli.session import EXIT_FAILED, Session


@click.command("request")
@click.argument("pipeline")
@click.argument("input_text")
@click.option("--to", "web", required=True, help="The instance's IP number and port.")
@click.option("--token", envvar="MOUNTLADDER_TOKEN", required=True, help="The team's token.")
@click.option("--deadline-ms", type=float)
@click.option("--key", default="", help="The Idempotency-Key.")
@click.option("--issue-key", is_flag=True, help="Have the instance issue the key.")
@click.pass_obj
def request(
    session: Session,
    pipeline: str,
    input_text: str,
    web: str,
    token: str,
    deadline_ms: float | None,
    key: str,
    issue_key: bool,
) -> None:
    """Send a request and print its answer; an INPUT_TEXT that is not JSON is sent as a string."""
    tail = b""
    try:
        input_ = json.loads(input_text)
    except ValueError:
        input_ = input_text
    try:
        if issue_key:
            key = porcelain.issue_keys(web, token)[0]
        stream = session.output == "text"
        for piece in porcelain.request(web, pipeline, token, input_, deadline_ms, key, stream):
            click.echo(piece, nl=False)
            tail = (tail + piece)[-65_536:]
    except MountladderError as error:
        click.echo(f"error {error}", err=True)
        sys.exit(EXIT_FAILED)
    if b"event: done" not in tail and b'"class":"done"' not in tail:
        sys.exit(EXIT_FAILED)


@click.command("demo")
def demo() -> None:
    """Run instances, a platform and backend servers in one process and check what they do."""
    sys.exit(demonstration.run())


COMMANDS = (request, demo)
