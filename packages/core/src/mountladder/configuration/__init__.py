# __init__.py -- The operators' configuration and an instance's settings
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The operators' configuration and an instance's settings."""
