# main.py -- Entry point of the mountladder command
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Entry point of the mountladder command."""

from gevent import monkey

monkey.patch_all()

import getpass

import click

from mountladder_cli import configurationcommands, requestcommands, standincommands, statuscommands
from mountladder_cli.session import Session

DEFAULT_PLATFORM = "http://127.0.0.1:8000"


@click.group()
@click.option("--platform", envvar="MOUNTLADDER_PLATFORM", default=DEFAULT_PLATFORM)
@click.option("--author", envvar="MOUNTLADDER_AUTHOR", default=getpass.getuser)
@click.option("--operator-token", envvar="MOUNTLADDER_OPERATOR_TOKEN", default="")
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
@click.pass_context
def main(
    context: click.Context, platform: str, author: str, operator_token: str, output: str
) -> None:
    """Configure mountladder, inspect it, and send requests to it."""
    context.obj = Session(platform, author, operator_token, output)


for _module in (configurationcommands, statuscommands, requestcommands, standincommands):
    for _command in _module.COMMANDS:
        main.add_command(_command)
