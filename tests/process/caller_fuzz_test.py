"""Malformed and mutated caller requests get an expected status or a closed connection; the host
does not crash."""

import json
import random
import socket
import threading

from support import client
from support.fleet import Fleet
from support.golden import check_golden

SEED = 20261203
MUTANTS = 1500
THREADS = 6
READ_LIMIT_S = 5


def valid_request(fleet, rng):
    path = rng.choice(["/v1/chat/completions", "/v1/models", "/services/shift-desk/bookings"])
    body = json.dumps(client.chat_body("naps", 1, stream=rng.random() < 0.5)).encode()
    headers = {**fleet.headers(key="fuzz"), "Host": "x", "Content-Length": str(len(body)),
               "Connection": "close"}
    lines = [f"{'GET' if path == '/v1/models' else 'POST'} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def mutate(data, rng):
    data = bytearray(data)
    for _ in range(rng.randint(1, 8)):
        position = rng.randrange(len(data))
        kind = rng.randrange(4)
        if kind == 0:
            data[position] = rng.randrange(256)
        elif kind == 1:
            del data[position:position + rng.randint(1, 20)]
        elif kind == 2:
            data[position:position] = bytes(rng.randrange(256) for _ in range(rng.randint(1, 20)))
        else:
            data[position:position] = data[max(0, position - 40):position]
        if not data:
            return b"\r\n"
    return bytes(data)


def exchange(address, data):
    """Sends the bytes, shuts down the sending side and returns the response's status line."""
    ip, port = address.rsplit(":", 1)
    with socket.create_connection((ip, int(port)), READ_LIMIT_S) as connection:
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            return connection.recv(4096).split(b"\r\n")[0]
        except OSError:
            return b""


def run_share(fleet, address, number, statuses):
    rng = random.Random(SEED + number)
    for _ in range(MUTANTS // THREADS):
        line = exchange(address, mutate(valid_request(fleet, rng), rng))
        statuses.append(int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0)


def main():
    lines = []
    with Fleet() as fleet:
        fleet.start_engine("engine-1")
        fleet.start_service("desk-1")
        fleet.start_hosts(1)
        fleet.publish_defaults()
        fleet.wait_ready()
        statuses = []
        threads = [threading.Thread(target=run_share,
                                    args=(fleet, fleet.hosts["h1"].caller, number, statuses))
                   for number in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        known = {0, 200, 400, 401, 403, 404, 405, 413, 422, 502, 503}
        lines.append(f"mutants sent: {len(statuses)}, odd statuses: {sorted(set(statuses) - known)}")
        lines.append(f"refused as malformed: {statuses.count(400) > MUTANTS // 20}")
        huge = exchange(fleet.hosts["h1"].caller,
                        b"GET /v1/models HTTP/1.1\r\nX: " + b"a" * 40_000 + b"\r\n\r\n")
        lines.append(f"header over its limit: {huge.decode()}")
        lines.append(f"served afterwards: {fleet.chat('h1', 'naps', 2).status}")
        lines.append(f"exit codes: {sorted(fleet.stop().values())}")
    check_golden("caller_fuzz.txt", lines)


main()
