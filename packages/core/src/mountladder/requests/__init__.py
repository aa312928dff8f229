# __init__.py -- Processing of pipeline requests on an entry instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Processing of pipeline requests on an entry instance."""
