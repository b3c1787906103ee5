"""Answers without length and chunks, and bytes that are no answer and do not end."""

import os
import signal
import threading
import time
import unittest

from support.platform_standin import ENDLESS, complete_stream
from support.route_fleet import TRUST, RouteFleet, ask

MAX_SECONDS = 2.5  # Of 4 s that the caller waits; a second engine needs about 0.2 s.
MAX_GROWTH_KB = 60_000
HOST_MB = 160


def resident_kb(host):
    with open(f"/proc/{host.process.pid}/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1])


def earn_attempts(host, path):
    """Sends sound requests, each of which earns a part of a further attempt."""
    threads = [threading.Thread(target=ask, args=(host.caller, f"earn{number}", path))
               for number in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class UnframedTest(unittest.TestCase):
    def test_an_answer_that_ends_with_its_connection_is_whole_if_its_engine_is_declared_sound(self):
        with RouteFleet(more_bounds=TRUST) as fleet:
            for engine in fleet.engines.values():
                engine.fault = "unframed"
            port = fleet.hosts[0].caller
            for number in range(4):  # They show that no engine frames its streams.
                ask(port, f"shown-{number}", "/stream/1")
            stream = ask(port, "s", "/stream/1")
            self.assertEqual((stream.status, stream.is_whole, stream.body),
                             (200, True, complete_stream()))
            call = ask(port, "c", "/read/1")
            self.assertEqual((call.status, call.is_whole, call.body), (200, True, "done:c"))

    def test_a_stream_that_ends_inside_an_event_is_not_whole(self):
        for fault in ("unframed-cut", "unframed-reset"):
            with self.subTest(fault), RouteFleet() as fleet:
                for name in ("e1", "e2"):
                    fleet.engines[name].fault = fault
                answer = ask(fleet.hosts[0].caller, "s", "/stream/1")
                self.assertFalse(answer.is_whole and answer.status == 200, answer.body)
                # One engine fails once; the other one goes on after the last whole event.
                for name in ("e1", "e2"):
                    fleet.engines[name].fault = None
                time.sleep(0.5)
                for round in range(4):
                    earn_attempts(fleet.hosts[0], "/stream/1")
                    fleet.engines["e1"].fault, fleet.engines["e1"].faults_left = fault, 1
                    answer = ask(fleet.hosts[0].caller, f"r{round}", "/stream/1")
                    self.assertEqual((answer.is_whole, answer.body), (True, complete_stream()))


class EndlessTest(unittest.TestCase):
    def check(self, names, path, fault, gap):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            before = resident_kb(host)
            engines = [fleet.engines[name] for name in names]
            for number, needy in enumerate(engines):
                for engine in engines:
                    engine.fault, engine.events = None, 2
                earn_attempts(host, path)
                needy.fault, needy.endless_gap_seconds = fault, gap
                began = time.monotonic()
                answer = ask(host.caller, f"q{number}", path)
                self.assertEqual((answer.status, answer.is_whole), (200, True))
                self.assertLess(time.monotonic() - began, MAX_SECONDS)
            time.sleep(0.2)
            sent = sum(engine.endless_bytes for engine in engines)
            self.assertGreater(sent, 0)
            time.sleep(0.3)
            self.assertEqual(sum(engine.endless_bytes for engine in engines), sent)
            self.assertLess(resident_kb(host) - before, MAX_GROWTH_KB)
            host.send(signal.SIGKILL)  # A graceful stop takes seconds, which many fleets add up.

    def check_all(self, names, path, gaps):
        for fault in ENDLESS:
            for gap in gaps:
                with self.subTest(fault=fault, gap=gap):
                    self.check(names, path, fault, gap)

    def test_bytes_without_end_do_not_hold_a_stream_up(self):
        self.check_all(("e1", "e2"), "/stream/1", (0, 0.05))

    def test_bytes_without_end_do_not_hold_a_call_up(self):
        self.check_all(("d1", "d2"), "/read/1", (0,))

    def test_many_answers_without_end_stay_within_the_memory_of_the_host(self):
        # Freed memory is to be given back at once, as without the sanitizer.
        os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
        self.addCleanup(os.environ.pop, "ASAN_OPTIONS")
        for fault in ("endless-body", "endless-chunk", "endless-extension", "endless-trailer"):
            with self.subTest(fault), RouteFleet(more_bounds=f", memory_mb: {HOST_MB}") as fleet:
                host = fleet.hosts[0]
                before = resident_kb(host)
                for name in ("d1", "d2"):
                    fleet.engines[name].fault = fault
                answers = []
                threads = [threading.Thread(target=lambda number=number: answers.append(
                    ask(host.caller, f"m{number}", "/book/x", "POST", body=b"x")))
                    for number in range(40)]
                for thread in threads:
                    thread.start()
                # Meanwhile, others are served.
                for number in range(20):
                    stream = ask(host.caller, f"s{number}", "/stream/1")
                    self.assertEqual((stream.status, stream.is_whole, stream.body),
                                     (200, True, complete_stream()))
                for thread in threads:
                    thread.join()
                self.assertEqual([answer.status for answer in answers], [502] * 40)
                self.assertLess(resident_kb(host) - before, HOST_MB * 1000 / 2)
                host.send(signal.SIGKILL)


if __name__ == "__main__":
    unittest.main()
