"""Answers without a proof, in all forms, at stopping hosts, and with slow or gone callers."""

import asyncio
import re
import signal
import socket
import time
import unittest

from support.platform_standin import Engine, answer_bytes
from support.route_fleet import KEY, RouteFleet, ask

BUDGET = ", further_attempt_slack: 5000"


class BigEngine(Engine):
    """Plain answers of `size` bytes without a length; waits `wait` seconds before their end."""

    size, wait = 3_000_000, 0.0

    async def run(self, writer, method, target, fields, body, request, leaving, fault):
        if target.startswith(("/stream/", "/once/")):
            return await super().run(writer, method, target, fields, body, request, leaving, fault)
        self.runs[request] += 1
        head = answer_bytes(200, b"", [("Quincefall-Request-Id", request),
                                       ("Quincefall-Response-Stamp", "x")])
        writer.write(head.replace(b"Content-Length: 0\r\n", b"") + b"x" * self.size)
        await writer.drain()
        await asyncio.sleep(self.wait)
        return False


class BigFleet(RouteFleet):
    engine_type = BigEngine


def send(port, request, path="/book/a", method="POST"):
    connection = socket.create_connection(("127.0.0.1", port), timeout=10)
    connection.sendall((f"{method} {path} HTTP/1.1\r\nHost: rounds.example\r\nContent-Length: 0\r\n"
                        f"Quincefall-Request-Id: {request}\r\nQuincefall-Deadline-Ms: 4000\r\n"
                        f"Quincefall-Credential: {KEY}\r\n\r\n").encode())
    return connection


def read_all(connection):
    data = b""
    try:
        while piece := connection.recv(65536):
            data += piece
    except OSError as failure:
        return data, type(failure).__name__
    return data, "fin"


class UnprovenAnswerTest(unittest.TestCase):
    def test_calls_whose_sound_answers_have_no_length_are_not_held_back(self):
        """An unproven end counts as a lost connection of a request that may crash engines."""
        with RouteFleet(more_bounds=BUDGET) as fleet:
            for name in ("d1", "d2"):
                fleet.engines[name].fault = "unframed"
            answers = [ask(fleet.hosts[0].caller, f"q{number}", "/book/same", "POST", b"same")
                       for number in range(40)]
            seen = [(answer.status, answer.is_whole) for answer in answers]
            print("plain once", sorted(set(seen)), [seen.count(one) for one in sorted(set(seen))])
            streams = []
            for name in ("e1", "e2"):
                fleet.engines[name].fault = "unframed"
            for number in range(40):
                answer = ask(fleet.hosts[0].caller, f"s{number}", "/once/same", fields={
                    "Quincefall-Model": "m", "Quincefall-Token-Count": "1460,80",
                    "Quincefall-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660"})
                streams.append((answer.status, answer.is_whole))
            print("stream once", {one: streams.count(one) for one in set(streams)}, flush=True)
            for line in fleet.hosts[0].lines():
                if "held" in line or "crash" in line or "quarantin" in line:
                    print("  ", line[:300], flush=True)
            self.assertEqual({one[0] for one in seen}, {200})
            self.assertEqual({one[0] for one in streams}, {200})

    def raw(self, port, head):
        with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
            connection.sendall(head.encode())
            data = b""
            try:
                while piece := connection.recv(65536):
                    data += piece
                return data, "fin"
            except ConnectionResetError:
                return data, "rst"
            except TimeoutError:
                return data, "timeout"

    def test_raw_forms(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            port = fleet.hosts[0].caller
            for name in fleet.engines:
                fleet.engines[name].fault = "plain-early" if name[0] == "d" else "unframed-early"
            for version in ("1.0", "1.1"):
                for method, path in (("POST", "/book/x"), ("HEAD", "/book/x"), ("GET", "/read/x"),
                                     ("HEAD", "/read/x"), ("GET", "/once/x"), ("GET", "/stream/x"),
                                     ("HEAD", "/once/x")):
                    request = f"r{version}{method}{path[1:5]}"
                    length = "Content-Length: 0\r\n" if method == "POST" else ""
                    begun = time.monotonic()
                    data, end = self.raw(port, f"{method} {path} HTTP/{version}\r\n"
                                         f"Host: rounds.example\r\nConnection: close\r\n{length}"
                                         f"Quincefall-Request-Id: {request}\r\n"
                                         f"Quincefall-Deadline-Ms: 4000\r\n"
                                         f"Quincefall-Credential: {KEY}\r\n\r\n")
                    head, _, body = data.partition(b"\r\n\r\n")
                    framing = [line for line in head.decode().split("\r\n")[1:]
                               if line.lower().startswith(("content-l", "transfer"))]
                    print(version, method, path, head[:20], framing, body[-40:], end,
                          round(time.monotonic() - begun, 2), "runs", fleet.runs(request),
                          flush=True)
                    if b" 200 " in head[:20] and method != "HEAD":
                        is_whole = end == "fin" if version == "1.0" else body.endswith(b"0\r\n\r\n")
                        self.assertFalse(is_whole, (version, method, path))
                        self.assertNotIn("content-length", head.decode().lower())
                    if path.startswith(("/book", "/once")):
                        self.assertEqual(fleet.runs(request), 1)

    def test_a_stopping_host_and_slow_and_gone_callers(self):
        with BigFleet(more_bounds=", further_attempt_slack: 5000") as fleet:
            host = fleet.hosts[0]
            def rss():
                with open(f"/proc/{host.process.pid}/status", encoding="utf-8") as file:
                    return int(re.search(r"VmRSS:\s+(\d+)", file.read())[1]) // 1024
            print("rss MB at first", rss())
            for turn in range(3):
                slow = [send(host.caller, f"slow{turn}-{number}") for number in range(30)]
                time.sleep(1)
                print("30 slow callers:", rss(), "MB")
                for connection in slow[:15]:
                    connection.close()  # Gone.
                sizes = [len(read_all(connection)[0]) for connection in slow[15:]]
                ends = [read_all(connection)[1] for connection in slow[15:]]
                time.sleep(1)
                print("read", sorted(set(sizes)), set(ends), "rss", rss(), "MB", flush=True)
            answers = [ask(host.caller, f"ok{n}", "/book/z", "POST", b"") for n in range(5)]
            self.assertEqual([(a.status, a.is_whole, len(a.body)) for a in answers],
                             [(200, False, 3_000_000)] * 5)
            dropped = [line for line in host.lines() if "dropped" in line]
            print("dropped for size:", len(dropped))

    def test_a_host_that_stops_before_the_end_of_the_answer(self):
        for wait in (0.5, 8.0):
            with self.subTest(wait=wait), BigFleet() as fleet:
                for name in ("d1", "d2"):
                    fleet.engines[name].size, fleet.engines[name].wait = 5000, wait
                connection = send(fleet.hosts[0].caller, "stop")
                time.sleep(0.2)
                fleet.hosts[0].send(signal.SIGTERM)
                begun = time.monotonic()
                data, end = read_all(connection)
                print("stop, wait", wait, data[:30], len(data), data[-12:], end,
                      round(time.monotonic() - begun, 2), flush=True)
                self.assertFalse(data.startswith(b"HTTP/1.1 200") and data.endswith(b"0\r\n\r\n"))
                self.assertFalse(data.startswith(b"HTTP/1.1 503"))


if __name__ == "__main__":
    unittest.main()
