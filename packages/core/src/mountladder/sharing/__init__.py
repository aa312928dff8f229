# __init__.py -- Order of the pieces that compete for the servers of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Order of the pieces that compete for the servers of a stage service."""
