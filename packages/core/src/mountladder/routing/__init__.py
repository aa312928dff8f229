# __init__.py -- Chooses the backend server for each call
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses the backend server for each call."""
