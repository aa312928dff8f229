# __init__.py -- Idempotency keys: at most one run for each
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Idempotency keys: at most one run for each."""
