"""DRAIN: requests that wait one after the other at the host of a leaving server still reach that server."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import fleet as lab  # noqa: E402

LAYOUT = [("zone-a", "tracking"), ("zone-b", "tracking"), ("zone-c", "tracking"), ("zone-d", "tracking")]
SERVICES = {"tracking": (19, 0.48)}
KEY = "6wsjnbanfqasnmgkcuyj"
HOST = "shop.example"
PATH = "/status/"
SENT_PER_S = 25.1
DRAIN_S = 2.0
CRASH_AT_S, DRAINING_AT_S, SENDING_S = 3.0, 8.0, 14.0
# The server serves on for `drain-ms` and a little longer, and then exits.
EXITS_AFTER_S = 3.0


def make_fleet(folder):
    return lab.Fleet(folder, LAYOUT, SERVICES)


async def leave(server):
    await asyncio.sleep(EXITS_AFTER_S)
    await server.crash()
    server.store.remove("servers/" + server.name)


async def work(fleet):
    fleet.configure([lab.route("order-status", HOST, PATH, "safe", "tracking", 5000, 1200)], SERVICES,
                    [{"name": "parish", "api-keys": [KEY], "priority": 1, "rate-per-s": 0, "burst": 0}])
    await fleet.start()
    began = fleet.record.now()
    tasks = []
    number = 0
    crashed = not lab.trouble()
    draining = False
    leaving = None
    while (passed := fleet.record.now() - began) < SENDING_S:
        if not crashed and passed >= CRASH_AT_S:
            crashed = True
            await fleet.servers[0].crash()
        if not draining and passed >= DRAINING_AT_S:
            draining = True
            fleet.servers[1].drain()
            leaving = asyncio.create_task(leave(fleet.servers[1]))
        client = fleet.clients[number % len(fleet.clients)]
        tasks.append(asyncio.create_task(client.send("GET", HOST, PATH, key=KEY)))
        number += 1
        await asyncio.sleep(max(0.0, began + number / SENT_PER_S - fleet.record.now()))
    await asyncio.gather(*tasks)
    await leaving


def judge(fleet):
    lines = fleet.record.lines
    acknowledged = next(at for at, kind, facts in lines if kind == "draining")
    leaving = fleet.servers[1].name
    after = [at - acknowledged for at, kind, facts in lines
             if kind == "run" and facts["server"] == leaving and at > acknowledged + DRAIN_S]
    lost = {facts["id"] for at, kind, facts in lines
            if kind == "run" and facts["server"] == leaving and at > acknowledged + DRAIN_S}
    lost -= {facts["id"] for _, kind, facts in lines if kind == "answered" and facts["status"] == 200}
    statuses = {}
    for _, kind, facts in lines:
        if kind == "answered":
            statuses[facts["status"]] = statuses.get(facts["status"], 0) + 1
    return [f"answers by status: {statuses}",
            f"requests that reached the leaving server later than {DRAIN_S} s: {len(after)}"
            + (f", the last after {after[-1]:.2f} s" if after else ""),
            f"of these without a success: {len(lost)}"], not after


sys.exit(lab.play(Path(__file__).resolve().parent, make_fleet, work, judge))
