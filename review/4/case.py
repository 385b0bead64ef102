"""A daemon that starts again takes another daemon's old position for the end of what it had
acknowledged itself, and a replica that lacks acknowledged commits is promoted.

A replica receives nothing for some seconds. The daemon that has acknowledged the writes of that
time is killed and starts again. Then the primary and the other replica crash; both return with
their logs.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
from standins import Client, run_case  # noqa: E402

DEAF_SECONDS = 6.5     # replica_lag, how deaf: for_s of the site
WRITE_SECONDS = 2.5
RESTART_SECONDS = 0.3  # the platform starts a process that was killed again after a short delay
CRASH_SECONDS = 7.0    # srv_crash: for_s of the site
WRITE_PAUSE_SECONDS = 0.05


async def play(world, trouble):
    group = world.groups["ledger"]
    acknowledged, entries = [], {}

    def on_commit(instance, entry):
        for request_id in entry[2]:
            entries[request_id] = entry

    def on_promoted(chosen):
        lost = [entry for entry in acknowledged
                if len(chosen.log) < entry[0] or chosen.log[entry[0] - 1] is not entry]
        if lost and not world.breaks:
            world.breaks.append(
                "LOST: %s is promoted with a log of %d commits; it lacks %d acknowledged commits, "
                "%d.%d to %d.%d" % (chosen.name, len(chosen.log), len(lost), lost[0][1],
                                    lost[0][0], lost[-1][1], lost[-1][0]))
    group.on_commit, group.on_promoted = on_commit, on_promoted

    async def write(client, number):
        _, outcome, _ = await client.ask("PUT a %d" % number)
        if outcome and outcome.startswith("COMPLETE"):
            acknowledged.append(entries[client.last_id])

    await asyncio.sleep(4)  # calm
    primary, other_replica, deaf = group.instances
    for daemon in world.daemons:
        client = Client(world, daemon, "ledger-primary", "first-" + daemon.name)
        await client.start()
        await write(client, 0)
        client.close()
    began = time.monotonic()
    if trouble:
        world.record.add("replica_lag: %s receives nothing" % deaf.name)
        deaf.deaf = True
        asyncio.get_running_loop().call_later(DEAF_SECONDS, lambda: setattr(deaf, "deaf", False))
    daemon = world.daemons[0]
    client = Client(world, daemon, "ledger-primary", "writer")
    await client.start()
    while time.monotonic() < began + WRITE_SECONDS:
        await write(client, len(acknowledged))
        await asyncio.sleep(WRITE_PAUSE_SECONDS)
    client.close()
    if trouble:
        world.record.add("node_kill: %s is killed" % daemon.name)
        daemon.signal(signal.SIGKILL)
        daemon.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        daemon.start()
    await asyncio.sleep(2)
    if trouble and not await daemon.ready():
        world.record.add("%s isn't ready again" % daemon.name)
        return False
    if trouble:
        world.record.add("srv_crash: %s, the primary, and %s crash, %.1f s after %s fell silent; "
                         "%d commits are acknowledged" % (
                             primary.name, other_replica.name, time.monotonic() - began, deaf.name,
                             len(acknowledged)))
        for instance in (primary, other_replica):
            instance.crash()
        await asyncio.sleep(CRASH_SECONDS)
        for instance in (primary, other_replica):
            instance.primary = instance.primary and group.promotions == 0
            await instance.start()
            world.record.add("%s returns with a log of %d commits, as a %s" % (
                instance.name, len(instance.log), "primary" if instance.primary else "replica"))
        await world.announce(group)
    await asyncio.sleep(3)
    leading = group.newest_primary()
    world.record.add("promotions: %d; %s leads with %d commits; %d were acknowledged" % (
        group.promotions, leading and leading.name, len(leading.log) if leading else 0,
        len(acknowledged)))
    return len(acknowledged) > len(world.daemons)


if __name__ == "__main__":
    run_case(play, FOLDER, daemons=2)
