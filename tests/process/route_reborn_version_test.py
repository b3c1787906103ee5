"""An engine that starts again under its id with another version goes on with no stream of the one before."""

import time
import unittest

from support.split_fleet import SplitFleet, SplitTestCase, take_up


class RebornVersionTest(SplitTestCase):
    def test_an_engine_that_is_not_listed_again_yet_goes_on_with_no_stream_of_the_version_before(self):
        with SplitFleet(apart=0, own_stores=0) as fleet:
            fleet.settle()
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = 40, 0.08
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v1")
            for name in ("e1", "e2"):
                engine = fleet.engines[name]
                engine.version, engine.born = "v2", int(time.time() * 1000)
                fleet.thread.loop.call_soon_threadsafe(engine.server.close_connections)
            connection.close()
            rest = take_up(fleet.hosts[2], request, begun)
            self.check(begun, rest, "engines-v1")


if __name__ == "__main__":
    unittest.main()
