"""Engines of a release that end their streams one after the other do not confirm each other."""

import unittest

from route_hushed import Hushed, lines_of, options_from
from support.platform_standin import answer_bytes
from support.route_fleet import ask
from support.scripted_fleet import (ScriptedEngine, ScriptedFleet, event, ids_in, plain_script, show,
                                    take)


def release_script(last, total=6):
    """Ends its first stream behind `last`, as an engine that shuts down, and later ones at once."""
    is_ending = False

    def script(after, left):
        nonlocal is_ending
        sent = [] if is_ending else [(0.02, event(one)) for one in range((after or 0) + 1, last + 1)]
        is_ending = is_ending or bool(sent)
        return sent
    return script


class StoppingDesk(ScriptedEngine):
    """Ends its first plain answer after a part, as a service that shuts down, and later ones at
    once, if it `is_stopping`; else its plain answers are whole and have no length either."""

    is_stopping = False
    answers = 0

    async def run(self, writer, method, target, fields, body, request, leaving, fault):
        if self.service != "desk":
            return await super().run(writer, method, target, fields, body, request, leaving, fault)
        self.runs[request] += 1
        whole = b"done:" + request.encode()
        part = b"done:" if self.answers == 0 else b""
        self.answers += 1
        head = answer_bytes(200, b"", [("Quincefall-Request-Id", request),
                                       ("Quincefall-Response-Stamp", f"{self.identity}.{request}")])
        writer.write(head.replace(b"Content-Length: 0\r\n", b"")
                     + (part if self.is_stopping else whole))
        await writer.drain()
        return False


class DeskFleet(ScriptedFleet):
    engine_type = StoppingDesk


class ReleaseWaveTest(unittest.TestCase):
    def check(self, hosts, rounds, **more):
        wrong = []
        with ScriptedFleet(hosts=hosts, **more) as fleet:
            whole = plain_script(range(1, 7))
            names = ("e1", "e2", "e3")
            fleet.add_engine("e3", "engines")
            fleet.play({name: whole for name in names})
            for host in range(hosts):
                for number in range(6):
                    take(fleet, f"teach{host}-{number}", hosts=[host])
            for number in range(6):
                fleet.play({name: release_script(3) for name in names})
                name = f"wave{number}"
                is_whole, body, _ = take(fleet, name, rounds=rounds, hosts=list(range(hosts)))
                if is_whole:
                    wrong.append((name, ids_in(body)))
                    show(fleet, name)
            fleet.play({name: whole for name in names})
            is_whole, body, _ = take(fleet, "after", rounds=6)
            self.assertEqual((is_whole, ids_in(body)), (True, [1, 2, 3, 4, 5, 6]))
        self.assertEqual(wrong, [])

    def test_a_stream_is_not_whole_that_two_engines_of_a_release_ended(self):
        self.check(1, 1)

    def test_a_stream_is_not_whole_that_its_caller_took_up_during_a_release(self):
        self.check(1, 5)

    def test_a_stream_is_not_whole_that_was_taken_up_at_other_hosts_during_a_release(self):
        self.check(3, 5, changes={"plans": {"max_attempts": 1}})

    def test_no_stream_of_a_wave_of_shutdowns_looks_whole_that_is_not(self):
        options = ("--hosts 3 --engines 12 --processes 6 --unframed 1 --breaks 0 --split 0"
                   " --events 30 --event-seconds 0.06 --pauses 0.05-0.1 --streams 30 --seconds 10"
                   " --shut-down-engines --wave 4 --wave-seconds 0-0.2")
        play = Hushed(options_from(options.split()), 11)
        logs = play.run()
        print(dict(sorted(play.report.counts.items())), flush=True)
        for _, request, _ in play.report.violations[:2]:
            print(*lines_of(logs, request), sep="\n")
        self.assertGreater(play.report.counts["streams that an engine ended early"], 0)
        self.assertEqual([text for _, _, text in play.report.violations], [])

    def test_a_plain_answer_is_not_whole_that_two_services_of_a_release_ended(self):
        with DeskFleet() as fleet:
            for number in range(6):
                for name in ("d1", "d2"):
                    fleet.engines[name].is_stopping = True
                    fleet.engines[name].answers = 0
                answer = ask(fleet.hosts[0].caller, f"p{number}", f"/read/p{number}")
                self.assertFalse(answer.status == 200 and answer.is_whole, answer.body)
            for name in ("d1", "d2"):
                fleet.engines[name].is_stopping = False
            answer = ask(fleet.hosts[0].caller, "after", "/read/after")
            self.assertEqual((answer.status, answer.is_whole, answer.body),
                             (200, True, "done:after"))


if __name__ == "__main__":
    unittest.main()
