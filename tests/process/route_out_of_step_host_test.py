"""A host that is out of step with the others joins no streams of two versions or services."""

import signal
import threading
import time
import unittest

from support.route_fleet import wait_for
from support.split_fleet import SplitFleet, SplitTestCase, take_up

PAUSE = 2.0  # Of a host that stands still: longer than hints live.


class OutOfStepHostTest(SplitTestCase):
    def test_a_host_that_is_cut_off_does_not_join_a_version_that_it_does_not_know(self):
        with SplitFleet() as fleet:
            fleet.settle()
            fleet.cut_stores()
            fleet.join(["n1", "n2"], "v2")
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v2")
            connection.close()
            rest = take_up(fleet.hosts[2], request, begun)
            self.check(begun, rest, "engines-v2")
            self.assertEqual(rest.status, 503)
            self.assertLessEqual(float(rest.fields["Retry-After"]), 0.1)
            self.assertIn("the store did not answer", rest.body)

    def test_a_host_between_two_reads_does_not_join_a_version_that_it_has_not_read_of(self):
        with SplitFleet() as fleet:
            fleet.settle()
            fleet.join(["n1", "n2"], "v2")
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v2")
            connection.close()
            self.check(begun, take_up(fleet.hosts[2], request, begun), "engines-v2")

    def test_a_host_that_stood_still_does_not_join_a_version_that_joined_meanwhile(self):
        for seconds in (PAUSE, 5.0):
            with self.subTest(seconds=seconds), SplitFleet(own_stores=0) as fleet:
                fleet.settle()
                late = fleet.hosts[2]
                late.send(signal.SIGSTOP)
                stopped = time.monotonic()
                fleet.join(["n1", "n2"], "v2")
                connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v2")
                connection.close()
                answers = []
                threads = [threading.Thread(target=lambda name=name: answers.append(
                    take_up(late, request, begun, name))) for name in "bcde"]
                for thread in threads:
                    thread.start()
                time.sleep(max(0.2, stopped + seconds - time.monotonic()))
                late.send(signal.SIGCONT)
                for thread in threads:
                    thread.join()
                for rest in answers:
                    self.check(begun, rest, "engines-v2")

    def test_a_host_that_is_cut_off_does_not_join_the_services_of_a_moved_route(self):
        with SplitFleet() as fleet:
            fleet.add_engine("s1", "spare")
            fleet.engines["s1"].events, fleet.engines["s1"].event_seconds = 12, 0.05
            fleet.settle()
            fleet.cut_stores()
            fleet.move_streams()
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "spare")
            connection.close()
            rest = take_up(fleet.hosts[2], request, begun)
            self.check(begun, rest, "spare")
            self.assertEqual(rest.status, 503)

    def test_hosts_that_are_cut_off_together_do_not_confirm_each_other(self):
        with SplitFleet(apart=2, own_stores=2) as fleet:
            fleet.settle()
            fleet.cut_stores()
            time.sleep(5)
            fleet.join(["n1", "n2"], "v2")
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v2")
            connection.close()
            self.check(begun, take_up(fleet.hosts[2], request, begun), "engines-v2")

    def test_a_version_that_came_and_left_while_a_host_was_cut_off_is_not_forgotten(self):
        with SplitFleet() as fleet:
            fleet.settle()
            fleet.cut_stores()
            fleet.join(["n1"], "v2")
            connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v2")
            fleet.leave(["n1"])
            fleet.cut_stores("ok")
            connection.close()
            self.check(begun, take_up(fleet.hosts[2], request, begun), "engines-v2")

    def test_streams_go_on_at_other_hosts_while_the_store_answers_none(self):
        with SplitFleet(apart=0, own_stores=0) as fleet:
            fleet.settle()
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = 40, 0.08
            before = fleet.begin_at(fleet.hosts[0], "engines-v1", "before")
            fleet.store.mode = "refuse"
            wait_for(lambda: any("store lost" in line for line in fleet.hosts[0].lines()),
                     "the store to be lost")
            time.sleep(0.5)
            during = fleet.begin_at(fleet.hosts[0], "engines-v1", "during")
            fleet.hosts[0].send(signal.SIGKILL)
            for connection, request, begun in (before, during):
                connection.close()
                rest = take_up(fleet.hosts[2], request, begun)
                self.assertEqual((rest.status, rest.is_whole), (200, True), rest.body)
                self.check(begun, rest, "engines-v1")

    def test_streams_go_on_at_a_host_in_touch_that_has_not_met_them(self):
        with SplitFleet() as fleet:
            fleet.settle()
            for number in range(6):
                connection, request, begun = fleet.begin_at(fleet.hosts[0], "engines-v1")
                connection.close()
                rest = take_up(fleet.hosts[2], request, begun, f"b{number}")
                self.assertEqual((rest.status, rest.is_whole), (200, True), rest.body)
                self.check(begun, rest, "engines-v1")


if __name__ == "__main__":
    unittest.main()
