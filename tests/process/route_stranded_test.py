"""Hosts that lost their links to all upstreams, while callers and other hosts reach them."""

import threading
import time
import unittest

from support.platform_standin import complete_stream
from support.route_fleet import ask, wait_for
from support.stranded_fleet import CutTestCase, StrandedFleet, settle


EVENTS = 40


class StrandedHostTest(CutTestCase):
    def test_a_host_whose_links_to_all_engines_hang_serves_its_callers(self):
        self.play_cut("hang")

    def test_a_host_whose_links_to_all_engines_are_reset_serves_its_callers(self):
        self.play_cut("reset")

    def test_a_host_that_gets_no_new_connections_to_engines_serves_its_callers(self):
        self.play_cut("refuse")

    def test_most_hosts_that_are_cut_off_at_once_serve_their_callers(self):
        self.play_cut("hang", cuttable=2)

    def test_streams_that_run_when_links_hang_go_on_through_another_host(self):
        with StrandedFleet() as fleet:
            settle(fleet)
            host = fleet.hosts[0]
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = EVENTS, 0.05
            answers = []
            threads = [threading.Thread(target=lambda number=number: answers.append(
                ask(host.caller, f"long{number}", "/stream/1", deadline_ms=9000)))
                for number in range(4)]
            for thread in threads:
                thread.start()
            wait_for(lambda: all(fleet.runs(f"long{number}") for number in range(4)),
                     "the streams to begin")
            time.sleep(0.5)
            fleet.cut("hang")
            cut_at = time.monotonic()
            number = 0
            while time.monotonic() < cut_at + 3.5:  # Other requests get answers meanwhile.
                number += 1
                ask(host.caller, f"short{number}", "/once/1", deadline_ms=1000,
                    fields={"Last-Event-Id": str(EVENTS - 1)})
            for thread in threads:
                thread.join()
            self.assertEqual([answer.body for answer in answers], [complete_stream(EVENTS)] * 4)


if __name__ == "__main__":
    unittest.main()
