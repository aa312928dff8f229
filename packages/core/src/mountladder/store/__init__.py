# __init__.py -- The platform's services, as interfaces with in-memory twins
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's services, as interfaces with in-memory twins."""
