"""Comparison of a test's transcript with its golden file."""

import difflib
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent.parent.parent / "golden" / "process"


def check_golden(name, lines):
    """Compares the transcript with tests/golden/process/<name> and exits if they differ.

    If QUINCEFALL_UPDATE_GOLDEN is set, the file is rewritten instead; this is an error in CI.
    """
    path = FOLDER / name
    actual = "".join(line + "\n" for line in lines)
    if os.environ.get("QUINCEFALL_UPDATE_GOLDEN"):
        if os.environ.get("CI"):
            sys.exit("golden files are not updated in CI")
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(actual, encoding="utf-8")
        return
    expected = path.read_text(encoding="utf-8") if path.exists() else ""
    if expected != actual:
        sys.stderr.writelines(difflib.unified_diff(
            expected.splitlines(True), actual.splitlines(True), f"golden/{name}", "actual"))
        sys.exit(f"the transcript differs from golden/process/{name}")
