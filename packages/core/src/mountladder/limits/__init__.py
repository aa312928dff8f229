# __init__.py -- Admission control and retry budgets
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Admission control and retry budgets."""
