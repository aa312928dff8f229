# __init__.py -- Streams that continue at the software version that began them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Streams that continue at the software version that began them."""
