"""A request that crashes engines stays held back past restarts of hosts; kills condemn none."""

import asyncio
import signal
import threading
import time
import unittest

from support.deadly_request import (MOST_RETRIES, Sender, crashes_of, late_arrivals, post, prepare)
from support.route_fleet import RouteFleet, ask, wait_for


class DeadlyRestartTest(unittest.TestCase):
    def test_hosts_that_restart_meanwhile_do_not_send_the_deadly_request(self):
        with RouteFleet(hosts=5) as fleet:
            prepare(fleet, "/book/7", "desk")
            deadly = Sender(fleet, "d", 0.24, 18, lambda number: post("/book/7"))
            time.sleep(7)
            for host in fleet.hosts:
                host.send(signal.SIGKILL)
                host.process.wait(5)
                host.start()
                wait_for(host.is_ready, f"{host.name} to be ready")
                time.sleep(1)
            deadly.join()
            self.assertGreaterEqual(len(crashes_of(fleet)), 2)
            self.assertLessEqual(len(late_arrivals(fleet)), MOST_RETRIES)

    def test_a_held_request_stays_held_when_all_hosts_start_anew_at_once(self):
        with RouteFleet(hosts=3) as fleet:
            prepare(fleet, "/book/7", "desk")
            deadly = Sender(fleet, "d", 0.24, 5, lambda number: post("/book/7"))
            deadly.join()
            wait_for(lambda: fleet.store.topics["keyed.quincefall-held"], "the hold to be stored")
            for host in fleet.hosts:
                host.send(signal.SIGKILL)
                host.process.wait(5)
            crashes = len(crashes_of(fleet))
            for host in fleet.hosts:
                host.start()
            for host in fleet.hosts:
                wait_for(host.is_ready, f"{host.name} to be ready")
                wait_for(lambda host=host: any("held traits read" in line
                                               for line in host.lines()), "the records to be read")
            Sender(fleet, "e", 0.24, 3, lambda number: post("/book/7")).join()
            self.assertEqual(len(crashes_of(fleet)), crashes)
            sound = ask(fleet.hosts[0].caller, "sound", **post("/book/7", body=b"sound"))
            self.assertEqual(sound.status, 200)

    def test_engines_that_are_killed_under_a_sound_request_do_not_condemn_it(self):
        with RouteFleet(hosts=3) as fleet:
            time.sleep(0.5)
            poll = post("/read/1", body=b"sound")
            for round_ in range(4):
                desks = [engine for engine in fleet.engines.values() if engine.service == "desk"]
                for engine in desks:
                    engine.fault = "hang"
                polls = [threading.Thread(target=ask, args=(host.caller, f"p{round_}-{host.name}"),
                                          kwargs=poll) for host in fleet.hosts]
                for one in polls:
                    one.start()
                time.sleep(0.3)
                for engine in desks:
                    engine.fault = None
                downs = [asyncio.run_coroutine_threadsafe(engine.crash(), fleet.thread.loop)
                         for engine in desks]
                for down in downs:
                    down.result(10)
                for one in polls:
                    one.join()
                time.sleep(1)
                answers = [ask(host.caller, f"a{round_}-{host.name}", **poll)
                           for host in fleet.hosts]
                self.assertIn(200, [answer.status for answer in answers])
            wait_for(lambda: all(ask(host.caller, f"last-{host.name}", **poll).status == 200
                                 for host in fleet.hosts), "the sound request to be served")


if __name__ == "__main__":
    unittest.main()
