"""Nodes and stand-ins as processes on loopback addresses, and what the kernel tells about the nodes."""
import os
import socket
import subprocess
import tempfile
import time

# The smallest machine has 160 MB and 4,100 descriptors. Both limits are lowered, so that a small crowd reaches them.
MEMORY_MB = 64
MAX_FDS = 256
ANSWER_LIMIT_S = 40
ADDRESS = "127.0.0.1"


def request(method, path, extra="", host="vitrine.example"):
    return ("%s %s HTTP/1.1\r\nHost: %s\r\n%s" % (method, path, host, extra)).encode()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ADDRESS, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Node:
    """One node process and what the kernel tells about it."""

    def __init__(self, number, log_port, folder):
        self.name = "pressure-%d" % number
        self.caller, self.admin, self.peer = free_ports(3)
        self.log_port, self.folder, self.process = log_port, folder, None
        self.peak_mb, self.peak_fds, self.idle_mb = 0.0, 0, 0.0

    def start(self, program, seeds, bounded):
        limits = "limits:\n  memory_mb: %d\n  max_fds: %d\n" % (MEMORY_MB, MAX_FDS) if bounded else ""
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w", encoding="ascii") as file:
            file.write("node:\n  name: %s\n  availability_zone: caxias\n  threads: 1\n"
                       "listen:\n  caller: %s:%d\n  admin: %s:%d\n  peer: %s:%d\n"
                       "log:\n  address: %s:%d\nseeds: [%s]\n"
                       "routing:\n  replay_bytes: 524288\n  held_answer_bytes: 131072\n%s"
                       "times:\n  default_timeout_ms: 30000\n  warm_up_ms: 0\n" %
                       (self.name, ADDRESS, self.caller, ADDRESS, self.admin, ADDRESS, self.peer, ADDRESS,
                        self.log_port, ", ".join("%s:%d" % (ADDRESS, port) for port in seeds), limits))
        with open(os.path.join(self.folder, self.name + ".log"), "w", encoding="ascii") as log:
            self.process = subprocess.Popen([program, "--settings", path], stdout=log, stderr=log)

    def log_end(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return "".join(file.readlines()[-8:])

    def alive(self):
        return self.process.poll() is None

    def status_mb(self, key):
        with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
            for line in file:
                if line.startswith(key + ":"):
                    return int(line.split()[1]) / 1000
        return 0.0

    def socket_mb(self):
        """Bytes that the kernel keeps for the process's TCP connections: unread ones and unsent ones."""
        ports = {self.caller, self.admin, self.peer}
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file.readlines()[1:]:
                fields = line.split()
                # In state 0A (listen) the queues count connections.
                if int(fields[1].split(":")[1], 16) in ports and fields[3] != "0A":
                    unsent, unread = fields[4].split(":")
                    total += int(unsent, 16) + int(unread, 16)
        return total / 1e6

    def sample(self):
        if not self.alive():
            return
        try:
            fds = len(os.listdir("/proc/%d/fd" % self.process.pid))
            self.peak_fds = max(self.peak_fds, fds)
            self.peak_mb = max(self.peak_mb, self.status_mb("VmRSS") + self.socket_mb(), self.status_mb("VmHWM"))
        except OSError:
            pass

    def broken_bounds(self):
        failures = []
        if not self.alive():
            failures.append("%s ended with status %s" % (self.name, self.process.returncode))
        if self.peak_mb > MEMORY_MB:
            failures.append("%s took %.1f MB of %d MB" % (self.name, self.peak_mb, MEMORY_MB))
        if self.peak_fds > MAX_FDS:
            failures.append("%s opened %d of %d descriptors" % (self.name, self.peak_fds, MAX_FDS))
        return failures


def ask(port, method="GET", path="/work?bytes=32", body=b"", host="vitrine.example"):
    """Returns the status of one ordinary request; 0 without an answer."""
    try:
        with socket.create_connection((ADDRESS, port), timeout=5) as sock:
            fields = "Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) if body else "Connection: close\r\n\r\n"
            sock.sendall(request(method, path, fields, host) + body)
            data = b""
            while b"\r\n" not in data:
                part = sock.recv(4096)
                if not part:
                    return 0
                data += part
            return int(data.split(b" ")[1])
    except (OSError, ValueError, IndexError):
        return 0


def wait_for_answer(port, method, body, nodes):
    end = time.monotonic() + ANSWER_LIMIT_S
    seen = []
    while time.monotonic() < end:
        status = ask(port, method, body=body)
        if status == 200:
            return True
        seen.append(status)
        for node in nodes:
            node.sample()
        time.sleep(0.25)
    print("%s was answered with %s" % (method, sorted(set(seen))))
    return False


class Fleet:
    def __init__(self, programs, folder, count, bounded, slots=1000, timeout_ms=30_000):
        self.timeout_ms = timeout_ms
        self.programs, self.folder, self.processes = programs, folder, []
        self.log_port, self.target_port = free_ports(2)
        self.start("log", "standin-log", "--listen", "%s:%d" % (ADDRESS, self.log_port))
        self.nodes = [Node(number, self.log_port, folder) for number in range(count)]
        for node in self.nodes:
            node.start(self.path("teaselpitch-node"), [other.peer for other in self.nodes if other is not node], bounded)
            self.processes.append(node.process)
        # The target belongs to the last node, so that with two nodes all requests cross from one to the other.
        self.start("target", "standin-target", "--listen", "%s:%d" % (ADDRESS, self.target_port), "--name", "t0",
                   "--service", "vitrine", "--slots", str(slots), "--service-time-ms", "1", "--announce",
                   "%s:%d" % (ADDRESS, self.nodes[-1].admin))

    def path(self, program):
        return os.path.join(self.programs, program)

    def start(self, name, program, *arguments):
        with open(os.path.join(self.folder, name + ".log"), "w", encoding="ascii") as log:
            self.processes.append(subprocess.Popen([self.path(program), *arguments], stdout=log, stderr=log))

    def publish(self):
        table = os.path.join(self.folder, "table.csv")
        with open(table, "w", encoding="ascii") as file:
            file.write("[service]\nservice,availability_zone,weight,limit,floor,detection_policy,timeout_ms,queue_ms,"
                       "retry_budget_pct,objective_pct,objective_latency_ms\n"
                       "vitrine,*,100,0,60,cautious,%d,200,10,99.5,1000\n\n"
                       "[route]\nhost,path_prefix,service,non_idempotent,timeout_ms\nvitrine.example,/,vitrine,auto,0\n\n"
                       "[account]\naccount,service,requests_per_s\n" % self.timeout_ms)
        command = [self.path("teaselpitchctl"), "--log", "%s:%d" % (ADDRESS, self.log_port), "--stream", "teaselpitch",
                   "table", "publish", table, "--base", "0", "--author", "test"]
        end = time.monotonic() + 20
        while True:
            result = subprocess.run(command, capture_output=True, check=False)
            if result.returncode == 0:
                break
            if result.returncode == 2 or time.monotonic() > end:
                print(result.stderr.decode(errors="replace"))
                return False
            time.sleep(0.2)
        return True

    def is_ready(self):
        """Publishes the table and waits until a request is answered; notes what the idle nodes take."""
        if not self.publish() or not wait_for_answer(self.nodes[0].caller, "GET", b"", []):
            print("the fleet did not start\n" + "\n".join(node.log_end() for node in self.nodes))
            return False
        for node in self.nodes:
            node.sample()
            node.idle_mb = node.status_mb("VmRSS")
        return True

    def report(self, case, answered, crowd):
        """Prints the peaks of each node and what failed; returns the exit status of the case."""
        failures = [] if answered else ["an ordinary request got no answer"]
        for node in self.nodes:
            node.sample()
            print("case=%s node=%s alive=%s idle_mb=%.1f peak_mb=%.1f peak_fds=%d %s" %
                  (case, node.name, node.alive(), node.idle_mb, node.peak_mb, node.peak_fds, crowd))
            failures += node.broken_bounds()
        for failure in failures:
            print("FAILED: " + failure)
        return 1 if failures else 0

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def run_in_fleet(run, *arguments):
    """Runs a case in a fleet made of the arguments, stops its processes, and returns the exit status."""
    programs, *others = arguments
    with tempfile.TemporaryDirectory(prefix="pressure-") as folder:
        fleet = Fleet(programs, folder, *others)
        try:
            return run(fleet)
        finally:
            fleet.stop()
