# porcelain.py -- The operations of the command line as functions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The operations of the command line as functions."""

from __future__ import annotations

import dataclasses
import uuid
from collections.abc import Callable, Iterator, Sequence

from mountladder.accounts.amount import Amount
from mountladder.accounts.charge import Charge
from mountladder.accounts.ledger import read_totals
from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.change import Change
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.check import check
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.document import Document
from mountladder.errors import DocumentError, MountladderError, RevisionConflictError
from mountladder.membership.instance import Instance
from mountladder.store.platform import Platform
from mountladder_cli.changeresult import ChangeResult
from mountladder_cli.edit import Edit
from mountladder_cli.instanceclient import fetch, issue_keys, request
from mountladder_cli.instancestatus import InstanceStatus

__all__ = [
    "apply", "change", "changed_documents", "cost", "delete", "drain", "explain", "fetch",
    "find", "history", "instance_status", "issue_keys", "label", "lift", "load", "quarantined",
    "request", "retry_change", "status", "wait_in_force",
]  # fmt: skip
MAX_ATTEMPTS = 5
POLL_MS = 100.0
HISTORY_PAGE = 100


def load(platform: Platform, clock: Clock) -> Configuration:
    """Return the newest configuration.

    Raises:
        StoreUnavailableError: The store cannot be reached.
    """
    return ChangeLog(platform.table, platform.objects, clock).load()


def change(
    platform: Platform, clock: Clock, author: str, base: Configuration, edit: Edit
) -> ChangeResult:
    """Make one change against a configuration, atomically.

    Raises:
        ExceptionGroup: One error for each reference that would be broken.
        RevisionConflictError: Another change was accepted first.
        StoreUnavailableError: The store cannot be reached; nothing was written.
        StoreAmbiguousError: It could not be determined whether the change was accepted.
    """
    if not edit.puts and not edit.deletes:
        return ChangeResult(base.revision, (), ())
    operation = uuid.uuid4().hex
    candidate = Change(base.revision + 1, operation, author, 0.0, edit.puts, edit.deletes)
    warnings = check(base.after(candidate))
    log = ChangeLog(platform.table, platform.objects, clock)
    accepted = log.append(base, operation, author, edit.puts, edit.deletes)
    keys = tuple(document.key for document in edit.puts) + edit.deletes
    return ChangeResult(accepted.revision, keys, tuple(warnings))


def apply(
    platform: Platform,
    clock: Clock,
    author: str,
    documents: Sequence[Document],
    revision: int | None = None,
) -> ChangeResult:
    """Add or replace documents; unchanged ones are left out.

    Args:
        platform: The platform.
        clock: The clock.
        author: The name recorded with the change.
        documents: The documents.
        revision: The revision that the change is based on, or None for the newest.

    Raises:
        RevisionConflictError: The newest revision is another one.
    """
    base = load(platform, clock)
    if revision is not None and revision != base.revision:
        raise RevisionConflictError(revision, base.revision)
    return change(platform, clock, author, base, Edit(changed_documents(base, documents), ()))


def changed_documents(base: Configuration, documents: Sequence[Document]) -> tuple[Document, ...]:
    """Return the documents that differ from those of a configuration."""
    return tuple(one for one in documents if base.documents.get(one.key) != one)


def retry_change(
    platform: Platform, clock: Clock, author: str, edit: Callable[[Configuration], Edit]
) -> ChangeResult:
    """Make a change; compute it again, up to MAX_ATTEMPTS times, if another was accepted first."""
    for attempt in range(MAX_ATTEMPTS):
        base = load(platform, clock)
        try:
            return change(platform, clock, author, base, edit(base))
        except RevisionConflictError:
            if attempt + 1 == MAX_ATTEMPTS:
                raise
    raise AssertionError("unreachable")


def find(configuration: Configuration, kind: str, name: str) -> Document:
    """Return a document.

    Raises:
        DocumentError: The configuration has no document of this kind and name.
    """
    document = configuration.documents.get(f"{kind}/{name}")
    if document is None:
        raise DocumentError(f"there is no {kind} {name!r}", Code.NOT_FOUND)
    return document


def delete(platform: Platform, clock: Clock, author: str, kind: str, name: str) -> ChangeResult:
    """Remove a document."""

    def edit(base: Configuration) -> Edit:
        """Return the edit for a configuration."""
        return Edit((), (find(base, kind, name).key,))

    return retry_change(platform, clock, author, edit)


def label(
    platform: Platform,
    clock: Clock,
    author: str,
    kind: str,
    name: str,
    labels: dict[str, str | None],
) -> ChangeResult:
    """Set labels of a document; a label whose value is None is removed."""

    def edit(base: Configuration) -> Edit:
        """Return the edit for a configuration."""
        document = find(base, kind, name)
        merged = {**document.labels, **labels}
        kept = {key: value for key, value in merged.items() if value is not None}
        return Edit(changed_documents(base, [dataclasses.replace(document, labels=kept)]), ())

    return retry_change(platform, clock, author, edit)


def drain(platform: Platform, clock: Clock, author: str, name: str, draining: bool) -> ChangeResult:
    """Stop or resume sending new work to a backend server."""

    def edit(base: Configuration) -> Edit:
        """Return the edit for a configuration."""
        server = dataclasses.replace(find(base, "server", name), draining=draining)
        return Edit(changed_documents(base, [server]), ())

    return retry_change(platform, clock, author, edit)


def history(platform: Platform, clock: Clock, after: int = 0) -> Iterator[Change]:
    """Yield the accepted changes after a revision, oldest first."""
    log = ChangeLog(platform.table, platform.objects, clock)
    while changes := log.since(after, HISTORY_PAGE):
        yield from changes
        after = changes[-1].revision


def cost(platform: Platform) -> dict[Charge, Amount]:
    """Return the cost of all work that instances have recorded in the platform's table."""
    return read_totals(platform.table)


def instance_status(instance: Instance, token: str) -> InstanceStatus:
    """Fetch the status of an instance; if it does not answer, the result holds the reason."""
    try:
        table = fetch(instance.web, "/ops/status", token)
        return InstanceStatus(instance, table, "")
    except MountladderError as error:
        return InstanceStatus(instance, {}, str(error))


def status(platform: Platform, token: str = "") -> list[InstanceStatus]:
    """Fetch the status of every listed instance."""
    return [instance_status(one, token) for one in platform.instances.instances()]


def wait_in_force(
    platform: Platform, clock: Clock, revision: int, limit_ms: float, token: str = ""
) -> list[InstanceStatus]:
    """Wait until every listed instance that is not leaving uses a revision or a newer one.

    Returns:
        The instances that do not use it after limit_ms.
    """
    until = clock.now() + limit_ms
    while True:
        behind = [
            one
            for one in status(platform, token)
            if not one.instance.leaving and one.revision < revision
        ]
        if not behind or clock.now() >= until:
            return behind
        clock.sleep(POLL_MS)


def explain(platform: Platform, wanted: str, token: str = "") -> dict[str, object]:
    """Return the trace of a request, from the instance that received it.

    Raises:
        DocumentError: The instance is not listed, does not answer or does not know the request.
    """
    for instance in platform.instances.instances():
        if wanted.startswith(instance.incarnation):
            return fetch(instance.web, f"/ops/explain/{wanted}", token)
    raise DocumentError(f"no listed instance knows of request {wanted!r}", Code.NOT_FOUND)


def quarantined(address: str, token: str) -> list[dict[str, object]]:
    """Return the suspects that an instance knows: requests on which servers crashed.

    Args:
        address: The IP number and port of the instance's metrics.
        token: The secret that all instances share.

    Raises:
        DocumentError: The instance does not answer, or refuses the token.
    """
    return fetch(address, "/quarantine", token)["suspects"]


def lift(address: str, token: str, fingerprint: str) -> None:
    """Clear a suspect on all instances.

    Raises:
        DocumentError: The instance does not answer, refuses the token, or knows no such suspect.
    """
    fetch(address, f"/quarantine/{fingerprint}", token, "DELETE")
