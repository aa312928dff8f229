# listening.py -- Serving stand-ins on sockets
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Serving stand-ins on sockets."""

from __future__ import annotations

from contextlib import ExitStack

import bottle
from gevent import socket
from gevent.pywsgi import WSGIServer

from mountladder.membership.listener import listening_socket


def listen(app: bottle.Bottle, address: str, stack: ExitStack) -> str:
    """Serve an application until the stack closes it; return its IP number and port.

    Args:
        app: The application.
        address: The IP number and port; port 0 takes any free one.
        stack: What owns the server.
    """
    server = WSGIServer(listening_socket(address), app, log=None, error_log=None)
    server.start()
    stack.callback(server.stop, 0.1)
    return f"{server.server_host}:{server.server_port}"


def free_address() -> str:
    """Return a loopback address whose port is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"
