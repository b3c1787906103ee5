"""Connections to upstreams that hosts relay for each other."""

import http.client
import signal
import threading
import time
import unittest

from support.platform_standin import complete_stream
from support.route_fleet import ask, wait_for
from support.stranded_fleet import StrandedFleet, has_line, run_callers, settle

MAX_DETECTION_SECONDS = 5.0
WHOLE = complete_stream()


class RelayTest(unittest.TestCase):
    def cut_and_wait(self, fleet, how="hang"):
        settle(fleet)
        fleet.cut(how)
        host = fleet.hosts[0]

        def is_isolated():
            run_callers([host], 0.2)
            return has_line(host, "host cut off from upstreams")

        wait_for(is_isolated, "the host to notice", MAX_DETECTION_SECONDS)
        return host

    def test_a_killed_relay_leaves_no_answer_that_looks_complete(self):
        with StrandedFleet() as fleet:
            host = self.cut_and_wait(fleet)
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds, engine.fault = 40, 0.05, "unframed"
            answers = []
            thread = threading.Thread(target=lambda: answers.append(
                ask(host.caller, "long", "/once/long", deadline_ms=4000)))
            thread.start()
            wait_for(lambda: fleet.runs("long") == 1, "the stream to begin")
            time.sleep(0.3)
            for relay in fleet.hosts[1:]:
                relay.send(signal.SIGKILL)
            thread.join()
            self.assertFalse(answers[0].is_whole)
            self.assertEqual(fleet.runs("long"), 1)
        self.assertEqual(fleet.codes[0], 0)

    def test_an_answer_that_ends_with_its_connection_passes_a_relay(self):
        with StrandedFleet() as fleet:
            host = self.cut_and_wait(fleet)
            for engine in fleet.engines.values():
                engine.fault = "unframed"
            call = ask(host.caller, "call", "/read/call")
            self.assertEqual((call.status, call.is_whole, call.body), (200, True, "done:call"))
            # These engines have sent last chunks before, so the end of this stream is not proved.
            stream = ask(host.caller, "unframed", "/once/unframed")
            self.assertEqual((stream.status, stream.is_whole, stream.body), (200, False, WHOLE))

    def test_a_relayed_stream_that_is_reset_does_not_look_complete(self):
        with StrandedFleet() as fleet:
            host = self.cut_and_wait(fleet)
            for engine in fleet.engines.values():
                engine.fault = "unframed-reset"
            answer = ask(host.caller, "reset", "/once/reset")
            self.assertFalse(answer.is_whole and answer.status == 200)

    def test_a_relay_that_stops_ends_the_streams_that_it_relays_first(self):
        with StrandedFleet() as fleet:
            host = self.cut_and_wait(fleet)
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = 30, 0.05
            answers = []
            threads = [threading.Thread(target=lambda number=number: answers.append(
                ask(host.caller, f"long{number}", "/once/long", deadline_ms=4000)))
                for number in range(4)]
            for thread in threads:
                thread.start()
            wait_for(lambda: all(fleet.runs(f"long{number}") == 1 for number in range(4)),
                     "the streams to begin")
            for relay in fleet.hosts[1:]:
                relay.send(signal.SIGTERM)
            for thread in threads:
                thread.join()
            self.assertEqual([answer.body for answer in answers], [complete_stream(30)] * 4)

    def test_a_cut_host_whose_relays_are_gone_is_ready_again_once_its_links_are(self):
        with StrandedFleet() as fleet:
            host = self.cut_and_wait(fleet)
            self.assertTrue(host.is_ready())
            for relay in fleet.hosts[1:]:
                relay.send(signal.SIGKILL)
            wait_for(lambda: not host.is_ready(), "the host to lose its relays", 8)
            fleet.heal()
            wait_for(host.is_ready, "the host to use its links again", 8)
            self.assertEqual(ask(host.caller, "after").status, 200)

    def test_a_caller_that_leaves_ends_its_relayed_request(self):
        with StrandedFleet() as fleet:
            host = self.cut_and_wait(fleet)
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = 200, 0.02
            ask(host.caller, "left", "/once/left", timeout=0.4)
            wait_for(lambda: any(engine.aborted_streams["left"]
                                 for engine in fleet.engines.values()),
                     "the engine to see that the caller left", 2)

    def test_callers_and_unlisted_addresses_get_no_relay(self):
        with StrandedFleet() as fleet:
            settle(fleet)
            path = "/relay?upstream=e1&started=1700000000000"
            for port, path, status in ((fleet.hosts[1].caller, path, 400),
                                       (fleet.hosts[1].peer, "/relay?upstream=no&started=0", 503),
                                       (fleet.hosts[1].peer, "/relay", 503)):
                connection = http.client.HTTPConnection(
                    "127.0.0.1" if port == fleet.hosts[1].caller else fleet.hosts[1].ip, port,
                    timeout=5)
                connection.request("GET", path, headers={"Connection": "Upgrade",
                                                         "Upgrade": "quincefall-relay"})
                self.assertEqual(connection.getresponse().status, status)
                connection.close()

    def test_hosts_that_are_cut_off_do_not_relay_for_each_other(self):
        with StrandedFleet(cuttable=2) as fleet:
            settle(fleet)
            fleet.cut("hang")
            run_callers(fleet.hosts[:2], 3)
            connection = http.client.HTTPConnection(fleet.hosts[1].ip, fleet.hosts[1].peer,
                                                    timeout=5)
            connection.request("GET", "/relay?upstream=e1&started=1700000000000")
            self.assertEqual(connection.getresponse().status, 503)
            connection.close()


if __name__ == "__main__":
    unittest.main()
