#!/usr/bin/env python3
"""Fault soak: runs real valvekeel-edge processes against stand-ins and injects external faults.

  soak.py BINARY [--planned | --sequences | --odd_entries] [--restores] [--seed N] [--seconds S]
          [--daemons N] [--silent_callers N] [--keep FOLDER]

Processes are stopped, paused, killed and restarted by signals; connections to instances and the
store are delayed, reset and blocked by loopback proxies; instances crash; the store refuses
requests, stops answering, loses answers, drops its watch history and is restored from older copies.
The soak checks what callers and instances observed against the rules. It ends only processes that
it started. With --planned there are no faults, only planned operations that overlap: then no
request may end without an answer. With --odd_entries another writer's entries are added that no
daemon can use. A daemon may end only by a signal of the soak. Exits with 1 if a rule was broken or callers were not served
again, with 2 if it could not run. Runs at the same time need different values of --network.
"""

import argparse
import asyncio
import errno
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from callers import (CALLER_PORT, Caller, EarlyCaller, History,  # noqa: E402
                     HugeReader, PersistentCaller, SilentCaller)
from database import Group, Instance  # noqa: E402
from link import Link  # noqa: E402
from odd_entries import WHOLE, OddEntries, draw_contents  # noqa: E402
from planned import Planned  # noqa: E402
from store import Store  # noqa: E402
from unanswered import TIMEOUT_SECONDS, Requests  # noqa: E402

SETTINGS = """[daemon]
name = "{name}"
zone = "{zone}"
seeds = ["{network}.1:8782", "{network}.2:8782"]
first_start = "{first}"
stop_grace_ms = {grace_ms}
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
address = "{store}"
[relay]
most_meshed_daemons = {meshed}
[evacuation]
limit_ms = {evacuation_ms}
"""
EVACUATION_SECONDS = 5  # from the store's acknowledgement until no request reaches the zone
FAULT_RECOVERY_SECONDS = 5  # after a fault, in which evacuations may still be late
ZONES = 3
INSTANCES = 3
FAULT_START_DELAY_SECONDS = 6
FAULT_FREE_END_SECONDS = 12
LAPSE_SECONDS = 3.6  # after an instance's last heartbeat, until its entry goes
SEQUENCE_FREE_END_SECONDS = 26  # a sequence takes up to 14 s
MIN_SERVED_SHARE = 0.9
PLANNED_START_DELAY_SECONDS = 2
REFUSED_PREPARATIONS = 0.03  # share, with --refusals
SLOW_SHARE = 0.2  # of statements, so that some are in progress at each planned stop
# After planned work, for callers to be served again; long enough for a slow machine.
RECOVERY_TIMEOUT_SECONDS = 60
WINDOW_SECONDS = 2
EMPTY_RESTART_SECONDS = 8  # for a group to recover from an instance that lost its data
CLOSE_SECONDS = 0.3  # for the stand-ins to detect that the daemons have ended
EXIT_POLL_SECONDS = 0.05
START_TIMEOUT_SECONDS = 30.0  # for a daemon to listen


def catches(process, number):
    """Returns whether a process handles a signal, False if it has ended."""
    try:
        with open("/proc/%d/status" % process.pid) as file:
            masks = [line.split()[1] for line in file if line.startswith("SigCgt:")]
    except OSError:
        return False
    return bool(masks and int(masks[0], 16) & (1 << (number - 1)))


class Daemon:
    def __init__(self, binary, folder, number, options, store, report):
        self.binary, self.number, self.report = binary, number, report
        network = "127.%d.0" % (options.network + 1)
        self.host = "%s.%d" % (network, number + 1)
        self.path = os.path.join(folder, "daemon-%d.toml" % number)
        self.log = open(os.path.join(folder, "daemon-%d.log" % number), "ab")
        self.text = dict(name="daemon-%d" % number, zone="zone-%d" % (number % 2), host=self.host,
                         network=network, store=store, meshed=options.meshed, grace_ms=options.grace_ms,
                         evacuation_ms=0 if options.plant == "evacuated"
                         else EVACUATION_SECONDS * 1000)
        self.process = None
        self.stopped_at = None  # time of a planned stop's signal; None while it serves
        self.start("true")

    def start(self, first="false"):
        if self.process and self.process.poll() is None:
            return  # another fault has already started it
        self.check_exit()
        with open(self.path, "w") as file:
            file.write(SETTINGS.format(first=first, **self.text))
        environment = dict(os.environ, VALVEKEEL_CONFIG=self.path)
        self.started_at = time.monotonic()
        self.process = subprocess.Popen([self.binary], stdout=self.log, stderr=self.log,
                                        env=environment)
        self.allowed_exits, self.exit_checked = set(), False

    def send(self, number):
        if self.process.poll() is None:
            if number == signal.SIGTERM:
                self.allowed_exits.add(0)
            if not catches(self.process, number):
                self.allowed_exits.add(-number)
            self.process.send_signal(number)

    def check_exit(self):
        """Reports a process that ended otherwise than the signals sent to it make it end."""
        if self.process is None or self.exit_checked or self.process.poll() is None:
            return
        self.exit_checked = True
        if self.process.returncode not in self.allowed_exits:
            self.report("EXIT: daemon-%d ended by itself with %d, %.1f s after its start" % (
                self.number, self.process.returncode, time.monotonic() - self.started_at))


class Soak:
    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.random = random.Random(options.seed)
        self.store = Store(options.seed)
        self.history = History()
        self.requests = Requests()
        self.extra_routes, self.latency_ms = 0, 250
        self.groups, self.links, self.daemons, self.event_log = {}, {}, [], []
        self.odd_entries = OddEntries(self)
        self.evacuated = {}  # time of the evacuation by zone
        self.empty_restart_until = {}  # by group: end of the recovery from an empty restart
        self.early_texts = {}  # by request id, as early callers sent them
        self.unlisted = set()     # names of instances that do not reach the store
        self.in_sequence = set()  # groups that a sequence of faults is hitting
        self.fault_until = {}  # end of the fault by "daemon", "store" or name of the instance
        self.end = None

    async def start(self):
        self.check_addresses_free()
        self.store.promote = self.promote
        network = self.options.network
        store, link = ("127.%d.0.%d" % (network + 2, number) for number in (1, 2))
        await asyncio.start_server(self.store.serve, store, 8783)
        self.store_link = Link(link, 8783, store, 8783)
        await self.store_link.start()
        for number in range(self.options.services):
            await self.add_group("group%d" % number, number)
        await self.configure(1)
        if self.options.odd_entries:
            await self.odd_entries.write_first()
        for number in range(self.options.daemons):
            self.daemons.append(Daemon(self.options.binary, self.folder, number, self.options,
                                       link + ":8783", self.history.violations.append))
        asyncio.ensure_future(self.watch_exits())

    async def watch_exits(self):
        while True:
            for daemon in self.daemons:
                daemon.check_exit()
            await asyncio.sleep(EXIT_POLL_SECONDS)

    async def wait_listening(self, daemon):
        """Waits until a process listens: a signal before that would end it at once."""
        limit = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < limit:
            try:
                _, writer = await asyncio.open_connection(daemon.host, 8785)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.02)
        self.history.violations.append("EXIT: daemon-%d does not listen" % daemon.number)

    def check_addresses_free(self):
        """Raises OSError if a daemon of another run listens on an address of this run."""
        addresses = [("127.%d.0.%d" % (self.options.network + 1, number + 1), port)
                     for number in range(self.options.daemons)
                     for port in (CALLER_PORT, 8785, 8782)]
        for address in addresses:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(address)
                except OSError as error:
                    raise OSError(error.errno, "%s:%d: %s" % (*address, error.strerror)) from error

    async def add_group(self, service, number):
        group = Group(service, self.options.connections, self.options.plant)
        group.promotion_lifts_fences = self.options.sequences
        group.refused_preparations = REFUSED_PREPARATIONS if self.options.refusals else 0.0
        group.slow_share = SLOW_SHARE if self.options.planned else 0.0
        self.groups[service] = group
        for index in range(INSTANCES):
            host = "127.%d.%d.%d" % (self.options.network + 3, number, index + 1)
            instance = Instance(group, "%s-i%d" % (service, index), host, 8000)
            instance.primary = index == 0
            instance.zone = "zone-%d" % (index % ZONES)
            instance.on_request = self.on_request
            instance.on_statement = self.on_statement
            instance.on_abort = self.requests.aborted.add
            group.instances.append(instance)
            await instance.start()
            link = Link("127.%d.%d.%d" % (self.options.network + 4, number, index + 1), 8000, host,
                        8000)
            await link.start()
            self.links[instance.name] = link
        group.on_change = lambda: asyncio.ensure_future(self.announce(group))
        asyncio.ensure_future(group.run())
        await self.announce(group)

    async def announce(self, group):
        for instance in group.instances:
            if instance.alive and instance.name not in self.unlisted:
                link = self.links[instance.name]
                await self.store.put("servers", instance.name, {
                    "service": group.service, "addr": "%s:%d" % (link.host, link.port),
                    "zone": instance.zone, "version": "v1", "slots": 3, "state": instance.state,
                    "warmup_left_ms": 0, "db_role": "primary" if instance.primary else "replica",
                    "seq": 1, "born": instance.born})

    async def configure(self, version):
        kinds = {"primary": ("primary", 0), "bounded": ("bounded_staleness", 1500),
                 "own": ("read_your_writes", 2500)}
        routes = [{"name": service + short, "host": "%s.%s" % (service, short), "kind": kind,
                   "timeout_ms": int(TIMEOUT_SECONDS * 1000), "priority": 1, "service": service,
                   "target_latency_ms": self.latency_ms,
                   "max_staleness_ms": staleness}
                  for service in self.groups for short, (kind, staleness) in kinds.items()]
        routes += [dict(routes[0], name="extra%d" % number, host="%s.extra%d" % (
            routes[0]["service"], number)) for number in range(self.extra_routes)]
        services = [{"name": service, "max_conns": group.max_connections, "sync_replicas": 1}
                    for service, group in self.groups.items()]
        await self.store.put("config", "main", {"version": version, "routes": routes,
                                                "services": services,
                                                "limits": {"tx_idle_ms": 2000}})

    def on_request(self, instance, request_id):
        """Records a request that reaches an instance and checks it against the evacuations."""
        self.requests.on_reached(request_id, instance)
        now = time.monotonic()
        began = self.evacuated.get(instance.zone)
        if began is None or now <= began + EVACUATION_SECONDS:
            return
        exempt_until = [self.fault_until.get(each, 0) + FAULT_RECOVERY_SECONDS
                   for each in ("daemon", "store", instance.name)]
        if now > max(exempt_until):
            self.history.violations.append("EVAC: %s of %s after %.2f s" % (
                instance.name, instance.zone, now - began))

    def on_statement(self, request_id, text):
        """Compares the text of a statement with what an early caller sent."""
        sent = self.early_texts.get(request_id, text)
        if text != sent:
            self.history.violations.append("UNASKED: %s has a text of %d bytes, %d were sent" % (
                request_id, len(text), len(sent)))

    async def promote(self, service, name):
        return await self.groups[service].promote(name)

    def record_event(self, text):
        self.event_log.append("%7.2f s: %s" % (time.monotonic() - self.began, text))

    def draw_fault_seconds(self):
        return self.random.uniform(0.5, 5.0)

    # Faults. Each method ends its fault before it returns.

    async def kill(self):
        daemon = self.random.choice(self.daemons)
        self.record_event("kill daemon-%d" % daemon.number)
        daemon.send(signal.SIGKILL)
        daemon.process.wait()
        await asyncio.sleep(self.draw_fault_seconds() / 2)
        daemon.start()

    async def kill_many(self):
        chosen = [each for each in self.daemons if self.random.random() < 0.6]
        self.record_event("kill daemons %s" % [each.number for each in chosen])
        for daemon in chosen:
            daemon.send(signal.SIGKILL)
            daemon.process.wait()
        await asyncio.sleep(1)
        for daemon in chosen:
            daemon.start()

    async def stop(self):
        daemon = self.random.choice(self.daemons)
        self.record_event("stop daemon-%d" % daemon.number)
        daemon.send(signal.SIGTERM)
        while daemon.process.poll() is None:
            await asyncio.sleep(0.1)
        killed = -signal.SIGKILL in daemon.allowed_exits  # by another fault, meanwhile
        if daemon.process.returncode not in ((0, -signal.SIGKILL) if killed else (0,)):
            self.history.violations.append("EXIT: daemon-%d ended with %d after its stop signal" %
                                           (daemon.number, daemon.process.returncode))
        daemon.start()

    async def pause(self):
        daemon = self.random.choice(self.daemons)
        self.record_event("pause daemon-%d" % daemon.number)
        daemon.send(signal.SIGSTOP)
        await self.sustain_fault("daemon", self.draw_fault_seconds())
        daemon.send(signal.SIGCONT)

    async def reload(self):
        daemon = self.random.choice(self.daemons)
        self.record_event("reload daemon-%d" % daemon.number)
        daemon.send(signal.SIGHUP)

    async def crash(self):
        group = self.random.choice(list(self.groups.values()))
        up = [each for each in group.instances if each.alive]
        if len(up) < INSTANCES or time.monotonic() < self.empty_restart_until.get(group, 0):
            return  # one instance at a time: more may lose the only copies of commits
        instance = group.newest_primary() if self.random.random() < 0.7 else self.random.choice(up)
        if instance is None:
            return
        self.record_event("crash %s" % instance.name)
        await instance.crash()
        await asyncio.sleep(2 + self.draw_fault_seconds())
        newest = group.newest_primary()
        if newest is not None:
            instance.primary = False
        await instance.start()
        await self.announce(group)

    async def restart_empty(self):
        group = self.random.choice(list(self.groups.values()))
        up = [each for each in group.instances if each.alive]
        if len(up) < INSTANCES or time.monotonic() < self.empty_restart_until.get(group, 0):
            return
        self.empty_restart_until[group] = time.monotonic() + EMPTY_RESTART_SECONDS
        instance = self.random.choice(up)
        self.record_event("%s starts anew" % instance.name)
        await instance.crash()
        await asyncio.sleep(self.random.uniform(0.05, 1.5))
        await instance.start_empty()
        await self.announce(group)

    async def write_foreign_entries(self):
        """Writes invalid entries as a foreign writer, one of them over an instance's entry."""
        self.record_event("entries of another writer")
        group = self.random.choice(list(self.groups.values()))
        bad = [{}, {"service": 7}, "text", {"service": "nobody", "addr": "here", "state": "odd"},
               {"service": group.service, "addr": "127.%d.0.1:8000" % (
                   self.options.network + 3), "state": "resting"}]
        bad += [draw_contents(self.random, WHOLE["servers"]) for _ in range(4)]
        names = ["stray-%d" % number for number in range(len(bad))]
        for name, spec in zip(names, bad):
            await self.store.put("servers", name, spec)
        await self.store.put("servers", self.random.choice(group.instances).name,
                             self.random.choice(bad))
        await asyncio.sleep(min(1.0, self.draw_fault_seconds()))
        await self.announce(group)
        for name in names:
            await self.store.remove("servers", name)

    async def link_fault(self):
        name = self.random.choice(list(self.links))
        link = self.links[name]
        kind = self.random.choice(["delay", "silence", "no answers", "reset"])
        self.record_event("%s: %s" % (name, kind))
        link.delay = 0.2 if kind == "delay" else 0.0
        link.blocked_in = kind == "silence"
        link.blocked_out = kind in ("silence", "no answers")
        link.reset() if kind == "reset" else None
        await self.sustain_fault(name, self.draw_fault_seconds())
        link.heal()
        link.reset()

    async def store_fault(self):
        kind = self.random.choice(["down", "silent", "lost", "slow", "compact", "cut"])
        self.record_event("store: " + kind)
        self.store.down = kind == "down"
        self.store.unresponsive = kind == "silent"
        self.store.lost_write_share = 0.4 if kind == "lost" else 0.0
        self.store.delay = 0.3 if kind == "slow" else 0.002
        self.store_link.blocked_in = self.store_link.blocked_out = kind == "cut"
        if kind == "compact":
            await self.configure(self.next_version())
            await self.store.compact()
        await self.sustain_fault("store", self.draw_fault_seconds())
        self.store.down = self.store.unresponsive = False
        self.store.lost_write_share, self.store.delay = 0.0, 0.002
        self.store_link.heal()
        self.store_link.reset()

    async def restore_store(self):
        """Makes the store unavailable, then restores it from a copy that is some seconds old."""
        if self.random.random() < 0.6:
            await self.configure(self.next_version())
        if self.random.random() < 0.4:
            asyncio.ensure_future(self.crash())
        await asyncio.sleep(self.random.uniform(0, 1.5))
        age, away = self.random.uniform(0, 5), self.random.uniform(0.05, 3)
        self.record_event("store: away for %.1f s, returns from a copy %.1f s old" % (away, age))
        how = self.random.choice(["down", "unresponsive"])
        setattr(self.store, how, True)
        await self.sustain_fault("store", away)
        setattr(self.store, how, False)
        await self.store.restore(age + away)
        if self.random.random() < 0.7:  # otherwise requests in progress are never answered
            self.store_link.reset()
        self.fault_until["store"] = time.monotonic()
        for _ in range(3):
            await asyncio.sleep(self.random.uniform(0, 3))
            await self.configure(self.next_version())

    async def sustain_fault(self, name, seconds):
        """Records the end of a fault, until which late evacuations are exempt, and waits for it."""
        self.fault_until[name] = max(self.fault_until.get(name, 0), time.monotonic() + seconds)
        await asyncio.sleep(seconds)

    async def evacuate(self):
        zones = self.random.sample(["zone-%d" % number for number in range(ZONES)],
                                   self.random.choice([1, 1, 1, 2]))
        zones = [zone for zone in zones if zone not in self.evacuated]
        self.record_event("evacuate %s" % zones)
        for zone in zones:
            await self.store.put("evacuations", zone, {})
            self.evacuated[zone] = time.monotonic()
        await asyncio.sleep(self.random.uniform(1, 10))
        for zone in zones:
            self.record_event("take back %s" % zone)
            await self.store.remove("evacuations", zone)
            self.evacuated.pop(zone, None)

    # Sequences of faults that hit one group in an order in which each makes the next dangerous.

    def draw_replicas(self):
        """Draws a group that is well; returns it, its primary and its replicas in any order."""
        group = self.random.choice(list(self.groups.values()))
        up = [each for each in group.instances if each.alive and not each.receives_nothing
              and each.name not in self.unlisted]
        primary = group.newest_primary()
        if len(up) < INSTANCES or primary is None or group in self.in_sequence:
            return None
        replicas = [each for each in up if each is not primary]
        self.random.shuffle(replicas)
        return group, primary, replicas

    async def block(self, instance, seconds):
        self.record_event("%s receives nothing" % instance.name)
        instance.receives_nothing = True
        await asyncio.sleep(seconds)
        instance.receives_nothing = False

    async def crash_for(self, group, instance, seconds):
        if not instance.alive:
            return
        self.record_event("crash %s" % instance.name)
        await instance.crash()
        asyncio.ensure_future(self.lapse(instance))
        await asyncio.sleep(seconds)
        newest = group.newest_primary()
        if newest is not None and newest is not instance:
            instance.primary = False
        await instance.start()
        await self.announce(group)

    async def lapse(self, instance):
        """Removes the entry of an instance that has missed three heartbeats."""
        await asyncio.sleep(LAPSE_SECONDS)
        if not instance.alive or instance.name in self.unlisted:
            await self.store.remove("servers", instance.name)

    async def restart_all(self):
        planned = self.random.random() < 0.4
        self.record_event("%s all daemons" % ("stop" if planned else "kill"))
        for daemon in self.daemons:
            daemon.send(signal.SIGTERM if planned else signal.SIGKILL)
        while any(daemon.process.poll() is None for daemon in self.daemons):
            await asyncio.sleep(0.1)
        self.store.down = self.random.random() < 0.3
        await asyncio.sleep(0.5)
        for daemon in self.daemons:
            daemon.start()
        await asyncio.sleep(1.2)
        self.store.down = False

    async def leave_with_commits(self, group, primary, replicas):
        """A replica leaves with the only copies of commits; then all daemons restart."""
        deaf = asyncio.ensure_future(self.block(replicas[0], 12))
        await asyncio.sleep(1.5)
        gone = asyncio.ensure_future(self.crash_for(group, replicas[1], 10))
        await asyncio.sleep(self.random.uniform(2, 6))
        await self.restart_all()
        if self.random.random() < 0.5:
            await self.crash_for(group, primary, 6)
        await asyncio.gather(deaf, gone)

    async def hide_replica(self, group, primary, replicas):
        """Daemons and store lose a replica that goes on acknowledging commits."""
        hidden = replicas[1]
        self.record_event("cut %s from the store and all daemons" % hidden.name)
        link = self.links[hidden.name]
        self.unlisted.add(hidden.name)
        link.blocked_in = link.blocked_out = True
        asyncio.ensure_future(self.lapse(hidden))
        await asyncio.sleep(5.5)
        deaf = asyncio.ensure_future(self.block(replicas[0], 6))
        await asyncio.sleep(1)
        if self.random.random() < 0.5:
            await self.restart_all()
        await self.crash_for(group, primary, 7)
        self.unlisted.discard(hidden.name)
        link.heal()
        link.reset()
        await self.announce(group)
        await deaf

    async def sequence(self):
        drawn = self.draw_replicas()
        if drawn is None:
            return
        group = drawn[0]
        self.in_sequence.add(group)
        await self.random.choice([self.leave_with_commits, self.hide_replica])(*drawn)
        self.in_sequence.discard(group)

    async def inject_sequences(self):
        await asyncio.sleep(FAULT_START_DELAY_SECONDS)
        running = []
        while time.monotonic() < self.end - SEQUENCE_FREE_END_SECONDS:
            running.append(asyncio.ensure_future(self.sequence()))
            await asyncio.sleep(self.random.uniform(3, 9))
        await asyncio.gather(*running)

    async def lag(self):
        group = self.random.choice(list(self.groups.values()))
        self.record_event("replicas of %s lag" % group.service)
        for instance in group.instances:
            instance.lag = self.random.uniform(0.2, 3.0)
        await asyncio.sleep(self.draw_fault_seconds())
        for instance in group.instances:
            instance.lag = 0.005

    def next_version(self):
        self.version = getattr(self, "version", 1) + self.random.randrange(1, 4)
        return self.version

    async def inject_faults(self):
        await asyncio.sleep(FAULT_START_DELAY_SECONDS)
        faults = [self.kill, self.kill_many, self.stop, self.pause, self.reload, self.crash,
                  self.crash, self.link_fault, self.link_fault, self.store_fault, self.lag,
                  self.evacuate, self.evacuate, self.restart_empty, self.write_foreign_entries]
        if self.options.early_callers:
            faults += 12 * [self.pause]  # an owner that stands still has not accepted its sessions
        if self.options.restores:
            faults += 3 * [self.restore_store]
        running = [asyncio.ensure_future(self.restore_store())] if self.options.restores else []
        while time.monotonic() < self.end - FAULT_FREE_END_SECONDS:
            running.append(asyncio.ensure_future(self.random.choice(faults)()))
            await asyncio.sleep(self.random.uniform(0.8, 3.0))
        await asyncio.gather(*running)

    async def run(self):
        self.began = time.monotonic()
        await self.start()
        await asyncio.sleep(4)
        self.end = time.monotonic() + self.options.seconds
        asyncio.ensure_future(self.requests.watch_clock())
        caller_type = PersistentCaller if self.options.planned else Caller
        callers = [caller_type(number, self.options.seed, self.daemons, group, kind, self.history,
                               self.requests)
                   for number, (group, kind) in enumerate(
                       (group, kind) for group in self.groups.values()
                       for kind in ("primary", "bounded", "own")
                       for _ in range(self.options.callers))]
        groups = list(self.groups.values())
        callers += [SilentCaller(len(callers) + number, self.options.seed, self.daemons,
                                 groups[number % len(groups)], "primary", self.history,
                                 self.requests)
                    for number in range(self.options.silent_callers)]
        callers += [EarlyCaller(self.early_texts, len(callers) + number, self.options.seed,
                                self.daemons, groups[number % len(groups)], "primary",
                                self.history, self.requests)
                    for number in range(self.options.early_callers)]
        callers += [HugeReader(len(callers) + number, self.options.seed, self.daemons,
                               groups[number % len(groups)], "bounded", self.history,
                               self.requests)
                    for number in range(self.options.huge_readers)]
        tasks = [asyncio.ensure_future(each.run(lambda: self.end)) for each in callers]
        if self.options.planned or self.options.odd_entries:
            await self.run_series()
        else:
            injector = asyncio.ensure_future(self.inject_sequences() if self.options.sequences
                                             else self.inject_faults())
            await asyncio.sleep(self.options.seconds - 4)
            await injector
            done, failed = await self.count_operations(4)
            self.check_served(done, failed)
        self.end = time.monotonic()
        await asyncio.gather(*tasks)
        self.check_logs()
        self.close()
        # Connection errors of the stand-ins no longer matter once the daemons have ended.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await asyncio.sleep(CLOSE_SECONDS)

    async def run_series(self):
        until, self.end = self.end, float("inf")
        await asyncio.sleep(PLANNED_START_DELAY_SECONDS)
        if self.options.planned:
            await Planned(self).run(until)
        else:
            await self.odd_entries.run(until)
            await self.odd_entries.check_followed()
        limit = time.monotonic() + RECOVERY_TIMEOUT_SECONDS
        done, failed = await self.count_operations(WINDOW_SECONDS)
        while not self.served(done, failed) and time.monotonic() < limit:
            done, failed = await self.count_operations(WINDOW_SECONDS)
        self.check_served(done, failed)

    async def count_operations(self, seconds):
        """Returns how many operations succeed and fail in the next seconds."""
        done, failed = self.history.done, self.history.failed
        await asyncio.sleep(seconds)
        return self.history.done - done, self.history.failed - failed

    def served(self, done, failed):
        return done > 0 and done >= MIN_SERVED_SHARE * (done + failed)

    def check_served(self, done, failed):
        if not self.served(done, failed):
            self.history.violations.append("RECOVER: %d done, %d failed at the end" %
                                           (done, failed))

    def check_logs(self):
        """Checks the groups' logs against the answers to callers, and the daemons' exits."""
        kept = {}
        for service, group in self.groups.items():
            newest_primary = group.newest_primary()
            if newest_primary is None:
                self.history.violations.append("RECOVER: %s has no primary" % service)
                continue
            for _, request_id, _, _ in newest_primary.log:
                kept[request_id] = kept.get(request_id, 0) + 1
        for request_id, count in kept.items():
            if count > 1:
                self.history.violations.append("TWICE: " + request_id)
            if request_id in self.history.refused:
                self.history.violations.append("REFUSED: " + request_id)
        for request_id in self.history.acknowledged:
            if request_id not in kept:
                self.history.violations.append("LOST: " + request_id)
        for daemon in self.daemons:
            daemon.check_exit()
            if daemon.process.poll() in daemon.allowed_exits:
                self.history.violations.append("EXIT: daemon-%d ended by itself with %d" % (
                    daemon.number, daemon.process.returncode))
        self.history.violations += self.store.violations
        if self.options.planned:
            self.history.violations += self.requests.violations()

    def close(self):
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
            daemon.process.wait()
            daemon.check_exit()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--daemons", type=int, default=5)
    parser.add_argument("--connections", type=int, default=34)
    parser.add_argument("--meshed", type=int, default=16, help="most_meshed_daemons")
    parser.add_argument("--services", type=int, default=2)
    parser.add_argument("--callers", type=int, default=4, help="for each service and kind")
    parser.add_argument("--planned", action="store_true", help="planned work alone, no faults")
    parser.add_argument("--sequences", action="store_true",
                        help="sequences of faults that hit one group, instead of single ones")
    parser.add_argument("--odd_entries", action="store_true",
                        help="entries of another writer beside signals, crashes, configurations")
    parser.add_argument("--silent_callers", type=int, default=0,
                        help="callers that send requests for large rows and don't read them")
    parser.add_argument("--early_callers", type=int, default=0,
                        help="callers that send their first command before they are accepted")
    parser.add_argument("--huge_readers", type=int, default=0,
                        help="callers that read answers of several MB")
    parser.add_argument("--refusals", action="store_true",
                        help="instances refuse some requests that change a session's state")
    parser.add_argument("--restores", action="store_true",
                        help="the store returns from older copies, several times")
    parser.add_argument("--plant", default="",
                        choices=["", "stale", "lost", "pinned", "evacuated", "cut"],
                        help="makes the stand-in break a rule, which the soak must report")
    parser.add_argument("--keep", help="folder for settings and logs")
    parser.add_argument("--network", type=int, default=0, choices=range(0, 200, 10),
                        help="second byte of the loopback addresses; runs at once need different ones")
    parser.add_argument("--grace_ms", type=int, default=4000, help="stop_grace_ms")
    options = parser.parse_args()
    folder = options.keep or tempfile.mkdtemp(prefix="valvekeel-edge-soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(options, folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(soak.run())
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        print("the soak can't run: its addresses are taken by another run: %s" % error)
        return 2
    finally:
        soak.close()
    history = soak.history
    for line in soak.event_log:
        print(line)
    for line in history.violations[:60]:
        print("BROKEN " + line)
    print(soak.requests.summary())
    print("seed %d: %d faults, %d operations done, %d failed %s, %d promotions, %d broken; logs in %s"
          % (options.seed, len(soak.event_log), history.done, history.failed, history.failures,
             len(soak.store.tokens), len(history.violations), folder))
    return 1 if history.violations else 0


if __name__ == "__main__":
    sys.exit(main())
