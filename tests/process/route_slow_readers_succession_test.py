"""A version that is written while each host that reads the store is busy with the slow transfer of the
one before is in force in time: what a transfer brought was the newest when it began, not when it
ended."""

import time
import unittest

from support import slow_reads
from support.route_fleet import desired_state


class SlowReadersSuccessionTest(slow_reads.SlowReads):
    def test_a_large_version_after_a_small_one(self):
        for _ in range(5):
            slow = self.readers()
            small = slow_reads.add_routes(desired_state(self.version + 1), 9_000)
            large = slow_reads.add_routes(desired_state(self.version + 2), 95_000)
            self.version += 2
            for store in slow:
                store.bytes_per_second = slow_reads.SLOW
            time.sleep(0.5)
            calls = slow[0].topic_calls["keyed.op"]
            while slow[0].topic_calls["keyed.op"] == calls:
                time.sleep(0.001)  # Until a poll begins.
            self.fleet.store.put("keyed.op", "config", small)
            time.sleep(0.05)
            self.fleet.store.put("keyed.op", "config", large)
            self.check("all readers")
            for store in slow:
                store.bytes_per_second = None
            time.sleep(4)


if __name__ == "__main__":
    unittest.main()
