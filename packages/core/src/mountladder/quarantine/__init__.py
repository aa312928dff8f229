# __init__.py -- Quarantine of requests that crash the servers which run them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Quarantine of requests that crash the servers which run them."""
