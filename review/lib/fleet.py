"""Stand-ins for the scripts of the review: the platform's store, backends, clients, and the start of the nodes.

Everything listens on loopback addresses and free ports. The stand-ins follow PROTOCOL.md; where it is silent they
behave like a sound store, backend or client.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stabilityMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 60, "recoveryS": 15, "probesPerS": 3, "floorShare": 0.7,
}
HEARTBEAT_MS = 1500
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


class Record:
    """Events of one run, with seconds since its start. Written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {text}\n")
        self.file.flush()


def free_port(ip):
    """Returns a port that is free on this address for TCP and UDP, below the ports that the kernel hands out."""
    while True:
        port = random.randrange(10000, 32000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
            except OSError:
                continue
            return port


class Headers(dict):
    """Header fields by lower-case name."""

    def __getitem__(self, name):
        return self.get(name.lower(), "")


class Truncated(Exception):
    """The connection ended within a message."""


async def read_head(reader):
    """Reads a start line and header fields; None when the connection ends before them."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    try:
        if headers["transfer-encoding"].lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += data[:-2]
        if headers["content-length"]:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if until_close else b""
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Truncated from error


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's log store, with one partition for each topic."""

    def __init__(self, record, ip="127.0.0.1"):
        self.record, self.ip, self.port = record, ip, free_port(ip)
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def put(self, topic, key, value):
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append(bytes([len(key)]) + key + value)
            self.changed.notify_all()
        return len(records) - 1

    async def put_config(self, version, resources):
        document = {"version": f"{version:08x}", "resources": resources}
        await self.put("keyed.op", b"config", json.dumps(document).encode())
        self.record.add("config_acknowledged", version=version)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, kind, answer = await self.answer(method, urlsplit(target), body)
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": kind, "Content-Length": len(answer)},
                                     answer))
                await writer.drain()
                if head[1]["connection"].lower() == "close":
                    break
        except (Truncated, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, url, body):
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if (method, url.path) == ("POST", "/log-append"):
            offset = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                data, body = body[4:4 + size], body[4 + size:]
                await self.put(topic, data[1:1 + data[0]], data[1 + data[0]:])
            return 200, "application/json", json.dumps({"offset": offset, "end": len(records)}).encode()
        if (method, url.path) == ("GET", "/log-read"):
            start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(records) > start), wait)
                except asyncio.TimeoutError:
                    pass
            answer = struct.pack(">QQ", len(records), 0)
            for data in records[start:]:
                answer += struct.pack(">I", len(data)) + data
            return 200, "application/octet-stream", answer
        if (method, url.path) == ("GET", "/log-newest"):
            newest = {}
            for offset, data in enumerate(records):
                newest[data[1:1 + data[0]]] = (data[1 + data[0]:], offset)
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(newest.items()) if value]
            return 200, "application/json", json.dumps({"items": items, "more": False, "end": len(records)}).encode()
        return 404, "application/json", b"{}"


class Backend:
    """One backend. `on_run(backend, request)` is awaited for each run and returns (status, body)."""

    serial = 0

    def __init__(self, record, service, zone, ip, slots=4, on_run=None, work_s=0.05):
        self.record, self.service, self.zone, self.ip, self.slots = record, service, zone, ip, slots
        self.port, self.control = free_port(ip), None
        self.on_run, self.work_s = on_run, work_s
        self.state, self.tasks, self.writers = "ready", set(), set()
        self.server = None

    async def start(self):
        Backend.serial += 1
        self.id = f"i-{os.getpid():x}{Backend.serial:04x}"
        self.born = int(time.time() * 1000)
        self.sequence, self.running, self.state = 0, 0, "ready"
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True)
        self.heart = asyncio.create_task(self.heartbeats())

    async def crash(self):
        """Ends at once: no heartbeat, and all connections are reset."""
        self.heart.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add("backend_crashed", id=self.id, service=self.service)

    async def heartbeats(self):
        while True:
            asyncio.create_task(self.beat())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            "address": f"{self.ip}:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}}).encode()
        return await self.tell("Heartbeat", body)

    async def tell(self, call, body):
        try:
            reader, writer = await asyncio.open_connection(*self.control)
            writer.write(message(f"POST /Instances.{call}/{self.id} HTTP/1.1", {
                "Host": "control", "Content-Type": "application/json", "Content-Length": len(body),
                "Connection": "close"}, body))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ")
                headers = head[1]
                if headers["expected-instance"] not in ("", self.id):
                    await read_body(reader, headers)
                    writer.write(message("HTTP/1.1 421 Misdirected Request", {
                        "Instance-Id": self.id, "Attempt-Id": headers["attempt-id"], "Content-Length": 0}))
                    continue
                body = await read_body(reader, headers)
                if self.running >= self.slots:
                    writer.write(message("HTTP/1.1 503 Service Unavailable", {
                        "Not-Executed": 1, "Attempt-Id": headers["attempt-id"], "Content-Length": 0}))
                    continue
                request = {"method": method, "path": path, "headers": headers, "body": body, "writer": writer}
                await self.run(request)
                await writer.drain()
        except (Truncated, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, request):
        headers = request["headers"]
        self.record.add("run", backend=self.id, service=self.service, attempt=headers["attempt-id"],
                        method=request["method"], path=request["path"], caller=headers["caller-service"],
                        deadline_ms=headers["deadline-ms"])
        self.running += 1
        try:
            status, body = 200, b"done by " + self.service.encode() + b"\n"
            if self.on_run is not None:
                result = await self.on_run(self, request)
                if result is None:
                    return
                status, body = result
            else:
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        request["writer"].write(message(f"HTTP/1.1 {status} X", {
            "Attempt-Id": headers["attempt-id"], "Response-Seal": f"seal.{self.id}", "Keep-Alive": "timeout=10",
            "Content-Length": len(body)}, body))


class Node:
    """One teaselpitch-node process beside a backend, started with the command of the deploy file."""

    def __init__(self, record, store, folder, name, zone, backend, ip):
        self.record, self.store, self.name, self.backend, self.ip = record, store, name, backend, ip
        self.outbound, self.inbound, self.control, self.ready = (free_port(ip) for _ in range(4))
        self.settings, self.log_path = folder / f"{name}.conf", folder / f"{name}.log"
        backend.control = (ip, self.control)
        values = {"node": name, "zone": zone, "region": "sul", "ip": ip, "service": backend.service,
                  "appAddr": f"{ip}:{backend.port}", "heartbeatMs": HEARTBEAT_MS, "platform.address": store.address,
                  "limits.memoryMb": 160, "limits.maxFds": 4100}
        for listener in ("outbound", "inbound", "control", "ready"):
            values[f"listen.{listener}"] = f"{ip}:{getattr(self, listener)}"
        values |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        template = (ROOT / deploy["template"]).read_text()
        self.settings.write_text(re.sub(r"\{\{([^}]*)\}\}", lambda match: str(values[match[1]]), template))
        self.command = deploy["run"].split()
        self.process = None

    async def start(self):
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                 "TEASELPITCH_SETTINGS": str(self.settings)})
        log.close()
        self.record.add("node_started", node=self.name, service=self.backend.service)

    def signal(self, number):
        self.record.add("signal", node=self.name, number=number)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(message("GET /readiness HTTP/1.1", {"Host": "ready", "Connection": "close"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


async def send(record, node, method, path, host, attempt, deadline_ms=5000, body=None, headers=None):
    """Sends one request of a client on a new connection. Returns (status, headers, body); status 0: no answer."""
    record.add("sent", attempt=attempt, node=node.name, method=method, host=host, path=path)
    fields = {"Host": host, "Attempt-Id": attempt, "Deadline-Ms": deadline_ms} | (headers or {})
    if body is not None:
        fields["Content-Length"] = len(body)
    status, answer_headers, answer = 0, Headers(), b""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, node.outbound), 1)
        writer.write(message(f"{method} {path} HTTP/1.1", fields, body or b""))
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        if head is not None:
            answer_headers = head[1]
            answer = await asyncio.wait_for(read_body(reader, answer_headers, True), deadline_ms / 1000)
            status = int(head[0].split(" ")[1])
    except (OSError, asyncio.TimeoutError, Truncated):
        pass
    finally:
        if writer is not None:
            writer.close()
    record.add("answered", attempt=attempt, status=status, seal=answer_headers["response-seal"] or "none",
               answer_attempt=answer_headers["attempt-id"] or "none", body_bytes=len(answer))
    return status, answer_headers, answer


def route(name, host, prefix, kind, service, timeout_ms=4000, attempts=2, priority=1):
    spec = {"host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 1500,
            "priority": priority, "service": service, "attempts": attempts}
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": spec}


def services(*names):
    return [{"resourceType": "services", "metadata": {"name": name},
             "spec": {"healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": False}}
            for name in names]


def limits():
    return [{"resourceType": "limits", "metadata": {}, "spec": LIMITS}]


class CannotRun(Exception):
    """The case could not be set up."""


class Fleet:
    """A store and nodes with their backends, in three zones."""

    def __init__(self, record, folder):
        self.record, self.folder = record, Path(folder)
        # Two runs at the same time use different loopback addresses.
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        self.store = Store(record, f"{self.network}.254")
        self.nodes = []

    async def start(self, plan, config, on_run=None, work_s=0.05, slots=4):
        """`plan` lists the service of each machine. Returns when all nodes are ready and know each other."""
        await self.store.start()
        await self.store.put_config(1, config)
        zones = ("porto-alegre", "caxias", "pelotas")
        for index, service in enumerate(plan):
            ip = f"{self.network}.{1 + index}"
            zone = zones[index % len(zones)]
            backend = Backend(self.record, service, zone, ip, slots, on_run, work_s)
            self.nodes.append(Node(self.record, self.store, self.folder, f"sidecar-{zone}-{index}", zone, backend, ip))
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.gather(*(node.backend.start() for node in self.nodes))
        await self.wait_ready(30)

    async def wait_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(await asyncio.gather(*(node.is_ready() for node in self.nodes))):
                # The bench, too, starts traffic some seconds after the machines.
                await asyncio.sleep(6)
                self.record.add("all_ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("not all nodes became ready")

    async def stop(self):
        await asyncio.gather(*(node.stop() for node in self.nodes))


def main(case, folder):
    """Runs `case(record, fleet, trouble)`, which returns True when the rule held, and exits as a run.sh must."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("start", trouble=int(trouble))

    async def play():
        with tempfile.TemporaryDirectory(prefix="teaselpitch-review-") as temporary:
            fleet = Fleet(record, temporary)
            try:
                return await asyncio.wait_for(case(record, fleet, trouble), 110)
            finally:
                await fleet.stop()
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp {temporary}/*.log '{os.environ['KEEP_LOGS']}'")

    try:
        held = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.add("cannot_run", reason=repr(error))
        raise SystemExit(2) from error
    record.add("verdict", rule="held" if held else "broken")
    print("rule held" if held else "rule broken")
    raise SystemExit(0 if held else 1)
