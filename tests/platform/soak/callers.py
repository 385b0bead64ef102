"""Callers of the soak: sessions that read, write and run transactions, and check the answers."""

import asyncio
import random
import time

from database import signature
from unanswered import is_closed, is_written

FRONT_PORT = 8784
ANSWER_SECONDS = 4.0
START_SECONDS = 2.0
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}
BOUND_SECONDS = {"primary": 0.0, "bounded": 1.5, "own": 2.5}


class History:
    """What was acknowledged, and what must not have happened."""

    def __init__(self):
        self.acknowledged = {}  # request id: service
        self.refused = {}       # request id: service
        self.commits = {}       # service: list of (log number, instant of the acknowledgement)
        self.violations = []
        self.done = self.failed = 0
        self.failures = {}

    def acknowledge(self, request_id, service, number):
        self.acknowledged[request_id] = service
        self.commits.setdefault(service, []).append((number, time.monotonic()))

    def least(self, service, before):
        """The part of the log that a read must run on that sees what was acknowledged before."""
        return max((number for number, at in self.commits.get(service, []) if at <= before),
                   default=0)


class Gone(Exception):
    """The session ended or did not answer."""


class Refused(Exception):
    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Caller:
    def __init__(self, number, seed, daemons, group, kind, history, requests):
        self.number, self.random = number, random.Random(seed * 1000 + number)
        self.daemons, self.group, self.kind = daemons, group, kind
        self.history, self.requests = history, requests
        self.daemon = None  # that has the session
        self.service = group.service
        self.thing, self.value, self.count = "t%d" % number, 0, 0
        self.own = 0  # log number of the session's last commit
        self.reader = self.writer = None
        self.session_value = ""

    async def connect(self):
        self.daemon = self.random.choice(self.daemons)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.daemon.host, FRONT_PORT), START_SECONDS)
        self.writer.write(("START %s.%s caller%d\r\n" % (self.service, self.kind, self.number))
                          .encode())
        line = (await asyncio.wait_for(self.reader.readline(), START_SECONDS)).decode()
        if not line.startswith("READY I"):
            raise Gone(line)
        self.own = 0
        self.session_value = ""
        if self.sets_value():
            await self.set_value()

    def sets_value(self):
        return True

    async def set_value(self):
        self.session_value = "v%d" % self.random.randrange(1000)
        await self.ask(self.new_id() + "s", "SET who " + self.session_value)

    def new_id(self):
        self.count += 1
        return "%04x%08x" % (self.number, self.count)

    async def ask(self, request_id, text):
        if is_closed(self.writer):
            raise Gone("closed before the request")
        self.writer.write(("QUERY %s %s\r\n" % (request_id, text)).encode())
        if not is_written(self.writer):
            raise Gone("not written")
        request = self.requests.send(request_id, self.daemon)
        try:
            rows, outcome = await self.receive(request)
        finally:
            self.requests.end(request)
        if outcome[0] == "ERROR":
            raise Refused(outcome[1].split(" ")[0])
        if outcome[1] != "-" and outcome[1] != signature(request_id, rows):
            self.history.violations.append("MIXED: %s %s" % (request_id, text))
        return rows

    async def receive(self, request):
        """The rows and the outcome; notes a request whose connection ends without one."""
        rows, outcome = [], None
        while True:
            try:
                line = (await asyncio.wait_for(self.reader.readline(), ANSWER_SECONDS)).decode()
            except ConnectionError:
                line = ""
            if not line.endswith("\r\n"):
                if outcome is None or outcome[0] == "COMPLETE":
                    self.requests.close(request)
                raise Gone("cut off")
            word, _, rest = line.rstrip("\r\n").partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = (word, rest)
            elif word == "READY":
                return rows, outcome

    async def pause(self):
        """Between the statements of a transaction."""

    async def read(self, request_id, began):
        """Reads a thing and checks its age and the session's values."""
        least = self.history.least(self.service, began - BOUND_SECONDS[self.kind])
        if self.kind == "own":
            least = max(least, self.own)
        row = (await self.ask(request_id, "READ t%d" % self.random.randrange(self.number + 3)))[0]
        _, values, applied = row.split(";")
        if int(applied) < least:
            self.history.violations.append("STALE: %s read %s on a log of %s, needed %d" % (
                self.kind, request_id, applied, least))
        expected = "who=" + self.session_value if self.session_value else ""
        if values != expected:
            self.history.violations.append("PINNED: %s instead of %s" % (values, expected))

    async def operate(self):
        request_id = self.new_id()
        writes = self.kind != "bounded" and self.random.random() < 0.35
        transaction = self.random.random() < 0.3
        began = time.monotonic()
        sent_commit = False
        try:
            if transaction:
                await self.ask(request_id + "b", "BEGIN" if writes else "BEGIN READ")
                await self.read(request_id + "r", began)
                await self.pause()
            if not writes:
                await self.read(request_id, began)
            else:
                self.value += 1
                sent_commit = not transaction
                await self.ask(request_id, "PUT %s %d" % (self.thing, self.value))
            if transaction:
                await self.pause()
                sent_commit = writes
                await self.ask(request_id + "c", "COMMIT")
        except Refused as refusal:
            self.history.failed += 1
            self.history.failures[refusal.code] = self.history.failures.get(refusal.code, 0) + 1
            if writes and refusal.code in PROMISES:
                self.history.refused[request_id] = self.service
            if transaction:
                raise Gone("after an error in a transaction") from refusal
            return
        if writes:
            self.own = self.group.number_of(request_id)
            self.history.acknowledge(request_id, self.service, self.own)
        self.history.done += 1

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.connect()
                for _ in range(self.random.randrange(1, 60)):
                    if time.monotonic() >= until():
                        break
                    await self.operate()
                    await asyncio.sleep(self.random.uniform(0.01, 0.15))
            except (Gone, Refused, ConnectionError, OSError, asyncio.TimeoutError) as fault:
                name = type(fault).__name__
                self.history.failures[name] = self.history.failures.get(name, 0) + 1
                await asyncio.sleep(0.05)
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None


class Persistent(Caller):
    """Keeps its session to the end, and connects again at once, also to a daemon that stops.

    Half of them know one daemon alone. Some rest, also in transactions; some go on at once. Half of
    the sessions have no values: their first command is for an instance.
    """

    PACES = [(0.0, 0.0), (0.01, 0.15), (0.2, 1.5)]  # seconds between statements and operations
    RECONNECT_SECONDS = 0.01
    BURST = 20
    BURST_PAUSE_SECONDS = 0.1  # of those that go on at once, so that the stand-ins keep up

    def __init__(self, number, seed, daemons, *others):
        super().__init__(number, seed, daemons, *others)
        self.pace = self.PACES[number % len(self.PACES)]
        if number % 2:
            self.daemons = [daemons[number // 2 % len(daemons)]]

    def sets_value(self):
        return self.random.random() < 0.5

    async def pause(self):
        if self.pace[1]:
            await asyncio.sleep(self.random.uniform(*self.pace))

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.connect()
                while time.monotonic() < until():
                    await self.operate()
                    await self.pause()
                    if self.count % self.BURST == 0:
                        await asyncio.sleep(self.BURST_PAUSE_SECONDS)
            except (Gone, Refused, ConnectionError, OSError, asyncio.TimeoutError) as fault:
                name = type(fault).__name__
                self.history.failures[name] = self.history.failures.get(name, 0) + 1
                await asyncio.sleep(self.RECONNECT_SECONDS)
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None
