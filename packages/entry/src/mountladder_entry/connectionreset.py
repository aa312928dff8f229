# connectionreset.py -- Resets connections, and tells whether the peer has done so
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Resets connections, and tells whether the peer has done so."""

from __future__ import annotations

import select
import socket as sockets
import struct

from gevent.monkey import get_original

# The poll of gevent would run the event loop.
_poll = get_original("select", "poll")
_NO_LINGER = struct.pack("ii", 1, 0)


def is_reset(socket: sockets.socket) -> bool:
    """Return whether the peer has reset a connection that was not shut down from here.

    A reset behind the end of the stream causes no error of a read. The check takes no error away.
    """
    poller = _poll()
    poller.register(socket.fileno(), 0)
    return any(events & (select.POLLHUP | select.POLLERR) for _, events in poller.poll(0))


def reset_at_close(socket: sockets.socket) -> None:
    """Have a connection reset when it is closed, without what the system still holds.

    Raises:
        OSError: The connection is closed.
    """
    socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, _NO_LINGER)
