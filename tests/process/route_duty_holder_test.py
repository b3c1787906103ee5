"""Which host holds the fleet's duties, when hosts or the store fail."""

import http.client
import re
import signal
import time
import unittest

from support.platform_standin import DutyPlatform, LoopThread
from support.route_fleet import RouteFleet, wait_for

TOPIC = "keyed.quincefall-duties"
LEASE_SECONDS = 2.0  # Twice the declared one.
SETTINGS = """duties:
  platform: 127.0.0.1:{port}
  names: [usage_report]
  checks_fence: true
  lease_ms: 1000
"""


def metric(host, name):
    """Value of a metric of the host; None if the host does not answer."""
    try:
        connection = http.client.HTTPConnection(host.ip, host.peer, timeout=0.5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    except (http.client.HTTPException, OSError):
        return None
    found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else None


class DutyHolderTest(unittest.TestCase):
    def setUp(self):
        self.thread = LoopThread()
        self.platform = DutyPlatform(self.thread.loop)
        self.thread.call(self.platform.server.listen())
        self.settings = SETTINGS.format(port=self.platform.server.port)

    def fleet(self, **options):
        return RouteFleet(hosts=3, thread=self.thread, more_settings=self.settings, **options)

    def holders(self, fleet):
        return [host for host in fleet.hosts if metric(host, "quincefall_duty_holder") == 1]

    def wait_for_holder(self, fleet, other_than=None, seconds=15.0):
        def is_held():
            self.held_by = self.holders(fleet)
            return len(self.held_by) == 1 and self.held_by[0] is not other_than
        wait_for(is_held, "one holder", seconds)
        return self.held_by[0]

    def assert_one_holder_for(self, fleet, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.assertLessEqual(len(self.holders(fleet)), 1)
            time.sleep(0.02)

    def test_another_host_takes_over_from_a_killed_one(self):
        with self.fleet() as fleet:
            first = self.wait_for_holder(fleet)
            token = metric(first, "quincefall_duty_fence")
            first.send(signal.SIGKILL)
            first.process.wait(5)
            second = self.wait_for_holder(fleet, first, 3 * LEASE_SECONDS)
            self.assertGreater(metric(second, "quincefall_duty_fence"), token)

    def test_a_stopping_host_releases_the_duties(self):
        with self.fleet() as fleet:
            first = self.wait_for_holder(fleet)
            first.send(signal.SIGTERM)
            # Sooner than a lease, after which a silent holder would be replaced.
            self.wait_for_holder(fleet, first, 0.75 * LEASE_SECONDS)

    def test_a_host_that_is_frozen_while_its_commit_is_answered_does_not_act_when_it_wakes(self):
        with self.fleet() as fleet:
            first = self.wait_for_holder(fleet)
            length = len(fleet.store.records(TOPIC))
            wait_for(lambda: len(fleet.store.records(TOPIC)) > length, "a commit")
            first.send(signal.SIGSTOP)
            second = self.wait_for_holder(fleet, first, 3 * LEASE_SECONDS)
            first.send(signal.SIGCONT)
            self.assert_one_holder_for(fleet, LEASE_SECONDS)
            self.assertEqual(self.holders(fleet), [second])
            wait_for(lambda: metric(first, "quincefall_duty_losses_total") == 1, "the loss", 5)

    def test_a_commit_whose_answer_is_lost_does_not_end_the_tenure(self):
        with self.fleet() as fleet:
            first = self.wait_for_holder(fleet)
            fleet.store.lost_topic = TOPIC
            self.assert_one_holder_for(fleet, 2 * LEASE_SECONDS)
            fleet.store.lost_topic = None
            self.assertIs(self.wait_for_holder(fleet), first)
            self.assertEqual(metric(first, "quincefall_duty_takeovers_total"), 1)

    def test_no_host_takes_over_while_the_store_is_silent(self):
        with self.fleet() as fleet:
            first = self.wait_for_holder(fleet)
            fleet.store.mode = "hang"
            time.sleep(2 * LEASE_SECONDS)
            self.assertLessEqual(set(self.holders(fleet)), {first})
            length = len(fleet.store.records(TOPIC))
            fleet.store.mode = "ok"
            self.assertIs(self.wait_for_holder(fleet), first)
            self.assertGreater(len(fleet.store.records(TOPIC)), length)

    def test_a_host_that_the_store_alone_refuses_is_replaced(self):
        with self.fleet(own_stores=3) as fleet:
            first = self.wait_for_holder(fleet)
            fleet.own_stores[fleet.hosts.index(first)].mode = "refuse"
            self.wait_for_holder(fleet, first, 3 * LEASE_SECONDS)


class CallsInCalmTest(unittest.TestCase):
    def test_duties_cost_two_calls_to_the_store_a_second(self):
        # With the lease that the target is stated for.
        settings = SETTINGS.replace("1000", "3000").format(port=1)
        with RouteFleet(hosts=5, more_settings=settings) as fleet:
            wait_for(lambda: fleet.store.records(TOPIC), "a holder")
            time.sleep(1)
            fleet.store.topic_calls.clear()
            time.sleep(10)
            self.assertLessEqual(fleet.store.topic_calls[TOPIC], 20)


if __name__ == "__main__":
    unittest.main()
