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


if __name__ == "__main__":
    unittest.main()
