# __init__.py -- Demand for stage services by data centre, and where it is served
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Demand for stage services by data centre, and where it is served."""
