"""A preparation that an instance refuses in an open transaction is recorded as done.

The primary is partitioned from its replicas while sessions hold open transactions there; the cut
ends as another instance is promoted. Each session goes on in its transaction, is told READONLY,
rolls back and reads on.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "4"))
from standins import Client, run_case  # noqa: E402

SESSIONS = 6
CUT_SECONDS = 5.0  # primary_cut: at most; it ends earlier, as another instance is promoted
READING_SECONDS = 12.0


class Session(Client):
    """Keeps the values and prepared names that were acknowledged to it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.values, self.names = {}, set()

    async def command(self, text):
        request_id = self.new_id()
        self.world.expected[request_id] = (dict(self.values), set(self.names), text)
        rows, outcome, state = await self.ask(text, request_id=request_id)
        if outcome and outcome.startswith("COMPLETE"):
            word, _, rest = text.partition(" ")
            if word == "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
            if word == "PARSE":
                self.names.add(rest.split(" ")[0])
        return rows, outcome, state


async def play(world, trouble):
    world.expected = {}
    group = world.groups["ledger"]

    def on_run(session, request_id, word, shape, rest):
        values, _, text = world.expected.get(request_id, (None, None, ""))
        if values is not None and word in ("READ", "PUT") and session.values != values:
            world.breaks.append("PINNED: %s (%s) runs at %s with the values %s; acknowledged: %s" % (
                request_id, text, session.instance.name, session.values, values))

    def on_unknown(session, request_id, text):
        _, names, asked = world.expected.get(request_id, (None, set(), ""))
        if asked.split(" ")[1:2] and asked.split(" ")[1] in names:
            world.breaks.append("PINNED: %s (%s): unknown at %s, although its preparing was "
                                "acknowledged" % (request_id, asked, session.instance.name))
    group.on_run, group.on_unknown = on_run, on_unknown
    await asyncio.sleep(4)  # calm
    sessions = [Session(world, world.daemons[number % 2], "ledger-own", "client-%d" % number)
                for number in range(SESSIONS)]
    writer = Session(world, world.daemons[0], "ledger-primary", "writer")
    for each in sessions + [writer]:
        await each.start()
    await writer.command("PUT a 1")
    for number, each in enumerate(sessions):
        await each.command("SET zone first")
        await each.command("PARSE s1 READ shape%d" % number)
        await each.command("BEGIN")
        await each.command("READ a")
    old = group.newest_primary()
    if trouble:
        world.record.add("primary_cut: %s is partitioned from its replicas" % old.name)
        old.deaf = True

        def heal(chosen):
            world.record.add("the cut ends")
            old.deaf = False
        group.on_promoted = heal
        asyncio.get_running_loop().call_later(CUT_SECONDS, lambda: setattr(old, "deaf", False))
        write = asyncio.ensure_future(writer.command("PUT a 2"))
        limit = time.monotonic() + CUT_SECONDS
        while group.newest_primary() is old and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        if group.newest_primary() is old:
            return False
        await write
        while old.primary:
            await asyncio.sleep(0.02)
    else:
        await asyncio.sleep(2)
    for number, each in enumerate(sessions):
        if number % 2:
            await each.command("SET zone second")
            _, outcome, state = await each.command("READ a")
        else:
            _, outcome, state = await each.command("EXECUTE s1 a")
        await each.command("COMMIT" if state == "T" else "ROLLBACK")
    limit = time.monotonic() + READING_SECONDS

    async def read_on(number, each):
        while time.monotonic() < limit:
            if number % 2:
                _, outcome, state = await each.command("READ a")
            else:
                _, outcome, state = await each.command("EXECUTE s1 a")
            if outcome is None:
                return
            await asyncio.sleep(0.05)
    await asyncio.gather(*(read_on(number, each) for number, each in enumerate(sessions)))
    return True


if __name__ == "__main__":
    run_case(play, FOLDER)
