"""Ends of two runs that agree for a reason other than the end of the stream are not taken for it."""

import hashlib
import re
import socket
import time
import unittest

from support.route_fleet import ask
from support.scripted_fleet import ScriptedFleet, event, ids_in, plain_script, show, take


class FalseAgreementTest(unittest.TestCase):
    def test_a_run_that_brought_nothing_lets_an_engine_agree_with_itself(self):
        with ScriptedFleet() as fleet:
            whole = plain_script(range(1, 7))
            for name in ("e1", "e2"):  # Teach the host that nothing is framed.
                fleet.engines[name].script = whole
            for number in range(6):
                take(fleet, f"teach{number}")
            fleet.play({"e1": plain_script(range(1, 7), last=3), "e2": lambda after, left: []})
            wrong = []
            for number in range(6):
                is_whole, body, answers = take(fleet, f"self{number}", rounds=4)
                if is_whole and ids_in(body) != [1, 2, 3, 4, 5, 6]:
                    wrong.append((number, ids_in(body)))
                    show(fleet, f"self{number}")
            self.assertEqual(wrong, [])

    def test_a_deadline_that_ends_both_runs_of_a_stream_taken_up_passes_for_agreement(self):
        gap = 0.9

        def script(after, left):
            # The event asked for again is there at once; stops where the next would be too late.
            first, at, sent = (after or 0) + 1, 0.0, []
            for one in range(first, 13):
                wait = 0.03 if one == first else gap
                if at + wait > left:
                    break
                sent.append((wait, event(one)))
                at += wait
            return sent

        routes = {"plans": {"target_latency_ms": 200, "gap_aim_ms": 1000, "max_attempts": 2}}
        with ScriptedFleet(routes) as fleet:
            fleet.play({"e1": plain_script(range(1, 4)), "e2": plain_script(range(1, 4))})
            for number in range(6):
                take(fleet, f"teach{number}")
            fleet.play({"e1": script, "e2": script})
            wrong = []
            for number in range(4):
                name = f"late{number}"
                # What is left of a deadline of 2.4 s: 0.03 + 0.9 + 0.9, then nothing until 2.73.
                is_whole, body, answers = take(fleet, name, rounds=2, deadlines=[2400, 560])
                if is_whole and ids_in(body)[-1] != 12:
                    wrong.append((name, ids_in(body)))
                    show(fleet, name)
            self.assertEqual(wrong, [])

    def test_two_engines_that_shut_down_together_pass_for_agreement(self):
        # e1 ends behind 3; e2, which the list does not name as leaving yet, sends 3 and ends too.
        with ScriptedFleet() as fleet:
            fleet.play({"e1": plain_script(range(1, 4)), "e2": plain_script(range(1, 4))})
            for number in range(6):
                take(fleet, f"teach{number}")
            for name in ("e1", "e2"):
                fleet.engines[name].is_leaving = True
                fleet.engines[name].script = plain_script(range(1, 7), last=3)
            is_whole, body, _ = take(fleet, "both", rounds=3)
            show(fleet, "both")
            self.assertFalse(is_whole, ids_in(body))

    def test_a_batch_that_differs_between_runs_is_sent_twice(self):
        """Ids are those of the last token of an event, which may hold several."""
        def batches(ends):
            def script(after, left):
                sent, begin = [], after or 0
                for end in ends(begin):
                    if end > begin:
                        text = ",".join(str(one) for one in range(begin + 1, end + 1))
                        sent.append((0.02, event(end, text)))
                        begin = end
                return sent
            return script

        with ScriptedFleet() as fleet:
            fleet.play({"e1": plain_script(range(1, 4)), "e2": plain_script(range(1, 4))})
            for number in range(6):
                take(fleet, f"teach{number}")
            # e1 stops early behind 9; the other engine batches by two, from where it begins.
            fleet.play({"e1": batches(lambda begin: (3, 6, 9)),
                        "e2": batches(lambda begin: [*range(begin + 2, 12, 2), 12])})
            bad = []
            for number in range(6):
                is_whole, body, _ = take(fleet, f"batch{number}", rounds=3)
                tokens = [int(one) for line in re.findall(r"^data: (.*)$", body, re.M)
                          for one in line.split(",")]
                if tokens != list(range(1, len(tokens) + 1)):
                    bad.append((number, is_whole, tokens))
                    show(fleet, f"batch{number}")
            self.assertEqual(bad, [])

    def test_a_record_that_names_a_later_event_before_the_last_makes_events_go_missing(self):
        """Another host, perhaps of another build, sends a record of which the fields do not fit."""
        def varint(number):
            out = b""
            while number > 127:
                out, number = out + bytes([number & 127 | 128]), number >> 7
            return out + bytes([number])

        with ScriptedFleet() as fleet:
            fleet.play({"e1": plain_script(range(1, 9)), "e2": plain_script(range(1, 9))})
            wrong = []
            for after, before in ((3, 5), (3, 2 ** 64 - 1), (3, 2), (3, 0), (3, 3), (0, 5),
                                  (2 ** 64 - 1, 1)):
                name = f"odd{after}-{before}"
                digests = b"".join(hashlib.sha256(text.encode()).digest()
                                   for text in ("stable", f"{name}-0"))
                row = (b"\x09" + hashlib.sha256(digests).digest()[:8] + b"\x12\x07engines"
                       + b"\x1a\x02v1" + b"\x38\x01" + b"\x40" + varint(after) + b"\x49"
                       + b"\x01" * 8 + b"\x50" + varint(before))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                    other.bind(("127.0.0.9", 0))
                    other.sendto(b"\x6a" + varint(len(row)) + row,
                                 (fleet.hosts[0].ip, fleet.hosts[0].exchange_port))
                time.sleep(0.2)
                answer = ask(fleet.hosts[0].caller, f"{name}-1", f"/stream/{name}",
                             fields={"Last-Event-Id": "3", "Resumes": f"{name}-0"})
                got = ids_in(answer.body)
                print("record", after, before, "->", answer.status, got, answer.is_whole, flush=True)
                if answer.status == 200 and got != list(range(4, 4 + len(got))):
                    wrong.append((after, before, answer.is_whole, got))
                    show(fleet, f"{name}-1")
            self.assertEqual(wrong, [])


if __name__ == "__main__":
    unittest.main()
