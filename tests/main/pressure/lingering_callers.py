"""Shows that a node stays within its memory and descriptors while a crowd of callers lingers.

Starts the stand-in log, one or two nodes and a stand-in target on loopback addresses, opens the crowd of one case, and
checks that each node is alive, that its resident memory plus the bytes that the kernel keeps for its sockets and its open
descriptors stay under their bounds, and that an ordinary request is answered while the crowd stays connected. Nothing is
timed: the time limits only stop a hanging run.
"""
import argparse
import selectors
import socket
import sys
import time

from peer_caller import PeerConversation
from pressure_fleet import ADDRESS, ask, request, run_in_fleet, wait_for_answer

BODY_BYTES = 480_000
MISSING_BYTES = 7
SEND_LIMIT_S = 15
LINGER_S = 4


def body_caller(number, piece=None, size=BODY_BYTES, path="/work"):
    """A caller that never sends the last bytes of its body. `piece` is the number of bytes sent at a time."""
    del number
    data = request("POST", path, "Content-Length: %d\r\n\r\n" % size) + b"b" * (size - MISSING_BYTES)
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


# Case: number of callers, function that makes the data of one, number of nodes, listener that they call.
CASES = {
    "bodies_at_once": (150, body_caller, 1, "caller"),
    "bodies_in_pieces": (150, lambda number: body_caller(number, 24_000), 1, "caller"),
    "chunked_bodies": (150, chunked_caller, 1, "caller"),
    "small_bodies": (150, lambda number: body_caller(number, size=16_000), 1, "caller"),
    "endless_heads": (150, head_caller, 1, "caller"),
    "idle_connections": (600, idle_caller, 1, "caller"),
    "slow_readers": (150, reading_caller, 1, "caller"),
    "slow_readers_of_held_answers": (150, lambda number: reading_caller(number, 131_000), 1, "caller"),
    "pipelined_heads": (150, pipelining_caller, 1, "caller"),
    "bodies_through_two_nodes": (150, body_caller, 2, "caller"),
    "slow_readers_through_two_nodes": (150, reading_caller, 2, "caller"),
    "long_unrouted_requests": (4_200, None, 1, "caller"),
    "admin_bodies": (30, lambda number: body_caller(number, size=4_000_000, path="/v1/announce"), 1, "admin"),
    "admin_connections": (600, idle_caller, 1, "admin"),
    "peer_connections": (600, idle_caller, 1, "peer"),
    "peer_payloads": (20, lambda number: PeerConversation(4, 4_000_000), 1, "peer"),
    "peer_heads": (20, lambda number: PeerConversation(200, MISSING_BYTES, 30_000), 1, "peer"),
}


def ask_for_unrouted(port, nodes, count):
    """Sends requests with long heads that no route matches, one after the other. The node records each."""
    for number in range(count):
        ask(port, path="/" + "p" * 7_500, host="h" * 7_000 + ".example")
        if number % 100 == 0:
            for node in nodes:
                node.sample()


class Caller:
    def __init__(self, port, data, piece):
        self.sock = socket.socket()
        # A caller that does not read keeps little in its own buffer, so that the answer stays at the node.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.setblocking(False)
        self.sock.connect_ex((ADDRESS, port))
        self.data, self.piece, self.sent, self.open = data, piece, 0, True

    def done(self):
        return not self.open or self.sent >= len(self.data)

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


class PeerCaller(Caller):
    """A caller of the peer listener."""

    def __init__(self, port, conversation):
        super().__init__(port, b"", 0)
        self.conversation = conversation

    def done(self):
        return not self.open or self.conversation.done()

    def step(self):
        try:
            data = self.sock.recv(65_536)
            if not data:
                self.close()
                return
            self.conversation.receive(data)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()
            return
        try:
            count = self.sock.send(self.conversation.next_output())
            self.conversation.sent(count)
            self.sent += count
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()

    def read_one(self):
        if self.open:
            self.step()


def open_caller(port, made):
    return PeerCaller(port, made) if isinstance(made, PeerConversation) else Caller(port, *made)


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
            if caller.done():
                left -= 1
                selector.unregister(key.fileobj)
        for node in nodes:
            node.sample()
    selector.close()


def run_case(fleet, case):
    count, make, _, listener = CASES[case]
    if not fleet.is_ready():
        return 2
    port = getattr(fleet.nodes[0], listener)
    if make is None:
        ask_for_unrouted(port, fleet.nodes, count)
    callers = [open_caller(port, make(number)) for number in range(count)] if make else []
    send_crowd(callers, fleet.nodes)
    end = time.monotonic() + LINGER_S
    while time.monotonic() < end:
        for caller in callers:
            if "reader" in case or listener == "peer":
                caller.read_one()
        for node in fleet.nodes:
            node.sample()
        time.sleep(0.25)
    answered = (wait_for_answer(fleet.nodes[0].caller, "GET", b"", fleet.nodes) and
                wait_for_answer(fleet.nodes[0].caller, "POST", b"o" * 1000, fleet.nodes))
    status = fleet.report(case, answered, "callers=%d" % count)
    for caller in callers:
        caller.close()
    return status


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", required=True, help="folder of the built programs")
    parser.add_argument("--case", required=True, choices=sorted(CASES))
    parser.add_argument("--unbounded", action="store_true", help="leave the limits out of the settings")
    options = parser.parse_args()
    sys.exit(run_in_fleet(lambda fleet: run_case(fleet, options.case), options.programs, CASES[options.case][2],
                          not options.unbounded))


main()
