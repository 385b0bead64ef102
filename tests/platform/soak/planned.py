"""Planned work: rolling restarts, signals, new configurations, replacements of primaries.

The operations overlap. None of them is a fault, so no caller may lose a request.
"""

import asyncio
import signal
import time

EXIT_TIMEOUT_SECONDS = 30.0  # for a stopped daemon to end
BUSY_STOP_TIMEOUT_SECONDS = 1.0  # for which a busy stop waits for a running request
REPLACEMENT_TIMEOUT_SECONDS = 12.0  # for a draining primary to be replaced
DRAIN_SECONDS = 4.0


class Planned:
    def __init__(self, soak):
        self.soak, self.random = soak, soak.random
        self.until = 0.0

    async def run(self, until):
        self.until = until
        rolls = asyncio.ensure_future(self.run_rolling_restarts())
        actions = [self.reload, self.configure, self.configure_in_succession, self.replace_primary,
                   self.stop_one]
        running = []
        while time.monotonic() < until:
            running.append(asyncio.ensure_future(self.random.choice(actions)()))
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
        await asyncio.gather(rolls, *running)

    async def run_rolling_restarts(self):
        while time.monotonic() < self.until:
            await self.rolling_restart()
            await asyncio.sleep(self.random.uniform(0.0, 1.0))

    async def rolling_restart(self):
        """Stops all daemons in batches and starts each of them again after it has ended."""
        batch_size, interval = self.random.choice([1, 2, 3]), self.random.uniform(0.9, 1.4)
        busy = self.random.random() < 0.5
        self.soak.record_event("roll of %d each %.2f s%s" % (batch_size, interval,
                                                             ", busy" if busy else ""))
        remaining = self.random.sample(self.soak.daemons, len(self.soak.daemons))
        stops = []
        while remaining and time.monotonic() < self.until:
            batch, remaining = remaining[:batch_size], remaining[batch_size:]
            stops += [asyncio.ensure_future(self.stop(daemon, busy)) for daemon in batch]
            await asyncio.sleep(interval)
        await asyncio.gather(*stops)

    async def stop_one(self):
        await self.stop(self.random.choice(self.soak.daemons), self.random.random() < 0.5)

    async def stop(self, daemon, busy):
        while sum(each.stopped_at is None for each in self.soak.daemons) < 2:
            await asyncio.sleep(0.02)  # at least one daemon keeps serving
        if busy:
            limit = time.monotonic() + BUSY_STOP_TIMEOUT_SECONDS
            while not self.soak.requests.has_running_request(daemon) and time.monotonic() < limit:
                await asyncio.sleep(0.001)
        if daemon.stopped_at is not None:
            return  # another stop is under way
        daemon.stopped_at = time.monotonic()
        second_signal = self.random.choice([None, None, signal.SIGHUP, signal.SIGTERM])
        then = ", then " + second_signal.name if second_signal else ""
        self.soak.record_event("stop daemon-%d%s" % (daemon.number, then))
        daemon.send(signal.SIGKILL if self.soak.options.plant == "cut" else signal.SIGTERM)
        if second_signal:
            await asyncio.sleep(self.random.uniform(0.02, 2.2))
            daemon.send(second_signal)
        limit = time.monotonic() + EXIT_TIMEOUT_SECONDS
        while daemon.process.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        if daemon.process.poll() != 0:
            self.soak.history.violations.append(
                "EXIT: daemon-%d ended with %s after its stop signal" % (
                    daemon.number, daemon.process.poll()))
            daemon.send(signal.SIGKILL)
            daemon.process.wait()
        daemon.start()
        await self.soak.wait_listening(daemon)
        daemon.stopped_at = None

    async def reload(self):
        daemon = self.random.choice(self.soak.daemons)
        if daemon.stopped_at is None:
            self.soak.record_event("reload daemon-%d" % daemon.number)
            daemon.send(signal.SIGHUP)

    async def configure(self):
        self.soak.extra_routes = self.random.randrange(8)
        self.soak.latency_ms = self.random.randrange(200, 300)
        version = self.soak.next_version()
        self.soak.record_event("configuration %d" % version)
        await self.soak.configure(version)

    async def configure_in_succession(self):
        for _ in range(self.random.randrange(2, 6)):
            await self.configure()
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def replace_primary(self):
        """Drains a primary until another is promoted, then restarts it as a replica."""
        group = self.random.choice(list(self.soak.groups.values()))
        old = group.newest_primary()
        if old is None or any(each.state != "ready" for each in group.instances):
            return  # one replacement at a time in a group
        self.soak.record_event("%s drains" % old.name)
        began = time.monotonic()
        old.state = "draining"
        await self.soak.announce(group)
        while old.primary and time.monotonic() < began + REPLACEMENT_TIMEOUT_SECONDS:
            await asyncio.sleep(0.05)
        if not old.primary:
            await asyncio.sleep(max(0.0, began + DRAIN_SECONDS - time.monotonic()))
            self.soak.record_event("%s restarts" % old.name)
            await self.soak.store.remove("servers", old.name)
            await old.crash()
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            await old.start()
        old.state = "ready"
        await self.soak.announce(group)
