# __init__.py -- Time in milliseconds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Time in milliseconds."""
