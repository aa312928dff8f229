# __init__.py -- Forwards whole requests to services, after running their stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Forwards whole requests to services, after running their stages."""
