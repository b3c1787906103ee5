"""Clients that hold bodies open, send too much or do not read take no more than a host's memory.

Only growth is checked, since sanitizer builds start with more memory.
"""

import os
import signal
import time
import unittest

from support.crowd import Crowd, chunk, in_chunks, pieces_of
from support.route_fleet import KEY, RouteFleet, ask, desired_state

HOST_MB = 80  # bounds.memory_mb of the host.
PROCESS_MB = 20  # Of it, what a host may need without callers.
CROWD = 100  # Clients at once, which together could send more than the host has.
BODY_BYTES = 2 ** 20  # max_body_bytes of the desired state.
MORE_DESCRIPTORS = 40  # Beside one for each client and one for its request at an upstream.
WAIT_SECONDS = 60  # Of ordinary callers: how fast the machine is does not count.
PIECE = b"x" * 65536
SHORT = BODY_BYTES - 1
END = b"0\r\n\r\n"


def head(number, path="/book/", key=KEY, length=None):
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (f"POST {path}c{number} HTTP/1.1\r\nHost: rounds.example\r\n{framing}\r\n"
            f"Quincefall-Request-Id: c{number}\r\nQuincefall-Deadline-Ms: 4000\r\n"
            f"Quincefall-Credential: {key}\r\n\r\n").encode()


# What client `number` sends.
FORMS = {
    "large chunks, short of the end": lambda number: [head(number), *in_chunks(65536, SHORT)],
    "small chunks, short of the end": lambda number: [head(number), *in_chunks(8, SHORT)],
    "all but the last line": lambda number: [head(number), *in_chunks(65536, SHORT), END[:3]],
    "a length, all but the last byte":
        lambda number: [head(number, length=BODY_BYTES), *pieces_of(b"x" * SHORT, 65536)],
    "an unknown key": lambda number: [head(number, key="unknown"), *in_chunks(65536, SHORT)],
    "a path without a route": lambda number: [head(number, path="/none/"),
                                              *in_chunks(65536, SHORT)],
    "far over the limit, announced": lambda number: [head(number, length=64 * BODY_BYTES),
                                                     *[PIECE] * 64],
    "far over the limit, in chunks": lambda number: [head(number), *[chunk(PIECE)] * 64],
    "trailers without end": lambda number: [
        head(number), chunk(b"x"), b"0\r\n", *[b"X-Filler: " + b"x" * 65000 + b"\r\n"] * 32],
    "extensions without end": lambda number: [head(number), b"5;a=", *[PIECE] * 32],
    "whole bodies": lambda number: [head(number), *in_chunks(65536, SHORT), END],
    "pipelined requests": lambda number: [(head(number, length=1000) + b"x" * 1000) * 50] * 4,
}


class CrowdTest(unittest.TestCase):
    def setUp(self):
        # Freed memory is to be given back at once, as without the sanitizer.
        os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
        self.addCleanup(os.environ.pop, "ASAN_OPTIONS")

    def check_ordinary(self, host, name, size):
        """Asks again, as callers do, while the host refuses the request for now."""
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            answer = ask(host.caller, name, "/read/1", "POST", body=b"y" * size,
                         deadline_ms=1000 * WAIT_SECONDS, timeout=WAIT_SECONDS)
            if answer.status != 503:
                break
            time.sleep(0.2)
        self.assertEqual((answer.status, answer.is_whole, answer.body),
                         (200, True, f"done:{name}" + "y" * size))

    def wait_for_limits(self, host):
        for number in range(200):
            answer = ask(host.caller, f"limit{number}", "/read/1", "POST", body=b"y" * 100_000)
            if answer.status == 200:
                return
        raise AssertionError("the limits did not come into force")

    def play(self, make_pieces, trickle=None):
        with RouteFleet(more_bounds=f", memory_mb: {HOST_MB}") as fleet:
            state = desired_state(2)
            state["limits"].update(max_body_bytes=BODY_BYTES, idle_timeout_ms=10000)
            for route in state["routes"]:
                route["timeout_ms"] = 1000 * WAIT_SECONDS
            fleet.store.put("keyed.op", "config", state)
            host = fleet.hosts[0]
            self.wait_for_limits(host)
            with Crowd(host.process.pid, host.caller, CROWD, make_pieces, trickle) as crowd:
                for size in (1, 65536, BODY_BYTES):
                    self.check_ordinary(host, f"ordinary-{size}", size)
                self.assertIsNone(host.process.poll())
                self.assertLess(crowd.growth_kb, (HOST_MB - PROCESS_MB) * 1000)
                self.assertLess(crowd.descriptors, 2 * CROWD + MORE_DESCRIPTORS)
            host.send(signal.SIGKILL)  # A graceful stop takes seconds, which many fleets add up.

    def test_a_crowd_stays_within_the_memory_of_the_host(self):
        for name, make_pieces in FORMS.items():
            with self.subTest(name):
                self.play(make_pieces)

    def test_a_crowd_that_sends_a_byte_now_and_then_stays_within_the_memory_of_the_host(self):
        self.play(FORMS["large chunks, short of the end"], b"1\r\nx\r\n")


if __name__ == "__main__":
    unittest.main()
