# edit.py -- What a change does
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a change does."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.document import Document


@dataclass(frozen=True, slots=True)
class Edit:
    """What a change does to the configuration.

    Attributes:
        puts: The documents it adds or replaces.
        deletes: The keys of the documents it removes.
    """

    puts: tuple[Document, ...]
    deletes: tuple[str, ...]
