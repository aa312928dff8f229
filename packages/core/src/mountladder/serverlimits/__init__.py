# __init__.py -- How much backend servers say that they take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How much backend servers say that they take."""
