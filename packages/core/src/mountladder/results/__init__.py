# __init__.py -- Memory that stage results take up at their servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Memory that stage results take up at their servers."""
