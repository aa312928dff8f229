# __init__.py -- Forwarding of whole requests to services, after their stages have run
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Forwards whole requests to the services of a catalogue, after running their stages."""
