# listening.py -- HTTP servers for stand-ins
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""HTTP servers for stand-ins."""

from __future__ import annotations

from contextlib import ExitStack

import bottle
from gevent import socket
from gevent.pywsgi import WSGIServer

from mountladder.membership.listener import listening_socket


def listen(app: bottle.Bottle, address: str, stack: ExitStack) -> str:
    """Serve an application until a stack is closed; return its IP number and port.

    Args:
        app: The application.
        address: The IP number and port; port 0 chooses any free one.
        stack: The stack that stops the server when it is closed.
    """
    server = WSGIServer(listening_socket(address), app, log=None, error_log=None)
    server.start()
    stack.callback(server.stop, 0.1)
    return f"{server.server_host}:{server.server_port}"


def free_address() -> str:
    """Return a loopback address with a port that is free now; another process may take it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"
