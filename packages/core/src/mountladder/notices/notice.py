# notice.py -- Types of notices of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Types of notices of backend servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.configuration.backendserver import BackendServer
from mountladder.notices.backoff import BackOff
from mountladder.notices.currentspeed import CurrentSpeed
from mountladder.notices.leaving import Leaving
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit

# Shared notices concern all instances; the others concern only the instance that is answered.
Shared = RateLimit | RejectionLimit | Leaving
Notice = Shared | BackOff | CurrentSpeed
# Called with the server, the notices in its answer, and when the answered request was sent.
NoticeHandler = Callable[[BackendServer, Sequence[Notice], float], None]
