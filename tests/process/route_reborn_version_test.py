"""An engine that starts again under its id with another version goes on with no stream of the one before."""

import time
import unittest

from support.route_fleet import ask
from support.split_fleet import SplitFleet, SplitTestCase, kinds_of, take_up


class RebornVersionTest(SplitTestCase):
    def restart(self, fleet, version):
        """Other processes with other software take the place of e1 and e2, and are not listed."""
        for name in ("e1", "e2"):
            engine = fleet.engines[name]
            engine.version, engine.born = version, int(time.time() * 1000)
            fleet.thread.loop.call_soon_threadsafe(engine.server.close_connections)
        time.sleep(0.1)

    def test_an_engine_that_is_not_listed_again_yet_goes_on_with_no_stream_of_the_version_before(self):
        with SplitFleet(apart=0, own_stores=0) as fleet:
            fleet.settle()
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = 40, 0.08
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v1")
            self.restart(fleet, "v2")
            connection.close()
            rest = take_up(fleet.hosts[2], request, begun)
            self.check(begun, rest, "engines-v1")

    def test_no_stream_begins_at_an_engine_that_is_not_listed_again_yet_beside_two_versions(self):
        with SplitFleet(apart=0, own_stores=0) as fleet:
            fleet.settle()
            fleet.join(["n1"], "v2")
            self.restart(fleet, "v3")
            for number in range(9):
                answer = ask(fleet.hosts[number % 3].caller, f"s{number}", f"/stream/s{number}")
                self.assertEqual((answer.status, kinds_of(answer.body)), (200, {"engines-v2"}))


if __name__ == "__main__":
    unittest.main()
