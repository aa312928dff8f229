# __init__.py -- Command line for operators of mountladder
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Command line for operators of mountladder."""
