# configurationcommands.py -- Commands that read and change the configuration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Commands that read and change the configuration."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from mountladder.configuration.document import Document
from mountladder.configuration.documents import KINDS, parse_documents
from mountladder.errors import DocumentError
from mountladder_cli import porcelain
from mountladder_cli.changeresult import ChangeResult
from mountladder_cli.session import EXIT_FAILED, Session

WAIT_TIMEOUT_MS = 10_000.0
KIND = click.Choice(sorted(KINDS))
FILES = click.option(
    "-f", "--file", "files", multiple=True, required=True, type=click.Path(path_type=Path)
)


def read_files(files: tuple[Path, ...]) -> list[Document]:
    """Return the documents that configuration files define.

    Raises:
        DocumentError: A file cannot be read.
        ExceptionGroup: One error for each fault in a file.
    """
    documents: list[Document] = []
    for path in files:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise DocumentError(f"{path}: cannot be read: {error}") from error
        documents.extend(parse_documents(text, str(path)))
    return documents


def show_result(session: Session, result: ChangeResult) -> None:
    """Print the result of a change."""
    table = {
        "revision": result.revision,
        "changed": list(result.changed),
        "warnings": [str(warning) for warning in result.warnings],
    }
    lines = [f"revision {result.revision}"]
    lines += [f"  changed {key}" for key in result.changed]
    lines += [f"  warning {warning}" for warning in result.warnings]
    session.show(table, lambda: "\n".join(lines))


@click.command("apply")
@FILES
@click.option("--revision", type=int, help="Fail unless this is the current revision.")
@click.option("--wait", is_flag=True, help="Wait until every live instance uses the change.")
@click.pass_obj
def apply(session: Session, files: tuple[Path, ...], revision: int | None, wait: bool) -> None:
    """Add or replace the documents of files in one change."""
    behind = []
    with session.platform() as platform:
        documents = read_files(files)
        result = porcelain.apply(platform, session.clock, session.author, documents, revision)
        show_result(session, result)
        if wait:
            behind = porcelain.wait_in_force(
                platform, session.clock, result.revision, WAIT_TIMEOUT_MS, session.operator_token
            )
    for status in behind:
        click.echo(
            f"not in force on {status.instance.name}: {status.error or status.revision}", err=True
        )
    if behind:
        sys.exit(EXIT_FAILED)


@click.command("diff")
@FILES
@click.pass_obj
def diff(session: Session, files: tuple[Path, ...]) -> None:
    """Show what applying files would change."""
    with session.platform() as platform:
        base = porcelain.load(platform, session.clock)
        changed = porcelain.changed_documents(base, read_files(files))
        rows = [
            {"key": one.key, "change": "replace" if one.key in base.documents else "add"}
            for one in changed
        ]
        text = "\n".join(f"{row['change']} {row['key']}" for row in rows)
        session.show(rows, lambda: text or "no difference")


@click.command("get")
@click.argument("kind", type=KIND)
@click.pass_obj
def get(session: Session, kind: str) -> None:
    """List the documents of a kind."""
    with session.platform() as platform:
        documents = porcelain.load(platform, session.clock).of_kind(kind)
        tables = [one.table() for one in documents]
        session.show(tables, lambda: "\n".join(_line(one) for one in documents))


@click.command("describe")
@click.argument("kind", type=KIND)
@click.argument("name")
@click.pass_obj
def describe(session: Session, kind: str, name: str) -> None:
    """Show every field of a document."""
    with session.platform() as platform:
        table = porcelain.find(porcelain.load(platform, session.clock), kind, name).table()
        session.show(table, lambda: "\n".join(f"{key}: {value}" for key, value in table.items()))


@click.command("delete")
@click.argument("kind", type=KIND)
@click.argument("name")
@click.pass_obj
def delete(session: Session, kind: str, name: str) -> None:
    """Remove a document."""
    with session.platform() as platform:
        result = porcelain.delete(platform, session.clock, session.author, kind, name)
        show_result(session, result)


@click.command("label")
@click.argument("kind", type=KIND)
@click.argument("name")
@click.argument("labels", nargs=-1, required=True)
@click.pass_obj
def label(session: Session, kind: str, name: str, labels: tuple[str, ...]) -> None:
    """Set labels (key=value) or remove them (key-)."""
    with session.platform() as platform:
        pairs = dict(_pair(text) for text in labels)
        result = porcelain.label(platform, session.clock, session.author, kind, name, pairs)
        show_result(session, result)


@click.command("drain")
@click.argument("server")
@click.pass_obj
def drain(session: Session, server: str) -> None:
    """Stop sending new work to a backend server."""
    _drain(session, server, True)


@click.command("undrain")
@click.argument("server")
@click.pass_obj
def undrain(session: Session, server: str) -> None:
    """Resume sending new work to a backend server."""
    _drain(session, server, False)


def _drain(session: Session, server: str, draining: bool) -> None:
    with session.platform() as platform:
        result = porcelain.drain(platform, session.clock, session.author, server, draining)
        show_result(session, result)


def _line(document: Document) -> str:
    labels = ",".join(f"{key}={value}" for key, value in sorted(document.labels.items()))
    return f"{document.name}  {labels}".rstrip()


def _pair(text: str) -> tuple[str, str | None]:
    key, equals, value = text.partition("=")
    if equals and key and value:
        return key, value
    if text.endswith("-") and not equals and len(text) > 1:
        return text[:-1], None
    raise DocumentError(f"label: expected key=value or key-, found {text!r}")


COMMANDS = (apply, diff, get, describe, delete, label, drain, undrain)
