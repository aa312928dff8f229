# session.py -- Global options and output of the command line
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Global options and output of the command line."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import click

from mountladder.clocks.clock import Clock
from mountladder.clocks.systemclock import SystemClock
from mountladder.errors import MountladderError
from mountladder.store.platform import Platform
from mountladder_entry.platform import http_platform

EXIT_FAILED = 1


@dataclass(frozen=True, slots=True)
class Session:
    """The global options, and printing of results and errors.

    Attributes:
        platform_url: The platform's base URL.
        author: The name recorded with changes.
        operator_token: The token that instances require of operators.
        output: "text" or "json".
        clock: The clock.
    """

    platform_url: str
    author: str
    operator_token: str
    output: str
    clock: Clock = SystemClock()

    @contextmanager
    def platform(self) -> Iterator[Platform]:
        """Open the platform; print the errors that the block raises and exit."""
        with ExitStack() as stack, self.errors():
            yield http_platform(self.platform_url, self.clock, stack)

    @contextmanager
    def errors(self) -> Iterator[None]:
        """Print the errors that the block raises and exit with EXIT_FAILED."""
        with ExitStack() as stack:
            try:
                yield
            except* MountladderError as group:
                for error in flatten(group):
                    click.echo(f"error {error}", err=True)
                stack.callback(sys.exit, EXIT_FAILED)

    def show(self, table: object, text: Callable[[], str]) -> None:
        """Print a result as JSON, or the text that a function returns for it."""
        if self.output == "json":
            click.echo(json.dumps(table, indent=2))
        else:
            click.echo(text())


def flatten(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Yield each error of a group and of its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from flatten(error)
        else:
            yield error
