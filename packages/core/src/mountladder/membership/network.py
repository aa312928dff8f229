# network.py -- How instances reach each other
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How instances reach each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import ExitStack

from mountladder.membership.instance import Instance
from mountladder.membership.link import Link


class Network(ABC):
    """Opens links to other instances and takes in theirs."""

    @abstractmethod
    def connect(self, address: str, me: Instance) -> Link:
        """Open a link to an address.

        Raises:
            PeerError: The address cannot be reached.
        """

    @abstractmethod
    def listen(self, me: Instance, serve: Callable[[Link], None], stack: ExitStack) -> None:
        """Serve every link that is opened to an instance's address until the stack closes."""
