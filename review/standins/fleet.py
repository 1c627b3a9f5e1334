"""Stand-ins for the review's scripts: the platform's store, application servers, clients, and real carawayd processes.

Everything runs on loopback addresses and the real clock. The store and the servers follow PROTOCOL.md of the users'
pages; where a page is silent they do what a sound store or server does.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
OUTBOUND, INBOUND, READY, APP, STORE = 8548, 8543, 8546, 8547, 8545
START = time.monotonic()


def now() -> float:
    """Seconds since the script began."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not run (exit code 2)."""


class Record:
    """record.txt: one line for each thing that was sent, answered, run or done to a process."""

    def __init__(self, folder: pathlib.Path):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, kind: str, **fields) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():8.3f} {kind:<10} {text}\n")

    def close(self) -> None:
        self.file.close()


def render(template: str, fields: dict) -> str:
    """Fills in a settings template as DEPLOY.md tells it (the forms that the project's template uses)."""

    def value(path: str, scope: dict, item, key) -> object:
        if path == ".":
            return item
        if path == "@":
            return key
        found: object = scope
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def fill(text: str, item=None, key=None) -> str:
        def section(match: re.Match) -> str:
            whole = value(match[1], fields, item, key)
            rows = list(whole.items()) if isinstance(whole, dict) else list(enumerate(whole or []))
            parts = []
            for index, (name, entry) in enumerate(rows):
                body = match[2].replace("{{,}}", "," if index + 1 < len(rows) else "")
                parts.append(fill(body, entry, name))
            return "".join(parts)

        text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.@-]+)\}\}", lambda m: str(value(m[1], fields, item, key) or ""), text)

    return fill(template)


async def read_message(reader: asyncio.StreamReader):
    """Reads one HTTP message; returns (start line, headers with lower-case names, body) or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, text = line.split(":", 1)
            headers[name.strip().lower()] = text.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def http_answer(status: int, headers: dict, body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Answer'}"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store. It listens at an address for each machine, to tell their calls apart."""

    def __init__(self, record: Record, ips: list[str]):
        self.record, self.ips = record, ips
        self.items: dict[str, dict] = {}
        self.history: list[tuple[float, int, str, str]] = []  # when, revision, key, the event as JSON
        self.history_s = 20.0
        self.discarded = 0  # the revision up to which the history is gone
        self.revision = 10
        self.changed = asyncio.Event()
        self.waiting: dict[asyncio.StreamWriter, float] = {}
        self.turned_away: set[str] = set()  # the store's addresses for the machines that get 503
        self.callers: dict[str, float] = {}  # when each of its addresses was called last
        self.listener = None

    async def open(self) -> None:
        self.listener = await asyncio.start_server(self.serve, self.ips, STORE)

    def put(self, key: str, value: dict) -> None:
        self.revision += 1
        known = self.items.get(key)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.items[key] = {"key": key, "value": text, "revision": self.revision,
                           "create-revision": known["create-revision"] if known else self.revision, "lease": 0}
        self.note(key, self.items[key])

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note(key, {"key": key, "revision": self.revision, "tombstone": True})

    def note(self, key: str, event: dict) -> None:
        self.history.append((now(), self.revision, key, json.dumps(event)))
        while self.history[0][0] < now() - self.history_s:
            self.discarded = self.history.pop(0)[1]
        self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_waiting_watches(self, longer_than: float) -> int:
        """Closes the connections of the watches that have waited so long, without an answer."""
        chosen = [writer for writer, since in self.waiting.items() if now() - since >= longer_than]
        for writer in chosen:
            writer.transport.abort()
        return len(chosen)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                target = message[0].split(" ")[1]
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                caller = writer.get_extra_info("sockname")[0]
                self.callers[caller] = now()
                if caller in self.turned_away:
                    self.record.add("refused", store=path, caller=caller)
                    status, content = 503, {}
                else:
                    status, content = await self.answer(path, fields, writer)
                text = content if isinstance(content, str) else json.dumps(content)
                writer.write(http_answer(status, {"Content-Type": "application/json"}, text.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path: str, fields: dict, writer: asyncio.StreamWriter):
        prefix = fields.get("prefix", "")
        if path == "/v1/kv-key":
            item = self.items.get(fields.get("key", ""))
            return (200, {**item, "store-revision": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > fields.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "truncated": len(keys) > 500,
                         "store-revision": self.revision}
        after, until = int(fields.get("after", 0)), now() + int(fields.get("wait-ms", 0)) / 1000
        self.waiting[writer] = now()
        try:
            while True:
                if writer.get_extra_info("sockname")[0] in self.turned_away:
                    return 503, {}
                if after < self.discarded:
                    return 410, {}
                events = [text for _, revision, key, text in self.history
                          if revision > after and key.startswith(prefix)]
                left = until - now()
                if events or left <= 0:
                    return 200, f'{{"events":[{",".join(events)}],"store-revision":{self.revision}}}'
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.waiting.pop(writer, None)


class Server:
    """An application server on a machine, beside its node."""

    def __init__(self, record: Record, store: Store, machine: "Machine", slots: int = 64):
        self.record, self.store, self.machine, self.slots = record, store, machine, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[dict] = []  # one entry for each request that began to run
        self.listener = None
        self.beats = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.work_s = lambda path: 0.02
        self.body = lambda path: b"ok\n"

    async def open(self, beat_offset: float = 0.0) -> None:
        self.listener = await asyncio.start_server(self.serve, self.machine.ip, APP)
        self.beats = asyncio.create_task(self.beat(beat_offset))

    def write_entry(self) -> None:
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.machine.service, "address": f"{self.machine.ip}:{APP}", "zone": self.machine.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "seq": self.sequence,
            "born": self.born})

    async def beat(self, offset: float) -> None:
        self.write_entry()
        await asyncio.sleep(offset)
        while True:
            self.write_entry()
            await asyncio.sleep(1.5)

    def remove_entry(self) -> None:
        """Leaves without having reported `draining`, as some servers do; it goes on serving."""
        self.beats.cancel()
        self.store.remove(f"servers/{self.id}")
        self.record.add("removed", server=self.id, machine=self.machine.name)

    def end(self) -> None:
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add("ended", server=self.id, machine=self.machine.name)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.run(*message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, line: str, headers: dict, body: bytes) -> bytes:
        path = line.split(" ")[1]
        load = {"Server-Load": f"{sum(run['end'] is None for run in self.runs)},0,{self.slots}",
                "Keep-Alive": "timeout=10"}
        if path == "/health":
            return http_answer(200, {"Instance-Id": self.id, **load})
        identity = headers.get("request-id", "")
        wanted = headers.get("target-instance")
        if wanted is not None and wanted != self.id:
            self.record.add("misdirected", server=self.id, id=identity, wanted=wanted)
            return http_answer(421, {"Instance-Id": self.id, "Request-Id": identity})
        run = {"id": identity, "path": path, "begin": now(), "end": None, "tenant": headers.get("tenant", ""),
               "caller": headers.get("caller-service", "")}
        self.runs.append(run)
        self.record.add("run", server=self.id, machine=self.machine.name, id=identity, path=path)
        await asyncio.sleep(self.work_s(path))
        run["end"] = now()
        self.record.add("done", server=self.id, machine=self.machine.name, id=identity)
        return http_answer(200, {"Request-Id": identity, "Server-Seal": f"seal.{identity}", **load}, self.body(path))


class Machine:
    """One `sidecar` machine: a carawayd process, started with the words of the deploy file."""

    def __init__(self, fleet: "Fleet", name: str, ip: str, service: str, zone: str):
        self.fleet, self.name, self.ip, self.service, self.zone = fleet, name, ip, service, zone
        self.store_ip = fleet.store.ips[int(ip.rsplit(".", 1)[1]) - 1]
        self.process: subprocess.Popen | None = None
        self.server = Server(fleet.record, fleet.store, self)

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        settings = self.fleet.folder / f"{self.name}.settings"
        settings.write_text(render((ROOT / role["template"]).read_text(), self.fleet.fields(self)))
        words = [str(settings) if word.startswith("/etc/carawaybridge/") else word for word in role["run"].split(" ")]
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CARAWAYBRIDGE_CONFIG"] = str(settings)
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record.add("started", machine=self.name, service=self.service, zone=self.zone)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)
        self.fleet.record.add("signal", machine=self.name, signal=signal.Signals(number).name)

    async def stop_as_platform(self, grace_s: float = 6.0) -> None:
        """SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        until = now() + grace_s
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.fleet.record.add("exited", machine=self.name, code=self.process.returncode)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY), 0.5)
            writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """A small deployment: a store, machines in zones, and the operator's configuration."""

    BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
              "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-deadline-ms": 2000,
              "rollback-slack-ms": 250, "outer-ms": 5000, "strict-revoke": "false", "revoke-ms": 5000,
              "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 48, "quota-window-s": 5,
              "quota-overage": 0.25, "quota-slack": 20, "recovery-s": 15}

    def __init__(self, record: Record, machines: list[tuple[str, str]], region: str = "arusha"):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = self.free_prefix(len(machines))
        self.region = region
        self.zones = {zone: region for zone in sorted({zone for _, zone in machines})}
        self.store = Store(record, [f"{self.prefix}.{101 + index}" for index in range(len(machines))])
        self.machines = [Machine(self, f"m{index + 1}", f"{self.prefix}.{index + 1}", service, zone)
                         for index, (service, zone) in enumerate(machines)]

    @staticmethod
    def free_prefix(count: int) -> str:
        for _ in range(100):
            prefix = f"127.{random.randint(64, 223)}.{random.randint(1, 250)}"
            try:
                for host in [*range(1, count + 1), *range(101, count + 101)]:
                    for port in (7000, 7001, OUTBOUND, READY, APP, STORE):
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{host}", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def fields(self, machine: Machine) -> dict:
        """The fields of a process's settings, as DEPLOY.md lists them."""
        return {"node-id": machine.name, "role": "node", "class": "sidecar", "serves": ["sidecar"], "ip": machine.ip,
                "zone": machine.zone, "region": self.region, "zones": self.zones,
                "listen": {"inbound": f"{machine.ip}:{INBOUND}", "outbound": f"{machine.ip}:{OUTBOUND}",
                           "ready": f"{machine.ip}:{READY}"},
                "internal-port-range": [7000, 7015], "seeds": [], "bootstrap": True, "heartbeat-ms": 1500,
                "bounds": self.BOUNDS, "app-addr": f"{machine.ip}:{APP}", "service": machine.service,
                "platform": {"address": f"{machine.store_ip}:{STORE}", "form": "read"}}

    def configure(self, routes: list[dict], tenants: list[dict], version: int = 7) -> None:
        services = sorted({machine.service for machine in self.machines})
        self.store.put("op/config", {
            "version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": name, "health-path": "/health", "max-connections": 1894, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        self.record.add("config", version=version)

    async def start(self, synchronous_beats: bool = True) -> None:
        for index, machine in enumerate(self.machines):
            await machine.server.open(0.0 if synchronous_beats else 0.3 * index)
        for machine in self.machines:
            machine.start()
        until = now() + 20
        while not all([await machine.is_ready() for machine in self.machines]):
            if now() > until or any(machine.process.poll() is not None for machine in self.machines):
                raise CannotRun("the processes were not ready in time")
            await asyncio.sleep(0.1)
        self.record.add("ready")
        await asyncio.sleep(3.0)  # all links are open, nothing counts as just started

    def stop(self) -> None:
        for machine in self.machines:
            machine.server.end()
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if self.store.listener:
            self.store.listener.close()
        if os.environ.get("KEEP"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, identity: str):
        self.identity = identity
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.ended = 0.0
        self.sent = 0.0


def request_text(method: str, path: str, host: str, identity: str, deadline_ms: int, key: str = "",
                 body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {identity}", f"Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Key: {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


async def call(record: Record, machine: Machine, method: str, path: str, host: str, key: str, deadline_ms: int,
               body: bytes = b"", identity: str = "") -> Answer:
    """One request on a new connection, read as fast as it comes."""
    identity = identity or new_id()
    answer = Answer(identity)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, OUTBOUND), 1.0)
    except (OSError, asyncio.TimeoutError):
        record.add("unsent", id=identity, machine=machine.name)
        answer.ended = now()
        return answer
    answer.sent = now()
    record.add("sent", id=identity, machine=machine.name, method=method, path=path)
    try:
        writer.write(request_text(method, path, host, identity, deadline_ms, key, body))
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
        if message is not None:
            answer.status = int(message[0].split(" ")[1])
            answer.headers, answer.body, answer.complete = message[1], message[2], True
    except (OSError, asyncio.TimeoutError):
        pass
    writer.close()
    answer.ended = now()
    record.add("answered", id=identity, status=answer.status, complete=answer.complete,
               seal="server-seal" in answer.headers)
    return answer


def main(folder: str, case) -> None:
    """Runs a case: `case(record, trouble)` returns whether the rule held."""
    record = Record(pathlib.Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes that were started are ended then, too
    try:
        held, summary = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.add("cannot", reason=repr(error))
        record.close()
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    record.add("verdict", rule="held" if held else "broken")
    record.close()
    print(summary)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
