# __init__.py -- Stand-ins of the platform and of backend servers, for tests and trials
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Stand-ins of the platform and of backend servers, for tests and trials."""
