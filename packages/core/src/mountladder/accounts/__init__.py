# __init__.py -- Cost accounting
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Cost accounting."""
