"""Answers that a service which lives ends early, in good order, are not taken for whole by `serve`
and the command line."""

import collections
import contextlib
import http.server
import os
import subprocess
import threading
import unittest

from support.fleet import OPERATOR_KEY, Fleet
from support.processes import wait_for

UPSTREAM_FAILED = 402
OUTCOME_UNKNOWN = 801
UNREACHABLE_EXIT = 4
LINES = b"".join(b'{"seat": %d}\n' % number for number in range(40))
SOME = len(b"".join(LINES.splitlines(True)[:5]))
LOAD = b'{"running":0,"waiting":0,"slots":8,"tokens_per_second":0,"kv_used_share":0,"age_ms":0}'


class Service(http.server.ThreadingHTTPServer):
    """Answers every request with LINES and lives on. With `kept_bytes` it names no length, sends
    just so many bytes and closes the connection in good order."""

    role = "service"
    daemon_threads = True

    def __init__(self, kept_bytes=None):
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server_port}"
        self.kept_bytes = kept_bytes
        self.runs = collections.Counter()
        threading.Thread(target=self.serve_forever, daemon=True).start()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.path == "/load":
            self.send_framed(LOAD)
        else:
            self.send_lines()

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.server.runs[self.headers["Idempotency-Key"]] += 1
        self.send_lines()

    def send_lines(self):
        kept = self.server.kept_bytes
        if kept is None:
            self.send_framed(LINES)
            return
        self.send_response(200)
        self.end_headers()
        self.wfile.write(LINES[:kept])
        self.close_connection = True

    def send_framed(self, body):
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


@contextlib.contextmanager
def service_fleet(services, hosts, **spec):
    with Fleet() as fleet:
        fleet.start_engine("e1")
        for number, service in enumerate(services):
            fleet.listed_upstreams[f"desk-{number}"] = (service, "uusimaa", "espoo")
        fleet.start_hosts(hosts)
        fleet.publish_defaults(max_wait_ms=3000)
        fleet.publish("service", "shift-desk", {"pool": "shift-desk", "timeout_ms": 4000, **spec})
        fleet.wait_ready()
        yield fleet
    for service in services:
        service.shutdown()
        service.server_close()


def outcome(answer):
    """Status, code and run state of an answer; for 200, how many bytes of LINES it has."""
    if answer.status == 200:
        return 200, len(answer.body), answer.body == LINES
    problem = answer.json()
    return answer.status, problem["code"], problem["run"]


def run_verb(address, *words):
    done = subprocess.run([os.environ["QUINCEFALL_BIN"], *words, f"--host={address}"],
                          env={**os.environ, "QUINCEFALL_OPERATOR_KEY": OPERATOR_KEY},
                          capture_output=True, text=True, timeout=30)
    return done.returncode, done.stdout, done.stderr


class ServeEarlyEndTest(unittest.TestCase):
    def check_unknown(self, fleet, service, key, kept):
        service.kept_bytes = kept
        first = fleet.book("h1", key, {"day": 1})
        service.kept_bytes = None
        with self.subTest("the call itself"):
            self.assertEqual(outcome(first), (502, UPSTREAM_FAILED, "unknown"))
            self.assertIn(f"{service.address}: only its connection ended the answer after {kept}"
                          " bytes of the body", first.json()["detail"])

        def is_settled(host):
            again = fleet.book(host, key, {"day": 1})
            self.assertEqual(again.status, 409, again)
            return again.json()["code"] == OUTCOME_UNKNOWN

        for host in ("h1", "h2"):
            with self.subTest(f"its repeat through {host}"):
                wait_for(lambda host=host: is_settled(host), 30, f"{host} knows the claim's end")
        self.assertEqual(service.runs[key], 1)

    def test_the_cut_body_of_a_call_that_runs_once_is_no_result(self):
        service = Service()
        with service_fleet([service], 2) as fleet:
            for name, kept in (("nothing", 0), ("some", SOME), ("all", len(LINES))):
                with self.subTest(name):
                    self.check_unknown(fleet, service, name, kept)
            for host in ("h1", "h2", "h1"):
                whole = fleet.book(host, "whole", {"day": 1})
                self.assertEqual(outcome(whole), (200, len(LINES), True))
            self.assertEqual(service.runs["whole"], 1)

    def test_a_repeatable_call_is_answered_by_the_service_that_ends_it_whole(self):
        early, sound = Service(kept_bytes=SOME), Service()
        with service_fleet([early, sound], 1, repeatable=True) as fleet:
            for number in range(12):
                answer = fleet.book("h1", f"r{number}", {"day": 1})
                self.assertEqual(outcome(answer), (200, len(LINES), True), number)
        self.assertGreater(sum(early.runs.values()), 0)

    def test_a_repeatable_call_that_all_services_end_early_is_not_whole(self):
        services = [Service(kept_bytes=SOME), Service(kept_bytes=SOME)]
        with service_fleet(services, 1, repeatable=True) as fleet:
            answer = fleet.book("h1", "r", {"day": 1})
            self.assertEqual(outcome(answer), (502, UPSTREAM_FAILED, "unknown"))
        self.assertEqual([service.runs["r"] for service in services], [1, 1])

    def test_what_an_operator_reads_is_not_whole(self):
        service = Service(kept_bytes=SOME)
        for words in (("watch", "--from=1"), ("timeline", "--format=jsonl")):
            with self.subTest(words[0]):
                code, _, text = run_verb(service.address, *words)
                self.assertEqual(code, UNREACHABLE_EXIT, text)
                self.assertIn(f"{service.address}: only its connection ended the answer after"
                              f" {SOME} bytes of the body", text)
        service.kept_bytes = None
        code, printed, text = run_verb(service.address, "watch", "--from=1")
        self.assertEqual((code, printed.encode()), (0, LINES), text)
        service.shutdown()
        service.server_close()


if __name__ == "__main__":
    unittest.main()
