# instancelist.py -- The platform's lagging list of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's lagging list of instances."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.membership.instance import Instance


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which lags."""

    @abstractmethod
    def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the platform believes to be there.

        Raises:
            StoreUnavailableError: The list cannot be reached.
        """

    @abstractmethod
    def announce(self, instance: Instance) -> None:
        """Tell the platform of an instance; a leaving one is dropped after a while.

        Raises:
            StoreUnavailableError: The list cannot be reached.
        """
