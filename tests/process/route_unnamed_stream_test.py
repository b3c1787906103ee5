"""Streams whose callers do not say which they take up share no record of an end."""

import time
import unittest

from support.route_fleet import ask
from support.scripted_fleet import ScriptedFleet, plain_script, show, take


class UnnamedStreamTest(unittest.TestCase):
    def test_the_end_of_another_stream_counts_where_callers_name_no_first_attempt(self):
        """The users' protocol has Last-Event-Id alone; all such streams of a tenant share a record."""
        with ScriptedFleet({"plans": {"max_attempts": 1}}) as fleet:
            fleet.play({"e1": plain_script(range(1, 4)), "e2": plain_script(range(1, 4))})
            for number in range(8):
                take(fleet, f"teach{number}")
            # Until then the host can't tell that all streams began at the same service.
            time.sleep(68)
            fleet.engines["e2"].capacity = 0
            # The whole of stream a is 1 to 3; its caller takes it up behind its last event.
            first = ask(fleet.hosts[0].caller, "a-1", "/stream/a", fields={"Last-Event-Id": "3"})
            fleet.engines["e1"].capacity, fleet.engines["e2"].capacity = 0, None
            # Stream b has 6 events; e2 sends the third one and ends early.
            fleet.play({"e2": plain_script(range(1, 7), last=3)})
            second = ask(fleet.hosts[0].caller, "b-1", "/stream/b", fields={"Last-Event-Id": "3"})
            show(fleet, "a-1")
            show(fleet, "b-1")
            self.assertFalse(first.status == 200 and first.is_whole)
            self.assertFalse(second.status == 200 and second.is_whole)


if __name__ == "__main__":
    unittest.main()
