"""Entries of another writer beside signals, crashes of primaries and new configurations.

The contents of the entries are lacking, out of range, too deep, too large or no JSON at all. They
may cost neither a daemon nor the other entries of their kind: at the end, with such entries still
in the store and changing, every daemon must follow a new configuration, an evacuation and the
replacement of each primary.
"""

import asyncio
import time

from callers import CALLER_PORT
from planned import Planned
from store import Raw

MAX_SERIES_FAULT_SECONDS = 6  # for which a daemon or an instance is away
OVERWRITE_SECONDS = 1.2  # until an instance writes its entry again
APPLY_SECONDS = 5  # from the store's acknowledgement until all daemons serve a new database
REPLACEMENT_SECONDS = 12  # from a primary's crash until another one leads
POLL_SECONDS = 0.1
STORE_BYTES_PER_SECOND = 10_000_000  # that the stand-in of the store can send to all daemons


def nested(depth):
    return Raw(b"[" * depth + b"]" * depth)


NAMES = ["stray-%d", "stray\0%d", Raw(b"%d"), Raw(b"null"), Raw(b'"stray-%d-\xff\xfe"'),
         Raw(b'"stray-%d-\\ud800"')]
VALUES = [Raw(b"1e400"), Raw(b"-1e400"), Raw(b"NaN"), Raw(b'"\\ud800"'), Raw(b'"\xc3\x28\xff"'),
          nested(300_000), nested(500_000), "x" * 990_000, "", None, -1, 1 << 64, 0.5, [], {}]
PORTS = ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1:8000:8000"]
# Complete entries, by kind, of a service and of daemons that nobody has.
WHOLE = {
    "servers": {"service": "nobody", "addr": "127.0.0.1:9", "zone": "zone-0", "version": "v1",
                "slots": 3, "state": "ready", "warmup_left_ms": 0, "db_role": "replica", "seq": 1,
                "born": 1},
    "config": {"version": 1 << 40, "routes": [], "services": [], "limits": {"tx_idle_ms": 2000}},
    "evacuations": {"note": "zone"},
    "valvekeel-daemons": {"zone": "zone-0", "peer": "127.0.0.1:9", "capacity": 1},
    "valvekeel-leadership": {"era": 1, "holder": "nobody", "token": 1, "sequence": 1, "nonce": "n",
                             "attempts": {}},
    "valvekeel-commit-holders": {"holders": {}, "floor_term": 1, "floor_number": 1, "lost_logs": 0},
}


def draw_contents(random, whole):
    """Draws unusable contents: a value as a whole, in a field, in a further one; a lacking field."""
    value = random.choice(VALUES)
    how = random.choice(["whole", "field", "field", "further", "lacking", "port"])
    if how == "whole":
        return value
    field = random.choice(sorted(whole))
    if how == "lacking":
        return {each: whole[each] for each in whole if each != field}
    if how == "port":
        endpoint = {"servers": "addr", "valvekeel-daemons": "peer"}
        return dict(whole, **{name: random.choice(PORTS) for name in endpoint.values()
                              if name in whole})
    return dict(whole, **{field if how == "field" else "further": value})


class OddEntries:
    def __init__(self, soak):
        self.soak, self.random, self.store = soak, soak.random, soak.store
        self.planned = Planned(soak)
        self.count = 0
        self.closing = False

    def new_key(self, kind):
        """Returns a key in the store; some of the objects there tell another name or none."""
        self.count += 1
        name = self.random.choice(NAMES)
        if not isinstance(name, Raw):
            return name % self.count
        key = "stray-%d" % self.count
        self.store.sent_names[kind, key] = Raw(name.text.replace(b"%d", b"%d" % self.count))
        return key

    async def put(self, kind, key):
        await self.store.put(kind, key, draw_contents(self.random, WHOLE[kind]))

    async def write_first(self):
        """Writes entries of each kind that stay for the whole run."""
        for kind in WHOLE:
            for _ in range(self.random.randrange(1, 4)):
                await self.put(kind, self.new_key(kind))

    async def write(self):
        """Writes some entries and removes them later."""
        kinds = self.random.choices(sorted(WHOLE), k=self.random.randrange(1, 5))
        self.soak.record_event("odd entries in %s" % ", ".join(kinds))
        keys = [(kind, self.new_key(kind)) for kind in kinds]
        for kind, key in keys:
            await self.put(kind, key)
        await asyncio.sleep(self.random.uniform(0.2, MAX_SERIES_FAULT_SECONDS))
        for kind, key in keys:
            await self.store.remove(kind, key)

    async def change_often(self):
        """Writes an entry anew several times a second."""
        kind = self.random.choice(sorted(WHOLE))
        key = self.new_key(kind)
        seconds, pause = self.random.uniform(1, 5), self.random.uniform(0.1, 0.4)
        self.soak.record_event("an odd entry in %s, new each %.1f s" % (kind, pause))
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            await self.put(kind, key)
            sent = len(self.store.objects[kind][key].text) * len(self.soak.daemons)
            await asyncio.sleep(max(pause, sent / STORE_BYTES_PER_SECOND))
        await self.store.remove(kind, key)

    async def overwrite(self):
        """Writes over the entry of an instance, which writes it again."""
        group = self.random.choice(list(self.soak.groups.values()))
        instance = self.random.choice(group.instances)
        own = self.store.objects["servers"].get(instance.name)
        if own is None or not instance.alive or not isinstance(own["spec"], dict):
            return
        self.soak.record_event("an odd entry over %s" % instance.name)
        await self.store.put("servers", instance.name, draw_contents(self.random, own["spec"]))
        await asyncio.sleep(self.random.uniform(0.05, OVERWRITE_SECONDS))
        await self.soak.announce(group)

    async def crash(self):
        drawn = self.soak.draw_replicas()
        if drawn is None:
            return
        group, primary, _ = drawn
        self.soak.in_sequence.add(group)
        await self.soak.crash_for(group, primary, self.random.uniform(2, MAX_SERIES_FAULT_SECONDS))
        self.soak.in_sequence.discard(group)

    async def run(self, until):
        soak = self.soak
        actions = [self.write, self.write, self.change_often, self.overwrite, self.crash, soak.kill,
                   soak.kill_many, soak.stop, soak.reload, self.planned.configure,
                   self.planned.configure_in_succession]
        running = []
        while time.monotonic() < until:
            running.append(asyncio.ensure_future(self.random.choice(actions)()))
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        await asyncio.gather(*running)

    async def check_followed(self):
        """Checks that daemons follow all kinds while odd entries are there and change."""
        changing = asyncio.ensure_future(self.write_until_closed())
        await asyncio.gather(*(self.soak.wait_listening(each) for each in self.soak.daemons))
        await self.check_new_database()
        await self.soak.evacuate()  # its check is that of all requests
        await asyncio.gather(*(self.check_replacement(each) for each in self.soak.groups.values()))
        self.closing = True
        await changing

    async def write_until_closed(self):
        while not self.closing:
            await asyncio.gather(self.write(), self.change_often())

    async def check_new_database(self):
        soak = self.soak
        soak.extra_routes += 1
        await soak.configure(soak.next_version())
        database = "%s.extra%d" % (next(iter(soak.groups)), soak.extra_routes - 1)
        soak.record_event("new database %s" % database)
        limit = time.monotonic() + APPLY_SECONDS
        await asyncio.gather(*(self.wait_served(each, database, limit) for each in soak.daemons))

    async def wait_served(self, daemon, database, limit):
        while not await self.is_served(daemon, database):
            if time.monotonic() > limit:
                self.soak.history.violations.append(
                    "UNREAD: daemon-%d does not serve %s after %d s" % (
                        daemon.number, database, APPLY_SECONDS))
                return
            await asyncio.sleep(POLL_SECONDS)

    async def is_served(self, daemon, database):
        try:
            reader, writer = await asyncio.open_connection(daemon.host, CALLER_PORT)
        except OSError:
            return False
        try:
            writer.write(b"START %s probe\r\n" % database.encode())
            return (await asyncio.wait_for(reader.readline(), 1)).startswith(b"READY")
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def check_replacement(self, group):
        """Crashes the primary for good until another one leads."""
        old = group.newest_primary()
        if old is None:
            return  # reported at the end
        crash = asyncio.ensure_future(self.soak.crash_for(group, old, REPLACEMENT_SECONDS))
        limit = time.monotonic() + REPLACEMENT_SECONDS
        await asyncio.sleep(POLL_SECONDS)
        while group.newest_primary() is None and time.monotonic() < limit - 2 * POLL_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
        if group.newest_primary() is None:
            self.soak.history.violations.append("UNREAD: %s is not replaced within %d s" % (
                old.name, REPLACEMENT_SECONDS))
        await crash
