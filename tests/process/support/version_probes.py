"""Probes that tell which versions of the desired state are in force at each host."""

import asyncio
import random
import re
import time

from support.stream_callers import Attempt, Caller

APPLY_SECONDS = 1.0  # As in the hosts' settings.
SLACK_SECONDS = 0.4
SETTLE_SECONDS = 4.0  # After a disturbance, until a host counts as sound.
PROBE_SECONDS = 2.0
PROBES_PER_SECOND = 300  # Of all hosts.
REFUSED_LINE = re.compile(r"request refused request=(probe-\S+) status=503 .* version=(\d+) ")


class VersionProbes:
    """Asks each host for the route that a version added; see slow_reads.add_routes()."""

    def __init__(self, report, seed):
        self.report = report
        self.seed = seed
        self.random = random.Random(f"{seed}/probes")
        self.written = []  # (time, version)
        self.disturbed = []  # (host, begin, end)
        self.probes = []  # (attempt, version)

    def note_written(self, version):
        self.written.append((time.monotonic(), version))

    def note_disturbed(self, hosts, begun):
        self.disturbed += [(host, begun, time.monotonic()) for host in hosts]

    def newest_due(self, now):
        """The newest version that has to be in force, or None."""
        before = now - APPLY_SECONDS - SLACK_SECONDS
        return max((version for at, version in self.written if at <= before), default=None)

    async def run(self, host, hosts, end):
        caller = Caller(f"probe-{host.name}-", [host], self.report, self.seed, kept_share=0.9)
        number = 0
        while time.monotonic() < end:
            await asyncio.sleep(hosts / PROBES_PER_SECOND)
            if self.written:
                number += 1
                await self.probe(caller, Attempt(f"{caller.name}{number}", host))
        for one in caller.idle:
            one.close()

    async def probe(self, caller, attempt):
        version = self.random.choice((self.newest_due(attempt.begun), self.written[-1][1]))
        if version is None:
            version = self.written[-1][1]

        async def read(connection, head):
            async for _ in connection.pieces(head):
                pass

        self.report.calls[attempt.request] = ("probe", [attempt])
        await caller.attempt(attempt, True, "GET", f"/new{version}/{attempt.request}", {},
                             attempt.begun + PROBE_SECONDS, read)
        self.probes.append((attempt, version))

    def is_sound(self, attempt):
        """Whether its host was undisturbed for a while before the attempt, and until its end."""
        begin, end = attempt.begun - SETTLE_SECONDS, attempt.begun + attempt.took
        return not any(host is attempt.host and first <= end and last >= begin
                       for host, first, last in self.disturbed)

    def check(self, killed, logs):
        """CONFIG and LATE for versions that are not in force in time, with 404 and 503, and STEP-BACK
        for those that no longer are.

        `killed` has the time and the host of each kill, `logs` the lines of each host.
        """
        versions = {found[1]: int(found[2]) for lines in logs.values() for line in lines
                    if (found := REFUSED_LINE.search(line))}
        in_force = {}  # By host, the newest version that was served, and when.
        counts = self.report.counts
        for attempt, version in self.probes:
            due = self.newest_due(attempt.begun)
            must_serve = due is not None and version <= due and self.is_sound(attempt)
            counts["probes"] += 1
            counts["probes of versions that are due"] += must_serve
            counts["probes served"] += attempt.status == 200
            newest, served = in_force.get(attempt.host, (0, 0))
            if any(host is attempt.host and served <= at <= attempt.begun for at, host in killed):
                newest = 0
            is_old = attempt.status == 404 or versions.get(attempt.request, version) < version
            if is_old and must_serve:
                self.report.add("CONFIG" if attempt.status == 404 else "LATE", attempt.request,
                                f"{attempt}: {self.lateness(attempt, version)}")
            if is_old and version <= newest:
                self.report.add("STEP-BACK", attempt.request, f"{attempt}: {version} after {newest}")
            if attempt.status == 200:
                in_force[attempt.host] = (max(newest, version), attempt.begun)

    def lateness(self, attempt, version):
        written = next(at for at, one in self.written if one == version)
        return f"version {version} after {attempt.begun - written:.2f} s"
