# __init__.py -- What backend servers say of themselves in their answers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What backend servers say of themselves in their answers."""
