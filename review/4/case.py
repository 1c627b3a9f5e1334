"""The store turns some machines away and serves the others; a key is withdrawn meanwhile.

The machines that are turned away are the ones that read the store for their zone. Nobody takes their place, so the
withdrawn key goes on working at machines that the store would serve, until it serves the readers again.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import Fleet, call, main, now  # noqa: E402

HOST, KEY, WITHDRAWN = "jepu9.example", "6wsjnbanfqasnmgkcuyj", "8pjbvk9m68k7b2ex5wa5"
MACHINES = 7
SHARE, AWAY_S = 0.33, 9.0  # platform_down of the site with how "nodes ...": share 0.33, for_s 9.0
CONFIG_S, OUTER_S = 2.0, 5.0  # bounds `config-deadline-ms` and `outer-ms`


def configuration(fleet, keys, version):
    fleet.configure(
        [{"name": "r-order", "host": HOST, "prefix": "/order/", "kind": "unsafe", "timeout-ms": 1200,
          "target-latency-ms": 1500, "priority": 0, "service": "dispatch", "max-attempts": 2, "public": False}],
        [{"name": "camp", "api-keys": keys, "priority": 1, "rate-per-s": 400, "burst": 400}], version)


async def case(record, trouble):
    fleet = Fleet(record, [("dispatch" if n < 3 else "quoting", "arusha-a") for n in range(MACHINES)])
    try:
        await fleet.store.open()
        configuration(fleet, [KEY, WITHDRAWN], 7)
        await fleet.start()
        await asyncio.sleep(4.0)
        readers = [machine for machine in fleet.machines if now() - fleet.store.callers.get(machine.store_ip, -9) < 2.9]
        names = sorted(machine.name for machine in readers)
        record.add("readers", machines=",".join(names))
        if not 0 < len(readers) <= SHARE * MACHINES:
            raise OSError(f"not as many readers as the share allows: {names}")
        if trouble:
            fleet.store.turned_away = {machine.store_ip for machine in readers}
            fleet.store.wake()  # their waiting watches get 503 as well
            record.add("away", machines=",".join(names), for_s=AWAY_S)
        began = now()
        await asyncio.sleep(0.5)
        configuration(fleet, [KEY], 9)
        acknowledged = now()
        served, checked = [], 0
        while now() < began + AWAY_S + 3.0:
            if trouble and now() >= began + AWAY_S and fleet.store.turned_away:
                fleet.store.turned_away = set()
                record.add("back")
            for machine in fleet.machines:
                if machine in readers:
                    continue  # only machines that the store would serve all the while
                sent = now()
                answer = await call(record, machine, "POST", f"/order/{checked}", HOST, WITHDRAWN, 6000, b"x" * 300)
                checked += 1
                if answer.status == 200:
                    served.append((sent - acknowledged, machine.name))
            await asyncio.sleep(0.1)
        bound = CONFIG_S + (OUTER_S if trouble else 0.0)
        broken = [entry for entry in served if entry[0] > bound]
        for after, name in broken:
            record.add("broken", machine=name, after_s=f"{after:.3f}")
        last = max((after for after, _ in served), default=0.0)
        return not broken, (f"readers {names}; {checked} orders with the withdrawn key at the others, {len(served)} served, the "
                            f"last {last:.2f} s after the withdrawal was acknowledged; {len(broken)} of them after {bound} s")
    finally:
        fleet.stop()


main(str(pathlib.Path(__file__).resolve().parent), case)
