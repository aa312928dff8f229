# platform.py -- The platform's services, as given to one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's services, as given to one process."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.instancelist import InstanceList
from mountladder.store.objectstore import ObjectStore
from mountladder.store.table import Table


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's services, by their interfaces.

    Attributes:
        table: The transactional table service.
        objects: The object store.
        instances: The list of entry instances.
    """

    table: Table
    objects: ObjectStore
    instances: InstanceList
