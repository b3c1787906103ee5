"""HTTP client of the process tests: plain and streamed (SSE) responses, and their checks."""

import dataclasses
import http.client
import json

from support.xxh64 import xxh64

DEFAULT_TIMEOUT_S = 30


@dataclasses.dataclass
class Answer:
    """A response that was read to its end; status 0 means that the connection failed."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    def json(self):
        assert not self.error, f"no answer: {self.error}"
        return json.loads(self.body)


@dataclasses.dataclass
class Stream:
    """A streamed response: its tokens in order, and how it ended."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""  # set only when the response is not a stream
    tokens: list = dataclasses.field(default_factory=list)
    numbers: list = dataclasses.field(default_factory=list)
    ids: set = dataclasses.field(default_factory=set)
    finish_reason: str = ""
    is_done: bool = False
    usage: dict = None
    error: str = ""

    def text(self):
        return "".join(self.tokens)


def split_address(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def _connect(address, timeout_s):
    return http.client.HTTPConnection(*split_address(address), timeout=timeout_s)


def send(address, method, path, body=None, headers=None, timeout_s=DEFAULT_TIMEOUT_S):
    """Sends one request on a new connection; a `body` that is not bytes is sent as JSON."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    connection = _connect(address, timeout_s)
    try:
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read())
    except (OSError, http.client.HTTPException) as failure:
        return Answer(error=type(failure).__name__)
    finally:
        connection.close()


def chat_body(prompt, tokens, model="m", stream=True):
    return {
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


def _take_event(stream, lines):
    data = "\n".join(line[6:] for line in lines if line.startswith("data: "))
    number = next((int(line[4:]) for line in lines if line.startswith("id: ")), None)
    if data == "[DONE]":
        stream.is_done = True
    elif data:
        event = json.loads(data)
        if "choices" not in event:
            stream.error = data
            return
        choice = event["choices"][0]
        stream.ids.add(event.get("id"))
        stream.usage = event.get("usage") or stream.usage
        content = choice["delta"].get("content")
        if content:
            stream.tokens.append(content)
            stream.numbers.append(number)
        stream.finish_reason = choice.get("finish_reason") or stream.finish_reason


def _read_events(stream, response, on_token):
    lines = []
    while not stream.is_done:
        line = response.readline().decode()
        if not line:
            return
        line = line.rstrip("\r\n")
        if line:
            lines.append(line)
            continue
        count = len(stream.tokens)
        _take_event(stream, lines)
        lines = []
        if on_token and len(stream.tokens) > count:
            on_token(len(stream.tokens))


def stream_chat(address, prompt, tokens, model="m", headers=None, on_token=None,
                timeout_s=DEFAULT_TIMEOUT_S, connections=None):
    """Requests a streamed chat completion; calls on_token(n) when the n-th token has arrived.

    If `connections` is given, it maps addresses to open connections, which are reused.
    """
    stream = Stream()
    connection = (connections or {}).get(address) or _connect(address, timeout_s)
    is_reusable = False
    try:
        body = json.dumps(chat_body(prompt, tokens, model)).encode()
        connection.request("POST", "/v1/chat/completions", body=body, headers=headers or {})
        response = connection.getresponse()
        stream.status = response.status
        stream.headers = dict(response.getheaders())
        if response.status == 200:
            _read_events(stream, response, on_token)
            is_reusable = response.read() == b"" and not response.will_close
        else:
            stream.body = response.read()
    except (OSError, http.client.HTTPException) as failure:
        stream.error = stream.error or type(failure).__name__
    if connections is not None and is_reusable:
        connections[address] = connection
    else:
        connection.close()
        (connections or {}).pop(address, None)
    return stream


def expected_token(prompt, number):
    digest = xxh64((prompt + str(number)).encode())
    return f" w{number}-{digest:016x}"[:len(f" w{number}-") + 8]


def expected_text(prompt, tokens):
    """The complete text that the stand-in engine generates for `prompt`."""
    return "".join(expected_token(prompt, number) for number in range(1, tokens + 1))


def is_whole(stream, prompt, tokens):
    """True when the stream has each expected token exactly once, in order, and the end mark."""
    return (stream.status == 200 and stream.is_done and stream.finish_reason == "stop"
            and stream.text() == expected_text(prompt, tokens))
