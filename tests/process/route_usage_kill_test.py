"""Usage reports of windows after whose end all hosts are killed."""

import collections
import signal
import time
import unittest

from support.platform_standin import DutyPlatform, LoopThread
from support.route_fleet import RouteFleet, ask, wait_for

WINDOW_SECONDS = 5.0
REPORT_SECONDS = 2.0  # After a window's end.
KILL_SECONDS = 1.2  # After a window's end.
# The holder renews its record with each report only: half of the lease, twice the declared one, is
# a window.
SETTINGS = """duties:
  platform: 127.0.0.1:{port}
  names: [usage_report]
  checks_fence: true
  lease_ms: 5000
"""


def sleep_until(wall):
    time.sleep(max(0.0, wall - time.time()))


class UsageKillTest(unittest.TestCase):
    def setUp(self):
        self.thread = LoopThread()
        self.platform = DutyPlatform(self.thread.loop)
        self.thread.call(self.platform.server.listen())
        self.settings = SETTINGS.format(port=self.platform.server.port)

    def reports(self):
        """Counts by organisation that the platform took, by window."""
        return {body["window"]: body["counts"]
                for _, path, _, _, body in list(self.platform.accepted) if "window" in body}

    def test_a_window_that_ended_shortly_before_all_hosts_were_killed_is_reported_in_full(self):
        with RouteFleet(hosts=3, thread=self.thread, more_settings=self.settings) as fleet:
            wait_for(self.reports, "a report", 20)
            window = max(self.reports()) + 1
            end = (window + 1) * WINDOW_SECONDS
            self.assertLess(time.time(), end - WINDOW_SECONDS + REPORT_SECONDS + 1.0)
            sleep_until(end - WINDOW_SECONDS + REPORT_SECONDS + 0.6)  # After the report's commit.
            number = 0
            statuses = collections.Counter()
            while time.time() < end - 0.2:
                host = fleet.hosts[number % 3]
                statuses[ask(host.caller, f"r{number}").status] += 1
                number += 1
                time.sleep(0.02)
            self.assertLess(time.time(), end, "requests ran after the window's end")
            self.assertEqual(set(statuses), {200})
            sleep_until(end + KILL_SECONDS)
            for host in fleet.hosts:
                host.send(signal.SIGKILL)
            for host in fleet.hosts:
                host.process.wait(5)
            self.assertLess(time.time(), end + REPORT_SECONDS)
            self.assertNotIn(window, self.reports())
            for host in fleet.hosts:
                host.start()
            wait_for(lambda: window in self.reports(), "the window's report", 40)
            self.assertEqual(self.reports()[window], {"stable": number})


if __name__ == "__main__":
    unittest.main()
