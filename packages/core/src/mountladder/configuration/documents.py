# documents.py -- Parses documents of every kind
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Parses documents of every kind."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields
from mountladder.configuration.model import Model
from mountladder.configuration.namedselector import NamedSelector
from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.team import Team
from mountladder.errors import DocumentError, MountladderError

KINDS = {one.kind: one for one in (Pipeline, BackendServer, Model, Team, NamedSelector)}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def parse_documents(text: str, source: str) -> tuple[Document, ...]:
    """Parse every document of a TOML text.

    Args:
        text: The TOML text; each document is a table in an array named after its kind.
        source: The name of the text in error messages, such as its file name.

    Returns:
        The documents in the order of the text.

    Raises:
        ExceptionGroup: With a DocumentError for each error.
    """
    try:
        tables = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, ValueError) as error:
        raise ExceptionGroup(source, [DocumentError(f"{source}: not TOML: {error}")]) from error
    documents: list[Document] = []
    faults: list[MountladderError] = []
    for kind, entries in tables.items():
        if kind not in KINDS or not isinstance(entries, list):
            known = ", ".join(KINDS)
            faults.append(DocumentError(f"{source}: expected [[kind]] of {known}, found {kind!r}"))
            continue
        for number, entry in enumerate(entries, 1):
            documents.append(_read(kind, entry, f"{source}: {kind} {number}", faults))
    faults.extend(_duplicates(documents, source))
    if faults:
        raise ExceptionGroup(f"{source}: {len(faults)} errors", faults)
    return tuple(documents)


def read_document(kind: str, table: object) -> Document:
    """Parse one document from a row or a message.

    Raises:
        DocumentError: The table is not a valid document of this kind.
    """
    if kind not in KINDS:
        raise DocumentError(f"unknown kind {kind!r}")
    faults: list[MountladderError] = []
    document = _read(kind, table, kind, faults)
    if faults:
        raise faults[0]
    return document


def _read(kind: str, table: object, location: str, faults: list[MountladderError]) -> Document:
    name = table.get("name") if isinstance(table, Mapping) else None
    fields = Fields(
        table, f"{location} ({name})" if isinstance(name, str) else location, DocumentError
    )
    document = KINDS[kind].read(fields)
    if document.name and not _NAME.fullmatch(document.name):
        fields.fault("name", "letters, digits, dots and hyphens", document.name)
    faults.extend(fields.finish())
    return document


def _duplicates(documents: list[Document], source: str) -> list[MountladderError]:
    seen: set[str] = set()
    faults: list[MountladderError] = []
    for document in documents:
        if document.key in seen:
            faults.append(DocumentError(f"{source}: {document.key} is defined twice"))
        seen.add(document.key)
    return faults
