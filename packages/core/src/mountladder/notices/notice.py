# notice.py -- What an answer says of its backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an answer says of its backend server."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.configuration.backendserver import BackendServer
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rest import Rest

# What concerns all instances, and what concerns the one that is answered only.
Shared = RateLimit | Leaving
Notice = Shared | Rest
# Takes the server, what its answer says of it, and when the request was sent that is answered.
Heard = Callable[[BackendServer, Sequence[Notice], float], None]
