#!/bin/sh
# build.sh -- Install all packages that an instance imports under target/deps
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
# What the installed packages were built for: native modules load only on this kind of machine and
# under this version of Python, also where the folder was copied from elsewhere.
stamp=target/built-for
wanted=$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("EXT_SUFFIX"))' &&
    cat deploy/requirements.lock)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    # Without the stamp, a build that is interrupted from here on is begun again.
    rm -rf "$deps" "$stamp" target/requirements.lock
    mkdir -p "$deps"
    python3 -m pip install --quiet --require-hashes --target "$deps" -r deploy/requirements.lock
    # gevent searches these for plugins at each start, and there are none.
    rm -rf "$deps"/*.dist-info
    printf '%s\n' "$wanted" >"$stamp"
fi
rm -rf "$deps/mountladder" "$deps/mountladder_entry" "$deps/mountladder_platform"
cp -R packages/core/src/mountladder packages/entry/src/mountladder_entry \
    platform/src/mountladder_platform "$deps"
# Instances cannot write there: without this, each start would compile the packages again. The
# compiled files are valid whatever the times of the sources, which a copy of target/deps may change.
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$deps"
