# __init__.py -- Requests that end the servers which run them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Requests that end the servers which run them."""
