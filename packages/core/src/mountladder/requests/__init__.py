# __init__.py -- The way of a request through an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The way of a request through an instance."""
