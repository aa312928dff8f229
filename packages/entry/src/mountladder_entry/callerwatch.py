# callerwatch.py -- Detects that a caller closes its connection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Detects that a caller closes its connection."""

from __future__ import annotations

import socket as sockets
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent

from mountladder_entry.callergone import CallerGoneError

READABLE = 1


@contextmanager
def caller_watch(socket: sockets.socket) -> Iterator[Callable[[], None]]:
    """Raise CallerGoneError in the calling greenlet when the caller closes its connection.

    Bytes of a further request stop the watch: they hide a later close from peeking at the socket.
    The block gets a function that raises the error soon, for a connection that is ended from here.

    Args:
        socket: The caller's connection, from which nothing else reads meanwhile.
    """
    task = gevent.getcurrent()
    loop = gevent.get_hub().loop
    watcher = loop.io(socket.fileno(), READABLE)
    active = True

    def throw() -> None:
        """Raise the error in the greenlet if the block still runs."""
        nonlocal active
        if active:
            active = False
            task.throw(CallerGoneError())

    def on_readable() -> None:
        """Check whether the socket became readable because the caller closed it."""
        watcher.stop()
        if _is_closed(socket):
            loop.run_callback(throw)

    watcher.start(on_readable)
    try:
        yield lambda: loop.run_callback(throw)
    finally:
        active = False
        watcher.stop()
        watcher.close()


def _is_closed(socket: sockets.socket) -> bool:
    try:
        return not socket._sock.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
