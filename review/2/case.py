"""A faulty server sends bytes that are no answer: the size line of a chunk that doesn't end.

The process beside it keeps all of them in memory, exceeds the machine's limit and is killed. Orders that it had passed on to
sound servers, for clients on kept connections, end without an answer.
"""

import asyncio
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import OUTBOUND, Fleet, call, main, new_id, now, read_message, request_text  # noqa: E402

HOST, KEY = "jepu9.example", "6wsjnbanfqasnmgkcuyj"
MEMORY_MB = 260  # `memory-mb` of the site's machines
BYTES_PER_S = 100_000_000  # a link has 1,000 Mbit/s
ORDER_CLIENTS, ORDER_WORK_S = 12, 0.3
DEADLINE_MS, TIMEOUT_MS = 6000, 6000


async def order_client(record, machine, number, stop, ends):
    """Sends orders one after the other on a kept connection; notes each connection that ends without an answer."""
    count = 0
    while not stop.is_set():
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, OUTBOUND), 1.0)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.2)
            continue
        on_connection = 0
        while not stop.is_set():
            count += 1
            identity = new_id()
            writer.write(request_text("POST", f"/order/{number}-{count}", HOST, identity, DEADLINE_MS, KEY, b"x" * 300))
            record.add("sent", id=identity, machine=machine.name, path=f"/order/{number}-{count}")
            try:
                message = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000)
            except (OSError, asyncio.TimeoutError):
                message = None
            record.add("answered", id=identity, status=message[0].split(" ")[1] if message else "none")
            if message is None:
                ends.append((identity, on_connection))
                break
            on_connection += 1
            if message[1].get("connection", "").lower() == "close":
                break
        writer.close()


def make_faulty(server, record, spoils):
    """Of its first fifty answers the server spoils the 26th; all others are sound."""
    server.answers, server.spoils = 0, spoils

    async def serve(reader, writer):
        server.writers.add(writer)
        while True:
            message = await read_message(reader)
            if message is None:
                return writer.close()
            line, headers, body = message
            server.answers += 1
            if server.answers == 26 and server.spoils:
                break
            writer.write(await server.run(line, headers, body))
            await writer.drain()
        identity, began, sent = headers.get("request-id", ""), now(), 0
        record.add("run", server=server.id, machine=server.machine.name, id=identity, path=line.split(" ")[1])
        try:
            writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nServer-Seal: seal.{identity}\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n5;".encode())
            while now() - began < 20:
                writer.write(b"a" * 65536)
                await writer.drain()
                sent += 65536
                await asyncio.sleep(max(0.0, sent / BYTES_PER_S - (now() - began)))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            record.add("closed", id=identity, bytes=sent, after_s=f"{now() - began:.3f}")
            server.writers.discard(writer)
            writer.close()

    return serve


async def case(record, trouble):
    fleet = Fleet(record, [("dispatch", "arusha-a"), ("dispatch", "arusha-b"), ("quoting", "arusha-a"),
                           ("quoting", "arusha-b"), ("quoting", "arusha-c")])
    try:
        await fleet.store.open()
        common = {"host": HOST, "timeout-ms": TIMEOUT_MS, "target-latency-ms": 1500, "max-attempts": 1, "public": False}
        fleet.configure(
            [{"name": "r-order", "prefix": "/order/", "kind": "unsafe", "priority": 0, "service": "dispatch", **common},
             {"name": "r-quote", "prefix": "/quote/", "kind": "safe", "priority": 2, "service": "quoting", **common}],
            [{"name": "camp", "api-keys": [KEY], "priority": 1, "rate-per-s": 400, "burst": 400}])
        for machine in fleet.machines:
            machine.server.work_s = lambda path: ORDER_WORK_S if path.startswith("/order/") else 0.02
        faulty = fleet.machines[2]
        faulty.server.serve = make_faulty(faulty.server, record, trouble)
        await fleet.start()
        stop, ends, kills = asyncio.Event(), [], []
        most = 0.0

        async def platform():
            """Kills a process that exceeds its memory, and starts it again after a short delay."""
            nonlocal most
            while not stop.is_set():
                for machine in fleet.machines:
                    if machine.process.poll() is None:
                        text = pathlib.Path(f"/proc/{machine.process.pid}/status").read_text()
                        found = re.search(r"VmRSS:\s+(\d+) kB", text)
                        used = int(found[1]) / 1024 if found else 0.0
                        most = max(most, used)
                        if used > MEMORY_MB:
                            machine.signal(signal.SIGKILL)
                            machine.process.wait()
                            kills.append(machine.name)
                            record.add("killed", machine=machine.name, resident_mb=f"{used:.0f}")
                            await asyncio.sleep(0.5)
                            machine.start()
                await asyncio.sleep(0.02)

        watcher = asyncio.create_task(platform())
        orders = [asyncio.create_task(order_client(record, faulty, number, stop, ends)) for number in range(ORDER_CLIENTS)]
        quotes = []
        # Share x = 0.02: the faulty server gives fifty answers or more, of which one is spoilt.
        until = now() + 25
        while faulty.server.answers < 55 and now() < until:
            quotes.append(asyncio.create_task(
                call(record, faulty, "GET", f"/quote/{len(quotes)}", HOST, KEY, DEADLINE_MS)))
            await asyncio.sleep(0.1)
        if faulty.server.answers < 50:
            raise OSError("the faulty server gave too few answers for the share")
        await asyncio.gather(*quotes)
        await asyncio.sleep(1.0)
        stop.set()
        await asyncio.gather(watcher, *orders)
        runs = {run["id"]: run for machine in fleet.machines[:2] for run in machine.server.runs}
        lost = [identity for identity, before in ends if identity in runs and before > 0]
        for identity in lost:
            record.add("lost", id=identity, run_finished=runs[identity]["end"] is not None)
        return len(lost) <= 3, (
            f"{faulty.server.answers} answers of the faulty server; most memory of a process {most:.0f} MB of {MEMORY_MB}; killed over the limit: {kills}; orders that a sound server "
            f"ran and whose kept connection ended without an answer: {len(lost)}")
    finally:
        fleet.stop()


main(str(pathlib.Path(__file__).resolve().parent), case)
