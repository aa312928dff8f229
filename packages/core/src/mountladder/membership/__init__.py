# __init__.py -- Membership of the fleet, and the messages between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Membership of the fleet, and the messages between instances."""
