# porcelain.py -- Everything an operator does, as functions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Everything an operator does, as functions."""

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
from mountladder_cli.applied import Applied
from mountladder_cli.calls import fetch, issue_keys, request
from mountladder_cli.edit import Edit
from mountladder_cli.standing import Standing

__all__ = [
    "amend", "apply", "change", "cost", "delete", "differing", "drain", "explain", "fetch",
    "find", "history", "issue_keys", "label", "lift", "load", "quarantined", "request",
    "standing", "status", "wait_in_force",
]  # fmt: skip
TRIES = 5
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
) -> Applied:
    """Make one change against a configuration, whole or not at all.

    Raises:
        ExceptionGroup: Of an error for each reference that would not hold.
        RevisionConflictError: Another change was accepted first.
        StoreUnavailableError: Nothing was written.
        StoreAmbiguousError: It could not be settled whether the change was accepted.
    """
    if not edit.puts and not edit.deletes:
        return Applied(base.revision, (), ())
    operation = uuid.uuid4().hex
    tried = Change(base.revision + 1, operation, author, 0.0, edit.puts, edit.deletes)
    warnings = check(base.after(tried))
    log = ChangeLog(platform.table, platform.objects, clock)
    made = log.append(base, operation, author, edit.puts, edit.deletes)
    keys = tuple(document.key for document in edit.puts) + edit.deletes
    return Applied(made.revision, keys, tuple(warnings))


def apply(
    platform: Platform,
    clock: Clock,
    author: str,
    documents: Sequence[Document],
    revision: int | None = None,
) -> Applied:
    """Add or replace documents; those that are as they stand already are left out.

    Args:
        platform: The platform.
        clock: The clock.
        author: Who makes the change.
        documents: The documents.
        revision: The revision it is made against, or None for the newest.

    Raises:
        RevisionConflictError: The newest revision is another one.
    """
    base = load(platform, clock)
    if revision is not None and revision != base.revision:
        raise RevisionConflictError(revision, base.revision)
    return change(platform, clock, author, base, Edit(differing(base, documents), ()))


def differing(base: Configuration, documents: Sequence[Document]) -> tuple[Document, ...]:
    """Return the documents that differ from what stands."""
    return tuple(one for one in documents if base.documents.get(one.key) != one)


def amend(
    platform: Platform, clock: Clock, author: str, edit: Callable[[Configuration], Edit]
) -> Applied:
    """Make a change that is worked out anew where another one was accepted first."""
    for attempt in range(TRIES):
        base = load(platform, clock)
        try:
            return change(platform, clock, author, base, edit(base))
        except RevisionConflictError:
            if attempt + 1 == TRIES:
                raise
    raise AssertionError("unreachable")


def find(configuration: Configuration, kind: str, name: str) -> Document:
    """Return a document.

    Raises:
        DocumentError: There is none of this kind and name.
    """
    document = configuration.documents.get(f"{kind}/{name}")
    if document is None:
        raise DocumentError(f"there is no {kind} {name!r}", Code.NOT_FOUND)
    return document


def delete(platform: Platform, clock: Clock, author: str, kind: str, name: str) -> Applied:
    """Remove a document."""

    def edit(base: Configuration) -> Edit:
        """Work the change out."""
        return Edit((), (find(base, kind, name).key,))

    return amend(platform, clock, author, edit)


def label(
    platform: Platform,
    clock: Clock,
    author: str,
    kind: str,
    name: str,
    labels: dict[str, str | None],
) -> Applied:
    """Set labels of a document; a label whose value is None is removed."""

    def edit(base: Configuration) -> Edit:
        """Work the change out."""
        document = find(base, kind, name)
        merged = {**document.labels, **labels}
        kept = {key: value for key, value in merged.items() if value is not None}
        return Edit(differing(base, [dataclasses.replace(document, labels=kept)]), ())

    return amend(platform, clock, author, edit)


def drain(platform: Platform, clock: Clock, author: str, name: str, draining: bool) -> Applied:
    """Stop or resume sending new work to a backend server."""

    def edit(base: Configuration) -> Edit:
        """Work the change out."""
        server = dataclasses.replace(find(base, "server", name), draining=draining)
        return Edit(differing(base, [server]), ())

    return amend(platform, clock, author, edit)


def history(platform: Platform, clock: Clock, after: int = 0) -> Iterator[Change]:
    """Yield the accepted changes after a revision, oldest first."""
    log = ChangeLog(platform.table, platform.objects, clock)
    while changes := log.since(after, HISTORY_PAGE):
        yield from changes
        after = changes[-1].revision


def cost(platform: Platform) -> dict[Charge, Amount]:
    """Return the cost of all work so far, as far as instances have sent it."""
    return read_totals(platform.table)


def standing(instance: Instance, token: str) -> Standing:
    """Ask an instance how it stands; one that does not answer is shown with the reason."""
    try:
        table = fetch(instance.web, "/ops/status", token)
        return Standing(instance, table, "")
    except MountladderError as error:
        return Standing(instance, {}, str(error))


def status(platform: Platform, token: str = "") -> list[Standing]:
    """Ask every listed instance how it stands."""
    return [standing(one, token) for one in platform.instances.instances()]


def wait_in_force(
    platform: Platform, clock: Clock, revision: int, limit_ms: float, token: str = ""
) -> list[Standing]:
    """Wait until every listed instance that stays has a revision in force.

    Returns:
        The instances that do not have it when the time is over.
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
    """Return what happened to a request, from whichever instance took it.

    Raises:
        DocumentError: No reachable instance knows of it.
    """
    for instance in platform.instances.instances():
        if wanted.startswith(instance.incarnation):
            return fetch(instance.web, f"/ops/explain/{wanted}", token)
    raise DocumentError(f"no listed instance knows of request {wanted!r}", Code.NOT_FOUND)


def quarantined(address: str, token: str) -> list[dict[str, object]]:
    """Return the requests under which servers ended, as an instance knows them.

    Args:
        address: The IP number and port of the instance's metrics.
        token: The key that all instances share.

    Raises:
        DocumentError: The instance does not answer, or refuses.
    """
    return fetch(address, "/quarantine", token)["suspects"]


def lift(address: str, token: str, fingerprint: str) -> None:
    """Clear a request under which servers ended, on all instances.

    Raises:
        DocumentError: The instance does not answer, refuses, or knows nothing against it.
    """
    fetch(address, f"/quarantine/{fingerprint}", token, "DELETE")
