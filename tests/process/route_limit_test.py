"""Upstreams in need that name the requests a second which they take from all hosts together."""

import collections
import itertools
import time
import unittest

from support.route_fleet import RouteFleet, ask, wait_for

WINDOW_SECONDS = 4.0
STABLE_SECONDS = 4.0  # stable_window_ms of the platform.


def wait_for_discovery(fleet):
    others = f"hosts known others={len(fleet.hosts) - 1}"
    wait_for(lambda: all(any(others in line for line in host.lines()) for host in fleet.hosts),
             "the hosts to discover each other")


def send(fleet, label, seconds, gap=0.02):
    """Sends requests to all hosts in turn; returns how often each status came."""
    statuses = collections.Counter()
    end = time.monotonic() + seconds
    for number in itertools.count():
        if time.monotonic() > end:
            return statuses
        host = fleet.hosts[number % len(fleet.hosts)]
        statuses[ask(host.caller, f"{label}{number}").status] += 1
        time.sleep(gap)


def most_in(times, seconds):
    """The largest number of `times` in any window of that length."""
    return max((sum(start <= at < start + seconds for at in times) for start in times), default=0)


def allowed(limit):
    return 1.5 * limit * WINDOW_SECONDS + 5


class LimitTest(unittest.TestCase):
    def test_an_upstream_gets_no_more_requests_than_the_limit_that_it_named(self):
        with RouteFleet(hosts=5) as fleet:
            wait_for_discovery(fleet)
            needy = fleet.engines["d1"]
            needy.limit = "1.5"
            send(fleet, "w", STABLE_SECONDS)
            needy.arrival_times.clear()
            self.assertEqual(set(send(fleet, "l", 8)), {200})
            self.assertLessEqual(most_in(needy.arrival_times, WINDOW_SECONDS), allowed(1.5))
            self.assertGreaterEqual(len(needy.arrival_times), 4)
            needy.limit = None
            needy.arrival_times.clear()
            send(fleet, "f", 5)
            self.assertGreater(most_in(needy.arrival_times, 1), 10)


if __name__ == "__main__":
    unittest.main()
