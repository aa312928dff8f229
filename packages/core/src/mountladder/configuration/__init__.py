# __init__.py -- What operators write, and how an instance follows it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What operators write, and how an instance follows it."""
