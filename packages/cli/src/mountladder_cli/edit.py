# edit.py -- The documents that a change puts and deletes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The documents that a change puts and deletes."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.document import Document


@dataclass(frozen=True, slots=True)
class Edit:
    """The documents that a change puts into and deletes from the configuration.

    Attributes:
        puts: The documents it adds or replaces.
        deletes: The keys of the documents it removes.
    """

    puts: tuple[Document, ...]
    deletes: tuple[str, ...]
