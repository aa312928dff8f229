# __init__.py -- Instances that have lost their connections to the backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Instances that have lost their connections to the backend servers."""
