# notready.py -- When callers may retry at an instance that has no current catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""When callers may retry at an instance that has no current catalogue."""

from __future__ import annotations

NOT_READY_RETRY_MS = 500.0
