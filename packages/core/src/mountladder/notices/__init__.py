# __init__.py -- Notices that backend servers give about themselves in their answers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Notices that backend servers give about themselves in their answers."""
