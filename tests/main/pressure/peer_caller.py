"""A caller of the peer listener that keeps control calls open: the few HTTP/2 frames that this takes."""
import struct

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, WINDOW_UPDATE = 0, 1, 4, 6, 8
ACK, END_HEADERS = 1, 4
CONTINUATION = 9
MAX_FRAME_BYTES = 16_384
MISSING_BYTES = 7


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def integer(value, prefix_bits):
    """An integer of RFC 7541, section 5.1, whose first byte has no other bits set."""
    limit = (1 << prefix_bits) - 1
    if value < limit:
        return bytes([value])
    value -= limit
    encoded = bytes([limit])
    while value >= 128:
        encoded += bytes([value % 128 + 128])
        value //= 128
    return encoded + bytes([value])


def literal(name, value):
    """A field that is not indexed."""
    return b"\0" + integer(len(name), 7) + name + integer(len(value), 7) + value


def head_frames(stream, fill_bytes):
    block = (literal(b":method", b"POST") + literal(b":scheme", b"http") + literal(b":authority", b"peer") +
             literal(b":path", b"/control/none") + literal(b"x-fill", b"f" * fill_bytes))
    parts = [block[start:start + MAX_FRAME_BYTES] for start in range(0, len(block), MAX_FRAME_BYTES)]
    frames = b""
    for number, part in enumerate(parts):
        flags = END_HEADERS if number + 1 == len(parts) else 0
        frames += frame(CONTINUATION if number else HEADERS, flags, stream, part)
    return frames


class PeerConversation:
    """Opens streams whose payload never ends, and keeps within the windows that the node grants."""

    def __init__(self, streams, payload_bytes, fill_bytes=0):
        self.unsent = {2 * number + 1: payload_bytes - MISSING_BYTES for number in range(streams)}
        self.windows = dict.fromkeys(self.unsent, 0)
        # The window of the connection is not tracked: the node raises it to that of all streams.
        self.output = PREFACE + frame(SETTINGS, 0, 0)
        self.heads = [head_frames(stream, fill_bytes) for stream in self.unsent]
        self.settings_received = False
        self.received = b""

    def done(self):
        return self.settings_received and not self.heads and not self.output and not any(self.unsent.values())

    def receive(self, data):
        self.received += data
        while len(self.received) >= 9:
            size = int.from_bytes(self.received[:3], "big")
            if len(self.received) < 9 + size:
                return
            kind, flags = self.received[3], self.received[4]
            stream = int.from_bytes(self.received[5:9], "big")
            payload, self.received = self.received[9:9 + size], self.received[9 + size:]
            self.handle(kind, flags, stream, payload)

    def handle(self, kind, flags, stream, payload):
        if kind == SETTINGS and not flags & ACK:
            self.settings_received = True
            self.output += frame(SETTINGS, ACK, 0)
        elif kind == PING and not flags & ACK:
            self.output += frame(PING, ACK, 0, payload)
        elif kind == WINDOW_UPDATE and stream in self.windows:
            self.windows[stream] += int.from_bytes(payload, "big")

    def next_output(self):
        """Bytes to send now; the part that was sent is given back to sent()."""
        if not self.output and self.settings_received and self.heads:
            self.output = self.heads.pop(0)
        if not self.output:
            for stream, left in self.unsent.items():
                size = min(left, self.windows[stream], MAX_FRAME_BYTES)
                if size > 0:
                    self.output = frame(DATA, 0, stream, b"p" * size)
                    self.unsent[stream] -= size
                    self.windows[stream] -= size
                    break
        return self.output

    def sent(self, count):
        self.output = self.output[count:]
