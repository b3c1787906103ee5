"""Streams that a host begins where the others no longer send any are not joined with another kind."""

import time
import unittest

from support.split_fleet import SplitFleet, SplitTestCase, take_up


class LateBeginTest(SplitTestCase):
    def test_a_stream_that_a_late_host_began_at_a_version_that_has_left_is_not_joined(self):
        for late_seconds in (3, 8):  # Of the third host, which begins; the first takes up.
            with self.subTest(seconds=late_seconds), SplitFleet() as fleet:
                fleet.settle()
                fleet.cut_stores()
                fleet.join(["n1", "n2"], "v2")
                fleet.leave(["e1", "e2"])
                time.sleep(late_seconds)
                for engine in fleet.engines.values():
                    engine.events, engine.event_seconds = 40, 0.08
                connection, request, begun = fleet.begin_at(fleet.hosts[2], "engines-v1")
                time.sleep(2)
                connection.close()
                self.check(begun, take_up(fleet.hosts[0], request, begun), "engines-v1")

    def test_a_stream_that_a_late_host_began_before_its_route_moved_is_not_joined(self):
        for late_seconds in (3, 8):
            with self.subTest(seconds=late_seconds), SplitFleet() as fleet:
                fleet.add_engine("s1", "spare")
                for engine in fleet.engines.values():
                    engine.events, engine.event_seconds, engine.shows_version = 40, 0.08, False
                fleet.settle()
                fleet.cut_stores()
                fleet.move_streams()
                time.sleep(late_seconds)
                connection, request, begun = fleet.begin_at(fleet.hosts[2], "engines")
                time.sleep(2)
                connection.close()
                self.check(begun, take_up(fleet.hosts[0], request, begun), "engines")


if __name__ == "__main__":
    unittest.main()
