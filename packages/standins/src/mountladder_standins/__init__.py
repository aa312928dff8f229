# __init__.py -- Small stand-ins of the platform and of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Small stand-ins of the platform and of backend servers."""
