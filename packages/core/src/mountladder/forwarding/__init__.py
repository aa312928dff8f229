# __init__.py -- Requests forwarded whole to the services of a catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Requests forwarded whole to the services of a catalogue, with their stages made before."""
