"""Sound resumable streams of engines that frame nothing are whole in the end."""

import unittest

from support.route_fleet import ask
from support.scripted_fleet import ScriptedFleet, ids_in, plain_script, show, take


class SoundUnframedTest(unittest.TestCase):
    def sound(self, fleet, name, ids, rounds=6, **more):
        is_whole, body, answers = take(fleet, name, rounds=rounds, **more)
        if not is_whole or ids_in(body) != list(ids):
            show(fleet, name)
        self.assertEqual(ids_in(body), list(ids))
        return is_whole, body, answers

    def check(self, ids, changes=None, **more):
        with ScriptedFleet(changes) as fleet:
            script = plain_script(ids)
            fleet.play({"e1": script, "e2": script})
            for number in range(6):
                take(fleet, f"teach{number}")
            rows = [self.sound(fleet, f"s{number}", ids, **more) for number in range(4)]
            print(list(ids)[:8], "whole", [row[0] for row in rows], "attempts",
                  [len(row[2]) for row in rows], flush=True)
            self.assertEqual([row[0] for row in rows], [True] * 4)

    def test_steps(self):
        self.check(range(10, 70, 10))

    def test_ids_from_zero(self):
        self.check(range(0, 6))

    def test_one_event(self):
        self.check([1])

    def test_one_event_with_id_zero(self):
        # Its caller can't take it up, and an upstream that is asked behind 0 does not send it again.
        with ScriptedFleet() as fleet:
            fleet.play({"e1": plain_script([0]), "e2": plain_script([0])})
            rows = [ask(fleet.hosts[0].caller, f"z{number}", f"/stream/z{number}")
                    for number in range(10)]
            self.assertEqual([(row.status, row.is_whole, ids_in(row.body)) for row in rows[6:]],
                             [(200, True, [0])] * 4)

    def test_one_attempt_per_request(self):
        self.check(range(1, 7), {"plans": {"max_attempts": 1}})

    def test_one_attempt_per_request_with_affinity(self):
        self.check(range(1, 7), {"plans": {"max_attempts": 1, "session_affinity": True}},
                   more={"Quincefall-Model": "m", "Quincefall-Token-Count": "1460,80",
                         "Quincefall-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660"})

    def test_engines_that_start_from_the_beginning(self):
        with ScriptedFleet() as fleet:
            def script(after, left):
                return plain_script(range(1, 7))(None, left)
            fleet.play({"e1": script, "e2": script})
            for number in range(6):
                take(fleet, f"teach{number}")
            rows = [self.sound(fleet, f"b{number}", range(1, 7)) for number in range(3)]
            self.assertEqual([row[0] for row in rows], [True] * 3)

    def test_taken_up_at_another_host(self):
        with ScriptedFleet({"plans": {"max_attempts": 1}}, hosts=3) as fleet:
            script = plain_script(range(1, 7))
            fleet.play({"e1": script, "e2": script})
            for host in range(3):
                for number in range(6):
                    take(fleet, f"teach{host}{number}", hosts=[host])
            rows = [self.sound(fleet, f"h{number}", range(1, 7), hosts=[0, 1, 2])
                    for number in range(6)]
            print("other hosts: whole", [row[0] for row in rows], "attempts",
                  [len(row[2]) for row in rows], flush=True)
            self.assertEqual([row[0] for row in rows], [True] * 6)


if __name__ == "__main__":
    unittest.main()
