"""Stand-in of the platform's metadata store and promotion service, with faults."""

import asyncio
import json
import random
import time
from urllib.parse import parse_qs, urlparse

MOST_HISTORY = 400
OLDEST_COPY_SECONDS = 8
WRITTEN_AGAIN_SECONDS = 2  # within which operators and instances write what was lost once more
OTHERS_KINDS = ("config", "servers", "evacuations")  # that daemons don't write


class Store:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.objects = {}  # by kind, by name
        self.events = []   # of (revision, kind, gone, object)
        self.revision = 0
        self.era = 1       # rises with each return from an older copy
        self.replaced = []  # of (instant, kind, name, object before or None, revision before)
        self.to_write_again = {}  # specs by kind and name; None: it was removed
        self.first_kept = 0
        self.changed = asyncio.Condition()
        self.down = False
        self.silent = False
        self.lose_writes = 0.0
        self.delay = 0.002
        self.promote = None        # coroutine function of service and id
        self.tokens = []           # of (token, holder), as they came
        self.violations = []

    def note_replaced(self, kind, name):
        now = time.monotonic()
        before = self.objects.get(kind, {}).get(name)
        self.replaced.append((now, kind, name, before, self.revision))
        while self.replaced[0][0] < now - OLDEST_COPY_SECONDS:
            del self.replaced[0]
        self.to_write_again.pop((kind, name), None)

    async def restore(self, seconds):
        """Comes back from a copy of that age; revisions are given out a second time."""
        since = time.monotonic() - seconds
        while self.replaced and self.replaced[-1][0] > since:
            _, kind, name, before, revision = self.replaced.pop()
            now = self.objects[kind].get(name)
            if kind in OTHERS_KINDS:
                self.to_write_again.setdefault((kind, name), now and now["spec"])
            if before:
                self.objects[kind][name] = before
            else:
                self.objects[kind].pop(name, None)
            self.revision = revision
        self.era += 1
        self.events = [event for event in self.events if event[0] <= self.revision]
        for key in list(self.to_write_again):
            asyncio.ensure_future(self.write_again(key))
        async with self.changed:
            self.changed.notify_all()

    async def write_again(self, key):
        await asyncio.sleep(self.random.uniform(0, WRITTEN_AGAIN_SECONDS))
        if key not in self.to_write_again:
            return  # written anew meanwhile
        spec = self.to_write_again.pop(key)
        if spec is None:
            await self.remove(*key)
        else:
            await self.put(*key, spec)

    async def put(self, kind, name, spec):
        old = self.objects.setdefault(kind, {}).get(name)
        if old and old["spec"] == spec:
            return old
        self.note_replaced(kind, name)
        self.revision += 1
        made = old["meta"]["made"] if old else self.revision
        item = {"meta": {"name": name, "revision": self.revision, "made": made, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": None}
        self.objects[kind][name] = item
        await self.note(kind, False, item)
        return item

    async def remove(self, kind, name):
        item = self.objects.get(kind, {}).get(name)
        if item:
            self.note_replaced(kind, name)
            del self.objects[kind][name]
            self.revision += 1
            await self.note(kind, True, item)

    async def note(self, kind, gone, item):
        self.events.append((self.revision, kind, gone, item))
        del self.events[:-MOST_HISTORY]
        async with self.changed:
            self.changed.notify_all()

    async def compact(self):
        self.first_kept = self.revision
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.silent:
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.delay)
                if self.down:
                    status, answer = 503, {}
                else:
                    status, answer = await self.handle(method, target, headers, body)
                    if method != "GET" and self.random.random() < self.lose_writes:
                        await asyncio.sleep(3600)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n" %
                             (status, self.era, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body):
        url = urlparse(target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        content = json.loads(body) if body else {}
        if url.path == "/promote":
            return await self.handle_promotion(headers, content)
        parts = url.path.strip("/").split("/")[2:]
        if method == "GET" and "watch" in query:
            return await self.watch(parts[0], int(query["watch"]), int(query["wait_ms"]) / 1000)
        if method == "GET" and len(parts) == 1:
            items = sorted(self.objects.get(parts[0], {}).values(),
                           key=lambda item: item["meta"]["name"])
            return 200, {"items": items, "more": False, "at": self.revision}
        kind, name = parts[0], parts[1] if len(parts) > 1 else content["meta"]["name"]
        old = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, old) if old else (404, {})
        if method == "POST":
            return (409, old) if old else (200, await self.put(kind, name, content["spec"]))
        if not old:
            return 404, {}
        wanted = content.get("meta", {}).get("revision")
        if wanted and wanted != old["meta"]["revision"]:
            return 409, old
        return 200, await self.put(kind, name, content["spec"])

    async def watch(self, kind, after, wait):
        async def found():
            async with self.changed:
                while not [each for each in self.events if each[0] > after and each[1] == kind]:
                    if not self.first_kept <= after <= self.revision:
                        return
                    await self.changed.wait()
        try:
            await asyncio.wait_for(found(), wait)
        except asyncio.TimeoutError:
            pass
        if not self.first_kept <= after <= self.revision:
            return 410, {}
        events = [{"gone": gone, "object": item} for revision, each, gone, item in self.events
                  if revision > after and each == kind]
        return 200, {"events": events, "at": self.revision}

    async def handle_promotion(self, headers, content):
        token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
        for earlier, other in self.tokens:
            if token < earlier or (token == earlier and holder != other):
                self.violations.append("ONE: token %d of %s after %d of %s" %
                                       (token, holder, earlier, other))
        self.tokens.append((token, holder))
        return (200 if await self.promote(content["service"], content["id"]) else 409), {}
