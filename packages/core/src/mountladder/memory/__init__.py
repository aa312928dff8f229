# __init__.py -- How many bytes an instance holds for others
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many bytes an instance holds for others."""
