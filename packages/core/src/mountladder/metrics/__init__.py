# __init__.py -- Counters, gauges and durations
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Counters, gauges and durations."""
