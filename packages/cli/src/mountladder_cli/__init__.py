# __init__.py -- The operator's command of mountladder
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The operator's command of mountladder."""
