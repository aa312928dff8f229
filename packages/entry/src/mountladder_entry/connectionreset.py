# connectionreset.py -- Tells whether the peer has reset a connection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells whether the peer has reset a connection."""

from __future__ import annotations

import select
import socket as sockets

from gevent.monkey import get_original

# The poll of gevent would run the event loop.
_poll = get_original("select", "poll")


def is_reset(socket: sockets.socket) -> bool:
    """Return whether the peer has reset a connection that was not shut down from here.

    A reset behind the end of the stream causes no error of a read. The check takes no error away.
    """
    poller = _poll()
    poller.register(socket.fileno(), 0)
    return any(events & (select.POLLHUP | select.POLLERR) for _, events in poller.poll(0))
