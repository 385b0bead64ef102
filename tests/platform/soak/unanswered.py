"""Detects requests whose connection ended after the daemon read them, without answer or refusal.

A request counts once its whole line has been written on an open, accepted connection. The check
uses only the end or reset of the socket after that. A close that crosses a request on the wire is
unavoidable: such a request never reaches an instance, and its connection ends within
SLACK_SECONDS. The summary counts these requests, but they are no violation.
"""

import asyncio
import select
import time

SLACK_SECONDS = 0.2     # from a request to the connection's end if its close crossed the request
TIMEOUT_SECONDS = 0.9   # timeout_ms of the routes; after it a request may be abandoned
CLOCK_CHECK_SECONDS = 0.005


def is_closed(writer):
    """Returns whether the peer has ended the connection, even if its data is still unread."""
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
        self.age = ""  # text: time since the daemon's stop signal or its start


class Requests:
    """All requests that callers sent, where they ran, and those that ended unanswered."""

    def __init__(self):
        self.sent = 0
        self.running = {}         # daemon's host: ids of requests in progress
        self.reached = {}         # id: (name of the first instance that received it, time)
        self.aborted = set()      # ids of requests that an instance aborted
        self.unanswered = []      # requests whose connection ended before an answer
        self.stalls = []          # of (time, seconds by which this process was late)
        self.last_clock_check = time.monotonic()

    async def watch_clock(self):
        """Records pauses of this process, during which callers see a connection's end too late."""
        while True:
            await asyncio.sleep(CLOCK_CHECK_SECONDS)
            now = time.monotonic()
            late = now - self.last_clock_check - CLOCK_CHECK_SECONDS
            if late > CLOCK_CHECK_SECONDS:
                self.stalls.append((now, late))
            self.last_clock_check = now

    def stalled_seconds(self, since, now):
        stalls = sum(late for at, late in reversed(self.stalls[-200:]) if at > since)
        return stalls + max(0.0, now - self.last_clock_check - CLOCK_CHECK_SECONDS)

    def on_sent(self, request_id, daemon):
        self.sent += 1
        self.running.setdefault(daemon.host, set()).add(request_id)
        return Request(request_id, daemon)

    def on_ended(self, request):
        self.running[request.daemon.host].discard(request.request_id)

    def on_connection_ended(self, request):
        """Records a request whose connection ended with neither an answer nor a refusal."""
        now = time.monotonic()
        request.closed_at = now
        request.open_for = now - request.sent_at - self.stalled_seconds(request.sent_at, now)
        stopped, started = request.daemon.stopped_at, request.daemon.started_at
        request.age = "%.3f s after its start, not stopped" % (now - started) if stopped is None \
            else "%.3f s after its stop signal" % (now - stopped)
        self.unanswered.append(request)

    def on_reached(self, request_id, instance):
        self.reached.setdefault(request_id, (instance.name, time.monotonic()))

    def has_running_request(self, daemon):
        """Returns whether a request in progress at this daemon has reached an instance."""
        return any(each in self.reached for each in self.running.get(daemon.host, ()))

    def is_exempt(self, request):
        return request.request_id in self.aborted or request.open_for >= TIMEOUT_SECONDS

    def violating(self):
        """Returns the violating requests; final only at the end, as requests may run late."""
        return [each for each in self.unanswered if not self.is_exempt(each) and
                (each.request_id in self.reached or each.open_for > SLACK_SECONDS)]

    def violations(self):
        return ["UNANSWERED: " + self.describe(each) for each in self.violating()]

    def describe(self, request):
        name, at = self.reached.get(request.request_id, (None, None))
        run = "not run" if name is None else "reached %s %.3f s %s the end" % (
            name, abs(request.closed_at - at), "before" if at <= request.closed_at else "after")
        return "%s at daemon-%d, ended %s, %.3f s after it was sent, %s" % (
            request.request_id, request.daemon.number, request.age, request.open_for, run)

    def summary(self):
        exempt = sum(self.is_exempt(each) for each in self.unanswered)
        violating = len(self.violating())
        return "%d requests sent, %d unanswered, %d cut off at once and not run, %d excused" % (
            self.sent, violating, len(self.unanswered) - violating - exempt, exempt)
