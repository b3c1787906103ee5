"""A caller that lost its connection resumes its stream through another host by request id."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import Fleet
from support.golden import check_golden

TOKENS = 200  # 4 s at 20 ms per token: longer than a host keeps a response without a reader
PROMPT = "shoeing plan of a grey mare"


class ConnectionLost(Exception):
    """Raised to drop the caller's connection in mid-stream."""


def read_tokens(fleet, host, request_id, count):
    """Reads `count` tokens of a new request, then drops the connection."""
    taken = []

    def on_token(number):
        if number >= count:
            raise ConnectionLost

    stream = client.Stream()
    try:
        fleet.stream(host, PROMPT, TOKENS, request_id, on_token=on_token)
    except ConnectionLost:
        taken = [client.expected_token(PROMPT, number) for number in range(1, count + 1)]
    return taken, stream


def resume_stream(fleet, host, request_id, after):
    headers = {**fleet.headers(request_id), "Last-Event-ID": str(after)}
    return client.stream_chat(fleet.hosts[host].caller, PROMPT, TOKENS, headers=headers)


def check_resume(fleet, lines, label, first, second, request_id, after, between=None):
    taken, _ = read_tokens(fleet, first, request_id, after)
    if between:
        between()
    rest = resume_stream(fleet, second, request_id, after)
    joined = "".join(taken) + rest.text()
    runs = fleet.standins["engine-1"].runs()[f"daycare.{request_id}"]
    lines.append(f"{label}: complete={joined == client.expected_text(PROMPT, TOKENS)}"
                 f" end mark={rest.is_done} attempts on the engine={runs['attempts']}")


def main():
    lines = []
    with Fleet() as fleet:
        fleet.start_engine("engine-1", token_delay_ms=20)
        fleet.start_hosts(3)
        fleet.publish_defaults()
        fleet.wait_ready()
        check_resume(fleet, lines, "same host", "h1", "h1", "back-1", 10)
        check_resume(fleet, lines, "another host", "h1", "h2", "back-2", 10)
        check_resume(fleet, lines, "another host after the first was killed", "h1", "h3",
                     "back-3", 10, between=fleet.hosts["h1"].process.kill)
        late = resume_stream(fleet, "h2", "back-4", 25)
        tail = "".join(client.expected_token(PROMPT, n) for n in range(26, TOKENS + 1))
        lines.append(f"resume of a request that no host runs: complete={late.text() == tail}"
                     f" end mark={late.is_done}")
        taken, _ = read_tokens(fleet, "h2", "back-5", 5)
        reused = client.send(fleet.hosts["h2"].caller, "POST", "/v1/chat/completions",
                             client.chat_body("another horse", 3), fleet.headers("back-5"))
        lines.append(f"running id reused for another prompt: {reused.status}"
                     f" code={reused.json()['code']}")
        without_id = client.stream_chat(
            fleet.hosts["h2"].caller, PROMPT, TOKENS,
            headers={**fleet.headers(), "Last-Event-ID": "3"})
        lines.append(f"resume without a request id: {without_id.status}")
        del fleet.hosts["h1"]
    check_golden("returning_caller.txt", lines)


main()
