# application.py -- The WSGI application of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The WSGI application of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import bottle
from eliot import write_traceback

from mountladder.code import Code
from mountladder.errors import RunError
from mountladder.requests.gateway import problem

if TYPE_CHECKING:
    from mountladder_entry.node import Node


def make_application(node: Node) -> bottle.Bottle:
    """Return the application with the callers' and the operators' routes."""
    from mountladder_entry import callers, operators

    app = bottle.Bottle()
    app.catchall = True
    app.default_error_handler = _error_document
    callers.install(app, node)
    operators.install(app, node)
    return app


def _error_document(error: bottle.HTTPError) -> bytes:
    """Return a problem document for an error of Bottle or of a route's handler."""
    code = Code.INTERNAL
    if error.status_code in {404, 405}:
        code = Code.NOT_FOUND
    elif error.status_code < 500:
        code = Code.BAD_REQUEST
    elif error.exception is not None:
        write_traceback(exc_info=(type(error.exception), error.exception, None))
    bottle.response.status = code.status
    bottle.response.content_type = "application/problem+json"
    return problem(RunError(str(error.body), code), None)
