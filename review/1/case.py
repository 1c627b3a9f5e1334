"""Rolling stop of a machine while a server of another machine leaves without having reported `draining`.

Orders that the stopping machine has passed on to the leaving server are answered with a failure of the node's own,
while that server is at work on them and goes on to finish them.
"""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import Fleet, call, main, now  # noqa: E402

HOST, KEY = "jepu9.example", "6wsjnbanfqasnmgkcuyj"
ORDERS_PER_S = 60
WORK_S = 0.3
DEADLINE_MS, TIMEOUT_MS = 6000, 3000
GRACE_S = 6.0  # bound `grace-s`
DRAIN_S = 2.0  # bound `drain-ms`
SERVES_ON_S = 1.0  # "... serving for drain-ms ... and a little longer (at times many seconds), and then exits"


async def case(record, trouble):
    part = os.environ.get("PART", "both") if trouble else "none"  # both | term | removal | none
    fleet = Fleet(record, [("dispatch", "arusha-a"), ("dispatch", "arusha-a"), ("dispatch", "arusha-b"),
                           ("quoting", "arusha-a")])
    try:
        await fleet.store.open()
        fleet.configure(
            [{"name": "r-order", "host": HOST, "prefix": "/order/", "kind": "unsafe", "timeout-ms": TIMEOUT_MS,
              "target-latency-ms": 1500, "priority": 0, "service": "dispatch", "max-attempts": 2, "public": False}],
            [{"name": "camp", "api-keys": [KEY], "priority": 1, "rate-per-s": 400, "burst": 400}])
        for machine in fleet.machines:
            machine.server.work_s = lambda path: WORK_S
        await fleet.start()
        entry, leaving = fleet.machines[3], fleet.machines[0].server
        orders, stop = [], asyncio.Event()

        async def traffic():
            number = 0
            while not stop.is_set():
                number += 1
                orders.append(asyncio.create_task(
                    call(record, entry, "POST", f"/order/{number}", HOST, KEY, DEADLINE_MS, b"x" * 300)))
                await asyncio.sleep(1 / ORDERS_PER_S)

        source = asyncio.create_task(traffic())
        await asyncio.sleep(3.0)
        # Planned work: the machine that takes the orders is stopped, as each is in a rolling restart ...
        stopped_at = now()
        stopping = asyncio.create_task(entry.stop_as_platform(GRACE_S)) if part in ("both", "term") else None
        await asyncio.sleep(0.4)
        # ... and a server on another machine is taken away.
        removed_at = now()
        if part in ("both", "removal"):
            leaving.remove_entry()
        await asyncio.sleep(0.4)
        stop.set()  # two misses of `ready`: the clients there get no further work
        await source
        answers = await asyncio.gather(*orders)
        await asyncio.sleep(max(0.0, removed_at + DRAIN_S + SERVES_ON_S - now()))
        if part in ("both", "removal"):
            leaving.end()
        if stopping:
            await stopping
        runs = {run["id"]: run for machine in fleet.machines for run in machine.server.runs}
        broken = []
        for task_answer in answers:
            identity = task_answer.identity
            run = runs.get(identity)
            if run is None or "server-seal" in task_answer.headers or run["end"] is None:
                continue
            at_work = run["begin"] < task_answer.ended < run["end"]
            in_time = task_answer.ended - task_answer.sent < min(DEADLINE_MS, TIMEOUT_MS) / 1000
            if at_work and in_time and stopped_at <= task_answer.ended <= stopped_at + GRACE_S + 1:
                broken.append((identity, task_answer, run))
                record.add("broken", id=identity, status=task_answer.status, sent=f"{task_answer.sent:.3f}",
                           answered=f"{task_answer.ended:.3f}", run=f"{run['begin']:.3f}-{run['end']:.3f}")
        finished = sum(run["end"] is not None for run in runs.values())
        sealed = sum("server-seal" in answer.headers for answer in answers)
        summary = (f"{len(orders)} orders sent, {len(runs)} run, {finished} finished by their server, "
                   f"{sealed} answered with the server's seal; {len(broken)} were broken off by the stopping machine "
                   f"with an answer of its own ({sorted({answer.status for _, answer, _ in broken})}) "
                   "while their server was at work")
        return not (broken and part != "removal"), summary
    finally:
        fleet.stop()


main(str(pathlib.Path(__file__).resolve().parent), case)
