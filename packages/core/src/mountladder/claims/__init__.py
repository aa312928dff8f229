# __init__.py -- Idempotency keys, each of which runs its request at most once
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Idempotency keys, each of which runs its request at most once."""
