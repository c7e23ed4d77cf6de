"""Stand-ins and process control for the scripts of the second review.

Holds a stand-in for the platform's store with the operator, one for a backend, and a fleet that starts the node
program of the deploy file with the project's settings template. Everything listens on loopback addresses.
"""
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 60, "budgetWindowS": 10,
          "failClosed": "false", "revokeMs": 5000}
HEARTBEAT_S = 1.5


class Record:
    """Lines of record.txt, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii")

    def add(self, who, text):
        with self.lock:
            self.file.write("%8.3f %-10s %s\n" % (time.monotonic() - self.start, who, text))
            self.file.flush()


class Conn:
    """Buffered reader of HTTP messages on a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        part = self.sock.recv(65536)
        if not part:
            raise EOFError("the connection ended")
        self.data += part

    def head(self):
        while b"\r\n\r\n" not in self.data:
            self.fill()
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, size):
        while len(self.data) < size:
            self.fill()
        part, self.data = self.data[:size], self.data[size:]
        return part

    def line(self):
        while b"\r\n" not in self.data:
            self.fill()
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def body(self, fields, until_close=False):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return body
                body += self.exactly(size)
                self.exactly(2)
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        if until_close:
            body = b""
            try:
                while True:
                    self.fill()
            except EOFError:
                body, self.data = self.data, b""
                return body
        return b""


def loopback(index):
    """Returns a loopback address of this process, so that scripts that run at the same time do not meet."""
    pid = os.getpid()
    return "127.%d.%d.%d" % (64 + pid % 128, pid // 128 % 250 + 1, index)


def free_port(ip):
    """Returns a free port below the range from which the system takes the ports of outgoing connections."""
    while True:
        port = random.randrange(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                pass


def reset(sock):
    """Closes a socket with a TCP reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()


class Listener:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self, ip, port, serve):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port or free_port(ip)))
        self.sock.listen(512)
        self.address = "%s:%d" % (ip, self.sock.getsockname()[1])
        self.serve = serve
        self.conns = set()
        threading.Thread(target=self.loop, daemon=True).start()

    def loop(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.conns.add(sock)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        try:
            self.serve(sock)
        except (OSError, EOFError, ValueError):
            pass
        self.conns.discard(sock)
        sock.close()

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


class Store:
    """The platform's store: append-only topics with one partition, and the newest record of each key."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.topics = {}
        self.before_answer = None  # Called with (name, query) before each answer; may sleep, or return "lose".
        self.listener = Listener(loopback(2), 0, self.serve)
        self.address = self.listener.address

    def append(self, topic, key, value):
        with self.changed:
            log = self.topics.setdefault(topic, [])
            log.append((key, value))
            self.changed.notify_all()
            return len(log) - 1

    def publish(self, version, routes, services, limits=None):
        """Writes a configuration as the operator does; the return of this call is the acknowledgement."""
        resources = []
        for name, spec in routes.items():
            resources.append({"resourceType": "routes", "metadata": {"name": name}, "spec": spec})
        for name in services:
            resources.append({"resourceType": "services", "metadata": {"name": name},
                              "spec": {"healthPath": "/health", "maxConnections": 360, "protocol": "h1",
                                       "tls": False}})
        resources.append({"resourceType": "limits", "metadata": {},
                          "spec": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        document = {"version": "%08x" % version, "baseVersion": "%08x" % max(version - 1, 0),
                    "resources": resources}
        self.append("keyed.op", b"config", json.dumps(document).encode())
        self.record.add("operator", "version %d acknowledged" % version)

    def serve(self, sock):
        conn = Conn(sock)
        while True:
            line, fields = conn.head()
            method, target, _ = line.split(" ")
            body = conn.body(fields)
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, kind, answer = self.call(method, url.path, query, body)
            if self.before_answer and self.before_answer(url.path, query) == "lose":
                time.sleep(3600)
            sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" %
                         (status, kind.encode(), len(answer)) + answer)
            if fields.get("connection", "").lower() == "close":
                return

    def call(self, method, path, query, body):
        topic = query.get("topic", "")
        def text(status, value):
            return status, "application/json", json.dumps(value).encode()
        if (method, path) == ("POST", "/log-append"):
            if topic in ("keyed.op", "keyed.servers"):
                return text(403, {})
            offset = None
            while body:
                size = struct.unpack(">I", body[:4])[0]
                item, body = body[4:4 + size], body[4 + size:]
                at = self.append(topic, item[1:1 + item[0]], item[1 + item[0]:])
                offset = at if offset is None else offset
            return text(200, {"offset": offset or 0, "end": len(self.topics.get(topic, []))})
        if (method, path) == ("GET", "/log-newest"):
            with self.changed:
                newest = {}
                log = self.topics.get(topic, [])
                for offset, (key, value) in enumerate(log):
                    newest[key] = (value, offset)
                items = [{"key": key.decode("latin-1"), "value": base64.b64encode(value).decode(),
                          "offset": offset} for key, (value, offset) in sorted(newest.items()) if value]
                return text(200, {"items": items, "more": False, "end": len(log)})
        if (method, path) == ("GET", "/log-read"):
            start = int(query["from"])
            end_time = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
            with self.changed:
                while len(self.topics.get(topic, [])) <= start and time.monotonic() < end_time:
                    self.changed.wait(end_time - time.monotonic())
                log = self.topics.get(topic, [])
                answer = struct.pack(">QQ", len(log), 0)
                for key, value in log[start:]:
                    item = bytes([len(key)]) + key + value
                    answer += struct.pack(">I", len(item)) + item
            return 200, "application/octet-stream", answer
        return text(404, {})


class Backend:
    """A sound backend: some slots, a short queue, echo of the id, a seal on each answer, and heartbeats.

    `behave` may be set to a function of (backend, sock, request) that answers the request itself and returns True.
    """

    def __init__(self, record, name, service, zone, ip, control, slots=8, work_s=0.05):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.control, self.slots, self.work_s = control, slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.lock = threading.Lock()
        self.behave = None
        self.body_bytes = 600
        self.stopped = False
        self.runs = []  # (time, id, method, path, body length, caller service)
        self.listener = Listener(ip, 0, self.serve)
        self.address = self.listener.address

    def start(self):
        threading.Thread(target=self.beat_loop, daemon=True).start()

    def beat_loop(self):
        while not self.stopped:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def call_control(self, path, message):
        ip, port = self.control.split(":")
        body = json.dumps(dict(message, born=self.born)).encode()
        try:
            with socket.create_connection((ip, int(port)), timeout=1) as sock:
                sock.sendall(("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                              "Connection: close\r\nContent-Length: %d\r\n\r\n" %
                              (path, self.control, len(body))).encode() + body)
                return int(Conn(sock).head()[0].split(" ")[1])
        except (OSError, EOFError):
            return 0

    def beat(self):
        self.sequence += 1
        return self.call_control("/Instances.Heartbeat/" + self.name, {
            "address": self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}})

    def serve(self, sock):
        conn = Conn(sock)
        while True:
            line, fields = conn.head()
            method, path, _ = line.split(" ")
            request = {"method": method, "path": path, "fields": fields, "id": fields.get("attempt-id", ""),
                       "conn": conn}
            expected = fields.get("expected-instance", self.name)
            if expected != self.name:
                conn.body(fields)
                sock.sendall(("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\n"
                              "Content-Length: 0\r\n\r\n" % (request["id"], self.name)).encode())
                continue
            with self.lock:
                full = self.running >= self.slots + 36
                self.running += 0 if full else 1
            if full:
                conn.body(fields)
                sock.sendall(("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n" % request["id"]).encode())
                continue
            try:
                if not (self.behave and self.behave(self, sock, request)):
                    body = conn.body(fields)
                    self.note(request, body)
                    time.sleep(self.work_s)
                    self.answer(sock, request)
            finally:
                with self.lock:
                    self.running -= 1

    def note(self, request, body):
        self.runs.append((time.monotonic(), request["id"], request["method"], request["path"], len(body),
                          request["fields"].get("caller-service", "")))
        self.record.add(self.name, "runs %s %s %s body=%d" %
                        (request["id"], request["method"], request["path"], len(body)))

    def head_of(self, request, status, size):
        return ("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s.%d\r\nServer-Load: %d,0,%d\r\n"
                "Content-Length: %d\r\n\r\n" % (status, request["id"], self.name, request["id"], size,
                                               self.running, self.slots, size)).encode()

    def answer(self, sock, request, status="200 OK", size=None):
        size = self.body_bytes if size is None else size
        sock.sendall(self.head_of(request, status, size) + b"b" * size)


class Node:
    """One node process, started with the run command of the deploy file."""

    def __init__(self, fleet, name, zone, service, ip):
        self.fleet, self.name, self.zone, self.service, self.ip = fleet, name, zone, service, ip
        self.process = None
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(ip))
        self.caller, self.control, self.ready, self.peer = ["%s:%d" % (ip, port) for port in ports]
        self.backend = None
        self.starts = 0

    def start(self):
        fields = {"node": self.name, "zone": self.zone, "region": "sul", "listen.outbound": self.caller,
                  "listen.control": self.control, "listen.inbound": self.peer, "listen.ready": self.ready,
                  "ip": self.ip, "platform.address": self.fleet.store_address,
                  "heartbeatMs": str(int(HEARTBEAT_S * 1000)), "service": self.service,
                  "appAddr": self.backend.address, "limits.memoryMb": "160", "limits.maxFds": "4100"}
        fields.update({"bounds." + key: str(value) for key, value in BOUNDS.items()})
        with open(os.path.join(ROOT, "deploy", "node.yaml"), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda match: fields.get(match.group(1), ""), file.read())
        path = os.path.join(self.fleet.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split()
        command[0] = os.environ.get("NODE_PROGRAM", command[0])
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a", encoding="utf-8")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["TEASELPITCH_SETTINGS"] = path
        if "ASAN_OPTIONS" in os.environ:
            env["ASAN_OPTIONS"] = os.environ["ASAN_OPTIONS"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.starts += 1
        self.fleet.record.add(self.name, "started, callers at %s" % self.caller)

    def signal(self, number):
        self.fleet.record.add(self.name, "gets " + signal.Signals(number).name)
        self.process.send_signal(number)

    def is_ready(self):
        ip, port = self.ready.split(":")
        try:
            with socket.create_connection((ip, int(port)), timeout=0.5) as sock:
                sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                return Conn(sock).head()[0].split(" ")[1] == "200"
        except (OSError, EOFError):
            return False

    def connect(self, timeout=20):
        ip, port = self.caller.split(":")
        sock = socket.create_connection((ip, int(port)), timeout=1)
        sock.settimeout(timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


class Fleet:
    """A store, nodes and backends. Services are names; each node has one backend beside it."""

    def __init__(self, record, layout):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.store_address = self.store.address
        self.nodes = []
        self.backends = []
        for index, (zone, service) in enumerate(layout):
            self.add(index, zone, service)

    def add(self, index, zone, service):
        ip = loopback(index + 10)
        node = Node(self, "n%d" % index, zone, service, ip)
        node.backend = Backend(self.record, "i-%d" % index, service, zone, ip, node.control)
        self.nodes.append(node)
        self.backends.append(node.backend)
        return node

    def start(self):
        for node in self.nodes:
            node.start()
        for backend in self.backends:
            backend.start()

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(node.is_ready() for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        for backend in self.backends:
            backend.stopped = True
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(service, prefix, kind="safe", timeout_ms=8000, attempts=2, priority=1):
    return {"host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 1500, "priority": priority, "service": service, "attempts": attempts}


def request_text(method, path, attempt, deadline_ms=5000, extra="", body=None):
    text = "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s" % (
        method, path, attempt, deadline_ms, extra)
    if body is not None:
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode("latin-1") + b"\r\n" + (body or b"")


def ask(node, method, path, attempt, deadline_ms=5000, body=None, extra="", timeout=20):
    """Sends one request on a new connection; returns (status, fields, body), or (0, {}, reason)."""
    try:
        sock = node.connect(timeout)
        with sock:
            sock.sendall(request_text(method, path, attempt, deadline_ms, "Connection: close\r\n" + extra, body))
            conn = Conn(sock)
            line, fields = conn.head()
            return int(line.split(" ")[1]), fields, conn.body(fields)
    except (OSError, EOFError, ValueError) as error:
        return 0, {}, str(error)


def run(folder, layout, check):
    """Runs a script: exit status 0 when the rule held, 1 when it was broken, 2 when the case could not run."""
    record = Record(folder)
    fleet = Fleet(record, layout)
    status = 2
    try:
        status = check(fleet, record)
    except Exception as error:  # pylint: disable=broad-except
        record.add("script", "could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        fleet.stop()
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status]
    record.add("script", verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(status)
