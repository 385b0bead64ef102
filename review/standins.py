"""Runs a case of the review: real valvekeel-edge processes before stand-ins of everything else.

  standins.py CASE FOLDER      CASE: a name in CASES; FOLDER: where record.txt is written

One database group (a primary, two replicas, `sync_replicas` 1), the platform's store with its
promotion service, three daemons and their callers. The stand-ins of the store and of the instances
are the project's own (tests/platform/soak); this file adds instances that receive nothing, paths
that are cut between single daemons and instances, entries that go after three heartbeats, and a
store whose watches hear nothing for a second. With TROUBLE=0 in the environment nothing is
disturbed. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True  # nothing is written outside the folders of the cases
sys.path.insert(0, str(ROOT / "tests" / "platform" / "soak"))
from database import (DEMOTE_SECONDS, PROMOTE_SECONDS, Group, Instance, Session,  # noqa: E402
                      signature)
from link import Link  # noqa: E402
from store import Store  # noqa: E402

BINARY = ROOT / "target" / "valvekeel-edge"  # built by the command in deploy/system.toml
SERVICE = "ledger"
DAEMONS = 3
CALLERS_PER_DAEMON = 4  # that write
READERS_PER_DAEMON = 2  # that read at replicas, and as many that read at the primary
HEARTBEAT_SECONDS = 1.2
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
WRITE_PAUSE_SECONDS = 0.04
ANSWER_TIMEOUT_SECONDS = 4.0
START_TIMEOUT_SECONDS = 15.0
LEAST_WRITES = 50  # acknowledged before the trouble; otherwise the case could not run
# The settings that deploy/settings.toml.template yields for a small deployment.
SETTINGS = """[daemon]
name = "{name}"
zone = "{zone}"
zone_regions = ["zone-0=region", "zone-1=region", "zone-2=region"]
processor_share = 0.25
seeds = {seeds}
first_start = "{first}"
features = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
stop_grace_ms = 6000
drain_limit_ms = 7000
[listen]
callers = "{host}:{port}"
health = "{host}:{health}"
health_path = "/api/ready"
admin = "{host}:{admin}"
peer = "{host}:{peer}"
[store]
address = "{store}"
[promotion]
address = "{store}"
"""


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


class ReviewStore(Store):
    """The project's store, served to each daemon on a port of its own with that daemon's paths."""

    def __init__(self):
        super().__init__(1)
        self.blind_until = 0.0

    async def forget_history(self):
        """Watches hear nothing for a second; then the history is gone and they are cut."""
        self.blind_until = time.monotonic() + 1.0
        await asyncio.sleep(1.0)
        await self.compact()

    async def watch(self, kind, after, wait):
        """Also watches that wait already when the blindness begins hear nothing until it ends."""
        until = time.monotonic() + wait
        while True:
            now = time.monotonic()
            if now >= self.blind_until:
                heard = any(revision > after and each == kind for revision, each, _, _ in self.events)
                if heard or now >= until or after < self.oldest_watchable_revision:
                    return await super().watch(kind, after, 0.001)
            elif now >= until:
                return 200, {"events": [], "at": after}
            await asyncio.sleep(0.002)

    def view(self, number, rewrite, isolated):
        """Serves a daemon; silent while it is isolated."""
        async def serve(reader, writer):
            try:
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    lines = head.split("\r\n")
                    method, target, _ = lines[0].split(" ", 2)
                    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
                    body = await reader.readexactly(int(headers.get("content-length", 0)))
                    while number in isolated:
                        await asyncio.sleep(0.02)
                    await asyncio.sleep(self.delay)
                    status, answer = await self.handle(method, target, headers, body)
                    while number in isolated:
                        await asyncio.sleep(0.02)
                    text = rewrite(json.dumps(answer)).encode()
                    writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                                 b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
        return serve


class ReviewSession(Session):
    """A session that also ends while its commit waits for a replica, once its far end has closed."""

    async def write_log(self):
        waiting = asyncio.ensure_future(super().write_log())
        while not waiting.done():
            await asyncio.wait([waiting], timeout=0.02)
            if self.reader.at_eof() and not waiting.done():
                waiting.cancel()
                raise ConnectionError
        waiting.result()


class ReviewInstance(Instance):
    deaf = False  # receives nothing
    cut_off = False  # neither receives from the other instances nor sends to them

    async def serve(self, reader, writer):
        session = ReviewSession(self, reader, writer)
        self.connections.add(session)
        try:
            await session.run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(session)
            writer.close()


class ReviewGroup(Group):
    """The project's group; an instance that is deaf receives nothing. Checks each promotion."""

    def __init__(self, record, acknowledged):
        super().__init__(SERVICE, 60)
        self.record, self.acknowledged = record, acknowledged
        self.lost, self.stale, self.rolled_back = [], [], set()
        self.promotions, self.newest_term = 0, 1
        self.announce = None  # coroutine function of an instance

    def replicate(self):
        everyone = self.instances
        self.instances = [each for each in everyone if not each.deaf and not each.cut_off]
        super().replicate()
        self.instances = everyone

    def is_replicated(self, primary, end):
        return not primary.cut_off and super().is_replicated(primary, end)

    async def complete_promotion(self, chosen):
        await asyncio.sleep(PROMOTE_SECONDS)
        chosen.promoting = False
        if not chosen.alive:
            return
        chosen.term, chosen.primary = max(each.term for each in self.instances) + 1, True
        for each in self.instances:
            each.fence = 0  # PROTOCOL.md: "until `RESUME`, a promote or its restart"
        self.check_promotion()
        # An old primary continues until a second after it can reach the new one.
        await asyncio.sleep(DEMOTE_SECONDS)
        for each in self.instances:
            if each.primary and each.term < chosen.term and not each.cut_off:
                each.primary = False
                asyncio.ensure_future(self.announce(each))

    def check_promotion(self):
        """Called as a promotion takes effect: all that was acknowledged must be in the log."""
        chosen = self.newest_primary()
        asyncio.ensure_future(self.announce(chosen))
        if chosen.term == self.newest_term:
            return
        self.newest_term, self.promotions = chosen.term, self.promotions + 1
        held = {request for _, request, _, _ in chosen.log}
        missing = [each for each in self.acknowledged if each not in held]
        self.record.write("platform: %s leads term %d with a log of %d; %d acknowledged commits, "
                          "%d of them not in its log" % (chosen.name, chosen.term, len(chosen.log),
                                                         len(self.acknowledged), len(missing)))
        for each in missing:
            self.record.write("LOST: %s, acknowledged, is not in the log of %s" % (each, chosen.name))
        self.lost += missing
        self.rolled_back.update(missing)

    def check_read(self, instance, request, needed):
        """Called before a read on a `primary` route runs: the log must hold what it needs."""
        held = {each for _, each, _, _ in instance.log}
        lacking = [each for each in needed if each not in held and each not in self.rolled_back]
        if lacking:
            self.stale.append(request)
            self.record.write("STALE: %s runs at %s, whose log of term %d lacks %d commits that were "
                              "acknowledged before it was sent, the last one %s" % (
                                  request, instance.name, instance.term, len(lacking), lacking[-1]))


class PeerPath(asyncio.DatagramProtocol):
    """The address that one daemon has for the heartbeats of another one. What the first sends there
    reaches the second from the address that the second has for the first."""

    def __init__(self, case, sender, receiver):
        self.case, self.sender, self.receiver = case, sender, receiver

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        if not {self.sender, self.receiver} & self.case.isolated:
            back = self.case.paths[self.receiver, self.sender].transport
            back.sendto(data, (self.case.host(1 + self.receiver), self.case.port + 3))


class Case:
    def __init__(self, folder, logs):
        self.record = Record(Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.logs, self.acknowledged = logs, []
        self.store = ReviewStore()
        self.group = ReviewGroup(self.record, self.acknowledged)
        self.links = {}    # by daemon number and instance name
        self.beats = {}    # time of the last heartbeat by instance name
        self.silent = set()  # names of instances that do not reach the store
        self.processes = {}
        self.paths = {}      # by the numbers of two daemons
        self.isolated = set()  # numbers of the daemons cut off from the store and the others
        self.ended = {}      # exit status by the number of a daemon that ended by itself
        self.ran = {}        # name of the instance that ran a request
        self.needed = {}     # number of commits acknowledged when a read was sent, by its request
        self.draw = random.Random()
        self.choose_addresses()

    def choose_addresses(self):
        """Picks a block of loopback addresses and ports on which nothing listens."""
        for _ in range(100):
            self.block = "127.%d.%d" % (self.draw.randrange(10, 250), self.draw.randrange(1, 250))
            self.port = self.draw.randrange(15000, 30000, 8)
            try:
                for host in range(1, 60):
                    for port in range(self.port, self.port + 4):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (self.block, host), port))
                return
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def host(self, number):
        return "%s.%d" % (self.block, number)

    def peer_host(self, number, other):
        """Returns the host that a daemon has for another one."""
        return self.host(10 + DAEMONS * number + other)

    async def start(self):
        if not BINARY.exists():
            raise CannotRun("build %s with the command in deploy/system.toml" % BINARY)
        self.store.promote = self.promote
        self.group.announce = self.announce
        for index, name in enumerate(("p", "r1", "r2")):
            await self.add_instance(name, index, primary=index == 0)
        asyncio.ensure_future(self.group.run())
        asyncio.ensure_future(self.beat())
        route = {"name": "r", "host": "desk", "kind": "primary", "timeout_ms": 800, "priority": 1,
                 "service": SERVICE, "target_latency_ms": 150}
        look = {"name": "l", "host": "look", "kind": "bounded_staleness", "timeout_ms": 2000,
                "priority": 2, "service": SERVICE, "target_latency_ms": 500,
                "max_staleness_ms": 1500}
        await self.store.put("config", "main", {
            "version": 1, "routes": [route, look], "limits": {"tx_idle_ms": 3000},
            "services": [{"name": SERVICE, "max_conns": 60, "sync_replicas": 1}]})
        for pair in [(a, b) for a in range(DAEMONS) for b in range(DAEMONS) if a != b]:
            self.paths[pair] = (await asyncio.get_running_loop().create_datagram_endpoint(
                lambda pair=pair: PeerPath(self, *pair), (self.peer_host(*pair), self.port + 3)))[1]
        for number in range(DAEMONS):
            await asyncio.start_server(self.store.view(number, self.rewriter(number), self.isolated),
                                       self.host(20 + number), self.port)
            self.start_daemon(number, "true")
        await self.wait_until_ready()
        for number in range(DAEMONS):
            for caller in range(CALLERS_PER_DAEMON):
                asyncio.ensure_future(self.call(number, caller, "desk"))
            for caller in range(READERS_PER_DAEMON):
                asyncio.ensure_future(self.call(number, 4 + caller, "look"))
                asyncio.ensure_future(self.call(number, 6 + caller, "desk", reads=True))

    def rewriter(self, number):
        def rewrite(text):
            for (daemon, name), link in self.links.items():
                if daemon == number:
                    text = text.replace('"@%s"' % name, '"%s:%d"' % (link.host, link.port))
            for other in range(DAEMONS):
                if other != number:
                    text = text.replace('"%s:%d"' % (self.host(1 + other), self.port + 3),
                                        '"%s:%d"' % (self.peer_host(number, other), self.port + 3))
            return text
        return rewrite

    async def add_instance(self, name, index, primary=False):
        instance = ReviewInstance(self.group, name, self.host(30 + index), self.port)
        instance.primary, instance.zone = primary, "zone-%d" % (index % 3)
        instance.on_request = self.on_request
        for number in range(DAEMONS):
            link = Link(self.host(40 + 5 * number + index), self.port, instance.host, instance.port)
            await link.start()
            self.links[number, name] = link
        await instance.start()
        self.group.instances.append(instance)
        await self.announce(instance)
        return instance

    def on_request(self, instance, request):
        if request == "-":
            return
        self.record.write("%s runs %s" % (instance.name, request))
        self.ran[request] = instance.name
        if request in self.needed:
            self.group.check_read(instance, request, self.acknowledged[:self.needed[request]])

    async def announce(self, instance):
        self.beats[instance.name] = time.monotonic()
        await self.store.put("servers", instance.name, {
            "service": SERVICE, "addr": "@" + instance.name, "zone": instance.zone,
            "version": "v1", "slots": 3, "state": instance.state, "warmup_left_ms": 0,
            "db_role": "primary" if instance.primary else "replica", "seq": 1})

    async def beat(self):
        """Heartbeats of the instances; an entry goes after three that are missing."""
        while True:
            now = time.monotonic()
            for each in self.group.instances:
                if each.alive and each.name not in self.silent:
                    if now >= self.beats[each.name] + HEARTBEAT_SECONDS / 2:
                        await self.announce(each)
                elif now >= self.beats[each.name] + LAPSE_SECONDS:
                    if each.name in self.store.objects["servers"]:
                        self.record.write("store: the entry of %s goes" % each.name)
                        await self.store.remove("servers", each.name)
            await asyncio.sleep(0.1)

    async def promote(self, service, name):
        self.record.write("platform: is asked to promote %s" % name)
        return await self.group.promote(name)

    # Daemons.

    def start_daemon(self, number, first):
        path = Path(self.logs) / ("daemon-%d.toml" % number)
        path.write_text(SETTINGS.format(
            name="daemon-%d" % number, zone="zone-%d" % number, first=first,
            host=self.host(1 + number), port=self.port, health=self.port + 1, admin=self.port + 2,
            peer=self.port + 3, store="%s:%d" % (self.host(20 + number), self.port),
            seeds=json.dumps(["%s:%d" % (self.host(1 + each) if each == number else
                                         self.peer_host(number, each), self.port + 2)
                              for each in range(DAEMONS)])))
        log = open(Path(self.logs) / ("daemon-%d.log" % number), "ab")
        self.processes[number] = subprocess.Popen(
            [str(BINARY)], stdout=log, stderr=log, cwd=ROOT,
            env=dict(os.environ, VALVEKEEL_CONFIG=str(path)))
        self.record.write("daemon-%d starts" % number)

    def kill_daemons(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.record.write("all daemons are killed")

    async def wait_until_ready(self):
        until = time.monotonic() + START_TIMEOUT_SECONDS
        for number in range(DAEMONS):
            while not await self.is_ready(number):
                if time.monotonic() > until:
                    raise CannotRun("daemon-%d does not become ready" % number)
                await asyncio.sleep(0.1)

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(self.host(1 + number), self.port + 1)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    # Callers: each writes one key after the other, or reads keys, on one session at a time.

    async def call(self, number, caller, database, reads=False):
        count = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.host(1 + number), self.port)
                writer.write(b"START %s u%d\r\n" % (database.encode(), caller))
                line = await asyncio.wait_for(reader.readline(), 2)
                while line.startswith(b"READY I"):
                    count += 1
                    request = "%d%d%06d" % (number, caller, count)
                    writes = database == "desk" and not reads
                    if reads:
                        self.needed[request] = len(self.acknowledged)
                    text = "PUT k%s 1" % request if writes else "READ k%d" % count
                    done = await self.ask(reader, writer, request, text, number)
                    if done and writes:
                        self.acknowledged.append(request)
                    await asyncio.sleep(WRITE_PAUSE_SECONDS)
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            finally:
                if "writer" in locals():
                    writer.close()
            await asyncio.sleep(0.2)

    async def ask(self, reader, writer, request, text, number):
        """Returns true if the statement succeeded, with the signature of an instance."""
        self.record.write("sent to daemon-%d: %s %s" % (number, request, text))
        writer.write(("QUERY %s %s\r\n" % (request, text)).encode())
        rows, outcome = [], ""
        while True:
            line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_SECONDS)
            if not line.endswith(b"\r\n"):
                raise EOFError
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "READY":
                break
            if word == "ROW":
                rows.append(rest)
            else:
                outcome = word + " " + rest
        self.record.write("answered: %s %s" % (request, outcome))
        return outcome == "COMPLETE " + signature(request, rows)

    # Troubles.

    def instance(self, name):
        return next(each for each in self.group.instances if each.name == name)

    def make_deaf(self, *names):
        for name in names:
            self.instance(name).deaf = True
            self.record.write("%s receives nothing from now on" % name)

    async def crash(self, name):
        self.record.write("%s crashes" % name)
        await self.instance(name).crash()

    async def wait_for_promotion(self, seconds):
        until = time.monotonic() + seconds
        while not self.group.promotions and time.monotonic() < until:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)

    async def forgotten(self):
        """A replica leaves with the only copies; then all daemons are killed and start again."""
        if not self.trouble:
            return await asyncio.sleep(15)
        self.make_deaf("r1")
        await asyncio.sleep(1.5)
        await self.crash("r2")
        await asyncio.sleep(5)
        self.kill_daemons()
        await asyncio.sleep(0.5)
        for number in range(DAEMONS):
            self.start_daemon(number, "false")
        await self.wait_for_promotion(12)

    async def unseen(self):
        """A replica joins while the watches hear nothing, and the primary crashes."""
        if not self.trouble:
            return await asyncio.sleep(10)
        self.record.write("store: watches hear nothing for a second")
        asyncio.ensure_future(self.store.forget_history())
        await asyncio.sleep(0.05)
        self.make_deaf("r1", "r2")
        await asyncio.sleep(0.05)
        await self.add_instance("r3", 3)
        self.record.write("r3 starts and writes its entry to the store")
        await asyncio.sleep(0.4)
        await self.crash("p")
        await self.wait_for_promotion(8)

    async def cut(self):
        """A replica is cut off from store and daemons; another falls behind; the primary crashes."""
        if not self.trouble:
            return await asyncio.sleep(15)
        self.record.write("r2 is cut off from the store and from all daemons")
        self.silent.add("r2")
        for number in range(DAEMONS):
            link = self.links[number, "r2"]
            link.blocked_in = link.blocked_out = True
        await asyncio.sleep(6)
        self.make_deaf("r1")
        await asyncio.sleep(1.5)
        await self.crash("p")
        await self.wait_for_promotion(8)

    async def old_lease(self):
        """A daemon is isolated; the primary is cut off from the others and from the replicas."""
        if not self.trouble:
            return await asyncio.sleep(10)
        self.record.write("daemon-2 is cut off from the store and from the other daemons")
        self.isolated.add(2)
        await asyncio.sleep(0.3)
        self.make_deaf("r2")
        await self.add_instance("r3", 3)
        self.record.write("r3 starts and writes its entry to the store")
        await asyncio.sleep(1)
        self.record.write("r1 drains")
        self.instance("r1").state = "draining"
        await self.announce(self.instance("r1"))
        await asyncio.sleep(0.5)
        self.record.write("p is cut off from the replicas, daemon-0 and daemon-1")
        self.instance("p").cut_off = True
        for number in range(2):
            link = self.links[number, "p"]
            link.blocked_in = link.blocked_out = True
        await self.wait_for_promotion(6)
        await asyncio.sleep(3)

    async def dark(self):
        """A transaction stays open at an instance that goes dark and is never listed again."""
        sessions = []
        for attempt in range(500):
            reader, writer = await asyncio.open_connection(self.host(3), self.port)
            writer.write(b"START look u9\r\n")
            await reader.readline()
            await self.ask(reader, writer, "b%d" % attempt, "BEGIN READ", 2)
            await self.ask(reader, writer, "r%d" % attempt, "READ k1", 2)
            if self.ran.get("r%d" % attempt) != "r2":
                writer.close()
                await asyncio.sleep(0.02)
                continue
            sessions.append((reader, writer))
            if len(sessions) == 2:
                break
        else:
            raise CannotRun("no two transactions run at r2")
        if self.trouble:
            self.record.write("r2 goes dark")
            self.silent.add("r2")
            for number in range(DAEMONS):
                link = self.links[number, "r2"]
                link.blocked_in = link.blocked_out = True
        # The daemon learns from a statement without an answer that r2 is lost.
        sessions[1][1].write(b"QUERY other READ k3\r\n")
        reader, writer = sessions[0]
        for count in range(17):  # the transaction never rests for `tx_idle_ms`
            await asyncio.sleep(2.2)
            await self.ask(reader, writer, "s%d" % count, "SET who v%d" % count, 2)
        try:
            await self.ask(reader, writer, "last", "READ k2", 2)
        except (EOFError, ConnectionError):
            pass
        await asyncio.sleep(1)
        self.ended = {number: each.returncode for number, each in self.processes.items()
                      if each.poll() is not None}
        for number, status in self.ended.items():
            self.record.write("daemon-%d has ended by itself with %d" % (number, status))

    def stop(self, logs):
        """Ends at once, with all that was started."""
        for process in self.processes.values():
            process.kill()
        shutil.rmtree(logs, ignore_errors=True)
        os._exit(2)

    async def run(self, name):
        try:
            await self.start()
            await asyncio.sleep(5)
            if len(self.acknowledged) < LEAST_WRITES:
                raise CannotRun("only %d writes were acknowledged" % len(self.acknowledged))
            await getattr(self, name)()
        finally:
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        self.outcome = ("%d writes acknowledged, %d promotions, LOST: %d commits, STALE: %d reads, "
                        "daemons ended by themselves: %d" % (
                            len(self.acknowledged), self.group.promotions, len(self.group.lost),
                            len(self.group.stale), len(self.ended)))
        self.record.write(self.outcome)
        return 1 if self.group.lost or self.group.stale or self.ended else 0


CASES = ("forgotten", "unseen", "old_lease", "cut", "dark")


def main():
    name, folder = sys.argv[1:]
    if name not in CASES:
        print("unknown case")
        return 2
    with tempfile.TemporaryDirectory(prefix="valvekeel-review-") as logs:
        try:
            case = Case(folder, logs)
            signal.signal(signal.SIGTERM, lambda *_: case.stop(logs))
            # The loop's open connections end with this process; closing the loop would report each.
            loop = asyncio.new_event_loop()
            status = loop.run_until_complete(case.run(name))
        except (CannotRun, OSError) as error:
            print("could not run: %s" % error)
            status = 2
        finally:
            if os.environ.get("KEEP"):
                subprocess.run(["cp", "-r", logs, os.environ["KEEP"]], check=False)
    if status != 2:
        print(("broken: " if status else "held: ") + case.outcome)
    sys.stdout.flush()
    return status


if __name__ == "__main__":
    os._exit(main())
