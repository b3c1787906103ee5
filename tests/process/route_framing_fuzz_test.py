"""Seeded fuzz of framing: no request hidden in the body of another one is run or answered, at any
port and in both roles."""

import random
import socket
import sys
import threading
import time

from support.fleet import Fleet
from support.framing_mutants import make_mutant, pieces
from support.route_fleet import KEY, RouteFleet, ask, desired_state, wait_for

SEED = 20261205
MUTANTS = 900  # At the callers' port; a third at each other one.
THREADS = 20
READ_LIMIT_S = 4
SERVE_READ_LIMIT_S = 0.7  # Its time limits are longer than the test; answers come at once.


def exchange(address, parts, limit_s):
    """Sends the parts and returns all that comes until the host closes the connection or is silent
    for `limit_s`."""
    got = b""
    with socket.create_connection(address, limit_s) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            for part in parts:
                connection.sendall(part)
                time.sleep(0.002 if len(parts) > 1 else 0)
            while piece := connection.recv(65536):
                got += piece
        except OSError:
            pass
    return got


def status_lines(answer):
    """Final answers; heads that begin inside a body would count as well."""
    return [line[9:12] for line in answer.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")
            and not line.startswith(b"HTTP/1.1 1")]


def run_mutants(address, count, seed, path, outer_fields, hidden_of, limit_s=READ_LIMIT_S):
    """Sends `count` mutants and returns those with more than one answer, and the names of those that
    were not refused for their framing."""
    twice, taken = [], []

    def share(thread):
        for number in range(thread, count, THREADS):
            rng = random.Random(f"{seed}/{address}/{number}")
            name = f"{address[1]}-{number}"
            data = make_mutant(rng, path, outer_fields(name), hidden_of(name))
            lines = status_lines(exchange(address, pieces(rng, data), limit_s))
            if len(lines) > 1:
                twice.append((number, lines, data))
            if lines and lines[0] not in (b"400", b"408", b"431"):
                taken.append(name)

    threads = [threading.Thread(target=share, args=(one,)) for one in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return twice, taken


def route_fields(name):
    return ["Host: rounds.example", f"Quincefall-Request-Id: outer-{name}",
            f"Quincefall-Credential: {KEY}", "Quincefall-Deadline-Ms: 2000"]


def hidden_call(name):
    lines = ["POST /book/hidden HTTP/1.1", "Host: rounds.example",
             f"Quincefall-Request-Id: hidden-{name}", f"Quincefall-Credential: {KEY}",
             "Content-Length: 4"]
    return "\r\n".join(lines) + "\r\n\r\nbook"


def hidden_get(path):
    return lambda name: f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"


def check(what, twice, taken):
    for number, lines, data in twice[:5]:
        print(f"{what}: mutant {number} got {lines}: {data!r}")
    print(f"{what}: {len(taken)} taken, {len(twice)} with more than one answer")
    assert not twice, what
    assert len(taken) > MUTANTS // 60, f"{what}: hardly any mutant was valid"


def fuzz_route(seed):
    fleet = RouteFleet(hosts=2)
    limits = {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 300,
              "idle_timeout_ms": 300}
    fleet.store.put("keyed.op", "config", desired_state(2, limits=limits))
    with fleet:
        host = fleet.hosts[0]
        check("callers' port", *run_mutants(("127.0.0.1", host.caller), MUTANTS, seed,
                                            "/book/outer", route_fields, hidden_call))
        heads = {}
        for engine in fleet.engines.values():
            heads.update(engine.request_heads)
        hidden = [request for request in heads if not request.startswith("outer-")]
        assert not hidden, f"ran, though sent only inside a body: {hidden}"
        for request, head in heads.items():
            body = hidden_call(request.removeprefix("outer-")).encode()
            assert head["body"] == body, f"{request} ran with another body: {head}"
        assert len(heads) > MUTANTS // 20, "hardly any mutant ran"
        for what, address, path in (
                ("ready port", ("127.0.0.1", host.ready), "/-/ready"),
                ("port between hosts", (host.ip, host.peer), "/metrics")):
            check(what, *run_mutants(address, MUTANTS // 3, seed, path, lambda _: ["Host: x"],
                                     hidden_get(path)))
        assert ask(host.caller, "afterwards").status == 200
    assert set(fleet.codes) == {0}, fleet.codes


def fuzz_serve(seed):
    with Fleet() as fleet:
        fleet.start_engine("engine-1")
        fleet.start_service("desk-1")
        fleet.start_hosts(1)
        fleet.publish_defaults()
        fleet.wait_ready()
        fields = [f"{name}: {value}" for name, value in
                  {**fleet.headers(key="fuzz"), "Host": "x", "Connection": "close"}.items()]
        for what, address in (("serve", fleet.hosts["h1"].caller),
                              ("operators' port", fleet.hosts["h1"].operator)):
            ip, port = address.rsplit(":", 1)
            check(what, *run_mutants((ip, int(port)), MUTANTS // 3, seed, "/v1/models",
                                     lambda _: fields, hidden_get("/v1/models"),
                                     SERVE_READ_LIMIT_S))
        codes = fleet.stop()
    assert set(codes.values()) == {0}, codes


def main():
    seed = sys.argv[1] if len(sys.argv) > 1 else SEED
    began = time.monotonic()
    fuzz_route(seed)
    fuzz_serve(seed)
    print(f"seed {seed}, {time.monotonic() - began:.0f} s")


main()
