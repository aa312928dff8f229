# __init__.py -- The entry instance: its process and HTTP interfaces
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The entry instance: its process and HTTP interfaces."""
