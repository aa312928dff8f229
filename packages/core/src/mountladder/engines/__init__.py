# __init__.py -- Orders to model engines about the models that they serve
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Orders to model engines about the models that they serve."""
