# versionrules.py -- Restricts the choice of a server to those of one software version
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Restricts the choice of a server to those of one software version."""

from __future__ import annotations

from eliot import log_message

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.softwareversion import running_version, version_of
from mountladder.errors import RefusalError
from mountladder.forwarding.directory import Directory

# When a caller may retry if no server of the version is available, unless all have left: one that
# has crashed may be back by then.
NO_VERSION_RETRY_MS = 1_000.0


def check_version(directory: Directory, service: str, version: str | None) -> None:
    """Check that a service has an available server of a software version.

    Args:
        directory: Lists the backend servers.
        service: The service.
        version: The version, or None if any will do.

    Raises:
        RefusalError: It has none.
    """
    if version is not None and not running_version(directory.available(service), version):
        detail = f"version {version or 'unknown'} of {service}"
        retry_after_ms = None if directory.has_left(service, version) else NO_VERSION_RETRY_MS
        raise RefusalError(detail, Code.VERSION_UNAVAILABLE, retry_after_ms=retry_after_ms)


def suitable_backup(backup: BackendServer | None, server: BackendServer) -> BackendServer | None:
    """Return the server that keeps a copy if it can continue a run of another one, or None.

    A coordinator of an older build chooses it without regard to versions.
    """
    if backup is None or version_of(backup) == version_of(server):
        return backup
    log_message("backup-version-differs", server=server.name, backup=backup.name)
    return None
