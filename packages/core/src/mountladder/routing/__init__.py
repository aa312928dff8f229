# __init__.py -- Which backend server a call is sent to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which backend server a call is sent to."""
