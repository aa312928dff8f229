# network.py -- Interface for opening and accepting links between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface for opening and accepting links between instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import ExitStack

from mountladder.membership.instance import Instance
from mountladder.membership.link import Link


class Network(ABC):
    """Opens links to other instances and accepts links from them."""

    @abstractmethod
    def connect(self, address: str, me: Instance) -> Link:
        """Open a link to an address.

        Raises:
            PeerError: The address cannot be reached.
        """

    @abstractmethod
    def listen(self, me: Instance, serve: Callable[[Link], None], stack: ExitStack) -> None:
        """Accept links to an instance's address until the stack closes.

        Args:
            me: The instance.
            serve: Called with each accepted link, in a greenlet of its own.
            stack: Stops listening when it closes.
        """
