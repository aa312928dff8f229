#!/bin/sh
# build.sh -- Put everything that an instance imports under target/deps
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.lock target/requirements.lock; then
    rm -rf "$deps"
    python3 -m pip install --quiet --require-hashes --target "$deps" -r deploy/requirements.lock
    # gevent looks through all of these at each start, for plugins that there are none of.
    rm -rf "$deps"/*.dist-info
    cp deploy/requirements.lock target/requirements.lock
fi
rm -rf "$deps/mountladder" "$deps/mountladder_entry" "$deps/mountladder_platform"
cp -R packages/core/src/mountladder packages/entry/src/mountladder_entry \
    platform/src/mountladder_platform "$deps"
# Processes cannot write there, so that without this each start would compile the packages again.
python3 -m compileall -q "$deps/mountladder" "$deps/mountladder_entry" "$deps/mountladder_platform"
