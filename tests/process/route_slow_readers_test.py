"""A desired state is in force in time where each host that reads the store does so slowly."""

import time
import unittest

from support import slow_reads


class SlowReadersTest(slow_reads.SlowReads):
    def test_all_readers_are_slow(self):
        for _ in range(4):
            slow = self.readers()
            for store in slow:
                store.bytes_per_second = slow_reads.SLOW
            time.sleep(0.5)
            self.write(95_000)
            self.check("all readers")
            for store in slow:
                store.bytes_per_second = None
            time.sleep(4)


if __name__ == "__main__":
    unittest.main()
