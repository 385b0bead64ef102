"""Simulated callers: sessions that read, write and run transactions, and check the answers."""

import asyncio
import random
import time

from database import HUGE_KEY, HUGE_ROW, HUGE_ROWS, LARGE_KEY, signature
from unanswered import is_closed, is_written

CALLER_PORT = 8784
ANSWER_TIMEOUT_SECONDS = 4.0
START_TIMEOUT_SECONDS = 2.0
# Errors with which a write has not run and must never appear in the log.
NOT_RUN_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}
STALENESS_BOUND_SECONDS = {"primary": 0.0, "bounded": 1.5, "own": 2.5}


class History:
    """Acknowledged and refused writes, counts of operations, and violations of the rules."""

    def __init__(self):
        self.began = time.monotonic()
        self.acknowledged = {}  # request id: service
        self.refused = {}       # request id: service
        self.commits = {}       # service: list of (log number, time of the acknowledgement)
        self.violations = []
        self.done = self.failed = 0
        self.failures = {}

    def acknowledge(self, request_id, service, number):
        self.acknowledged[request_id] = service
        self.commits.setdefault(service, []).append((number, time.monotonic()))

    def minimum_position(self, service, before):
        """Returns the least log number that includes all commits acknowledged by `before`."""
        return max((number for number, at in self.commits.get(service, []) if at <= before),
                   default=0)


class Gone(Exception):
    """The session ended or did not answer in time."""


class Refused(Exception):
    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Caller:
    def __init__(self, number, seed, daemons, group, kind, history, requests):
        self.number, self.random = number, random.Random(seed * 1000 + number)
        self.daemons, self.group, self.kind = daemons, group, kind
        self.history, self.requests = history, requests
        self.daemon = None  # the daemon that serves the session
        self.service = group.service
        self.key, self.value, self.count = "t%d" % number, 0, 0
        self.last_commit = 0  # log number of the session's last commit
        self.reader = self.writer = None
        self.session_value = ""

    async def connect(self):
        self.daemon = self.random.choice(self.daemons)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.daemon.host, CALLER_PORT), START_TIMEOUT_SECONDS)
        self.writer.write(("START %s.%s caller%d\r\n" % (self.service, self.kind, self.number))
                          .encode())
        line = (await asyncio.wait_for(self.reader.readline(), START_TIMEOUT_SECONDS)).decode()
        if not line.startswith("READY I"):
            raise Gone(line)
        self.last_commit = 0
        self.session_value = ""
        if self.sets_value():
            await self.set_value()

    def sets_value(self):
        return True

    async def set_value(self):
        value = "v%d" % self.random.randrange(1000)
        await self.ask(self.new_id() + "s", "SET who " + value)
        self.session_value = value

    def new_id(self):
        self.count += 1
        return "%04x%08x" % (self.number, self.count)

    async def ask(self, request_id, text):
        if is_closed(self.writer):
            raise Gone("closed before the request")
        self.writer.write(("QUERY %s %s\r\n" % (request_id, text)).encode())
        if not is_written(self.writer):
            raise Gone("not written")
        request = self.requests.on_sent(request_id, self.daemon)
        try:
            rows, outcome = await self.receive(request)
        finally:
            self.requests.on_ended(request)
        if outcome[0] == "ERROR":
            raise Refused(outcome[1].split(" ")[0])
        if outcome[1] != "-" and outcome[1] != signature(request_id, rows):
            self.history.violations.append("MIXED: %s %s" % (request_id, text))
        return rows

    async def receive(self, request):
        """Returns the rows and the outcome; records a request whose connection ends without one."""
        rows, outcome = [], None
        while True:
            try:
                line = (await asyncio.wait_for(self.reader.readline(),
                                               ANSWER_TIMEOUT_SECONDS)).decode()
            except ConnectionError:
                line = ""
            if not line.endswith("\r\n"):
                if outcome is None or outcome[0] == "COMPLETE":
                    self.requests.on_connection_ended(request)
                raise Gone("cut off")
            word, _, rest = line.rstrip("\r\n").partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = (word, rest)
            elif word == "READY":
                return rows, outcome

    async def pause(self):
        """Pauses between the statements of a transaction; does nothing by default."""

    async def read(self, request_id, began):
        """Reads a key and checks the staleness of the read and the session's values."""
        minimum_position = self.history.minimum_position(
            self.service, began - STALENESS_BOUND_SECONDS[self.kind])
        if self.kind == "own":
            minimum_position = max(minimum_position, self.last_commit)
        row = (await self.ask(request_id, "READ t%d" % self.random.randrange(self.number + 3)))[0]
        _, values, applied = row.split(";")
        if int(applied) < minimum_position:
            now = time.monotonic()
            self.history.violations.append(
                "STALE: %s read %s of %s on a log of %s, needed %d, at %.2f s, took %.3f s" % (
                    self.kind, request_id, self.service, applied, minimum_position,
                    now - self.history.began, now - began))
        expected = "who=" + self.session_value if self.session_value else ""
        if values != expected:
            self.history.violations.append("PINNED: %s instead of %s" % (values, expected))

    async def run_operation(self):
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
                if self.random.random() < 0.4:
                    await self.set_value()
                    await self.read(request_id + "q", began)
            if not writes:
                await self.read(request_id, began)
            else:
                self.value += 1
                sent_commit = not transaction
                await self.ask(request_id, "PUT %s %d" % (self.key, self.value))
            if transaction:
                await self.pause()
                sent_commit = writes
                await self.ask(request_id + "c", "COMMIT")
        except Refused as refusal:
            self.history.failed += 1
            self.history.failures[refusal.code] = self.history.failures.get(refusal.code, 0) + 1
            if writes and refusal.code in NOT_RUN_CODES:
                self.history.refused[request_id] = self.service
            if transaction:
                raise Gone("after an error in a transaction") from refusal
            return
        if writes:
            self.last_commit = self.group.number_of(request_id)
            self.history.acknowledge(request_id, self.service, self.last_commit)
        self.history.done += 1

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.connect()
                for _ in range(self.random.randrange(1, 60)):
                    if time.monotonic() >= until():
                        break
                    await self.run_operation()
                    await asyncio.sleep(self.random.uniform(0.01, 0.15))
            except (Gone, Refused, ConnectionError, OSError, asyncio.TimeoutError) as error:
                name = type(error).__name__
                self.history.failures[name] = self.history.failures.get(name, 0) + 1
                await asyncio.sleep(0.05)
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None


class PersistentCaller(Caller):
    """Keeps its session as long as possible and reconnects at once, even to a daemon that stops.

    Half of these callers use only one daemon. Some pause between statements and operations, also
    inside transactions; some send the next request at once. Half of the sessions set no values, so
    that their first command goes to an instance.
    """

    PAUSE_RANGES_SECONDS = [(0.0, 0.0), (0.01, 0.15), (0.2, 1.5)]
    RECONNECT_SECONDS = 0.01
    BURST = 20
    BURST_PAUSE_SECONDS = 0.1  # without it, callers that never pause overload the stand-ins

    def __init__(self, number, seed, daemons, *others):
        super().__init__(number, seed, daemons, *others)
        self.pause_range = self.PAUSE_RANGES_SECONDS[number % len(self.PAUSE_RANGES_SECONDS)]
        if number % 2:
            self.daemons = [daemons[number // 2 % len(daemons)]]

    def sets_value(self):
        return self.random.random() < 0.5

    async def pause(self):
        if self.pause_range[1]:
            await asyncio.sleep(self.random.uniform(*self.pause_range))

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.connect()
                while time.monotonic() < until():
                    await self.run_operation()
                    await self.pause()
                    if self.count % self.BURST == 0:
                        await asyncio.sleep(self.BURST_PAUSE_SECONDS)
            except (Gone, Refused, ConnectionError, OSError, asyncio.TimeoutError) as error:
                name = type(error).__name__
                self.history.failures[name] = self.history.failures.get(name, 0) + 1
                await asyncio.sleep(self.RECONNECT_SECONDS)
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None


class EarlyCaller(Caller):
    """Sends its start and a long write at once, in parts, without waiting for the acceptance."""

    DATA_BYTES = (2_000, 60_000)  # a line of the stand-in has 64 KiB at most
    PARTS = (3, 8)
    PART_PAUSE_SECONDS = (0.05, 0.3)

    def __init__(self, texts, *others):
        super().__init__(*others)
        self.texts = texts  # by request id, what the instances compare

    async def send(self):
        self.daemon = self.random.choice(self.daemons)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.daemon.host, CALLER_PORT), START_TIMEOUT_SECONDS)
        request_id = self.new_id()
        data = "".join("<%06d>" % at for at in range(0, self.random.randrange(*self.DATA_BYTES), 8))
        text = "PUT %s %s" % (self.key, data)
        self.texts[request_id] = text
        whole = ("START %s.primary early%d\r\nQUERY %s %s\r\n" % (
            self.service, self.number, request_id, text)).encode()
        step = len(whole) // self.random.randrange(*self.PARTS) + 1
        for at in range(0, len(whole), step):
            self.writer.write(whole[at:at + step])
            await self.writer.drain()
            await asyncio.sleep(self.random.uniform(*self.PART_PAUSE_SECONDS))
        lines = []
        while len(lines) < 2:
            line = (await asyncio.wait_for(self.reader.readline(),
                                           ANSWER_TIMEOUT_SECONDS)).decode()
            if not line.endswith("\r\n"):
                raise Gone("cut off")
            lines.append(line)
            if line.startswith("ERROR"):
                code = line.split(" ")[1]
                self.history.failures[code] = self.history.failures.get(code, 0) + 1
                return
        if lines[1].startswith("COMPLETE"):
            self.history.acknowledge(request_id, self.service, self.group.number_of(request_id))
            self.history.done += 1

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.send()
            except (Gone, ConnectionError, OSError, asyncio.TimeoutError) as error:
                name = type(error).__name__
                self.history.failures[name] = self.history.failures.get(name, 0) + 1
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None
            await asyncio.sleep(self.random.uniform(0.0, 0.3))


class HugeReader(Caller):
    """Reads answers of several MB, with pauses between the parts that it takes."""

    BLOCK_BYTES = 1 << 20
    PAUSE_SECONDS = (0.0, 0.1)

    def sets_value(self):
        return False

    async def read_huge(self):
        request_id = self.new_id()
        if is_closed(self.writer):
            raise Gone("closed before the request")
        self.writer.write(("QUERY %s READ %s\r\n" % (request_id, HUGE_KEY)).encode())
        if not is_written(self.writer):
            raise Gone("not written")
        request = self.requests.on_sent(request_id, self.daemon)
        answer = b""
        try:
            while not answer[-200:].rpartition(b"READY ")[2].endswith(b"\r\n") or \
                    b"READY " not in answer[-200:]:
                block = await asyncio.wait_for(self.reader.read(self.BLOCK_BYTES),
                                               ANSWER_TIMEOUT_SECONDS)
                if not block:
                    self.requests.on_connection_ended(request)
                    raise Gone("cut off")
                answer += block
                await asyncio.sleep(self.random.uniform(*self.PAUSE_SECONDS))
        finally:
            self.requests.on_ended(request)
        if answer.startswith(b"ERROR"):
            raise Refused(answer.decode().split(" ")[1])
        rows = [HUGE_ROW] * HUGE_ROWS
        whole = "".join("ROW %s\r\n" % row for row in rows) + \
            "COMPLETE %s\r\n" % signature(request_id, rows)
        if not answer.startswith(whole.encode()):
            self.history.violations.append("MIXED: %s has %d bytes" % (request_id, len(answer)))
        self.history.done += 1

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.connect()
                while time.monotonic() < until():
                    await self.read_huge()
                    await asyncio.sleep(self.random.uniform(0.1, 0.6))
            except (Gone, Refused, ConnectionError, OSError, asyncio.TimeoutError) as error:
                name = type(error).__name__
                self.history.failures[name] = self.history.failures.get(name, 0) + 1
                await asyncio.sleep(0.05)
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None


class SilentCaller(Caller):
    """Sends requests for large rows and reads no answers, then ends its connection."""

    REQUESTS = 200
    BATCH = 10

    def sets_value(self):
        return False

    async def run(self, until):
        while time.monotonic() < until():
            try:
                await self.connect()
                for _ in range(self.REQUESTS // self.BATCH):
                    for _ in range(self.BATCH):
                        self.writer.write(("QUERY %s READ %s\r\n" % (self.new_id(), LARGE_KEY))
                                          .encode())
                    await asyncio.sleep(0.02)
                await asyncio.sleep(self.random.uniform(0.0, 3.0))
                if self.random.random() < 0.5:
                    self.writer.transport.abort()
            except (Gone, Refused, ConnectionError, OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
            finally:
                if self.writer:
                    self.writer.close()
                    self.writer = None
