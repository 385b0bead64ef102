"""Stand-in for the platform's database instances: replicated groups and their line protocol.

The log keeps the request id of each commit, so that the soak can detect lost, duplicated and
refused writes. Each read returns the log number up to which it saw the log.
"""

import asyncio
import hashlib
import random
import time

REPLICATION_INTERVAL_SECONDS = 0.004
PROMOTE_SECONDS = 0.2
DEMOTE_SECONDS = 1.0
STATEMENT_SECONDS = 0.003
SLOW_STATEMENT_SECONDS = (0.02, 0.12)
SYNC_POLL_SECONDS = 0.003
PREPARATION_REFUSALS = ["READONLY", "BUSY", "ABORTED", "LAGGING", "MOVED", "FAILED"]
HUGE_KEY, HUGE_ROWS, HUGE_ROW = "huge", 6, "x" * 900_000  # more than a connection queues by default
LARGE_KEY, LARGE_VALUE = "large", "x" * 60_000


def signature(request_id, rows):
    return "1." + hashlib.sha1((request_id + "|" + "|".join(rows)).encode()).hexdigest()[:16]


class Instance:
    """A database instance with its log, role and connections."""

    def __init__(self, group, name, host, port):
        self.group, self.name, self.host, self.port = group, name, host, port
        self.log = []          # of (number, request id, key, value)
        self.received_at = []  # time.monotonic() at which each entry arrived
        self.applied_count = 0
        self.primary = False
        self.term = 1
        self.fence = 0
        self.born = int(time.time() * 1000)  # start of the incarnation, in Unix milliseconds
        self.alive = False
        self.state = "ready"
        self.lag = 0.005
        self.receives_nothing = False
        self.server = None
        self.connections = set()  # open sessions
        self.promoting = False
        self.on_request = None  # called with the instance and the id of each callers' request
        self.on_statement = None  # called with the id and the text of each statement
        self.on_abort = None    # called with the id of each request that the instance aborts

    def position(self):
        return "%d.%d" % (self.term, len(self.log))

    def applied(self):
        if self.primary:
            return len(self.log)
        limit = time.monotonic() - self.lag
        count = len(self.log)
        while count > self.applied_count and self.received_at[count - 1] > limit:
            count -= 1
        self.applied_count = count  # a lag that begins takes nothing back
        return count

    def read(self, key):
        if key == LARGE_KEY:
            return LARGE_VALUE
        for number, _, written, value in reversed(self.log[:self.applied()]):
            if written == key:
                return value
        return "0"

    def append(self, entry):
        self.log.append(entry)
        self.received_at.append(time.monotonic())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.fence = 0
        self.alive = True

    async def start_empty(self):
        """Starts a new incarnation under the same name, with an empty log."""
        self.log, self.received_at, self.applied_count = [], [], 0
        self.primary, self.term = False, 1
        self.born = max(self.born + 1, int(time.time() * 1000))
        await self.start()

    async def crash(self):
        self.alive = False
        self.server.close()
        for session in list(self.connections):
            session.abort()

    async def serve(self, reader, writer):
        session = Session(self, reader, writer)
        self.connections.add(session)
        try:
            await session.run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(session)
            writer.close()


class Session:
    """A session on one connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.values, self.prepared = {}, {}
        self.in_transaction = self.failed = self.read_only = False
        self.writes = []
        self.request_id = None  # of the request that runs

    def abort(self):
        if self.request_id and self.instance.on_abort:
            self.instance.on_abort(self.request_id)
        self.writer.transport.abort()

    def state(self):
        return ("E" if self.failed else "T") if self.in_transaction else "I"

    def send(self, text):
        self.writer.write((text + "\r\n").encode())

    async def run(self):
        first = (await self.reader.readline()).decode().split()
        if len(first) < 3 or first[0] != "START":
            return
        expected = first[3] if len(first) > 3 else self.instance.name
        if first[1] != self.instance.group.service or expected != self.instance.name:
            self.send("ERROR MOVED " + self.instance.name)
            return
        if len(self.instance.connections) > self.instance.group.max_connections:
            self.send("ERROR MAXCONN " + self.instance.name)
            return
        await asyncio.sleep(STATEMENT_SECONDS)
        self.send("READY I " + self.instance.position())
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            if not line or line.startswith("BYE"):
                return
            word, request_id, text = line.split(" ", 2)
            if word != "QUERY":
                return
            self.request_id = request_id
            await self.answer(request_id, text)
            await self.writer.drain()
            self.request_id = None

    async def answer(self, request_id, text):
        try:
            rows = await self.run_statement(request_id, text)
        except Refusal as refusal:
            if self.in_transaction:
                self.failed = True
            self.send("ERROR %s %s" % (refusal.code, self.instance.name))
        else:
            for row in rows or []:
                self.send("ROW " + row)
            self.send("COMPLETE " + (signature(request_id, rows) if rows is not None else "-"))
        self.send("READY %s %s" % (self.state(), self.instance.position()))

    async def run_statement(self, request_id, text):
        required = None
        if text.startswith("SYNCTO "):
            _, required, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if self.instance.on_statement:
            self.instance.on_statement(request_id, text)
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(word, rest)
        if self.instance.on_request:
            self.instance.on_request(self.instance, request_id)
        if word in ("RESET", "SET", "PARSE", "CLOSE"):
            self.check_preparation()
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return None
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return None
        if word == "PARSE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return None
        if word == "CLOSE":
            self.prepared.pop(rest, None)
            return None
        if word == "ROLLBACK":
            self.end_transaction()
            return None
        if self.failed:
            raise Refusal("MALFORMED")
        if required:
            self.check_position(required)
        if word == "BEGIN":
            self.read_only = rest == "READ"
            if not self.read_only and not self.instance.primary:
                raise Refusal("READONLY")
            self.in_transaction = True
            return None
        await asyncio.sleep(self.instance.group.draw_statement_seconds())
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                raise Refusal("UNKNOWN")
            word = self.prepared[name][0]
        if word == "READ" and rest == HUGE_KEY:
            return [HUGE_ROW] * HUGE_ROWS
        if word == "READ":
            if self.instance.group.planted_fault == "pinned":
                self.values["who"] = "somebody"
            values = ",".join("%s=%s" % pair for pair in sorted(self.values.items()))
            return ["%s;%s;%d" % (self.instance.read(rest), values, self.instance.applied())]
        if word == "PUT":
            return await self.put(request_id, rest)
        if word == "COMMIT":
            return await self.commit(request_id)
        raise Refusal("MALFORMED")

    def check_preparation(self):
        """Refuses to change the session's state in a lost transaction, and by chance."""
        if self.failed:
            raise Refusal("MALFORMED")
        if self.in_transaction and not self.read_only and not self.instance.primary:
            raise Refusal("READONLY")
        group = self.instance.group
        if group.random.random() < group.refused_preparations:
            raise Refusal(group.random.choice(PREPARATION_REFUSALS))

    def check_position(self, required):
        term, number = (int(part) for part in required.split("."))
        is_behind = self.instance.applied() < number or self.instance.term < term
        if is_behind and self.instance.group.planted_fault != "stale":
            raise Refusal("LAGGING")

    def end_transaction(self):
        self.in_transaction = self.failed = self.read_only = False
        self.writes = []

    async def put(self, request_id, rest):
        if not self.instance.primary or self.read_only:
            raise Refusal("READONLY")
        key, _, value = rest.partition(" ")
        self.writes.append((request_id, key, value))
        if not self.in_transaction:
            await self.write_log()
        return []

    async def commit(self, request_id):
        wrote = bool(self.writes)
        if wrote:
            await self.write_log()
        self.end_transaction()
        return []

    async def write_log(self):
        instance = self.instance
        if not instance.primary:
            self.writes = []
            raise Refusal("READONLY")
        for request_id, key, value in self.writes:
            instance.append((len(instance.log) + 1, request_id, key, value))
        end, term, self.writes = len(instance.log), instance.term, []
        while not instance.group.is_replicated(instance, end) and \
                instance.group.planted_fault != "lost":
            await asyncio.sleep(SYNC_POLL_SECONDS)
            if not instance.alive or not instance.primary or instance.term != term:
                self.abort()  # the outcome of the commit is unknown
                raise ConnectionError

    def control(self, word, rest):
        instance = self.instance
        if word == "PAUSE" and not instance.primary:
            instance.fence = max(instance.fence, int(rest))
        if word == "RESUME":
            instance.fence = 0
        if word == "STEPDOWN" and instance.primary and int(rest) > instance.term:
            instance.primary = False
            instance.fence = int(rest)
        role = "primary" if instance.primary else "replica"
        return ["%s %d %s %d %d %d %d" % (role, instance.term, instance.position(), instance.fence,
                                          int(instance.lag * 1000), 0, len(instance.connections))]


class Refusal(Exception):
    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Group:
    """The instances of one service, with replication and promotion between them."""

    def __init__(self, service, max_connections, planted_fault=""):
        self.service, self.max_connections = service, max_connections
        self.planted_fault = planted_fault  # a fault of the stand-in that the soak must detect
        self.instances = []
        self.refused_preparations = 0.0  # share of SET, PARSE, CLOSE and RESET
        self.slow_share, self.random = 0.0, random.Random(service)  # share of slow statements
        self.on_change = lambda: None
        self.promotion_lifts_fences = False  # also at replicas that receive nothing

    def draw_statement_seconds(self):
        if self.random.random() < self.slow_share:
            return self.random.uniform(*SLOW_STATEMENT_SECONDS)
        return STATEMENT_SECONDS

    def newest_primary(self):
        primaries = [each for each in self.instances if each.primary and each.alive]
        return max(primaries, key=lambda each: each.term, default=None)

    def is_replicated(self, primary, end):
        return any(each is not primary and len(each.log) >= end and each.log[end - 1] ==
                   primary.log[end - 1] for each in self.instances)

    async def promote(self, name):
        chosen = next((each for each in self.instances if each.name == name and each.alive), None)
        if chosen is None:
            return False
        if chosen.primary or chosen.promoting:
            return True
        chosen.promoting = True
        asyncio.ensure_future(self.complete_promotion(chosen))
        return True

    async def complete_promotion(self, chosen):
        await asyncio.sleep(PROMOTE_SECONDS)
        chosen.promoting = False
        if not chosen.alive:
            return
        chosen.term = max(each.term for each in self.instances) + 1
        chosen.primary, chosen.fence = True, 0
        if self.promotion_lifts_fences:
            for each in self.instances:
                each.fence = 0
        self.on_change()
        await asyncio.sleep(DEMOTE_SECONDS)
        for each in self.instances:
            if each.primary and each.term < chosen.term:
                each.primary = False
        self.on_change()

    def number_of(self, request_id):
        """Returns the log number of a request's commit on the newest primary, 0 if it has none."""
        newest_primary = self.newest_primary()
        entries = reversed(newest_primary.log) if newest_primary else []
        return next((entry[0] for entry in entries if entry[1] == request_id), 0)

    def replicate(self):
        newest_primary = self.newest_primary()
        if newest_primary is None:
            return
        for each in self.instances:
            follows = (each is not newest_primary and each.alive and not each.primary
                       and not each.receives_nothing)
            if not follows or each.fence > newest_primary.term:
                continue
            common = 0
            while common < min(len(each.log), len(newest_primary.log)) and \
                    each.log[common] == newest_primary.log[common]:
                common += 1
            if common < len(each.log):
                del each.log[common:]
                del each.received_at[common:]
                each.applied_count = min(each.applied_count, common)
            for entry in newest_primary.log[common:]:
                each.append(entry)
            each.term = newest_primary.term

    async def run(self):
        while True:
            self.replicate()
            await asyncio.sleep(0.5 if self.planted_fault == "lost"
                                else REPLICATION_INTERVAL_SECONDS)
