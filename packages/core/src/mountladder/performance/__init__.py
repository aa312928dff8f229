# __init__.py -- How fast each backend server is, as observed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How fast each backend server is, as observed."""
