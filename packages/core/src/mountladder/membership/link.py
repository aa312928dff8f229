# link.py -- A connection between two instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A connection between two instances."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.membership.instance import Instance
from mountladder.membership.wire import Message


class Link(ABC):
    """A connection that carries messages between two instances.

    Attributes:
        peer: The instance at the other end, once the handshake is done.
        received_at: When a message last arrived over it, in the clock's milliseconds.
    """

    def __init__(self) -> None:
        self.peer: Instance | None = None
        self.received_at = float("-inf")

    @abstractmethod
    def handshake(self) -> Instance:
        """Exchange hello messages and return the instance at the other end.

        Raises:
            PeerError: The peer speaks another protocol version or does not have the key.
        """

    @abstractmethod
    def send(self, message: Message) -> int:
        """Send a message and return its size in bytes.

        Raises:
            PeerError: The connection is broken.
        """

    @abstractmethod
    def receive(self) -> Message:
        """Return the next message.

        Raises:
            PeerError: The connection is broken or the message fails authentication.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""
