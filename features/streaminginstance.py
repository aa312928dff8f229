# streaminginstance.py -- A process that serves callers one short stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A process that serves callers one short stream, for scenarios that kill it.

It prints the port at which it listens. Its argument says what follows the events.
"""

import sys

from gevent import monkey

monkey.patch_all()

import gevent
from gevent.pywsgi import WSGIServer
from mountladder_platform.ingress import Ingress

from mountladder.clocks.systemclock import SystemClock
from mountladder.code import Code
from mountladder.errors import RunError
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog

LIMITS = CallerLimits(2_000, 1_000, 2_000.0, 4_000.0)
LASTS_S = 30.0
# The caller reads the events before the answer ends or breaks off.
PAUSE_S = 0.1


class StreamingForwarder:
    """Answers each request with three events.

    Args:
        then: What follows them: the answer ends, breaks off or goes on.
    """

    def __init__(self, then: str) -> None:
        self.then = then

    def serve(self, request):
        """Return the stream."""
        return ForwardAnswer(200, (("Mountladder-Server-Stamp", "s"),), self.events())

    def events(self):
        """Yield the events."""
        for number in range(1, 4):
            yield b"id: %d\ndata: 1\n\n" % number
        gevent.sleep(LASTS_S if self.then == "goes on" else PAUSE_S)
        if self.then == "breaks off":
            raise RunError("", Code.STREAM_CUT)


def main() -> None:
    """Serve until the process is killed."""
    handler = type("Handler", (CallerConnection,), {"limits": staticmethod(lambda: LIMITS)})
    application = Ingress(StreamingForwarder(sys.argv[1]), lambda: LIMITS, SystemClock())
    server = WSGIServer(
        ("127.0.0.1", 0), application, log=None, error_log=WebErrorLog(), handler_class=handler
    )
    server.start()
    print(server.server_port, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
