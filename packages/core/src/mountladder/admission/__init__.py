# __init__.py -- Which requests are admitted, and when refused ones may be retried
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which requests are admitted, and when refused ones may be retried."""
