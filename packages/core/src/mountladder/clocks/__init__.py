# __init__.py -- Clocks and timers, in milliseconds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Clocks and timers, in milliseconds."""
