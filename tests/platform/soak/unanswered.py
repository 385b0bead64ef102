"""Requests that a daemon read and whose connection then ended with neither an answer nor a refusal.

A request counts from the moment when its whole line was written on a connection that was open and
had been accepted. Only what the socket showed afterwards is judged: its end or reset. A close that
crosses a request on the wire can't be avoided: such a request never reaches an instance, and its
connection ends within SLACK_SECONDS. That is a figure and no violation.
"""

import asyncio
import select
import time

SLACK_SECONDS = 0.2     # how late a connection may end that crossed a request
TIMEOUT_SECONDS = 0.9   # timeout_ms of the routes: from then on a request may be given up
BEAT_SECONDS = 0.005


def is_closed(writer):
    """Whether the other side has ended the connection, read or not."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return writer.transport.is_closing() or bool(poll.poll(0))


def is_written(writer):
    return writer.transport.get_write_buffer_size() == 0 and not writer.transport.is_closing()


class Request:
    def __init__(self, request_id, daemon):
        self.request_id, self.daemon = request_id, daemon
        self.sent_at = time.monotonic()
        self.closed_at = self.open_for = None
        self.age = ""  # of the daemon's stop or start


class Requests:
    """All requests that callers sent, where they ran, and those that were cut off."""

    def __init__(self):
        self.sent = 0
        self.running = {}         # daemon's host: ids that await an answer
        self.reached = {}         # id: (name of the first instance that got it, instant)
        self.broken_off = set()   # ids that an instance itself broke off
        self.cut = []             # requests whose connection ended
        self.stalls = []          # of (instant, seconds that this process was late)
        self.beat = time.monotonic()

    async def watch_clock(self):
        """Notes when this process stood still: callers then see an end later than it came."""
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            now = time.monotonic()
            late = now - self.beat - BEAT_SECONDS
            if late > BEAT_SECONDS:
                self.stalls.append((now, late))
            self.beat = now

    def held_up(self, since, now):
        stalls = sum(late for at, late in reversed(self.stalls[-200:]) if at > since)
        return stalls + max(0.0, now - self.beat - BEAT_SECONDS)

    def send(self, request_id, daemon):
        self.sent += 1
        self.running.setdefault(daemon.host, set()).add(request_id)
        return Request(request_id, daemon)

    def end(self, request):
        self.running[request.daemon.host].discard(request.request_id)

    def close(self, request):
        """The connection ended, and the request had neither an answer nor a refusal."""
        now = time.monotonic()
        request.closed_at = now
        request.open_for = now - request.sent_at - self.held_up(request.sent_at, now)
        stopped, started = request.daemon.stopped_at, request.daemon.started_at
        request.age = "%.3f s after its start, not stopped" % (now - started) if stopped is None \
            else "%.3f s after its stop signal" % (now - stopped)
        self.cut.append(request)

    def reach(self, request_id, instance):
        self.reached.setdefault(request_id, (instance.name, time.monotonic()))

    def at_work(self, daemon):
        """Whether an instance has a request that this daemon took."""
        return any(each in self.reached for each in self.running.get(daemon.host, ()))

    def excused(self, request):
        return request.request_id in self.broken_off or request.open_for >= TIMEOUT_SECONDS

    def broken(self):
        """Those that broke the rule; judged at the end: some run after their caller is gone."""
        return [each for each in self.cut if not self.excused(each) and
                (each.request_id in self.reached or each.open_for > SLACK_SECONDS)]

    def violations(self):
        return ["UNANSWERED: " + self.describe(each) for each in self.broken()]

    def describe(self, request):
        name, at = self.reached.get(request.request_id, (None, None))
        run = "not run" if name is None else "reached %s %.3f s %s the end" % (
            name, abs(request.closed_at - at), "before" if at <= request.closed_at else "after")
        return "%s at daemon-%d, ended %s, %.3f s after it was sent, %s" % (
            request.request_id, request.daemon.number, request.age, request.open_for, run)

    def summary(self):
        excused = sum(self.excused(each) for each in self.cut)
        broken = len(self.broken())
        return "%d requests sent, %d unanswered, %d cut off at once and not run, %d excused" % (
            self.sent, broken, len(self.cut) - broken - excused, excused)
