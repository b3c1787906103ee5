"""`quincefall route` against the platform stand-in, as callers and upstreams see it."""

import http.client
import signal
import socket
import threading
import time
import unittest

from support.platform_standin import complete_stream
from support.route_fleet import KEY, FullBacklogPort, RouteFleet, ask, desired_state, wait_for


# A host retries an upstream that failed once after this time.
PROBE_SECONDS = 0.3


def each_engine(fleet, service, **attributes):
    for engine in fleet.engines.values():
        if engine.service == service:
            for name, value in attributes.items():
                setattr(engine, name, value)


class RouteTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = RouteFleet()
        cls.fleet.__enter__()
        cls.port = cls.fleet.hosts[0].caller

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()
        assert cls.fleet.codes == [0], cls.fleet.codes

    def setUp(self):
        for engine in self.fleet.engines.values():
            engine.fault = None
            engine.faults_left = 10 ** 9
            engine.events = 6
        time.sleep(PROBE_SECONDS)

    def each_engine(self, service, **attributes):
        each_engine(self.fleet, service, **attributes)

    def test_forwards_a_call_unchanged(self):
        answer = ask(self.port, "r1", "/book/x?a=b", "POST", b"body",
                     fields={"X-Own": "v", "Quincefall-Tenant": "forged", "Kv-From": "x",
                             "Quincefall-Request-Urgency": "0", "Quincefall-Hold": "y"})
        self.assertEqual((answer.status, answer.body), (200, "done:r1body"))
        self.assertIn("Quincefall-Response-Stamp", answer.fields)
        head = next(engine.request_heads["r1"] for engine in self.fleet.engines.values()
                    if "r1" in engine.request_heads)
        self.assertEqual((head["method"], head["target"], head["x-own"]),
                         ("POST", "/book/x?a=b", "v"))
        self.assertEqual(head["quincefall-tenant"], "stable")
        self.assertLessEqual(int(head["quincefall-deadline-ms"]), 4000)
        for name in ("quincefall-credential", "quincefall-hold", "kv-from"):
            self.assertNotIn(name, head)

    def test_delivers_a_complete_stream(self):
        answer = ask(self.port, "r2", "/stream/1", "POST", b"x")
        self.assertEqual((answer.status, answer.body), (200, complete_stream()))

    def test_resumes_an_interrupted_stream_on_another_engine(self):
        self.each_engine("engines", fault="cut", faults_left=1)
        self.fleet.engines["e2"].fault = None
        for number in range(6):
            answer = ask(self.port, f"b{number}", "/stream/1", "POST", b"x")
            self.assertEqual((answer.status, answer.is_whole, answer.body),
                             (200, True, complete_stream()))

    def test_a_stream_that_no_engine_completes_is_not_reported_as_complete(self):
        self.each_engine("engines", fault="cut")
        answer = ask(self.port, "r3", "/stream/1", "POST", b"x")
        self.assertFalse(answer.is_whole)
        for event in answer.body.split("\n\n")[:-1]:
            self.assertIn(event + "\n\n", complete_stream())

    def test_non_idempotent_call_runs_once_and_is_not_reported_as_not_run(self):
        for fault in ("reset", "error", "unstamped"):
            self.each_engine("desk", fault=fault, faults_left=10)
            for number in range(4):
                request = f"{fault}{number}"
                answer = ask(self.port, request, "/book/1", "POST", b"x")
                self.assertNotIn(answer.status, (200, 408, 421, 429, 503))
                self.assertEqual(self.fleet.runs(request), 1)

    def test_not_run_refusal_has_retry_after_and_did_not_run(self):
        self.each_engine("desk", fault="full")
        answer = ask(self.port, "r4", "/book/1", "POST", b"x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.fields["Retry-After"]), 0)
        self.assertEqual(self.fleet.runs("r4"), 0)

    def test_retries_an_idempotent_call_on_another_upstream(self):
        self.fleet.engines["d1"].fault = "error"
        statuses = {ask(self.port, f"e{number}").status for number in range(8)}
        self.assertEqual(statuses, {200})

    def test_drops_the_response_to_another_request(self):
        self.each_engine("desk", fault="crossed")
        for number in range(4):
            answer = ask(self.port, f"c{number}")
            self.assertEqual((answer.status, answer.body), (200, f"done:c{number}"))

    def test_an_upstream_with_another_identity_runs_nothing(self):
        before = sum(self.fleet.engines["d1"].runs.values())
        self.fleet.engines["d1"].identity = "reborn"
        statuses = [ask(self.port, f"i{number}", "/book/1", "POST", b"x").status
                    for number in range(6)]
        self.fleet.engines["d1"].identity = "d1"
        self.assertEqual(set(statuses), {200})
        self.assertEqual(sum(self.fleet.engines["d1"].runs.values()), before)

    def test_rejects_invalid_requests(self):
        self.assertEqual(ask(self.port, "n1", "/nowhere/1").status, 404)
        self.assertEqual(ask(self.port, "n2", key="wrong").status, 401)
        self.assertEqual(ask(self.port, "n3", "/book/1", "POST", b"x" * 70000).status, 413)
        self.assertEqual(ask(self.port, "n4", fields={"X-Long": "x" * 9000}).status, 431)
        self.assertEqual(ask(self.port, "", "/read/1").status, 400)

    def test_rejects_content_length_with_transfer_encoding(self):
        with socket.create_connection(("127.0.0.1", self.port), timeout=5) as raw:
            raw.sendall(b"POST /book/1 HTTP/1.1\r\nHost: rounds.example\r\n"
                        b"Quincefall-Request-Id: s1\r\nQuincefall-Credential: " + KEY.encode()
                        + b"\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                        b"0\r\n\r\nPOST /book/2 HTTP/1.1\r\n\r\n")
            self.assertIn(b" 400 ", raw.recv(4096))
        self.assertEqual(self.fleet.runs("s1"), 0)

    def test_a_caller_disconnect_closes_the_engine_connection(self):
        self.each_engine("engines", events=400)
        raw = socket.create_connection(("127.0.0.1", self.port), timeout=5)
        raw.sendall(b"POST /stream/1 HTTP/1.1\r\nHost: rounds.example\r\nContent-Length: 0\r\n"
                    b"Quincefall-Request-Id: g1\r\nQuincefall-Credential: " + KEY.encode()
                    + b"\r\n\r\n")
        raw.recv(100)
        raw.close()
        wait_for(lambda: sum(e.aborted_streams["g1"] for e in self.fleet.engines.values()) == 1,
                 "the engine's connection to be closed", 3)

    def test_fails_over_from_an_engine_that_does_not_respond(self):
        self.fleet.engines["e1"].fault = "hang"
        for number in range(3):
            answer = ask(self.port, f"m{number}", "/stream/1", "POST", b"x")
            self.assertEqual((answer.status, answer.body), (200, complete_stream()))

    def test_the_log_shows_the_cause_of_a_failed_request(self):
        self.each_engine("desk", fault="full")
        ask(self.port, "log1", "/book/1", "POST", b"x")
        wait_for(lambda: any("request=log1" in line for line in self.fleet.hosts[0].lines()),
                 "the log line of the request")
        line = next(line for line in self.fleet.hosts[0].lines() if "request=log1" in line)
        for part in ("status=503", "run=not-run", "without running it", "version=1"):
            self.assertIn(part, line)


class RouteChangeTest(unittest.TestCase):
    """Each test changes the platform or stops the host, so each starts its own fleet."""

    def setUp(self):
        self.fleet = RouteFleet()
        self.fleet.__enter__()
        self.port = self.fleet.hosts[0].caller

    def tearDown(self):
        self.fleet.__exit__()
        self.assertEqual(self.fleet.codes, [0])

    def test_a_draining_upstream_gets_no_new_requests(self):
        self.fleet.store.put("keyed.servers", "d1", self.fleet.engines["d1"].entry("draining", 9))
        time.sleep(1.0)
        before = sum(self.fleet.engines["d1"].runs.values())
        for number in range(10):
            self.assertEqual(ask(self.port, f"l{number}").status, 200)
        self.assertEqual(sum(self.fleet.engines["d1"].runs.values()), before)

    def test_ignores_invalid_store_entries(self):
        for value in ({"service": 5}, {"state": "asleep"}, ["x"]):
            self.fleet.store.put("keyed.servers", "strange", value)
        self.fleet.store.put("keyed.op", "config", {"version": "x"})
        time.sleep(0.6)
        self.assertEqual(ask(self.port, "z1").status, 200)

    def test_applies_a_new_desired_state_and_ignores_an_older_one(self):
        state = desired_state(5)
        state["routes"] = state["routes"][:1]
        self.fleet.store.put("keyed.op", "config", state)
        wait_for(lambda: ask(self.port, "v").status == 404, "the route to be removed", 2)
        self.fleet.store.put("keyed.op", "config", desired_state(4))
        time.sleep(0.4)
        self.assertEqual(ask(self.port, "v2").status, 404)

    def test_stop_finishes_running_requests_and_closes_connections(self):
        each_engine(self.fleet, "engines", events=60)
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            ask(self.port, "t1", "/stream/1", "POST", b"x")))
        caller.start()
        kept = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        kept.connect()
        time.sleep(0.3)
        self.fleet.hosts[0].send(signal.SIGTERM)
        # A question that arrives together with the signal may be answered before it.
        wait_for(lambda: any("host stopping" in line for line in self.fleet.hosts[0].lines()),
                 "the signal to be handled", 1)
        self.assertFalse(self.fleet.hosts[0].is_ready())
        kept.request("GET", "/read/1", headers={
            "Host": "rounds.example", "Quincefall-Request-Id": "t2",
            "Quincefall-Credential": KEY})
        answer = kept.getresponse()
        self.assertEqual((answer.status, answer.getheader("Connection")), (200, "close"))
        caller.join()
        self.assertEqual(answers[0].body, complete_stream(60))


class RouteFleetTest(unittest.TestCase):
    def test_an_upstream_that_accepts_no_connection_delays_one_request(self):
        with RouteFleet() as fleet, FullBacklogPort() as full_port:
            entry = fleet.engines["e1"].entry()
            # Its name sorts first, so it is preferred until the host excludes it.
            fleet.store.put("keyed.servers", "e0",
                            dict(entry, address=f"127.0.0.1:{full_port.port}"))
            host = fleet.hosts[0]
            wait_for(lambda: any("upstream=e0" in line for line in host.lines()),
                     "the host to read the entry")
            slow = 0
            for number in range(60):
                begun = time.monotonic()
                answer = ask(host.caller, f"k{number}", "/stream/1", "POST", b"x")
                self.assertEqual((answer.status, answer.body), (200, complete_stream()))
                slow += time.monotonic() - begun > 0.39  # The connect timeout.
            self.assertEqual(slow, 1)
            full_port.open()

            def is_connected():
                ask(host.caller, "s", "/stream/1", "POST", b"x")
                return any("upstream connected again upstream=e0" in line for line in host.lines())

            wait_for(is_connected, "the host to connect again")

    def test_a_host_without_store_access_gets_changes_from_peers(self):
        with RouteFleet(hosts=3, own_stores=1) as fleet:
            wait_for(lambda: all(any("hosts known others=2" in line for line in host.lines())
                                 for host in fleet.hosts), "the hosts to discover each other")
            fleet.own_stores[0].mode = "refuse"
            # A long poll that is already pending would still deliver the change.
            wait_for(lambda: any("store lost" in line for line in fleet.hosts[2].lines()),
                     "the host to lose the store")
            time.sleep(2)
            fleet.store.put("keyed.servers", "d1", fleet.engines["d1"].entry("draining", 9))
            state = desired_state(2)
            state["routes"] = state["routes"][1:]
            fleet.store.put("keyed.op", "config", state)
            isolated = fleet.hosts[2].caller
            wait_for(lambda: ask(isolated, "p", "/stream/1", "POST", b"x").status == 404,
                     "the host without store access to apply the change", 3)
            time.sleep(1)
            before = sum(fleet.engines["d1"].runs.values())
            for number in range(10):
                self.assertEqual(ask(isolated, f"l{number}").status, 200)
            self.assertEqual(sum(fleet.engines["d1"].runs.values()), before)
        self.assertEqual(fleet.codes, [0, 0, 0])

    def test_a_large_desired_state_is_sent_to_one_other_host_at_a_time(self):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            # Larger than what the sockets' buffers take.
            fleet.store.put("keyed.op", "config", desired_state(2, padding="x" * 16_000_000))
            wait_for(lambda: any("desired state in force" in line and "version=2" in line
                                 for line in host.lines()), "version 2")

            def query():
                peer = socket.create_connection((host.ip, host.peer), timeout=5)
                peer.sendall(b"GET /desired-state?after=0 HTTP/1.1\r\nHost: h\r\n\r\n")
                return peer, peer.recv(12)

            slow, status = query()
            self.assertEqual(status, b"HTTP/1.1 200")
            other, status = query()
            self.assertEqual(status, b"HTTP/1.1 503")
            slow.close()
            other.close()

            def is_answered():
                peer, status = query()
                peer.close()
                return status == b"HTTP/1.1 200"

            wait_for(is_answered, "the next host to be answered", 3)
        self.assertEqual(fleet.codes, [0])

    def test_requests_are_served_during_a_store_outage(self):
        with RouteFleet(hosts=2) as fleet:
            fleet.store.mode = "refuse"
            for number in range(20):
                self.assertEqual(ask(fleet.hosts[number % 2].caller, f"o{number}").status, 200)
                time.sleep(0.05)
            fleet.store.mode = "ok"
            fleet.store.put("keyed.op", "config", desired_state(2, routes=[]))
            for host in fleet.hosts:
                wait_for(lambda host=host: ask(host.caller, "q").status == 404,
                         f"{host.name} to apply the change", 3)
        self.assertEqual(fleet.codes, [0, 0])


if __name__ == "__main__":
    unittest.main()
