# platform.py -- Bundle of the interfaces to the platform's services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Bundle of the interfaces to the platform's services."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.instancelist import InstanceList
from mountladder.store.objectstore import ObjectStore
from mountladder.store.table import Table


@dataclass(frozen=True, slots=True)
class Platform:
    """The interfaces through which a process reaches the platform's services.

    Attributes:
        table: The transactional table service.
        objects: The object store.
        instances: The list of entry instances.
    """

    table: Table
    objects: ObjectStore
    instances: InstanceList
