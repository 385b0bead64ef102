"""Stand-in of the platform's database instances: groups with one log, their line protocol.

Every commit's request id is kept in the log, so that the soak can tell lost, doubled and refused
writes apart; a read tells how much of the log it ran on.
"""

import asyncio
import hashlib
import random
import time

TICK_SECONDS = 0.004
PROMOTE_SECONDS = 0.2
DEMOTE_SECONDS = 1.0
WORK_SECONDS = 0.003
SLOW_SECONDS = (0.02, 0.12)
SYNC_POLL_SECONDS = 0.003


def signature(request_id, rows):
    return "1." + hashlib.sha1((request_id + "|" + "|".join(rows)).encode()).hexdigest()[:16]


class Instance:
    """One instance: its log, its role, its connections."""

    def __init__(self, group, name, host, port):
        self.group, self.name, self.host, self.port = group, name, host, port
        self.log = []          # of (number, request id, thing, value)
        self.received_at = []  # one instant an entry
        self.primary = False
        self.term = 1
        self.fence = 0
        self.born = int(time.time() * 1000)  # milliseconds
        self.alive = False
        self.state = "ready"
        self.lag = 0.005
        self.server = None
        self.connections = set()  # its sessions
        self.promoting = False
        self.on_work = None    # called with each request of callers that arrives, and its id
        self.on_break = None   # called with the id of each request that the instance breaks off

    def position(self):
        return "%d.%d" % (self.term, len(self.log))

    def applied(self):
        if self.primary:
            return len(self.log)
        limit = time.monotonic() - self.lag
        count = len(self.log)
        while count and self.received_at[count - 1] > limit:
            count -= 1
        return count

    def read(self, thing):
        for number, _, written, value in reversed(self.log[:self.applied()]):
            if written == thing:
                return value
        return "0"

    def append(self, entry):
        self.log.append(entry)
        self.received_at.append(time.monotonic())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.fence = 0
        self.alive = True

    async def start_anew(self):
        """Starts under the same name with nothing of before."""
        self.log, self.received_at = [], []
        self.primary, self.term = False, 1
        self.born = max(self.born + 1, int(time.time() * 1000))
        await self.start()

    async def crash(self):
        self.alive = False
        self.server.close()
        for session in list(self.connections):
            session.break_off()

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
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.values, self.prepared = {}, {}
        self.open = self.failed = self.read_only = False
        self.writes = []
        self.request_id = None  # of the request at work

    def break_off(self):
        if self.request_id and self.instance.on_break:
            self.instance.on_break(self.request_id)
        self.writer.transport.abort()

    def state(self):
        return ("E" if self.failed else "T") if self.open else "I"

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
        if len(self.instance.connections) > self.instance.group.most_connections:
            self.send("ERROR MAXCONN " + self.instance.name)
            return
        await asyncio.sleep(WORK_SECONDS)
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
            rows = await self.run_text(request_id, text)
        except Refusal as refusal:
            if self.open:
                self.failed = True
            self.send("ERROR %s %s" % (refusal.code, self.instance.name))
        else:
            for row in rows or []:
                self.send("ROW " + row)
            self.send("COMPLETE " + (signature(request_id, rows) if rows is not None else "-"))
        self.send("READY %s %s" % (self.state(), self.instance.position()))

    async def run_text(self, request_id, text):
        required = None
        if text.startswith("SYNCTO "):
            _, required, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(word, rest)
        if self.instance.on_work:
            self.instance.on_work(self.instance, request_id)
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
            self.end()
            return None
        if self.failed:
            raise Refusal("MALFORMED")
        if required:
            self.check_position(required)
        if word == "BEGIN":
            self.read_only = rest == "READ"
            if not self.read_only and not self.instance.primary:
                raise Refusal("READONLY")
            self.open = True
            return None
        await asyncio.sleep(self.instance.group.work_seconds())
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                raise Refusal("UNKNOWN")
            word = self.prepared[name][0]
        if word == "READ":
            if self.instance.group.planted == "pinned":
                self.values["who"] = "somebody"
            values = ",".join("%s=%s" % pair for pair in sorted(self.values.items()))
            return ["%s;%s;%d" % (self.instance.read(rest), values, self.instance.applied())]
        if word == "PUT":
            return await self.put(request_id, rest)
        if word == "COMMIT":
            return await self.commit(request_id)
        raise Refusal("MALFORMED")

    def check_position(self, required):
        term, number = (int(part) for part in required.split("."))
        lacks = self.instance.applied() < number or self.instance.term < term
        if lacks and self.instance.group.planted != "stale":
            raise Refusal("LAGGING")

    def end(self):
        self.open = self.failed = self.read_only = False
        self.writes = []

    async def put(self, request_id, rest):
        if not self.instance.primary or self.read_only:
            raise Refusal("READONLY")
        thing, _, value = rest.partition(" ")
        self.writes.append((request_id, thing, value))
        if not self.open:
            await self.store()
        return []

    async def commit(self, request_id):
        wrote = bool(self.writes)
        if wrote:
            await self.store()
        self.end()
        return []

    async def store(self):
        instance = self.instance
        if not instance.primary:
            self.writes = []
            raise Refusal("READONLY")
        for request_id, thing, value in self.writes:
            instance.append((len(instance.log) + 1, request_id, thing, value))
        end, term, self.writes = len(instance.log), instance.term, []
        while not instance.group.held_elsewhere(instance, end) and \
                instance.group.planted != "lost":
            await asyncio.sleep(SYNC_POLL_SECONDS)
            if not instance.alive or not instance.primary or instance.term != term:
                self.break_off()  # nobody knows whether it is kept
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
    """The instances of one service, and what passes between them."""

    def __init__(self, service, most_connections, planted=""):
        self.service, self.most_connections = service, most_connections
        self.planted = planted  # a fault of the stand-in that the soak must notice
        self.instances = []
        self.slow_share, self.random = 0.0, random.Random(service)  # of the statements
        self.on_change = lambda: None

    def work_seconds(self):
        if self.random.random() < self.slow_share:
            return self.random.uniform(*SLOW_SECONDS)
        return WORK_SECONDS

    def leader(self):
        leaders = [each for each in self.instances if each.primary and each.alive]
        return max(leaders, key=lambda each: each.term, default=None)

    def held_elsewhere(self, primary, end):
        return any(each is not primary and len(each.log) >= end and each.log[end - 1] ==
                   primary.log[end - 1] for each in self.instances)

    async def promote(self, name):
        chosen = next((each for each in self.instances if each.name == name and each.alive), None)
        if chosen is None:
            return False
        if chosen.primary or chosen.promoting:
            return True
        chosen.promoting = True
        asyncio.ensure_future(self.lead(chosen))
        return True

    async def lead(self, chosen):
        await asyncio.sleep(PROMOTE_SECONDS)
        chosen.promoting = False
        if not chosen.alive:
            return
        chosen.term = max(each.term for each in self.instances) + 1
        chosen.primary, chosen.fence = True, 0
        self.on_change()
        await asyncio.sleep(DEMOTE_SECONDS)
        for each in self.instances:
            if each.primary and each.term < chosen.term:
                each.primary = False
        self.on_change()

    def number_of(self, request_id):
        """The number of a request's commit in the newest primary's log, 0 if it is not there."""
        leader = self.leader()
        entries = reversed(leader.log) if leader else []
        return next((entry[0] for entry in entries if entry[1] == request_id), 0)

    def replicate(self):
        leader = self.leader()
        if leader is None:
            return
        for each in self.instances:
            follows = each is not leader and each.alive and not each.primary
            if not follows or each.fence > leader.term:
                continue
            common = 0
            while common < min(len(each.log), len(leader.log)) and \
                    each.log[common] == leader.log[common]:
                common += 1
            if common < len(each.log):
                del each.log[common:]
                del each.received_at[common:]
            for entry in leader.log[common:]:
                each.append(entry)
            each.term = leader.term

    async def run(self):
        while True:
            self.replicate()
            await asyncio.sleep(0.5 if self.planted == "lost" else TICK_SECONDS)
