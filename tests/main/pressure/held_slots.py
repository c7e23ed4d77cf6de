"""Shows that callers who send or read slowly do not keep a target's slots from everyone else.

Each caller of the crowd comes back as soon as its connection ends, so that the crowd asks for all slots the whole time.
The deadline of the requests is longer than the run. Checked are the processes, their memory and descriptors, and that
ordinary requests are answered while the crowd is connected. Nothing is timed: the limits only stop a hanging run.
"""
import argparse
import selectors
import socket
import sys
import threading
import time

from pressure_fleet import ADDRESS, request, run_in_fleet, wait_for_answer

CROWD = 8
TIMEOUT_MS = 600_000
LINGER_S = 4
RETURN_DELAY_S = 0.1
STEP_S = 0.1
# Bytes of a body that are sent at once; the ingress reads this much ahead before it asks for a slot.
FAST_BYTES = 600_000
MISSING_BYTES = 2_000
SUCCESS = b"HTTP/1.1 200"


def upload(size, path="/work"):
    return request("POST", path, "Content-Length: %d\r\n\r\n" % size)


def download(size):
    return request("GET", "/work?bytes=%d" % size, "\r\n")


# Case: head of the request, bytes of the body that are sent at once, bytes a second that are sent and read, number of
# nodes, slots of the target.
CASES = {
    "stalled_uploads": (upload(2_000_000), 2_000_000 - MISSING_BYTES, 10, 1, 2),
    "trickling_uploads": (upload(4_000_000), FAST_BYTES, 10_000, 1, 2),
    "steady_uploads": (upload(40_000_000), FAST_BYTES, 128_000, 1, 2),
    "uploads_to_a_slow_target": (upload(40_000_000, "/work?read_bytes_per_s=100000"), FAST_BYTES, 20_000_000, 1, 2),
    "slow_readers": (download(3_000_000), 0, 10_000, 1, 2),
    "steady_readers": (download(40_000_000), 0, 128_000, 1, 2),
    "stalled_uploads_through_two_nodes": (upload(2_000_000), 2_000_000 - MISSING_BYTES, 10, 2, 2),
    "slow_readers_through_two_nodes": (download(3_000_000), 0, 10_000, 2, 2),
    "stalled_uploads_at_one_slot": (upload(2_000_000), 2_000_000 - MISSING_BYTES, 10, 1, 1),
    "slow_readers_at_one_slot": (download(3_000_000), 0, 10_000, 1, 1),
}


class SlowCaller:
    """A caller that moves bytes at a fixed rate, and comes back when its connection ends."""

    def __init__(self, address, port, head, fast_bytes, rate):
        self.address, self.port, self.head, self.rate = address, port, head, rate
        self.fast_bytes, self.status = fast_bytes, b""
        self.connections, self.sock = 0, None
        self.opens_at = 0.0
        self.open()

    def open(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.bind((self.address, 0))
        self.sock.setblocking(False)
        self.sock.connect_ex((ADDRESS, self.port))
        self.connections += 1
        self.unsent = self.head + b"b" * self.fast_bytes
        self.moved_at, self.credit, self.status = time.monotonic(), 0.0, b""

    def end(self):
        self.sock.close()
        self.sock = None
        self.opens_at = time.monotonic() + RETURN_DELAY_S

    def step(self):
        now = time.monotonic()
        if self.sock is None:
            if now >= self.opens_at:
                self.open()
            return
        try:
            self.move(now)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.end()

    def move(self, now):
        if self.unsent:
            self.unsent = self.unsent[self.sock.send(self.unsent):]
            self.moved_at = now
            return
        self.credit += (now - self.moved_at) * self.rate
        self.moved_at = now
        count, self.credit = int(self.credit), self.credit % 1
        if self.fast_bytes:
            # An answer before the end of the body ends the conversation.
            try:
                self.sock.recv(65_536)
                self.end()
                return
            except (BlockingIOError, InterruptedError):
                pass
            self.unsent = b"b" * count
        elif count:
            data = self.sock.recv(count)
            self.status += data[:len(SUCCESS) - len(self.status)]
            if not data or not SUCCESS.startswith(self.status):
                self.end()


class Crowd:
    """All slow callers, moved by a thread of their own."""

    def __init__(self, callers):
        self.callers, self.running = callers, True
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while self.running:
            selector = selectors.DefaultSelector()
            for caller in self.callers:
                caller.step()
                if caller.sock is not None and caller.unsent:
                    selector.register(caller.sock, selectors.EVENT_WRITE)
            if selector.get_map():
                selector.select(STEP_S)
            else:
                time.sleep(STEP_S)
            selector.close()

    def stop(self):
        self.running = False
        self.thread.join()
        for caller in self.callers:
            if caller.sock is not None:
                caller.sock.close()


def run_case(fleet, case):
    head, fast_bytes, rate, _, _ = CASES[case]
    if not fleet.is_ready():
        return 2
    # Each caller has an address of its own, and the ordinary requests have another one.
    callers = [SlowCaller("127.0.1.%d" % (number + 1), fleet.nodes[0].caller, head, fast_bytes, rate)
               for number in range(CROWD)]
    crowd = Crowd(callers)
    try:
        end = time.monotonic() + LINGER_S
        while time.monotonic() < end:
            for node in fleet.nodes:
                node.sample()
            time.sleep(0.25)
        answered = (wait_for_answer(fleet.nodes[0].caller, "GET", b"", fleet.nodes) and
                    wait_for_answer(fleet.nodes[0].caller, "POST", b"o" * 1000, fleet.nodes))
    finally:
        crowd.stop()
    connections = sum(caller.connections for caller in callers)
    return fleet.report(case, answered, "callers=%d connections=%d" % (CROWD, connections))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", required=True, help="folder of the built programs")
    parser.add_argument("--case", required=True, choices=sorted(CASES))
    options = parser.parse_args()
    _, _, _, nodes, slots = CASES[options.case]
    sys.exit(run_in_fleet(lambda fleet: run_case(fleet, options.case), options.programs, nodes, True, slots, TIMEOUT_MS))


main()
