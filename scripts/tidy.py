"""Runs clang-tidy in parallel on the compiled sources and caches clean results.

A source is skipped when a cached result exists for the same source, included project headers,
.clang-tidy and compile command.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"))
CACHE = CACHE / "quincefall-tidy"


def included_headers(source, seen):
    """Adds the project headers that `source` includes directly or indirectly to `seen`."""
    for line in source.read_text().splitlines():
        if not line.startswith('#include "'):
            continue
        name = line.split('"')[1]
        for folder in ("src", "tests", "tools", "bench", "."):
            header = ROOT / folder / name
            if header.exists() and header not in seen:
                seen.add(header)
                included_headers(header, seen)
    return seen


def key_of(entry, arguments):
    digest = hashlib.sha256()
    source = pathlib.Path(entry["file"])
    for path in [ROOT / ".clang-tidy", source, *sorted(included_headers(source, set()))]:
        digest.update(path.read_bytes())
    digest.update(" ".join(arguments).replace(str(ROOT), "").encode())
    return digest.hexdigest()


def compile_arguments(entry):
    """Returns the flags for clang: no launcher, no output, no precompiled header of gcc."""
    words = shlex.split(entry["command"])
    kept = []
    skip = False
    for word in words[1:]:
        if skip:
            skip = False
        elif word in ("-o", "-include", "-c"):
            skip = word != "-c"
        elif word.startswith(("-I", "-D", "-std", "-isystem")) or kept and kept[-1] == "-isystem":
            kept.append(word)
    return kept + ["-D__cpp_impl_coroutine=201902L", "-Wno-everything"]


def check(entry):
    arguments = compile_arguments(entry)
    marker = CACHE / key_of(entry, arguments)
    if marker.exists():
        return ""
    command = ["clang-tidy", "--quiet", f"--config-file={ROOT}/.clang-tidy", entry["file"], "--"]
    done = subprocess.run(command + arguments, capture_output=True, text=True, cwd=ROOT)
    if done.returncode == 0:
        marker.touch()
        return ""
    return done.stdout + "\n".join(
        line for line in done.stderr.splitlines() if "warnings generated" not in line)


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    entries = json.loads(pathlib.Path(sys.argv[1]).read_text())
    entries = [e for e in entries if e["file"].endswith(".cpp") and "/build" not in e["file"]]
    entries = list({e["file"]: e for e in entries}.values())
    workers = int(os.environ.get("JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        findings = [text for text in pool.map(check, entries) if text]
    for text in findings:
        print(text)
    print(f"linter: {len(entries)} files, {len(findings)} with findings")
    sys.exit(1 if findings else 0)


main()
