"""Clients that send a part of a request, or more than they may, and stay."""

import os
import socket
import threading


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def pieces_of(data, size):
    return [data[at:at + size] for at in range(0, len(data), size)]


def in_chunks(size, total):
    """Chunks of `size` bytes each for a body of `total` bytes, without the last one."""
    return [b"".join(chunk(part) for part in pieces_of(piece, size))
            for piece in pieces_of(b"x" * total, 65536)]


class Client(threading.Thread):
    """Sends `pieces`, then `trickle` every half second, until the host closes or stop() is called.
    It reads nothing."""

    def __init__(self, port, pieces, trickle=None):
        super().__init__(daemon=True)
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.pieces = pieces
        self.trickle = trickle
        self.stopped = threading.Event()
        self.has_sent = threading.Event()

    def run(self):
        try:
            for piece in self.pieces:
                if self.stopped.is_set():
                    return
                self.socket.sendall(piece)
            self.has_sent.set()
            while self.trickle and not self.stopped.wait(0.5):
                self.socket.sendall(self.trickle)
        except OSError:
            pass  # The host closed the connection, or reads no more.
        finally:
            self.has_sent.set()

    def stop(self):
        self.stopped.set()
        self.socket.close()


class Crowd:
    """Clients of the process `pid` that send at once; `make_pieces` gets the number of each.

    `growth_kb` is by how much the peak of the process's memory has grown, `descriptors` how many
    more it had open at most.
    """

    def __init__(self, pid, port, count, make_pieces, trickle=None):
        self.pid = pid
        self.memory_before, self.descriptors_before = self.peak_kb(), self.open_descriptors()
        self.descriptors = 0
        self.clients = [Client(port, make_pieces(number), trickle) for number in range(count)]

    def __enter__(self):
        for client in self.clients:
            client.start()
        for client in self.clients:
            client.has_sent.wait(12)
            self.descriptors = max(self.descriptors,
                                   self.open_descriptors() - self.descriptors_before)
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.stop()

    def peak_kb(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
            return int(next(line for line in status if line.startswith("VmHWM")).split()[1])

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    @property
    def growth_kb(self):
        return self.peak_kb() - self.memory_before
