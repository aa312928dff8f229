# __init__.py -- Streams that cannot be repeated continue from copies of their cache
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Streams that cannot be repeated continue from copies of their cache."""
