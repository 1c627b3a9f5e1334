"""A small fleet on loopback addresses: the users' store, servers and clients as stand-ins, and the project's own
programs as processes, started with the command and the settings template of the deploy file.

Everything follows the users' pages PROTOCOL.md and DEPLOY.md. Where a page is silent, a stand-in is sound: servers
answer whole answers, the store answers within milliseconds, and clients wait for their answers.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
PORTS = {"outbound": 8548, "inbound": 8543, "ready": 8546, "app": 8547, "store": 8545}
BOUNDS = {
    "seed-lag-s": "3", "reuse-after-s": "2", "contact-ms": "3000", "ack-ms": "4000", "catch-up-s": "4",
    "drain-ms": "2000", "grace-s": "6", "loss-slack-ms": "200", "config-deadline-ms": "2000",
    "rollback-slack-ms": "250", "outer-ms": "5000", "strict-revoke": "false", "revoke-ms": "5000",
    "retry-budget-ratio": "0.2", "budget-window-s": "10", "budget-slack": "50", "quota-window-s": "5",
    "quota-overage": "0.25", "quota-slack": "20", "recovery-s": "15",
}
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be run."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# ---------------------------------------------------------------------------------------------------- HTTP


async def read_head(reader):
    """The first line and the fields (names in lower case) of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(first_line, fields, body=b""):
    text = first_line + "\r\n"
    for name, value in {**fields, "Content-Length": str(len(body))}.items():
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1") + body


# --------------------------------------------------------------------------------------------------- record


class Record:
    """What was sent, answered and run, in seconds since the start of the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lines = []
        self.path = Path(folder) / "record.txt"

    def now(self):
        return time.monotonic() - self.started

    def add(self, kind, **facts):
        self.lines.append((self.now(), kind, facts))

    def write(self, verdict):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(f"trouble={1 if trouble() else 0}\n")
            for at, kind, facts in self.lines:
                text = " ".join(f"{name}={value}" for name, value in facts.items())
                out.write(f"{at:8.3f} {kind} {text}\n")
            for line in verdict:
                out.write(f"verdict: {line}\n")


# ---------------------------------------------------------------------------------------------------- store


class Store:
    """The platform's store, as far as the system reads it: kv-key, kv-range and kv-watch."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, PORTS["store"])

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["create-revision"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision, "create-revision": created, "lease": 0}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                status, answer = await self.answer(head[0].split(" ")[1])
                body = json.dumps(answer).encode()
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "truncated": len(keys) > 500,
                         "store-revision": self.revision}
        if parts.path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "store-revision": self.revision}) if item else (404, {})
        if parts.path == "/v1/kv-watch":
            after = int(query.get("after", "0"))
            ends = time.monotonic() + min(30.0, int(query.get("wait-ms", "0")) / 1000)
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


# --------------------------------------------------------------------------------------------------- servers


@dataclass
class Server:
    """An application server: `slots` runs at once, a few more wait, one request at a time on a connection."""

    store: Store
    record: Record
    ip: str
    zone: str
    service: str
    slots: int
    work_s: float
    name: str = ""
    crashes_on: str = ""
    down_s: float = 3.0
    runs: list = field(default_factory=list)

    def __post_init__(self):
        self.begin()

    def begin(self):
        """A new incarnation."""
        self.name = "i-" + "".join(random.choices("0123456789abcdef", k=8))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_down = False
        self.running = 0
        self.waiting = []
        self.connections = {}
        self.listener = None
        self.beats = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, PORTS["app"])
        self.beats = asyncio.create_task(self.beat())

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": f"{self.ip}:{PORTS['app']}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
            "seq": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        """Reports `draining`; the store's answer to that is its acknowledgement."""
        self.state = "draining"
        self.register()
        self.record.add("draining", server=self.name, ip=self.ip)

    async def crash(self):
        """The process ends: its sockets are reset or refused, and it says nothing more."""
        self.record.add("crash", server=self.name, ip=self.ip, running=self.running)
        self.is_down = True
        self.beats.cancel()
        self.listener.close()
        for task, writer in list(self.connections.items()):
            writer.transport.abort()
            task.cancel()

    async def crash_and_return(self):
        if not self.beats.cancelled() and not self.is_down:
            await self.crash()
            await self.come_back(self.down_s)

    async def come_back(self, down_s):
        """Starts again as a new incarnation; the old entry goes after three heartbeats of silence."""
        old = "servers/" + self.name
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.remove, old)
        await asyncio.sleep(down_s)
        self.begin()
        await self.start()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections[task] = writer
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                answer = await self.handle(head[0].split(" "), head[1], body, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(task, None)
            writer.close()

    async def handle(self, line, fields, body, reader):
        stated = {"Keep-Alive": "timeout=10", "Server-Load": f"{self.running},{len(self.waiting)},{self.slots}"}
        if line[1] == "/health":
            return message("HTTP/1.1 200 OK", {**stated, "Instance-Id": self.name})
        request = fields.get("request-id", "")
        if fields.get("target-instance", self.name) != self.name:
            self.record.add("misdirected", server=self.name, id=request)
            return message("HTTP/1.1 421 Misdirected Request", {**stated, "Instance-Id": self.name})
        self.record.add("arrived", server=self.name, id=request)
        if self.running >= self.slots:
            if len(self.waiting) >= 2 * self.slots:
                return message("HTTP/1.1 503 Service Unavailable",
                               {**stated, "Not-Executed": "1", "Request-Id": request})
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        self.running += 1
        try:
            if self.crashes_on and line[1] == self.crashes_on:
                self.record.add("run", server=self.name, id=request, method=line[0], path=line[1])
                asyncio.create_task(self.crash_and_return())
                await asyncio.sleep(1)
                return None
            self.record.add("run", server=self.name, id=request, tenant=fields.get("tenant", ""),
                            method=line[0], path=line[1])
            self.runs.append((self.record.now(), request, fields.get("tenant", "")))
            # Most servers drop a request when its connection closes. Callers send nothing before the answer.
            closes = asyncio.create_task(reader.read(1))
            closed, _ = await asyncio.wait([closes], timeout=self.work_s)
            if closed:
                return None
            closes.cancel()
            await asyncio.wait([closes])
        finally:
            self.running -= 1
            while self.waiting and self.running < self.slots:
                turn = self.waiting.pop(0)
                if not turn.done():
                    turn.set_result(None)
                    break
        return message("HTTP/1.1 200 OK", {**stated, "Request-Id": request, "Server-Seal": self.name + ".1",
                                           "Content-Type": "text/plain"}, b"done " + request.encode())


# ---------------------------------------------------------------------------------------------------- nodes


def fill(template, values):
    """The platform's filling of the template: sections over tables and lists, and plain values."""
    def look(path, scope):
        for part in path.split("."):
            if not isinstance(scope, dict) or part not in scope:
                return None
            scope = scope[part]
        return scope

    def section(match):
        content = look(match.group(1), values)
        if content is None or content is False:
            return ""
        if not isinstance(content, dict):
            return match.group(2).replace("{{.}}", str(content))
        parts = []
        entries = list(content.items())
        for index, (key, value) in enumerate(entries):
            comma = "," if index + 1 < len(entries) else ""
            parts.append(match.group(2).replace("{{@}}", key).replace("{{.}}", str(value)).replace("{{,}}", comma))
        return "".join(parts)

    def plain(match):
        value = look(match.group(1), values)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", plain, text)


@dataclass
class Node:
    """A carawayd beside one server."""

    ip: str
    zone: str
    service: str
    zones: list
    store: str
    folder: Path
    record: Record
    process: asyncio.subprocess.Process = None

    def write_settings(self):
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["node"]
        values = {
            "ip": self.ip, "zone": self.zone, "region": "region-1", "service": self.service,
            "zones": {name: "region-1" for name in self.zones}, "bounds": BOUNDS,
            "listen": {name: f"{self.ip}:{PORTS[name]}" for name in ("outbound", "inbound", "ready")},
            "app-addr": f"{self.ip}:{PORTS['app']}", "limits": {"memory-mb": 260},
            "platform": {"address": f"{self.store}:{PORTS['store']}"},
        }
        path = self.folder / f"{self.ip}.toml"
        path.write_text(fill((REPOSITORY / role["template"]).read_text(), values))
        words = role["run"].replace("/etc/carawaybridge/boot.yaml", str(path)).split(" ")
        return [str(REPOSITORY / words[0])] + words[1:]

    async def start(self):
        words = self.write_settings()
        with open(self.folder / f"{self.ip}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*words, cwd=REPOSITORY, stdout=log, stderr=log)
        self.record.add("node_started", ip=self.ip)

    def signal(self, number):
        self.record.add("signal", ip=self.ip, number=int(number))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, PORTS["ready"])
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


# --------------------------------------------------------------------------------------------------- clients


@dataclass
class Answer:
    """`status` 0: the connection ended without a whole answer."""

    status: int
    fields: dict
    body: bytes
    took_s: float


class Client:
    """A client of one machine; keeps its connections open for further requests."""

    def __init__(self, fleet, ip):
        self.fleet = fleet
        self.ip = ip
        self.idle = []

    async def send(self, method, host, path, key="", deadline_ms=5000, body=b"", request=""):
        request = request or "".join(random.choices("0123456789abcdef", k=16))
        record = self.fleet.record
        began = time.monotonic()
        record.add("sent", id=request, at=self.ip, method=method, path=path)
        fields = {"Host": host, "Request-Id": request, "Deadline-Ms": str(deadline_ms)}
        if key:
            fields["Key"] = key
        status, answered, content = 0, {}, b""
        try:
            if self.idle:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection(self.ip, PORTS["outbound"])
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
            if head is not None:
                content = await read_body(reader, head[1])
                answered, status = head[1], int(head[0].split(" ")[1])
            if head is None or answered.get("connection", "") == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
        except asyncio.TimeoutError:
            writer.close()
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            pass
        took = time.monotonic() - began
        record.add("answered", id=request, status=status, took_ms=round(took * 1000),
                   seal="yes" if "server-seal" in answered else "no")
        return Answer(status, answered, content, took)


# ----------------------------------------------------------------------------------------------------- fleet


class Fleet:
    """`layout`: for each machine its zone and the service of its server."""

    def __init__(self, folder, layout, services):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="caraway-case-"))
        self.prefix = self.free_prefix()
        self.store = Store(f"{self.prefix}.200.1")
        zones = sorted({zone for zone, _ in layout})
        self.servers, self.nodes, self.clients = [], [], []
        for index, (zone, service) in enumerate(layout):
            ip = f"{self.prefix}.{zones.index(zone) + 1}.{index + 1}"
            slots, work_s = services[service]
            self.servers.append(Server(self.store, self.record, ip, zone, service, slots, work_s))
            self.nodes.append(Node(ip, zone, service, zones, self.store.address, self.folder, self.record))
            self.clients.append(Client(self, ip))
        self.version = 0

    @staticmethod
    def free_prefix():
        for _ in range(100):
            prefix = f"127.{random.randint(16, 215)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{prefix}.200.1", PORTS["store"]))
                    return prefix
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    def configure(self, routes, services, tenants):
        """Writes a new version of the operator's configuration; the store's answer is its acknowledgement."""
        before = self.version
        self.version += random.randint(1, 3)
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "health-path": "/health", "max-connections": 442, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": tenants, "base-version": before})
        self.record.add("configuration", version=self.version)

    async def start(self):
        if not (REPOSITORY / "target/services/carawayd/carawayd").exists():
            raise CannotRun("the build of the deploy file is missing")
        await self.store.start()
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            await node.start()
        ends = time.monotonic() + 20
        waiting = list(self.nodes)
        while waiting:
            waiting = [node for node in waiting if not await node.is_ready()]
            if time.monotonic() > ends:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        self.record.add("ready")
        # Traffic starts eight seconds after the machines do.
        await asyncio.sleep(max(0.0, 8 - self.record.now()))

    async def stop(self):
        for server in self.servers:
            if server.beats:
                server.beats.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, make_fleet, days_work, judge):
    """Runs a case. `judge` returns the lines of the verdict and whether the rule held."""

    async def run():
        fleet = make_fleet(folder)
        try:
            await asyncio.wait_for(days_work(fleet), 110)
        finally:
            await fleet.stop()
        return fleet

    try:
        fleet = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as cause:
        print("could not run:", repr(cause))
        return 2
    verdict, holds = judge(fleet)
    fleet.record.write(verdict + ["held" if holds else "broken"])
    print("\n".join(verdict + ["held" if holds else "broken"]))
    return 0 if holds else 1


def route(name, host, prefix, kind, service, timeout_ms, aim_ms, attempts=2, public=False, priority=2):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": aim_ms, "priority": priority, "service": service, "max-attempts": attempts,
            "public": public}
