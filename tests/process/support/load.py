"""Concurrent callers that check every response."""

import threading

from support import client


def run_all(count, work):
    """Runs work(0) ... work(count - 1) in parallel threads; returns the results in index order."""
    results = [None] * count
    threads = []

    def run(index):
        results[index] = work(index)

    for index in range(count):
        threads.append(threading.Thread(target=run, args=(index,), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return results


class SteadyLoad:
    """Callers that each send streamed requests in sequence until the with block ends.

    Every second caller reuses its connections. If a host refuses the connection, the caller tries
    the next host, as the platform's load balancer does; any other response that is not complete
    counts as a failure.
    """

    def __init__(self, fleet, callers=6, tokens=10, hosts=None):
        self._fleet = fleet
        self._tokens = tokens
        self._hosts = hosts or (lambda: list(fleet.hosts))
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.complete = 0
        self.failures = []
        self._threads = [threading.Thread(target=self._run, args=(index,), daemon=True)
                         for index in range(callers)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller):
        number = 0
        connections = {} if caller % 2 else None
        while not self._stopped.is_set():
            number += 1
            self._send_next(caller, number, connections)
        for connection in (connections or {}).values():
            connection.close()

    def _send_next(self, caller, number, connections):
        prompt = f"caller {caller} question {number}"
        names = self._hosts()
        for offset in range(len(names)):
            host = self._fleet.hosts.get(names[(caller + number + offset) % len(names)])
            if host is None:
                continue
            answer = client.stream_chat(host.caller, prompt, self._tokens,
                                        headers=self._fleet.headers(),
                                        connections=connections)
            if answer.error == "ConnectionRefusedError":
                continue
            with self._lock:
                if client.is_whole(answer, prompt, self._tokens):
                    self.complete += 1
                else:
                    self.failures.append((host.name, answer))
            return
        with self._lock:
            self.failures.append(("no host", prompt))
