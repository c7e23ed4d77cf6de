"""Shows that a node stays within its memory and descriptors while a crowd of callers lingers.

Starts the stand-in log, one or two nodes and a stand-in target on loopback addresses, opens the crowd of one case, and
checks that each node is alive, that its resident memory plus the bytes that the kernel keeps for its sockets and its open
descriptors stay under their bounds, and that an ordinary request is answered while the crowd stays connected. Nothing is
timed: the time limits only stop a hanging run.
"""
import argparse
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import time

# The smallest machine has 160 MB and 4,100 descriptors. Both limits are lowered, so that a small crowd reaches them.
MEMORY_MB = 64
MAX_FDS = 256
BODY_BYTES = 480_000
MISSING_BYTES = 7
SEND_LIMIT_S = 15
LINGER_S = 4
ANSWER_LIMIT_S = 40
ADDRESS = "127.0.0.1"


def request(method, path, extra=""):
    return ("%s %s HTTP/1.1\r\nHost: vitrine.example\r\n%s" % (method, path, extra)).encode()


def body_caller(number, piece=None, size=BODY_BYTES):
    """A caller that never sends the last bytes of its body. `piece` is the number of bytes sent at a time."""
    del number
    data = request("POST", "/work", "Content-Length: %d\r\n\r\n" % size) + b"b" * (size - MISSING_BYTES)
    return data, piece or len(data)


def chunked_caller(number):
    """A caller whose chunked body never ends."""
    del number
    chunk = b"4000\r\n" + b"c" * 0x4000 + b"\r\n"
    data = request("POST", "/work", "Transfer-Encoding: chunked\r\n\r\n") + chunk * (BODY_BYTES // 0x4000)
    return data, 24_000


def head_caller(number):
    return request("GET", "/work", "X-Number: %d\r\n" % number) + b"X-Fill: " + b"h" * 15_000, 1_000


def idle_caller(number):
    del number
    return b"", 1


def reading_caller(number, size=1_000_000):
    return request("GET", "/work?bytes=%d" % size, "X-Call-Id: slow-%d\r\n\r\n" % number), 4_096


def pipelining_caller(number):
    """A caller that sends heads of 15,000 bytes behind each other and does not read."""
    fill = "X-Fill: " + "f" * 15_000 + "\r\n\r\n"
    return b"".join(request("GET", "/work?bytes=60000", "X-Call-Id: many-%d-%d\r\n%s" % (number, part, fill))
                    for part in range(20)), 16_384


# Case: number of callers, function that makes the data of one, number of nodes.
CASES = {
    "bodies_at_once": (150, body_caller, 1),
    "bodies_in_pieces": (150, lambda number: body_caller(number, 24_000), 1),
    "chunked_bodies": (150, chunked_caller, 1),
    "small_bodies": (150, lambda number: body_caller(number, size=16_000), 1),
    "endless_heads": (150, head_caller, 1),
    "idle_connections": (600, idle_caller, 1),
    "slow_readers": (150, reading_caller, 1),
    "slow_readers_of_held_answers": (150, lambda number: reading_caller(number, 131_000), 1),
    "pipelined_heads": (150, pipelining_caller, 1),
    "bodies_through_two_nodes": (150, body_caller, 2),
    "slow_readers_through_two_nodes": (150, reading_caller, 2),
}


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
        ports = {self.caller, self.peer}
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


class Caller:
    def __init__(self, port, data, piece):
        self.sock = socket.socket()
        # A caller that does not read keeps little in its own buffer, so that the answer stays at the node.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.setblocking(False)
        self.sock.connect_ex((ADDRESS, port))
        self.data, self.piece, self.sent, self.open = data, piece, 0, True

    def step(self):
        try:
            if self.sent < len(self.data):
                self.sent += self.sock.send(self.data[self.sent:self.sent + self.piece])
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()

    def read_one(self):
        try:
            if self.open and self.sock.recv(1) == b"":
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def close(self):
        self.open = False
        self.sock.close()


def send_crowd(callers, nodes):
    """Sends the data of all callers in turns, until everything is sent or the limit of the run is reached."""
    selector = selectors.DefaultSelector()
    for caller in callers:
        selector.register(caller.sock, selectors.EVENT_WRITE, caller)
    end = time.monotonic() + SEND_LIMIT_S
    left, last_progress = len(callers), time.monotonic()
    while left and time.monotonic() < end and time.monotonic() - last_progress < LINGER_S:
        for key, _ in selector.select(0.1):
            caller = key.data
            before = caller.sent
            caller.step()
            if caller.sent > before:
                last_progress = time.monotonic()
            if not caller.open or caller.sent >= len(caller.data):
                left -= 1
                selector.unregister(key.fileobj)
        for node in nodes:
            node.sample()
    selector.close()


def ask(port, method="GET", path="/work?bytes=32", body=b""):
    """Returns the status of one ordinary request; 0 without an answer."""
    try:
        with socket.create_connection((ADDRESS, port), timeout=5) as sock:
            fields = "Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) if body else "Connection: close\r\n\r\n"
            sock.sendall(request(method, path, fields) + body)
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
    def __init__(self, programs, folder, count, bounded):
        self.programs, self.folder, self.processes = programs, folder, []
        self.log_port, self.target_port = free_ports(2)
        self.start("log", "standin-log", "--listen", "%s:%d" % (ADDRESS, self.log_port))
        self.nodes = [Node(number, self.log_port, folder) for number in range(count)]
        for node in self.nodes:
            node.start(self.path("teaselpitch-node"), [other.peer for other in self.nodes if other is not node], bounded)
            self.processes.append(node.process)
        # The target belongs to the last node, so that with two nodes all requests cross from one to the other.
        self.start("target", "standin-target", "--listen", "%s:%d" % (ADDRESS, self.target_port), "--name", "t0",
                   "--service", "vitrine", "--slots", "1000", "--service-time-ms", "1", "--announce",
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
                       "vitrine,*,100,0,60,cautious,30000,200,10,99.5,1000\n\n"
                       "[route]\nhost,path_prefix,service,non_idempotent,timeout_ms\nvitrine.example,/,vitrine,auto,0\n\n"
                       "[account]\naccount,service,requests_per_s\n")
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

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def run_case(fleet, case):
    count, make, _ = CASES[case]
    if not fleet.publish() or not wait_for_answer(fleet.nodes[0].caller, "GET", b"", []):
        print("the fleet did not start\n" + "\n".join(node.log_end() for node in fleet.nodes))
        return 2
    for node in fleet.nodes:
        node.sample()
        node.idle_mb = node.status_mb("VmRSS")
    callers = [Caller(fleet.nodes[0].caller, *make(number)) for number in range(count)]
    send_crowd(callers, fleet.nodes)
    end = time.monotonic() + LINGER_S
    while time.monotonic() < end:
        for caller in callers:
            if "reader" in case:
                caller.read_one()
        for node in fleet.nodes:
            node.sample()
        time.sleep(0.25)
    answered = (wait_for_answer(fleet.nodes[0].caller, "GET", b"", fleet.nodes) and
                wait_for_answer(fleet.nodes[0].caller, "POST", b"o" * 1000, fleet.nodes))
    failures = [] if answered else ["an ordinary request got no answer"]
    for node in fleet.nodes:
        node.sample()
        print("case=%s node=%s alive=%s idle_mb=%.1f peak_mb=%.1f peak_fds=%d callers=%d" %
              (case, node.name, node.alive(), node.idle_mb, node.peak_mb, node.peak_fds, count))
        if not node.alive():
            failures.append("%s ended with status %s" % (node.name, node.process.returncode))
        if node.peak_mb > MEMORY_MB:
            failures.append("%s took %.1f MB of %d MB" % (node.name, node.peak_mb, MEMORY_MB))
        if node.peak_fds > MAX_FDS:
            failures.append("%s opened %d of %d descriptors" % (node.name, node.peak_fds, MAX_FDS))
    for caller in callers:
        caller.close()
    for failure in failures:
        print("FAILED: " + failure)
    return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", required=True, help="folder of the built programs")
    parser.add_argument("--case", required=True, choices=sorted(CASES))
    parser.add_argument("--unbounded", action="store_true", help="leave the limits out of the settings")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="pressure-") as folder:
        fleet = Fleet(options.programs, folder, CASES[options.case][2], not options.unbounded)
        try:
            status = run_case(fleet, options.case)
        finally:
            fleet.stop()
    sys.exit(status)


main()
