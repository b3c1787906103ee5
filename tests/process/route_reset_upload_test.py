"""An answer whose engine resets the connection during the upload is not taken for whole."""

import socket
import unittest

from support.route_fleet import KEY, TRUST, RouteFleet, ask, desired_state, wait_for
from support.stranded_fleet import StrandedFleet, has_line, run_callers, settle
from support.upload_engine import LONG_UPLOAD, UploadEngine

UPLOAD = b"u" * 8_000_000  # More than the kernel's buffers take.
SIZES = (LONG_UPLOAD, 3 * LONG_UPLOAD, len(UPLOAD))  # The kernel takes the first ones at once.
EVENTS = [f"id: {number}\ndata: {number}\n\n".encode() for number in range(1, 5)]
BUDGET = ", further_attempt_slack: 5000"
PATHS = ("/read/", "/book/", "/stream/", "/once/")


class UploadFleet(RouteFleet):
    engine_type = UploadEngine

    def __init__(self, more_bounds="", **more):
        super().__init__(more_bounds=more_bounds + BUDGET, **more)
        state = desired_state(2)
        state["limits"]["max_body_bytes"] = 2 * len(UPLOAD)
        self.store.put("keyed.op", "config", state)
        for name, engine in self.engines.items():
            engine.pieces = EVENTS if name.startswith("e") else [b"first", b"second", b"third"]

    def end_with(self, end, names=("d1", "d2", "e1", "e2")):
        for name in names:
            self.engines[name].end = end


class StrandedUploadFleet(UploadFleet, StrandedFleet):
    """A host that reaches its engines through the other hosts alone."""

    def __enter__(self):
        super().__enter__()
        host = self.hosts[0]
        settle(self)
        self.cut("hang")

        def is_isolated():
            run_callers([host], 0.2)
            return has_line(host, "host cut off from upstreams")

        wait_for(is_isolated, "the host to notice", 5)
        return self


def upload(fleet, request, path, body=UPLOAD):
    return ask(fleet.hosts[0].caller, request, path + request, "POST", body)


def upload_as_http_1_0(fleet, request, path):
    """The body that a caller of HTTP/1.0 gets; None if its connection was reset."""
    with socket.create_connection(("127.0.0.1", fleet.hosts[0].caller), 10) as connection:
        connection.sendall(f"POST {path}{request} HTTP/1.0\r\nHost: rounds.example\r\n"
                           f"Quincefall-Request-Id: {request}\r\nQuincefall-Credential: {KEY}\r\n"
                           f"Quincefall-Deadline-Ms: 4000\r\nContent-Length: {len(UPLOAD)}\r\n\r\n"
                           .encode() + UPLOAD)
        received = b""
        try:
            while piece := connection.recv(65536):
                received += piece
        except ConnectionResetError:
            return None
        return received


class ResetUploadTest(unittest.TestCase):
    def check_ends(self, end, more_bounds=""):
        wrong = []
        with UploadFleet(more_bounds=more_bounds) as fleet:
            fleet.end_with(end)
            for path in PATHS:
                for number in range(6):
                    request = f"{end}{path.strip('/')}{number}"
                    answer = upload(fleet, request, path, UPLOAD[:SIZES[number % 3]])
                    self.assertGreater(fleet.runs(request), 0)
                    if answer.status == 200 and answer.is_whole:
                        wrong.append((request, answer.body))
            ended = sum(len(engine.early_ends) for engine in fleet.engines.values())
            lines = [line for line in fleet.hosts[0].lines() if "request ended" in line]
        self.assertGreaterEqual(ended, 24)
        for request, _ in wrong[:4]:
            print(*[line for line in lines if f"request={request} " in line], sep="\n")
        print(f"{end}{more_bounds}: {len(wrong)} wrong of {ended}", flush=True)
        self.assertEqual(wrong, [])

    def test_an_answer_is_not_whole_whose_engine_resets_it_during_the_upload(self):
        self.check_ends("reset")

    def test_an_answer_is_not_whole_whose_engine_closes_it_during_the_upload(self):
        self.check_ends("close")

    def test_an_answer_is_not_whole_that_ends_in_order_during_the_upload(self):
        self.check_ends("shutdown")

    def test_a_reset_during_the_upload_is_not_an_end_that_was_declared_whole(self):
        self.check_ends("reset", TRUST)

    def test_a_close_during_the_upload_is_not_an_end_that_was_declared_whole(self):
        self.check_ends("close", TRUST)

    def test_an_end_in_order_during_the_upload_is_not_one_that_was_declared_whole(self):
        self.check_ends("shutdown", TRUST)

    def test_a_caller_of_http_1_0_sees_that_the_answer_was_reset_during_the_upload(self):
        with UploadFleet() as fleet:
            fleet.end_with("reset")
            for path in ("/book/", "/once/"):
                for number in range(4):
                    body = upload_as_http_1_0(fleet, f"old{path.strip('/')}{number}", path)
                    self.assertTrue(body is None or b" 200 " not in body.split(b"\r\n")[0], body)

    def test_an_end_during_the_upload_is_not_whole_behind_a_relay(self):
        wrong = []
        with StrandedUploadFleet() as fleet:
            for end in ("reset", "close", "shutdown"):
                fleet.end_with(end)
                for size in SIZES:
                    request = f"{end}{size}"
                    answer = upload(fleet, request, "/read/", UPLOAD[:size])
                    self.assertGreater(fleet.runs(request), 0)
                    if answer.status == 200 and answer.is_whole:
                        wrong.append((request, answer.body))
            lines = [line for line in fleet.hosts[0].lines() if "request ended" in line]
        for request, _ in wrong:
            print(*[line for line in lines if f"request={request} " in line], sep="\n")
        self.assertEqual(wrong, [])

    def test_an_answer_with_a_length_is_whole_though_the_upload_was_not_read(self):
        with UploadFleet() as fleet:
            for engine in fleet.engines.values():
                engine.is_framed = True
            fleet.end_with("reset")
            for path in PATHS:
                answer = upload(fleet, f"framed{path.strip('/')}", path)
                self.assertEqual((answer.status, answer.is_whole), (200, True), path)

    def test_a_request_that_may_run_again_is_asked_of_an_engine_that_reads_it(self):
        with UploadFleet() as fleet:
            fleet.end_with("reset", ("d1",))
            fleet.engines["d2"].is_framed = True
            for number in range(6):
                answer = upload(fleet, f"again{number}", "/read/")
                self.assertEqual((answer.status, answer.body), (200, "firstsecondthird"))


if __name__ == "__main__":
    unittest.main()
