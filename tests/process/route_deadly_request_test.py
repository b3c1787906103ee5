"""A request that crashes each engine which runs it, and comes again at any host."""

import asyncio
import signal
import threading
import time
import unittest

from support.route_fleet import KEY, RouteFleet, ask, desired_state, wait_for

KEY_OF_OTHER = "key-of-other"
STABLE_SECONDS = 4.0  # stable_window_ms of the platform.
MOST_RETRIES = 3  # Later than STABLE_SECONDS after the third crash.
DEADLY_BODY = b'{"visit": 7, "hoof": "left hind"}'
KNOWN_PARTS = {"Quincefall-Prompt-Prefix": "5a0001:400,5a0002:200,100001:50",
               "Quincefall-Token-Count": "650,40"}


class Sender:
    """Sends a request every `gap` seconds to the fleet's hosts in turn."""

    def __init__(self, fleet, label, gap, seconds, request_of):
        self.answers = []  # (time of sending, answer)
        self.threads = []
        self.sender = threading.Thread(target=self.send,
                                       args=(fleet, label, gap, seconds, request_of))
        self.sender.start()

    def send(self, fleet, label, gap, seconds, request_of):
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            host = fleet.hosts[number % len(fleet.hosts)]
            thread = threading.Thread(target=self.ask,
                                      args=(host, f"{label}{number}", request_of(number)))
            thread.start()
            self.threads.append(thread)
            number += 1
            time.sleep(gap)

    def ask(self, host, request, options):
        sent = time.monotonic()
        self.answers.append((sent, ask(host.caller, request, **options)))

    def join(self):
        self.sender.join()
        for thread in self.threads:
            thread.join()
        return self.answers


def post(path, body=DEADLY_BODY, **more):
    return dict({"path": path, "method": "POST", "body": body}, **more)


def crashes_of(fleet):
    return sorted(at for engine in fleet.engines.values() for at in engine.crashes)


def arrivals_of(fleet):
    return sorted(at for engine in fleet.engines.values() for at in engine.deadly_arrivals)


def late_arrivals(fleet):
    crashes = crashes_of(fleet)
    if len(crashes) < 3:
        return []
    return [at for at in arrivals_of(fleet) if at > crashes[2] + STABLE_SECONDS]


class DeadlyRequestTest(unittest.TestCase):
    def play(self, path, service, seconds=11, gap=0.24, fields=None, hosts=5):
        """Sends a deadly request beside sound ones that share its path, caller or body."""
        with RouteFleet(hosts=hosts) as fleet:
            self.prepare(fleet, path, service)
            deadly = Sender(fleet, "d", gap, seconds, lambda number: post(path, fields=fields))
            variants = [
                post(path, body=b"sound", fields=fields),
                post(path + "9", fields=fields),
                post(path, key=KEY_OF_OTHER, fields=fields),
            ]
            sound = Sender(fleet, "s", 0.08, seconds, lambda number: variants[number % 3])
            deadly.join()
            answers = sound.join()
            self.check(fleet, answers)
        self.assertEqual(set(fleet.codes), {0})

    def prepare(self, fleet, path, service):
        for number in range(6):
            fleet.add_engine(f"x{number}", service)
        tenants = [{"name": "stable", "api_keys": [KEY], "priority": 1},
                   {"name": "other", "api_keys": [KEY_OF_OTHER], "priority": 1}]
        fleet.store.put("keyed.op", "config", desired_state(2, tenants=tenants))
        for engine in fleet.engines.values():
            engine.deadly_requests = {(path, "stable", DEADLY_BODY)}
        wait_for(lambda: all(any("desired state in force version=2" in line
                                 for line in host.lines()) for host in fleet.hosts),
                 "the second desired state to be in force")
        for host in fleet.hosts:  # Prompt parts that were answered before.
            ask(host.caller, f"known-{host.name}", "/stream/known", fields=KNOWN_PARTS)

    def check(self, fleet, sound_answers):
        crashes = crashes_of(fleet)
        self.assertGreaterEqual(len(crashes), 2)
        self.assertLessEqual(len(late_arrivals(fleet)), MOST_RETRIES, f"{len(crashes)} crashes")
        settled = [answer for sent, answer in sound_answers
                   if sent > crashes[:3][-1] + STABLE_SECONDS]
        self.assertGreater(len(settled), 20)
        served = [answer for answer in settled if answer.status == 200 and answer.is_whole]
        self.assertGreater(len(served), 0.95 * len(settled))

    def test_a_deadly_idempotent_call_stops_reaching_engines(self):
        self.play("/read/7", "desk")

    def test_a_deadly_call_that_may_not_be_repeated_stops_reaching_engines(self):
        self.play("/book/7", "desk")

    def test_a_deadly_stream_without_prompt_parts_stops_reaching_engines(self):
        self.play("/stream/7", "engines")

    def test_a_deadly_stream_with_known_prompt_parts_stops_reaching_engines(self):
        self.play("/stream/7", "engines", fields=KNOWN_PARTS)

    def test_hosts_that_restart_meanwhile_do_not_send_the_deadly_request(self):
        with RouteFleet(hosts=5) as fleet:
            self.prepare(fleet, "/book/7", "desk")
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
            self.prepare(fleet, "/book/7", "desk")
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
