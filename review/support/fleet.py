"""Starts hosts as the deploy file does, against the stand-ins, with the figures of a small
deployment. Each host has a loopback address of its own."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

from support.standins import Engine, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "quincefall"
RUN = [str(PROGRAM), "route"]  # `run` of the deploy file's only role.
AUTHORITY = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


class CannotRun(Exception):
    """The case could not be carried out; says nothing of the rule."""


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


def desired_state(version=1):
    def route(name, prefix, kind, service, **more):
        return dict({"name": name, "authority": AUTHORITY, "path_prefix": prefix,
                     "route_type": kind, "timeout_ms": 5000, "target_latency_ms": 1000,
                     "priority": 1, "service": service, "max_attempts": 2, "auth_exempt": False},
                    **more)
    return {
        "version": version,
        "routes": [route("shift-confirm", "/confirm/", "non_idempotent", "shift-desk",
                         max_attempts=1),
                   route("roster-read", "/read/", "idempotent", "shift-desk"),
                   route("cover-query", "/query/", "streaming", "roster-assistant",
                         stream_resume=True, gap_aim_ms=300)],
        "services": [{"name": "shift-desk", "max_connections": 100},
                     {"name": "roster-assistant", "max_connections": 360}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Host:
    def __init__(self, name, ip, exchange_port, store, seeds, folder, duties=""):
        self.name = name
        self.ip = ip
        self.front = free_port(ip)
        self.ready = free_port(ip)
        self.control = free_port(ip)
        self.process = None
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.yaml"
        self.settings_path.write_text(f"""host:
  name: "{name}"
  region: "uusimaa"
  failure_domain: "espoo"
listen:
  caller: "{ip}:{self.front}"
  ready: "{ip}:{self.ready}"
  peer: "{ip}:{self.control}"
  exchange: "{ip}:{exchange_port}"
fleet:
  store: "{store}"
  seeds: [{", ".join(f'"{seed}"' for seed in seeds)}]
  failure_domains:
    - {{name: espoo, region: uusimaa}}
log:
  target: stdout
bounds:
  link_mbps: 1000.0
  leave_ms: 2500
  apply_ms: 2500
  stop_s: 8
  further_attempt_ratio: 0.2
  further_attempt_slack: 54
  further_attempt_window_s: 10
{duties}""", encoding="utf-8")

    def start(self):
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                       "QUINCEFALL_CONFIG": str(self.settings_path)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(RUN, cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if not self.process:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """A store, servers of the two services, and hosts."""

    def __init__(self, hosts=1, desks=2, assistants=2, duties="", prefix="127.0.4"):
        if not PROGRAM.exists():
            raise CannotRun("target/quincefall is missing: run the build of deploy/system.toml")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="quincefall-review-"))
        self.prefix = prefix
        self.store = Store()
        self.engines = [Engine(f"i-desk{number}", "shift-desk") for number in range(desks)]
        self.engines += [Engine(f"i-asst{number}", "roster-assistant")
                         for number in range(assistants)]
        self.count = hosts
        self.duties = duties
        self.hosts = []
        self.tasks = []

    async def __aenter__(self):
        await self.store.server.listen()
        for engine in self.engines:
            await engine.server.listen()
            self.store.put("keyed.servers", engine.identity, engine.entry())
        self.store.put("keyed.op", "config", desired_state())
        exchange = free_port(f"{self.prefix}.1", socket.SOCK_DGRAM)
        for number in range(1, self.count + 1):
            seeds = [f"{host.ip}:{host.control}" for host in self.hosts][:3]
            self.hosts.append(Host(f"edge-espoo-{number}", f"{self.prefix}.{number}", exchange,
                                   self.store.server.address(), seeds, self.folder, self.duties))
        for host in self.hosts:
            host.start()
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        try:
            end = time.monotonic() + 20
            for host in self.hosts:
                while not await host.is_ready():
                    if time.monotonic() > end or host.process.poll() is not None:
                        raise CannotRun(f"{host.name} did not get ready")
                    await asyncio.sleep(0.05)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.store.is_down:
                for engine in self.engines:
                    self.store.put("keyed.servers", engine.identity, engine.entry())

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.end()
        for engine in self.engines:
            engine.server.close()
        self.store.server.close()

    def runs_of(self, request):
        return [(engine, run) for engine in self.engines for run in engine.runs_of(request)]
