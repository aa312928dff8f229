# partload.py -- Load of requests whose prompts share parts, one of which crashes servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Load of requests whose prompts share parts, one of which crashes servers."""

import itertools
import random
from collections import namedtuple
from dataclasses import replace

import gevent
from forwardbasics import PATHS, SECOND_MS, request, serve

from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart

# Sound requests a second, and how many first and second parts they share.
SOUND_PER_S = 25.0
FIRST_PARTS = 40
SECOND_PARTS = 131
# Events of a stream come so far apart that it lasts about a second.
EVENT_MS = 150.0
TOKENS_PER_MS = 10.0
PART_TOKENS = 300
ALLOWED_MS = 10_000.0
# After a server has crashed under the fifth request, so many may still be sent after a time in
# which instances that reach each other must have heard of it.
FREE_CRASHES = 5
MAX_LATER_SENDS = 3
CONTACT_MS = 3_000.0

Sent = namedtuple("Sent", "at server id parts")


class PartLoad:
    """Sends requests with shared prompt parts to the instances of a fleet, and records them.

    Args:
        context: The scenario's context, with a fleet.
        seed: The seed of the requests.

    Attributes:
        deadly: The ids of the parts that crash servers.
        sent: The requests that reached a server, in order.
        crashes: The time and name of each crashed server.
        sound: The id, the time of arrival and the parts of each sound request.
        names: The instances that get requests; those that have crashed are left out.
        retries: Whether callers send a request with a deadly part again at once if it fails.
    """

    def __init__(self, context, seed=1):
        self.context = context
        self.rng = random.Random(seed)
        self.deadly = ()
        self.sent, self.crashes, self.sound = [], [], []
        self.numbers = itertools.count()
        self.tasks = []
        self.retries = False
        self.record()

    def record(self):
        """Record which requests reach servers, and when servers crash."""
        upstream, clock = self.context.fleet.upstream, self.context.clock
        upstream.event_ms, upstream.tokens_per_ms = EVENT_MS, TOKENS_PER_MS
        plain_open, plain_crash = upstream.open, upstream.crash

        def open_(server, call, limit_ms):
            if not upstream.has_crashed(server) and call.request.prompt is not None:
                parts = call.request.prompt.shared_parts()
                self.sent.append(Sent(clock.now(), server.name, call.request.id, parts))
            return plain_open(server, call, limit_ms)

        def crash(server):
            if not upstream.has_crashed(server):
                self.crashes.append((clock.now(), server.name))
            plain_crash(server)

        upstream.open, upstream.crash = open_, crash

    def sound_parts(self):
        """Return the ids of the shared parts of a sound request."""
        first = f"f{self.rng.randrange(FIRST_PARTS)}"
        # Low numbers are more frequent.
        second = f"s{int(SECOND_PARTS * self.rng.random() ** 1.4)}"
        return first, second

    def send(self, parts, label, kind="stream", body=None):
        """Send a request with some shared parts to any instance; return its id, or "" without."""
        names = list(self.context.fleet.instances)
        if not names:
            return ""
        id_ = f"{label}{next(self.numbers)}"
        sent = self.make(id_, parts, kind, body)
        self.tasks.append(gevent.spawn(self.call, sent, names, label))
        return id_

    def call(self, sent, names, label):
        """Send a request to an instance, and again to another one if its caller retries it."""
        serve(self.context, self.rng.choice(names), sent)
        if self.retries and label == "d" and self.context.ends[sent.id][2]:
            again = replace(sent, id=f"{sent.id}-again", arrived=self.context.clock.now())
            serve(self.context, self.rng.choice(names), again)

    def make(self, id_, parts, kind="stream", body=None):
        """Return a request with some shared parts, and a last one of its own."""
        own = PromptPart(f"own-{id_}", PART_TOKENS)
        all_ = (*(PromptPart(one, PART_TOKENS) for one in parts), own)
        prompt = Prompt(PART_TOKENS * len(all_), 30, all_)
        body = f"body of {id_}".encode() if body is None else body
        now = self.context.clock.now()
        return request(
            id_, PATHS[kind], now, body=body, prompt=prompt, allowed_ms=ALLOWED_MS, key="k"
        )

    def send_sound(self, for_ms, per_s=SOUND_PER_S, parts=None):
        """Send sound requests at a steady rate."""
        for _ in range(round(per_s * for_ms / SECOND_MS)):
            chosen = parts() if parts else self.sound_parts()
            arrived = self.context.clock.now()
            id_ = self.send(chosen, "s")
            if id_:
                self.sound.append((id_, arrived, chosen))
            self.context.clock.sleep(SECOND_MS / per_s)

    def send_deadly(self, for_ms, every_ms, parts, kind="stream"):
        """Send requests with a deadly part at intervals; parts returns their shared parts."""
        for _ in range(round(for_ms / every_ms)):
            self.send(parts(), "d", kind)
            self.context.clock.sleep(every_ms)

    def crashes_under(self, part):
        """Return the times at which servers crashed while they had a request with a part."""
        found = []
        for at, server in self.crashes:
            if any(one.server == server and has_part(one, part) for one in self.sent):
                found.append(at)
        return found

    def later_sends(self, part):
        """Return the requests with a part that were sent too late after the fifth crash."""
        crashed = self.crashes_under(part)
        if len(crashed) < FREE_CRASHES:
            return []
        until = crashed[FREE_CRASHES - 1] + CONTACT_MS
        return [one for one in self.sent if has_part(one, part) and one.at > until]

    def sound_since(self, ms, deadly_until):
        """Return the ids of the sound requests that came some time after the last free crash."""
        crashed = sorted(at for part in self.deadly for at in self.crashes_under(part))
        since = crashed[:FREE_CRASHES][-1] + ms
        return [id_ for id_, at, _ in self.sound if since <= at < deadly_until]

    def join(self):
        """Wait until all requests have ended."""
        gevent.joinall(self.tasks)


def has_part(sent, part):
    """Return whether a request has a part, whose letters may be of either case."""
    return part in {one.lower() for one in sent.parts}
