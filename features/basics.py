# basics.py -- A small configuration for scenarios with a fleet, and a function that sends requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0
"""A small configuration for scenarios with a fleet, and a function that sends requests."""

import hashlib

from mountladder.configuration.backendserver import BackendServer

TOKEN = "token"
BASE = f"""
[[model]]
name = "m"
[[team]]
name = "desk"
token_sha256 = "{hashlib.sha256(TOKEN.encode()).hexdigest()}"
[[pipeline]]
name = "reply"
[[pipeline.stage]]
name = "encode"
work = "encode"
model = "m"
selector = "role = small"
[[pipeline.stage]]
name = "generate"
work = "generate"
model = "m"
selector = "role = large"
stream = true
[[pipeline]]
name = "push"
[[pipeline.stage]]
name = "encode"
work = "encode"
model = "m"
selector = "role = small"
[[pipeline.stage]]
name = "push"
work = "call"
idempotent = false
"""


def server(name, role, datacentre="a", serves="engine", accelerator="new", draining=False):
    return BackendServer(
        name, {"role": role}, serves, name, datacentre, accelerator, 1.0, 8, draining, ()
    )


SERVERS = [
    server("small-1", "small"),
    server("small-2", "small", "b"),
    server("large-1", "large"),
    server("large-2", "large", "b", accelerator="old"),
    server("desk-1", "push", serves="service"),
    server("desk-2", "push", "b", serves="service"),
]


def send(context, to, pipeline, label, options):
    input_ = options.pop("input", {"room": 1, "tokens": 8})
    context.tasks[label] = context.fleet.spawn(to, pipeline, TOKEN, input_, **options)
