# __init__.py -- Core of mountladder, a serving system for multi-stage model pipelines
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Core of mountladder, a serving system for multi-stage model pipelines."""

__version__ = "0.1.0"
