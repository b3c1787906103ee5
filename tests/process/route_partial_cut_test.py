"""Hosts that lost their links to some upstreams, or beside other faults."""

import time
import unittest

from support.route_fleet import ask, wait_for
from support.stranded_fleet import CutTestCase, StrandedFleet, has_line, run_callers, settle


class PartialCutTest(CutTestCase):
    def test_a_host_cut_off_from_one_engine_of_each_service_serves_its_callers(self):
        self.play_cut("hang", engines=["e1", "d1"])

    def test_a_host_cut_off_from_one_service_serves_its_callers(self):
        self.play_cut("refuse", engines=["d1", "d2"])

    def test_a_host_cut_off_from_engines_while_the_store_is_down_serves_its_callers(self):
        def stop_stores(fleet):
            for store in [fleet.store, *fleet.own_stores]:
                store.mode = "refuse"
        self.play_cut("hang", before=stop_stores)

    def test_a_crash_of_all_engines_is_no_cut(self):
        with StrandedFleet() as fleet:
            settle(fleet)
            for engine in fleet.engines.values():
                engine.down_seconds = 1.5
                fleet.thread.loop.call_soon_threadsafe(
                    lambda engine=engine: fleet.thread.loop.create_task(engine.crash()))
            run_callers(fleet.hosts[:1], 1.0)
            self.assertFalse(has_line(fleet.hosts[0], "through another host"))
            wait_for(lambda: ask(fleet.hosts[0].caller, f"back{time.monotonic()}").status == 200,
                     "the engines to be used again")


if __name__ == "__main__":
    unittest.main()
