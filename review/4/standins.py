"""Stand-ins for the cases of the second review: instances, clients, daemons and their checks.

The instances follow PROTOCOL.md as written. The store, the promotion service and the links come
from the project's soak (tests/platform/soak). All addresses are loopback addresses.
"""

import asyncio
import ctypes
import hashlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform", "soak"))
from link import Link  # noqa: E402
from store import Store  # noqa: E402

BINARY = os.path.join(ROOT, "target", "valvekeel-edge")  # the build of deploy/system.toml
PROMOTE_SECONDS = 0.3
REPLICATION_SECONDS = 0.004
ROLLBACK_BUSY_SECONDS = 0.05
OLD_PRIMARY_SECONDS = 1.0  # after it can reach the new one, without STEPDOWN
HANDSHAKE_SECONDS = 0.012
PLAY_SECONDS = 80  # longest time of a case, without the start of the daemons
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets a daemon end with this process, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def signature(request_id, rows):
    return "9." + hashlib.sha1((request_id + "|" + "|".join(rows)).encode()).hexdigest()[:16]


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def add(self, text):
        self.file.write("%9.3f %s\n" % (time.monotonic() - self.began, text))


class Refusal(Exception):
    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Instance:
    """A database instance with its log, role and connections."""

    def __init__(self, group, name, host, zone):
        self.group, self.name, self.host, self.zone = group, name, host, zone
        self.port = 8000
        self.log = []         # of (number, term, request ids, {thing: data})
        self.arrived = []     # monotonic time at which each entry was received
        self.primary = False
        self.term = 1
        self.pause = 0        # receives nothing until RESUME, a promote or its restart
        self.alive = False
        self.state = "ready"
        self.lag = 0.008      # from the receipt of an entry until it is applied
        self.deaf = False     # the link from the primary is cut
        self.busy_until = 0.0
        self.promoting = False
        self.applied = 0
        self.work_seconds = 0.006
        self.slots = asyncio.Semaphore(group.slots)
        self.server = None
        self.sessions = set()
        self.born = int(time.time() * 1000)

    def received(self):
        return (self.log[-1][1], self.log[-1][0]) if self.log else (self.term, 0)

    def applied_count(self):
        if self.primary:
            return len(self.log)
        limit = time.monotonic() - self.lag
        count = len(self.log)
        while count > self.applied and self.arrived[count - 1] > limit:
            count -= 1
        self.applied = count  # a lag that begins takes nothing back
        return count

    def position(self):
        """The position of the log that reads see."""
        count = self.applied_count()
        term = self.term if self.primary or not count else self.log[count - 1][1]
        return "%d.%d" % (term, count)

    def append(self, entry):
        self.log.append(entry)
        self.arrived.append(time.monotonic())

    def thing(self, name):
        for entry in reversed(self.log[:self.applied_count()]):
            if name in entry[3]:
                return entry[3][name]
        return "none"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 21)
        self.alive, self.pause = True, 0

    def crash(self):
        self.alive = False
        self.server.close()
        for session in list(self.sessions):
            session.writer.transport.abort()

    async def serve(self, reader, writer):
        session = InstanceSession(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            session.closed = True
            self.sessions.discard(session)
            writer.close()


class InstanceSession:
    """A connection to an instance."""

    next_number = 1

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.number = InstanceSession.next_number
        InstanceSession.next_number += 1
        self.values, self.prepared = {}, {}
        self.open = self.failed = self.read_only = False
        self.lost_lead = False
        self.writes, self.write_ids = {}, []
        self.closed = False
        self.begin_id = ""

    def send(self, text):
        self.writer.write((text + "\r\n").encode())

    def state(self):
        return ("E" if self.failed else "T") if self.open else "I"

    async def run(self):
        instance, group = self.instance, self.instance.group
        first = (await self.reader.readline()).decode().split()
        if len(first) < 3 or first[0] != "START":
            return
        if first[1] != group.service or (len(first) > 3 and first[3] != instance.name):
            self.send("ERROR MOVED " + instance.name)
            return
        if len(instance.sessions) > group.max_connections:
            self.send("ERROR MAXCONN " + instance.name)
            return
        await asyncio.sleep(HANDSHAKE_SECONDS)
        self.send("READY I " + instance.position())
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            if not line or line.startswith("BYE"):
                return
            word, request_id, text = line.split(" ", 2)
            if word != "QUERY":
                return
            await self.answer(request_id, text)
            await self.writer.drain()

    async def answer(self, request_id, text):
        group, rows, code = self.instance.group, None, None
        try:
            rows = await self.run_statement(request_id, text)
        except Refusal as refusal:
            code = refusal.code
            if self.open:
                self.failed = True
        if self.closed:
            return
        shown = [row if len(row) < 80 else row[:20] + "... %d bytes" % len(row)
                 for row in rows or []]
        group.record.add("%s conn %d: %s %s -> %s %s" % (
            self.instance.name, self.number, request_id, text[:90],
            code or "COMPLETE " + " ".join(shown), self.state()))
        if code:
            self.send("ERROR %s %s" % (code, self.instance.name))
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
        instance = self.instance
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            if not instance.group.controls_take_slots:
                return self.control(word, rest)
            async with instance.slots:
                return self.control(word, rest)
        if word == "ROLLBACK":
            self.end()
            return None
        if self.failed:
            raise Refusal("MALFORMED")
        wrote = bool(self.writes)
        if self.open and not self.read_only and not (word == "COMMIT" and not wrote) and \
                (not instance.primary or self.lost_lead):
            # any statement of a plain transaction whose instance has lost the lead
            raise Refusal("READONLY")
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
            if self.prepared.pop(rest, None) is None:
                raise Refusal("UNKNOWN")
            return None
        if required:
            self.check_position(required)
        if word == "BEGIN":
            if rest != "READ" and not instance.primary:
                raise Refusal("READONLY")
            self.open, self.read_only, self.begin_id = True, rest == "READ", request_id
            return None
        if time.monotonic() < instance.busy_until:
            raise Refusal("BUSY")
        shape = ""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                instance.group.on_unknown(self, request_id, text)
                raise Refusal("UNKNOWN")
            word, shape = self.prepared[name]
        async with instance.slots:
            await asyncio.sleep(instance.group.work_seconds_of(instance, word, rest))
        if self.closed or not instance.alive:
            raise ConnectionError
        instance.group.on_run(self, request_id, word, shape, rest)
        if word == "READ":
            return self.read(rest)
        if word == "PUT":
            return await self.put(request_id, rest)
        if word == "COMMIT":
            return await self.commit(request_id)
        raise Refusal("MALFORMED")

    def read(self, thing):
        values = ",".join("%s=%s" % pair for pair in sorted(self.values.items()))
        if thing.startswith("large"):
            return ["x" * int(thing[5:].split("x")[1])] * int(thing[5:].split("x")[0])
        return ["%s;%s;%s" % (self.instance.thing(thing), values, self.instance.position())]

    def check_position(self, required):
        term, number = (int(part) for part in required.split("."))
        count = self.instance.applied_count()
        have = (self.instance.term if self.instance.primary else
                (self.instance.log[count - 1][1] if count else 0), count)
        if have < (term, number) and not (count >= number and have[0] >= term):
            raise Refusal("LAGGING")

    def end(self):
        self.open = self.failed = self.read_only = self.lost_lead = False
        self.writes, self.write_ids = {}, []

    async def put(self, request_id, rest):
        if not self.instance.primary or self.read_only:
            raise Refusal("READONLY")
        thing, _, data = rest.partition(" ")
        self.writes[thing] = data
        self.write_ids.append(request_id)
        if not self.open:
            await self.write_log(request_id)
        return []

    async def commit(self, request_id):
        if self.writes:
            await self.write_log(request_id)
        self.end()
        return []

    async def write_log(self, request_id):
        instance, group = self.instance, self.instance.group
        if not instance.primary:
            self.writes, self.write_ids = {}, []
            raise Refusal("READONLY")
        entry = (len(instance.log) + 1, instance.term, tuple(self.write_ids), dict(self.writes))
        self.writes, self.write_ids = {}, []
        instance.append(entry)
        while not group.is_replicated(instance, entry):
            await asyncio.sleep(0.002)
            if not instance.alive or not instance.primary or instance.term != entry[1]:
                group.record.add("%s: the outcome of %s is unknown" % (instance.name, request_id))
                self.writer.transport.abort()
                raise ConnectionError
        group.on_commit(instance, entry)

    def control(self, word, rest):
        instance = self.instance
        if word == "PAUSE" and not instance.primary and int(rest) > instance.term:
            instance.pause = max(instance.pause, int(rest))
        if word == "RESUME":
            instance.pause = 0
        if word == "STEPDOWN" and instance.primary and int(rest) > instance.term:
            instance.step_down()
        role = "primary" if instance.primary else "replica"
        return ["%s %d %d.%d %d %d %d %d" % (
            role, instance.term, *instance.received(), instance.pause,
            int(instance.lag * 1000), 0, len(instance.sessions))]


def _step_down(self):
    self.primary = False
    for session in self.sessions:
        session.lost_lead = session.open and not session.read_only
    self.group.on_change()


Instance.step_down = _step_down


class Group:
    """The instances of one service."""

    def __init__(self, service, record, max_connections=34, slots=3):
        self.service, self.record = service, record
        self.max_connections, self.slots = max_connections, slots
        self.instances = []
        self.on_change = lambda: None
        self.on_run = lambda session, request_id, word, shape, rest: None
        self.on_unknown = lambda session, request_id, text: None
        self.on_commit = lambda instance, entry: None
        self.on_promoted = lambda instance: None
        self.promotions = 0
        self.controls_take_slots = False
        self.work_seconds_of = lambda instance, word, rest: instance.work_seconds

    def newest_primary(self):
        primaries = [each for each in self.instances if each.primary and each.alive]
        return max(primaries, key=lambda each: each.term, default=None)

    def is_replicated(self, primary, entry):
        return any(each is not primary and len(each.log) >= entry[0] and
                   each.log[entry[0] - 1] is entry for each in self.instances)

    async def promote(self, service, name):
        chosen = next((each for each in self.instances if each.name == name and each.alive), None)
        self.record.add("POST /promote %s -> %s" % (name, "409" if chosen is None else "200"))
        if chosen is None:
            return False
        if not chosen.primary and not chosen.promoting:
            chosen.promoting = True
            asyncio.ensure_future(self.complete(chosen))
        return True

    async def complete(self, chosen):
        await asyncio.sleep(PROMOTE_SECONDS)
        chosen.promoting = False
        if not chosen.alive:
            return
        chosen.term = max(each.term for each in self.instances) + 1
        chosen.primary, chosen.pause = True, 0
        self.promotions += 1
        self.record.add("%s leads term %d from %s" % (chosen.name, chosen.term, chosen.position()))
        self.on_promoted(chosen)
        self.on_change()

    def replicate(self):
        newest = self.newest_primary()
        if newest is None or newest.deaf:
            return
        for each in self.instances:
            if each is newest or not each.alive or each.deaf:
                continue
            if each.primary:
                if not hasattr(each, "outdated_since") or each.outdated_since is None:
                    each.outdated_since = time.monotonic()
                if time.monotonic() >= each.outdated_since + OLD_PRIMARY_SECONDS:
                    each.step_down()
                    each.outdated_since = None
                continue
            each.outdated_since = None
            if each.pause > newest.term:
                continue
            common = min(len(each.log), len(newest.log))
            while common and each.log[common - 1] is not newest.log[common - 1]:
                common -= 1
            if common < len(each.log):
                self.record.add("%s rolls back to %d" % (each.name, common))
                each.busy_until = time.monotonic() + ROLLBACK_BUSY_SECONDS
                del each.log[common:]
                del each.arrived[common:]
                each.applied = min(each.applied, common)
            for entry in newest.log[common:]:
                each.append(entry)
            each.term, each.pause = newest.term, 0

    async def run(self):
        while True:
            self.replicate()
            await asyncio.sleep(REPLICATION_SECONDS)


class Client:
    """A client's session."""

    def __init__(self, world, daemon, database, name):
        self.world, self.daemon, self.database, self.name = world, daemon, database, name
        self.reader = self.writer = None
        self.count = 0

    async def start(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(
            self.daemon.host, 8784, limit=1 << 24), 5)
        self.writer.write(("START %s %s\r\n" % (self.database, self.name)).encode())
        line = (await asyncio.wait_for(self.reader.readline(), 5)).decode()
        if not line.startswith("READY I"):
            raise ConnectionError(line.strip())

    def new_id(self):
        return "%016x" % self.world.random.getrandbits(64)

    async def ask(self, text, timeout=6, request_id=None):
        """Returns (rows, outcome, state). The outcome is None if the connection ended."""
        request_id = request_id or self.new_id()
        self.last_id = request_id
        self.world.record.add("%s -> %s %s" % (self.name, request_id, text[:90]))
        rows, outcome, state = [], None, ""
        try:
            self.writer.write(("QUERY %s %s\r\n" % (request_id, text)).encode())
            while True:
                line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
                if not line.endswith("\r\n"):
                    outcome = None
                    break
                word, _, rest = line.rstrip("\r\n").partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word in ("COMPLETE", "ERROR"):
                    outcome = word + " " + rest
                elif word == "READY":
                    state = rest.split(" ")[0]
                    break
        except (ConnectionError, asyncio.TimeoutError, ValueError) as error:
            outcome = None
            state = type(error).__name__
        shown = [row if len(row) < 80 else row[:20] + "... %d bytes" % len(row) for row in rows]
        self.world.record.add("%s <- %s %s %s %s" % (self.name, request_id, outcome, state,
                                                     " ".join(shown)))
        if outcome and outcome.startswith("COMPLETE ") and outcome != "COMPLETE -" and \
                outcome[9:] != signature(request_id, rows):
            self.world.breaks.append("MIXED: %s %s" % (request_id, text))
        return rows, outcome, state

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


SETTINGS = """[daemon]
name = "{name}"
zone = "{zone}"
zone_regions = ["hall-a=inland", "hall-b=inland", "hall-c=inland"]
processor_share = 0.25
seeds = [{seeds}]
first_start = "{first}"
features = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
stop_grace_ms = 6000
drain_limit_ms = 7000
[listen]
callers = "{host}:8784"
health = "{host}:8785"
health_path = "/api/ready"
admin = "{host}:8782"
peer = "{host}:7440"
[store]
address = "{store}"
[promotion]
address = "{promotion}"
"""


class Daemon:
    def __init__(self, world, number, store, promotion):
        self.world, self.number = world, number
        self.name = "edge-%d" % number
        self.zone = "hall-" + "abc"[number % 3]
        self.host = world.address(1, number + 1)
        self.path = os.path.join(world.folder, self.name + ".toml")
        self.log_path = os.path.join(world.folder, self.name + ".log")
        self.store, self.promotion = store, promotion
        self.process = None

    def start(self, first="false"):
        seeds = ", ".join('"%s:8782"' % self.world.address(1, number + 1)
                          for number in range(min(3, self.world.daemon_count)))
        with open(self.path, "w") as file:
            file.write(SETTINGS.format(name=self.name, zone=self.zone, seeds=seeds, first=first,
                                       host=self.host, store=self.store, promotion=self.promotion))
        log = open(self.log_path, "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["VALVEKEEL_CONFIG"] = self.path
        self.process = subprocess.Popen([BINARY], stdout=log, stderr=log, env=environment,
                                        cwd=ROOT, preexec_fn=end_with_parent)
        self.world.record.add("%s starts" % self.name)

    def signal(self, number):
        if self.process.poll() is None:
            self.world.record.add("%s gets signal %d" % (self.name, number))
            self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, 8785)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    """A small deployment: store, promotion service, one group of three instances, daemons."""

    def __init__(self, case_folder, seed=1, daemons=2, services=("ledger",), connections=34,
                 slots=3, routes=None, prepare=None):
        self.prepare = prepare  # called before the daemons start
        self.promotion_address = None
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="valvekeel-review-")
        self.random = random.Random(seed)
        self.daemon_count = daemons
        self.breaks = []
        self.network = self.free_network()
        self.store = Store(seed)
        self.daemons, self.groups, self.tasks = [], {}, []
        self.links = {}
        self.connections, self.slots, self.services = connections, slots, services
        self.version = 3
        self.routes = routes or [("primary", "primary", 0), ("own", "read_your_writes", 2500),
                                 ("bounded", "bounded_staleness", 1500)]
        self.timeout_ms, self.latency_ms = 3000, 500

    def address(self, part, number):
        return "127.%d.%d.%d" % (self.network, part, number)

    def free_network(self):
        for network in random.sample(range(20, 250), 200):
            with socket.socket() as probe:
                try:
                    probe.bind(("127.%d.1.1" % network, 8784))
                    return network
                except OSError:
                    continue
        raise OSError("no free network")

    async def start(self):
        self.store.promote = self.promote
        host = self.address(0, 1)
        await asyncio.start_server(self.store.serve, host, 8783)
        self.promotion_link = Link(self.address(0, 3), 8783, host, 8783)
        await self.promotion_link.start()
        if self.prepare:
            await self.prepare(self)
        promotion = self.promotion_address or self.address(0, 3) + ":8783"
        for at, service in enumerate(self.services):
            await self.add_group(service, at)
        await self.configure()
        for number in range(self.daemon_count):
            link = Link(self.address(2, number + 1), 8783, host, 8783)
            await link.start()
            self.links["store-%d" % number] = link
            daemon = Daemon(self, number, link.host + ":8783", promotion)
            self.daemons.append(daemon)
            daemon.start("true")

    async def add_group(self, service, at):
        group = Group(service, self.record, self.connections, self.slots)
        self.groups[service] = group
        for index in range(3):
            instance = Instance(group, "i-%s-%d" % (service, index),
                                self.address(10 + at, index + 1), "hall-" + "abc"[index])
            instance.primary = index == 0
            group.instances.append(instance)
            await instance.start()
            link = Link(self.address(30 + at, index + 1), 8000, instance.host, 8000)
            await link.start()
            self.links[instance.name] = link
        group.on_change = lambda: asyncio.ensure_future(self.announce(group))
        self.tasks.append(asyncio.ensure_future(group.run()))
        await self.announce(group)

    async def announce(self, group):
        for instance in group.instances:
            if instance.alive and not getattr(instance, "unlisted", False):
                await self.store.put("servers", instance.name, {
                    "service": group.service, "addr": "%s:8000" % self.links[instance.name].host,
                    "zone": instance.zone, "version": "v1", "slots": group.slots,
                    "state": instance.state, "warmup_left_ms": 0,
                    "db_role": "primary" if instance.primary else "replica", "seq": 1,
                    "born": instance.born})

    async def configure(self):
        routes = [{"name": service + "-" + short, "host": service + "-" + short, "kind": kind,
                   "timeout_ms": self.timeout_ms, "priority": 1, "service": service,
                   "target_latency_ms": self.latency_ms, "max_staleness_ms": staleness}
                  for service in self.services for short, kind, staleness in self.routes]
        services = [{"name": service, "max_conns": self.connections, "sync_replicas": 1}
                    for service in self.services]
        await self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"tx_idle_ms": 5000}})

    async def promote(self, service, name):
        return await self.groups[service].promote(service, name)

    async def wait_ready(self, seconds=25):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            states = [await daemon.ready() for daemon in self.daemons]
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        """Ends all processes that were started, and removes their files."""
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.flush()


def run_case(play, case_folder, **options):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body():
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are cancelled.
        loop.set_exception_handler(lambda loop, context: None)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(case_folder, **options)
        try:
            await world.start()
            if not await world.wait_ready():
                world.record.add("the daemons do not become ready")
                return 2
            played = await asyncio.wait_for(play(world, trouble), PLAY_SECONDS)
            for text in world.breaks:
                world.record.add("BROKEN " + text)
                print("BROKEN " + text)
            if world.breaks:
                return 1
            if played is False:
                print("the case could not be played")
                return 2
            print("held")
            return 0
        finally:
            world.end()

    try:
        status = asyncio.run(body())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print("could not run: %s: %s" % (type(error).__name__, error))
        status = 2
    sys.stdout.flush()
    os._exit(status)
