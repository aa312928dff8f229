# deploybuild_steps.py -- Steps about the build of the deploy file
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the build of the deploy file."""

import os
import shutil
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
TIMES = {"once": 1, "twice": 2, "three times": 3}
# Stands in for an interpreter: it names itself, and installs one native module of its kind.
PYTHON = """#!/bin/sh
case "$1 $2" in
"-c import"*) echo ".$KIND.so" ;;
"-m pip")
    echo "$KIND" >>installed
    mkdir -p target/deps
    echo "$KIND" >target/deps/native.so
    [ -z "$INTERRUPTED" ]
    ;;
"-m compileall") ;;
*) exit 64 ;;
esac
"""


def build(context, kind, interrupted=""):
    """Run the build under a stand-in for an interpreter, and return its exit status."""
    environment = {
        "PATH": f"{context.checkout}/bin:{os.environ['PATH']}",
        "KIND": kind,
        "INTERRUPTED": interrupted,
    }
    command = ["sh", "deploy/build.sh"]
    return subprocess.run(command, cwd=context.checkout, env=environment).returncode


def make_checkout(context):
    """Copy what the build reads to a folder of its own."""
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.checkout = Path(folder)
    for name in ("deploy", "packages/core/src", "packages/entry/src", "platform/src"):
        shutil.copytree(ROOT / name, context.checkout / name)
    python = context.checkout / "bin" / "python3"
    python.parent.mkdir()
    python.write_text(PYTHON)
    python.chmod(0o755)


@given("a checkout that was built for {kind}")
def built_checkout(context, kind):
    make_checkout(context)
    assert build(context, kind) == 0


@given("a checkout with packages for {kind} and the present lock file")
def unnamed_build(context, kind):
    make_checkout(context)
    native = context.checkout / "target" / "deps" / "native.so"
    native.parent.mkdir(parents=True)
    native.write_text(f"{kind}\n")
    lock = context.checkout / "deploy" / "requirements.lock"
    shutil.copy(lock, context.checkout / "target" / "requirements.lock")


@given("its build for {kind} was interrupted")
def interrupted_build(context, kind):
    assert build(context, kind, interrupted="1") != 0


@when("it is built for {kind}")
def build_for(context, kind):
    assert build(context, kind) == 0


@then("the native modules are those of {kind}")
def native_modules(context, kind):
    assert (context.checkout / "target/deps/native.so").read_text().strip() == kind


@then("the packages were installed {times}")
def installed(context, times):
    lines = (context.checkout / "installed").read_text().splitlines()
    assert len(lines) == TIMES[times], lines
