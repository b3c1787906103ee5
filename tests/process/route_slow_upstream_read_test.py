"""An upstream that leaves gets no requests after leave_ms from a host whose own read of the list is
slow, while other hosts have it."""

import itertools
import time
import unittest

from support.route_fleet import RouteFleet, ask, wait_for

HOSTS = 5
LEAVE_SECONDS = 1.0  # As in the hosts' settings.
SLOW = 30_000  # Bytes a second.


class SlowUpstreamReadTest(unittest.TestCase):
    def setUp(self):
        self.numbers = itertools.count()
        self.fleet = RouteFleet(hosts=HOSTS, own_stores=HOSTS)
        self.fleet.__enter__()
        self.addCleanup(self.stop)
        for host in self.fleet.hosts:
            wait_for(lambda host=host: self.ask(host).status == 200, host.name)
        time.sleep(1)  # Until the hosts agree on who reads the store.

    def stop(self):
        self.fleet.__exit__()
        self.assertEqual(self.fleet.codes, [0] * HOSTS)

    def ask(self, host):
        return ask(host.caller, f"r{next(self.numbers)}", "/read/1")

    def seconds_until_known(self, host, round_):
        begun = time.monotonic()
        def knows():
            return any(f"upstream listed upstream=d{round_} " in line for line in host.lines())
        wait_for(knows, host.name, 8)
        return time.monotonic() - begun

    def test_many_entries(self):
        engine = self.fleet.engines["d1"]
        for round_, (host, slow) in enumerate(zip(self.fleet.hosts, self.fleet.own_stores), 1):
            self.fleet.store.put("keyed.servers", "d1", engine.entry(sequence=4 * round_))
            time.sleep(1.5)
            before = len(engine.arrival_times)
            for _ in range(20):
                self.ask(host)
            self.assertGreater(len(engine.arrival_times), before)
            slow.bytes_per_second = SLOW
            time.sleep(0.5)
            for number in range(400):
                other = dict(engine.entry(), service="other", address=f"127.0.9.{number % 250}:9")
                self.fleet.store.put("keyed.servers", f"o{round_}-{number}", other)
            leaving = engine.entry("draining", 4 * round_ + 1)
            self.fleet.store.put("keyed.servers", "d1", leaving)
            end = time.monotonic() + LEAVE_SECONDS
            while time.monotonic() < end + 4:
                self.ask(host)
                time.sleep(0.02)
            late = [round(at - end, 2) for at in engine.arrival_times if at > end]
            with self.subTest(host=host.name):
                self.assertEqual(late, [])
            slow.bytes_per_second = None
            time.sleep(1)


if __name__ == "__main__":
    unittest.main()
