# faultyinstancelist.py -- A list of instances with injected faults
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A list of instances with injected faults."""

from __future__ import annotations

from mountladder.errors import StoreUnavailableError
from mountladder.membership.instance import Instance
from mountladder.store.instancelist import InstanceList
from mountladder_standins.faults import Faults


class FaultyInstanceList(InstanceList):
    """Forwards calls to another list and injects the faults that are set."""

    def __init__(self, inner: InstanceList) -> None:
        self.inner = inner
        self.faults = Faults()

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances; see InstanceList."""
        self.apply_faults()
        return self.inner.instances()

    def announce(self, instance: Instance) -> None:
        """Record an announcement; see InstanceList."""
        self.apply_faults()
        self.inner.announce(instance)

    def apply_faults(self) -> None:
        """Raise an error if the list is down."""
        if self.faults.down:
            raise StoreUnavailableError("the list of instances is down")
