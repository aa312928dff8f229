# instancelist.py -- Interface to the platform's list of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface to the platform's list of instances."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.membership.instance import Instance


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which shows changes with a delay."""

    @abstractmethod
    def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the platform lists at present.

        Raises:
            StoreUnavailableError: The list cannot be reached.
        """

    @abstractmethod
    def announce(self, instance: Instance) -> None:
        """Announce an instance to the platform; a leaving one is dropped after a while.

        Raises:
            StoreUnavailableError: The list cannot be reached.
        """
