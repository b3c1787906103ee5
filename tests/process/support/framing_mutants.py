"""Requests whose body holds the text of another one, framed in all sorts of ways."""

import random

VERSIONS = ["HTTP/1.1"] * 30 + ["HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "HTTP/1.1 ", "HTTP/1.01"]
METHODS = ["POST"] * 16 + ["GET", "HEAD", "PUT", "DELETE", "CONNECT", "TRACE", "OPTIONS", "post", "BREW"]
NAMES = {"length": ["Content-Length"] * 12 + ["content-length", "CONTENT-LENGTH", "Content-Length "],
         "coding": ["Transfer-Encoding"] * 12 + ["transfer-encoding", "Transfer-Encoding\t"]}
CODINGS = ["chunked"] * 16 + ["Chunked", "chunked ", "\tchunked", "gzip, chunked", "chunked, chunked",
           "chunked, identity", "identity", "xchunked", "chunked;q=1", "\"chunked\"", "chunked,",
           "chun\r\n ked", "\r\n chunked", "\x0bchunked", "chunked\x00", "gzip"]
BLANKS = [": "] * 8 + [":", ":\t", ": \t ", " : "]
LINE_ENDS = ["\r\n"] * 100 + ["\n", "\r", "\r\r\n", "\r\n "]
CONNECTIONS = ["", "", "", "Connection: close", "Connection: keep-alive",
               "Connection: Transfer-Encoding", "Connection: Content-Length, close",
               "Connection: Upgrade\r\nUpgrade: h2c", "Expect: 100-continue", "TE: trailers"]


def lengths(size):
    return [str(size)] * 12 + ["0", f"+{size}", f"-{size}", f"0{size}", f"{size}, {size}", f"0, {size}",
                              f"{size};", f"0x{size:x}", f"{size}.0", f" {size} ", f"{size}\x0b", "",
                              str(2 ** 64 + size), f"{size}\r\n 0"]


def chunk_sizes(size):
    return [f"{size:x}"] * 16 + [f"{size:X}", f"0{size:x}", f"{size:x};a=b", f"{size:x} ;a", f"+{size:x}",
                                f"0x{size:x}", f" {size:x}", f"{size:x}\t", f"{2 ** 64 + size:x}",
                                f"-{size:x}", f"{size:x};\"\r\n\"", "0", f"{size:x}\n"]


def in_chunks(rng, body):
    end = rng.choice(["\r\n"] * 20 + ["\n", "\r"])
    trailer = rng.choice([""] * 4 + ["X-A: b\r\n", "Content-Length: 5\r\n", "Connection: close\r\n"])
    return f"{rng.choice(chunk_sizes(len(body)))}\r\n{body}{end}0\r\n{trailer}\r\n"


def framing_field(rng, kind, size):
    value = rng.choice(lengths(size) if kind == "length" else CODINGS)
    return rng.choice(NAMES[kind]) + rng.choice(BLANKS) + value


def make_mutant(rng, path, fields, hidden):
    """A request for `path` with `fields`, and `hidden` as its body: at least one field says so, but
    it may be spoilt, or another one may contradict it."""
    kind = rng.choice(["length", "coding"])
    body = in_chunks(rng, hidden) if kind == "coding" else hidden
    lines = [framing_field(rng, kind, len(body))]
    while rng.random() < 0.25:
        lines.append(framing_field(rng, rng.choice(["length", "coding"]), len(body)))
    # Without a body in any reading, what follows would be a request of the sender's own.
    if not any(names_a_body(line, len(body)) for line in lines):
        lines.append(f"Content-Length: {len(body)}")
    lines += [*fields, rng.choice(CONNECTIONS)]
    rng.shuffle(lines)
    head = f"{rng.choice(METHODS)} {path} {rng.choice(VERSIONS)}\r\n"
    for line in lines:
        head += line + rng.choice(LINE_ENDS) if line else ""
    return (head + "\r\n" + body).encode("latin-1")


def names_a_body(line, size):
    name, _, value = line.partition(":")
    return value.strip().lower() == ("chunked" if "transfer" in name.lower() else str(size))


def pieces(rng, data):
    """`data` in one to four parts."""
    cuts = sorted(rng.randrange(1, len(data)) for _ in range(rng.choice([0, 0, 1, 3])))
    return [data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)]) if end > start]
