"""Starts hosts of the deploy file's program with settings like those of a small deployment.

The stand-ins of a case run on one event loop in this process; the hosts are separate processes.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "process"))

from support.platform_standin import Store  # noqa: E402
from support.ports import free_ports  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-stable"
HOST = "rounds.example"

# Bounds of the sheet of ratio-roster.
SETTINGS = """host: {{name: {name}, region: uusimaa, failure_domain: espoo}}
listen:
  caller: "127.0.0.1:{caller}"
  ready: "127.0.0.1:{ready}"
  peer: "{ip}:{peer}"
  exchange: "{ip}:{exchange}"
fleet:
  store: "127.0.0.1:{store}"
  seeds: {seeds}
  failure_domains: [{{name: espoo, region: uusimaa}}]
log: {{target: stdout}}
bounds: {{link_mbps: 1000.0, memory_mb: 260, leave_ms: 2500, apply_ms: 2500, stop_s: 8,
  further_attempt_ratio: 0.2, further_attempt_slack: 54, further_attempt_window_s: 10}}
{more}"""


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "authority": HOST, "path_prefix": prefix, "route_type": kind,
              "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "service": service,
              "max_attempts": 2, "auth_exempt": False}
    return dict(fields, **more)


def desired_state(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "max_connections": 370} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "stable", "api_keys": [KEY], "priority": 1}]}


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """What was sent, answered and run; written to the case's record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        at = time.monotonic() - self.began
        print(f"{at:8.3f} s ", *words, file=self.file, flush=True)


class Host:
    """One process of the deploy file's role."""

    def __init__(self, folder, number, store_port, exchange, seeds, more=""):
        self.name = f"edge-espoo-{number}"
        self.ip = f"127.0.0.{number + 1}"
        self.caller, self.ready, self.peer = free_ports(3)
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "w+", encoding="utf-8")
        self.config = pathlib.Path(folder) / f"{self.name}.yaml"
        self.config.write_text(SETTINGS.format(
            name=self.name, caller=self.caller, ready=self.ready, peer=self.peer, ip=self.ip,
            exchange=exchange, store=store_port, seeds=json.dumps(seeds), more=more))
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [str(ROOT / "target" / "quincefall"), "route", "--config", str(self.config)],
            cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return line.split()[1] == b"200"
        except (OSError, IndexError, asyncio.TimeoutError):
            return False


async def until(condition, what, seconds=20):
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return
        if time.monotonic() > end:
            raise NotPossible(f"timed out waiting for {what}")
        await asyncio.sleep(0.02)


class NotPossible(Exception):
    """The case could not run."""


async def read_head(reader):
    """Status or request line and the fields, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return first, fields


def request_head(method, path, request_id, deadline_ms, body=b"", fields=()):
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nQuincefall-Request-Id: {request_id}\r\n"
    head += f"Quincefall-Deadline-Ms: {deadline_ms}\r\nQuincefall-Credential: {KEY}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_answer(reader):
    """Status, fields, body, and whether the answer is complete. Status 0: none came."""
    status, fields, body = 0, {}, b""
    try:
        first, fields = await read_head(reader)
        status = int(first.split()[1])
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return status, fields, body, True
                body += piece[:-2]
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
            return status, fields, body, True
        body = await reader.read()
        return status, fields, body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, fields, body, False


def run(record_path, play):
    """Runs `play(record, folder)`, which returns the breaks that it saw; returns the exit code."""
    record = Record(record_path)

    async def bounded():
        with tempfile.TemporaryDirectory() as folder:
            return await asyncio.wait_for(play(record, folder), 110)

    try:
        breaks = asyncio.run(bounded())
    except Exception as failure:  # Whatever it is, it shows no broken rule.
        record("the case could not run:", repr(failure))
        print("could not run:", repr(failure))
        return 2
    for line in breaks:
        record("BROKEN", line)
        print("BROKEN", line)
    record("rule broken" if breaks else "rule kept")
    print("rule broken" if breaks else "rule kept")
    return 1 if breaks else 0


async def start_store(desired, entries):
    store = Store(asyncio.get_running_loop())
    await store.server.listen()
    store.put("keyed.op", "config", desired)
    for name, entry in entries.items():
        store.put("keyed.servers", name, entry)
    return store


async def start_hosts(folder, count, store, record, more=""):
    exchange = free_ports(1)[0]
    hosts = []
    for number in range(1, count + 1):
        seeds = [f"{host.ip}:{host.peer}" for host in hosts[:3]]
        hosts.append(Host(folder, number, store.server.port, exchange, seeds, more))
    try:
        for host in hosts:
            host.start()
        for host in hosts:
            await until(host.is_ready, f"{host.name} to be ready")
    except BaseException:
        end_hosts(hosts)
        raise
    record("hosts ready:", *[host.name for host in hosts])
    return hosts


def end_hosts(hosts):
    for host in hosts:
        host.end()
