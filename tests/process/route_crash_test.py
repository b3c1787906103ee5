"""Prompts with a part that crashes each engine which begins to answer them."""

import itertools
import signal
import threading
import time
import unittest

from support.route_fleet import RouteFleet, ask, wait_for

DEADLY = "dead01"
SHARED = "5a0001"
STABLE_SECONDS = 4.0  # stable_window_ms of the platform.


def prompt(number, part):
    return {"Quincefall-Prompt-Prefix": f"{SHARED}:400,{part}:200,{0x100000 + number:x}:50",
            "Quincefall-Token-Count": "650,40"}


def add_engines(fleet, count):
    for number in range(count):
        fleet.add_engine(f"e{number + 3}", "engines")
    for engine in fleet.engines.values():
        engine.deadly_part = DEADLY


def all_crashes(fleet):
    return sorted(at for engine in fleet.engines.values() for at in engine.crashes)


def all_deadly_arrivals(fleet):
    return sorted(at for engine in fleet.engines.values() for at in engine.deadly_arrivals)


def has_line(host, part):
    return any(part in line for line in host.lines())


def hold_part(fleet, hosts):
    """Sends prompts with the deadly part through `hosts` until all hosts hold it back."""
    numbers = itertools.count()

    def ask_next():
        number = next(numbers)
        host = hosts[number % len(hosts)]
        ask(host.caller, f"hold{number}", f"/stream/{number}", fields=prompt(number, DEADLY))
        time.sleep(0.3)
        return all(has_line(host, "prompt part held back") for host in fleet.hosts)

    wait_for(ask_next, "the part to be held back on all hosts")


class Traffic:
    """Sends a request every `gap` seconds, to the hosts in turn; keeps (time, answer) pairs."""

    def __init__(self, hosts, label, part_of, gap, count):
        self.answers = []
        self.threads = []
        self.sender = threading.Thread(target=self.send, args=(hosts, label, part_of, gap, count))
        self.sender.start()

    def send(self, hosts, label, part_of, gap, count):
        for number in range(count):
            host = hosts[number % len(hosts)]
            thread = threading.Thread(
                target=self.ask, args=(host, f"{label}{number}", prompt(number, part_of(number))))
            thread.start()
            self.threads.append(thread)
            time.sleep(gap)

    def ask(self, host, request, fields):
        sent = time.monotonic()
        self.answers.append((sent, ask(host.caller, request, f"/stream/{request}", fields=fields)))

    def join(self):
        self.sender.join()
        for thread in self.threads:
            thread.join()
        return self.answers


class DeadlyPartTest(unittest.TestCase):
    def test_a_part_that_crashes_engines_stops_reaching_them(self):
        with RouteFleet(hosts=3) as fleet:
            add_engines(fleet, 6)
            time.sleep(0.5)
            deadly = Traffic(fleet.hosts, "d", lambda number: DEADLY, 0.2, 60)
            sound = Traffic(fleet.hosts, "s", lambda number: f"{0xb00 + number % 7:x}", 0.05, 300)
            deadly.join()
            answers = sound.join()
            crashes = all_crashes(fleet)
            self.assertGreaterEqual(len(crashes), 2)
            if len(crashes) > 5:
                late = [at for at in all_deadly_arrivals(fleet) if at > crashes[4] + STABLE_SECONDS]
                self.assertLessEqual(len(late), 3)
            settled = [answer for sent, answer in answers
                       if sent > crashes[:5][-1] + 2 * STABLE_SECONDS]
            self.assertGreater(len(settled), 20)
            served = [answer for answer in settled if answer.status == 200 and answer.is_whole]
            self.assertGreater(len(served), 0.9 * len(settled))
        self.assertEqual(fleet.codes, [0, 0, 0])

    def test_a_host_that_restarts_or_joins_sends_no_request_with_a_held_part(self):
        with RouteFleet(hosts=3) as fleet:
            add_engines(fleet, 2)
            first, second, third = fleet.hosts
            hold_part(fleet, fleet.hosts[:2])
            crashes = len(all_crashes(fleet))
            third.send(signal.SIGKILL)
            third.process.wait(5)
            third.start()
            wait_for(third.is_ready, "h3 to be ready")
            wait_for(lambda: sum("prompt part held back" in line for line in third.lines()) == 2,
                     "h3 to learn of the part again")
            answer = ask(third.caller, "again", "/stream/again", fields=prompt(900, DEADLY))
            self.assertEqual((answer.status, "prompt-held-back" in answer.body), (503, True))
            self.assertGreater(float(answer.fields["Retry-After"]), 1)
            self.assertEqual(len(all_crashes(fleet)), crashes)
            sound = ask(third.caller, "sound", "/stream/sound", fields=prompt(901, "b00"))
            self.assertEqual((sound.status, sound.is_whole), (200, True))

    def test_answers_that_are_lost_one_by_one_hold_no_part_back(self):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            for engine in fleet.engines.values():
                engine.fault, engine.faults_left = "reset", 3
            for number in range(9):
                ask(host.caller, f"r{number}", f"/stream/r{number}", fields=prompt(number, "b01"))
                time.sleep(0.3)
            answer = ask(host.caller, "after", "/stream/after", fields=prompt(99, "b01"))
            self.assertEqual(answer.status, 200)
            self.assertFalse(has_line(host, "upstream crashed"))


if __name__ == "__main__":
    unittest.main()
