"""Planned work of the soak: rolls of stops, signals, configurations, replacements of primaries.

All of it overlaps, and nothing of it is a fault: no caller may lose a request.
"""

import asyncio
import signal
import time

END_SECONDS = 30.0      # within which a stopped daemon must have ended, and a new one listen
BUSY_SECONDS = 1.0      # for which a busy stop waits for a request at work
REPLACE_SECONDS = 12.0  # for which a draining primary waits for its successor
DRAIN_SECONDS = 4.0


class Planned:
    def __init__(self, soak):
        self.soak, self.random = soak, soak.random
        self.until = 0.0

    async def play(self, until):
        self.until = until
        rolls = asyncio.ensure_future(self.roll_on())
        works = [self.reload, self.configure, self.configure_in_succession, self.replace_primary,
                 self.stop_one]
        running = []
        while time.monotonic() < until:
            running.append(asyncio.ensure_future(self.random.choice(works)()))
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
        await asyncio.gather(rolls, *running)

    async def roll_on(self):
        while time.monotonic() < self.until:
            await self.roll()
            await asyncio.sleep(self.random.uniform(0.0, 1.0))

    async def roll(self):
        """Stops all daemons in turn, some at a time, and starts each again when it has ended."""
        at_once, gap = self.random.choice([1, 2, 3]), self.random.uniform(0.9, 1.4)
        busy = self.random.random() < 0.5
        self.soak.tell("roll of %d each %.2f s%s" % (at_once, gap, ", busy" if busy else ""))
        waiting = self.random.sample(self.soak.daemons, len(self.soak.daemons))
        stops = []
        while waiting and time.monotonic() < self.until:
            batch, waiting = waiting[:at_once], waiting[at_once:]
            stops += [asyncio.ensure_future(self.stop(daemon, busy)) for daemon in batch]
            await asyncio.sleep(gap)
        await asyncio.gather(*stops)

    async def stop_one(self):
        await self.stop(self.random.choice(self.soak.daemons), self.random.random() < 0.5)

    async def stop(self, daemon, busy):
        while sum(each.stopped_at is None for each in self.soak.daemons) < 2:
            await asyncio.sleep(0.02)  # one goes on serving
        if busy:
            limit = time.monotonic() + BUSY_SECONDS
            while not self.soak.requests.at_work(daemon) and time.monotonic() < limit:
                await asyncio.sleep(0.001)
        if daemon.stopped_at is not None:
            return  # another stop is under way
        daemon.stopped_at = time.monotonic()
        again = self.random.choice([None, None, signal.SIGHUP, signal.SIGTERM])
        then = ", then " + again.name if again else ""
        self.soak.tell("stop daemon-%d%s" % (daemon.number, then))
        daemon.send(signal.SIGKILL if self.soak.options.plant == "cut" else signal.SIGTERM)
        if again:
            await asyncio.sleep(self.random.uniform(0.02, 2.2))
            daemon.send(again)
        limit = time.monotonic() + END_SECONDS
        while daemon.process.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        if daemon.process.poll() != 0:
            self.soak.history.violations.append(
                "EXIT: daemon-%d ended with %s after its stop signal" % (
                    daemon.number, daemon.process.poll()))
            daemon.send(signal.SIGKILL)
            daemon.process.wait()
        daemon.start()
        await self.wait_listening(daemon)
        daemon.stopped_at = None

    async def wait_listening(self, daemon):
        """Waits until a new process serves: a signal before it would end it at once."""
        limit = time.monotonic() + END_SECONDS
        while time.monotonic() < limit:
            try:
                _, writer = await asyncio.open_connection(daemon.host, 8785)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.02)
        self.soak.history.violations.append("EXIT: daemon-%d does not listen" % daemon.number)

    async def reload(self):
        daemon = self.random.choice(self.soak.daemons)
        if daemon.stopped_at is None:
            self.soak.tell("reload daemon-%d" % daemon.number)
            daemon.send(signal.SIGHUP)

    async def configure(self):
        self.soak.extra_routes = self.random.randrange(8)
        self.soak.latency_ms = self.random.randrange(200, 300)
        version = self.soak.next_version()
        self.soak.tell("configuration %d" % version)
        await self.soak.configure(version)

    async def configure_in_succession(self):
        for _ in range(self.random.randrange(2, 6)):
            await self.configure()
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def replace_primary(self):
        """A primary drains, another takes over, and it comes back as a replica."""
        group = self.random.choice(list(self.soak.groups.values()))
        old = group.leader()
        if old is None or any(each.state != "ready" for each in group.instances):
            return  # one at a time
        self.soak.tell("%s drains" % old.name)
        began = time.monotonic()
        old.state = "draining"
        await self.soak.announce(group)
        while old.primary and time.monotonic() < began + REPLACE_SECONDS:
            await asyncio.sleep(0.05)
        if not old.primary:
            await asyncio.sleep(max(0.0, began + DRAIN_SECONDS - time.monotonic()))
            self.soak.tell("%s restarts" % old.name)
            await self.soak.store.remove("servers", old.name)
            await old.crash()
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            await old.start()
        old.state = "ready"
        await self.soak.announce(group)
