# __init__.py -- The stand-ins of the second review
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Stand-ins of the second review: the platform's store, backend servers, clients, instances."""
