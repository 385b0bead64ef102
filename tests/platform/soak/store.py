"""Stand-in for the platform's metadata store and promotion service, with faults."""

import asyncio
import functools
import json
import random
import re
import time
from urllib.parse import parse_qs, urlparse

MAX_EVENTS = 400
MAX_COPY_AGE_SECONDS = 8
MAX_REWRITE_DELAY_SECONDS = 2  # for operators and instances to repeat writes lost by a restore
EXTERNAL_KINDS = ("config", "servers", "evacuations")  # not written by daemons
MAX_ANSWER_OBJECTS = 500
MAX_ANSWER_BYTES = 1_000_000  # a single larger object is sent nevertheless


class Raw:
    """A value sent as these bytes, which need not be JSON that Python can write or read."""

    def __init__(self, text):
        self.text = text

    def __eq__(self, other):
        return isinstance(other, Raw) and self.text == other.text


def encode(value):
    """Returns the JSON text of a value that may contain Raw values."""
    raw_texts = []

    def mark(raw):
        raw_texts.append(raw.text)
        return "\0raw%d\0" % (len(raw_texts) - 1)
    text = json.dumps(value, default=mark).encode()
    if not raw_texts:
        return text
    return re.sub(rb'"\\u0000raw(\d+)\\u0000"', lambda match: raw_texts[int(match[1])], text)


class Item(dict):
    """An object of the store, which never changes, so that its text is written only once."""

    @functools.cached_property
    def text(self):
        return encode(dict(self))


def encode_answer(answer):
    """Returns the JSON text of an answer with the texts of its objects."""
    answer = dict(answer)
    if "items" in answer:
        answer["items"] = [Raw(item.text) for item in answer["items"]]
    if "events" in answer:
        answer["events"] = [dict(event, object=Raw(event["object"].text))
                            for event in answer["events"]]
    return encode(answer)


def is_full(count, size):
    return count >= MAX_ANSWER_OBJECTS or size >= MAX_ANSWER_BYTES


class Store:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.objects = {}  # by kind, by name
        self.sent_names = {}  # by kind and name: what an object's meta tells instead of its name
        self.events = []   # of (revision, kind, removed, object)
        self.revision = 0
        self.era = 1       # increases with each restore from an older copy
        self.replaced = []  # of (time, kind, name, previous object or None, previous revision)
        self.pending_rewrites = {}  # specs by kind and name, None for a removal
        self.oldest_watchable_revision = 0
        self.changed = asyncio.Condition()
        self.down = False
        self.unresponsive = False
        self.lost_write_share = 0.0
        self.delay = 0.002
        self.promote = None        # coroutine function of service and id
        self.tokens = []           # of (token, holder), in order of arrival
        self.violations = []

    def record_replaced(self, kind, name):
        now = time.monotonic()
        before = self.objects.get(kind, {}).get(name)
        self.replaced.append((now, kind, name, before, self.revision))
        while self.replaced[0][0] < now - MAX_COPY_AGE_SECONDS:
            del self.replaced[0]
        self.pending_rewrites.pop((kind, name), None)

    async def restore(self, seconds):
        """Restores a copy of that age; later writes reuse the revisions of the lost ones."""
        since = time.monotonic() - seconds
        while self.replaced and self.replaced[-1][0] > since:
            _, kind, name, before, revision = self.replaced.pop()
            now = self.objects[kind].get(name)
            if kind in EXTERNAL_KINDS:
                self.pending_rewrites.setdefault((kind, name), now and now["spec"])
            if before:
                self.objects[kind][name] = before
            else:
                self.objects[kind].pop(name, None)
            self.revision = revision
        self.era += 1
        self.oldest_watchable_revision = min(self.oldest_watchable_revision, self.revision)
        self.events = [event for event in self.events if event[0] <= self.revision]
        for key in list(self.pending_rewrites):
            asyncio.ensure_future(self.rewrite(key))
        async with self.changed:
            self.changed.notify_all()

    async def rewrite(self, key):
        await asyncio.sleep(self.random.uniform(0, MAX_REWRITE_DELAY_SECONDS))
        if key not in self.pending_rewrites:
            return  # written again in the meantime
        spec = self.pending_rewrites.pop(key)
        if spec is None:
            await self.remove(*key)
        else:
            await self.put(*key, spec)

    async def put(self, kind, name, spec):
        old = self.objects.setdefault(kind, {}).get(name)
        if old and old["spec"] == spec:
            return old
        self.record_replaced(kind, name)
        self.revision += 1
        made = old["meta"]["made"] if old else self.revision
        meta = {"name": self.sent_names.get((kind, name), name), "revision": self.revision,
                "made": made, "finalizers": [], "deleting": False}
        item = Item(meta=meta, spec=spec, status=None)
        self.objects[kind][name] = item
        await self.add_event(kind, False, item)
        return item

    async def remove(self, kind, name):
        item = self.objects.get(kind, {}).get(name)
        if item:
            self.record_replaced(kind, name)
            del self.objects[kind][name]
            self.revision += 1
            await self.add_event(kind, True, item)

    async def add_event(self, kind, removed, item):
        self.events.append((self.revision, kind, removed, item))
        if len(self.events) > MAX_EVENTS:
            self.oldest_watchable_revision = max(self.oldest_watchable_revision,
                                                 self.events[-MAX_EVENTS - 1][0])
            del self.events[:-MAX_EVENTS]
        async with self.changed:
            self.changed.notify_all()

    async def compact(self):
        self.oldest_watchable_revision = self.revision
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
                if self.unresponsive:
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.delay)
                if self.down:
                    status, answer = 503, {}
                else:
                    status, answer = await self.handle(method, target, headers, body)
                    if method != "GET" and self.random.random() < self.lost_write_share:
                        await asyncio.sleep(3600)
                text = encode_answer(answer)
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
            return 200, self.list(parts[0], query.get("after", ""))
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

    def list(self, kind, after):
        """Returns a page of the objects behind a name."""
        items, size, more = [], 0, False
        for name, item in sorted(self.objects.get(kind, {}).items()):
            if name <= after:
                continue
            # A page ends with a name behind which a caller can go on.
            if is_full(len(items), size) and isinstance(items[-1]["meta"]["name"], str):
                more = True
                break
            items.append(item)
            size += len(item.text)
        return {"items": items, "more": more, "at": self.revision}

    async def watch(self, kind, after, wait):
        async def wait_for_event():
            async with self.changed:
                while not [each for each in self.events if each[0] > after and each[1] == kind]:
                    if not self.oldest_watchable_revision <= after <= self.revision:
                        return
                    await self.changed.wait()
        try:
            await asyncio.wait_for(wait_for_event(), wait)
        except asyncio.TimeoutError:
            pass
        if not self.oldest_watchable_revision <= after <= self.revision:
            return 410, {}
        events, size = [], 0
        for revision, each, removed, item in self.events:
            if revision <= after or each != kind:
                continue
            events.append({"gone": removed, "object": item})
            size += len(item.text)
            if is_full(len(events), size):
                return 200, {"events": events, "at": revision}
        return 200, {"events": events, "at": self.revision}

    async def handle_promotion(self, headers, content):
        token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
        for earlier, other in self.tokens:
            if token < earlier or (token == earlier and holder != other):
                self.violations.append("ONE: token %d of %s after %d of %s" %
                                       (token, holder, earlier, other))
        self.tokens.append((token, holder))
        return (200 if await self.promote(content["service"], content["id"]) else 409), {}
