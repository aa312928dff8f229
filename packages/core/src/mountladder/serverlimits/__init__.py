# __init__.py -- Rate limits that backend servers announce
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Rate limits that backend servers announce."""
