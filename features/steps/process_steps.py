# process_steps.py -- Steps that start, signal and stop processes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that start, signal and stop processes."""

import dataclasses
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import gevent
import urllib3
from basics import BASE, SERVERS, TOKEN
from behave import given, then, when

from mountladder_standins.listening import free_address

BIN = Path(sys.executable).parent
TIMEOUT_S = 20.0
POOL = urllib3.PoolManager(maxsize=16, retries=False)
SETTINGS = """
name = "{name}"
datacentre = "{datacentre}"
web = "{web}"
peer = "{peer}"
platform = "{platform}"
secret = "a secret for tests only"
heartbeat_ms = 100
poll_ms = 100
"""
BAD_SETTINGS = 'name = 1\ndatacentre = ""\nweb = "x"\npeer = "y"\nplatform = "z"\nsecret = "s"\n'


def toml(document):
    lines = [f"[[{document.kind}]]"]
    for key, value in document.table().items():
        if isinstance(value, dict):
            inner = ", ".join(f'{name} = "{one}"' for name, one in value.items())
            lines.append(f"{key} = {{ {inner} }}")
        else:
            encoded = list(value) if isinstance(value, tuple) else value
            lines.append(f"{key} = {json.dumps(encoded)}")
    return "\n".join(lines) + "\n"


def start(context, name, *arguments):
    log = context.stack.enter_context((context.folder / f"{name}.log").open("ab"))
    process = subprocess.Popen([str(BIN / arguments[0]), *arguments[1:]], stdout=log, stderr=log)
    context.stack.callback(stop, process)
    context.processes[name] = process
    return process


def stop(process):
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()


def start_instance(context, name):
    start(context, name, "mountladderd", str(context.folder / f"{name}.toml"))


def wait_until(holds):
    with gevent.Timeout(TIMEOUT_S):
        while not holds():
            gevent.sleep(0.05)


def call(method, url, **more):
    try:
        return POOL.request(method, url, timeout=TIMEOUT_S, **more)
    except urllib3.exceptions.HTTPError:
        return None


def is_ready(context, name):
    response = call("GET", f"http://{context.web[name]}/readyz")
    return response is not None and response.status == 200


@given("the platform, the backend servers and instances a-1 and b-1 as processes")
def begin(context):
    context.folder = Path(context.stack.enter_context(TemporaryDirectory()))
    context.processes = {}
    context.platform = f"http://{free_address()}"
    servers = [dataclasses.replace(one, address=free_address()) for one in SERVERS]
    context.servers = {one.name: one.address for one in servers}
    path = context.folder / "fleet.toml"
    path.write_text(BASE + "".join(map(toml, servers)))
    listen = context.platform.removeprefix("http://")
    start(context, "platform", "mountladder", "standin", "platform", "--listen", listen)
    start(context, "servers", "mountladder", "standin", "servers", "-f", str(path))
    context.web = {"a-1": free_address(), "b-1": free_address()}
    peers = [free_address(), free_address()]
    for (name, web), peer in zip(context.web.items(), peers):
        text = SETTINGS.format(
            name=name, datacentre=name[0], web=web, peer=peer, platform=context.platform
        )
        (context.folder / f"{name}.toml").write_text(text + f"seeds = {json.dumps(peers)}\n")
        start_instance(context, name)
    wait_until(lambda: call("GET", f"{context.platform}/counts") is not None)
    operate(context, "apply", "-f", str(path))
    wait_until(lambda: all(revision(context, name) >= 1 for name in context.web))
    wait_until(lambda: all(is_ready(context, name) for name in context.web))
    wait_until(lambda: all(stage_runs(context, name) is not None for name in context.servers))


def operate(context, *arguments):
    command = [str(BIN / "mountladder"), "--platform", context.platform, *arguments]
    subprocess.run(command, check=True, capture_output=True, timeout=TIMEOUT_S)


def revision(context, name):
    response = call("GET", f"http://{context.web[name]}/ops/status")
    return -1 if response is None else json.loads(response.data)["revision"]


def stage_runs(context, name):
    response = call("GET", f"http://{context.servers[name]}/ran")
    return None if response is None else json.loads(response.data)["ran"]


@given("the servers are {ms:d} ms slower")
def slower(context, ms):
    for name in ("desk-1", "desk-2"):
        call("PUT", f"http://{context.servers[name]}/faults", body=json.dumps({"slow_ms": ms}))


def send(context, name, pipeline, key=""):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    if key:
        headers["Idempotency-Key"] = key
    url = f"http://{context.web[name]}/v1/pipelines/{pipeline}"
    response = call("POST", url, headers=headers, body='{"input": {"tokens": 4}}')
    return None if response is None else json.loads(response.data)


def push_runs(context):
    both = (stage_runs(context, "desk-1"), stage_runs(context, "desk-2"))
    return [one for rows in both for one in rows if one["work"] == "push"]


@when('a push with key "{key}" is sent to process a-1 and a-1 is killed while it runs')
def kill_during(context, key):
    task = gevent.spawn(send, context, "a-1", "push", key)
    wait_until(lambda: push_runs(context))
    context.processes["a-1"].kill()
    task.join()
    assert task.value is None


@then('a repeat with key "{key}" at b-1 is not run and has an unknown outcome')
def repeat_unknown(context, key):
    assert send(context, "b-1", "push", key)["class"] == "unknown"


@then('the stand-ins ran "push" {times:d} time')
def ran_times(context, times):
    assert len(push_runs(context)) == times


@when("process {name} is paused")
def pause(context, name):
    context.processes[name].send_signal(signal.SIGSTOP)


@when("process {name} continues")
def resume(context, name):
    context.processes[name].send_signal(signal.SIGCONT)


@when("the command line drains {name}")
def drain(context, name):
    operate(context, "drain", name)


@then("{name} has revision {number:d} in force eventually")
def in_force(context, name, number):
    wait_until(lambda: revision(context, name) == number)


@when("both processes are restarted one after the other under load")
def restart_all(context):
    context.answers = []
    context.statuses = []
    running = True

    def load():
        while running:
            ready = [name for name in context.web if is_ready(context, name)]
            if ready:
                context.answers.append(send(context, ready[0], "reply"))

    tasks = [gevent.spawn(load) for _ in range(4)]
    wait_until(lambda: len(context.answers) >= 10)
    for name in context.web:
        process = context.processes[name]
        process.terminate()
        wait_until(lambda one=process: one.poll() is not None)
        context.statuses.append(process.returncode)
        start_instance(context, name)
        wait_until(lambda one=name: is_ready(context, one))
    before = len(context.answers)
    wait_until(lambda: len(context.answers) >= before + 20)
    running = False
    gevent.joinall(tasks)


@then("every request was answered completely or refused as not run")
def no_outcome_unknown(context):
    classes = {answer and answer["class"] for answer in context.answers}
    assert classes <= {"done", "not_run", None}, classes
    refused_at_once = [answer for answer in context.answers if answer is None]
    assert len(refused_at_once) <= 8, len(refused_at_once)


@then("at least {number:d} requests were answered completely")
def answered(context, number):
    assert sum(bool(one) and one["class"] == "done" for one in context.answers) >= number


@then("no process cut a request")
def no_cut(context):
    assert context.statuses == [0, 0], context.statuses


@when("mountladderd is started with bad settings")
def bad_settings(context):
    path = context.folder / "bad.toml"
    path.write_text(BAD_SETTINGS)
    command = [str(BIN / "mountladderd"), str(path)]
    context.ended = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


@then("it exits with status {status:d} and reports {code:d} for {number:d} errors")
def ended(context, status, code, number):
    assert context.ended.returncode == status, context.ended
    assert context.ended.stderr.count(str(code)) == number, context.ended.stderr


@when("an instance behind an adapter loads its first module")
def first_module(context):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    # Stands for the first module that is not part of Python, and ends the process.
    lines = ["import signal", "print(signal.getsignal(signal.SIGHUP).name)", "raise SystemExit"]
    (folder / "gevent.py").write_text("\n".join(lines))
    command = [sys.executable, "-m", "mountladder_entry.main", "--adapter", "an.adapter"]
    environment = os.environ | {"PYTHONPATH": str(folder)}
    done = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    context.handling = done.stdout.strip()


@then("SIGHUP is ignored there")
def hup_ignored(context):
    assert context.handling == signal.SIG_IGN.name, context.handling
