"""Clients of `serve` that hold bodies open or send too much take no more than a host's memory."""

import os
import unittest

from support.client import split_address
from support.crowd import Crowd, chunk, in_chunks, pieces_of
from support.fleet import CALLER_KEY, Fleet

HOST_MB = 512  # The default of limits.memory_mb.
CROWD = 100  # Clients at once, which together could send almost as much.
BODY_BYTES = 4 * 2 ** 20  # The default of limits.max_body_bytes.
MORE_DESCRIPTORS = 40  # Beside one for each client and one for its request at an upstream.
SHORT = BODY_BYTES - 1


def head(number, key=CALLER_KEY, length=None):
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (f"POST /services/shift-desk/bookings HTTP/1.1\r\nHost: h\r\n{framing}\r\n"
            f"Idempotency-Key: c{number}\r\nAuthorization: Bearer {key}\r\n"
            "Content-Type: application/json\r\n\r\n").encode()


# What client `number` sends.
FORMS = {
    "large chunks, short of the end": lambda number: [head(number), *in_chunks(65536, SHORT)],
    "a length, all but the last byte":
        lambda number: [head(number, length=BODY_BYTES), *pieces_of(b"x" * SHORT, 65536)],
    "an unknown key": lambda number: [head(number, key="unknown"), *in_chunks(65536, SHORT)],
    "far over the limit": lambda number: [head(number), *[chunk(b"x" * 65536)] * 128],
    "trailers without end": lambda number: [
        head(number), chunk(b"x"), b"0\r\n", *[b"X-Filler: " + b"x" * 65000 + b"\r\n"] * 32],
}


class ServeCrowdTest(unittest.TestCase):
    def setUp(self):
        # Freed memory is to be given back at once, as without the sanitizer.
        os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
        self.addCleanup(os.environ.pop, "ASAN_OPTIONS")

    def play(self, make_pieces):
        with Fleet() as fleet:
            fleet.start_service("desk-1")
            fleet.start_engine("e1")
            host = fleet.start_host("h1")
            fleet.publish_hosts()
            fleet.publish_defaults()
            fleet.wait_ready()
            port = split_address(host.caller)[1]
            with Crowd(host.process.pid, port, CROWD, make_pieces) as crowd:
                answer = fleet.book("h1", "ordinary", {"stable": "Hoofline"})
                self.assertEqual(answer.status, 200, answer.body)
                self.assertTrue(host.process.is_running())
                self.assertLess(crowd.growth_kb, HOST_MB * 1000 / 2)
                self.assertLess(crowd.descriptors, 2 * CROWD + MORE_DESCRIPTORS)

    def test_a_crowd_stays_within_the_memory_of_the_host(self):
        for name, make_pieces in FORMS.items():
            with self.subTest(name):
                self.play(make_pieces)


if __name__ == "__main__":
    unittest.main()
