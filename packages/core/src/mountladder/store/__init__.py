# __init__.py -- Interfaces to the platform's services, with in-memory implementations
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interfaces to the platform's services, with in-memory implementations."""
