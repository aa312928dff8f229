# __init__.py -- Which requests run, which wait, and how often a call is repeated
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which requests run, which wait, and how often a call is repeated."""
