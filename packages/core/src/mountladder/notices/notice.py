# notice.py -- Types of notices of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Types of notices of backend servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.configuration.backendserver import BackendServer
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rest import Rest

# Shared notices concern all instances; the others concern only the instance that is answered.
Shared = RateLimit | Leaving
Notice = Shared | Rest
# Called with the server, the notices in its answer, and when the answered request was sent.
Heard = Callable[[BackendServer, Sequence[Notice], float], None]
