# __init__.py -- The other instances, and the messages exchanged with them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The other instances, and the messages exchanged with them."""
