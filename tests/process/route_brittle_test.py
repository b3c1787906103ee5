"""Engines that fall over when they have to turn many requests away in a second."""

import threading
import time
import unittest

from support.route_fleet import RouteFleet, ask

STABLE_SECONDS = 4.0  # stable_window_ms of the platform.
BRITTLE = 4
CAPACITY = 8  # The slots that the stand-in registers; nobody may wait.


def press(hosts, seconds, path, method="GET", body=None, per_host=8):
    """Callers that ask again at once, whatever the answer; the statuses."""
    statuses = []
    end = time.monotonic() + seconds

    def call(host, label):
        number = 0
        while time.monotonic() < end:
            number += 1
            statuses.append(ask(host.caller, f"{label}-{number}", path, method, body,
                                deadline_ms=1500).status)
            time.sleep(0.01)

    threads = [threading.Thread(target=call, args=(host, f"{host.name}-{index}-{end:.2f}"))
               for host in hosts for index in range(per_host)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


class BrittleTest(unittest.TestCase):
    def play(self, path, service, method="GET", body=None):
        with RouteFleet(hosts=3) as fleet:
            engines = [engine for engine in fleet.engines.values() if engine.service == service]
            for engine in engines:
                engine.brittle = BRITTLE
            press(fleet.hosts, 1.0, path, method, body, per_host=1)
            for engine in engines:  # They let fewer wait, and work slowly.
                engine.capacity, engine.event_seconds, engine.call_seconds = CAPACITY, 0.1, 0.1
            statuses = press(fleet.hosts, STABLE_SECONDS + 2, path, method, body)
            falls = sum(len(engine.crashes) for engine in engines)
            self.assertLessEqual(falls, 2 + len(engines) / 10)
            self.assertGreater(statuses.count(200), 20)
            for engine in engines:
                engine.brittle = engine.capacity = None
                engine.event_seconds = engine.call_seconds = 0.01
            time.sleep(2)
            press(fleet.hosts, 2.0, path, method, body, per_host=1)
            statuses = press(fleet.hosts, 2.0, path, method, body)
            self.assertGreater(statuses.count(200), 0.9 * len(statuses))
        self.assertEqual(fleet.codes, [0, 0, 0])

    def test_brittle_engines_under_a_storm_of_streams_do_not_fall_over(self):
        self.play("/stream/1", "engines")

    def test_brittle_services_under_a_storm_of_calls_do_not_fall_over(self):
        self.play("/read/1", "desk")

    def test_brittle_services_under_a_storm_of_bookings_do_not_fall_over(self):
        self.play("/book/1", "desk", "POST", b"body")


if __name__ == "__main__":
    unittest.main()
