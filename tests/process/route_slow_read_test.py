"""A desired state is in force in time at a host whose own read of it is slow, while other hosts have
it."""

import time
import unittest

from support import slow_reads


class SlowReadTest(slow_reads.SlowReads):
    def test_one_large_version(self):
        for slow in self.fleet.own_stores:
            slow.bytes_per_second = slow_reads.SLOW
            time.sleep(0.5)
            self.write(95_000)
            self.check("one host reads slowly")
            slow.bytes_per_second = None
            time.sleep(1)

    def test_versions_in_quick_succession(self):
        for slow in self.fleet.own_stores:
            slow.bytes_per_second = slow_reads.SLOW
            time.sleep(0.5)
            for _ in range(8):
                self.write(13_000)
                time.sleep(0.2)
            self.check("one host reads slowly")
            slow.bytes_per_second = None
            time.sleep(1)

    def test_a_host_that_starts(self):
        self.write(95_000)
        self.check("before the start")
        for host, slow in list(zip(self.fleet.hosts, self.fleet.own_stores))[:2]:
            host.stop()
            slow.bytes_per_second = slow_reads.SLOW
            host.start()
            seconds = self.seconds_until_served(host, f"/new{self.version}/1")
            with self.subTest(host=host.name):
                self.assertLess(seconds, 95_000 / slow_reads.SLOW)  # Before its own read ends.
            slow.bytes_per_second = None


if __name__ == "__main__":
    unittest.main()
