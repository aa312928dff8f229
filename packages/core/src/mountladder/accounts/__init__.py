# __init__.py -- What work costs, and whom
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What work costs, and whom."""
