"""Calls to the store by a host that waits for the first upstream."""

import time
import unittest

from support.route_fleet import RouteFleet, ask, wait_for


SECONDS = 10  # Many reads, so that the phase in which they begin does not decide.
MOST_CALLS_A_SECOND = 4


class StartReadsTest(unittest.TestCase):
    def test_hosts_that_start_before_the_upstreams_read_the_store_rarely(self):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            host.stop()
            for name in list(fleet.engines):
                fleet.store.put("keyed.servers", name, None)
            host.start()
            wait_for(host.is_ready, "the host to be ready")
            fleet.store.calls.clear()
            time.sleep(SECONDS)
            # One waiting read for each data set at a time, and the host's own announcement.
            self.assertLessEqual(sum(fleet.store.calls.values()), MOST_CALLS_A_SECOND * SECONDS,
                                 fleet.store.calls)
            for name, engine in fleet.engines.items():
                fleet.store.put("keyed.servers", name, engine.entry())
            wait_for(lambda: ask(host.caller, "first").status == 200, "the first upstream", 0.5)
        self.assertEqual(fleet.codes, [0])


if __name__ == "__main__":
    unittest.main()
